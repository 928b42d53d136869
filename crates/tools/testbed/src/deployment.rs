//! A deployment as a file: what the platform to be tried on is like. TOML, read by hand from the
//! parsed table so that all that
//! is wrong is told at once, each with its line and key; serde would end at the first.
use crate::workload::{Class, Kind, Mode, Scope, Via};
use std::fmt;
use std::path::Path;
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// No such file is larger; another one was named by mistake.
const MAX_FILE: u64 = 1 << 20;
/// The load report's fields that a protocol names.
const FIELDS: [&str; 5] = ["x0", "x1", "queue", "eps", "util"];

/// What a deployment is like. Running times are as they are played, scaled already.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    pub about: String,
    /// What running times are multiplied with, if nobody says otherwise.
    pub scale: f64,
    pub zones: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<Kind>,
    /// Workers of a pod; pods lie within a zone.
    pub pod: usize,
    /// Jobs that wait at a worker.
    pub queue: usize,
    pub cold: Duration,
    pub cold_from: f64,
    pub progress: Duration,
    pub via: Via,
    pub fields: Vec<String>,
    /// How often a report is made anew.
    pub every: Duration,
    pub probes: bool,
    pub probe_work: Duration,
    pub mode: Mode,
    /// How late a change of the list is told.
    pub list_late: Duration,
    pub drain_grace: Duration,
    pub tip_multiple: f64,
    pub tip: Duration,
    pub attempts: u32,
    pub second_copies: bool,
    pub cancel: bool,
    pub idle: Duration,
    pub retry_after: Duration,
    pub prices: Prices,
    /// The share of keyed jobs that two clients bring at once.
    pub doubled: f64,
    pub classes: Vec<Class>,
}

/// Shares of a request's worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    pub handshake: f64,
    pub probe: f64,
    pub cross_zone: f64,
    pub waste: f64,
    pub connection: f64,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Counted from 1; 0 is the file as a whole.
    pub line: usize,
    pub key: String,
    pub why: String,
}

/// All that is wrong with a file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    pub file: String,
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, Fault { line, key, why }) in self.faults.iter().enumerate() {
            let file = &self.file;
            let end = if i > 0 { "\n" } else { "" };
            match (line, key.as_str()) {
                (0, _) => write!(f, "{end}{file}: {why}")?,
                (_, "") => write!(f, "{end}{file}:{line}: {why}")?,
                _ => write!(f, "{end}{file}:{line}: {key}: {why}")?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

impl Deployment {
    /// Reads and checks a file; running times are multiplied with `scale`, or with the file's own.
    ///
    /// # Errors
    /// Everything that is wrong with it, at once.
    pub fn read(path: &Path, scale: Option<f64>) -> Result<Self, Faults> {
        let file = path.display().to_string();
        let whole = |why: String| Faults {
            file: file.clone(),
            faults: vec![Fault { line: 0, key: String::new(), why }],
        };
        let meta = std::fs::metadata(path).map_err(|e| whole(e.to_string()))?;
        if !meta.is_file() || meta.len() > MAX_FILE {
            return Err(whole(format!("is no file of at most {MAX_FILE} bytes")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| whole(e.to_string()))?;
        Self::parse(&file, &text, scale)
    }

    /// Reads and checks a text; `file` is its name in messages.
    ///
    /// # Errors
    /// Everything that is wrong with it, at once.
    pub fn parse(file: &str, text: &str, scale: Option<f64>) -> Result<Self, Faults> {
        let line = |at: usize| 1 + text[..at.min(text.len())].matches('\n').count();
        let root = DeTable::parse(text).map_err(|e| Faults {
            file: file.to_owned(),
            faults: vec![Fault {
                line: line(e.span().map_or(0, |s| s.start)),
                key: String::new(),
                why: e.message().trim_end().replace('\n', " "),
            }],
        })?;
        let mut faults = Vec::new();
        let found = Section::new(root.get_ref(), String::new(), root.span().start, &line, &mut faults)
            .deployment(scale);
        faults.sort_by_key(|f| f.line);
        match found {
            Some(deployment) if faults.is_empty() => Ok(deployment),
            _ => Err(Faults { file: file.to_owned(), faults }),
        }
    }

    /// The one that is played when none is named.
    pub fn default_one(scale: Option<f64>) -> Self {
        let text = include_str!("../../../../deploy/deployments/memberships.toml");
        Self::parse("memberships.toml", text, scale).unwrap_or_else(|e| unreachable!("{e}"))
    }

    /// The kind of the `i`-th worker: kinds come as often as their shares say, evenly spread.
    pub fn kind(&self, i: usize) -> &Kind {
        let total: f64 = self.kinds.iter().map(|k| k.share).sum();
        // A low-discrepancy sequence (the golden ratio's): any run of workers has about the shares.
        let at = (i as f64 * 0.618_033_988_75 + 0.3).fract() * total;
        let mut upto = 0.0;
        let found = self.kinds.iter().find(|k| {
            upto += k.share;
            at < upto
        });
        found.unwrap_or(&self.kinds[self.kinds.len() - 1])
    }
}

/// A table that is being read: keys that nobody asks for are unknown ones.
struct Section<'t, 'e> {
    table: &'t DeTable<'t>,
    path: String,
    at: usize,
    line: &'e dyn Fn(usize) -> usize,
    faults: &'e mut Vec<Fault>,
    asked: Vec<&'static str>,
}

impl<'t, 'e> Section<'t, 'e> {
    fn new(
        table: &'t DeTable<'t>,
        path: String,
        at: usize,
        line: &'e dyn Fn(usize) -> usize,
        faults: &'e mut Vec<Fault>,
    ) -> Self {
        Section { table, path, at, line, faults, asked: Vec::new() }
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn fault(&mut self, at: usize, key: &str, why: impl Into<String>) {
        let fault = Fault { line: (self.line)(at), key: self.key(key), why: why.into() };
        self.faults.push(fault);
    }

    fn value(&mut self, key: &'static str) -> Option<&'t Spanned<DeValue<'t>>> {
        self.asked.push(key);
        self.table.get(key)
    }

    fn missing(&mut self, key: &str) {
        let at = self.at;
        self.fault(at, key, "is missing");
    }

    fn as_number(value: &DeValue<'_>) -> Option<f64> {
        match value {
            DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
            DeValue::Float(x) => x.as_str().parse().ok(),
            _ => None,
        }
    }

    /// A number within bounds; one that is wrong or missing counts as the least, so that reading
    /// goes on.
    fn number(&mut self, key: &'static str, least: f64, most: f64, default: Option<f64>) -> f64 {
        let Some(value) = self.value(key) else {
            if default.is_none() {
                self.missing(key);
            }
            return default.unwrap_or(least);
        };
        match Self::as_number(value.get_ref()).filter(|x| x.is_finite()) {
            Some(x) if (least..=most).contains(&x) => x,
            Some(x) => {
                self.fault(value.span().start, key, format!("{x} is not within {least} to {most}"));
                least
            }
            None => {
                self.fault(value.span().start, key, "is no number");
                least
            }
        }
    }

    fn whole(&mut self, key: &'static str, least: u32, most: u32, default: Option<u32>) -> u32 {
        let number = self.number(key, least.into(), most.into(), default.map(Into::into));
        if number.fract() != 0.0 {
            let at = self.table.get(key).map_or(self.at, |v| v.span().start);
            self.fault(at, key, "is no whole number");
        }
        number as u32
    }

    fn ms(&mut self, key: &'static str, least: f64, most: f64, default: Option<f64>) -> Duration {
        Duration::from_secs_f64(self.number(key, least, most, default) / 1000.0)
    }

    fn flag(&mut self, key: &'static str, default: bool) -> bool {
        match self.value(key).map(|v| (v.span().start, v.get_ref())) {
            None => default,
            Some((_, DeValue::Boolean(flag))) => *flag,
            Some((at, _)) => {
                self.fault(at, key, "is neither true nor false");
                default
            }
        }
    }

    fn text(&mut self, key: &'static str, default: Option<&str>) -> String {
        match self.value(key).map(|v| (v.span().start, v.get_ref())) {
            Some((_, DeValue::String(text))) if !text.is_empty() => text.to_string(),
            Some((at, _)) => {
                self.fault(at, key, "is no text");
                String::new()
            }
            None => {
                if default.is_none() {
                    self.missing(key);
                }
                default.unwrap_or_default().to_owned()
            }
        }
    }

    fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)], default: Option<T>) -> Option<T> {
        if !self.table.contains_key(key) && default.is_some() {
            self.asked.push(key);
            return default;
        }
        let text = self.text(key, None);
        let found = choices.iter().find(|(name, _)| *name == text).map(|(_, value)| *value);
        if found.is_none() && !text.is_empty() {
            let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            let at = self.table.get(key).map_or(self.at, |v| v.span().start);
            self.fault(at, key, format!("`{text}` is none of {}", names.join(", ")));
        }
        found
    }

    /// A list of names, each of them once.
    fn names(&mut self, key: &'static str, known: Option<&[&str]>, least: usize) -> Vec<String> {
        let Some(value) = self.value(key) else {
            if least > 0 {
                self.missing(key);
            }
            return Vec::new();
        };
        let DeValue::Array(list) = value.get_ref() else {
            self.fault(value.span().start, key, "is no list");
            return Vec::new();
        };
        let mut names: Vec<String> = Vec::new();
        for entry in list {
            let at = entry.span().start;
            match entry.get_ref() {
                DeValue::String(name) if known.is_some_and(|k| !k.contains(&&**name)) => {
                    let all = known.unwrap_or_default().join(", ");
                    self.fault(at, key, format!("`{name}` is none of {all}"));
                }
                DeValue::String(name) if names.iter().any(|n| *n == **name) => {
                    self.fault(at, key, format!("`{name}` stands there twice"));
                }
                DeValue::String(name) if !name.is_empty() => names.push(name.to_string()),
                _ => self.fault(at, key, "holds something that is no name"),
            }
        }
        if names.len() < least && !list.iter().any(|_| true) {
            self.fault(value.span().start, key, "is empty");
        }
        names
    }

    /// A pair of numbers, the second not under the first.
    fn range(&mut self, key: &'static str, most: f64) -> Option<(f64, f64)> {
        let value = self.value(key)?;
        let numbers = match value.get_ref() {
            DeValue::Array(list) => list.iter().map(|v| Self::as_number(v.get_ref())).collect(),
            _ => Vec::new(),
        };
        match numbers[..] {
            [Some(a), Some(b)] if 0.0 <= a && a <= b && b <= most => Some((a, b)),
            _ => {
                self.fault(
                    value.span().start,
                    key,
                    format!("is no pair of numbers from 0 to {most}, the least first"),
                );
                None
            }
        }
    }

    /// Reads a part of this table; one that is missing is read as if it were empty.
    fn part<T>(&mut self, key: &'static str, read: impl FnOnce(&mut Section<'_, '_>) -> T) -> T {
        let empty = DeTable::new();
        let (table, at) = match self.value(key).map(|v| (v.span().start, v.get_ref())) {
            Some((at, DeValue::Table(table))) => (table, at),
            Some((at, _)) => {
                self.fault(at, key, "is no table");
                (&empty, at)
            }
            None => (&empty, self.at),
        };
        let path = self.key(key);
        let mut section = Section::new(table, path, at, self.line, self.faults);
        let found = read(&mut section);
        section.done();
        found
    }

    /// Reads a list of tables.
    fn parts<T>(
        &mut self,
        key: &'static str,
        mut read: impl FnMut(&mut Section<'_, '_>) -> Option<T>,
    ) -> Vec<T> {
        let mut all = Vec::new();
        match self.value(key).map(|v| (v.span().start, v.get_ref())) {
            Some((_, DeValue::Array(list))) => {
                for (i, entry) in list.iter().enumerate() {
                    let path = format!("{}[{i}]", self.key(key));
                    match entry.get_ref() {
                        DeValue::Table(table) => {
                            let mut section =
                                Section::new(table, path, entry.span().start, self.line, self.faults);
                            all.extend(read(&mut section));
                            section.done();
                        }
                        _ => self.fault(entry.span().start, key, "holds something that is no table"),
                    }
                }
            }
            Some((at, _)) => self.fault(at, key, "is no list of tables"),
            None => self.missing(key),
        }
        all
    }

    /// What nobody asked for is unknown.
    fn done(&mut self) {
        let unknown: Vec<(usize, String)> = (self.table.iter())
            .filter(|(key, _)| !self.asked.contains(&&**key.get_ref()))
            .map(|(key, _)| (key.span().start, key.get_ref().to_string()))
            .collect();
        for (at, key) in unknown {
            let near = self.asked.iter().map(|k| (strsim::damerau_levenshtein(k, &key), *k)).min();
            let near = near.filter(|(far, _)| *far <= 2).map(|(_, k)| format!(", perhaps `{k}`"));
            self.fault(at, &key, format!("is unknown{}", near.unwrap_or_default()));
        }
    }

    #[expect(clippy::too_many_lines, reason = "one key a line; to be split with the rest of this file")]
    fn deployment(&mut self, scale: Option<f64>) -> Option<Deployment> {
        let about = self.text("about", Some(""));
        let own = self.number("scale", 1e-4, 100.0, Some(1.0));
        let scale = scale.unwrap_or(own);
        let zones = self.names("zones", None, 1);
        let tenants = self.names("tenants", None, 1);
        let (pod, queue, cold, cold_from, progress, kinds) = self.part("workers", |w| {
            let kinds = w.parts("kind", |k| k.kind());
            (
                w.whole("pod", 1, 1000, Some(2)) as usize,
                w.whole("queue", 0, 10_000, Some(8)) as usize,
                w.ms("cold_ms", 0.0, 600_000.0, Some(1000.0)),
                w.number("cold_from", 0.01, 1.0, Some(0.3)),
                w.ms("progress_ms", 1.0, 600_000.0, Some(500.0)),
                kinds,
            )
        });
        let (via, fields, every, probes, probe_work) = self.part("reports", |r| {
            let via = r.choice(
                "via",
                &[("answers", Via::Answers), ("probe", Via::Probe), ("none", Via::None)],
                None,
            );
            (
                via,
                r.names("fields", Some(&FIELDS), 0),
                r.ms("every_ms", 0.0, 600_000.0, Some(0.0)),
                r.flag("probes", true),
                r.ms("probe_work_ms", 0.0, 10_000.0, Some(0.0)),
            )
        });
        let (mode, list_late) = self.part("list", |l| {
            let mode = l.choice("mode", &[("watch", Mode::Watch), ("push", Mode::Push)], None);
            (mode, l.ms("late_ms", 0.0, 600_000.0, Some(0.0)))
        });
        let (drain_grace, tip_multiple, tip) = self.part("rules", |r| {
            (
                r.ms("drain_grace_ms", 0.0, 600_000.0, None),
                r.number("tip_multiple", 1.0, 1000.0, Some(3.0)),
                r.ms("tip_ms", 1.0, 600_000.0, Some(3000.0)),
            )
        });
        let (attempts, second_copies, cancel, idle, retry_after) = self.part("limits", |l| {
            (
                l.whole("attempts", 1, 1000, Some(6)),
                l.flag("second_copies", false),
                l.flag("cancel", true),
                l.ms("idle_ms", 100.0, 3_600_000.0, Some(10_000.0)),
                l.ms("retry_after_ms", 0.0, 600_000.0, Some(0.0)),
            )
        });
        let prices = self.part("prices", |p| Prices {
            handshake: p.number("handshake", 0.0, 1.0, Some(0.0)),
            probe: p.number("probe", 0.0, 1.0, Some(0.0)),
            cross_zone: p.number("cross_zone", 0.0, 1.0, Some(0.0)),
            waste: p.number("waste", 0.0, 1.0, Some(0.0)),
            connection: p.number("connection", 0.0, 1.0, Some(0.0)),
        });
        let doubled = self.part("clients", |c| c.number("doubled", 0.0, 1.0, Some(0.0)));
        let classes = self.parts("class", |c| c.class(scale));
        for (i, class) in classes.iter().enumerate() {
            if classes[..i].iter().any(|other| other.name == class.name) {
                let at = self.at;
                self.fault(at, "class", format!("`{}` is two classes' name", class.name));
            }
        }
        if probes && via == Some(Via::Answers) && fields.is_empty() {
            let at = self.at;
            self.fault(at, "reports.fields", "is empty, though answers hold reports");
        }
        let most = kinds.iter().map(|k| k.memory).fold(0.0, f64::max);
        for class in &classes {
            // It could not be placed, ever. A job that needs more than that is an exception, which
            // tests bring themselves.
            if class.memory.1 > most {
                let (at, name) = (self.at, &class.name);
                let why =
                    format!("class `{name}` needs up to {} and no kind has more than {most}", class.memory.1);
                self.fault(at, "class.memory", why);
            }
        }
        self.done();
        Some(Deployment {
            about,
            scale,
            zones,
            tenants,
            kinds,
            pod,
            queue,
            cold,
            cold_from,
            progress,
            via: via?,
            fields,
            every,
            probes,
            probe_work,
            mode: mode?,
            list_late,
            drain_grace,
            tip_multiple,
            tip,
            attempts,
            second_copies,
            cancel,
            idle,
            retry_after,
            prices,
            doubled,
            classes,
        })
    }

    #[expect(clippy::unnecessary_wraps, reason = "read as `class` is, by the same caller")]
    fn kind(&mut self) -> Option<Kind> {
        let slots = self.whole("slots", 1, 1000, Some(2));
        Some(Kind {
            name: self.text("name", None),
            share: self.number("share", 0.001, 1000.0, Some(1.0)),
            cores: self.whole("cores", 1, 1000, Some(slots)) as usize,
            speed: self.number("speed", 0.01, 100.0, Some(1.0)),
            slots: slots as usize,
            memory: self.number("memory", 0.0, 1e6, Some(0.0)),
        })
    }

    fn class(&mut self, scale: f64) -> Option<Class> {
        let scopes = [
            ("harmless", Scope::Safe),
            ("pod", Scope::Cell),
            ("zone", Scope::Zone),
            ("all", Scope::All),
            ("never", Scope::Never),
        ];
        let scope = self.choice("repeats", &scopes, Some(Scope::Safe));
        let dropped = matches!(scope, Some(Scope::Cell | Scope::Zone | Scope::All));
        let window = self.ms("window_ms", 1.0, 3.6e6, if dropped { None } else { Some(1.0) });
        let aim = self.ms("aim_ms", 0.0, 3.6e6, None);
        let deadline = self.ms("deadline_ms", 1.0, 3.6e6, None);
        if aim > deadline {
            let at = self.at;
            self.fault(at, "aim_ms", "is longer than the deadline");
        }
        Some(Class {
            name: self.text("name", None),
            scope: scope?,
            window: if dropped { window } else { Duration::ZERO },
            run: self.ms("run_ms", 0.01, 3.6e6, None).mul_f64(scale),
            cv: self.number("cv", 0.0, 10.0, Some(0.3)),
            aim,
            stretch: self.number("stretch", 0.0, 1000.0, Some(0.0)),
            deadline,
            worth: self.number("worth", 0.0, 1e9, Some(1.0)),
            late: self.number("late", 0.0, 1.0, Some(0.0)),
            share: self.number("share", 0.0, 1000.0, Some(1.0)),
            memory: self.range("memory", 1e6).unwrap_or((0.0, 0.0)),
        })
    }
}
