//! The keywords of one section, taken one by one and checked; every problem is kept.
use crate::arguments::{ArgumentError, Arguments};
use crate::lines::{Entry, Section};
use crate::problem::{Problem, SettingLocation};
use crate::suggestion::nearest;
use std::fmt::Display;

/// The longest name of a section, bytes.
const MAX_NAME_BYTES: usize = 32;

/// A section while it is read.
pub(crate) struct SectionReader<'a> {
    file: &'a str,
    section: &'a Section,
    problems: &'a mut Vec<Problem>,
    known_keywords: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(file: &'a str, section: &'a Section, problems: &'a mut Vec<Problem>) -> Self {
        SectionReader { file, section, problems, known_keywords: Vec::new() }
    }

    fn report(&mut self, line: usize, keyword: &str, reason: impl Display) {
        self.problems.push(Problem {
            file: self.file.into(),
            line,
            keyword: keyword.into(),
            reason: reason.to_string(),
        });
    }

    /// Where the section begins.
    pub(crate) fn location(&self) -> SettingLocation {
        SettingLocation { file: self.file.to_owned(), line: self.section.line }
    }

    /// Where a keyword stands, or the section if it has no such keyword.
    pub(crate) fn location_of(&self, keyword: &str) -> SettingLocation {
        SettingLocation { file: self.file.to_owned(), line: self.line_of(keyword) }
    }

    fn line_of(&self, keyword: &str) -> usize {
        self.entries(keyword).next().map_or(self.section.line, |entry| entry.line)
    }

    /// Reports a problem of the section itself.
    pub(crate) fn report_section(&mut self, reason: impl Display) {
        let section = self.section;
        self.report(section.line, &section.name, reason);
    }

    /// Reports a problem of a keyword, or of the default that stands in for it.
    pub(crate) fn report_keyword(&mut self, keyword: &str, reason: impl Display) {
        self.report(self.line_of(keyword), keyword, reason);
    }

    /// The section's only name. It becomes a part of file names and of calls, so it must be plain.
    pub(crate) fn name(&mut self) -> Option<String> {
        match &self.section.arguments[..] {
            [name] if is_plain_name(name) => return Some(name.clone()),
            [_] => self.report_section(format_args!(
                "its name is not a word of letters, digits, - and _, {MAX_NAME_BYTES} at the most"
            )),
            _ => self.report_section("this section takes one name"),
        }
        None
    }

    /// Checks that the section has no name.
    pub(crate) fn expect_no_name(&mut self) {
        if !self.section.arguments.is_empty() {
            self.report_section("this section takes no name");
        }
    }

    /// Reports that there is no such section.
    pub(crate) fn report_unknown_section(&mut self, known: &[&str]) {
        match nearest(&self.section.name, known) {
            Some(near) => {
                self.report_section(format_args!("there is no such section; `{near}` is near"));
            }
            None => {
                let known = known.join(", ");
                self.report_section(format_args!("there is no such section; known are {known}"));
            }
        }
    }

    fn entries(&self, keyword: &str) -> impl Iterator<Item = &'a Entry> + use<'a> {
        let keyword = keyword.to_owned();
        self.section.entries.iter().filter(move |entry| entry.keyword == keyword)
    }

    /// The value of a keyword that may stand once; `None` if it is missing or cannot be used.
    pub(crate) fn optional<T>(
        &mut self,
        keyword: &'static str,
        read: impl FnOnce(&mut Arguments<'_>) -> Result<T, ArgumentError>,
    ) -> Option<T> {
        self.known_keywords.push(keyword);
        let mut entries = self.entries(keyword);
        let first = entries.next()?;
        for duplicate in entries {
            let reason = format_args!("stands on line {} already", first.line);
            self.report(duplicate.line, keyword, reason);
        }
        read_all(first, read).map_err(|error| self.report(first.line, keyword, error)).ok()
    }

    /// The values of a keyword that may stand several times.
    pub(crate) fn repeated<T>(
        &mut self,
        keyword: &'static str,
        mut read: impl FnMut(&mut Arguments<'_>) -> Result<T, ArgumentError>,
    ) -> Vec<T> {
        self.known_keywords.push(keyword);
        let mut values = Vec::new();
        for entry in self.entries(keyword) {
            match read_all(entry, &mut read) {
                Ok(value) => values.push(value),
                Err(error) => self.report(entry.line, keyword, error),
            }
        }
        values
    }

    /// The value of a keyword that must stand once.
    pub(crate) fn required<T>(
        &mut self,
        keyword: &'static str,
        read: impl FnOnce(&mut Arguments<'_>) -> Result<T, ArgumentError>,
    ) -> Option<T> {
        if self.entries(keyword).next().is_none() {
            self.report_section(format_args!("`{keyword}` is missing"));
        }
        self.optional(keyword, read)
    }

    /// Ends the section: keywords that nobody asked for are unknown, and reported.
    pub(crate) fn finish(mut self) {
        let section = self.section;
        for entry in &section.entries {
            if self.known_keywords.contains(&entry.keyword.as_str()) {
                continue;
            }
            let mut reason = format!("is unknown in section `{}`", section.name);
            if let Some(near) = nearest(&entry.keyword, &self.known_keywords) {
                reason.push_str(&format!("; `{near}` is near"));
            }
            self.report(entry.line, &entry.keyword, reason);
        }
    }
}

fn is_plain_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_plain)
}

/// Reads all arguments of a line; none may be left.
fn read_all<T>(
    entry: &Entry,
    read: impl FnOnce(&mut Arguments<'_>) -> Result<T, ArgumentError>,
) -> Result<T, ArgumentError> {
    let mut arguments = Arguments::new(&entry.arguments);
    let value = read(&mut arguments)?;
    arguments.end()?;
    Ok(value)
}
