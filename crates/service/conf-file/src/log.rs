//! The section `log`: how the program's log is written, to standard error.
use crate::section_reader::SectionReader;

/// How the log is written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogSettings {
    /// Lines for people or for programs (keyword `format`).
    pub format: LogFormat,
    /// The lowest severity that is written (keyword `level`).
    pub level: LogLevel,
}

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// A line of text each.
    #[default]
    Text,
    /// A JSON object each.
    Json,
}

/// The severity of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// A part of the service does not work.
    Error,
    /// An operator should look at it.
    Warn,
    /// Rare events of normal operation.
    #[default]
    Info,
    /// Details that help to find a fault.
    Debug,
}

impl LogSettings {
    pub(crate) fn read(section: &mut SectionReader<'_>) -> Self {
        let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
        let levels = [
            ("error", LogLevel::Error),
            ("warn", LogLevel::Warn),
            ("info", LogLevel::Info),
            ("debug", LogLevel::Debug),
        ];
        LogSettings {
            format: section.optional("format", |words| words.choice(&formats)).unwrap_or_default(),
            level: section.optional("level", |words| words.choice(&levels)).unwrap_or_default(),
        }
    }
}
