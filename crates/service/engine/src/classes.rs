//! What the deployment's settings say of classes. Numbers of classes are never used again: after
//! new settings the classes of the old ones keep theirs, so that open requests go on by the rules
//! they came under.
use spanlead_balancing_policy::{Idempotency, Nanos, Settings};
use spanlead_deployment_settings::Names;
use std::sync::Arc;

/// A class that needs a kind of machine.
pub(crate) struct ClassMachineKind {
    pub(crate) class: u32,
    pub(crate) kind: u32,
}

/// The classes, by their numbers.
pub(crate) struct ClassTable {
    /// The least span of a timer.
    pub(crate) tick: Nanos,
    /// The names behind the numbers.
    pub(crate) names: Arc<Names>,
    /// What repeats of each class do.
    idempotency: Vec<Idempotency>,
    /// The classes of the present settings that need a kind of machine.
    machine_kinds: Vec<ClassMachineKind>,
}

impl ClassTable {
    pub(crate) fn new(settings: &Settings, names: Arc<Names>) -> Self {
        let mut table =
            ClassTable { tick: settings.tick, names, idempotency: Vec::new(), machine_kinds: Vec::new() };
        table.extend(settings);
        table
    }

    /// Adds the classes of new settings behind those that are there.
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

    /// How many classes there have been.
    pub(crate) fn len(&self) -> usize {
        self.idempotency.len()
    }

    pub(crate) fn idempotency(&self, class: u32) -> Option<Idempotency> {
        self.idempotency.get(class as usize).copied()
    }

    /// Whether jobs of this class must never run twice.
    pub(crate) fn runs_at_most_once(&self, class: u32) -> bool {
        self.idempotency(class) == Some(Idempotency::AtMostOnce)
    }

    /// The longest time for which repeats of some class are dropped by workers.
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
