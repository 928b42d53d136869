//! The state machine of one machine: witness, follower, candidate and primary.
mod finding;
mod following;
mod leading;
mod voting;

use crate::election::Election;
use crate::follower::Following;
use crate::keyspace::{Change, Keyspace};
use crate::message::{Envelope, Message};
use crate::primary::{Patience, Primary};
use crate::view::{Ballot, Member, MemberId, Position, View};
use crate::witness::{Witness, WitnessRecord};
use std::collections::{BTreeMap, VecDeque};

/// How a replica is set up.
#[derive(Clone, Debug)]
pub struct Options {
    /// The machine's name.
    pub node: String,
    /// Where other schedulers reach it.
    pub peer: String,
    /// Where operators reach it.
    pub control: String,
    /// Peer addresses that are known from the start.
    pub seeds: Vec<String>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// Machines that may be lost at once; there are twice as many members and one more.
    pub losses: usize,
    /// How long a lease lasts, milliseconds.
    pub lease_ms: u64,
    /// How often a primary asks for it, milliseconds.
    pub heartbeat_ms: u64,
    /// A random number, for the identity and for sessions.
    pub random: u64,
}

/// What was read back from the data folder.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The folder's identity; `None` if it is empty.
    pub identity: Option<MemberId>,
    /// What the witness knows.
    pub witness: WitnessRecord,
    /// How far the key space is.
    pub position: Position,
    /// The key space.
    pub keyspace: Keyspace,
}

/// What goes to disk, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The folder's identity.
    Identity(MemberId),
    /// The witness's record, in place of the one before.
    Witness(WitnessRecord),
    /// Changes of the key space, and the position that they lead to.
    Batch {
        /// That position.
        position: Position,
        /// The changes.
        changes: Vec<Change>,
    },
}

/// What comes in.
#[derive(Debug)]
pub enum Input {
    /// A message from another machine.
    Message(Envelope),
    /// All records up to this number are on disk.
    Written(u64),
    /// The connection to this peer address was lost.
    PeerDown(String),
    /// Time has passed.
    Tick,
}

/// What the embedder must know.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// This machine is primary from now on and may act.
    Activated {
        /// Its term.
        term: u64,
    },
    /// It no longer is; what it proposed may be lost or may last.
    Deactivated,
    /// All batches up to this one last.
    Committed {
        /// The batch's number.
        sequence: u64,
    },
    /// A newer view is known.
    View(View),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A message to a peer address. It may get lost.
    Send {
        /// The address.
        to: String,
        /// The message.
        envelope: Envelope,
    },
    /// A record to bring to disk, in the order of the tokens.
    Write {
        /// Its number.
        token: u64,
        /// The record.
        record: Record,
    },
    /// News.
    Notice(Notice),
}

/// What follows once a record is on disk.
#[derive(Debug)]
enum Then {
    Nothing,
    Send(String, MemberId, Message),
    Promised(Ballot),
    Accepted(Ballot, u64),
    Synced(u64, u64),
    Acked { to: String, primary: MemberId, session: u64, sequence: u64 },
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate(Box<Election>),
    Primary(Box<Primary>),
}

/// Silence of a primary after which machines ask around, milliseconds.
const ASK_AFTER_MS: u64 = 400;
/// How often they ask, milliseconds.
const ASK_EVERY_MS: u64 = 250;
/// How long a candidate's round may take, milliseconds.
const ROUND_MS: u64 = 500;
/// How long a session may stand still with batches missing, milliseconds.
const SESSION_MS: u64 = 400;
/// How long the first start waits for all members before it makes do with fewer, milliseconds.
const GATHER_MS: u64 = 4_000;
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
/// How the primary judges its followers.
const PATIENCE: Patience = Patience { silent_ms: 600, stalled_ms: 300, gone_ms: 1_500 };

/// One machine's part in the replicated key space.
#[derive(Debug)]
pub struct Replica {
    options: Options,
    me: Member,
    started_at: u64,
    witness: Witness,
    keyspace: Keyspace,
    position: Position,
    /// The last batch that is on the own disk.
    synced: u64,
    view: Option<View>,
    role: Role,
    following: Option<Following>,
    primary_heard_at: u64,
    candidate_at: u64,
    asked_at: u64,
    sessions: u64,
    registered: BTreeMap<MemberId, Member>,
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
            synced: restored.position.sequence,
            view: restored.witness.accepted.map(|a| a.view),
            role: Role::Follower,
            following: None,
            primary_heard_at: now,
            candidate_at: 0,
            asked_at: 0,
            sessions: options.random >> 1,
            registered: BTreeMap::new(),
            next_token: 0,
            waiting: VecDeque::new(),
            outputs: Vec::new(),
            options,
        };
        if fresh {
            replica.write(Record::Identity(id), Then::Nothing);
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

    /// The last batch that lasts; 0 if this is no primary.
    #[must_use]
    pub fn committed(&self) -> u64 {
        match &self.role {
            Role::Primary(primary) => primary.committed,
            _ => 0,
        }
    }

    /// How far each member is, as the primary knows: its last batch on disk.
    #[must_use]
    pub fn followers(&self) -> Vec<(Member, Option<u64>)> {
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        let acked = |m: &Member| {
            let session = primary.sessions.get(&m.id).and_then(|s| s.acked);
            if m.id == self.me.id { Some(primary.synced) } else { session }
        };
        primary.view.members.iter().map(|m| (m.clone(), acked(m))).collect()
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
            primary.heard.insert(from, now);
            if let Some(learner) = primary.learners.get_mut(&from) {
                learner.heard_at = now;
            }
        }
        match envelope.message {
            Message::Register { member, bootstrap, epoch } => self.register(now, member, bootstrap, epoch),
            Message::Directory { view } => self.learn(view),
            Message::Prepare { ballot, candidate } => self.prepare(now, ballot, candidate),
            Message::Promise { ballot, accepted } => {
                self.election(now, ballot, |election| election.promised(from, accepted));
            }
            Message::Refuse { ballot, promised, retry_ms } => self.refused(now, ballot, promised, retry_ms),
            Message::Accept { ballot, view } => self.accept(ballot, view, from),
            Message::Accepted { ballot, epoch } => self.accepted(now, from, ballot, epoch),
            Message::Heartbeat { ballot, view, sent_at, sequence } => {
                self.heartbeat(now, from, ballot, view, sent_at, sequence);
            }
            Message::Grant { ballot, sent_at } => self.granted(from, ballot, sent_at),
            Message::Follow { term, session, roots } => self.follow(from, term, session, roots),
            Message::Compare { session, ranges } => self.compare(session, &ranges),
            Message::Leaves { session, leaves } => self.leaves(from, session, &leaves),
            Message::Repair { session, sequence, parts } => {
                self.replicate(now, session, |f, now, keyspace| f.repair(now, keyspace, sequence, &parts));
            }
            Message::Append { session, sequence, changes } => {
                self.replicate(now, session, |f, now, keyspace| f.append(now, keyspace, sequence, changes));
            }
            Message::Appended { session, sequence } => self.appended(from, session, sequence),
            Message::Resign { ballot, successor } => self.resigned(now, ballot, successor),
        }
    }

    fn tick(&mut self, now: u64) {
        match &self.role {
            Role::Primary(_) => self.lead(now),
            Role::Candidate(election) => {
                if now > election.started_at + ROUND_MS {
                    self.role = Role::Follower;
                    self.candidate_at = now + self.jitter();
                }
            }
            Role::Follower => self.wait(now),
        }
    }

    fn wait(&mut self, now: u64) {
        let Some(view) = &self.view else {
            if self.coordinates() {
                self.found(now);
            }
            if now >= self.asked_at + ASK_EVERY_MS {
                self.ask(now);
            }
            return;
        };
        let member = view.has(self.me.id);
        let rank = view.in_sync.iter().filter(|id| **id != view.primary).position(|id| *id == self.me.id);
        let rank = if view.primary == self.me.id { Some(0) } else { rank };
        let silent_for = now.saturating_sub(self.primary_heard_at);
        let asks = silent_for > ASK_AFTER_MS || !member && silent_for > ASK_EVERY_MS;
        if asks && now >= self.asked_at + ASK_EVERY_MS {
            self.ask(now);
        }
        let Some(rank) = rank.filter(|_| member) else { return };
        let due = self.options.lease_ms + rank as u64 * STAGGER_MS;
        let leased =
            self.witness.lease_until() > now && self.view.as_ref().is_some_and(|v| v.primary != self.me.id);
        if silent_for >= due && now >= self.candidate_at && !leased {
            self.stand(now);
        }
    }

    fn peer_down(&mut self, now: u64, address: &str) {
        if self.following.as_ref().is_some_and(|f| f.address == address) {
            self.following = None;
        }
        if let Role::Primary(primary) = &mut self.role {
            let members = primary.view.members.iter();
            let lost: Vec<MemberId> = members.filter(|m| m.peer == address).map(|m| m.id).collect();
            for id in lost {
                let heard = primary.heard.entry(id).or_default();
                *heard = (*heard).min(now.saturating_sub(PATIENCE.silent_ms - RECONNECT_MS));
            }
        }
    }

    fn written(&mut self, now: u64, token: u64) {
        let mut ack = None;
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
            }
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
