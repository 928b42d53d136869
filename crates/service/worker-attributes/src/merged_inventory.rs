//! The versions in use, laid one over the other: what files say of a host. The first inventory that
//! says something of a
//! fact is heard; what it disputes in itself is unknown, not the next one's to settle.
use crate::diagnostic::SourceLocation;
use crate::host_record::{Attribute, AttributeValue, HostRecord, Labels};
use crate::version::Version;
use std::sync::Arc;

/// What stands in where neither the list nor a file says anything. Zone and pod have no default:
/// repeats of a job are
/// dropped within them, so a wrong one could let a job run twice.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DefaultAttributes {
    /// The kind of machine.
    pub kind: Option<Arc<str>>,
    /// The weight.
    pub weight: Option<f64>,
    /// The slots.
    pub slots: Option<u32>,
}

/// An inventory in use.
#[derive(Clone, Debug)]
pub struct InventorySource {
    /// Its name.
    pub name: Arc<str>,
    /// Whether its weight goes before the live list's.
    pub weight_first: bool,
    /// Its version.
    pub version: Arc<Version>,
}

/// What files say of all hosts.
#[derive(Clone, Debug, Default)]
pub struct MergedInventory {
    /// The inventories in use, the first before the others.
    pub sources: Vec<InventorySource>,
    /// What stands in.
    pub defaults: DefaultAttributes,
}

/// What files say of one host, and where: the number of the inventory in
/// [`MergedInventory::sources`].
#[derive(Clone, Copy, Debug)]
pub struct ResolvedValue<'s, T: ?Sized> {
    /// What is said; `None` where it is disputed.
    pub value: Option<&'s T>,
    /// By which inventory.
    pub source: usize,
    /// Where.
    pub location: SourceLocation,
}

impl MergedInventory {
    /// Whether there is anything in it.
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty() && self.defaults == DefaultAttributes::default()
    }

    /// What each inventory that names a host says of it; `host` is its normal name.
    pub fn records<'s>(&'s self, host: &'s str) -> impl Iterator<Item = (usize, &'s HostRecord)> {
        let record = move |(i, s): (usize, &'s InventorySource)| Some((i, s.version.hosts.get(host)?));
        self.sources.iter().enumerate().filter_map(record)
    }

    /// Whether some inventory names a host.
    pub fn names(&self, host: &str) -> bool {
        self.records(host).next().is_some()
    }

    fn first<'s, T: 's>(
        &'s self,
        host: &'s str,
        pick: impl Fn(&'s HostRecord) -> &'s AttributeValue<T>,
    ) -> Option<(&'s AttributeValue<T>, usize, SourceLocation)> {
        self.records(host).find_map(|(source, record)| {
            let stated = pick(record);
            let location = match stated {
                AttributeValue::Missing => return None,
                AttributeValue::Known(_, location) => *location,
                AttributeValue::Conflicting(all) => all.first()?.1,
            };
            Some((stated, source, location))
        })
    }

    fn resolve<'s, T: PartialEq + 's>(
        &'s self,
        host: &'s str,
        pick: impl Fn(&'s HostRecord) -> &'s AttributeValue<T>,
    ) -> Option<ResolvedValue<'s, T>> {
        let (stated, source, location) = self.first(host, pick)?;
        Some(ResolvedValue { value: stated.value(), source, location })
    }

    /// A host's zone.
    pub fn zone<'s>(&'s self, host: &'s str) -> Option<ResolvedValue<'s, Arc<str>>> {
        self.resolve(host, |r| &r.zone)
    }

    /// A host's pod.
    pub fn pod<'s>(&'s self, host: &'s str) -> Option<ResolvedValue<'s, Arc<str>>> {
        self.resolve(host, |r| &r.pod)
    }

    /// A host's kind.
    pub fn kind<'s>(&'s self, host: &'s str) -> Option<ResolvedValue<'s, Arc<str>>> {
        self.resolve(host, |r| &r.kind)
    }

    /// A host's weight.
    pub fn weight<'s>(&'s self, host: &'s str) -> Option<ResolvedValue<'s, f64>> {
        self.resolve(host, |r| &r.weight)
    }

    /// A host's slots.
    pub fn slots<'s>(&'s self, host: &'s str) -> Option<ResolvedValue<'s, u32>> {
        self.resolve(host, |r| &r.slots)
    }

    /// A host's labels.
    pub fn labels<'s>(&'s self, host: &'s str) -> Option<ResolvedValue<'s, Arc<Labels>>> {
        self.resolve(host, |r| &r.labels)
    }

    /// A fact of a host as text, as the first inventory that says something has it, with where:
    /// `FILE:LINE:COLUMN (NAME)`.
    pub fn describe(&self, host: &str, attribute: Attribute) -> Option<(String, String)> {
        self.records(host).find_map(|(source, record)| {
            let source = &self.sources[source];
            let location = record.location(attribute)?.describe(&source.version.files);
            Some((record.describe(attribute)?, format!("{location} ({})", source.name)))
        })
    }
}
