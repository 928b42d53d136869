//! A section's keywords, taken one by one and checked, with every problem kept.
use crate::Problem;
use crate::lines::{Entry, Section};
use std::path::PathBuf;
use std::time::Duration;

/// A name that is this near to a known one was meant to be it.
const NEAR: f64 = 0.6;

/// A section while it is read.
pub(crate) struct Fields<'a> {
    file: &'a str,
    section: &'a Section,
    problems: &'a mut Vec<Problem>,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    pub fn new(file: &'a str, section: &'a Section, problems: &'a mut Vec<Problem>) -> Self {
        Fields { file, section, problems, known: Vec::new() }
    }

    fn add(&mut self, line: usize, keyword: &str, why: String) {
        self.problems.push(Problem { file: self.file.into(), line, keyword: keyword.into(), why });
    }

    /// The section's file and line.
    pub fn place(&self) -> String {
        format!("{}:{}", self.file, self.section.line)
    }

    /// Where a keyword stands, or the section if it doesn't.
    pub fn place_of(&self, keyword: &str) -> String {
        format!("{}:{}", self.file, self.line_of(keyword))
    }

    fn line_of(&self, keyword: &str) -> usize {
        self.entries(keyword).next().map_or(self.section.line, |e| e.line)
    }

    /// Something is wrong with the section itself.
    pub fn section_problem(&mut self, why: String) {
        self.add(self.section.line, &self.section.name, why);
    }

    /// Something is wrong with a keyword, or with the default that stands in for it.
    pub fn problem(&mut self, keyword: &str, why: String) {
        self.add(self.line_of(keyword), keyword, why);
    }

    /// The section's one name, which must be a plain word: it becomes a part of files' names and of calls.
    pub fn name(&mut self) -> Option<String> {
        let plain = |n: &String| {
            let bytes = n.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
            bytes && !n.is_empty() && n.len() <= 32
        };
        match &self.section.arguments[..] {
            [name] if plain(name) => return Some(name.clone()),
            [_] => self
                .section_problem("its name is not a word of letters, digits, - and _, 32 at the most".into()),
            _ => self.section_problem("this section takes one name".into()),
        }
        None
    }

    pub fn no_arguments(&mut self) {
        if !self.section.arguments.is_empty() {
            self.section_problem("this section takes no name".into());
        }
    }

    pub fn unknown_section(&mut self, known: &[&str]) {
        let why = match nearest(&self.section.name, known) {
            Some(near) => format!("there is no such section; `{near}` is near"),
            None => format!("there is no such section; known are {}", known.join(", ")),
        };
        self.section_problem(why);
    }

    fn entries(&self, keyword: &str) -> impl Iterator<Item = &'a Entry> + use<'a> {
        let keyword = keyword.to_owned();
        self.section.entries.iter().filter(move |e| e.keyword == keyword)
    }

    /// The value of a keyword that may stand once.
    pub fn one<T>(
        &mut self,
        keyword: &'static str,
        read: impl FnOnce(&mut Words<'_>) -> Result<T, String>,
    ) -> Option<T> {
        self.known.push(keyword);
        let mut entries = self.entries(keyword);
        let first = entries.next()?;
        for again in entries {
            self.add(again.line, keyword, format!("stands on line {} already", first.line));
        }
        let mut words = Words { words: first.arguments.iter() };
        let value = read(&mut words).and_then(|value| words.end().map(|()| value));
        value.map_err(|why| self.add(first.line, keyword, why)).ok()
    }

    /// The values of a keyword that may stand several times.
    pub fn many<T>(
        &mut self,
        keyword: &'static str,
        mut read: impl FnMut(&mut Words<'_>) -> Result<T, String>,
    ) -> Vec<T> {
        self.known.push(keyword);
        let mut values = Vec::new();
        for entry in self.entries(keyword) {
            let mut words = Words { words: entry.arguments.iter() };
            match read(&mut words).and_then(|value| words.end().map(|()| value)) {
                Ok(value) => values.push(value),
                Err(why) => self.add(entry.line, keyword, why),
            }
        }
        values
    }

    /// The same for one that may not be missing.
    pub fn required<T>(
        &mut self,
        keyword: &'static str,
        read: impl FnOnce(&mut Words<'_>) -> Result<T, String>,
    ) -> Option<T> {
        if self.entries(keyword).next().is_none() {
            self.section_problem(format!("`{keyword}` is missing"));
        }
        self.one(keyword, read)
    }

    /// All known keywords were asked for: the others are problems.
    pub fn done(mut self) {
        let section = self.section;
        for entry in &section.entries {
            if self.known.contains(&entry.keyword.as_str()) {
                continue;
            }
            let why = match nearest(&entry.keyword, &self.known) {
                Some(near) => format!("is unknown in section `{}`; `{near}` is near", section.name),
                None => format!("is unknown in section `{}`", section.name),
            };
            self.add(entry.line, &entry.keyword, why);
        }
    }
}

fn nearest<'n>(name: &str, known: &[&'n str]) -> Option<&'n str> {
    let near = |k: &&'n str| strsim::normalized_damerau_levenshtein(name, k);
    let best = known.iter().copied().max_by(|a, b| near(a).total_cmp(&near(b)))?;
    (near(&best) >= NEAR).then_some(best)
}

/// A keyword's arguments while they are read.
pub(crate) struct Words<'a> {
    words: std::slice::Iter<'a, String>,
}

impl Words<'_> {
    fn word(&mut self) -> Result<&str, String> {
        self.words.next().map(String::as_str).ok_or_else(|| "its argument is missing".to_owned())
    }

    fn end(&mut self) -> Result<(), String> {
        match self.words.next() {
            Some(extra) => Err(format!("`{extra}` is one argument too many")),
            None => Ok(()),
        }
    }

    pub fn text(&mut self) -> Result<String, String> {
        let word = self.word()?;
        if word.is_empty() { Err("the text is empty".into()) } else { Ok(word.to_owned()) }
    }

    /// A share in percent; a bare number is not taken.
    pub fn percent(&mut self) -> Result<f64, String> {
        let word = self.word()?;
        let number = word.strip_suffix('%').and_then(|n| n.parse::<f64>().ok());
        let inside = number.filter(|n| (0.0..=100.0).contains(n));
        inside.map(|n| n / 100.0).ok_or_else(|| format!("`{word}` is not a share between 0% and 100%"))
    }

    pub fn path(&mut self) -> Result<PathBuf, String> {
        match self.word()? {
            "" => Err("the path is empty".into()),
            path => Ok(path.into()),
        }
    }

    pub fn choice<T: Copy>(&mut self, choices: &[(&'static str, T)]) -> Result<T, String> {
        let word = self.word()?;
        let names: Vec<&str> = choices.iter().map(|c| c.0).collect();
        let found = choices.iter().find(|c| c.0 == word).map(|c| c.1);
        found.ok_or_else(|| match nearest(word, &names) {
            Some(near) => format!("`{word}` is none of {}; `{near}` is near", names.join(", ")),
            None => format!("`{word}` is none of {}", names.join(", ")),
        })
    }

    pub fn number(&mut self, least: u64, most: u64) -> Result<u64, String> {
        let word = self.word()?;
        let number = word.parse::<u64>().map_err(|_| format!("`{word}` is not a whole number"))?;
        let inside = (least..=most).contains(&number).then_some(number);
        inside.ok_or_else(|| format!("{number} is not between {least} and {most}"))
    }

    /// A span; a bare number has no unit and is not taken.
    pub fn span(&mut self, least: Duration, most: Duration) -> Result<Duration, String> {
        let word = self.word()?;
        let span = humantime::parse_duration(word)
            .map_err(|_| format!("`{word}` is not a span with a unit, such as 250ms, 10s or 5min"))?;
        let show = humantime::format_duration;
        let inside = (least..=most).contains(&span).then_some(span);
        inside.ok_or_else(|| format!("{word} is not between {} and {}", show(least), show(most)))
    }

    /// A size; a bare number has no unit and is not taken.
    pub fn size(&mut self, least: u64, most: u64) -> Result<u64, String> {
        let word = self.word()?;
        let bad = || format!("`{word}` is not a size with a unit, such as 64KiB or 16MiB");
        let size = word.parse::<bytesize::ByteSize>().ok();
        let size = size.filter(|_| !word.bytes().all(|b| b.is_ascii_digit())).ok_or_else(bad)?;
        let show = |n| bytesize::ByteSize(n).to_string();
        let inside = (least..=most).contains(&size.0).then_some(size.0);
        inside.ok_or_else(|| format!("{word} is not between {} and {}", show(least), show(most)))
    }
}
