//! What a reader made of a file, judged: which lines hold, which facts are known, and why the others are not.
use crate::name::normal;
use crate::place::{Done, Place, Refusal};
use crate::row::{Fact, Labels, Row, Said};
use crate::schema::Schema;
use rustc_hash::{FxHashMap, FxHashSet};
use serde_json::{Map, Number};
use std::collections::{BTreeMap, hash_map};
use std::sync::Arc;

/// A control character in a text that is shown to people and written to logs would speak for somebody else.
fn controls(text: &str) -> bool {
    text.chars().any(char::is_control)
}

/// What stands there, before anything is believed of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A word or number, as it is written.
    Text(String),
    /// Labels, each with its place.
    Labels(Vec<(String, String, Place)>),
    /// Something that can't be read, and why.
    Unreadable(String),
}

/// How much a statement counts against others of the same fact of the same host: the highest holds, and equals that differ
/// dispute the fact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// The kind of place: a group's variables count less than a host's.
    pub layer: u8,
    /// How far below the root the group stands.
    pub depth: u16,
    /// What the file says of the group's own priority.
    pub priority: i32,
}

/// A statement.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Of what.
    pub fact: Fact,
    /// The key or column as the file has it.
    pub key: Arc<str>,
    /// What.
    pub value: Value,
    /// Where.
    pub at: Place,
    /// How much it counts.
    pub rank: Rank,
}

/// A host as a reader found it.
#[derive(Clone, Debug, PartialEq)]
pub struct Raw {
    /// Its name as it is written.
    pub host: String,
    /// Where.
    pub at: Place,
    /// What is said of it.
    pub items: Vec<Item>,
}

/// All that a reader made of an inventory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawFile {
    /// The files that it was read from; the first is the inventory's own.
    pub files: Vec<Arc<str>>,
    /// The hosts, in the order of the file.
    pub hosts: Vec<Raw>,
    /// What the reader itself could not use. One that refuses the file leaves no hosts.
    pub refusals: Vec<Refusal>,
    /// A bad statement takes its whole line with it, as in a table; else only the fact, as with inherited variables.
    pub by_line: bool,
    /// The column or key that names hosts, for messages.
    pub host_key: Arc<str>,
}

/// A file that was judged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Judged {
    /// The files it was read from.
    pub files: Vec<Arc<str>>,
    /// The hosts that it names, by their normal names.
    pub rows: FxHashMap<Arc<str>, Row>,
    /// What is wrong with it, in the order of its lines.
    pub refusals: Vec<Refusal>,
    /// How many statements of hosts there were, good or bad.
    pub entries: usize,
}

impl Judged {
    /// Why nothing of the file can be taken, if so.
    pub fn refused(&self) -> Option<&Refusal> {
        self.refusals.iter().find(|r| r.done == Done::FileRefused)
    }

    /// How many of its lines were left out.
    pub fn left_out(&self) -> usize {
        self.refusals.iter().filter(|r| r.done == Done::LineLeftOut).count()
    }
}

/// A statement that can be believed.
#[derive(Clone)]
enum Good {
    Word(Arc<str>),
    Weight(f64),
    Slots(u32),
    Labels(Arc<Labels>),
}

/// Words that come again and again are kept once.
#[derive(Default)]
struct Words(FxHashSet<Arc<str>>);

impl Words {
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
pub fn judge(raw: RawFile, schema: &Schema) -> Judged {
    let mut judged = Judged { files: raw.files, refusals: raw.refusals, ..Judged::default() };
    judged.entries = raw.hosts.len() + judged.left_out();
    if judged.refused().is_none() {
        let mut bench = Bench {
            schema,
            words: Words::default(),
            told: FxHashSet::default(),
            read: std::array::from_fn(|_| FxHashMap::default()),
        };
        for host in raw.hosts {
            bench.host(host, raw.by_line, &raw.host_key, &mut judged);
        }
    }
    judged.refusals.sort_by(|a, b| (a.at, &a.key, a.done).cmp(&(b.at, &b.key, b.done)));
    judged
}

struct Bench<'s> {
    schema: &'s Schema,
    words: Words,
    /// Faults that were told: a variable of a group is met with each of its hosts.
    told: FxHashSet<(Place, Fact)>,
    /// What was read of each text before, by the fact: most values come again and again.
    read: [FxHashMap<Box<str>, Result<Good, String>>; Fact::ALL.len()],
}

impl Bench<'_> {
    fn host(&mut self, raw: Raw, by_line: bool, host_key: &Arc<str>, judged: &mut Judged) {
        let refusal = |at, key: &str, reason: String, done| Refusal { at, key: key.into(), reason, done };
        let name = match normal(&raw.host) {
            Ok(name) => self.words.keep(&name),
            Err(why) => {
                let reason = format!("{:?} {why}", raw.host);
                return judged.refusals.push(refusal(raw.at, host_key, reason, Done::LineLeftOut));
            }
        };
        let (items, bad) = self.items(&raw);
        for (item, reason) in &bad {
            if by_line {
                judged.refusals.push(refusal(item.at, &item.key, reason.clone(), Done::LineLeftOut));
                break;
            } else if self.told.insert((item.at, item.fact)) {
                judged.refusals.push(refusal(item.at, &item.key, reason.clone(), Done::FactUnknown));
            }
        }
        if by_line && !bad.is_empty() {
            return;
        }
        let mut row = Row { at: raw.at, ..Row::default() };
        for (item, good) in items {
            state(&mut row, good, item);
        }
        // A bad statement of the highest rank must not let a lower one show through: it was meant to count.
        for (item, _) in &bad {
            forget(&mut row, item.fact);
        }
        for fact in Fact::ALL {
            let places = row.disputed(fact);
            if let [first, .., last] = places[..]
                && self.told.insert((last, fact))
            {
                let files = &judged.files;
                let reason = format!(
                    "{} and {} say differently of {name}: {}",
                    first.show(files),
                    last.show(files),
                    row.show(fact).unwrap_or_default()
                );
                judged.refusals.push(refusal(last, fact.name(), reason, Done::FactUnknown));
            }
        }
        match judged.rows.entry(name) {
            hash_map::Entry::Vacant(free) => drop(free.insert(row)),
            hash_map::Entry::Occupied(mut known) => {
                let name = known.key().clone();
                let disputed = join(known.get_mut(), &row);
                let first = known.get().at.show(&judged.files);
                if disputed.is_empty() {
                    let reason = format!("{name} stands at {first} already, without contradiction");
                    judged.refusals.push(refusal(raw.at, host_key, reason, Done::Nothing));
                }
                for fact in disputed {
                    let shown = known.get().show(fact).unwrap_or_default();
                    let other = known.get().place(fact).map_or(first.clone(), |p| p.show(&judged.files));
                    let reason = format!("{name} stands at {other} already with another {fact}: {shown}");
                    let at = row.place(fact).unwrap_or(raw.at);
                    judged.refusals.push(refusal(at, fact.name(), reason, Done::FactUnknown));
                }
            }
        }
    }

    /// The statements of a host that count, each believed or with the reason why not.
    #[allow(clippy::type_complexity, reason = "two lists of pairs")]
    fn items<'r>(&mut self, raw: &'r Raw) -> (Vec<(&'r Item, Good)>, Vec<(&'r Item, String)>) {
        let (mut good, mut bad) = (Vec::new(), Vec::new());
        let highest =
            |fact| raw.items.iter().filter(|i| i.fact == fact).map(|i| i.rank).max().unwrap_or_default();
        for fact in Fact::ALL {
            let rank = highest(fact);
            for item in raw.items.iter().filter(|i| i.fact == fact && i.rank == rank) {
                match self.read(item) {
                    Ok(Some(value)) => good.push((item, value)),
                    Ok(None) => {}
                    Err(why) => bad.push((item, why)),
                }
            }
        }
        (good, bad)
    }

    /// A statement's value; `None` where it is empty and so says nothing.
    fn read(&mut self, item: &Item) -> Result<Option<Good>, String> {
        let text = match &item.value {
            Value::Unreadable(why) => return Err(why.clone()),
            Value::Labels(labels) => return self.labels(labels).map(Some),
            Value::Text(text) => text.trim(),
        };
        if text.is_empty() {
            return Ok(None);
        }
        if text.contains("{{") {
            return Err(format!("{text:?} is a template, and templates are not worked out here"));
        }
        if item.fact == Fact::Labels {
            if text.starts_with('{') {
                // For labels that the short form has no way to write.
                let object: BTreeMap<String, String> =
                    serde_json::from_str(text).map_err(|_| "is no JSON object of texts".to_owned())?;
                let pairs: Vec<_> = object.into_iter().map(|(k, v)| (k, v, item.at)).collect();
                return self.labels(&pairs).map(Some);
            }
            let pair = |p: &str| {
                let (k, v) = p.split_once('=').ok_or_else(|| format!("{p:?} is not NAME=VALUE"))?;
                Ok((k.trim().to_owned(), v.trim().to_owned(), item.at))
            };
            let pairs = text.split(';').filter(|p| !p.trim().is_empty()).map(pair);
            return self.labels(&pairs.collect::<Result<Vec<_>, String>>()?).map(Some);
        }
        let known = &self.read[item.fact as usize];
        if let Some(known) = known.get(text) {
            return known.clone().map(Some);
        }
        let good = self.value(item.fact, text);
        self.read[item.fact as usize].insert(text.into(), good.clone());
        good.map(Some)
    }

    fn value(&mut self, fact: Fact, text: &str) -> Result<Good, String> {
        let value = match fact {
            Fact::Weight => {
                let number = text.parse::<f64>().ok().and_then(Number::from_f64);
                number.map_or_else(|| text.into(), serde_json::Value::Number)
            }
            Fact::Slots => text.parse::<u64>().map_or_else(|_| text.into(), Into::into),
            // 7 and 07 are the pod that the live list calls 7.
            Fact::Pod => text.parse::<u32>().map_or_else(|_| text.to_owned(), |n| n.to_string()).into(),
            _ => text.into(),
        };
        let facts =
            Map::from_iter([("host".to_owned(), "h".into()), (fact.name().to_owned(), value.clone())]);
        if let Some((_, why)) = self.schema.faults(facts).into_iter().next() {
            return Err(shortened(&why));
        }
        let good = match fact {
            Fact::Weight => value.as_f64().map(Good::Weight),
            Fact::Slots => value.as_u64().and_then(|n| u32::try_from(n).ok()).map(Good::Slots),
            _ => value.as_str().map(|w| Good::Word(self.words.keep(w))),
        };
        good.ok_or_else(|| format!("{text:?} has another type"))
    }

    fn labels(&mut self, pairs: &[(String, String, Place)]) -> Result<Good, String> {
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
        let facts = Map::from_iter([
            ("host".to_owned(), "h".into()),
            ("labels".to_owned(), serde_json::Value::Object(object)),
        ]);
        match self.schema.faults(facts).into_iter().next() {
            Some((_, why)) => Err(shortened(&why)),
            None => Ok(Good::Labels(Arc::new(labels))),
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

fn state(row: &mut Row, good: Good, item: &Item) {
    let at = item.at;
    match (good, item.fact) {
        (Good::Word(w), Fact::Zone) => drop(row.zone.add(w, at)),
        (Good::Word(w), Fact::Pod) => drop(row.pod.add(w, at)),
        (Good::Word(w), _) => drop(row.kind.add(w, at)),
        (Good::Weight(n), _) => drop(row.weight.add(n, at)),
        (Good::Slots(n), _) => drop(row.slots.add(n, at)),
        // Labels from several columns or keys are parts of one whole.
        (Good::Labels(new), _) => match &mut row.labels {
            Said::This(old, _) if new.iter().all(|(k, v)| old.get(k).is_none_or(|o| o == v)) => {
                Arc::make_mut(old).extend(new.iter().map(|(k, v)| (k.clone(), v.clone())));
            }
            said => drop(said.add(new, at)),
        },
    }
}

fn forget(row: &mut Row, fact: Fact) {
    match fact {
        Fact::Zone => row.zone = Said::Nothing,
        Fact::Pod => row.pod = Said::Nothing,
        Fact::Kind => row.kind = Said::Nothing,
        Fact::Weight => row.weight = Said::Nothing,
        Fact::Slots => row.slots = Said::Nothing,
        Fact::Labels => row.labels = Said::Nothing,
    }
}

/// Joins what a second line says of a host to the first; the facts that the two state differently.
fn join(known: &mut Row, second: &Row) -> Vec<Fact> {
    fn one<T: Clone + PartialEq>(known: &mut Said<T>, second: &Said<T>) -> bool {
        match second {
            Said::Nothing => false,
            Said::This(value, at) => known.add(value.clone(), *at),
            Said::Disputed(all) => all.iter().filter(|(v, at)| known.add(v.clone(), *at)).count() > 0,
        }
    }
    let mut disputed = Vec::new();
    let mut note = |fact, differs: bool| disputed.extend(differs.then_some(fact));
    note(Fact::Zone, one(&mut known.zone, &second.zone));
    note(Fact::Pod, one(&mut known.pod, &second.pod));
    note(Fact::Kind, one(&mut known.kind, &second.kind));
    note(Fact::Weight, one(&mut known.weight, &second.weight));
    note(Fact::Slots, one(&mut known.slots, &second.slots));
    note(Fact::Labels, one(&mut known.labels, &second.labels));
    disputed
}
