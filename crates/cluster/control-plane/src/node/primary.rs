//! The state that a node has only as primary.
use super::pending_replies::PendingReplies;
use super::worker_list_polling::WorkerListPolling;
use crate::commit_latency::CommitLatency;
use crate::configuration_state::{self, ConfigurationState};
use crate::unreadable_records::job_records;
use spanlead_job_scheduler::{Now, Scheduler};
use spanlead_replication::{Keyspace, Position, Term};

/// The state of a primary, from its activation until it is deactivated.
///
/// It is derived from the key space at activation; from then on every change of it is proposed as a
/// batch, and nothing leaves the node that rests on a batch which is not committed.
#[derive(Debug)]
pub(super) struct PrimaryServices {
    /// The term, also the fencing token of calls to workers.
    pub(super) term: Term,
    pub(super) scheduler: Scheduler,
    pub(super) configuration: ConfigurationState,
    /// The sequence of the last batch that was proposed.
    pub(super) proposed_sequence: u64,
    pub(super) commits: CommitLatency,
    pub(super) replies: PendingReplies,
    pub(super) worker_list: WorkerListPolling,
}

impl PrimaryServices {
    /// Recovers the state from the key space.
    ///
    /// # Errors
    /// With the keys of the records that this version can't read.
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
        Ok(PrimaryServices {
            term,
            scheduler,
            configuration: ConfigurationState::load(keyspace),
            proposed_sequence: position.sequence,
            commits: CommitLatency::default(),
            replies: PendingReplies::default(),
            worker_list: WorkerListPolling::default(),
        })
    }
}

/// The keys of records that this version can't read.
#[derive(Debug)]
pub(super) struct UnreadableKeys(pub(super) Vec<Vec<u8>>);
