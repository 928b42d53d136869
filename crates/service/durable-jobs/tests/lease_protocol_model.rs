//! A model of the lease protocol, searched completely for small sizes: one scheduler that writes a
//! log, two workers, a client that submits twice, crashes with and without what was not synced,
//! messages that are lost, doubled and late, and workers' clocks that run slow by up to the bound.
//! Each rule of the protocol can be taken out; then the search must find the fault that the rule
//! prevents.
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// The duration of a lease, ticks.
const LEASE: u8 = 1;
/// The bound on the drift of clocks within a lease, ticks.
const CLOCK_DRIFT_BOUND: u8 = 1;
/// Ticks that are searched.
const TICKS: u8 = 4;
/// Crashes that are searched.
const CRASHES: u8 = 1;
/// Records that may be unsynced at a time.
const MAX_UNSYNCED: usize = 4;
/// Submissions of the client, and attempts of the job.
const MAX_SUBMISSIONS: u8 = 2;
const MAX_ATTEMPTS: u8 = 2;
const WORKERS: [u8; 2] = [0, 1];

const ONE_WORKER: &str = "one worker at a time";
const NO_SECOND_RUN: &str = "a job that must not run twice does not";
const ONE_ANSWER: &str = "one answer for all submissions";
const ANSWER_DURABLE: &str = "what was answered is on disk";
const LAST_LEASE: &str = "the result is the last lease's";
const INVARIANTS: [&str; 5] = [ONE_WORKER, NO_SECOND_RUN, ONE_ANSWER, ANSWER_DURABLE, LAST_LEASE];
const ANSWERED_AFTER_CRASH: &str = "answered after a crash";
const SECOND_WORKER: &str = "a lease ends and the job continues on another worker";
const REACHABLE: [&str; 2] = [ANSWERED_AFTER_CRASH, SECOND_WORKER];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// Nothing is sent before its record is durable.
    OutputCommit,
    /// A lease ends at the scheduler later than at its worker, by the bound on clocks.
    ClockDriftBound,
    /// A renewal is logged before it is sent.
    RenewalLogged,
    /// A result counts only under the present lease.
    Fencing,
    /// A job that must not run twice is not sent again where it may have run.
    NoSecondRun,
    /// After a crash, an attempt that may be in flight is waited for.
    Recovery,
    /// An offer that the disk has delayed by a tick is not sent any more.
    OfferExpiry,
}

/// The job: one that must not run twice, or one whose second run both workers drop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    NonIdempotent,
    Deduplicated,
}

struct LeaseProtocol {
    class: Class,
    without: Option<Rule>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Record {
    Accepted,
    Leased { lease: Lease },
    Renewed { token: u8, expires_at: u8 },
    Released,
    Finished { token: u8 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Offer { worker: u8, token: u8 },
    Heartbeat { worker: u8, token: u8, sent_at: u8 },
    Renewal { worker: u8, token: u8, expires_at: u8 },
    Result { worker: u8, token: u8 },
    Answer { token: u8 },
}

/// A lease as the scheduler has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Lease {
    worker: u8,
    token: u8,
    expires_at: u8,
}

/// What the records add up to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Job {
    accepted: bool,
    lease: Option<Lease>,
    last_token: u8,
    may_have_run: bool,
    finished_under: Option<u8>,
}

impl Job {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted => self.accepted = true,
            Record::Leased { lease } => {
                self.lease = Some(lease);
                self.last_token = lease.token;
            }
            Record::Renewed { token, expires_at } => {
                if let Some(lease) = self.lease.as_mut().filter(|lease| lease.token == token) {
                    lease.expires_at = lease.expires_at.max(expires_at);
                }
            }
            Record::Released => {
                self.lease = None;
                self.may_have_run = true;
            }
            Record::Finished { token } => {
                self.lease = None;
                self.finished_under = Some(token);
            }
        }
    }

    fn is_leased_to(&self, worker: u8, token: u8) -> bool {
        self.lease.is_some_and(|lease| (lease.worker, lease.token) == (worker, token))
    }
}

/// A lease as its worker has it: until when, by its own slow clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct WorkerLease {
    token: u8,
    expires_at: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    crashes: u8,
    scheduler_is_up: bool,
    /// The job as the running scheduler has it.
    job: Job,
    /// The job as the records on disk have it.
    durable_job: Job,
    unsynced: Vec<Record>,
    /// Messages that may be sent when all records before them are durable.
    waiting_for_sync: Vec<Message>,
    in_flight: BTreeSet<Message>,
    worker_leases: [Option<WorkerLease>; 2],
    /// How often each worker has begun the job.
    runs: [u8; 2],
    submissions: u8,
    client_waits: bool,
    /// The tokens under which the results were made that the client received.
    answers: BTreeSet<u8>,
}

impl State {
    fn new() -> Self {
        State {
            now: 0,
            crashes: 0,
            scheduler_is_up: true,
            job: Job::default(),
            durable_job: Job::default(),
            unsynced: Vec::new(),
            waiting_for_sync: Vec::new(),
            in_flight: BTreeSet::new(),
            worker_leases: [None; 2],
            runs: [0; 2],
            submissions: 0,
            client_waits: false,
            answers: BTreeSet::new(),
        }
    }

    fn sync(&mut self) {
        for record in std::mem::take(&mut self.unsynced) {
            self.durable_job.apply(record);
        }
        self.in_flight.extend(std::mem::take(&mut self.waiting_for_sync));
    }

    fn crash(&mut self, unsynced_survives: bool) {
        self.crashes += 1;
        let unsynced = std::mem::take(&mut self.unsynced);
        if unsynced_survives {
            unsynced.into_iter().for_each(|record| self.durable_job.apply(record));
        }
        self.scheduler_is_up = false;
        self.client_waits = false;
        self.job = Job::default();
        self.waiting_for_sync.clear();
        // Its connections break: what it was sending does not arrive, nor does the answer to its
        // client.
        self.in_flight.retain(|message| !matches!(message, Message::Offer { .. } | Message::Answer { .. }));
    }

    /// Whether a renewal for this worker is on its way.
    fn is_renewal_pending(&self, worker: u8) -> bool {
        let is_renewal =
            |message: &Message| matches!(message, Message::Renewal { worker: to, .. } if *to == worker);
        self.in_flight.iter().chain(&self.waiting_for_sync).any(is_renewal)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Submit,
    Lease(u8),
    Sync,
    LeaseEnds,
    Crash { unsynced_survives: bool },
    Restart,
    Deliver(Message),
    Heartbeat(u8),
    Finish(u8),
    Tick,
}

impl LeaseProtocol {
    fn has(&self, rule: Rule) -> bool {
        self.without != Some(rule)
    }

    fn log(&self, state: &mut State, record: Record) {
        state.job.apply(record);
        state.unsynced.push(record);
    }

    fn send(&self, state: &mut State, message: Message) {
        if self.has(Rule::OutputCommit) && !state.unsynced.is_empty() {
            state.waiting_for_sync.push(message);
        } else {
            state.in_flight.insert(message);
        }
    }

    fn may_lease(&self, state: &State) -> bool {
        let job = &state.job;
        let may_run_again =
            self.class == Class::Deduplicated || !job.may_have_run || !self.has(Rule::NoSecondRun);
        let is_open = job.accepted && job.lease.is_none() && job.finished_under.is_none();
        state.scheduler_is_up && is_open && may_run_again && job.last_token < MAX_ATTEMPTS
    }

    fn may_end_lease(&self, state: &State) -> bool {
        let bound = if self.has(Rule::ClockDriftBound) { CLOCK_DRIFT_BOUND } else { 0 };
        state.scheduler_is_up && state.job.lease.is_some_and(|lease| state.now > lease.expires_at + bound)
    }

    fn submit(&self, state: &mut State) {
        state.submissions += 1;
        if let Some(token) = state.job.finished_under {
            return self.send(state, Message::Answer { token });
        }
        state.client_waits = true;
        if !state.job.accepted {
            self.log(state, Record::Accepted);
        }
    }

    fn lease(&self, state: &mut State, worker: u8) {
        let token = state.job.last_token + 1;
        // The offer is accepted within a tick of this record, or not at all; so the worker's own
        // time begins by then.
        let lease = Lease { worker, token, expires_at: state.now + 1 + LEASE };
        self.log(state, Record::Leased { lease });
        self.send(state, Message::Offer { worker, token });
    }

    fn restart(&self, state: &mut State) {
        state.scheduler_is_up = true;
        state.job = state.durable_job;
        if !self.has(Rule::Recovery) {
            // As if an attempt that was in flight had never been.
            state.job.lease = None;
        }
    }

    fn tick(&self, state: &mut State) {
        // An offer that was not accepted within a tick is withdrawn by closing its connection.
        state.in_flight.retain(|message| !matches!(message, Message::Offer { .. }));
        if self.has(Rule::OfferExpiry) {
            state.waiting_for_sync.retain(|message| !matches!(message, Message::Offer { .. }));
        }
        state.now += 1;
        for lease in &mut state.worker_leases {
            lease.take_if(|lease| state.now > lease.expires_at);
        }
    }

    fn receive(&self, state: &mut State, message: Message) {
        match message {
            Message::Offer { worker, token } => receive_offer(state, worker, token),
            Message::Heartbeat { worker, token, sent_at } => {
                self.receive_heartbeat(state, worker, token, sent_at);
            }
            Message::Renewal { worker, token, expires_at } => {
                let lease = state.worker_leases[usize::from(worker)].as_mut();
                if let Some(lease) = lease.filter(|lease| lease.token == token) {
                    lease.expires_at = lease.expires_at.max(expires_at);
                }
            }
            Message::Result { worker, token } => self.receive_result(state, worker, token),
            Message::Answer { token } => drop(state.answers.insert(token)),
        }
    }

    fn receive_heartbeat(&self, state: &mut State, worker: u8, token: u8, sent_at: u8) {
        let is_current = state.job.is_leased_to(worker, token) && state.job.finished_under.is_none();
        if !state.scheduler_is_up || !is_current {
            return;
        }
        let record = Record::Renewed { token, expires_at: state.now + LEASE };
        let renewal = Message::Renewal { worker, token, expires_at: sent_at + LEASE + CLOCK_DRIFT_BOUND };
        if self.has(Rule::RenewalLogged) {
            self.log(state, record);
            self.send(state, renewal);
        } else {
            state.job.apply(record);
            state.in_flight.insert(renewal);
        }
    }

    fn receive_result(&self, state: &mut State, worker: u8, token: u8) {
        if !state.scheduler_is_up || state.job.finished_under.is_some() {
            return;
        }
        if !state.job.is_leased_to(worker, token) && self.has(Rule::Fencing) {
            return;
        }
        self.log(state, Record::Finished { token });
        if std::mem::take(&mut state.client_waits) {
            self.send(state, Message::Answer { token });
        }
    }
}

fn receive_offer(state: &mut State, worker: u8, token: u8) {
    let worker = usize::from(worker);
    // A worker that has had the job does not begin it again.
    if state.worker_leases[worker].is_none() && state.runs[worker] == 0 {
        // Its clock may run slow by the bound at the most.
        let expires_at = state.now + LEASE + CLOCK_DRIFT_BOUND;
        state.worker_leases[worker] = Some(WorkerLease { token, expires_at });
        state.runs[worker] += 1;
    }
}

impl Model for LeaseProtocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State::new()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.scheduler_is_up && state.submissions < MAX_SUBMISSIONS && !state.client_waits {
            actions.push(Action::Submit);
        }
        if self.may_lease(state) {
            actions.extend(WORKERS.map(Action::Lease));
        }
        if state.scheduler_is_up && !state.unsynced.is_empty() {
            actions.push(Action::Sync);
        }
        if self.may_end_lease(state) {
            actions.push(Action::LeaseEnds);
        }
        if state.scheduler_is_up && state.crashes < CRASHES {
            actions.push(Action::Crash { unsynced_survives: false });
            if !state.unsynced.is_empty() {
                actions.push(Action::Crash { unsynced_survives: true });
            }
        }
        if !state.scheduler_is_up {
            actions.push(Action::Restart);
        }
        // What is in flight stays there: it arrives at any time, again, or never.
        actions.extend(state.in_flight.iter().map(|message| Action::Deliver(*message)));
        for worker in WORKERS.into_iter().filter(|worker| state.worker_leases[usize::from(*worker)].is_some())
        {
            if !state.is_renewal_pending(worker) {
                actions.push(Action::Heartbeat(worker));
            }
            actions.push(Action::Finish(worker));
        }
        if state.now < TICKS {
            actions.push(Action::Tick);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Submit => self.submit(&mut state),
            Action::Lease(worker) => self.lease(&mut state, worker),
            Action::Sync => state.sync(),
            Action::LeaseEnds => self.log(&mut state, Record::Released),
            Action::Crash { unsynced_survives } => state.crash(unsynced_survives),
            Action::Restart => self.restart(&mut state),
            Action::Deliver(message) => {
                // On a connection of their own all messages but results arrive once.
                if !matches!(message, Message::Result { .. }) {
                    state.in_flight.remove(&message);
                }
                self.receive(&mut state, message);
            }
            Action::Heartbeat(worker) => {
                // A late heartbeat gives the worker less time and the scheduler more: at once is
                // the hardest.
                let token = state.worker_leases[usize::from(worker)]?.token;
                let sent_at = state.now;
                self.receive(&mut state, Message::Heartbeat { worker, token, sent_at });
            }
            Action::Finish(worker) => {
                let token = state.worker_leases[usize::from(worker)].take()?.token;
                state.in_flight.insert(Message::Result { worker, token });
            }
            Action::Tick => self.tick(&mut state),
        }
        (state != *last).then_some(state)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.unsynced.len() <= MAX_UNSYNCED
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_WORKER, |_, state: &State| {
                state.worker_leases.iter().flatten().count() <= 1
            }),
            Property::always(NO_SECOND_RUN, |protocol: &LeaseProtocol, state: &State| {
                protocol.class == Class::Deduplicated || state.runs.iter().sum::<u8>() <= 1
            }),
            Property::always(ONE_ANSWER, |_, state: &State| state.answers.len() <= 1),
            Property::always(ANSWER_DURABLE, |_, state: &State| {
                state.answers.iter().all(|token| state.durable_job.finished_under == Some(*token))
            }),
            Property::always(LAST_LEASE, |_, state: &State| {
                let job = &state.durable_job;
                job.finished_under.is_none_or(|token| token == job.last_token)
            }),
            Property::sometimes(ANSWERED_AFTER_CRASH, |_, state: &State| {
                state.crashes > 0 && !state.answers.is_empty()
            }),
            Property::sometimes(SECOND_WORKER, |protocol: &LeaseProtocol, state: &State| {
                protocol.class == Class::NonIdempotent || state.runs == [1, 1]
            }),
        ]
    }
}

/// What a search found.
struct SearchResult {
    states: usize,
    broken_invariants: Vec<&'static str>,
}

fn search(class: Class, without: Option<Rule>) -> SearchResult {
    let checker = LeaseProtocol { class, without }.checker().threads(1).spawn_bfs().join();
    if without.is_none() {
        for name in REACHABLE {
            assert!(checker.discovery(name).is_some(), "{class:?}: never {name}: the model is too small");
        }
    }
    let is_broken = |name: &&'static str| checker.discovery(name).is_some();
    let broken_invariants = INVARIANTS.into_iter().filter(is_broken).collect();
    SearchResult { states: checker.unique_state_count(), broken_invariants }
}

// Guards the protocol: within these sizes no order of events breaks an invariant.
#[test]
fn no_order_of_events_breaks_an_invariant() {
    for class in [Class::NonIdempotent, Class::Deduplicated] {
        let SearchResult { states, broken_invariants } = search(class, None);

        println!("{class:?}: {states} states");
        assert_eq!(broken_invariants, Vec::<&str>::new(), "{class:?}");
        assert!(states > 1_000, "{class:?}: {states} states");
    }
}

// Guards the model: with a rule taken out, the search finds the fault that the rule prevents.
#[test]
fn without_any_rule_an_invariant_breaks() {
    let cases = [
        (Rule::OutputCommit, Class::NonIdempotent, NO_SECOND_RUN),
        (Rule::ClockDriftBound, Class::Deduplicated, ONE_WORKER),
        (Rule::RenewalLogged, Class::Deduplicated, ONE_WORKER),
        (Rule::Fencing, Class::Deduplicated, LAST_LEASE),
        (Rule::NoSecondRun, Class::NonIdempotent, NO_SECOND_RUN),
        (Rule::Recovery, Class::NonIdempotent, NO_SECOND_RUN),
        (Rule::OfferExpiry, Class::Deduplicated, ONE_WORKER),
    ];
    for (rule, class, invariant) in cases {
        let SearchResult { states, broken_invariants } = search(class, Some(rule));

        println!("without {rule:?}: {states} states, {broken_invariants:?}");
        assert!(broken_invariants.contains(&invariant), "{rule:?}: {broken_invariants:?} in {states} states");
    }
}
