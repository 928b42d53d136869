//! What is wrong with a settings file, and where.
use std::fmt;

/// A line of a settings file, shown as `FILE:LINE`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingLocation {
    /// The file's name as it was given.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
}

impl fmt::Display for SettingLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// One problem of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file's name as it was given.
    pub file: String,
    /// The line, counted from 1; 0 stands for the file as a whole.
    pub line: usize,
    /// The keyword, or the section that lacks one; empty if the line has neither.
    pub keyword: String,
    /// Why it cannot be used.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem { file, line, keyword, reason } = self;
        match (line, keyword.as_str()) {
            (0, _) => write!(f, "{file}: {reason}"),
            (_, "") => write!(f, "{file}:{line}: {reason}"),
            _ => write!(f, "{file}:{line}: {keyword}: {reason}"),
        }
    }
}

/// All problems of a settings file, in the order of its lines; shown one a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfFileErrors(pub Vec<Problem>);

impl fmt::Display for ConfFileErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfFileErrors {}
