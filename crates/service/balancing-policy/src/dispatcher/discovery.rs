//! The schedule of the calls to service discovery.

use super::Dispatcher;
use crate::api::{Action, EndpointUpdate, MILLISECOND, Nanos, SECOND};
use crate::state::TimerToken;
use spanlead_expander_walk::uniform_unit;

/// The maximum delay of a dispatcher's first call to service discovery after its start.
///
/// A change of the endpoint list counts as notified 6 s after service discovery had it and could be
/// reached, whatever failed before. This delay and [`MAX_BACKOFF`] are as long as that permits,
/// to reduce the number of calls: service discovery handles them one by one.
const MAX_FIRST_CALL_DELAY: Nanos = 15 * SECOND / 4;

/// The maximum backoff after failed calls. A call that is in flight when service discovery becomes
/// reachable again takes 2 s, and the call that follows the backoff takes 1 s; the total must stay
/// within the 6 s after which a change counts as notified.
const MAX_BACKOFF: Nanos = 11 * SECOND / 4;

/// The backoff before its first doubling. It is already doubled once after the first failure.
const BASE_BACKOFF: Nanos = SECOND / 4;

/// The maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The least random factor on the backoff; the greatest is 1.
const BACKOFF_JITTER_FLOOR: f64 = 0.75;

/// The time per dispatcher over which the first calls of all dispatchers are spread.
const FIRST_CALL_SPREAD: Nanos = 40 * MILLISECOND;

/// The state of the subscription to the endpoint list.
#[derive(Default)]
pub(super) struct DiscoveryState {
    is_subscribed: bool,
    is_call_in_flight: bool,
    failures: u32,
}

impl DiscoveryState {
    /// Subscribes to the endpoint list unless subscribed already or a call is in flight.
    pub(super) fn subscribe(&mut self, actions: &mut Vec<Action>) {
        if !self.is_subscribed && !self.is_call_in_flight {
            self.is_call_in_flight = true;
            actions.push(Action::Subscribe);
        }
    }

    fn record_success(&mut self) {
        if self.is_call_in_flight {
            self.is_subscribed = true;
        }
        self.is_call_in_flight = false;
        self.failures = 0;
    }

    fn record_failure(&mut self) {
        self.is_subscribed = false;
        self.is_call_in_flight = false;
        self.failures = (self.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Returns the backoff after the failures so far, in nanoseconds.
    fn backoff(&self, poll_interval: Nanos) -> Nanos {
        (BASE_BACKOFF << self.failures).min(poll_interval).min(MAX_BACKOFF)
    }
}

impl Dispatcher {
    /// Schedules the next call to service discovery after a cached list or a failure, and records
    /// the success of a call after any other update. Does nothing if the list is pushed without a
    /// call.
    pub(super) fn schedule_discovery(&mut self, update: EndpointUpdate, actions: &mut Vec<Action>) {
        if !self.settings.must_request_endpoints {
            return;
        }
        let poll_interval = self.settings.rules.endpoint_poll_interval.max(SECOND);
        match update {
            EndpointUpdate::CachedSnapshot => {
                // Spreads the calls of dispatchers that start at the same time.
                let instances = u64::from(self.settings.instance_count);
                let spread = (instances * FIRST_CALL_SPREAD).min(poll_interval / 2).min(MAX_FIRST_CALL_DELAY);
                let delay = (uniform_unit(&mut self.rng) * spread as f64) as Nanos;
                actions.push(discovery_timer(delay));
            }
            EndpointUpdate::Unavailable => {
                self.discovery.record_failure();
                let backoff = self.discovery.backoff(poll_interval) as f64;
                let jitter = BACKOFF_JITTER_FLOOR + uniform_unit(&mut self.rng) / 4.0;
                actions.push(discovery_timer((backoff * jitter) as Nanos));
            }
            EndpointUpdate::Delta | EndpointUpdate::Snapshot => self.discovery.record_success(),
        }
    }
}

fn discovery_timer(after: Nanos) -> Action {
    Action::Timer { after, token: TimerToken::discovery().encode() }
}
