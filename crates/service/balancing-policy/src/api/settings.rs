//! The settings of a dispatcher, all given at its start.

use super::load_report::LoadReporting;
use super::time::{MILLISECOND, Nanos};

/// How long a connection attempt may take by default.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250 * MILLISECOND;

/// The workers among which a repeat of a deduplicated request is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every worker.
    All,
    /// The workers of the first attempt's zone.
    Zone,
    /// The workers of the first attempt's cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// A group of workers drops repeats for a while, counted from the first send that may have run.
    Deduplicated {
        /// The group of workers.
        scope: DeduplicationScope,
        /// How long the group remembers a request, in nanoseconds.
        window: Nanos,
    },
    /// It must never run twice.
    AtMostOnce,
}

/// A class of requests. Requests name theirs by its index in [`Settings::classes`].
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A request answered within this time earns its full value, in nanoseconds.
    pub latency_target: Nanos,
    /// The latency target grows by this many times the request's own work.
    pub latency_target_stretch: f64,
    /// How long clients wait in all, in nanoseconds.
    pub deadline: Nanos,
    /// What an answer is worth, in the deployment's unit of value.
    pub value: f64,
    /// The fraction of the value that an answer after the latency target earns.
    pub late_value_fraction: f64,
    /// Whether a request of this class may be sent again.
    pub idempotency: Idempotency,
    /// The answer is a stream.
    pub streaming: bool,
    /// The machine kind that the class needs, if it needs one.
    pub machine_kind: Option<u32>,
    /// Its priority in the workers' queues; higher goes first.
    pub priority: i32,
}

impl RequestClass {
    /// An at-most-once class of value 1 with the given latency target and deadline.
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
    /// Requests a second inside its quota, over all dispatchers.
    pub quota_per_second: f64,
}

/// The operations that the deployment permits, and their bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Workers may be probed for their load.
    pub can_probe: bool,
    /// Peers may be messaged.
    pub can_message_peers: bool,
    /// Two attempts of a request may be in flight together.
    pub can_hedge: bool,
    /// Rejections may carry advice when to retry.
    pub can_send_retry_after: bool,
    /// The longest such advice that clients follow, in nanoseconds.
    pub max_retry_after: Nanos,
    /// A connection that is not up within this time fails, in nanoseconds.
    pub connect_timeout: Nanos,
    /// Idle connections close after this time, in nanoseconds.
    pub idle_connection_timeout: Nanos,
    /// Attempts that one connection carries at a time.
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

/// What operations cost: a fraction of the total value for one per request unless stated otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Worker time that served no answer, as much as was offered.
    pub wasted_work: f64,
    /// A mean of 100 open connections for each worker.
    pub open_connections: f64,
    /// A new connection.
    pub new_connection: f64,
    /// Fetching a program or data set from the shared store.
    pub origin_fetch: f64,
    /// A load probe.
    pub probe: f64,
    /// 256 bytes delivered to a peer.
    pub peer_message: f64,
    /// All value ending unserved after its latency target.
    pub late_failure: f64,
}

/// The figures behind the deployment's safety rules.
#[derive(Clone, Debug, PartialEq)]
pub struct SafetyRules {
    /// A dispatcher without a subscription must request the endpoint list at least this often, in
    /// nanoseconds; 0 if the list is pushed.
    pub endpoint_poll_interval: Nanos,
    /// A started worker reaches its full capacity after this time at most, in nanoseconds.
    pub slow_start_duration: Nanos,
    /// It starts with this fraction of its capacity or more.
    pub slow_start_initial_fraction: f64,
    /// How long after the notice of a drain a send is still tolerated, in nanoseconds.
    pub drain_grace: Nanos,
    /// Work beyond this multiple of its present capacity overloads a worker in slow start ...
    pub overload_multiple: f64,
    /// ... when it lasts this long, in nanoseconds.
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

/// Everything a dispatcher is given at its start. Fields left at their default mean "not stated".
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This dispatcher's number among its peers, from 0.
    pub instance: u32,
    /// How many dispatchers share the workers.
    pub instance_count: u32,
    /// The zone this dispatcher runs in.
    pub zone: u32,
    /// The number of machine kinds.
    pub machine_kind_count: u32,
    /// The shortest gap between two rounds of events, in nanoseconds.
    pub tick: Nanos,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// What a request past its tenant's quota is worth, as a fraction of its value.
    pub over_quota_value_fraction: f64,
    /// A request's value counts for each unit of its work, not for the request.
    pub value_by_work: bool,
    /// The endpoint list comes only after [`Action::Subscribe`] or [`Action::FetchEndpoints`].
    ///
    /// [`Action::Subscribe`]: crate::Action::Subscribe
    /// [`Action::FetchEndpoints`]: crate::Action::FetchEndpoints
    pub must_request_endpoints: bool,
    /// What is permitted.
    pub limits: Limits,
    /// What operations cost.
    pub prices: Prices,
    /// How load reports reach the dispatcher.
    pub load_reporting: LoadReporting,
    /// The figures of the safety rules.
    pub rules: SafetyRules,
    /// The gap between progress reports, in nanoseconds; 0 means that there are none.
    pub progress_interval: Nanos,
    /// Workers report when an attempt starts to run.
    pub reports_attempt_start: bool,
}

impl Settings {
    /// The highest priority among the classes, 0 if there is none.
    pub(crate) fn top_priority(&self) -> i32 {
        top_priority(&self.classes)
    }
}

/// The highest priority among these classes, 0 if there is none.
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
