//! The operators' own settings: a line-based file in the manner of classic daemons, read, checked and given defaults
//! here and nowhere else.
//!
//! A line at the margin opens a section (`ledger`, `log`), an indented one is `keyword argument...`; `#` begins a
//! comment, words are quoted as in a shell, spans and sizes carry units (`10s`, `250ms`, `16MiB`). Whatever is wrong is
//! told at once, as `FILE:LINE: keyword: why`, and an unknown keyword with the nearest known one.
//!
//! The grammar is ours since it has four rules; words (`shlex`), spans (`humantime`), sizes (`bytesize`) and the nearest
//! keyword (`strsim`, Damerau-Levenshtein) are libraries'.
mod fields;
mod inventory;
mod lines;

use fields::{Fields, Words};
pub use inventory::{Delimiter, Inventory, InventoryForm, Watch};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// No such file is larger; another one was named by mistake.
const MAX_FILE: u64 = 1 << 20;

/// All that operators may set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Conf {
    /// How the log is written.
    pub log: Log,
    /// The ledger of jobs; without it nothing is kept through a crash.
    pub ledger: Option<Ledger>,
    /// Inventories; the first goes before the others.
    pub inventories: Vec<Inventory>,
    /// Membership among the schedulers; without it no datagram is sent.
    pub membership: Option<Membership>,
    /// How duties are held, where there are any.
    pub leases: Leases,
    /// What one scheduler does at a time.
    pub duties: Vec<Duty>,
}

/// How duties are held.
#[derive(Clone, Debug, PartialEq)]
pub struct Leases {
    /// How long one is granted.
    pub lease: Duration,
    /// The most by which two clocks may drift apart within a lease.
    pub clock_bound: Duration,
    /// How long an answer of another scheduler may take.
    pub patience: Duration,
    /// While the set of schedulers is changed: how many the smaller of the two sets has, and where that is said.
    pub joint: Option<(u16, String)>,
}

impl Default for Leases {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Leases { lease: ms(3000), clock_bound: ms(300), patience: ms(200), joint: None }
    }
}

/// A duty: a call that its holder makes.
#[derive(Clone, Debug, PartialEq)]
pub struct Duty {
    /// Its name, the same at all schedulers.
    pub name: String,
    /// Whom it calls, and by which path.
    pub call: (SocketAddr, String),
    /// How often.
    pub every: Duration,
    /// The section's file and line.
    pub place: String,
}

/// How this scheduler takes part in the membership.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// The span between two heartbeats.
    pub every: Duration,
    /// To how many members each goes.
    pub fanout: u16,
    /// The share of datagrams whose loss must not make a live member dead.
    pub loss: f64,
    /// Schedulers of another tier are not heard.
    pub tier: String,
    /// The section's file and line, for what only the configuration shows to be wrong.
    pub place: String,
}

/// How the log is written, to standard error.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    /// Lines for people or for programs.
    pub format: Format,
    /// The least that is written.
    pub level: Level,
}

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// A line of text each.
    #[default]
    Text,
    /// A JSON object each.
    Json,
}

/// How grave a log line must be to be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// What stops a part of the service.
    Error,
    /// What an operator should look at.
    Warn,
    /// What happens seldom enough to be told.
    #[default]
    Info,
    /// What helps to find a fault.
    Debug,
}

/// The ledger's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Ledger {
    /// Where it is kept; one process at a time holds it.
    pub folder: PathBuf,
    /// Whether what was written is waited for until the disk has it. Without, a crash of the process loses nothing,
    /// one of the machine may.
    pub sync: bool,
    /// How long a commit waits for more records to go with it.
    pub gather: Duration,
    /// Which jobs are kept.
    pub durable: Durable,
    /// How long a worker may hold a job without being heard of.
    pub lease: Duration,
    /// The most by which two clocks may drift apart, or a message may wait, within a lease.
    pub clock_bound: Duration,
    /// How long an answer is kept at least, for a client that comes back.
    pub keep: Duration,
    /// The most jobs that it holds, open and kept ones.
    pub jobs: usize,
    /// The most that it takes on disk, bytes.
    pub disk: u64,
    /// The size at which a file of it is closed and the next begun, bytes.
    pub segment: u64,
}

/// Which jobs the ledger keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Durable {
    /// Those with an `Idempotency-Key`, and those of classes that must never run twice. For the others nobody could come
    /// back, and repeating them is harmless.
    #[default]
    Keyed,
    /// All.
    All,
}

/// What is wrong in a file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Errors(pub Vec<Problem>);

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file's name as it was given.
    pub file: String,
    /// The line, counted from 1; 0 is the file as a whole.
    pub line: usize,
    /// The keyword, or the section that lacks one.
    pub keyword: String,
    /// Why it can't be used.
    pub why: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem { file, line, keyword, why } = self;
        match (line, keyword.as_str()) {
            (0, _) => write!(f, "{file}: {why}"),
            (_, "") => write!(f, "{file}:{line}: {why}"),
            _ => write!(f, "{file}:{line}: {keyword}: {why}"),
        }
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}

/// Reads and checks a file.
///
/// # Errors
/// Everything that is wrong with it, at once.
pub fn read(path: &Path) -> Result<Conf, Errors> {
    let file = path.display().to_string();
    let whole =
        |why: String| Errors(vec![Problem { file: file.clone(), line: 0, keyword: String::new(), why }]);
    let meta = std::fs::metadata(path).map_err(|e| whole(e.to_string()))?;
    if !meta.is_file() {
        return Err(whole("is not a file".into()));
    }
    if meta.len() > MAX_FILE {
        return Err(whole(format!("is larger than {MAX_FILE} bytes")));
    }
    let bytes = std::fs::read(path).map_err(|e| whole(e.to_string()))?;
    parse(&file, &bytes)
}

/// Reads and checks a file's text; `file` is its name in messages.
///
/// # Errors
/// Everything that is wrong with it, at once.
pub fn parse(file: &str, bytes: &[u8]) -> Result<Conf, Errors> {
    let mut errors = Errors(Vec::new());
    let sections = lines::sections(file, bytes, &mut errors.0);
    let mut conf = Conf::default();
    let mut seen: Vec<(&str, &[String], usize)> = Vec::new();
    for section in &sections {
        let mut fields = Fields::new(file, section, &mut errors.0);
        let same = |(name, arguments, _): &&(&str, &[String], usize)| {
            let many = matches!(section.name.as_str(), "inventory" | "duty");
            *name == section.name && (!many || *arguments == section.arguments)
        };
        if let Some((_, _, line)) = seen.iter().find(same) {
            fields.section_problem(format!("the section stands on line {line} already"));
            continue;
        }
        seen.push((&section.name, &section.arguments, section.line));
        match section.name.as_str() {
            "log" => {
                fields.no_arguments();
                conf.log = Log::read(&mut fields);
                fields.done();
            }
            "ledger" => {
                fields.no_arguments();
                conf.ledger = Ledger::read(&mut fields);
                fields.done();
            }
            "inventory" => {
                conf.inventories.extend(Inventory::read(&mut fields));
                fields.done();
            }
            "membership" => {
                fields.no_arguments();
                conf.membership = Some(Membership::read(&mut fields));
                fields.done();
            }
            "leases" => {
                fields.no_arguments();
                conf.leases = Leases::read(&mut fields);
                fields.done();
            }
            "duty" => {
                conf.duties.extend(Duty::read(&mut fields));
                fields.done();
            }
            _ => fields.unknown_section(&["log", "ledger", "inventory", "membership", "leases", "duty"]),
        }
    }
    if let Some(duty) = conf.duties.first().filter(|_| conf.membership.is_none()) {
        let line = duty.place.rsplit(':').next().and_then(|l| l.parse().ok()).unwrap_or(0);
        let why = "needs the section `membership`: duties are granted by its datagrams".to_owned();
        errors.0.push(Problem { file: file.into(), line, keyword: "duty".into(), why });
    }
    errors.0.sort_by_key(|p| p.line);
    if errors.0.is_empty() { Ok(conf) } else { Err(errors) }
}

impl Log {
    fn read(fields: &mut Fields<'_>) -> Self {
        let formats = [("text", Format::Text), ("json", Format::Json)];
        let levels =
            [("error", Level::Error), ("warn", Level::Warn), ("info", Level::Info), ("debug", Level::Debug)];
        Log {
            format: fields.one("format", |w| w.choice(&formats)).unwrap_or_default(),
            level: fields.one("level", |w| w.choice(&levels)).unwrap_or_default(),
        }
    }
}

impl Leases {
    fn read(fields: &mut Fields<'_>) -> Self {
        let (ms, s) = (Duration::from_millis, Duration::from_secs);
        let default = Leases::default();
        let leases = Leases {
            lease: fields.one("lease", |w| w.span(ms(200), s(600))).unwrap_or(default.lease),
            clock_bound: fields.one("clock-bound", |w| w.span(ms(1), s(60))).unwrap_or(default.clock_bound),
            patience: fields.one("patience", |w| w.span(ms(10), s(10))).unwrap_or(default.patience),
            joint: fields
                .one("joint-with", |w| w.number(1, 65_534))
                .map(|n| (n as u16, fields.place_of("joint-with"))),
        };
        if leases.clock_bound >= leases.lease {
            fields.problem("clock-bound", "must be shorter than the lease".into());
        }
        if leases.patience * 3 > leases.lease {
            fields.problem(
                "patience",
                "must fit into a lease three times, so that one lost question loses nothing".into(),
            );
        }
        leases
    }
}

impl Duty {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let (ms, s) = (Duration::from_millis, Duration::from_secs);
        let name = fields.name();
        let call = fields.required("call", |w| {
            let text = w.text()?;
            let rest = text
                .strip_prefix("http://")
                .ok_or_else(|| format!("`{text}` is not http://ADDRESS:PORT/PATH"))?;
            let (addr, path) = rest.split_once('/').unwrap_or((rest, ""));
            let addr = addr.parse().map_err(|_| format!("`{addr}` is no address with a port"))?;
            Ok((addr, format!("/{path}")))
        });
        let every = fields.one("every", |w| w.span(ms(20), s(24 * 3600))).unwrap_or(s(1));
        Some(Duty { name: name?, call: call?, every, place: fields.place() })
    }
}

impl Membership {
    fn read(fields: &mut Fields<'_>) -> Self {
        let (ms, s) = (Duration::from_millis, Duration::from_secs);
        Membership {
            every: fields.one("every", |w| w.span(ms(20), s(60))).unwrap_or(ms(100)),
            fanout: fields.one("fanout", |w| w.number(1, 64)).unwrap_or(4) as u16,
            loss: fields.one("loss", |w| w.percent()).unwrap_or(0.3).min(0.9),
            tier: fields.one("tier", |w| w.text()).unwrap_or_else(|| "default".to_owned()),
            place: fields.place(),
        }
    }
}

impl Ledger {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let (ms, s) = (Duration::from_millis, Duration::from_secs);
        let span = |least, most| move |w: &mut Words<'_>| w.span(least, most);
        let folder = fields.required("folder", |w| w.path());
        let sync = fields.one("sync", |w| w.choice(&[("yes", true), ("no", false)]));
        let durable =
            fields.one("durable", |w| w.choice(&[("keyed", Durable::Keyed), ("all", Durable::All)]));
        let gather = fields.one("gather", span(Duration::ZERO, ms(100))).unwrap_or(ms(2));
        let lease = fields.one("lease", span(s(1), s(3600))).unwrap_or(s(10));
        let clock_bound = fields.one("clock-bound", span(ms(1), s(60))).unwrap_or(ms(250));
        if clock_bound >= lease {
            fields.problem("clock-bound", "must be shorter than the lease".into());
        }
        let keep = fields.one("keep", span(s(1), s(24 * 3600))).unwrap_or(s(120));
        let jobs = fields.one("jobs", |w| w.number(100, 50_000_000)).unwrap_or(200_000);
        let disk = fields.one("disk", |w| w.size(1 << 20, 1 << 40)).unwrap_or(1 << 30);
        let segment = fields.one("segment", |w| w.size(64 << 10, 1 << 30)).unwrap_or(16 << 20);
        if segment * 4 > disk {
            fields.problem("segment", "must be a quarter of `disk` at the most".into());
        }
        Some(Ledger {
            folder: folder?,
            sync: sync.unwrap_or(true),
            gather,
            durable: durable.unwrap_or_default(),
            lease,
            clock_bound,
            keep,
            jobs: jobs as usize,
            disk,
            segment,
        })
    }
}
