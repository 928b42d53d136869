//! What a machine tells others, and what it counts itself, rests on records that are on its disk.
use spanlead_replication::{
    AcceptedView, Ballot, Envelope, Epoch, Heartbeat, Input, Keyspace, LeaseGrant, Member, MemberId, Message,
    Output, Position, RecoveredState, Replica, ReplicaConfig, ReplicaEvent, StreamItem, Term, View,
    WitnessRecord,
};

const LOCAL: MemberId = MemberId(1);
const PRIMARY: MemberId = MemberId(2);
const OTHER: MemberId = MemberId(3);
const PRIMARY_BALLOT: Ballot = Ballot { round: 2, candidate: PRIMARY };
const START_MS: u64 = 10_000;
/// The last batch that the local machine wrote as primary of the first term.
const LOCAL_SEQUENCE: u64 = 100;
/// The batch at which the next primary took over: the batches after it were never committed.
const TAKEOVER_SEQUENCE: u64 = 95;

fn member(id: MemberId) -> Member {
    let MemberId(number) = id;
    Member {
        id,
        node_name: format!("core-{number}"),
        peer_address: format!("peer-{number}"),
        operator_address: format!("control-{number}"),
    }
}

/// A view of the second term.
fn view(epoch: u64) -> View {
    let members: Vec<Member> = [LOCAL, PRIMARY, OTHER].map(member).to_vec();
    View {
        epoch: Epoch(epoch),
        term: Term(2),
        primary: PRIMARY,
        in_sync: vec![PRIMARY, LOCAL],
        members: members.clone(),
        previous_members: members,
    }
}

fn accepted_view() -> AcceptedView {
    AcceptedView { ballot: PRIMARY_BALLOT, view: view(2) }
}

/// The local machine, whose disk confirms writes only when the test says so. Both other machines
/// grant every request.
struct LocalMachine {
    replica: Replica,
    now_ms: u64,
    last_token: u64,
    /// The messages that were sent, without those to which the other machines responded.
    sent: Vec<Message>,
    events: Vec<ReplicaEvent>,
}

impl LocalMachine {
    /// A machine that was primary of the first term and has accepted the view of the second.
    fn start() -> Self {
        let config = ReplicaConfig {
            node_name: member(LOCAL).node_name,
            peer_address: member(LOCAL).peer_address,
            operator_address: member(LOCAL).operator_address,
            seeds: Vec::new(),
            bootstrap: false,
            max_failures: 1,
            lease_ms: 500,
            heartbeat_ms: 100,
            random: 7,
        };
        let recovered = RecoveredState {
            identity: Some(LOCAL),
            witness: WitnessRecord { promised: PRIMARY_BALLOT, accepted: Some(accepted_view()) },
            position: Position { term: Term(1), sequence: LOCAL_SEQUENCE },
            ..RecoveredState::default()
        };
        let replica = Replica::start(config, recovered, START_MS);
        LocalMachine { replica, now_ms: START_MS, last_token: 0, sent: Vec::new(), events: Vec::new() }
    }

    fn receive(&mut self, from: MemberId, message: Message) {
        self.handle(Input::Message(Envelope { from, to: Some(LOCAL), message }));
    }

    fn handle(&mut self, input: Input) {
        self.now_ms += 1;
        self.replica.handle(self.now_ms, input);
        let mut responses = Vec::new();
        for output in self.replica.take_outputs() {
            match output {
                Output::Send { envelope, .. } => match response(&envelope.message) {
                    Some(message) => responses.extend(envelope.to.map(|to| (to, message))),
                    None => self.sent.push(envelope.message),
                },
                Output::Write { token, .. } => self.last_token = token,
                Output::Event(event) => self.events.push(event),
            }
        }
        for (from, message) in responses {
            self.receive(from, message);
        }
    }

    fn confirm_writes(&mut self) {
        self.handle(Input::Written(self.last_token));
    }

    fn receive_heartbeat(&mut self, view: View) {
        let heartbeat = Heartbeat {
            ballot: PRIMARY_BALLOT,
            view,
            sent_at_ms: self.now_ms,
            sequence: TAKEOVER_SEQUENCE,
            session: None,
            majority_contact: None,
        };
        self.receive(PRIMARY, Message::Heartbeat(heartbeat));
    }

    fn lease_grants(&self) -> usize {
        self.sent.iter().filter(|message| matches!(message, Message::LeaseGrant(_))).count()
    }

    fn requested_session(&self) -> u64 {
        let session = |message: &Message| match message {
            Message::SessionRequest { session, .. } => Some(*session),
            _ => None,
        };
        self.sent.iter().rev().find_map(session).expect("a session was requested")
    }

    fn has_committed(&self) -> bool {
        self.events.iter().any(|event| matches!(event, ReplicaEvent::Committed { .. }))
    }
}

/// The response of another machine to a request of an election or of a primary.
fn response(message: &Message) -> Option<Message> {
    match message {
        Message::PreVoteRequest { ballot, .. } => Some(Message::PreVoteGrant { ballot: *ballot }),
        Message::Prepare { ballot, .. } => {
            Some(Message::Promise { ballot: *ballot, accepted: Some(accepted_view()) })
        }
        Message::Accept { ballot, view } => Some(Message::Accepted { ballot: *ballot, epoch: view.epoch }),
        Message::Heartbeat(heartbeat) => Some(Message::LeaseGrant(LeaseGrant {
            ballot: heartbeat.ballot,
            sent_at_ms: heartbeat.sent_at_ms,
            witness_clock_ms: heartbeat.sent_at_ms,
            ineligible: false,
        })),
        _ => None,
    }
}

/// Guards against a witness that grants a lease before the primary's view is on its disk: after a
/// loss of power it would not know to which primary.
#[test]
fn lease_is_not_granted_before_the_view_is_on_disk() {
    let mut machine = LocalMachine::start();
    machine.receive_heartbeat(view(3));
    machine.receive_heartbeat(view(3));
    assert_eq!(machine.lease_grants(), 0, "the view is not on disk yet");

    machine.confirm_writes();
    assert_eq!(machine.lease_grants(), 1, "expected the grant for the first heartbeat");
    machine.receive_heartbeat(view(3));
    assert_eq!(machine.lease_grants(), 2, "the view is on disk");
}

/// Guards against a former primary that was ahead of its successor and counts the batches of its own
/// earlier term as those of the present one.
#[test]
fn primary_does_not_count_its_own_disk_before_its_batches_are_on_it() {
    let mut machine = LocalMachine::start();
    machine.receive_heartbeat(view(2));
    let session = machine.requested_session();
    let item = StreamItem::RepairComplete { sequence: TAKEOVER_SEQUENCE };
    machine.receive(PRIMARY, Message::Stream { session, index: 1, item });
    machine.receive(PRIMARY, Message::Resign { ballot: PRIMARY_BALLOT, successor: Some(LOCAL) });
    let sequence = machine.replica.position().sequence;
    assert_eq!(sequence, TAKEOVER_SEQUENCE + 1, "expected a new primary with its first batch");

    let term = machine.replica.position().term;
    let range_digests = Keyspace::default().range_digests();
    machine.receive(PRIMARY, Message::SessionRequest { term, session: 5, range_digests });
    machine.receive(PRIMARY, Message::BatchAck { session: 5, sequence });
    assert!(!machine.has_committed(), "nothing of this term is on the primary's own disk");

    machine.confirm_writes();
    assert!(machine.has_committed(), "the batch is on both disks");
}
