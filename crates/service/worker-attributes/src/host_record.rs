//! The facts of a host, as a file states them.
use crate::diagnostic::SourceLocation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Something that can be known of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Attribute {
    /// The data centre.
    Zone,
    /// The small group whose workers drop each other's repeats.
    Pod,
    /// The kind of machine.
    Kind,
    /// Its capacity relative to the others'.
    Weight,
    /// Jobs that it runs at a time.
    Slots,
    /// Whatever else the operators note.
    Labels,
}

impl Attribute {
    /// All, in the order in which they are shown.
    pub const ALL: [Attribute; 6] = [
        Attribute::Zone,
        Attribute::Pod,
        Attribute::Kind,
        Attribute::Weight,
        Attribute::Slots,
        Attribute::Labels,
    ];

    /// Its name in files, settings and messages.
    pub fn name(self) -> &'static str {
        match self {
            Attribute::Zone => "zone",
            Attribute::Pod => "pod",
            Attribute::Kind => "kind",
            Attribute::Weight => "weight",
            Attribute::Slots => "slots",
            Attribute::Labels => "labels",
        }
    }

    /// The fact of that name.
    pub fn from_name(name: &str) -> Option<Attribute> {
        Attribute::ALL.into_iter().find(|f| f.name() == name)
    }
}

impl fmt::Display for Attribute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What operators note beside the facts that have a meaning here.
pub type Labels = BTreeMap<String, String>;

/// What a file says of one fact.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum AttributeValue<T> {
    /// Nothing.
    #[default]
    Missing,
    /// This, there.
    Known(T, SourceLocation),
    /// Several things, at these places: it is unknown.
    Conflicting(Vec<(T, SourceLocation)>),
}

impl<T: PartialEq> AttributeValue<T> {
    /// The value, if there is one and one only.
    pub fn value(&self) -> Option<&T> {
        match self {
            AttributeValue::Known(value, _) => Some(value),
            _ => None,
        }
    }

    /// Where it was said first.
    pub fn location(&self) -> Option<SourceLocation> {
        match self {
            AttributeValue::Missing => None,
            AttributeValue::Known(_, location) => Some(*location),
            AttributeValue::Conflicting(all) => all.first().map(|(_, location)| *location),
        }
    }

    /// Adds another statement of equal standing. Whether it was one that differs.
    pub(crate) fn add(&mut self, value: T, location: SourceLocation) -> bool {
        match std::mem::take(self) {
            AttributeValue::Missing => *self = AttributeValue::Known(value, location),
            AttributeValue::Known(old, place) if old == value => *self = AttributeValue::Known(old, place),
            AttributeValue::Known(old, place) => {
                *self = AttributeValue::Conflicting(vec![(old, place), (value, location)]);
            }
            AttributeValue::Conflicting(mut all) => {
                let known = all.iter().any(|(v, _)| *v == value);
                all.push((value, location));
                *self = AttributeValue::Conflicting(all);
                return !known;
            }
        }
        matches!(self, AttributeValue::Conflicting(_))
    }

    /// Whether two files say the same, wherever it stands in them.
    fn same(&self, other: &Self) -> bool {
        match (self, other) {
            (AttributeValue::Missing, AttributeValue::Missing) => true,
            (AttributeValue::Known(a, _), AttributeValue::Known(b, _)) => a == b,
            (AttributeValue::Conflicting(a), AttributeValue::Conflicting(b)) => {
                a.len() == b.len() && a.iter().zip(b).all(|((a, _), (b, _))| a == b)
            }
            _ => false,
        }
    }

    fn describe(&self, show: impl Fn(&T) -> String) -> Option<String> {
        match self {
            AttributeValue::Missing => None,
            AttributeValue::Known(value, _) => Some(show(value)),
            AttributeValue::Conflicting(all) => {
                let mut values: Vec<String> = all.iter().map(|(v, _)| show(v)).collect();
                values.sort_unstable();
                values.dedup();
                Some(format!("unknown ({})", values.join(" or ")))
            }
        }
    }
}

/// All that a file says of one host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Where it is named first.
    pub location: SourceLocation,
    /// Since when a version in use has named it, Unix milliseconds.
    pub since_ms: u64,
    /// Since when it says what it says of each fact, in the order of [`Attribute::ALL`].
    pub attribute_since_ms: [u64; 6],
    /// Its zone.
    pub zone: AttributeValue<Arc<str>>,
    /// Its pod.
    pub pod: AttributeValue<Arc<str>>,
    /// Its kind.
    pub kind: AttributeValue<Arc<str>>,
    /// Its weight.
    pub weight: AttributeValue<f64>,
    /// Its slots.
    pub slots: AttributeValue<u32>,
    /// Its labels.
    pub labels: AttributeValue<Arc<Labels>>,
}

impl HostRecord {
    /// A fact as text; `None` if nothing is said of it.
    pub fn describe(&self, attribute: Attribute) -> Option<String> {
        let word = |w: &Arc<str>| w.to_string();
        match attribute {
            Attribute::Zone => self.zone.describe(word),
            Attribute::Pod => self.pod.describe(word),
            Attribute::Kind => self.kind.describe(word),
            Attribute::Weight => self.weight.describe(f64::to_string),
            Attribute::Slots => self.slots.describe(u32::to_string),
            Attribute::Labels => self.labels.describe(|l| format_labels(l)),
        }
    }

    /// Where a fact is said.
    pub fn location(&self, attribute: Attribute) -> Option<SourceLocation> {
        match attribute {
            Attribute::Zone => self.zone.location(),
            Attribute::Pod => self.pod.location(),
            Attribute::Kind => self.kind.location(),
            Attribute::Weight => self.weight.location(),
            Attribute::Slots => self.slots.location(),
            Attribute::Labels => self.labels.location(),
        }
    }

    /// All places at which a disputed fact is said; none if it is not disputed.
    pub fn disputed(&self, attribute: Attribute) -> Vec<SourceLocation> {
        fn places<T>(stated: &AttributeValue<T>) -> Vec<SourceLocation> {
            match stated {
                AttributeValue::Conflicting(all) => all.iter().map(|(_, location)| *location).collect(),
                _ => Vec::new(),
            }
        }
        match attribute {
            Attribute::Zone => places(&self.zone),
            Attribute::Pod => places(&self.pod),
            Attribute::Kind => places(&self.kind),
            Attribute::Weight => places(&self.weight),
            Attribute::Slots => places(&self.slots),
            Attribute::Labels => places(&self.labels),
        }
    }

    /// Whether another row states the same of a fact.
    pub fn same(&self, other: &HostRecord, attribute: Attribute) -> bool {
        match attribute {
            Attribute::Zone => self.zone.same(&other.zone),
            Attribute::Pod => self.pod.same(&other.pod),
            Attribute::Kind => self.kind.same(&other.kind),
            Attribute::Weight => self.weight.same(&other.weight),
            Attribute::Slots => self.slots.same(&other.slots),
            Attribute::Labels => self.labels.same(&other.labels),
        }
    }

    /// Whether another row states the same of everything.
    pub fn same_all(&self, other: &HostRecord) -> bool {
        Attribute::ALL.into_iter().all(|attribute| self.same(other, attribute))
    }
}

/// Labels as they stand in a column: `a=b;c=d`, or a JSON object where that could not be read back.
pub(crate) fn format_labels(labels: &Labels) -> String {
    let plain = |text: &str| text.trim() == text && !text.contains([';', '=']) && !text.contains("{{");
    let short = |(k, v): (&String, &String)| {
        plain(k)
            && !k.is_empty()
            && !k.starts_with('{')
            && v.trim() == v
            && !v.contains(';')
            && !v.contains("{{")
    };
    if !labels.iter().all(short) {
        return serde_json::to_string(labels).unwrap_or_default();
    }
    labels.iter().map(|(k, v)| format!("{k}={v}")).collect::<Vec<_>>().join(";")
}
