//! The state that a node has only while it is primary.
use super::pending_replies::PendingReplies;
use super::worker_list_polling::WorkerListPolling;
use crate::commit_latency::CommitLatency;
use crate::configuration_state::{self, ConfigurationState};
use crate::unreadable_records::job_records;
use spanlead_job_scheduler::{Now, Scheduler};
use spanlead_replication::{Keyspace, Position, Term};

/// The state of a primary, from its activation to its deactivation.
///
/// It is recovered from the key space at activation. From then on, every change to the jobs and the
/// configuration is proposed as a batch. A call to a worker or a reply to a request is sent only
/// once the batches that it depends on are committed; replies to status queries are the exception.
#[derive(Debug)]
pub(super) struct PrimaryState {
    /// The term, which is also the fencing token of calls to workers.
    pub(super) term: Term,
    pub(super) scheduler: Scheduler,
    pub(super) configuration: ConfigurationState,
    /// The sequence number of the last proposed batch.
    pub(super) proposed_sequence: u64,
    pub(super) commit_latency: CommitLatency,
    pub(super) replies: PendingReplies,
    pub(super) worker_list_polling: WorkerListPolling,
}

impl PrimaryState {
    /// Recovers the state from the key space. `position` is that of the key space.
    ///
    /// # Errors
    /// If there are records that this version of the program can't read.
    pub(super) fn recover(
        term: Term,
        mut scheduler: Scheduler,
        now: Now,
        keyspace: &Keyspace,
        position: Position,
    ) -> Result<Self, UnreadableKeys> {
        let mut unreadable: Vec<Vec<u8>> =
            configuration_state::unreadable_keys(keyspace).map(<[u8]>::to_vec).collect();
        unreadable.extend(scheduler.recover(now, job_records(keyspace)));
        if !unreadable.is_empty() {
            return Err(UnreadableKeys(unreadable));
        }
        Ok(PrimaryState {
            term,
            scheduler,
            configuration: ConfigurationState::load(keyspace),
            proposed_sequence: position.sequence,
            commit_latency: CommitLatency::default(),
            replies: PendingReplies::default(),
            worker_list_polling: WorkerListPolling::default(),
        })
    }
}

/// The error that records can't be read by this version of the program, with their keys.
#[derive(Debug)]
pub(super) struct UnreadableKeys(pub(super) Vec<Vec<u8>>);
