//! The live list beside the files: hosts that only one of them names, and facts on which they
//! differ.
use crate::host_record::Attribute;
use crate::merged_inventory::MergedInventory;
use rustc_hash::FxHashSet;
use serde::Serialize;
use std::sync::Arc;

/// A host as the live list has it, with names for numbers. What the list doesn't say is `None`.
#[derive(Clone, Debug, Default)]
pub struct LiveHost {
    /// Its name as the list writes it.
    pub name: Arc<str>,
    /// Its normal name.
    pub normalized_name: Arc<str>,
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
    pub fn says(&self, attribute: Attribute) -> Option<String> {
        match attribute {
            Attribute::Zone => self.zone.as_deref().map(str::to_owned),
            Attribute::Pod => self.pod.as_deref().map(str::to_owned),
            Attribute::Kind => self.kind.as_deref().map(str::to_owned),
            Attribute::Weight => self.weight.map(|w| w.to_string()),
            Attribute::Slots | Attribute::Labels => None,
        }
    }
}

/// What was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
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
    pub what: FindingKind,
    /// The host.
    pub host: Arc<str>,
    /// The fact, where it is about one.
    #[serde(rename = "fact", skip_serializing_if = "Option::is_none")]
    pub attribute: Option<Attribute>,
    /// What the live list says.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub live: Option<String>,
    /// What the file says.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<String>,
    /// Where.
    #[serde(rename = "at", skip_serializing_if = "Option::is_none")]
    pub location: Option<String>,
    /// Which of the two holds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub used: Option<&'static str>,
    /// For how long this has stood, milliseconds.
    pub stood_ms: u64,
}

/// A fact of one host: what holds, and who says what.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AttributeProvenance {
    /// The fact.
    #[serde(rename = "fact")]
    pub attribute: Attribute,
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

/// What is known of a host, by the order of sources: the list, files, defaults; a weight the other
/// way round where that is
/// set.
pub fn provenance(live: &LiveHost, merged_inventory: &MergedInventory) -> Vec<AttributeProvenance> {
    let known = |attribute| {
        let list = live.says(attribute);
        let record = merged_inventory
            .records(&live.normalized_name)
            .find(|(_, record)| record.location(attribute).is_some());
        let disputed = record.is_some_and(|(_, record)| !record.disputed(attribute).is_empty());
        let first = attribute == Attribute::Weight
            && record.is_some_and(|(s, _)| merged_inventory.sources[s].weight_first);
        let file = merged_inventory.describe(&live.normalized_name, attribute);
        let default = match attribute {
            Attribute::Kind => merged_inventory.defaults.kind.as_deref().map(str::to_owned),
            Attribute::Weight => merged_inventory.defaults.weight.map(|w| w.to_string()),
            Attribute::Slots => merged_inventory.defaults.slots.map(|s| s.to_string()),
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
        AttributeProvenance { attribute, value, from, list, file }
    };
    Attribute::ALL.into_iter().map(known).collect()
}

/// How many there are of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ReconciliationCounts {
    /// Hosts that both name.
    pub matched: usize,
    /// See [`FindingKind`].
    pub not_live: usize,
    /// See [`FindingKind`].
    pub not_in_file: usize,
    /// Facts, not hosts.
    pub differing: usize,
    /// Facts, not hosts.
    pub disputed: usize,
}

/// The comparison.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReconciliationReport {
    /// How many of each there are in all.
    pub counts: ReconciliationCounts,
    /// The first of them, by kind and host.
    pub findings: Vec<Finding>,
    /// How many there are that are not shown.
    pub left_out: usize,
}

/// Compares the live list with what files say, as it stands at `now_ms`, and shows `most` findings.
pub fn reconcile(
    live: &[LiveHost],
    merged_inventory: &MergedInventory,
    now_ms: u64,
    most: usize,
) -> ReconciliationReport {
    let mut counts = ReconciliationCounts::default();
    let mut findings = Vec::new();
    let stood = |since: u64| if since == 0 { 0 } else { now_ms.saturating_sub(since) };
    let here: FxHashSet<&str> =
        live.iter().filter(|h| h.gone_ms.is_none()).map(|h| &*h.normalized_name).collect();
    for host in live.iter().filter(|h| h.gone_ms.is_none()) {
        let Some((source, record)) = merged_inventory.records(&host.normalized_name).next() else {
            counts.not_in_file += 1;
            let taken = merged_inventory.sources.iter().map(|s| s.version.read_ms).min().unwrap_or(0);
            findings.push(Finding {
                what: FindingKind::NotInFile,
                host: host.name.clone(),
                attribute: None,
                live: None,
                file: None,
                location: None,
                used: None,
                stood_ms: stood(host.since_ms.max(taken)),
            });
            continue;
        };
        counts.matched += 1;
        let files = &merged_inventory.sources[source].version.files;
        for (i, attribute) in Attribute::ALL.into_iter().enumerate() {
            let since = host.since_ms.max(record.attribute_since_ms[i]);
            let Some((stated, location)) = merged_inventory.describe(&host.normalized_name, attribute) else {
                continue;
            };
            let live = host.says(attribute);
            let places = record.disputed(attribute);
            let what = match &live {
                _ if !places.is_empty() => FindingKind::Disputed,
                Some(live) if *live != stated => FindingKind::Differs,
                _ => continue,
            };
            let (count, location) = match what {
                FindingKind::Disputed => {
                    let all: Vec<String> = places.iter().map(|p| p.describe(files)).collect();
                    (&mut counts.disputed, all.join(", "))
                }
                _ => (&mut counts.differing, location),
            };
            *count += 1;
            let first = attribute == Attribute::Weight && merged_inventory.sources[source].weight_first;
            let used = match (live.is_some(), what) {
                (true, FindingKind::Differs) if first => "file",
                (true, _) => "list",
                _ => "unknown",
            };
            findings.push(Finding {
                what,
                host: host.name.clone(),
                attribute: Some(attribute),
                live,
                file: Some(stated),
                location: Some(location),
                used: Some(used),
                stood_ms: stood(since),
            });
        }
    }
    let gone: rustc_hash::FxHashMap<&str, u64> =
        live.iter().filter_map(|h| Some((&*h.normalized_name, h.gone_ms?))).collect();
    for (i, source) in merged_inventory.sources.iter().enumerate() {
        for (host, record) in &source.version.hosts {
            let earlier = merged_inventory.sources[..i].iter().any(|s| s.version.hosts.contains_key(host));
            if here.contains(&**host) || earlier {
                continue;
            }
            counts.not_live += 1;
            let since = record.since_ms.max(gone.get(&**host).copied().unwrap_or(0));
            findings.push(Finding {
                what: FindingKind::NotLive,
                host: host.clone(),
                attribute: None,
                live: None,
                file: None,
                location: Some(record.location.describe(&source.version.files)),
                used: None,
                stood_ms: stood(since),
            });
        }
    }
    // Contradictions first: they need somebody's hand soonest.
    let order = |f: &Finding| (std::cmp::Reverse(f.what), f.host.clone(), f.attribute);
    findings.sort_by_cached_key(order);
    let left_out = findings.len().saturating_sub(most);
    findings.truncate(most);
    ReconciliationReport { counts, findings, left_out }
}
