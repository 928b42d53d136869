//! [`Replica`]: its state, its construction and the queries of the embedder.
use super::local_state::LocalState;
use super::outbox::{Destination, Outbox, WriteCompletion};
use crate::backup::BackupState;
use crate::bootstrap::BootstrapState;
use crate::config::ReplicaConfig;
use crate::election::Election;
use crate::interface::{MemberStatus, Output, Record, RecoveredState};
use crate::keyspace::Keyspace;
use crate::leave::LeaveState;
use crate::message::Message;
use crate::primary::PrimaryState;
use crate::view::{Member, MemberId, Position, Term, View};
use crate::witness::Witness;

/// The role of this machine in the view.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Follows a primary, or waits for one.
    Backup,
    /// Runs an election.
    Candidate(Box<Election>),
    /// Has won an election.
    Primary(Box<PrimaryState>),
}

/// The times that decide when this machine announces itself and starts an election, milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct ElectionTimers {
    /// The last contact with the primary, or with a candidate that is given time to win its
    /// election.
    pub(super) last_primary_contact_ms: u64,
    /// The earliest time at which this machine may start an election.
    pub(super) not_candidate_before_ms: u64,
    /// The last time at which this machine announced itself.
    pub(super) announced_at_ms: u64,
}

/// A time at which the primary of a term is proven to have been in contact with a majority of the
/// witnesses. Ordered by term, then by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct VerifiedContact {
    pub(super) term: Term,
    /// By this machine's clock, milliseconds.
    pub(super) at_ms: u64,
}

/// The replication state machine of one machine.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) config: ReplicaConfig,
    pub(super) local_member: Member,
    pub(super) started_at_ms: u64,
    pub(super) witness: Witness,
    pub(super) local_state: LocalState,
    /// The newest known view.
    pub(super) view: Option<View>,
    pub(super) role: Role,
    pub(super) backup: BackupState,
    pub(super) timers: ElectionTimers,
    pub(super) verified_contact: Option<VerifiedContact>,
    pub(super) bootstrap: BootstrapState,
    /// Set once this machine is told to leave permanently.
    pub(super) leave: Option<LeaveState>,
    pub(super) outbox: Outbox,
}

impl Replica {
    /// Creates a replica that starts at `now_ms` (milliseconds) with the recovered contents of its
    /// data folder. Its first outputs are ready to be taken.
    #[must_use]
    pub fn start(config: ReplicaConfig, recovered: RecoveredState, now_ms: u64) -> Self {
        let is_new_folder = recovered.identity.is_none();
        let id = recovered.identity.unwrap_or(MemberId(config.random | 1));
        let local_member = Member {
            id,
            node_name: config.node_name.clone(),
            peer_address: config.peer_address.clone(),
            operator_address: config.operator_address.clone(),
        };
        let bootstrap_voter = if is_new_folder { config.bootstrap } else { recovered.bootstrap_voter };
        let view = recovered.witness.accepted.as_ref().map(|accepted| accepted.view.clone());
        let last_primary_contact_ms = if view.as_ref().is_some_and(|view| view.primary == id) {
            // No other machine can hold a lease while this machine's own may still be valid, so it
            // may start an election without waiting for a lease to expire.
            now_ms.saturating_sub(2 * config.lease_ms)
        } else {
            now_ms
        };
        let mut replica = Replica {
            local_member,
            started_at_ms: now_ms,
            witness: Witness::new(recovered.witness.clone(), config.lease_ms, now_ms),
            local_state: LocalState::recovered(recovered),
            view,
            role: Role::Backup,
            backup: BackupState::new(config.random),
            timers: ElectionTimers {
                last_primary_contact_ms,
                not_candidate_before_ms: 0,
                announced_at_ms: 0,
            },
            verified_contact: None,
            bootstrap: BootstrapState::new(bootstrap_voter),
            leave: None,
            outbox: Outbox::default(),
            config,
        };
        if is_new_folder {
            let record = Record::Identity { id, bootstrap_voter };
            replica.outbox.write(record, WriteCompletion::NoAction);
        }
        replica
    }

    /// The member entry of this machine.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// The newest view that this machine knows.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// This machine's replica of the key space.
    #[must_use]
    pub fn keyspace(&self) -> &Keyspace {
        &self.local_state.keyspace
    }

    /// The position of this machine's replica: the last batch applied to it.
    #[must_use]
    pub fn position(&self) -> Position {
        self.local_state.position
    }

    /// Whether a repair has begun and not completed, so that the local key space equals no state of
    /// any primary.
    #[must_use]
    pub fn has_incomplete_repair(&self) -> bool {
        self.local_state.repair_incomplete
    }

    /// The term of this machine as primary; `None` if it is not primary or its lease is not valid
    /// at `now_ms` (milliseconds).
    ///
    /// At most one machine has an active term at any time: a lease needs a majority of the
    /// witnesses, and its holder stops using it before the witnesses let it expire.
    #[must_use]
    pub fn active_term(&self, now_ms: u64) -> Option<Term> {
        let Role::Primary(primary) = &self.role else { return None };
        primary.holds_lease(self.config.lease_ms, now_ms).then_some(primary.view().term)
    }

    /// The primary; `None` if this machine has no proof that the primary was in contact with a
    /// majority less than one lease before `now_ms` (milliseconds). Clients may be redirected to a
    /// verified primary only.
    #[must_use]
    pub fn verified_primary(&self, now_ms: u64) -> Option<&Member> {
        let view = self.view.as_ref()?;
        if self.active_term(now_ms).is_some() {
            return Some(&self.local_member);
        }
        let contact = self.verified_contact?;
        let is_valid = contact.term == view.term && now_ms < contact.at_ms + self.config.lease_ms;
        is_valid.then(|| view.member(view.primary)).flatten()
    }

    /// The sequence number of the last committed batch; 0 if this machine is not primary.
    #[must_use]
    pub fn committed_sequence(&self) -> u64 {
        self.as_primary().map_or(0, |primary| primary.batches.committed_sequence())
    }

    /// The status of each member as the primary knows it; empty if this machine is not primary.
    #[must_use]
    pub fn member_statuses(&self) -> Vec<MemberStatus> {
        let Some(primary) = self.as_primary() else { return Vec::new() };
        let status = |member: &Member| {
            let is_local = member.id == self.local_member.id;
            let grant = primary.grants.get(member.id);
            MemberStatus {
                member: member.clone(),
                durable_sequence: if is_local {
                    Some(primary.batches.local_durable_sequence())
                } else {
                    primary.acknowledged_sequence(member.id)
                },
                ineligible: if is_local {
                    self.local_state.ineligible
                } else {
                    grant.is_some_and(|grant| grant.ineligible)
                },
            }
        };
        primary.view().members.iter().map(status).collect()
    }

    /// Takes the outputs that were produced since the previous call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.outbox.take()
    }

    pub(super) fn as_primary(&self) -> Option<&PrimaryState> {
        match &self.role {
            Role::Primary(primary) => Some(primary),
            Role::Backup | Role::Candidate(_) => None,
        }
    }

    pub(super) fn as_primary_mut(&mut self) -> Option<&mut PrimaryState> {
        match &mut self.role {
            Role::Primary(primary) => Some(primary),
            Role::Backup | Role::Candidate(_) => None,
        }
    }

    /// The minimum number of votes for any decision: f + 1.
    pub(super) fn min_quorum(&self) -> usize {
        self.config.min_quorum()
    }

    pub(super) fn send(&mut self, to: Destination, message: Message) {
        self.outbox.send(self.local_member.id, to, message);
    }

    pub(super) fn send_to(&mut self, member: &Member, message: Message) {
        self.send(Destination::from(member), message);
    }

    /// Sends a message to each of these members except this machine.
    pub(super) fn send_to_others(&mut self, members: &[Member], message: &Message) {
        let local_id = self.local_member.id;
        for member in members.iter().filter(|member| member.id != local_id) {
            self.send_to(member, message.clone());
        }
    }

    /// Writes the current record of the witness to disk.
    pub(super) fn write_witness_record(&mut self, completion: WriteCompletion) {
        self.outbox.write(Record::Witness(self.witness.record.clone()), completion);
    }
}
