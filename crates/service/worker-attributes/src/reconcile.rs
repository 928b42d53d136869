//! The live list beside the files: hosts that only one of them names, and facts on which they differ.
use crate::row::Fact;
use crate::sheet::Sheet;
use rustc_hash::FxHashSet;
use serde::Serialize;
use std::sync::Arc;

/// A host as the live list has it, with names for numbers. What the list doesn't say is `None`.
#[derive(Clone, Debug, Default)]
pub struct LiveHost {
    /// Its name as the list writes it.
    pub name: Arc<str>,
    /// Its normal name.
    pub normal: Arc<str>,
    /// Its zone, pod, kind and weight.
    pub zone: Option<Arc<str>>,
    /// See `zone`.
    pub pod: Option<Arc<str>>,
    /// See `zone`.
    pub kind: Option<Arc<str>>,
    /// See `zone`.
    pub weight: Option<f64>,
    /// Since when the list has named it as it does, Unix milliseconds; 0 where that is not known.
    pub since_ms: u64,
    /// Since when it has been gone from the list, if it is.
    pub gone_ms: Option<u64>,
}

impl LiveHost {
    /// What the list says of a fact, as text.
    pub fn says(&self, fact: Fact) -> Option<String> {
        match fact {
            Fact::Zone => self.zone.as_deref().map(str::to_owned),
            Fact::Pod => self.pod.as_deref().map(str::to_owned),
            Fact::Kind => self.kind.as_deref().map(str::to_owned),
            Fact::Weight => self.weight.map(|w| w.to_string()),
            Fact::Slots | Fact::Labels => None,
        }
    }
}

/// What was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// A file names it, the live list does not: nothing is sent there.
    NotLive,
    /// The live list names it, no file does.
    NotInFile,
    /// They differ on a fact.
    Differs,
    /// A file contradicts itself on a fact.
    Disputed,
}

/// One of them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// What it is.
    pub what: What,
    /// The host.
    pub host: Arc<str>,
    /// The fact, where it is about one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fact: Option<Fact>,
    /// What the live list says.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub live: Option<String>,
    /// What the file says.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<String>,
    /// Where.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at: Option<String>,
    /// Which of the two holds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub used: Option<&'static str>,
    /// For how long this has stood, milliseconds.
    pub stood_ms: u64,
}

/// A fact of one host: what holds, and who says what.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Known {
    /// The fact.
    pub fact: Fact,
    /// What holds; `None` where it is unknown.
    pub value: Option<String>,
    /// Whose word that is: `list`, `FILE:LINE:COLUMN (INVENTORY)`, `default`, or why it is unknown.
    pub from: String,
    /// What the live list says.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list: Option<String>,
    /// What files say, and where.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<(String, String)>,
}

/// What is known of a host, by the order of sources: the list, files, defaults; a weight the other way round where that is
/// set.
pub fn provenance(live: &LiveHost, sheet: &Sheet) -> Vec<Known> {
    let known = |fact| {
        let list = live.says(fact);
        let row = sheet.rows(&live.normal).find(|(_, row)| row.place(fact).is_some());
        let disputed = row.is_some_and(|(_, row)| !row.disputed(fact).is_empty());
        let first = fact == Fact::Weight && row.is_some_and(|(s, _)| sheet.sources[s].weight_first);
        let file = sheet.show(&live.normal, fact);
        let default = match fact {
            Fact::Kind => sheet.defaults.kind.as_deref().map(str::to_owned),
            Fact::Weight => sheet.defaults.weight.map(|w| w.to_string()),
            Fact::Slots => sheet.defaults.slots.map(|s| s.to_string()),
            _ => None,
        };
        let by_file = file.clone().filter(|_| !disputed);
        let by_list = list.clone().map(|value| (value, "list".to_owned()));
        let stated = if first { by_file.or(by_list) } else { by_list.or(by_file) };
        let (value, from) = match stated.or(default.map(|value| (value, "default".to_owned()))) {
            Some((value, from)) => (Some(value), from),
            None if disputed => (None, "unknown: the file contradicts itself".to_owned()),
            None => (None, "unknown: nobody says it".to_owned()),
        };
        Known { fact, value, from, list, file }
    };
    Fact::ALL.into_iter().map(known).collect()
}

/// How many there are of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Hosts that both name.
    pub matched: usize,
    /// See [`What`].
    pub not_live: usize,
    /// See [`What`].
    pub not_in_file: usize,
    /// Facts, not hosts.
    pub differing: usize,
    /// Facts, not hosts.
    pub disputed: usize,
}

/// The comparison.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// How many of each there are in all.
    pub counts: Counts,
    /// The first of them, by kind and host.
    pub findings: Vec<Finding>,
    /// How many there are that are not shown.
    pub left_out: usize,
}

/// Compares the live list with what files say, as it stands at `now_ms`, and shows `most` findings.
pub fn reconcile(live: &[LiveHost], sheet: &Sheet, now_ms: u64, most: usize) -> Report {
    let mut counts = Counts::default();
    let mut findings = Vec::new();
    let stood = |since: u64| if since == 0 { 0 } else { now_ms.saturating_sub(since) };
    let here: FxHashSet<&str> = live.iter().filter(|h| h.gone_ms.is_none()).map(|h| &*h.normal).collect();
    for host in live.iter().filter(|h| h.gone_ms.is_none()) {
        let Some((source, row)) = sheet.rows(&host.normal).next() else {
            counts.not_in_file += 1;
            let taken = sheet.sources.iter().map(|s| s.version.read_ms).min().unwrap_or(0);
            findings.push(Finding {
                what: What::NotInFile,
                host: host.name.clone(),
                fact: None,
                live: None,
                file: None,
                at: None,
                used: None,
                stood_ms: stood(host.since_ms.max(taken)),
            });
            continue;
        };
        counts.matched += 1;
        let files = &sheet.sources[source].version.files;
        for (i, fact) in Fact::ALL.into_iter().enumerate() {
            let since = host.since_ms.max(row.fact_ms[i]);
            let Some((said, at)) = sheet.show(&host.normal, fact) else { continue };
            let live = host.says(fact);
            let places = row.disputed(fact);
            let what = match &live {
                _ if !places.is_empty() => What::Disputed,
                Some(live) if *live != said => What::Differs,
                _ => continue,
            };
            let (count, at) = match what {
                What::Disputed => {
                    let all: Vec<String> = places.iter().map(|p| p.show(files)).collect();
                    (&mut counts.disputed, all.join(", "))
                }
                _ => (&mut counts.differing, at),
            };
            *count += 1;
            let first = fact == Fact::Weight && sheet.sources[source].weight_first;
            let used = match (live.is_some(), what) {
                (true, What::Differs) if first => "file",
                (true, _) => "list",
                _ => "unknown",
            };
            findings.push(Finding {
                what,
                host: host.name.clone(),
                fact: Some(fact),
                live,
                file: Some(said),
                at: Some(at),
                used: Some(used),
                stood_ms: stood(since),
            });
        }
    }
    let gone: rustc_hash::FxHashMap<&str, u64> =
        live.iter().filter_map(|h| Some((&*h.normal, h.gone_ms?))).collect();
    for (i, source) in sheet.sources.iter().enumerate() {
        for (host, row) in &source.version.rows {
            let earlier = sheet.sources[..i].iter().any(|s| s.version.rows.contains_key(host));
            if here.contains(&**host) || earlier {
                continue;
            }
            counts.not_live += 1;
            let since = row.since_ms.max(gone.get(&**host).copied().unwrap_or(0));
            findings.push(Finding {
                what: What::NotLive,
                host: host.clone(),
                fact: None,
                live: None,
                file: None,
                at: Some(row.at.show(&source.version.files)),
                used: None,
                stood_ms: stood(since),
            });
        }
    }
    // Contradictions first: they need somebody's hand soonest.
    let order = |f: &Finding| (std::cmp::Reverse(f.what), f.host.clone(), f.fact);
    findings.sort_by_cached_key(order);
    let left_out = findings.len().saturating_sub(most);
    findings.truncate(most);
    Report { counts, findings, left_out }
}
