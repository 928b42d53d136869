//! The versions in use, laid one over the other: what files say of a host. The first inventory that says something of a
//! fact is heard; what it disputes in itself is unknown, not the next one's to settle.
use crate::place::Place;
use crate::row::{Fact, Labels, Row, Said};
use crate::version::Version;
use std::sync::Arc;

/// What stands in where neither the list nor a file says anything. Zone and pod have no default: repeats of a job are
/// dropped within them, so a wrong one could let a job run twice.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Defaults {
    /// The kind of machine.
    pub kind: Option<Arc<str>>,
    /// The weight.
    pub weight: Option<f64>,
    /// The slots.
    pub slots: Option<u32>,
}

/// An inventory in use.
#[derive(Clone, Debug)]
pub struct Source {
    /// Its name.
    pub name: Arc<str>,
    /// Whether its weight goes before the live list's.
    pub weight_first: bool,
    /// Its version.
    pub version: Arc<Version>,
}

/// What files say of all hosts.
#[derive(Clone, Debug, Default)]
pub struct Sheet {
    /// The inventories in use, the first before the others.
    pub sources: Vec<Source>,
    /// What stands in.
    pub defaults: Defaults,
}

/// What files say of one host, and where: the number of the inventory in [`Sheet::sources`].
#[derive(Clone, Copy, Debug)]
pub struct Found<'s, T: ?Sized> {
    /// What is said; `None` where it is disputed.
    pub value: Option<&'s T>,
    /// By which inventory.
    pub source: usize,
    /// Where.
    pub at: Place,
}

impl Sheet {
    /// Whether there is anything in it.
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty() && self.defaults == Defaults::default()
    }

    /// What each inventory that names a host says of it; `host` is its normal name.
    pub fn rows<'s>(&'s self, host: &'s str) -> impl Iterator<Item = (usize, &'s Row)> {
        let row = move |(i, s): (usize, &'s Source)| Some((i, s.version.rows.get(host)?));
        self.sources.iter().enumerate().filter_map(row)
    }

    /// Whether some inventory names a host.
    pub fn names(&self, host: &str) -> bool {
        self.rows(host).next().is_some()
    }

    fn first<'s, T: 's>(
        &'s self,
        host: &'s str,
        pick: impl Fn(&'s Row) -> &'s Said<T>,
    ) -> Option<(&'s Said<T>, usize, Place)> {
        self.rows(host).find_map(|(source, row)| {
            let said = pick(row);
            let at = match said {
                Said::Nothing => return None,
                Said::This(_, at) => *at,
                Said::Disputed(all) => all.first()?.1,
            };
            Some((said, source, at))
        })
    }

    fn found<'s, T: PartialEq + 's>(
        &'s self,
        host: &'s str,
        pick: impl Fn(&'s Row) -> &'s Said<T>,
    ) -> Option<Found<'s, T>> {
        let (said, source, at) = self.first(host, pick)?;
        Some(Found { value: said.value(), source, at })
    }

    /// A host's zone.
    pub fn zone<'s>(&'s self, host: &'s str) -> Option<Found<'s, Arc<str>>> {
        self.found(host, |r| &r.zone)
    }

    /// A host's pod.
    pub fn pod<'s>(&'s self, host: &'s str) -> Option<Found<'s, Arc<str>>> {
        self.found(host, |r| &r.pod)
    }

    /// A host's kind.
    pub fn kind<'s>(&'s self, host: &'s str) -> Option<Found<'s, Arc<str>>> {
        self.found(host, |r| &r.kind)
    }

    /// A host's weight.
    pub fn weight<'s>(&'s self, host: &'s str) -> Option<Found<'s, f64>> {
        self.found(host, |r| &r.weight)
    }

    /// A host's slots.
    pub fn slots<'s>(&'s self, host: &'s str) -> Option<Found<'s, u32>> {
        self.found(host, |r| &r.slots)
    }

    /// A host's labels.
    pub fn labels<'s>(&'s self, host: &'s str) -> Option<Found<'s, Arc<Labels>>> {
        self.found(host, |r| &r.labels)
    }

    /// A fact of a host as text, as the first inventory that says something has it, with where: `FILE:LINE:COLUMN (NAME)`.
    pub fn show(&self, host: &str, fact: Fact) -> Option<(String, String)> {
        self.rows(host).find_map(|(source, row)| {
            let source = &self.sources[source];
            let at = row.place(fact)?.show(&source.version.files);
            Some((row.show(fact)?, format!("{at} ({})", source.name)))
        })
    }
}
