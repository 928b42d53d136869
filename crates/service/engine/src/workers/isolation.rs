//! Pods and zones that change are nobody's for a while. Retries of a keyed job are dropped
//! within its worker's pod or zone, for the class's window. A worker that another file puts
//! elsewhere may hold jobs of the place before: until the longest window is over it is in a pod, or
//! zone, of its own. So is one of which nothing is known.
use spanlead_balancing_policy::Nanos;

/// A worker's pod or zone.
#[derive(Clone, Copy, Default)]
pub(super) struct IsolatedAttribute {
    /// What was known last.
    last: Option<u32>,
    /// Until then the worker is in none.
    pub(super) isolated_until: Nanos,
}

impl IsolatedAttribute {
    /// Takes what is known now; returns where the worker counts as standing. `own_number` is its
    /// place apart from all others.
    pub(super) fn update(&mut self, now: Nanos, known: Option<u32>, own_number: u32, window: Nanos) -> u32 {
        let Some(number) = known else { return own_number };
        if self.last.is_some_and(|last| last != number) {
            self.isolated_until = now + window;
        }
        self.last = Some(number);
        if self.is_isolated(now) { own_number } else { number }
    }

    pub(super) fn is_isolated(&self, now: Nanos) -> bool {
        now < self.isolated_until
    }
}
