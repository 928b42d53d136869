//! Where something stands in a file, and what is said of it when it can't be used.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A place in one of a version's files; lines and columns count from 1, columns in characters. Line
/// 0 is the file as a
/// whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SourceLocation {
    /// The file's number in [`crate::Version::files`].
    pub file: u16,
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

impl SourceLocation {
    /// The place as it is written in messages.
    pub fn describe(self, files: &[Arc<str>]) -> String {
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
pub enum DiagnosticEffect {
    /// Nothing else: this is a warning, and the line holds.
    #[serde(rename = "nothing")]
    Warning,
    /// The fact counts as unknown; the rest of the line holds.
    #[serde(rename = "fact_unknown")]
    AttributeUnknown,
    /// The line is left out, the others hold.
    #[serde(rename = "line_left_out")]
    LineSkipped,
    /// Nothing of the file was taken; the last good version goes on.
    #[serde(rename = "file_refused")]
    FileRejected,
}

impl fmt::Display for DiagnosticEffect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DiagnosticEffect::Warning => "the line holds",
            DiagnosticEffect::AttributeUnknown => "the fact counts as unknown",
            DiagnosticEffect::LineSkipped => "the line is left out",
            DiagnosticEffect::FileRejected => "nothing of the file is taken",
        })
    }
}

/// Something in a file that can't be used, or should be looked at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostic {
    /// Where.
    pub location: SourceLocation,
    /// The key or column, where it is about one.
    pub key: String,
    /// Why.
    pub reason: String,
    /// What was done instead.
    pub effect: DiagnosticEffect,
}

impl Diagnostic {
    /// A refusal of the file as a whole, at some place.
    pub fn file_rejected(
        location: SourceLocation,
        key: impl Into<String>,
        reason: impl Into<String>,
    ) -> Self {
        Diagnostic {
            location,
            key: key.into(),
            reason: reason.into(),
            effect: DiagnosticEffect::FileRejected,
        }
    }

    /// As a line: `FILE:LINE:COLUMN: KEY: why; what was done`.
    pub fn describe(&self, files: &[Arc<str>]) -> String {
        let key = if self.key.is_empty() { String::new() } else { format!("{}: ", self.key) };
        format!("{}: {key}{}; {}", self.location.describe(files), self.reason, self.effect)
    }
}
