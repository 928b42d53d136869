//! A model of the lease protocol, checked exhaustively for small sizes.
//!
//! One scheduler writes a log; two workers run one job; a client submits it twice. The scheduler
//! crashes, and its unsynced records survive or are lost; messages are lost, duplicated and
//! delayed; the workers' clocks run slow by up to the bound. Each rule of the protocol can be
//! disabled; the check must then find the fault that the rule prevents.
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// The duration of a lease, ticks.
const LEASE_TICKS: u8 = 1;
/// The bound on the drift of clocks within a lease, ticks.
const CLOCK_DRIFT_TICKS: u8 = 1;
/// The time at which an execution of the model ends, ticks.
const MAX_TICKS: u8 = 4;
/// The maximum number of crashes of the scheduler.
const MAX_CRASHES: u8 = 1;
/// The maximum number of unsynced records at a time.
const MAX_UNSYNCED: usize = 4;
/// The maximum number of submissions of the client.
const MAX_SUBMISSIONS: u8 = 2;
/// The maximum number of attempts of the job.
const MAX_ATTEMPTS: u8 = 2;
const WORKERS: [u8; 2] = [0, 1];

const ONE_LEASE_HOLDER: &str = "at most one worker has a valid lease";
const AT_MOST_ONE_RUN: &str = "a non-idempotent job runs at most once";
const SAME_ANSWER: &str = "all submissions get the same answer";
const ANSWER_DURABLE: &str = "the result of an answer is durable";
const RESULT_OF_LAST_LEASE: &str = "the durable result is that of the last lease";
const INVARIANTS: [&str; 5] =
    [ONE_LEASE_HOLDER, AT_MOST_ONE_RUN, SAME_ANSWER, ANSWER_DURABLE, RESULT_OF_LAST_LEASE];
const ANSWERED_AFTER_CRASH: &str = "the client is answered after a crash";
const SECOND_WORKER: &str = "a lease expires and the job continues on another worker";
const EXPECTED_REACHABLE: [&str; 2] = [ANSWERED_AFTER_CRASH, SECOND_WORKER];

/// A rule of the protocol that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// A message is sent only when all records before it are durable.
    OutputCommit,
    /// The scheduler lets a lease expire later than its worker does, by the bound on clock drift.
    ClockDriftMargin,
    /// A renewal is logged before it is sent.
    RenewalLogged,
    /// A result is accepted only under the current lease.
    Fencing,
    /// A non-idempotent job that may have run is not leased again.
    NoSecondRun,
    /// After a crash, the scheduler keeps the logged lease of an attempt that may be in flight.
    LeaseRecovery,
    /// An offer that has waited for a sync for a tick is not sent any more.
    OfferExpiry,
}

/// The job's class: it must not run twice, or both workers drop a duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    NonIdempotent,
    Deduplicated,
}

struct LeaseProtocol {
    class: Class,
    disabled: Option<Rule>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Record {
    Accepted,
    Leased { lease: Lease },
    Renewed { token: u8, expires_at: u8 },
    Released,
    Finished { token: u8 },
}

/// A message between the client, the scheduler and the workers. An offer dispatches the job to a
/// worker under a new lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Offer { worker: u8, token: u8 },
    Heartbeat { worker: u8, token: u8, sent_at: u8 },
    Renewal { worker: u8, token: u8, expires_at: u8 },
    Result { worker: u8, token: u8 },
    Answer { token: u8 },
}

/// A lease as the scheduler knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Lease {
    worker: u8,
    token: u8,
    expires_at: u8,
}

/// The state of the job after a prefix of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Job {
    accepted: bool,
    lease: Option<Lease>,
    last_token: u8,
    may_have_run: bool,
    /// The token under which the accepted result was produced.
    result_token: Option<u8>,
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
                self.result_token = Some(token);
            }
        }
    }

    fn is_leased_to(&self, worker: u8, token: u8) -> bool {
        self.lease.is_some_and(|lease| (lease.worker, lease.token) == (worker, token))
    }
}

/// A lease as its worker knows it; `expires_at` includes the delay of the worker's slow clock.
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
    /// The job in the scheduler's memory.
    job: Job,
    /// The job by the records on disk.
    durable_job: Job,
    unsynced: Vec<Record>,
    /// Messages that are sent when all records before them are durable.
    waiting_for_sync: Vec<Message>,
    in_flight: BTreeSet<Message>,
    worker_leases: [Option<WorkerLease>; 2],
    /// How often each worker has started the job.
    runs: [u8; 2],
    submissions: u8,
    client_waits: bool,
    /// The result tokens of the answers that the client received.
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
        // The scheduler's connections break: offers and answers in flight are lost.
        self.in_flight.retain(|message| !matches!(message, Message::Offer { .. } | Message::Answer { .. }));
    }

    /// Whether a renewal for this worker is in flight or waits for a sync.
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
    ReleaseLease,
    Crash { unsynced_survives: bool },
    Restart,
    Deliver(Message),
    Heartbeat(u8),
    Finish(u8),
    Tick,
}

impl LeaseProtocol {
    fn is_enabled(&self, rule: Rule) -> bool {
        self.disabled != Some(rule)
    }

    fn log(&self, state: &mut State, record: Record) {
        state.job.apply(record);
        state.unsynced.push(record);
    }

    fn send(&self, state: &mut State, message: Message) {
        if self.is_enabled(Rule::OutputCommit) && !state.unsynced.is_empty() {
            state.waiting_for_sync.push(message);
        } else {
            state.in_flight.insert(message);
        }
    }

    fn may_lease(&self, state: &State) -> bool {
        let job = &state.job;
        let may_run_again =
            self.class == Class::Deduplicated || !job.may_have_run || !self.is_enabled(Rule::NoSecondRun);
        let is_open = job.accepted && job.lease.is_none() && job.result_token.is_none();
        state.scheduler_is_up && is_open && may_run_again && job.last_token < MAX_ATTEMPTS
    }

    fn may_release_lease(&self, state: &State) -> bool {
        let margin = if self.is_enabled(Rule::ClockDriftMargin) { CLOCK_DRIFT_TICKS } else { 0 };
        state.scheduler_is_up && state.job.lease.is_some_and(|lease| state.now > lease.expires_at + margin)
    }

    fn submit(&self, state: &mut State) {
        state.submissions += 1;
        if let Some(token) = state.job.result_token {
            return self.send(state, Message::Answer { token });
        }
        state.client_waits = true;
        if !state.job.accepted {
            self.log(state, Record::Accepted);
        }
    }

    fn lease(&self, state: &mut State, worker: u8) {
        let token = state.job.last_token + 1;
        // A worker accepts the offer within a tick of this record or never, so its lease begins by
        // then.
        let lease = Lease { worker, token, expires_at: state.now + 1 + LEASE_TICKS };
        self.log(state, Record::Leased { lease });
        self.send(state, Message::Offer { worker, token });
    }

    fn restart(&self, state: &mut State) {
        state.scheduler_is_up = true;
        state.job = state.durable_job;
        if !self.is_enabled(Rule::LeaseRecovery) {
            // Forgets an attempt that was in flight at the crash.
            state.job.lease = None;
        }
    }

    fn tick(&self, state: &mut State) {
        // The scheduler withdraws an offer that was not accepted within a tick by closing its
        // connection.
        state.in_flight.retain(|message| !matches!(message, Message::Offer { .. }));
        if self.is_enabled(Rule::OfferExpiry) {
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
        let is_current = state.job.is_leased_to(worker, token) && state.job.result_token.is_none();
        if !state.scheduler_is_up || !is_current {
            return;
        }
        let record = Record::Renewed { token, expires_at: state.now + LEASE_TICKS };
        let renewal =
            Message::Renewal { worker, token, expires_at: sent_at + LEASE_TICKS + CLOCK_DRIFT_TICKS };
        if self.is_enabled(Rule::RenewalLogged) {
            self.log(state, record);
            self.send(state, renewal);
        } else {
            state.job.apply(record);
            state.in_flight.insert(renewal);
        }
    }

    fn receive_result(&self, state: &mut State, worker: u8, token: u8) {
        if !state.scheduler_is_up || state.job.result_token.is_some() {
            return;
        }
        if !state.job.is_leased_to(worker, token) && self.is_enabled(Rule::Fencing) {
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
    // A worker does not start the same job twice.
    if state.worker_leases[worker].is_none() && state.runs[worker] == 0 {
        // The worst case: the worker's clock runs slow by the whole bound.
        let expires_at = state.now + LEASE_TICKS + CLOCK_DRIFT_TICKS;
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
        if self.may_release_lease(state) {
            actions.push(Action::ReleaseLease);
        }
        if state.scheduler_is_up && state.crashes < MAX_CRASHES {
            actions.push(Action::Crash { unsynced_survives: false });
            if !state.unsynced.is_empty() {
                actions.push(Action::Crash { unsynced_survives: true });
            }
        }
        if !state.scheduler_is_up {
            actions.push(Action::Restart);
        }
        // A message in flight arrives at any time or never, and a result also several times.
        actions.extend(state.in_flight.iter().map(|message| Action::Deliver(*message)));
        for worker in WORKERS.into_iter().filter(|worker| state.worker_leases[usize::from(*worker)].is_some())
        {
            if !state.is_renewal_pending(worker) {
                actions.push(Action::Heartbeat(worker));
            }
            actions.push(Action::Finish(worker));
        }
        if state.now < MAX_TICKS {
            actions.push(Action::Tick);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Submit => self.submit(&mut state),
            Action::Lease(worker) => self.lease(&mut state, worker),
            Action::Sync => state.sync(),
            Action::ReleaseLease => self.log(&mut state, Record::Released),
            Action::Crash { unsynced_survives } => state.crash(unsynced_survives),
            Action::Restart => self.restart(&mut state),
            Action::Deliver(message) => {
                // All messages but results have a connection of their own, so they arrive once.
                if !matches!(message, Message::Result { .. }) {
                    state.in_flight.remove(&message);
                }
                self.receive(&mut state, message);
            }
            Action::Heartbeat(worker) => {
                // Delivered at once: a delayed heartbeat would make the worker's lease end earlier,
                // and the scheduler's later, and so hide faults.
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
            Property::always(ONE_LEASE_HOLDER, |_, state: &State| {
                state.worker_leases.iter().flatten().count() <= 1
            }),
            Property::always(AT_MOST_ONE_RUN, |protocol: &LeaseProtocol, state: &State| {
                protocol.class == Class::Deduplicated || state.runs.iter().sum::<u8>() <= 1
            }),
            Property::always(SAME_ANSWER, |_, state: &State| state.answers.len() <= 1),
            Property::always(ANSWER_DURABLE, |_, state: &State| {
                state.answers.iter().all(|token| state.durable_job.result_token == Some(*token))
            }),
            Property::always(RESULT_OF_LAST_LEASE, |_, state: &State| {
                let job = &state.durable_job;
                job.result_token.is_none_or(|token| token == job.last_token)
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

/// The result of an exhaustive check.
struct CheckResult {
    states: usize,
    broken_invariants: Vec<&'static str>,
}

fn check(class: Class, disabled: Option<Rule>) -> CheckResult {
    let checker = LeaseProtocol { class, disabled }.checker().threads(1).spawn_bfs().join();
    if disabled.is_none() {
        for name in EXPECTED_REACHABLE {
            assert!(
                checker.discovery(name).is_some(),
                "{class:?}: no state of the model satisfies \"{name}\""
            );
        }
    }
    let is_broken = |name: &&'static str| checker.discovery(name).is_some();
    let broken_invariants = INVARIANTS.into_iter().filter(is_broken).collect();
    CheckResult { states: checker.unique_state_count(), broken_invariants }
}

// Guards the protocol: within the sizes of the model no order of events breaks an invariant.
#[test]
fn no_order_of_events_breaks_an_invariant() {
    for class in [Class::NonIdempotent, Class::Deduplicated] {
        let CheckResult { states, broken_invariants } = check(class, None);

        println!("{class:?}: {states} states");
        assert_eq!(broken_invariants, Vec::<&str>::new(), "{class:?}");
        assert!(states > 1_000, "{class:?}: {states} states; expected more than 1,000");
    }
}

// Guards the model: with a rule disabled, the check finds the fault that the rule prevents.
#[test]
fn disabling_a_rule_breaks_the_invariant_that_it_protects() {
    let cases = [
        (Rule::OutputCommit, Class::NonIdempotent, AT_MOST_ONE_RUN),
        (Rule::ClockDriftMargin, Class::Deduplicated, ONE_LEASE_HOLDER),
        (Rule::RenewalLogged, Class::Deduplicated, ONE_LEASE_HOLDER),
        (Rule::Fencing, Class::Deduplicated, RESULT_OF_LAST_LEASE),
        (Rule::NoSecondRun, Class::NonIdempotent, AT_MOST_ONE_RUN),
        (Rule::LeaseRecovery, Class::NonIdempotent, AT_MOST_ONE_RUN),
        (Rule::OfferExpiry, Class::Deduplicated, ONE_LEASE_HOLDER),
    ];
    for (rule, class, invariant) in cases {
        let CheckResult { states, broken_invariants } = check(class, Some(rule));

        println!("without {rule:?}: {states} states, {broken_invariants:?}");
        assert!(
            broken_invariants.contains(&invariant),
            "without {rule:?}: expected \"{invariant}\" to break, found {broken_invariants:?} in {states} states"
        );
    }
}
