//! The state machine of one machine: witness, follower, candidate and primary.
use crate::election::{Election, Step};
use crate::follower::{Following, Taken};
use crate::keyspace::{Change, Keyspace};
use crate::message::{Envelope, Message};
use crate::primary::{Comparison, Learner, Patience, Primary, Proposal};
use crate::view::{Ballot, Member, MemberId, Position, View};
use crate::witness::{Vote, Witness, WitnessRecord};
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

    /// Makes changes, as primary, and tells their batch's number; `None` if this machine is not primary.
    pub fn propose(&mut self, now: u64, changes: Vec<Change>) -> Option<u64> {
        let Role::Primary(primary) = &mut self.role else { return None };
        changes.iter().for_each(|change| self.keyspace.apply(change));
        primary.sequence += 1;
        let sequence = primary.sequence;
        primary.sent.push_back((sequence, now));
        self.position = Position { term: primary.view.term, sequence };
        let mut sends = Vec::new();
        for (id, address) in listeners(primary, self.me.id) {
            if let Some(session) = primary.streams_to(id) {
                sends.push((address, id, Message::Append { session, sequence, changes: changes.clone() }));
            }
        }
        let term = primary.view.term;
        self.write(Record::Batch { position: self.position, changes }, Then::Synced(term, sequence));
        sends.into_iter().for_each(|(to, id, message)| self.send(to, Some(id), message));
        Some(sequence)
    }

    /// Gives the primary's role away, if this machine has it.
    pub fn resign(&mut self, now: u64) {
        let Role::Primary(primary) = &self.role else { return };
        let ballot = primary.ballot;
        let ready =
            |id: &&MemberId| primary.sessions.get(id).is_some_and(|s| s.acked == Some(primary.sequence));
        let successor = primary.view.in_sync.iter().find(ready).copied();
        let members = primary.view.members.clone();
        self.witness.release(self.me.id);
        self.deactivate(now);
        self.candidate_at = now + RESIGNED_MS;
        let me = self.me.id;
        for member in members.iter().filter(|m| m.id != me) {
            self.send(member.peer.clone(), Some(member.id), Message::Resign { ballot, successor });
        }
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

    // Finding one another.

    fn register(&mut self, now: u64, member: Member, bootstrap: bool, epoch: u64) {
        if let Role::Primary(primary) = &mut self.role {
            if !primary.view.has(member.id) {
                let learner = Learner { member: member.clone(), heard_at: now };
                primary.learners.insert(member.id, learner);
            }
            return self.send_heartbeat(now, &member);
        }
        match &self.view {
            Some(view) if view.epoch > epoch => {
                let view = view.clone();
                self.send(member.peer, Some(member.id), Message::Directory { view });
            }
            Some(_) => {}
            None if bootstrap && self.coordinates() => {
                self.registered.insert(member.id, member);
            }
            None => {}
        }
    }

    /// Whether the first start is this machine's to lead: it is the first seed.
    fn coordinates(&self) -> bool {
        self.options.bootstrap && self.options.seeds.first() == Some(&self.me.peer)
    }

    /// Begins the first term once the members are known.
    fn found(&mut self, now: u64) {
        let wanted = 2 * self.options.losses + 1;
        let late = now >= self.started_at + GATHER_MS && self.registered.len() >= self.options.losses;
        if self.registered.len() + 1 < wanted && !late {
            return;
        }
        let mut members = vec![self.me.clone()];
        members.extend(std::mem::take(&mut self.registered).into_values().take(wanted - 1));
        let in_sync = members.iter().map(|m| m.id).collect();
        let view =
            View { epoch: 1, term: 1, primary: self.me.id, in_sync, previous: members.clone(), members };
        let ballot = Ballot { round: 1, candidate: self.me.id };
        let (election, _) = Election::start(self.me.id, self.options.losses, ballot, &view, now);
        self.role = Role::Candidate(Box::new(election.founding(view.clone())));
        self.bring(ballot, &view);
    }

    fn learn(&mut self, view: View) {
        if self.view.as_ref().is_none_or(|known| view.epoch > known.epoch) {
            self.view = Some(view.clone());
            self.outputs.push(Output::Notice(Notice::View(view)));
        }
    }

    /// Takes a view that is in force: it goes before another of the same number that never was.
    fn learn_chosen(&mut self, view: View) {
        if self.view.as_ref().is_some_and(|known| view.epoch == known.epoch && view != *known) {
            self.view = None;
        }
        self.learn(view);
    }

    /// Asks around for a primary.
    fn ask(&mut self, now: u64) {
        self.asked_at = now;
        let mut addresses = self.options.seeds.clone();
        addresses.extend(self.view.iter().flat_map(|v| &v.members).map(|m| m.peer.clone()));
        addresses.sort_unstable();
        addresses.dedup();
        let epoch = self.view.as_ref().map_or(0, |v| v.epoch);
        addresses.retain(|to| *to != self.me.peer);
        for to in addresses {
            let message =
                Message::Register { member: self.me.clone(), bootstrap: self.options.bootstrap, epoch };
            self.send(to, None, message);
        }
    }

    // Witness.

    fn prepare(&mut self, now: u64, ballot: Ballot, candidate: Member) {
        match self.witness.prepare(now, ballot) {
            Vote::Given => {
                // Guards the candidate's claim: nothing of an older term may be taken after the promise.
                self.following = None;
                let accepted = self.witness.record.accepted.clone();
                let message = Message::Promise { ballot, accepted };
                self.write_witness(Then::Send(candidate.peer, candidate.id, message));
            }
            Vote::Refused(retry_ms) => {
                let message = Message::Refuse { ballot, promised: self.witness.record.promised, retry_ms };
                self.send(candidate.peer, Some(candidate.id), message);
            }
        }
    }

    fn accept(&mut self, ballot: Ballot, view: View, from: MemberId) {
        let Some(address) = view.member(from).map(|m| m.peer.clone()) else { return };
        match self.witness.accept(ballot, &view) {
            Vote::Given => {
                let epoch = view.epoch;
                self.learn(view);
                self.write_witness(Then::Send(address, from, Message::Accepted { ballot, epoch }));
            }
            Vote::Refused(retry_ms) => {
                let message = Message::Refuse { ballot, promised: self.witness.record.promised, retry_ms };
                self.send(address, Some(from), message);
            }
        }
    }

    fn heartbeat(
        &mut self,
        now: u64,
        from: MemberId,
        ballot: Ballot,
        view: View,
        sent_at: u64,
        sequence: u64,
    ) {
        let Some(primary) = view.member(from).cloned() else { return };
        match self.witness.grant(now, ballot) {
            Vote::Refused(retry_ms) => {
                let message = Message::Refuse { ballot, promised: self.witness.record.promised, retry_ms };
                return self.send(primary.peer, Some(from), message);
            }
            Vote::Given => self.grant(primary.clone(), ballot, &view, sent_at),
        }
        if !matches!(self.role, Role::Follower) {
            self.deactivate(now);
        }
        self.primary_heard_at = now;
        let term = view.term;
        self.learn_chosen(view);
        let stale = match &self.following {
            None => true,
            Some(f) => {
                let behind = f.taken.is_none_or(|taken| taken < sequence);
                f.term != term || f.primary != from || behind && now > f.progress_at + SESSION_MS
            }
        };
        if stale {
            self.begin_session(now, primary, term);
        }
    }

    /// Grants a lease. A witness that doesn't have the view yet takes it first: after a restart it must know
    /// whose lease it may have granted.
    fn grant(&mut self, primary: Member, ballot: Ballot, view: &View, sent_at: u64) {
        let message = Message::Grant { ballot, sent_at };
        let held = self.witness.record.accepted.as_ref();
        if held.is_some_and(|a| a.ballot == ballot && a.view.epoch >= view.epoch) {
            return self.send(primary.peer, Some(primary.id), message);
        }
        if self.witness.accept(ballot, view) == Vote::Given {
            self.write_witness(Then::Send(primary.peer, primary.id, message));
        }
    }

    fn begin_session(&mut self, now: u64, primary: Member, term: u64) {
        self.sessions += 1;
        let session = self.sessions;
        let address = primary.peer.clone();
        self.following = Some(Following {
            primary: primary.id,
            address: address.clone(),
            term,
            session,
            taken: None,
            progress_at: now,
        });
        let roots = self.keyspace.roots();
        self.send(address, Some(primary.id), Message::Follow { term, session, roots });
    }

    fn resigned(&mut self, now: u64, ballot: Ballot, successor: Option<MemberId>) {
        self.witness.release(ballot.candidate);
        let mine = successor == Some(self.me.id);
        if matches!(self.role, Role::Follower) && mine {
            self.stand(now);
        }
    }

    // Candidate.

    /// Begins a round.
    fn stand(&mut self, now: u64) {
        let Some(view) = self.view.clone() else { return };
        let round = self.witness.record.promised.round + 1;
        let ballot = Ballot { round, candidate: self.me.id };
        self.following = None;
        let (election, step) = Election::start(self.me.id, self.options.losses, ballot, &view, now);
        self.role = Role::Candidate(Box::new(election));
        self.step(now, ballot, step);
    }

    fn election(&mut self, now: u64, ballot: Ballot, act: impl FnOnce(&mut Election) -> Step) {
        if let Role::Candidate(election) = &mut self.role
            && election.ballot == ballot
        {
            let step = act(election);
            self.step(now, ballot, step);
        }
    }

    fn step(&mut self, now: u64, ballot: Ballot, step: Step) {
        match step {
            Step::Wait => {}
            Step::Prepare(members) => {
                let candidate = self.me.clone();
                for member in members {
                    if member.id == self.me.id {
                        if self.witness.prepare(now, ballot) == Vote::Given {
                            self.write_witness(Then::Promised(ballot));
                        }
                    } else {
                        let message = Message::Prepare { ballot, candidate: candidate.clone() };
                        self.send(member.peer, Some(member.id), message);
                    }
                }
            }
            Step::Accept(view) => self.bring(ballot, &view),
            Step::Lost(view) => {
                self.role = Role::Follower;
                self.primary_heard_at = now;
                self.learn(view);
            }
            Step::Won(view) => self.win(now, ballot, view),
        }
    }

    /// Brings a view to its voters.
    fn bring(&mut self, ballot: Ballot, view: &View) {
        for member in view.voters() {
            if member.id == self.me.id {
                if self.witness.accept(ballot, view) == Vote::Given {
                    self.write_witness(Then::Accepted(ballot, view.epoch));
                }
            } else {
                let message = Message::Accept { ballot, view: view.clone() };
                self.send(member.peer.clone(), Some(member.id), message);
            }
        }
    }

    fn accepted(&mut self, now: u64, from: MemberId, ballot: Ballot, epoch: u64) {
        match &mut self.role {
            Role::Candidate(_) => self.election(now, ballot, |election| election.accepted(from, epoch)),
            Role::Primary(primary) if primary.ballot == ballot => {
                let Some(proposal) = primary.proposal.as_mut().filter(|p| p.view.epoch == epoch) else {
                    return;
                };
                if !proposal.voters.contains(&from) {
                    proposal.voters.push(from);
                }
                if proposal.view.decided_by(&proposal.voters) {
                    let view = proposal.view.clone();
                    self.adopt(view);
                }
            }
            _ => {}
        }
    }

    fn refused(&mut self, now: u64, ballot: Ballot, promised: Ballot, retry_ms: u64) {
        let mine = match &self.role {
            Role::Candidate(election) => election.ballot == ballot,
            Role::Primary(primary) => primary.ballot == ballot && promised > ballot,
            Role::Follower => false,
        };
        if !mine {
            return;
        }
        if promised > ballot {
            self.witness.record.promised.round = self.witness.record.promised.round.max(promised.round);
        }
        if matches!(self.role, Role::Candidate(_)) {
            self.role = Role::Follower;
            self.candidate_at = now + retry_ms + self.jitter();
        } else {
            self.deactivate(now);
        }
    }

    /// A wait that differs from machine to machine, milliseconds.
    fn jitter(&self) -> u64 {
        10 + (self.me.id.0 ^ self.witness.record.promised.round.wrapping_mul(0x9E37_79B9)) % JITTER_MS
    }

    // Primary.

    fn win(&mut self, now: u64, ballot: Ballot, view: View) {
        log::info!("primary of term {} with {} in sync", view.term, view.in_sync.len());
        let primary =
            Primary::new(self.me.id, ballot, view.clone(), self.position.sequence, self.synced, now);
        self.role = Role::Primary(Box::new(primary));
        self.learn(view);
        // What an earlier primary left unfinished lasts once this batch does.
        self.propose(now, Vec::new());
        self.lead(now);
    }

    /// A change of view is in force.
    fn adopt(&mut self, view: View) {
        let Role::Primary(primary) = &mut self.role else { return };
        log::info!("view {}: {} members, {} in sync", view.epoch, view.members.len(), view.in_sync.len());
        primary.learners.retain(|id, _| !view.has(*id));
        primary.view = view.clone();
        primary.proposal = None;
        self.learn(view);
        self.commit();
    }

    fn granted(&mut self, from: MemberId, ballot: Ballot, sent_at: u64) {
        let Role::Primary(primary) = &mut self.role else { return };
        if primary.ballot == ballot {
            let held = primary.granted.entry(from).or_default();
            *held = sent_at.max(*held);
        }
    }

    fn follow(&mut self, from: MemberId, term: u64, session: u64, roots: Vec<u64>) {
        let Role::Primary(primary) = &mut self.role else { return };
        if primary.view.term != term {
            return;
        }
        let Some(address) = address_of(primary, from) else { return };
        let sequence = primary.sequence;
        let message = match primary.follow(from, session, roots, &self.keyspace) {
            Comparison::Ranges(ranges) => Message::Compare { session, ranges },
            Comparison::Parts(parts) => Message::Repair { session, sequence, parts },
        };
        self.send(address, Some(from), message);
    }

    fn compare(&mut self, session: u64, ranges: &[u16]) {
        let Some(following) = self.following.as_ref().filter(|f| f.session == session) else { return };
        let digests = |range: &u16| (*range, self.keyspace.leaf_digests(*range).to_vec());
        let leaves = ranges.iter().map(digests).collect();
        let (address, primary) = (following.address.clone(), following.primary);
        self.send(address, Some(primary), Message::Leaves { session, leaves });
    }

    fn leaves(&mut self, from: MemberId, session: u64, leaves: &[(u16, Vec<u64>)]) {
        let Role::Primary(primary) = &mut self.role else { return };
        let Some(parts) = primary.compare(from, session, leaves, &self.keyspace) else { return };
        let sequence = primary.sequence;
        let Some(address) = address_of(primary, from) else { return };
        self.send(address, Some(from), Message::Repair { session, sequence, parts });
    }

    fn replicate(
        &mut self,
        now: u64,
        session: u64,
        take: impl FnOnce(&mut Following, u64, &mut Keyspace) -> Taken,
    ) {
        let Some(following) = self.following.as_mut().filter(|f| f.session == session) else { return };
        let (to, primary) = (following.address.clone(), following.primary);
        match take(following, now, &mut self.keyspace) {
            Taken::Nothing => {}
            Taken::Broken => self.following = None,
            Taken::Write(position, changes) => {
                self.position = position;
                let sequence = position.sequence;
                let then = Then::Acked { to, primary, session, sequence };
                self.write(Record::Batch { position, changes }, then);
            }
        }
    }

    fn appended(&mut self, from: MemberId, session: u64, sequence: u64) {
        let Role::Primary(primary) = &mut self.role else { return };
        if let Some(held) = primary.sessions.get_mut(&from).filter(|s| s.session == session) {
            held.acknowledge(sequence);
        }
        self.commit();
    }

    fn commit(&mut self) {
        let me = self.me.id;
        let Role::Primary(primary) = &mut self.role else { return };
        let point = primary.commit_point(me);
        if point > primary.committed {
            primary.committed = point;
            while primary.sent.front().is_some_and(|(sequence, _)| *sequence <= point) {
                primary.sent.pop_front();
            }
            self.outputs.push(Output::Notice(Notice::Committed { sequence: point }));
        }
    }

    /// Ends this machine's part as candidate or primary.
    fn deactivate(&mut self, now: u64) {
        let before = std::mem::replace(&mut self.role, Role::Follower);
        self.primary_heard_at = now;
        if let Role::Primary(primary) = before {
            log::info!("no longer primary of term {}", primary.view.term);
            if primary.active {
                self.outputs.push(Output::Notice(Notice::Deactivated));
            }
        }
    }

    // Time, disk and connections.

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

    /// A primary's round of duties: lease, followers, view.
    fn lead(&mut self, now: u64) {
        let lease_ms = self.options.lease_ms;
        let Role::Primary(primary) = &mut self.role else { return };
        let until = primary.lease_until(lease_ms);
        let patience = if primary.active { 0 } else { primary.won_at + 2 * lease_ms };
        if now >= until && now >= patience {
            return self.deactivate(now);
        }
        if !primary.active && now < until {
            primary.active = true;
            let term = primary.view.term;
            self.outputs.push(Output::Notice(Notice::Activated { term }));
        }
        if primary.own_disk_stalls(DISK_STALL_MS, now) {
            log::warn!("the own disk stands still; another machine is to lead");
            return self.resign(now);
        }
        self.beat(now);
        self.review(now);
        self.commit();
    }

    fn beat(&mut self, now: u64) {
        let Role::Primary(primary) = &mut self.role else { return };
        if now < primary.heartbeat_at + self.options.heartbeat_ms {
            return;
        }
        primary.heartbeat_at = now;
        primary.learners.retain(|_, learner| now < learner.heard_at + 4 * PATIENCE.gone_ms);
        let ballot = primary.ballot;
        let learners = primary.learners.values().map(|l| l.member.clone());
        let targets: Vec<Member> = primary.view.members.iter().cloned().chain(learners).collect();
        if self.witness.grant(now, ballot) == Vote::Given {
            self.granted(self.me.id, ballot, now);
        }
        let me = self.me.id;
        for member in targets.into_iter().filter(|m| m.id != me) {
            self.send_heartbeat(now, &member);
        }
    }

    fn send_heartbeat(&mut self, now: u64, member: &Member) {
        let Role::Primary(primary) = &self.role else { return };
        let message = Message::Heartbeat {
            ballot: primary.ballot,
            view: primary.view.clone(),
            sent_at: now,
            sequence: primary.sequence,
        };
        self.send(member.peer.clone(), Some(member.id), message);
    }

    fn review(&mut self, now: u64) {
        let me = self.me.id;
        let Role::Primary(primary) = &mut self.role else { return };
        let ballot = primary.ballot;
        if let Some(proposal) = &mut primary.proposal {
            if now > proposal.sent_at + ASK_EVERY_MS {
                proposal.sent_at = now;
                let view = proposal.view.clone();
                self.bring(ballot, &view);
            }
            return;
        }
        if let Some(view) = primary.review(me, self.options.losses, &PATIENCE, now) {
            primary.proposal = Some(Proposal { view: view.clone(), voters: Vec::new(), sent_at: now });
            self.bring(ballot, &view);
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

fn address_of(primary: &Primary, id: MemberId) -> Option<String> {
    let learner = primary.learners.get(&id).map(|l| &l.member);
    primary.view.member(id).or(learner).map(|m| m.peer.clone())
}

fn listeners(primary: &Primary, me: MemberId) -> Vec<(MemberId, String)> {
    let members = primary.view.members.iter().chain(primary.learners.values().map(|l| &l.member));
    members.filter(|m| m.id != me).map(|m| (m.id, m.peer.clone())).collect()
}
