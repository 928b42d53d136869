//! The figures and views that operators are shown. Field names are keys of `/ops` JSON and must not
//! change.
use serde::Serialize;
use spanlead_worker_attributes::AttributeProvenance;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How a class's requests ended.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RequestCounts {
    /// Requests that were served.
    pub completed: u64,
    /// Requests that were rejected: trying again is harmless.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}

impl RequestCounts {
    /// Adds the counts of another class of the same name.
    pub(crate) fn add(&mut self, other: Self) {
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }
}

/// The engine's state at one moment. All counts begin with the process.
#[derive(Debug, Serialize)]
pub struct EngineStats {
    /// How requests ended, by class.
    pub downstream_requests: BTreeMap<String, RequestCounts>,
    /// Attempts that were written whole to workers.
    pub upstream_requests: u64,
    /// Requests that were accepted and have not ended.
    pub pending: usize,
    /// Workers in the endpoint list.
    pub members: usize,
    /// Workers in the endpoint list that get no jobs now.
    pub members_unavailable: usize,
    /// Configuration files that were used, at SIGHUP.
    pub config_reloads: u64,
    /// Configuration files that were refused, at SIGHUP.
    pub config_reload_errors: u64,
    /// Invalid input, by reason.
    #[serde(rename = "bad_input", skip_serializing_if = "BTreeMap::is_empty")]
    pub invalid_input: BTreeMap<&'static str, u64>,
    /// Durable jobs, where they are kept.
    #[serde(rename = "ledger", skip_serializing_if = "Option::is_none")]
    pub durable_jobs: Option<DurableJobStats>,
    /// Worker attributes from inventories, where there are any.
    #[serde(rename = "facts", skip_serializing_if = "Option::is_none")]
    pub inventory: Option<InventoryStats>,
    /// The membership, where it is switched on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub membership: Option<spanlead_membership::MembershipStats>,
}

/// Figures of the worker attributes that come from inventories.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct InventoryStats {
    /// Inventories in use.
    pub inventories: usize,
    /// Hosts that they name.
    pub hosts: usize,
    /// Workers in the endpoint list that an inventory names too.
    pub matched: usize,
    /// Workers whose pod or zone has changed, and which count as in none until no repeat can go
    /// wrong.
    #[serde(rename = "apart")]
    pub isolated: usize,
    /// Workers whose changes are still to be processed.
    pub pending: usize,
}

/// What is known of one worker.
#[derive(Clone, Debug, Serialize)]
pub struct HostView {
    /// The worker's name.
    pub host: Arc<str>,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// Its attributes and their sources.
    #[serde(rename = "facts")]
    pub attributes: Vec<AttributeProvenance>,
    /// Attributes that have changed and count as its own alone until no repeat can go wrong.
    #[serde(rename = "apart", skip_serializing_if = "Vec::is_empty")]
    pub isolated: Vec<&'static str>,
}

/// Figures of durable jobs. Counts begin with the process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DurableJobStats {
    /// Jobs that have not ended.
    pub open: usize,
    /// Ended jobs whose result is kept.
    #[serde(rename = "kept")]
    pub retained: usize,
    /// Memory that open and kept jobs take, bytes.
    pub live_bytes: usize,
    /// Size of the log on disk, bytes.
    pub disk_bytes: u64,
    /// Jobs recovered from the process before.
    pub recovered: u64,
    /// Repeated requests that wait for the answer to the first.
    pub joined: u64,
    /// Repeated requests that were given a kept answer.
    pub replayed: u64,
    /// Requests whose idempotency key had been used for another request.
    pub mismatched: u64,
    /// Leases that expired without a notice of their worker.
    #[serde(rename = "leases_ended")]
    pub expired_leases: u64,
    /// Notices that came after their lease was over.
    pub fenced: u64,
    /// Jobs rejected because the log is full, failed, or not open yet.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// The log cannot be written to any more.
    pub failed: bool,
    /// Group commits.
    pub commits: u64,
    /// Records in them.
    pub records: u64,
    /// Median time of a group commit, microseconds.
    pub commit_p50_us: u64,
    /// 99th percentile of the time of a group commit, microseconds.
    pub commit_p99_us: u64,
    /// Longest group commit, microseconds.
    pub commit_max_us: u64,
}
