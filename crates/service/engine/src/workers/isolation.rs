//! Temporary isolation of workers whose pod or zone has changed. Workers drop retries of a keyed
//! job within the pod or zone of its worker, for the deduplication window of its class. A worker
//! whose configured pod or zone changes may still hold jobs of its previous one, so it counts as
//! being in a pod, or zone, of its own until the longest window of any class has passed. So does a
//! worker whose pod or zone is unknown, as long as it is unknown.
use spanlead_balancing_policy::Nanos;

/// The pod or the zone of a worker, with its isolation.
#[derive(Clone, Copy, Default)]
pub(super) struct TopologyAttribute {
    /// The last known number of the pod or zone.
    last_known: Option<u32>,
    /// The time until which the worker is isolated in a pod or zone of its own; 0 if it never was.
    pub(super) isolated_until: Nanos,
}

impl TopologyAttribute {
    /// Sets the pod or zone known now, and returns the one that the worker counts as being in: that
    /// or, while it is isolated or nothing is known, `own_number`, which no other worker shares. A
    /// change of the known number isolates the worker for `window` from `now`.
    pub(super) fn update(&mut self, now: Nanos, known: Option<u32>, own_number: u32, window: Nanos) -> u32 {
        let Some(number) = known else { return own_number };
        if self.last_known.is_some_and(|last| last != number) {
            self.isolated_until = now + window;
        }
        self.last_known = Some(number);
        if self.is_isolated(now) { own_number } else { number }
    }

    /// Returns whether the worker is isolated at `now` because of a change.
    pub(super) fn is_isolated(&self, now: Nanos) -> bool {
        now < self.isolated_until
    }
}
