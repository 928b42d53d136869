//! When service discovery is asked for the endpoint list.

use super::Dispatcher;
use crate::api::{Action, EndpointUpdate, MILLISECOND, Nanos, SECOND};
use crate::state::TimerToken;
use spanlead_expander_walk::uniform_unit;

/// A change counts as notified 6 s after service discovery had it and could be reached, whatever
/// failed before. So dispatchers that start make their first call within this time ...
const MAX_FIRST_CALL_DELAY: Nanos = 15 * SECOND / 4;

/// ... and after failed calls the longest backoff ends here: a call that was in flight when service
/// discovery came back takes 2 s, and the one that follows 1 s. The delays are as long as that
/// allows, since service discovery handles its calls one by one.
const MAX_BACKOFF: Nanos = 11 * SECOND / 4;

/// The backoff before its first doubling.
const BACKOFF_UNIT: Nanos = SECOND / 4;

/// The backoff doubles at most this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The least fraction of the backoff that is waited.
const BACKOFF_JITTER_FLOOR: f64 = 0.75;

/// The first calls spread over this time for each dispatcher.
const FIRST_CALL_SPREAD: Nanos = 40 * MILLISECOND;

/// The subscription to the endpoint list.
#[derive(Default)]
pub(super) struct DiscoveryState {
    is_subscribed: bool,
    is_call_in_flight: bool,
    failures: u32,
}

impl DiscoveryState {
    /// Subscribes to the endpoint list, unless that was done.
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

    /// The backoff after the failures so far, in nanoseconds.
    fn backoff(&self, poll_interval: Nanos) -> Nanos {
        (BACKOFF_UNIT << self.failures).min(poll_interval).min(MAX_BACKOFF)
    }
}

impl Dispatcher {
    /// Plans the next call to service discovery after an update or a failure.
    pub(super) fn plan_discovery(&mut self, update: EndpointUpdate, actions: &mut Vec<Action>) {
        if !self.settings.must_request_endpoints {
            return;
        }
        let poll_interval = self.settings.rules.endpoint_poll_interval.max(SECOND);
        match update {
            EndpointUpdate::CachedSnapshot => {
                // Dispatchers that start together must not call together.
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
