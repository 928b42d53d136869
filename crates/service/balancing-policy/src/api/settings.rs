//! The settings of a dispatcher.

use super::load_report::LoadReporting;
use super::time::{MILLISECOND, Nanos};

/// The default of [`Limits::connect_timeout`].
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250 * MILLISECOND;

/// The group of workers that recognises a repeated send of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers in the zone of the earlier attempt's worker.
    Zone,
    /// The workers in the cell of the earlier attempt's worker.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// A group of workers drops repeated sends within a time window, which starts with the first
    /// send that may have run.
    Deduplicated {
        /// The group of workers.
        scope: DeduplicationScope,
        /// The length of the window, in nanoseconds.
        window: Nanos,
    },
    /// It must not run more than once.
    AtMostOnce,
}

/// A class of requests. A request refers to its class by the index in [`Settings::classes`].
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The time within which an answer earns its full value, in nanoseconds.
    pub latency_target: Nanos,
    /// The multiple of the request's own work by which the latency target is extended.
    pub latency_target_stretch: f64,
    /// The total time that clients wait for an answer, in nanoseconds.
    pub deadline: Nanos,
    /// The value of an answer in time, in the deployment's unit of value.
    pub value: f64,
    /// The fraction of the value that an answer after the latency target earns.
    pub late_value_fraction: f64,
    /// Whether a request of this class may run more than once.
    pub idempotency: Idempotency,
    /// Whether the answer is a stream.
    pub streaming: bool,
    /// The machine kind that the class needs, if it needs one.
    pub machine_kind: Option<u32>,
    /// The priority in the workers' queues; a higher priority runs first.
    pub priority: i32,
}

impl RequestClass {
    /// Creates an at-most-once class of value 1 with this latency target and deadline, in
    /// nanoseconds.
    pub fn new(latency_target: Nanos, deadline: Nanos) -> Self {
        RequestClass {
            latency_target,
            latency_target_stretch: 0.0,
            deadline,
            value: 1.0,
            late_value_fraction: 0.0,
            idempotency: Idempotency::AtMostOnce,
            streaming: false,
            machine_kind: None,
            priority: 0,
        }
    }
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The quota in requests per second, over all dispatchers.
    pub quota_per_second: f64,
}

/// The operations that the deployment permits, and their bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether workers may be probed for their load.
    pub can_probe: bool,
    /// Whether messages may be sent to peers.
    pub can_message_peers: bool,
    /// Whether several attempts of a request may be in flight at the same time.
    pub can_hedge: bool,
    /// Whether rejections may advise the client when to retry.
    pub can_send_retry_after: bool,
    /// The longest retry delay that clients follow, in nanoseconds.
    pub max_retry_after: Nanos,
    /// The time after which an unfinished connection attempt fails, in nanoseconds.
    pub connect_timeout: Nanos,
    /// The time after which an idle connection is closed, in nanoseconds.
    pub idle_connection_timeout: Nanos,
    /// The number of attempts that one connection can carry at the same time.
    pub streams_per_connection: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: 1,
            can_cancel: false,
            can_probe: false,
            can_message_peers: false,
            can_hedge: false,
            can_send_retry_after: false,
            max_retry_after: 0,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            idle_connection_timeout: 0,
            streams_per_connection: 1,
        }
    }
}

/// The prices of operations. Unless stated otherwise, a price is the fraction of the total value
/// that one such operation per request costs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// The price of an attempt at a worker in another zone.
    pub cross_zone: f64,
    /// The price of worker time that produced no answer, when it equals the offered work.
    pub wasted_work: f64,
    /// The price of a mean of 100 open connections per worker.
    pub open_connections: f64,
    /// The price of a new connection.
    pub new_connection: f64,
    /// The price of fetching a program or data set from the shared store.
    pub origin_fetch: f64,
    /// The price of a load probe.
    pub probe: f64,
    /// The price of 256 bytes delivered to a peer.
    pub peer_message: f64,
    /// The price of failures after the latency target, when all value is lost to them.
    pub late_failure: f64,
}

/// The parameters of the deployment's safety rules.
#[derive(Clone, Debug, PartialEq)]
pub struct SafetyRules {
    /// The longest interval between two requests for the endpoint list by a dispatcher without a
    /// subscription, in nanoseconds; 0 if the list is pushed.
    pub endpoint_poll_interval: Nanos,
    /// The longest time that a worker takes from its start to its full capacity, in nanoseconds.
    pub slow_start_duration: Nanos,
    /// The least fraction of its capacity that a worker has when it starts.
    pub slow_start_initial_fraction: f64,
    /// The time after the notification of a drain during which sends to the worker are still
    /// tolerated, in nanoseconds.
    pub drain_grace: Nanos,
    /// The multiple of its present capacity that overloads a worker in slow start, if work exceeds
    /// it for [`SafetyRules::overload_window`].
    pub overload_multiple: f64,
    /// The time for which excess work must last to overload a worker in slow start, in nanoseconds.
    pub overload_window: Nanos,
}

impl Default for SafetyRules {
    fn default() -> Self {
        SafetyRules {
            endpoint_poll_interval: 0,
            slow_start_duration: 0,
            slow_start_initial_fraction: 1.0,
            drain_grace: 0,
            overload_multiple: 1.0,
            overload_window: 0,
        }
    }
}

/// The settings of a dispatcher.
///
/// A field at its default value counts as not configured: optional operations are not permitted,
/// and prices are 0.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This dispatcher's instance number, from 0.
    pub instance: u32,
    /// The number of dispatchers that share the workers.
    pub instance_count: u32,
    /// The zone in which this dispatcher runs.
    pub zone: u32,
    /// The number of machine kinds.
    pub machine_kind_count: u32,
    /// The shortest interval between two batches of events, in nanoseconds.
    pub tick: Nanos,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// The fraction of its value that a request beyond its tenant's quota is worth.
    pub over_quota_value_fraction: f64,
    /// Whether a class's value applies to each unit of work instead of each request.
    pub value_by_work: bool,
    /// Whether the endpoint list is sent only after [`Action::Subscribe`] or
    /// [`Action::FetchEndpoints`].
    ///
    /// [`Action::Subscribe`]: crate::Action::Subscribe
    /// [`Action::FetchEndpoints`]: crate::Action::FetchEndpoints
    pub must_request_endpoints: bool,
    /// The permitted operations and their bounds.
    pub limits: Limits,
    /// The prices of operations.
    pub prices: Prices,
    /// How load reports reach the dispatcher.
    pub load_reporting: LoadReporting,
    /// The parameters of the safety rules.
    pub rules: SafetyRules,
    /// The interval between progress reports, in nanoseconds; 0 if there are none.
    pub progress_interval: Nanos,
    /// Whether workers report when an attempt starts to run.
    pub reports_attempt_start: bool,
}

impl Settings {
    /// Returns the highest priority among the classes, 0 without classes.
    pub(crate) fn top_priority(&self) -> i32 {
        top_priority(&self.classes)
    }
}

/// Returns the highest priority among these classes, 0 without classes.
pub(crate) fn top_priority(classes: &[RequestClass]) -> i32 {
    classes.iter().map(|class| class.priority).max().unwrap_or(0)
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            instance: 0,
            instance_count: 1,
            zone: 0,
            machine_kind_count: 1,
            tick: MILLISECOND,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_value_fraction: 1.0,
            value_by_work: false,
            must_request_endpoints: false,
            limits: Limits::default(),
            prices: Prices::default(),
            load_reporting: LoadReporting::Disabled,
            rules: SafetyRules::default(),
            progress_interval: 0,
            reports_attempt_start: false,
        }
    }
}
