//! The values of statements: texts are parsed and checked against the schema.
use crate::diagnostic::SourceLocation;
use crate::host_record::{Attribute, Labels};
use crate::raw_inventory::{RawValue, Statement};
use crate::schema::Schema;
use rustc_hash::{FxHashMap, FxHashSet};
use serde_json::{Map, Number, Value};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The longest name of a label, bytes.
const MAX_LABEL_NAME_BYTES: usize = 64;
/// The longest value of a label, bytes.
const MAX_LABEL_VALUE_BYTES: usize = 256;
/// Characters of a text that messages show.
const MAX_SHOWN_CHARS: usize = 80;
/// The host in the document that a single attribute is checked in.
const PLACEHOLDER_HOST: &str = "h";

/// Why a value can't be used. The texts are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ValueError {
    /// The reader could not use it, for this reason.
    #[error("{0}")]
    Unreadable(String),
    /// It is a template.
    #[error("{0:?} is a template, and templates are not worked out here")]
    Template(String),
    /// Labels that begin as a JSON object and are none.
    #[error("is no JSON object of texts")]
    LabelsObject,
    /// A label in the short form without its `=`.
    #[error("{0:?} is not NAME=VALUE")]
    LabelPair(String),
    /// A label's name or value is too long, or has control characters.
    #[error("{name:?} = {value:?} is no label: 1 to 64 plain characters, and 256 at the most")]
    Label {
        /// Its name.
        name: String,
        /// Its value.
        value: String,
    },
    /// Two values for one label.
    #[error("the label {0:?} stands twice")]
    DuplicateLabel(String),
    /// It does not fit the schema, for this reason.
    #[error("{0}")]
    Schema(String),
    /// It fits the schema, but is of another type than the attribute.
    #[error("{0:?} has another type")]
    Type(String),
}

/// A validated value.
#[derive(Clone)]
pub(crate) enum ParsedValue {
    /// A zone, pod or kind.
    Word(Arc<str>),
    Weight(f64),
    Slots(u32),
    Labels(Arc<Labels>),
}

/// Texts, each kept once: most values come again and again.
#[derive(Default)]
pub(crate) struct StringPool(FxHashSet<Arc<str>>);

impl StringPool {
    pub(crate) fn intern(&mut self, text: &str) -> Arc<str> {
        if let Some(known) = self.0.get(text) {
            return known.clone();
        }
        let text: Arc<str> = Arc::from(text);
        self.0.insert(text.clone());
        text
    }
}

/// Parses the values of statements.
pub(crate) struct ValueParser<'s> {
    schema: &'s Schema,
    strings: StringPool,
    /// The results of texts that were parsed before, by attribute.
    parsed: [FxHashMap<Box<str>, Result<ParsedValue, ValueError>>; Attribute::ALL.len()],
}

impl<'s> ValueParser<'s> {
    pub(crate) fn new(schema: &'s Schema) -> Self {
        ValueParser {
            schema,
            strings: StringPool::default(),
            parsed: std::array::from_fn(|_| FxHashMap::default()),
        }
    }

    pub(crate) fn intern(&mut self, text: &str) -> Arc<str> {
        self.strings.intern(text)
    }

    /// The value of a statement; `None` if it is empty and so states nothing.
    pub(crate) fn parse(&mut self, statement: &Statement) -> Result<Option<ParsedValue>, ValueError> {
        let text = match &statement.value {
            RawValue::Unreadable(reason) => return Err(ValueError::Unreadable(reason.clone())),
            RawValue::Labels(labels) => return self.labels(labels).map(Some),
            RawValue::Text(text) => text.trim(),
        };
        if text.is_empty() {
            return Ok(None);
        }
        if text.contains("{{") {
            return Err(ValueError::Template(text.to_owned()));
        }
        if statement.attribute == Attribute::Labels {
            let labels = parse_labels(text, statement.location)?;
            return self.labels(&labels).map(Some);
        }
        let cached = &self.parsed[statement.attribute as usize];
        if let Some(result) = cached.get(text) {
            return result.clone().map(Some);
        }
        let result = self.text_value(statement.attribute, text);
        self.parsed[statement.attribute as usize].insert(text.into(), result.clone());
        result.map(Some)
    }

    fn text_value(&mut self, attribute: Attribute, text: &str) -> Result<ParsedValue, ValueError> {
        let value = json_value(attribute, text);
        self.check_schema(attribute.name(), value.clone())?;
        let parsed = match attribute {
            Attribute::Weight => value.as_f64().map(ParsedValue::Weight),
            Attribute::Slots => value.as_u64().and_then(|n| u32::try_from(n).ok()).map(ParsedValue::Slots),
            _ => value.as_str().map(|word| ParsedValue::Word(self.strings.intern(word))),
        };
        parsed.ok_or_else(|| ValueError::Type(text.to_owned()))
    }

    fn labels(&mut self, pairs: &[(String, String, SourceLocation)]) -> Result<ParsedValue, ValueError> {
        let mut labels = Labels::new();
        for (name, value, _) in pairs {
            if !is_label(name, value) {
                return Err(ValueError::Label { name: shortened(name), value: shortened(value) });
            }
            if labels.insert(name.clone(), value.clone()).is_some_and(|old| old != *value) {
                return Err(ValueError::DuplicateLabel(name.clone()));
            }
        }
        let object = labels.iter().map(|(name, value)| (name.clone(), value.clone().into())).collect();
        self.check_schema("labels", Value::Object(object))?;
        Ok(ParsedValue::Labels(Arc::new(labels)))
    }

    /// Checks one attribute, as that of a host that has no other.
    fn check_schema(&self, name: &str, value: Value) -> Result<(), ValueError> {
        let host = ("host".to_owned(), PLACEHOLDER_HOST.into());
        let attributes = Map::from_iter([host, (name.to_owned(), value)]);
        match self.schema.faults(attributes).into_iter().next() {
            Some((_, reason)) => Err(ValueError::Schema(shortened(&reason))),
            None => Ok(()),
        }
    }
}

/// The JSON value of a text, of the type that the attribute has if the text allows that.
fn json_value(attribute: Attribute, text: &str) -> Value {
    match attribute {
        Attribute::Weight => {
            let number = text.parse::<f64>().ok().and_then(Number::from_f64);
            number.map_or_else(|| text.into(), Value::Number)
        }
        Attribute::Slots => text.parse::<u64>().map_or_else(|_| text.into(), Into::into),
        // 7 and 07 are the pod that the live list calls 7.
        Attribute::Pod => text.parse::<u32>().map_or_else(|_| text.to_owned(), |n| n.to_string()).into(),
        _ => text.into(),
    }
}

/// Labels in the short form `NAME=VALUE; NAME=VALUE`, or as a JSON object for those that the short
/// form can't express.
fn parse_labels(
    text: &str,
    location: SourceLocation,
) -> Result<Vec<(String, String, SourceLocation)>, ValueError> {
    if text.starts_with('{') {
        let object: BTreeMap<String, String> =
            serde_json::from_str(text).map_err(|_| ValueError::LabelsObject)?;
        return Ok(object.into_iter().map(|(name, value)| (name, value, location)).collect());
    }
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=').ok_or_else(|| ValueError::LabelPair(pair.to_owned()))?;
        Ok((name.trim().to_owned(), value.trim().to_owned(), location))
    };
    text.split(';').filter(|pair| !pair.trim().is_empty()).map(pair).collect()
}

/// Whether a label's name and value have the lengths that are allowed, and no control characters: in
/// a text that is shown to people and written to logs those could pretend to be other lines.
fn is_label(name: &str, value: &str) -> bool {
    let is_plain = |text: &str| !text.chars().any(char::is_control);
    (1..=MAX_LABEL_NAME_BYTES).contains(&name.len())
        && value.len() <= MAX_LABEL_VALUE_BYTES
        && is_plain(name)
        && is_plain(value)
}

/// The beginning of a text that may be long.
fn shortened(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
