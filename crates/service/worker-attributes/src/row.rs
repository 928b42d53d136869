//! The facts of a host, as a file states them.
use crate::place::Place;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Something that can be known of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
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

impl Fact {
    /// All, in the order in which they are shown.
    pub const ALL: [Fact; 6] = [Fact::Zone, Fact::Pod, Fact::Kind, Fact::Weight, Fact::Slots, Fact::Labels];

    /// Its name in files, settings and messages.
    pub fn name(self) -> &'static str {
        match self {
            Fact::Zone => "zone",
            Fact::Pod => "pod",
            Fact::Kind => "kind",
            Fact::Weight => "weight",
            Fact::Slots => "slots",
            Fact::Labels => "labels",
        }
    }

    /// The fact of that name.
    pub fn named(name: &str) -> Option<Fact> {
        Fact::ALL.into_iter().find(|f| f.name() == name)
    }
}

impl fmt::Display for Fact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What operators note beside the facts that have a meaning here.
pub type Labels = BTreeMap<String, String>;

/// What a file says of one fact.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum Said<T> {
    /// Nothing.
    #[default]
    Nothing,
    /// This, there.
    This(T, Place),
    /// Several things, at these places: it is unknown.
    Disputed(Vec<(T, Place)>),
}

impl<T: PartialEq> Said<T> {
    /// The value, if there is one and one only.
    pub fn value(&self) -> Option<&T> {
        match self {
            Said::This(value, _) => Some(value),
            _ => None,
        }
    }

    /// Where it was said first.
    pub fn place(&self) -> Option<Place> {
        match self {
            Said::Nothing => None,
            Said::This(_, at) => Some(*at),
            Said::Disputed(all) => all.first().map(|(_, at)| *at),
        }
    }

    /// Adds another statement of equal standing. Whether it was one that differs.
    pub(crate) fn add(&mut self, value: T, at: Place) -> bool {
        match std::mem::take(self) {
            Said::Nothing => *self = Said::This(value, at),
            Said::This(old, place) if old == value => *self = Said::This(old, place),
            Said::This(old, place) => *self = Said::Disputed(vec![(old, place), (value, at)]),
            Said::Disputed(mut all) => {
                let known = all.iter().any(|(v, _)| *v == value);
                all.push((value, at));
                *self = Said::Disputed(all);
                return !known;
            }
        }
        matches!(self, Said::Disputed(_))
    }

    /// Whether two files say the same, wherever it stands in them.
    fn same(&self, other: &Self) -> bool {
        match (self, other) {
            (Said::Nothing, Said::Nothing) => true,
            (Said::This(a, _), Said::This(b, _)) => a == b,
            (Said::Disputed(a), Said::Disputed(b)) => {
                a.len() == b.len() && a.iter().zip(b).all(|((a, _), (b, _))| a == b)
            }
            _ => false,
        }
    }

    fn show(&self, show: impl Fn(&T) -> String) -> Option<String> {
        match self {
            Said::Nothing => None,
            Said::This(value, _) => Some(show(value)),
            Said::Disputed(all) => {
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
pub struct Row {
    /// Where it is named first.
    pub at: Place,
    /// Since when a version in use has named it, Unix milliseconds.
    pub since_ms: u64,
    /// Since when it says what it says of each fact, in the order of [`Fact::ALL`].
    pub fact_ms: [u64; 6],
    /// Its zone.
    pub zone: Said<Arc<str>>,
    /// Its pod.
    pub pod: Said<Arc<str>>,
    /// Its kind.
    pub kind: Said<Arc<str>>,
    /// Its weight.
    pub weight: Said<f64>,
    /// Its slots.
    pub slots: Said<u32>,
    /// Its labels.
    pub labels: Said<Arc<Labels>>,
}

impl Row {
    /// A fact as text; `None` if nothing is said of it.
    pub fn show(&self, fact: Fact) -> Option<String> {
        let word = |w: &Arc<str>| w.to_string();
        match fact {
            Fact::Zone => self.zone.show(word),
            Fact::Pod => self.pod.show(word),
            Fact::Kind => self.kind.show(word),
            Fact::Weight => self.weight.show(f64::to_string),
            Fact::Slots => self.slots.show(u32::to_string),
            Fact::Labels => self.labels.show(|l| show_labels(l)),
        }
    }

    /// Where a fact is said.
    pub fn place(&self, fact: Fact) -> Option<Place> {
        match fact {
            Fact::Zone => self.zone.place(),
            Fact::Pod => self.pod.place(),
            Fact::Kind => self.kind.place(),
            Fact::Weight => self.weight.place(),
            Fact::Slots => self.slots.place(),
            Fact::Labels => self.labels.place(),
        }
    }

    /// All places at which a disputed fact is said; none if it is not disputed.
    pub fn disputed(&self, fact: Fact) -> Vec<Place> {
        fn places<T>(said: &Said<T>) -> Vec<Place> {
            match said {
                Said::Disputed(all) => all.iter().map(|(_, at)| *at).collect(),
                _ => Vec::new(),
            }
        }
        match fact {
            Fact::Zone => places(&self.zone),
            Fact::Pod => places(&self.pod),
            Fact::Kind => places(&self.kind),
            Fact::Weight => places(&self.weight),
            Fact::Slots => places(&self.slots),
            Fact::Labels => places(&self.labels),
        }
    }

    /// Whether another row states the same of a fact.
    pub fn same(&self, other: &Row, fact: Fact) -> bool {
        match fact {
            Fact::Zone => self.zone.same(&other.zone),
            Fact::Pod => self.pod.same(&other.pod),
            Fact::Kind => self.kind.same(&other.kind),
            Fact::Weight => self.weight.same(&other.weight),
            Fact::Slots => self.slots.same(&other.slots),
            Fact::Labels => self.labels.same(&other.labels),
        }
    }

    /// Whether another row states the same of everything.
    pub fn same_all(&self, other: &Row) -> bool {
        Fact::ALL.into_iter().all(|fact| self.same(other, fact))
    }
}

/// Labels as they stand in a column: `a=b;c=d`, or a JSON object where that could not be read back.
pub(crate) fn show_labels(labels: &Labels) -> String {
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
