//! Statistics and views for operators. They are served as JSON under `/ops`, so the serialised
//! names must not change.
use serde::Serialize;
use spanlead_worker_attributes::AttributeProvenance;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Ended requests of a class, by result.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RequestCounts {
    /// Requests whose job succeeded.
    pub completed: u64,
    /// Requests that were rejected; their clients may retry them safely.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}

impl RequestCounts {
    /// Adds the counts of another class that has the same name.
    pub(crate) fn add(&mut self, other: Self) {
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }
}

/// The engine's state at one moment. Counters start from 0 when the process starts.
#[derive(Debug, Serialize)]
pub struct EngineStats {
    /// Ended requests, by class name.
    pub downstream_requests: BTreeMap<String, RequestCounts>,
    /// Attempts whose request was written completely to a worker.
    pub upstream_requests: u64,
    /// Requests whose clients wait for an answer.
    pub pending: usize,
    /// Workers in the endpoint list.
    pub members: usize,
    /// Workers in the endpoint list that are draining or avoided by the balancing policy.
    pub members_unavailable: usize,
    /// Successful reloads of the configuration file on SIGHUP.
    pub config_reloads: u64,
    /// Failed reloads of the configuration file on SIGHUP.
    pub config_reload_errors: u64,
    /// Number of invalid inputs, by reason.
    #[serde(rename = "bad_input", skip_serializing_if = "BTreeMap::is_empty")]
    pub invalid_input: BTreeMap<&'static str, u64>,
    /// Statistics of durable jobs, while this process has their log open.
    #[serde(rename = "ledger", skip_serializing_if = "Option::is_none")]
    pub durable_jobs: Option<DurableJobStats>,
    /// Statistics of the inventories, if there are any.
    #[serde(rename = "facts", skip_serializing_if = "Option::is_none")]
    pub inventory: Option<InventoryStats>,
    /// Statistics of the membership, if it is enabled.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub membership: Option<spanlead_membership::MembershipStats>,
}

/// Statistics of the worker attributes that come from inventories.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct InventoryStats {
    /// Inventories in use.
    pub inventories: usize,
    /// Hosts named by inventories, counted once for each inventory that names them.
    pub hosts: usize,
    /// Workers in the endpoint list that an inventory also names.
    pub matched: usize,
    /// Workers isolated because their pod or zone has changed: each counts as being in a pod or
    /// zone of its own until the longest deduplication window has passed since the change.
    #[serde(rename = "apart")]
    pub isolated: usize,
    /// Changes of workers that are still queued for processing.
    pub pending: usize,
}

/// A worker and its attributes, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct HostView {
    /// The worker's name.
    pub host: Arc<str>,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// The attributes and their sources.
    #[serde(rename = "facts")]
    pub attributes: Vec<AttributeProvenance>,
    /// `pod`, `zone` or both: those that have changed and in which the worker is therefore isolated
    /// (see [`InventoryStats::isolated`]).
    #[serde(rename = "apart", skip_serializing_if = "Vec::is_empty")]
    pub isolated: Vec<&'static str>,
}

/// Statistics of durable jobs. Counters start from 0 when the process starts.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DurableJobStats {
    /// Jobs that have not finished.
    pub open: usize,
    /// Finished jobs that are retained for clients that retry.
    #[serde(rename = "kept")]
    pub retained: usize,
    /// Upper estimate of the memory used by open and retained jobs, bytes.
    pub live_bytes: usize,
    /// Size of the log on disk, bytes.
    pub disk_bytes: u64,
    /// Jobs recovered from the log of the previous process.
    pub recovered: u64,
    /// Client retries that joined the open request that they repeat.
    pub joined: u64,
    /// Client retries that were answered with a retained outcome.
    pub replayed: u64,
    /// Requests whose idempotency key was used before for a different request.
    pub mismatched: u64,
    /// Leases that expired because their worker sent no notice.
    #[serde(rename = "leases_ended")]
    pub expired_leases: u64,
    /// Notices that arrived after the lease of their worker was over.
    pub fenced: u64,
    /// Jobs rejected because the job table or the log is full, or the log has failed.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Whether the log is no longer writable.
    pub failed: bool,
    /// Group commits.
    pub commits: u64,
    /// Records written by group commits.
    pub records: u64,
    /// Median duration of a group commit, microseconds.
    pub commit_p50_us: u64,
    /// 99th percentile of the duration of a group commit, microseconds.
    pub commit_p99_us: u64,
    /// Longest duration of a group commit, microseconds.
    pub commit_max_us: u64,
}
