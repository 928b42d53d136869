//! The state machine of one machine: witness, follower, candidate and primary.
mod finding;
mod following;
mod founding;
mod leading;
mod leaving;
mod streaming;
mod types;
mod voting;

use self::following::Beat;
pub use self::types::{Input, MemberStatus, Notice, Options, Output, Record, Restored};
use crate::election::Election;
use crate::follower::Following;
use crate::keyspace::Keyspace;
use crate::membership::Patience;
use crate::message::{Envelope, Message};
use crate::primary::{Granted, Primary};
use crate::view::{Ballot, Member, MemberId, Position, View};
use crate::witness::Witness;
use std::collections::{BTreeMap, VecDeque};

/// What follows once a record is on disk.
#[derive(Clone, Debug)]
enum Then {
    Nothing,
    Send(String, MemberId, Message),
    Promised(Ballot),
    Accepted(Ballot, u64),
    Synced(u64, u64),
    Acked { to: String, primary: MemberId, session: u64, sequence: u64 },
    Repaired { to: String, primary: MemberId, session: u64, index: u64 },
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Candidate(Box<Election>),
    Primary(Box<Primary>),
}

/// Silence of a primary after which its members ask around, milliseconds.
const ASK_AFTER_MS: u64 = 400;
/// How often they ask, milliseconds.
const ASK_EVERY_MS: u64 = 250;
/// The same for a machine that is no member: it should be known as standing by as soon as there is a new primary.
const STAND_BY_ASK_MS: u64 = 100;
/// How long a candidate's round may take, milliseconds.
const ROUND_MS: u64 = 500;
/// How often a candidate asks again who would promise: leases end at different moments, and nothing is promised by it.
const CANVASS_MS: u64 = 40;
/// How long a session may stand still with items missing, milliseconds.
const SESSION_MS: u64 = 400;
/// The same while the follower is repaired.
const REPAIR_MS: u64 = 1_000;
/// How often at most these two are doubled, once for each session that ended by them.
const MOST_DOUBLINGS: u32 = 4;
/// After how long without such an end they are as at first again, milliseconds.
const CALM_MS: u64 = 20_000;
/// Between candidates of one set, milliseconds.
const STAGGER_MS: u64 = 100;
/// Candidates that met wait up to this long before they try again, milliseconds.
const JITTER_MS: u64 = 150;
/// How long a machine that gave its lease back stays out of elections, milliseconds.
const RESIGNED_MS: u64 = 3_000;
/// How long a machine has to be heard of again after its connection broke, milliseconds.
const RECONNECT_MS: u64 = 200;
/// How long a primary's disk may stand still before it gives its role away, milliseconds.
const DISK_STALL_MS: u64 = 1_000;
/// Silence after which a machine that stood by is forgotten, milliseconds.
const LEARNER_FORGOTTEN_MS: u64 = 6_000;
/// How often a machine that is to leave says so, milliseconds.
const LEAVE_EVERY_MS: u64 = 50;
/// How the primary judges its followers.
const PATIENCE: Patience = Patience {
    silent_ms: 600,
    stalled_ms: 300,
    absent_ms: 280,
    return_ms: 30_000,
    leaving_ms: 1_000,
    joining_ms: 300,
    rejoining_ms: 2_000,
};

/// A machine that was told to leave for good.
#[derive(Clone, Debug)]
struct Leaving {
    said_at: u64,
    released: bool,
}

/// One machine's part in the replicated key space.
#[derive(Clone, Debug)]
pub struct Replica {
    options: Options,
    me: Member,
    started_at: u64,
    witness: Witness,
    keyspace: Keyspace,
    position: Position,
    /// Whether the key space is between two states, by a repair that is not finished.
    incomplete: bool,
    /// Whether the copy holds records that the embedder can't read: this machine must not lead until it is repaired.
    unfit: bool,
    /// Whether the folder dates from the first start of the whole system.
    founder: bool,
    /// The last batch that is on the own disk.
    synced: u64,
    view: Option<View>,
    role: Role,
    following: Option<Following>,
    primary_heard_at: u64,
    candidate_at: u64,
    asked_at: u64,
    sessions: u64,
    /// Sessions that ended because they stood still, and when the last did.
    stalled_sessions: u32,
    stalled_at: u64,
    /// A time (of this clock) at which the primary of that term certainly was in touch with a majority.
    contact: Option<(u64, u64)>,
    /// Machines that may take part in the round that begins the system, with the time when each was heard last.
    founders: BTreeMap<MemberId, (Member, u64)>,
    leaving: Option<Leaving>,
    next_token: u64,
    waiting: VecDeque<(u64, Then)>,
    outputs: Vec<Output>,
}

impl Replica {
    /// A replica that starts at `now` with what its folder holds. What it must do at once is in the outputs.
    #[must_use]
    pub fn start(options: Options, restored: Restored, now: u64) -> Self {
        let fresh = restored.identity.is_none();
        let id = restored.identity.unwrap_or(MemberId(options.random | 1));
        let me = Member {
            id,
            node: options.node.clone(),
            peer: options.peer.clone(),
            control: options.control.clone(),
        };
        let mut replica = Replica {
            me,
            started_at: now,
            witness: Witness::new(restored.witness.clone(), options.lease_ms, now),
            keyspace: restored.keyspace,
            position: restored.position,
            incomplete: restored.incomplete,
            unfit: false,
            founder: if fresh { options.bootstrap } else { restored.founder },
            synced: restored.position.sequence,
            view: restored.witness.accepted.map(|a| a.view),
            role: Role::Follower,
            following: None,
            primary_heard_at: now,
            candidate_at: 0,
            asked_at: 0,
            sessions: options.random >> 1,
            stalled_sessions: 0,
            stalled_at: 0,
            contact: None,
            founders: BTreeMap::new(),
            leaving: None,
            next_token: 0,
            waiting: VecDeque::new(),
            outputs: Vec::new(),
            options,
        };
        if fresh {
            replica.write(Record::Identity { id, founder: replica.founder }, Then::Nothing);
        }
        if replica.view.as_ref().is_some_and(|v| v.primary == id) {
            // Its lease may not have ended, and nobody else can hold one.
            replica.primary_heard_at = now.saturating_sub(2 * replica.options.lease_ms);
        }
        replica
    }

    /// Who this is.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The newest view known here.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// The copy of the key space here.
    #[must_use]
    pub fn keyspace(&self) -> &Keyspace {
        &self.keyspace
    }

    /// How far the key space here is.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// The term, if this machine is primary and its lease holds at `now`.
    #[must_use]
    pub fn active(&self, now: u64) -> Option<u64> {
        let Role::Primary(primary) = &self.role else { return None };
        let holds = primary.active && now < primary.lease_until(self.options.lease_ms);
        holds.then_some(primary.view.term)
    }

    /// The primary, if this machine can prove that it was in touch with a majority less than a lease ago: only then may
    /// others be sent there.
    #[must_use]
    pub fn proven_primary(&self, now: u64) -> Option<&Member> {
        let view = self.view.as_ref()?;
        if self.active(now).is_some() {
            return Some(&self.me);
        }
        let (term, at) = self.contact?;
        let fresh = term == view.term && now < at + self.options.lease_ms;
        fresh.then(|| view.member(view.primary)).flatten()
    }

    /// Whether the copy of the key space here is between two states, by a repair that is not finished.
    #[must_use]
    pub fn incomplete(&self) -> bool {
        self.incomplete
    }

    /// Votes that any decision needs at least, and replicas that a primary needs in sync.
    fn quorum(&self) -> usize {
        self.options.losses + 1
    }

    /// The last batch that lasts; 0 if this is no primary.
    #[must_use]
    pub fn committed(&self) -> u64 {
        match &self.role {
            Role::Primary(primary) => primary.committed,
            _ => 0,
        }
    }

    /// The members as the primary knows them; none if this machine is not primary.
    #[must_use]
    pub fn members(&self) -> Vec<MemberStatus> {
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        let status = |m: &Member| {
            let mine = m.id == self.me.id;
            let acked = primary.sessions.get(&m.id).and_then(|s| s.acked);
            MemberStatus {
                member: m.clone(),
                on_disk: if mine { Some(primary.synced) } else { acked },
                unfit: if mine { self.unfit } else { primary.granted.get(&m.id).is_some_and(|g| g.unfit) },
            }
        };
        primary.view.members.iter().map(status).collect()
    }

    /// Tells that this machine's copy holds records that the embedder can't read. It does not lead until another primary
    /// has repaired it.
    pub fn withhold(&mut self, now: u64) {
        self.unfit = true;
        self.resign(now);
    }

    /// What is to be done since this was last asked.
    pub fn drain(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes an input.
    pub fn handle(&mut self, now: u64, input: Input) {
        match input {
            Input::Message(envelope) => self.message(now, envelope),
            Input::Written(token) => self.written(now, token),
            Input::PeerDown(address) => self.peer_down(now, &address),
            Input::Tick => {}
        }
        self.tick(now);
    }

    fn message(&mut self, now: u64, envelope: Envelope) {
        if envelope.to.is_some_and(|id| id != self.me.id) || envelope.from == self.me.id {
            return;
        }
        let from = envelope.from;
        if let Role::Primary(primary) = &mut self.role {
            primary.hear(from, now);
        }
        match envelope.message {
            Message::Register { member, founder, epoch } => self.register(now, member, founder, epoch),
            Message::Directory { view } => self.learn(view),
            Message::Canvass { ballot, candidate } => self.canvass(now, ballot, candidate),
            Message::Support { ballot } => {
                self.election(now, ballot, |election| election.supported(from));
            }
            Message::Prepare { ballot, candidate } => self.prepare(now, ballot, candidate),
            Message::Promise { ballot, accepted } => {
                self.election(now, ballot, |election| election.promised(from, accepted));
            }
            Message::Refuse { ballot, promised, retry_ms } => {
                self.refused(now, from, ballot, promised, retry_ms)
            }
            Message::Accept { ballot, view } => self.accept(now, ballot, view, from),
            Message::Accepted { ballot, epoch } => self.accepted(now, from, ballot, epoch),
            Message::Heartbeat { ballot, view, sent_at, sequence, session, contact } => {
                let beat = Beat { ballot, view, sent_at, sequence, session, contact };
                self.heartbeat(now, from, beat);
            }
            Message::Grant { ballot, sent_at, clock, unfit } => {
                self.granted(from, ballot, Granted { sent_at, clock, unfit })
            }
            Message::Follow { term, session, roots } => self.follow(from, term, session, roots),
            Message::Compare { session, in_sync, ranges } => self.compare(session, in_sync, &ranges),
            Message::Leaves { session, leaves } => self.leaves(from, session, &leaves),
            Message::Stream { session, index, item } => self.replicate(now, session, index, item),
            Message::Repaired { session, index } => self.repaired(from, session, index),
            Message::Appended { session, sequence } => self.appended(from, session, sequence),
            Message::Resign { ballot, successor } => self.resigned(now, ballot, successor),
            Message::Leave { member } => self.asked_to_leave(now, member),
            Message::LeaveAnswer { wait } => self.leave_answered(wait),
        }
    }

    fn tick(&mut self, now: u64) {
        match &self.role {
            Role::Primary(_) => self.lead(now),
            Role::Candidate(election) => {
                let asked_at = election.canvassing_since();
                if now > election.started_at + ROUND_MS {
                    self.role = Role::Follower;
                    self.candidate_at = now + self.jitter();
                } else if asked_at.is_some_and(|at| now >= at + CANVASS_MS) {
                    let ballot = election.ballot;
                    self.election(now, ballot, |election| election.canvass_again(now));
                }
            }
            Role::Follower => self.wait(now),
        }
        self.say_leaving(now);
    }

    fn wait(&mut self, now: u64) {
        if self.view.is_none() {
            return self.wait_for_first_view(now);
        }
        let Some(view) = &self.view else { return };
        let member = view.has(self.me.id);
        let silent_for = now.saturating_sub(self.primary_heard_at);
        let (after, every) = match member {
            true => (ASK_AFTER_MS, ASK_EVERY_MS),
            false => (STAND_BY_ASK_MS + self.options.heartbeat_ms, STAND_BY_ASK_MS),
        };
        if silent_for > after && now >= self.asked_at + every {
            self.ask(now);
        }
        let Some(rank) = self.rank() else { return };
        let due = self.options.lease_ms + rank * STAGGER_MS;
        let leased =
            self.witness.lease_until() > now && self.view.as_ref().is_some_and(|v| v.primary != self.me.id);
        if silent_for >= due && now >= self.candidate_at && !leased {
            self.stand(now);
        }
    }

    /// This machine's place among those that may stand for election: in sync, the last primary after the others.
    /// `None` if it may not: it is no member, not in sync, holds an unfinished repair or unreadable records.
    fn rank(&self) -> Option<u64> {
        let view =
            self.view.as_ref().filter(|view| view.has(self.me.id) && !self.incomplete && !self.unfit)?;
        let others = view.in_sync.iter().filter(|id| **id != view.primary);
        let last = view.in_sync.iter().filter(|id| **id == view.primary);
        others.chain(last).position(|id| *id == self.me.id).map(|place| place as u64)
    }

    fn peer_down(&mut self, now: u64, address: &str) {
        if self.following.as_ref().is_some_and(|f| f.address == address) {
            self.following = None;
        }
        if let Role::Primary(primary) = &mut self.role {
            let members = primary.view.members.iter();
            let lost: Vec<MemberId> = members.filter(|m| m.peer == address).map(|m| m.id).collect();
            for id in lost {
                // What was on its way there is lost with the connection: its session begins anew.
                primary.sessions.remove(&id);
                let heard = primary.heard.entry(id).or_default();
                *heard = (*heard).min(now.saturating_sub(PATIENCE.silent_ms - RECONNECT_MS));
            }
        }
    }

    fn written(&mut self, now: u64, token: u64) {
        let (mut ack, mut repaired) = (None, None);
        while self.waiting.front().is_some_and(|(t, _)| *t <= token) {
            let Some((_, then)) = self.waiting.pop_front() else { break };
            match then {
                Then::Nothing => {}
                Then::Send(to, id, message) => self.send(to, Some(id), message),
                Then::Promised(ballot) => {
                    let accepted = self.witness.record.accepted.clone();
                    let me = self.me.id;
                    self.election(now, ballot, |election| election.promised(me, accepted));
                }
                Then::Accepted(ballot, epoch) => self.accepted(now, self.me.id, ballot, epoch),
                Then::Synced(term, sequence) => {
                    self.synced = sequence;
                    if let Role::Primary(primary) = &mut self.role
                        && primary.view.term == term
                    {
                        primary.synced = sequence;
                    }
                }
                Then::Acked { to, primary, session, sequence } => {
                    self.synced = sequence;
                    ack = Some((to, primary, session, sequence));
                }
                Then::Repaired { to, primary, session, index } => {
                    repaired = Some((to, primary, session, index));
                }
            }
        }
        if let Some((to, primary, session, index)) = repaired {
            self.send(to, Some(primary), Message::Repaired { session, index });
        }
        if let Some((to, primary, session, sequence)) = ack {
            self.send(to, Some(primary), Message::Appended { session, sequence });
        }
        self.commit();
    }

    fn write_witness(&mut self, then: Then) {
        let record = Record::Witness(self.witness.record.clone());
        self.write(record, then);
    }

    fn write(&mut self, record: Record, then: Then) {
        self.next_token += 1;
        let token = self.next_token;
        self.waiting.push_back((token, then));
        self.outputs.push(Output::Write { token, record });
    }

    fn send(&mut self, to: String, id: Option<MemberId>, message: Message) {
        let envelope = Envelope { from: self.me.id, to: id, message };
        self.outputs.push(Output::Send { to, envelope });
    }
}
