//! The arguments of one keyword, read one after the other and checked.
use crate::suggestion::nearest;
use bytesize::ByteSize;
use humantime::format_duration;
use std::path::PathBuf;
use std::time::Duration;

/// Percent of a whole.
const PERCENT: f64 = 100.0;

/// Why an argument cannot be used. The texts are shown to operators.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ArgumentError {
    #[error("its argument is missing")]
    Missing,
    #[error("`{0}` is one argument too many")]
    Extra(String),
    #[error("the text is empty")]
    EmptyText,
    #[error("the path is empty")]
    EmptyPath,
    #[error("`{0}` is not a share between 0% and 100%")]
    NoPercentage(String),
    #[error("`{word}` is none of {choices}")]
    UnknownChoice { word: String, choices: String },
    #[error("`{word}` is none of {choices}; `{nearest}` is near")]
    MisspelledChoice { word: String, choices: String, nearest: String },
    #[error("`{0}` is not a whole number")]
    NoWholeNumber(String),
    #[error("{number} is not between {min} and {max}")]
    NumberOutOfRange { number: u64, min: u64, max: u64 },
    #[error("`{0}` is not a span with a unit, such as 250ms, 10s or 5min")]
    NoDuration(String),
    #[error("{word} is not between {} and {}", format_duration(*.min), format_duration(*.max))]
    DurationOutOfRange { word: String, min: Duration, max: Duration },
    #[error("`{0}` is not a size with a unit, such as 64KiB or 16MiB")]
    NoSize(String),
    #[error("{word} is not between {min} and {max}")]
    SizeOutOfRange { word: String, min: ByteSize, max: ByteSize },
    #[error("`{attribute}` is none of {known} and label.NAME")]
    UnknownAttribute { attribute: String, known: String },
    #[error("`{attribute}` or `{column}` stands in another line already")]
    DuplicateColumn { attribute: String, column: String },
    #[error("`{value}` is no {attribute}")]
    InvalidDefault { attribute: String, value: String },
    #[error("`{0}` is not http://ADDRESS:PORT/PATH")]
    NoHttpUrl(String),
    #[error("`{0}` is no address with a port")]
    NoSocketAddress(String),
}

/// A word of the file and what it stands for.
pub(crate) type Choice<T> = (&'static str, T);

/// The arguments of a keyword that are not read yet.
pub(crate) struct Arguments<'a> {
    remaining: std::slice::Iter<'a, String>,
}

impl<'a> Arguments<'a> {
    pub(crate) fn new(arguments: &'a [String]) -> Self {
        Arguments { remaining: arguments.iter() }
    }

    fn word(&mut self) -> Result<&'a str, ArgumentError> {
        self.remaining.next().map(String::as_str).ok_or(ArgumentError::Missing)
    }

    /// Checks that no argument is left.
    pub(crate) fn end(&mut self) -> Result<(), ArgumentError> {
        match self.remaining.next() {
            Some(extra) => Err(ArgumentError::Extra(extra.clone())),
            None => Ok(()),
        }
    }

    /// A text that is not empty.
    pub(crate) fn text(&mut self) -> Result<String, ArgumentError> {
        let word = self.word()?;
        if word.is_empty() { Err(ArgumentError::EmptyText) } else { Ok(word.to_owned()) }
    }

    /// A path that is not empty.
    pub(crate) fn path(&mut self) -> Result<PathBuf, ArgumentError> {
        let word = self.word()?;
        if word.is_empty() { Err(ArgumentError::EmptyPath) } else { Ok(word.into()) }
    }

    /// A fraction between 0 and 1, written in percent; a number without `%` is an error.
    pub(crate) fn percentage(&mut self) -> Result<f64, ArgumentError> {
        let word = self.word()?;
        let percent = word.strip_suffix('%').and_then(|number| number.parse::<f64>().ok());
        let percent = percent.filter(|percent| (0.0..=PERCENT).contains(percent));
        percent.map(|percent| percent / PERCENT).ok_or_else(|| ArgumentError::NoPercentage(word.to_owned()))
    }

    /// One of some words.
    pub(crate) fn choice<T: Copy>(&mut self, choices: &[Choice<T>]) -> Result<T, ArgumentError> {
        let word = self.word()?;
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == word) {
            return Ok(*value);
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let (word, choices) = (word.to_owned(), names.join(", "));
        Err(match nearest(&word, &names) {
            Some(nearest) => ArgumentError::MisspelledChoice { word, choices, nearest: nearest.to_owned() },
            None => ArgumentError::UnknownChoice { word, choices },
        })
    }

    /// A whole number between two bounds, which are allowed themselves.
    pub(crate) fn number(&mut self, min: u64, max: u64) -> Result<u64, ArgumentError> {
        let word = self.word()?;
        let number = word.parse::<u64>().map_err(|_| ArgumentError::NoWholeNumber(word.to_owned()))?;
        if (min..=max).contains(&number) {
            Ok(number)
        } else {
            Err(ArgumentError::NumberOutOfRange { number, min, max })
        }
    }

    /// A duration between two bounds; a number without a unit is an error.
    pub(crate) fn duration(&mut self, min: Duration, max: Duration) -> Result<Duration, ArgumentError> {
        let word = self.word()?;
        let duration = humantime::parse_duration(word);
        let duration = duration.map_err(|_| ArgumentError::NoDuration(word.to_owned()))?;
        if (min..=max).contains(&duration) {
            Ok(duration)
        } else {
            Err(ArgumentError::DurationOutOfRange { word: word.to_owned(), min, max })
        }
    }

    /// A size in bytes between two bounds; a number without a unit is an error.
    pub(crate) fn size(&mut self, min: u64, max: u64) -> Result<u64, ArgumentError> {
        let word = self.word()?;
        let has_unit = !word.bytes().all(|byte| byte.is_ascii_digit());
        let size = word.parse::<ByteSize>().ok().filter(|_| has_unit);
        let ByteSize(bytes) = size.ok_or_else(|| ArgumentError::NoSize(word.to_owned()))?;
        if (min..=max).contains(&bytes) {
            return Ok(bytes);
        }
        let (min, max) = (ByteSize(min), ByteSize(max));
        Err(ArgumentError::SizeOutOfRange { word: word.to_owned(), min, max })
    }
}
