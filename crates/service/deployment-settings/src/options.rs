//! The settings object as it is written, under the operators' names.
//!
//! Unknown fields are skipped, absent ones get their documented meaning. Times are nanoseconds. The
//! containers keep their names in the messages of the reader.

use serde::Deserialize;

/// The settings object.
#[derive(Deserialize)]
#[serde(expecting = "struct Options", rename_all = "camelCase")]
pub struct DeploymentOptions {
    /// The zone of this dispatcher, an index into the zones.
    #[serde(rename = "az", default)]
    pub zone: u32,
    /// The names of the zones.
    #[serde(rename = "azs", default)]
    pub zones: Vec<String>,
    /// How the endpoint list reaches the dispatcher: `automatic` or `subscribe`.
    #[serde(default)]
    pub discovery: Option<String>,
    /// What is special to the deployment's family of workers.
    #[serde(rename = "familyInfo", default)]
    pub family: FamilyOptions,
    /// The request classes.
    #[serde(rename = "grades")]
    pub classes: Vec<ClassOptions>,
    /// The names of the machine kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// What is permitted.
    #[serde(default)]
    pub limits: LimitOptions,
    /// This dispatcher's number among its peers.
    #[serde(rename = "me", default)]
    pub instance: u32,
    /// How many dispatchers share the workers.
    #[serde(rename = "nInstances", default)]
    pub instance_count: Option<u32>,
    /// What a request past its tenant's quota is worth, as a fraction.
    #[serde(rename = "overShareWorth", default)]
    pub over_quota_value_fraction: Option<f64>,
    /// What a request's value counts for: `request` or `work`.
    #[serde(rename = "worthBy")]
    pub value_basis: Option<String>,
    /// What operations cost.
    #[serde(default)]
    pub prices: PriceOptions,
    /// How load reports travel.
    #[serde(default)]
    pub report: ReportOptions,
    /// The shortest gap between two rounds of events.
    #[serde(rename = "round", default)]
    pub tick: Option<u64>,
    /// The figures of the safety rules.
    #[serde(default)]
    pub rules: RuleOptions,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<TenantOptions>,
}

/// What is special to the deployment's family of workers. The lists have an entry for each request
/// class.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct FamilyInfo", rename_all = "camelCase", default)]
pub struct FamilyOptions {
    /// The machine kinds that classes need; a negative one means any.
    pub class_kind: Vec<i64>,
    /// The classes' priorities in the workers' queues.
    pub class_priority: Vec<i32>,
    /// The growth of the classes' latency targets with the request's work.
    pub class_stretch: Vec<f64>,
    /// The gap between progress reports.
    #[serde(rename = "progress")]
    pub progress_interval: u64,
    /// The order of the workers' queues; priorities count if it is `priority`.
    pub queue_order: Option<String>,
    /// What the first unnamed value of load reports means.
    #[serde(rename = "reportX0")]
    pub report_x0: Option<String>,
    /// What the second unnamed value of load reports means.
    #[serde(rename = "reportX1")]
    pub report_x1: Option<String>,
    /// Workers report when an attempt starts to run.
    #[serde(rename = "tellsStart")]
    pub reports_attempt_start: bool,
}

/// A request class.
#[derive(Deserialize)]
#[serde(expecting = "struct Grade", rename_all = "camelCase")]
pub struct ClassOptions {
    /// Its name.
    pub name: String,
    /// The latency within which an answer earns the full value.
    #[serde(rename = "aim")]
    pub latency_target: u64,
    /// How long clients wait.
    pub deadline: u64,
    /// The growth of the latency target with the request's work.
    #[serde(rename = "aimStretch")]
    pub latency_target_stretch: Option<f64>,
    /// What repeats do: `idempotent`, `at_most_once` or `deduplicated`.
    pub effect: String,
    /// The workers that drop repeats: `all`, `zone` or `cell`.
    #[serde(rename = "dedupScope")]
    pub deduplication_scope: Option<String>,
    /// How long they remember a request.
    #[serde(rename = "keyTtl")]
    pub deduplication_window: Option<u64>,
    /// The fraction of the value that a late answer earns.
    #[serde(rename = "lateShare")]
    pub late_value_fraction: Option<f64>,
    /// The answer is a stream.
    #[serde(default)]
    pub streaming: bool,
    /// What an answer is worth.
    pub value: Option<f64>,
}

/// The operations that are permitted, and their bounds.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Limits", rename_all = "camelCase", default)]
pub struct LimitOptions {
    /// Attempts may be cancelled.
    #[serde(rename = "cancel")]
    pub can_cancel: bool,
    /// Idle connections close after this time.
    #[serde(rename = "connIdle")]
    pub idle_connection_timeout: u64,
    /// A connection that is not up within this time fails.
    pub connect_timeout: u64,
    /// The most attempts for one request.
    pub max_attempts: Option<u32>,
    /// The longest advice when to retry.
    pub max_retry_after: u64,
    /// Peers may be messaged.
    #[serde(rename = "peerMessages")]
    pub can_message_peers: bool,
    /// Workers may be probed.
    #[serde(rename = "probes")]
    pub can_probe: bool,
    /// Rejections may carry advice when to retry.
    #[serde(rename = "retryAfter")]
    pub can_send_retry_after: bool,
    /// Two attempts of a request may be in flight together.
    #[serde(rename = "secondCopies")]
    pub can_hedge: bool,
    /// Attempts that one connection carries at a time.
    #[serde(rename = "streamsPerConn")]
    pub streams_per_connection: Option<u32>,
}

/// What operations cost.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Prices", rename_all = "camelCase", default)]
pub struct PriceOptions {
    /// Open connections.
    #[serde(rename = "connection")]
    pub open_connections: f64,
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// A new connection.
    #[serde(rename = "handshake")]
    pub new_connection: f64,
    /// All value ending unserved after its latency target.
    #[serde(rename = "lateFail")]
    pub late_failure: f64,
    /// Fetching a program or data set from the shared store.
    #[serde(rename = "origin")]
    pub origin_fetch: f64,
    /// 256 bytes delivered to a peer.
    #[serde(rename = "peer")]
    pub peer_message: f64,
    /// A load probe.
    pub probe: f64,
    /// Work that served no answer.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
}

/// How load reports travel.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct ReportForm", default)]
pub struct ReportOptions {
    /// `answers`, `probe` or `none`.
    pub via: Option<String>,
}

/// The figures of the safety rules.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Rules", rename_all = "camelCase", default)]
pub struct RuleOptions {
    /// The longest gap between two requests for the endpoint list.
    #[serde(rename = "askEvery")]
    pub endpoint_poll_interval: u64,
    /// How long a slow start takes at most.
    #[serde(rename = "cold")]
    pub slow_start_duration: u64,
    /// The fraction of its capacity with which a worker starts.
    #[serde(rename = "coldFrom")]
    pub slow_start_initial_fraction: Option<f64>,
    /// How long after the notice of a drain a send is still tolerated.
    pub drain_grace: u64,
    /// How long too much work lasts until it overloads a worker in slow start.
    #[serde(rename = "tipAfter")]
    pub overload_window: u64,
    /// The multiple of its present capacity that is too much work.
    #[serde(rename = "tipMultiple")]
    pub overload_multiple: Option<f64>,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(expecting = "struct Tenant", rename_all = "camelCase")]
pub struct TenantOptions {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// Requests a second inside its quota.
    #[serde(rename = "quotaPerS")]
    pub quota_per_second: Option<f64>,
}
