//! Lines into sections and words. What a keyword means is not known here.
use crate::Problem;

/// A section: the line at the margin and the indented ones below it.
#[derive(Debug)]
pub(crate) struct Section {
    pub line: usize,
    pub name: String,
    pub arguments: Vec<String>,
    pub entries: Vec<Entry>,
}

/// An indented line.
#[derive(Debug)]
pub(crate) struct Entry {
    pub line: usize,
    pub keyword: String,
    pub arguments: Vec<String>,
}

/// The sections of a file; lines that can't be read become problems, and the others are read all the same.
pub(crate) fn sections(file: &str, bytes: &[u8], problems: &mut Vec<Problem>) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    // Below a section whose own line can't be read, nothing can be said of the lines.
    let mut lost = false;
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    for (i, raw) in bytes.split(|b| *b == b'\n').enumerate() {
        let line = i + 1;
        let mut problem = |why: &str| {
            let why = why.to_owned();
            problems.push(Problem { file: file.to_owned(), line, keyword: String::new(), why });
        };
        let Ok(text) = std::str::from_utf8(raw) else {
            problem("is not UTF-8 text");
            continue;
        };
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text.chars().any(|c| c.is_control() && c != '\t') {
            problem("holds a control character");
            continue;
        }
        let mut words = shlex::Shlex::new(text);
        let Some(first) = words.next() else {
            if words.had_error {
                problem("a quote is not closed");
            }
            continue;
        };
        let arguments: Vec<String> = words.by_ref().collect();
        if words.had_error {
            problem("a quote is not closed");
            lost |= !text.starts_with([' ', '\t']);
            continue;
        }
        if !text.starts_with([' ', '\t']) {
            lost = false;
            sections.push(Section { line, name: first, arguments, entries: Vec::new() });
        } else if lost {
        } else if let Some(section) = sections.last_mut() {
            section.entries.push(Entry { line, keyword: first, arguments });
        } else {
            problem("stands before any section; a section's name begins at the margin");
        }
    }
    sections
}
