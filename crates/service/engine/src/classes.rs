//! The deployment's settings for classes. Class numbers are never reused: when the settings change,
//! the classes of the earlier settings keep their numbers, so that open requests continue under the
//! rules under which they were accepted.
use spanlead_balancing_policy::{Idempotency, Nanos, Settings};
use spanlead_deployment_settings::Names;
use std::sync::Arc;

/// A class that requires a machine kind.
pub(crate) struct ClassMachineKind {
    pub(crate) class: u32,
    pub(crate) kind: u32,
}

/// The classes, by number.
pub(crate) struct ClassTable {
    /// The minimum delay of a timer.
    pub(crate) tick: Nanos,
    /// The names of classes, tenants, zones and kinds, by number.
    pub(crate) names: Arc<Names>,
    /// The idempotency of each class.
    idempotency: Vec<Idempotency>,
    /// The classes of the current settings that require a machine kind.
    machine_kinds: Vec<ClassMachineKind>,
}

impl ClassTable {
    pub(crate) fn new(settings: &Settings, names: Arc<Names>) -> Self {
        let mut table =
            ClassTable { tick: settings.tick, names, idempotency: Vec::new(), machine_kinds: Vec::new() };
        table.extend(settings);
        table
    }

    /// Appends the classes of new settings to the existing ones.
    pub(crate) fn extend(&mut self, settings: &Settings) {
        let first = self.idempotency.len();
        self.tick = settings.tick;
        let numbered = settings.classes.iter().enumerate();
        let kind = |(index, class): (usize, &spanlead_balancing_policy::RequestClass)| {
            Some(ClassMachineKind { class: (first + index) as u32, kind: class.machine_kind? })
        };
        self.machine_kinds = numbered.filter_map(kind).collect();
        self.idempotency.extend(settings.classes.iter().map(|class| class.idempotency));
    }

    /// The number of classes of all settings so far.
    pub(crate) fn len(&self) -> usize {
        self.idempotency.len()
    }

    pub(crate) fn idempotency(&self, class: u32) -> Option<Idempotency> {
        self.idempotency.get(class as usize).copied()
    }

    /// Whether jobs of this class must run at most once.
    pub(crate) fn runs_at_most_once(&self, class: u32) -> bool {
        self.idempotency(class) == Some(Idempotency::AtMostOnce)
    }

    /// The longest deduplication window of any class; within it workers drop duplicates of a job.
    pub(crate) fn longest_deduplication_window(&self) -> Nanos {
        let window = |idempotency: &Idempotency| match idempotency {
            Idempotency::Deduplicated { window, .. } => *window,
            _ => 0,
        };
        self.idempotency.iter().map(window).max().unwrap_or(0)
    }

    pub(crate) fn machine_kinds(&self) -> &[ClassMachineKind] {
        &self.machine_kinds
    }
}
