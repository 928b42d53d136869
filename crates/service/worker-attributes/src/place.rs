//! Where something stands in a file, and what is said of it when it can't be used.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A place in one of a version's files; lines and columns count from 1, columns in characters. Line 0 is the file as a
/// whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The file's number in [`crate::Version::files`].
    pub file: u16,
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

impl Place {
    /// The place as it is written in messages.
    pub fn show(self, files: &[Arc<str>]) -> String {
        let file = files.get(usize::from(self.file)).map_or("?", |f| f);
        match (self.line, self.column) {
            (0, _) => file.to_owned(),
            (line, 0) => format!("{file}:{line}"),
            (line, column) => format!("{file}:{line}:{column}"),
        }
    }
}

/// What was done in place of what a line asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Done {
    /// Nothing else: this is a warning, and the line holds.
    Nothing,
    /// The fact counts as unknown; the rest of the line holds.
    FactUnknown,
    /// The line is left out, the others hold.
    LineLeftOut,
    /// Nothing of the file was taken; the last good version goes on.
    FileRefused,
}

impl fmt::Display for Done {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Done::Nothing => "the line holds",
            Done::FactUnknown => "the fact counts as unknown",
            Done::LineLeftOut => "the line is left out",
            Done::FileRefused => "nothing of the file is taken",
        })
    }
}

/// Something in a file that can't be used, or should be looked at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Where.
    pub at: Place,
    /// The key or column, where it is about one.
    pub key: String,
    /// Why.
    pub reason: String,
    /// What was done instead.
    pub done: Done,
}

impl Refusal {
    /// A refusal of the file as a whole, at some place.
    pub fn whole(at: Place, key: impl Into<String>, reason: impl Into<String>) -> Self {
        Refusal { at, key: key.into(), reason: reason.into(), done: Done::FileRefused }
    }

    /// As a line: `FILE:LINE:COLUMN: KEY: why; what was done`.
    pub fn show(&self, files: &[Arc<str>]) -> String {
        let key = if self.key.is_empty() { String::new() } else { format!("{}: ", self.key) };
        format!("{}: {key}{}; {}", self.at.show(files), self.reason, self.done)
    }
}
