//! What a reader made of a file, judged: which lines hold, which facts are known, and why the
//! others are not.
use crate::diagnostic::{Diagnostic, DiagnosticEffect, SourceLocation};
use crate::host_name::normalize_host_name;
use crate::host_record::{Attribute, AttributeValue, HostRecord, Labels};
use crate::schema::Schema;
use rustc_hash::{FxHashMap, FxHashSet};
use serde_json::{Map, Number};
use std::collections::{BTreeMap, hash_map};
use std::sync::Arc;

/// A control character in a text that is shown to people and written to logs would speak for
/// somebody else.
fn controls(text: &str) -> bool {
    text.chars().any(char::is_control)
}

/// What stands there, before anything is believed of it.
#[derive(Clone, Debug, PartialEq)]
pub enum RawValue {
    /// A word or number, as it is written.
    Text(String),
    /// Labels, each with its place.
    Labels(Vec<(String, String, SourceLocation)>),
    /// Something that can't be read, and why.
    Unreadable(String),
}

/// How much a statement counts against others of the same fact of the same host: the highest holds,
/// and equals that differ
/// dispute the fact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Precedence {
    /// The kind of place: a group's variables count less than a host's.
    pub layer: u8,
    /// How far below the root the group stands.
    pub depth: u16,
    /// What the file says of the group's own priority.
    pub priority: i32,
}

/// A statement.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// Of what.
    pub attribute: Attribute,
    /// The key or column as the file has it.
    pub key: Arc<str>,
    /// What.
    pub value: RawValue,
    /// Where.
    pub location: SourceLocation,
    /// How much it counts.
    pub precedence: Precedence,
}

/// A host as a reader found it.
#[derive(Clone, Debug, PartialEq)]
pub struct RawHost {
    /// Its name as it is written.
    pub host: String,
    /// Where.
    pub location: SourceLocation,
    /// What is said of it.
    pub statements: Vec<Statement>,
}

/// All that a reader made of an inventory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawInventory {
    /// The files that it was read from; the first is the inventory's own.
    pub files: Vec<Arc<str>>,
    /// The hosts, in the order of the file.
    pub hosts: Vec<RawHost>,
    /// What the reader itself could not use. One that refuses the file leaves no hosts.
    pub diagnostics: Vec<Diagnostic>,
    /// A bad statement takes its whole line with it, as in a table; else only the fact, as with
    /// inherited variables.
    pub by_line: bool,
    /// The column or key that names hosts, for messages.
    pub host_key: Arc<str>,
}

/// A file that was judged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValidatedInventory {
    /// The files it was read from.
    pub files: Vec<Arc<str>>,
    /// The hosts that it names, by their normal names.
    pub hosts: FxHashMap<Arc<str>, HostRecord>,
    /// What is wrong with it, in the order of its lines.
    pub diagnostics: Vec<Diagnostic>,
    /// How many statements of hosts there were, good or bad.
    pub entries: usize,
}

impl ValidatedInventory {
    /// Why nothing of the file can be taken, if so.
    pub fn file_rejection(&self) -> Option<&Diagnostic> {
        self.diagnostics.iter().find(|r| r.effect == DiagnosticEffect::FileRejected)
    }

    /// How many of its lines were left out.
    pub fn skipped_lines(&self) -> usize {
        self.diagnostics.iter().filter(|r| r.effect == DiagnosticEffect::LineSkipped).count()
    }
}

/// A statement that can be believed.
#[derive(Clone)]
enum ParsedValue {
    Word(Arc<str>),
    Weight(f64),
    Slots(u32),
    Labels(Arc<Labels>),
}

/// Words that come again and again are kept once.
#[derive(Default)]
struct StringPool(FxHashSet<Arc<str>>);

impl StringPool {
    fn keep(&mut self, word: &str) -> Arc<str> {
        if let Some(known) = self.0.get(word) {
            return known.clone();
        }
        let word: Arc<str> = Arc::from(word);
        self.0.insert(word.clone());
        word
    }
}

/// Judges a file as a whole. No file makes it fail: what can't be used is in the refusals.
pub fn validate(raw: RawInventory, schema: &Schema) -> ValidatedInventory {
    let mut validated = ValidatedInventory {
        files: raw.files,
        diagnostics: raw.diagnostics,
        ..ValidatedInventory::default()
    };
    validated.entries = raw.hosts.len() + validated.skipped_lines();
    if validated.file_rejection().is_none() {
        let mut validator = Validator {
            schema,
            words: StringPool::default(),
            told: FxHashSet::default(),
            read: std::array::from_fn(|_| FxHashMap::default()),
        };
        for host in raw.hosts {
            validator.host(host, raw.by_line, &raw.host_key, &mut validated);
        }
    }
    validated.diagnostics.sort_by(|a, b| (a.location, &a.key, a.effect).cmp(&(b.location, &b.key, b.effect)));
    validated
}

struct Validator<'s> {
    schema: &'s Schema,
    words: StringPool,
    /// Faults that were told: a variable of a group is met with each of its hosts.
    told: FxHashSet<(SourceLocation, Attribute)>,
    /// What was read of each text before, by the fact: most values come again and again.
    read: [FxHashMap<Box<str>, Result<ParsedValue, String>>; Attribute::ALL.len()],
}

impl Validator<'_> {
    fn host(&mut self, raw: RawHost, by_line: bool, host_key: &Arc<str>, validated: &mut ValidatedInventory) {
        let diagnostic = |location, key: &str, reason: String, effect| Diagnostic {
            location,
            key: key.into(),
            reason,
            effect,
        };
        let name = match normalize_host_name(&raw.host) {
            Ok(name) => self.words.keep(&name),
            Err(why) => {
                let reason = format!("{:?} {why}", raw.host);
                return validated.diagnostics.push(diagnostic(
                    raw.location,
                    host_key,
                    reason,
                    DiagnosticEffect::LineSkipped,
                ));
            }
        };
        let (statements, bad) = self.statements(&raw);
        for (statement, reason) in &bad {
            if by_line {
                validated.diagnostics.push(diagnostic(
                    statement.location,
                    &statement.key,
                    reason.clone(),
                    DiagnosticEffect::LineSkipped,
                ));
                break;
            } else if self.told.insert((statement.location, statement.attribute)) {
                validated.diagnostics.push(diagnostic(
                    statement.location,
                    &statement.key,
                    reason.clone(),
                    DiagnosticEffect::AttributeUnknown,
                ));
            }
        }
        if by_line && !bad.is_empty() {
            return;
        }
        let mut record = HostRecord { location: raw.location, ..HostRecord::default() };
        for (statement, good) in statements {
            state(&mut record, good, statement);
        }
        // A bad statement of the highest rank must not let a lower one show through: it was meant
        // to count.
        for (statement, _) in &bad {
            forget(&mut record, statement.attribute);
        }
        for attribute in Attribute::ALL {
            let places = record.disputed(attribute);
            if let [first, .., last] = places[..]
                && self.told.insert((last, attribute))
            {
                let files = &validated.files;
                let reason = format!(
                    "{} and {} say differently of {name}: {}",
                    first.describe(files),
                    last.describe(files),
                    record.describe(attribute).unwrap_or_default()
                );
                validated.diagnostics.push(diagnostic(
                    last,
                    attribute.name(),
                    reason,
                    DiagnosticEffect::AttributeUnknown,
                ));
            }
        }
        match validated.hosts.entry(name) {
            hash_map::Entry::Vacant(free) => drop(free.insert(record)),
            hash_map::Entry::Occupied(mut known) => {
                let name = known.key().clone();
                let disputed = join(known.get_mut(), &record);
                let first = known.get().location.describe(&validated.files);
                if disputed.is_empty() {
                    let reason = format!("{name} stands at {first} already, without contradiction");
                    validated.diagnostics.push(diagnostic(
                        raw.location,
                        host_key,
                        reason,
                        DiagnosticEffect::Warning,
                    ));
                }
                for attribute in disputed {
                    let shown = known.get().describe(attribute).unwrap_or_default();
                    let other = known
                        .get()
                        .location(attribute)
                        .map_or(first.clone(), |p| p.describe(&validated.files));
                    let reason =
                        format!("{name} stands at {other} already with another {attribute}: {shown}");
                    let location = record.location(attribute).unwrap_or(raw.location);
                    validated.diagnostics.push(diagnostic(
                        location,
                        attribute.name(),
                        reason,
                        DiagnosticEffect::AttributeUnknown,
                    ));
                }
            }
        }
    }

    /// The statements of a host that count, each believed or with the reason why not.
    #[allow(clippy::type_complexity, reason = "two lists of pairs")]
    fn statements<'r>(
        &mut self,
        raw: &'r RawHost,
    ) -> (Vec<(&'r Statement, ParsedValue)>, Vec<(&'r Statement, String)>) {
        let (mut good, mut bad) = (Vec::new(), Vec::new());
        let highest = |attribute| {
            raw.statements
                .iter()
                .filter(|i| i.attribute == attribute)
                .map(|i| i.precedence)
                .max()
                .unwrap_or_default()
        };
        for attribute in Attribute::ALL {
            let precedence = highest(attribute);
            for statement in
                raw.statements.iter().filter(|i| i.attribute == attribute && i.precedence == precedence)
            {
                match self.read(statement) {
                    Ok(Some(value)) => good.push((statement, value)),
                    Ok(None) => {}
                    Err(why) => bad.push((statement, why)),
                }
            }
        }
        (good, bad)
    }

    /// A statement's value; `None` where it is empty and so says nothing.
    fn read(&mut self, statement: &Statement) -> Result<Option<ParsedValue>, String> {
        let text = match &statement.value {
            RawValue::Unreadable(why) => return Err(why.clone()),
            RawValue::Labels(labels) => return self.labels(labels).map(Some),
            RawValue::Text(text) => text.trim(),
        };
        if text.is_empty() {
            return Ok(None);
        }
        if text.contains("{{") {
            return Err(format!("{text:?} is a template, and templates are not worked out here"));
        }
        if statement.attribute == Attribute::Labels {
            if text.starts_with('{') {
                // For labels that the short form has no way to write.
                let object: BTreeMap<String, String> =
                    serde_json::from_str(text).map_err(|_| "is no JSON object of texts".to_owned())?;
                let pairs: Vec<_> = object.into_iter().map(|(k, v)| (k, v, statement.location)).collect();
                return self.labels(&pairs).map(Some);
            }
            let pair = |p: &str| {
                let (k, v) = p.split_once('=').ok_or_else(|| format!("{p:?} is not NAME=VALUE"))?;
                Ok((k.trim().to_owned(), v.trim().to_owned(), statement.location))
            };
            let pairs = text.split(';').filter(|p| !p.trim().is_empty()).map(pair);
            return self.labels(&pairs.collect::<Result<Vec<_>, String>>()?).map(Some);
        }
        let known = &self.read[statement.attribute as usize];
        if let Some(known) = known.get(text) {
            return known.clone().map(Some);
        }
        let good = self.value(statement.attribute, text);
        self.read[statement.attribute as usize].insert(text.into(), good.clone());
        good.map(Some)
    }

    fn value(&mut self, attribute: Attribute, text: &str) -> Result<ParsedValue, String> {
        let value = match attribute {
            Attribute::Weight => {
                let number = text.parse::<f64>().ok().and_then(Number::from_f64);
                number.map_or_else(|| text.into(), serde_json::Value::Number)
            }
            Attribute::Slots => text.parse::<u64>().map_or_else(|_| text.into(), Into::into),
            // 7 and 07 are the pod that the live list calls 7.
            Attribute::Pod => text.parse::<u32>().map_or_else(|_| text.to_owned(), |n| n.to_string()).into(),
            _ => text.into(),
        };
        let attributes =
            Map::from_iter([("host".to_owned(), "h".into()), (attribute.name().to_owned(), value.clone())]);
        if let Some((_, why)) = self.schema.faults(attributes).into_iter().next() {
            return Err(shortened(&why));
        }
        let good = match attribute {
            Attribute::Weight => value.as_f64().map(ParsedValue::Weight),
            Attribute::Slots => value.as_u64().and_then(|n| u32::try_from(n).ok()).map(ParsedValue::Slots),
            _ => value.as_str().map(|w| ParsedValue::Word(self.words.keep(w))),
        };
        good.ok_or_else(|| format!("{text:?} has another type"))
    }

    fn labels(&mut self, pairs: &[(String, String, SourceLocation)]) -> Result<ParsedValue, String> {
        let mut labels = Labels::new();
        for (key, value, _) in pairs {
            if key.is_empty() || key.len() > 64 || value.len() > 256 || controls(key) || controls(value) {
                let (key, value) = (shortened(key), shortened(value));
                return Err(format!(
                    "{key:?} = {value:?} is no label: 1 to 64 plain characters, and 256 at the most"
                ));
            }
            if labels.insert(key.clone(), value.clone()).is_some_and(|old| old != *value) {
                return Err(format!("the label {key:?} stands twice"));
            }
        }
        let object = labels.iter().map(|(k, v)| (k.clone(), v.clone().into())).collect();
        let attributes = Map::from_iter([
            ("host".to_owned(), "h".into()),
            ("labels".to_owned(), serde_json::Value::Object(object)),
        ]);
        match self.schema.faults(attributes).into_iter().next() {
            Some((_, why)) => Err(shortened(&why)),
            None => Ok(ParsedValue::Labels(Arc::new(labels))),
        }
    }
}

/// The beginning of a text that may be long.
fn shortened(text: &str) -> String {
    match text.char_indices().nth(80) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

fn state(record: &mut HostRecord, good: ParsedValue, statement: &Statement) {
    let location = statement.location;
    match (good, statement.attribute) {
        (ParsedValue::Word(w), Attribute::Zone) => drop(record.zone.add(w, location)),
        (ParsedValue::Word(w), Attribute::Pod) => drop(record.pod.add(w, location)),
        (ParsedValue::Word(w), _) => drop(record.kind.add(w, location)),
        (ParsedValue::Weight(n), _) => drop(record.weight.add(n, location)),
        (ParsedValue::Slots(n), _) => drop(record.slots.add(n, location)),
        // Labels from several columns or keys are parts of one whole.
        (ParsedValue::Labels(new), _) => match &mut record.labels {
            AttributeValue::Known(old, _) if new.iter().all(|(k, v)| old.get(k).is_none_or(|o| o == v)) => {
                Arc::make_mut(old).extend(new.iter().map(|(k, v)| (k.clone(), v.clone())));
            }
            stated => drop(stated.add(new, location)),
        },
    }
}

fn forget(record: &mut HostRecord, attribute: Attribute) {
    match attribute {
        Attribute::Zone => record.zone = AttributeValue::Missing,
        Attribute::Pod => record.pod = AttributeValue::Missing,
        Attribute::Kind => record.kind = AttributeValue::Missing,
        Attribute::Weight => record.weight = AttributeValue::Missing,
        Attribute::Slots => record.slots = AttributeValue::Missing,
        Attribute::Labels => record.labels = AttributeValue::Missing,
    }
}

/// Joins what a second line says of a host to the first; the facts that the two state differently.
fn join(known: &mut HostRecord, second: &HostRecord) -> Vec<Attribute> {
    fn one<T: Clone + PartialEq>(known: &mut AttributeValue<T>, second: &AttributeValue<T>) -> bool {
        match second {
            AttributeValue::Missing => false,
            AttributeValue::Known(value, location) => known.add(value.clone(), *location),
            AttributeValue::Conflicting(all) => {
                all.iter().filter(|(v, location)| known.add(v.clone(), *location)).count() > 0
            }
        }
    }
    let mut disputed = Vec::new();
    let mut note = |attribute, differs: bool| disputed.extend(differs.then_some(attribute));
    note(Attribute::Zone, one(&mut known.zone, &second.zone));
    note(Attribute::Pod, one(&mut known.pod, &second.pod));
    note(Attribute::Kind, one(&mut known.kind, &second.kind));
    note(Attribute::Weight, one(&mut known.weight, &second.weight));
    note(Attribute::Slots, one(&mut known.slots, &second.slots));
    note(Attribute::Labels, one(&mut known.labels, &second.labels));
    disputed
}
