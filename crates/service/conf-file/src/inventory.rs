//! Inventories: files that some tool keeps, as sources of facts about workers.
use crate::fields::{Fields, Words};
use std::path::PathBuf;
use std::time::Duration;

/// An inventory's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Inventory {
    /// Its name.
    pub name: String,
    /// The file.
    pub file: PathBuf,
    /// Its form; by its name's ending and its shape where that is not set.
    pub form: Option<InventoryForm>,
    /// What stands between a table's fields.
    pub delimiter: Delimiter,
    /// Columns or keys that have other names than the facts: the fact (or `host`, or `label.NAME`), and theirs.
    pub fields: Vec<(String, String)>,
    /// The most that the file, with what belongs to it, may have, bytes.
    pub size: u64,
    /// The most hosts.
    pub hosts: usize,
    /// The share of its lines that may be left out; with more nothing is taken.
    pub refuse_over: f64,
    /// The share of hosts that a new version may change; with more it waits for confirmation.
    pub hold_over: f64,
    /// Whether its weights go before the live list's.
    pub weight_first: bool,
    /// What stands in where neither the list nor the file says anything: `kind`, `weight` or `slots`, and the value.
    pub defaults: Vec<(String, String)>,
    /// Where good versions are kept, and how many.
    pub keep: Option<PathBuf>,
    /// See `keep`.
    pub history: usize,
    /// How changes are noticed.
    pub watch: Watch,
    /// How often the file is looked at, by itself or beside the system's word.
    pub poll: Duration,
    /// How long a file must have stood unchanged before it is taken.
    pub settle: Duration,
}

/// The form of an inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InventoryForm {
    /// A table.
    Csv,
    /// A plain list of hosts in YAML.
    Hosts,
    /// Groups in YAML, as Ansible keeps them.
    Ansible,
}

/// What stands between a table's fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delimiter {
    /// Whichever of the others the header has most of.
    #[default]
    Auto,
    /// `,`
    Comma,
    /// `;`
    Semicolon,
    /// A tab.
    Tab,
}

/// How changes of a file are noticed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Watch {
    /// The system tells, and the file is looked at now and then.
    #[default]
    Notify,
    /// The file is looked at now and then: for file systems that don't tell.
    Poll,
    /// Only on SIGHUP.
    No,
}

const FIELDS: [&str; 7] = ["host", "zone", "pod", "kind", "weight", "slots", "labels"];

impl Inventory {
    pub(crate) fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let (ms, s) = (Duration::from_millis, Duration::from_secs);
        let span = |least, most| move |w: &mut Words<'_>| w.span(least, most);
        let name = fields.name();
        let file = fields.required("file", |w| w.path());
        let forms = [
            ("csv", InventoryForm::Csv),
            ("hosts", InventoryForm::Hosts),
            ("ansible", InventoryForm::Ansible),
        ];
        let form = fields.one("format", |w| w.choice(&forms));
        let delimiters = [
            ("auto", Delimiter::Auto),
            ("comma", Delimiter::Comma),
            ("semicolon", Delimiter::Semicolon),
            ("tab", Delimiter::Tab),
        ];
        let delimiter = fields.one("delimiter", |w| w.choice(&delimiters)).unwrap_or_default();
        let mut seen: Vec<(String, String)> = Vec::new();
        let mapped = fields.many("field", |w| {
            let (fact, column) = (w.text()?, w.text()?);
            let label = fact.strip_prefix("label.").is_some_and(|l| !l.is_empty());
            if !label && !FIELDS.contains(&fact.as_str()) {
                return Err(format!("`{fact}` is none of {} and label.NAME", FIELDS.join(", ")));
            }
            if seen.iter().any(|(f, c)| *f == fact || c.eq_ignore_ascii_case(&column)) {
                return Err(format!("`{fact}` or `{column}` stands in another line already"));
            }
            seen.push((fact.clone(), column.clone()));
            Ok((fact, column))
        });
        let defaults = fields.many("default", |w| {
            let fact = w.choice(&[("kind", "kind"), ("weight", "weight"), ("slots", "slots")])?;
            let value = w.text()?;
            let good = match fact {
                "weight" => value.parse::<f64>().is_ok_and(|n| (0.001..=1000.0).contains(&n)),
                "slots" => value.parse::<u32>().is_ok_and(|n| (1..=4096).contains(&n)),
                _ => true,
            };
            if good { Ok((fact.to_owned(), value)) } else { Err(format!("`{value}` is no {fact}")) }
        });
        let size = fields.one("size", |w| w.size(1 << 10, 1 << 30)).unwrap_or(64 << 20);
        let hosts = fields.one("hosts", |w| w.number(1, 1_000_000)).unwrap_or(20_000);
        let refuse_over = fields.one("refuse-over", |w| w.percent()).unwrap_or(0.1);
        let hold_over = fields.one("hold-over", |w| w.percent()).unwrap_or(0.25);
        let weight = fields.one("weight", |w| w.choice(&[("list-first", false), ("file-first", true)]));
        let keep = fields.one("keep", |w| w.path());
        let history = fields.one("history", |w| w.number(1, 1000)).unwrap_or(10);
        let watches = [("notify", Watch::Notify), ("poll", Watch::Poll), ("no", Watch::No)];
        let watch = fields.one("watch", |w| w.choice(&watches)).unwrap_or_default();
        let poll = fields.one("poll", span(ms(100), s(3600))).unwrap_or(s(5));
        let settle = fields.one("settle", span(Duration::ZERO, s(60))).unwrap_or(ms(500));
        Some(Inventory {
            name: name?,
            file: file?,
            form,
            delimiter,
            fields: mapped,
            size,
            hosts: hosts as usize,
            refuse_over,
            hold_over,
            weight_first: weight.unwrap_or(false),
            defaults,
            keep,
            history: history as usize,
            watch,
            poll,
            settle,
        })
    }
}
