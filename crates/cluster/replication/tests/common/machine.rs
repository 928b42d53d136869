//! A simulated machine: its disk, its pending writes and its process.
use super::{HEARTBEAT_MS, LEASE_MS};
use spanlead_replication::{Record, RecoveredState, Replica, ReplicaConfig, Term};
use std::collections::VecDeque;

/// The time from the start of a write until it is on disk, unless a test sets another,
/// milliseconds.
const DEFAULT_WRITE_LATENCY_MS: u64 = 9;

/// A record that is not on disk yet.
#[derive(Clone)]
pub struct PendingWrite {
    /// When the write completes.
    pub due_at_ms: u64,
    pub token: u64,
    pub record: Record,
}

/// A proposed batch that is not committed yet, with the key that it sets.
#[derive(Clone)]
pub struct Proposal {
    pub sequence: u64,
    pub key: Vec<u8>,
}

/// The term of an active primary, with the last batch of its replica at the activation.
#[derive(Clone, Copy)]
pub struct ServedTerm {
    pub term: Term,
    pub activation_sequence: u64,
}

/// A simulated machine.
#[derive(Clone)]
pub struct Machine {
    pub config: ReplicaConfig,
    pub disk: RecoveredState,
    pub pending_writes: VecDeque<PendingWrite>,
    /// The time from the start of a write until it is on disk, milliseconds.
    pub write_latency_ms: u64,
    /// `None` while the process does not run.
    pub replica: Option<Replica>,
    pub paused_until_ms: u64,
    /// `None` while the machine is not an active primary.
    pub served_term: Option<ServedTerm>,
    /// The last of the machine's own terms in which it was checked to hold every committed key.
    pub checked_term: Term,
    pub proposals: Vec<Proposal>,
    /// The last time at which the machine acted as primary.
    pub last_active_at_ms: u64,
    /// Whether the machine may terminate after a request to leave.
    pub leave_allowed: bool,
}

impl Machine {
    /// Creates a machine with an empty disk. Its process is not started.
    pub fn new(index: usize, seeds: Vec<String>, max_failures: usize, random: u64) -> Self {
        let config = ReplicaConfig {
            node_name: format!("core-{index}"),
            peer_address: peer_address(index),
            operator_address: format!("control-{index}"),
            seeds,
            bootstrap: true,
            max_failures,
            lease_ms: LEASE_MS,
            heartbeat_ms: HEARTBEAT_MS,
            random,
        };
        Machine {
            config,
            disk: RecoveredState::default(),
            pending_writes: VecDeque::new(),
            write_latency_ms: DEFAULT_WRITE_LATENCY_MS,
            replica: None,
            paused_until_ms: 0,
            served_term: None,
            checked_term: Term::default(),
            proposals: Vec::new(),
            last_active_at_ms: 0,
            leave_allowed: false,
        }
    }

    /// Starts the process with the contents of the disk.
    pub fn start(&mut self, random: u64, now_ms: u64) {
        self.config.random = random;
        self.replica = Some(Replica::start(self.config.clone(), self.disk.clone(), now_ms));
        self.config.bootstrap = false;
        self.served_term = None;
        self.leave_allowed = false;
    }

    /// Terminates the process. The oldest `kept_writes` pending writes still reach the disk.
    pub fn crash(&mut self, kept_writes: usize) {
        let pending: Vec<PendingWrite> = self.pending_writes.drain(..).take(kept_writes).collect();
        pending.into_iter().for_each(|write| self.write_to_disk(write.record));
        self.replica = None;
        self.proposals.clear();
        self.served_term = None;
    }

    /// Begins to write a record. Writes reach the disk in order.
    pub fn begin_write(&mut self, now_ms: u64, token: u64, record: Record) {
        let due_at_ms = now_ms + self.write_latency_ms;
        self.pending_writes.push_back(PendingWrite { due_at_ms, token, record });
    }

    /// Removes and returns the oldest pending write that is complete at `now_ms`.
    pub fn take_finished_write(&mut self, now_ms: u64) -> Option<PendingWrite> {
        let is_done = self.pending_writes.front().is_some_and(|write| write.due_at_ms <= now_ms);
        if is_done { self.pending_writes.pop_front() } else { None }
    }

    /// Applies a record to the disk.
    pub fn write_to_disk(&mut self, record: Record) {
        let disk = &mut self.disk;
        match record {
            Record::Identity { id, bootstrap_voter } => {
                disk.identity = Some(id);
                disk.bootstrap_voter = bootstrap_voter;
            }
            Record::Witness(witness) => disk.witness = witness,
            Record::Batch { position, changes } => {
                changes.iter().for_each(|change| disk.keyspace.apply(change));
                disk.position = position;
                disk.repair_incomplete = false;
            }
            Record::Repair { changes } => {
                changes.iter().for_each(|change| disk.keyspace.apply(change));
                disk.repair_incomplete = true;
            }
        }
    }
}

/// The peer address of a machine.
pub fn peer_address(index: usize) -> String {
    format!("peer-{index}")
}
