//! Versions of an inventory: which is in use, which is held back until somebody confirms it, and which was refused.
//!
//! A new version is taken whole or not at all. It is **refused** when the file as a whole can't be used, or when more than a
//! set share of its lines can't. It is **held back** when it changes more than a set share of the hosts, or when whoever
//! uses it objects (a class of jobs would be left without a worker). In both cases the version in use goes on.
use crate::judge::Judged;
use crate::place::Refusal;
use crate::row::{Fact, Row};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// When a version is turned away or held back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The share of lines left out above which the whole file is refused.
    pub refuse_over: f64,
    /// The share of hosts changed, added or removed above which it is held back.
    pub hold_over: f64,
}

/// A version of an inventory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Counts up from 1 for each that was taken, through restarts where versions are kept.
    pub number: u64,
    /// Of the files' bytes, in hex.
    pub digest: String,
    /// When it was read, Unix milliseconds.
    pub read_ms: u64,
    /// The files it was read from; places count into them.
    pub files: Vec<Arc<str>>,
    /// The hosts that it names, by their normal names.
    pub rows: FxHashMap<Arc<str>, Row>,
    /// What was wrong with it, lines left out and warnings.
    pub refusals: Vec<Refusal>,
}

/// A version that waits for confirmation.
#[derive(Clone, Debug)]
pub struct Held {
    /// The version; it has no number yet.
    pub version: Arc<Version>,
    /// Since when, Unix milliseconds.
    pub since_ms: u64,
    /// What holds it back.
    pub why: String,
}

/// The newest version that could not be taken at all.
#[derive(Clone, Debug)]
pub struct Turned {
    /// Of the files' bytes, in hex.
    pub digest: String,
    /// When it was read, Unix milliseconds.
    pub since_ms: u64,
    /// Why.
    pub why: String,
    /// All that was wrong with it.
    pub refusals: Vec<Refusal>,
    /// The files it was read from.
    pub files: Vec<Arc<str>>,
}

/// What became of a version that was offered.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// It is the one in use, or the one that is known not to be.
    Same,
    /// It is in use from now on.
    Taken(Arc<Version>),
    /// It waits for confirmation.
    Held(String),
    /// Nothing of it is used.
    Refused(String),
}

/// A host of which two versions say differently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The host.
    pub host: Arc<str>,
    /// The fact; `None` where the host itself came or went.
    pub fact: Option<Fact>,
    /// What the old version says.
    pub from: Option<String>,
    /// What the new one says.
    pub to: Option<String>,
}

/// What differs between two versions, by host and fact.
pub fn diff(old: &Version, new: &Version) -> Vec<Change> {
    let mut changes = Vec::new();
    let here = || Some("listed".to_owned());
    for (host, row) in &new.rows {
        match old.rows.get(host) {
            None => changes.push(Change { host: host.clone(), fact: None, from: None, to: here() }),
            Some(before) => {
                for fact in Fact::ALL.into_iter().filter(|f| !row.same(before, *f)) {
                    let (from, to) = (before.show(fact), row.show(fact));
                    changes.push(Change { host: host.clone(), fact: Some(fact), from, to });
                }
            }
        }
    }
    let left = old.rows.keys().filter(|host| !new.rows.contains_key(*host));
    changes.extend(left.map(|host| Change { host: host.clone(), fact: None, from: here(), to: None }));
    changes.sort_unstable_by(|a, b| (&a.host, a.fact).cmp(&(&b.host, b.fact)));
    changes
}

/// How many hosts two versions differ in.
pub fn differing(old: &Version, new: &Version) -> usize {
    let changed = new.rows.iter().filter(|(host, row)| !old.rows.get(*host).is_some_and(|o| o.same_all(row)));
    changed.count() + old.rows.keys().filter(|host| !new.rows.contains_key(*host)).count()
}

/// The versions of one inventory.
#[derive(Debug)]
pub struct Shelf {
    /// The inventory's name.
    pub name: Arc<str>,
    limits: Limits,
    current: Option<Arc<Version>>,
    before: Option<Arc<Version>>,
    held: Option<Held>,
    turned: Option<Turned>,
    next: u64,
}

impl Shelf {
    /// One that holds nothing yet.
    pub fn new(name: impl Into<Arc<str>>, limits: Limits) -> Self {
        Shelf { name: name.into(), limits, current: None, before: None, held: None, turned: None, next: 1 }
    }

    /// Puts back the version that was in use when the process before ended.
    pub fn put_back(&mut self, version: Version) {
        self.next = version.number + 1;
        self.current = Some(Arc::new(version));
    }

    /// The version in use.
    pub fn current(&self) -> Option<&Arc<Version>> {
        self.current.as_ref()
    }

    /// The one that waits for confirmation.
    pub fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    /// The newest one that was turned away, if nothing better came since.
    pub fn turned(&self) -> Option<&Turned> {
        self.turned.as_ref()
    }

    /// Whether these bytes were judged already.
    pub fn knows(&self, digest: &str) -> bool {
        let held = self.held.as_ref().map(|h| &h.version.digest);
        let turned = self.turned.as_ref().map(|t| &t.digest);
        // The newest that was read is held back, turned away or in use.
        match held.or(turned) {
            Some(newest) => newest == digest,
            None => self.in_use(digest),
        }
    }

    fn in_use(&self, digest: &str) -> bool {
        self.current.as_ref().is_some_and(|v| v.digest == digest)
    }

    /// Decides about a file that was read at `now_ms`.
    pub fn offer(&mut self, judged: Judged, digest: &str, now_ms: u64) -> Verdict {
        if self.in_use(digest) {
            // The file is again what is in use: whatever came between is over.
            (self.held, self.turned) = (None, None);
            return Verdict::Same;
        }
        if self.knows(digest) {
            return Verdict::Same;
        }
        let share = judged.left_out() as f64 / judged.entries.max(1) as f64;
        let why = match judged.refused() {
            Some(refusal) => Some(refusal.show(&judged.files)),
            None if share > self.limits.refuse_over => Some(format!(
                "{} of {} lines can't be used, more than {}",
                judged.left_out(),
                judged.entries,
                percent(self.limits.refuse_over)
            )),
            None => None,
        };
        if let Some(why) = why {
            let Judged { refusals, files, .. } = judged;
            let turned =
                Turned { digest: digest.into(), since_ms: now_ms, why: why.clone(), refusals, files };
            (self.held, self.turned) = (None, Some(turned));
            return Verdict::Refused(why);
        }
        let Judged { files, mut rows, refusals, .. } = judged;
        for (host, row) in &mut rows {
            let before = self.current.as_ref().and_then(|v| v.rows.get(host));
            row.since_ms = before.map_or(now_ms, |b| b.since_ms);
            for (i, fact) in Fact::ALL.into_iter().enumerate() {
                row.fact_ms[i] = before.filter(|b| b.same(row, fact)).map_or(now_ms, |b| b.fact_ms[i]);
            }
        }
        let (digest, read_ms) = (digest.to_owned(), now_ms);
        let version = Version { number: 0, digest, read_ms, files, rows, refusals };
        let changed = self.current.as_ref().map_or(0, |old| differing(old, &version));
        let hosts = self.current.as_ref().map_or(1, |old| old.rows.len().max(1));
        if changed as f64 / hosts as f64 > self.limits.hold_over {
            let why = format!(
                "it changes {changed} of {hosts} hosts, more than {}",
                percent(self.limits.hold_over)
            );
            self.hold(Arc::new(version), now_ms, why.clone());
            return Verdict::Held(why);
        }
        Verdict::Taken(self.take(version))
    }

    fn take(&mut self, version: Version) -> Arc<Version> {
        let version = Arc::new(Version { number: self.next, ..version });
        self.next += 1;
        (self.held, self.turned) = (None, None);
        self.before = self.current.replace(version.clone());
        version
    }

    fn hold(&mut self, version: Arc<Version>, since_ms: u64, why: String) {
        (self.held, self.turned) = (Some(Held { version, since_ms, why }), None);
    }

    /// Whoever uses the version that was taken last objects: the one before goes on, and it is held back.
    pub fn object(&mut self, number: u64, now_ms: u64, why: String) {
        if let Some(version) = self.current.clone().filter(|v| v.number == number) {
            self.current = self.before.take();
            self.hold(version, now_ms, why);
        }
    }

    /// Takes the version that is held back, if it is the one that is meant: `digest` is how its digest begins.
    ///
    /// # Errors
    /// If none is held back, or another one.
    pub fn accept(&mut self, digest: &str) -> Result<Arc<Version>, String> {
        let Some(held) = &self.held else { return Err(format!("{}: no version is held back", self.name)) };
        let there = &held.version.digest;
        if digest.len() < 6 || !there.starts_with(digest) {
            return Err(format!(
                "{}: the version that is held back is {}, not {digest:?}; give 6 characters of it at least",
                self.name,
                &there[..there.len().min(12)]
            ));
        }
        let version = Version::clone(&held.version);
        Ok(self.take(version))
    }
}

fn percent(share: f64) -> String {
    format!("{}%", (share * 1000.0).round() / 10.0)
}
