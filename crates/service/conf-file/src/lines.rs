//! Lines of a file, split into sections and words. The meaning of keywords is not known here.
use crate::problem::Problem;

/// The byte order mark that some editors write at the start of a file.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// A section: a line at the margin and the indented lines below it.
#[derive(Debug)]
pub(crate) struct Section {
    pub(crate) line: usize,
    pub(crate) name: String,
    pub(crate) arguments: Vec<String>,
    pub(crate) entries: Vec<Entry>,
}

/// An indented line.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) line: usize,
    pub(crate) keyword: String,
    pub(crate) arguments: Vec<String>,
}

/// A line that is not blank: its first word and the others.
struct Words {
    first: String,
    arguments: Vec<String>,
}

/// Why a line cannot be read. The texts are shown to operators.
#[derive(Debug, thiserror::Error)]
enum LineError {
    #[error("is not UTF-8 text")]
    NotUtf8,
    #[error("holds a control character")]
    ControlCharacter,
    #[error("a quote is not closed")]
    OpenQuote {
        /// The line has words before the quote and stands at the margin.
        opens_section: bool,
    },
    #[error("stands before any section; a section's name begins at the margin")]
    BeforeAnySection,
}

/// The sections of a file. Lines that cannot be read become problems; the others are read.
pub(crate) fn sections(file: &str, bytes: &[u8], problems: &mut Vec<Problem>) -> Vec<Section> {
    let mut parser = SectionParser { sections: Vec::new(), skips_entries: false };
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    for (index, raw_line) in bytes.split(|byte| *byte == b'\n').enumerate() {
        let line = index + 1;
        if let Err(error) = parser.add_line(line, raw_line) {
            let reason = error.to_string();
            problems.push(Problem { file: file.to_owned(), line, keyword: String::new(), reason });
        }
    }
    parser.sections
}

struct SectionParser {
    sections: Vec<Section>,
    /// Nothing can be said of the lines below a section whose own line cannot be read.
    skips_entries: bool,
}

impl SectionParser {
    fn add_line(&mut self, line: usize, raw_line: &[u8]) -> Result<(), LineError> {
        let text = text_of(raw_line)?;
        let words = match split_words(text) {
            Ok(Some(words)) => words,
            Ok(None) => return Ok(()),
            Err(error) => {
                self.skips_entries |= matches!(error, LineError::OpenQuote { opens_section: true });
                return Err(error);
            }
        };
        let Words { first, arguments } = words;
        if !is_indented(text) {
            self.skips_entries = false;
            self.sections.push(Section { line, name: first, arguments, entries: Vec::new() });
            return Ok(());
        }
        if self.skips_entries {
            return Ok(());
        }
        let section = self.sections.last_mut().ok_or(LineError::BeforeAnySection)?;
        section.entries.push(Entry { line, keyword: first, arguments });
        Ok(())
    }
}

fn is_indented(text: &str) -> bool {
    text.starts_with([' ', '\t'])
}

fn text_of(raw_line: &[u8]) -> Result<&str, LineError> {
    let text = std::str::from_utf8(raw_line).map_err(|_| LineError::NotUtf8)?;
    let text = text.strip_suffix('\r').unwrap_or(text);
    if text.chars().any(|c| c.is_control() && c != '\t') {
        return Err(LineError::ControlCharacter);
    }
    Ok(text)
}

/// The words of a line; `None` if it is blank or a comment.
fn split_words(text: &str) -> Result<Option<Words>, LineError> {
    let mut words = shlex::Shlex::new(text);
    let Some(first) = words.next() else {
        // The quote is the first word: the line opens no section, whether indented or not.
        let error = LineError::OpenQuote { opens_section: false };
        return if words.had_error { Err(error) } else { Ok(None) };
    };
    let arguments: Vec<String> = words.by_ref().collect();
    if words.had_error {
        return Err(LineError::OpenQuote { opens_section: !is_indented(text) });
    }
    Ok(Some(Words { first, arguments }))
}
