//! The leases, searched completely for small sizes by the crate's own state machine: three
//! schedulers that grant and request, messages lost, doubled and late, a clock that runs slow by
//! the bound, restarts without memory, a change of the set, and a suspension between the check of a
//! lease and the act. Each rule can be taken out; then the search must find the fault that the rule
//! prevents.
use spanlead_singleton_roles::{
    Action as RoleAction, ClockReading, MessageBody, Millis, QuorumConfig, RoleConfig, RoleIndex,
    RoleManager, RoleMessage, SchedulerNumber, Term, decode,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SCHEDULERS: u16 = 3;
/// Two schedulers request; the third only grants. That is all that a majority needs to go wrong.
const CANDIDATES: u16 = 2;
const LEASE: Millis = 1;
const CLOCK_DRIFT_BOUND: Millis = 1;
/// When all have been up for long enough to grant.
const START: Millis = LEASE + CLOCK_DRIFT_BOUND;
/// A search that finds more states is not complete.
const MAX_STATES: usize = 4_000_000;
const ROLE_NAME: &str = "duty";
const ROLE: RoleIndex = RoleIndex(0);

const ONE_HOLDER: &str = "one lease holder";
const NO_LATE_ACT: &str = "no act under an older term";
const HANDED_OVER: &str = "the role is held and handed over";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// A scheduler that restarts grants nothing until the grants that it has forgotten have
    /// expired.
    QuietAfterRestart,
    /// A grant outlasts the lease by the bound on clocks.
    ClockDriftBound,
    /// A majority of the configured schedulers grants, not of those that can be reached.
    ConfiguredMajority,
    /// What is acted on rejects an older term.
    Fencing,
    /// A set is changed by way of majorities of both sets.
    JointQuorum,
}

/// The configurations before a change, and after each scheduler has been restarted once.
#[derive(Clone, Copy, Debug)]
struct QuorumChange {
    before: QuorumConfig,
    after: QuorumConfig,
}

const ONE: QuorumConfig = QuorumConfig { schedulers: 1, joint_schedulers: 0 };
const JOINT: QuorumConfig = QuorumConfig { schedulers: SCHEDULERS, joint_schedulers: 1 };
const ALL: QuorumConfig = QuorumConfig { schedulers: SCHEDULERS, joint_schedulers: 0 };

/// What is searched.
#[derive(Clone, Copy)]
struct Size {
    /// Ticks of real time.
    ticks: u8,
    restarts: u8,
    /// How often a clock does not notice a tick.
    slow_ticks: u8,
    /// The most requests of each scheduler.
    requests: u32,
    /// Lease holders release the role.
    releases: bool,
    quorum_change: Option<QuorumChange>,
}

const SMALL: Size =
    Size { ticks: 3, restarts: 0, slow_ticks: 0, requests: 1, releases: false, quorum_change: None };

struct LeaseModel {
    without: Option<Rule>,
    size: Size,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u8,
    clocks: Vec<Millis>,
    schedulers: Vec<RoleManager>,
    /// The configuration that each scheduler runs with; `None` where it does not run.
    quorums: Vec<Option<QuorumConfig>>,
    requests: Vec<u32>,
    restarts: u8,
    slow_ticks: u8,
    /// Messages that may arrive at any time and any number of times, or never.
    in_flight: BTreeSet<SentMessage>,
    /// Terms that were checked, under which the act is still to come.
    pending_acts: Vec<Option<Term>>,
    /// The highest term that the resource has accepted.
    accepted_term: Term,
    /// The resource has accepted an older term after a newer one.
    accepted_older_term: bool,
}

/// A message with a model's copy of its body, which can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SentMessage {
    from: SchedulerNumber,
    to: SchedulerNumber,
    quorum: QuorumConfig,
    body: ModelBody,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ModelBody {
    Request { request: u32, term: Term },
    Grant { request: u32, term: Term },
    Cancel { term: Term },
    Release { term: Term },
}

impl ModelBody {
    /// `None` for a rejection: it only makes its receiver wait, or request a higher term, as if it
    /// were lost.
    fn of(body: MessageBody) -> Option<Self> {
        match body {
            MessageBody::Request { request, term } => Some(ModelBody::Request { request, term }),
            MessageBody::Grant { request, term } => Some(ModelBody::Grant { request, term }),
            MessageBody::Reject { .. } => None,
            MessageBody::Cancel { term } => Some(ModelBody::Cancel { term }),
            MessageBody::Release { term } => Some(ModelBody::Release { term }),
        }
    }

    fn to_message_body(self) -> MessageBody {
        match self {
            ModelBody::Request { request, term } => MessageBody::Request { request, term },
            ModelBody::Grant { request, term } => MessageBody::Grant { request, term },
            ModelBody::Cancel { term } => MessageBody::Cancel { term },
            ModelBody::Release { term } => MessageBody::Release { term },
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A tick of real time passes; the clock of this scheduler may not notice.
    Pass {
        slow: Option<SchedulerNumber>,
    },
    /// A scheduler requests the role, if it is its turn.
    Tick(SchedulerNumber),
    Deliver(SentMessage),
    Restart(SchedulerNumber),
    /// A scheduler starts, again or for the first time, with the configuration after the change; or
    /// ends, if it is not in that.
    ChangeQuorum(SchedulerNumber),
    Release(SchedulerNumber),
    Check(SchedulerNumber),
    Act(SchedulerNumber),
}

impl State {
    fn clock(&self, number: SchedulerNumber) -> ClockReading {
        ClockReading { monotonic: self.clocks[usize::from(number)], wall: 1 }
    }

    fn is_running(&self, number: SchedulerNumber) -> bool {
        self.quorums[usize::from(number)].is_some()
    }

    fn term_of(&self, number: SchedulerNumber) -> Option<Term> {
        let index = usize::from(number);
        self.schedulers[index].held_term(self.clocks[index], ROLE)
    }

    /// Whether a scheduler has a lease, expired or not.
    fn has_lease(&self, index: usize) -> bool {
        self.schedulers[index].roles().any(|(role, _)| role.is_held())
    }

    fn send(&mut self, from: SchedulerNumber, actions: Vec<RoleAction>) {
        let quorum = self.quorums[usize::from(from)].unwrap_or(ALL);
        for action in actions {
            if let RoleAction::Send { to, payload } = action {
                let messages = decode(&payload).expect("the payload of a scheduler");
                let bodies = messages.into_iter().filter_map(|message| ModelBody::of(message.body));
                self.in_flight.extend(bodies.map(|body| SentMessage { from, to, quorum, body }));
            }
        }
    }

    fn pass(&mut self, slow: Option<SchedulerNumber>) {
        self.ticks += 1;
        self.slow_ticks += u8::from(slow.is_some());
        for (number, clock) in (0..).zip(&mut self.clocks) {
            *clock += Millis::from(slow != Some(number));
        }
    }

    /// A scheduler requests the role; `false` if it is not its turn.
    fn tick(&mut self, number: SchedulerNumber) -> bool {
        let (clock, mut actions) = (self.clock(number), Vec::new());
        let scheduler = &mut self.schedulers[usize::from(number)];
        let before = scheduler.clone();
        // It believes that the role is its to hold: whom it takes for alive decides nothing of
        // safety.
        scheduler.tick(clock, |_| false, &mut actions);
        if *scheduler == before {
            return false;
        }
        self.requests[usize::from(number)] += 1;
        self.send(number, actions);
        true
    }

    fn deliver(&mut self, message: SentMessage) {
        let SentMessage { from, to, quorum, body } = message;
        let (clock, mut actions) = (self.clock(to), Vec::new());
        let message = RoleMessage { role_hash: role_hash(), quorum, body: body.to_message_body() };
        self.schedulers[usize::from(to)].receive(clock, from, &[message], |_| true, &mut actions);
        self.send(to, actions);
    }

    fn release(&mut self, number: SchedulerNumber) {
        let (now, mut actions) = (self.clocks[usize::from(number)], Vec::new());
        self.schedulers[usize::from(number)].release(now, ROLE, &mut actions);
        self.send(number, actions);
    }

    /// The act under a term that was checked before arrives at the resource.
    fn act(&mut self, term: Term, is_fenced: bool) {
        let is_older = term < self.accepted_term;
        if is_older && is_fenced {
            return;
        }
        self.accepted_older_term |= is_older;
        self.accepted_term = self.accepted_term.max(term);
    }
}

fn role_hash() -> u32 {
    xxhash_rust::xxh3::xxh3_64(ROLE_NAME.as_bytes()) as u32
}

impl LeaseModel {
    fn has(&self, rule: Rule) -> bool {
        self.without != Some(rule)
    }

    /// A scheduler that starts now; `forgets` if an earlier process of it may have granted.
    fn new_scheduler(
        &self,
        number: SchedulerNumber,
        quorum: QuorumConfig,
        now: Millis,
        forgets: bool,
    ) -> RoleManager {
        // Without the rule each scheduler sees only itself.
        let sees_all = self.has(Rule::ConfiguredMajority);
        let config = RoleConfig {
            own_number: if sees_all { number } else { 0 },
            quorum: if sees_all { quorum } else { QuorumConfig::of(1) },
            lease_duration: LEASE,
            clock_drift_bound: if self.has(Rule::ClockDriftBound) { CLOCK_DRIFT_BOUND } else { 0 },
            reply_timeout: 1,
            seed: 1,
        };
        // A scheduler that believes to have started long ago is not quiet.
        let is_quiet = forgets && self.has(Rule::QuietAfterRestart);
        let started_at = if is_quiet { now } else { now.saturating_sub(START) };
        RoleManager::new(config, &[ROLE_NAME.to_owned()], started_at)
    }

    fn first_quorum(&self) -> QuorumConfig {
        self.size.quorum_change.map_or(ALL, |change| change.before)
    }

    fn restart(&self, state: &mut State, number: SchedulerNumber, quorum: QuorumConfig) {
        let index = usize::from(number);
        state.schedulers[index] = self.new_scheduler(number, quorum, state.clocks[index], true);
        // What it was about to send is not sent any more.
        state.pending_acts[index] = None;
    }

    fn may_change_quorum(&self, state: &State, number: SchedulerNumber) -> bool {
        let Some(QuorumChange { before, after }) = self.size.quorum_change else { return false };
        let present = state.quorums[usize::from(number)];
        let is_changed = present == (number < after.schedulers).then_some(after);
        !is_changed && present == (number < before.schedulers).then_some(before)
    }

    /// The actions of a scheduler that runs.
    fn scheduler_actions(&self, state: &State, number: SchedulerNumber, actions: &mut Vec<Action>) {
        let index = usize::from(number);
        if number < CANDIDATES && state.requests[index] < self.size.requests {
            actions.push(Action::Tick(number));
        }
        // The scheduler that grants to both candidates is the one that matters.
        if number == CANDIDATES && state.restarts < self.size.restarts {
            actions.push(Action::Restart(number));
        }
        if let Some(term) = state.term_of(number) {
            if state.pending_acts[index] != Some(term) {
                actions.push(Action::Check(number));
            }
            if self.size.releases {
                actions.push(Action::Release(number));
            }
        }
        if state.pending_acts[index].is_some() {
            actions.push(Action::Act(number));
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let quorum = self.first_quorum();
        let schedulers = (0..SCHEDULERS).map(|number| self.new_scheduler(number, quorum, START, false));
        let quorums = (0..SCHEDULERS).map(|number| (number < quorum.schedulers).then_some(quorum));
        vec![State {
            ticks: 0,
            clocks: vec![START; SCHEDULERS.into()],
            schedulers: schedulers.collect(),
            quorums: quorums.collect(),
            requests: vec![0; SCHEDULERS.into()],
            restarts: 0,
            slow_ticks: 0,
            in_flight: BTreeSet::new(),
            pending_acts: vec![None; SCHEDULERS.into()],
            accepted_term: 0,
            accepted_older_term: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.ticks < self.size.ticks {
            actions.push(Action::Pass { slow: None });
            if state.slow_ticks < self.size.slow_ticks {
                actions.extend((0..CANDIDATES).map(|number| Action::Pass { slow: Some(number) }));
            }
        }
        for number in 0..SCHEDULERS {
            if self.may_change_quorum(state, number) {
                actions.push(Action::ChangeQuorum(number));
            }
            if state.is_running(number) {
                self.scheduler_actions(state, number, actions);
            }
        }
        let deliverable = state.in_flight.iter().filter(|message| state.is_running(message.to));
        actions.extend(deliverable.map(|message| Action::Deliver(*message)));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Pass { slow } => state.pass(slow),
            Action::Tick(number) => {
                if !state.tick(number) {
                    return None;
                }
            }
            Action::Deliver(message) => {
                state.deliver(message);
                // The message may arrive again; a message that changes nothing is no step.
                if state == *last {
                    return None;
                }
            }
            Action::Restart(number) => {
                state.restarts += 1;
                self.restart(&mut state, number, ALL);
            }
            Action::ChangeQuorum(number) => {
                let after = self.size.quorum_change?.after;
                state.quorums[usize::from(number)] = (number < after.schedulers).then_some(after);
                self.restart(&mut state, number, after);
            }
            Action::Release(number) => state.release(number),
            Action::Check(number) => state.pending_acts[usize::from(number)] = state.term_of(number),
            Action::Act(number) => {
                let term = state.pending_acts[usize::from(number)].take()?;
                state.act(term, self.has(Rule::Fencing));
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_HOLDER, |_: &LeaseModel, state: &State| {
                let holds =
                    |number: &SchedulerNumber| state.is_running(*number) && state.term_of(*number).is_some();
                (0..SCHEDULERS).filter(holds).count() <= 1
            }),
            Property::always(NO_LATE_ACT, |_, state: &State| !state.accepted_older_term),
            // That a scheduler can hold the role at all, and after another: else the rest shows
            // nothing.
            Property::sometimes(HANDED_OVER, |model: &LeaseModel, state: &State| {
                let mut indices = 0..state.schedulers.len();
                match model.size.quorum_change {
                    None => state.accepted_term > 1 && indices.any(|index| state.has_lease(index)),
                    // Each forgets the terms that it knew: that a scheduler holds the role after
                    // the change shows as much.
                    Some(QuorumChange { after, .. }) => {
                        indices.any(|index| state.quorums[index] == Some(after) && state.has_lease(index))
                    }
                }
            }),
        ]
    }
}

/// Searches all states of a size; returns the invariants that break.
fn broken_invariants(without: Option<Rule>, size: Size) -> Vec<&'static str> {
    let model = LeaseModel { without, size };
    let checker = model.checker().threads(2).target_state_count(MAX_STATES).spawn_bfs().join();
    println!("without {without:?}: {} states", checker.unique_state_count());
    if without.is_none() {
        assert!(checker.unique_state_count() < MAX_STATES, "the search is not complete");
        assert!(checker.discoveries().contains_key(HANDED_OVER), "nothing was searched");
    }
    checker.discoveries().into_keys().filter(|name| *name != HANDED_OVER).collect()
}

#[test]
fn no_invariant_breaks_through_a_restart() {
    assert!(broken_invariants(None, Size { restarts: 1, ..SMALL }).is_empty());
}

#[test]
fn no_invariant_breaks_under_a_slow_clock() {
    assert!(broken_invariants(None, Size { slow_ticks: 1, ..SMALL }).is_empty());
}

#[test]
fn no_invariant_breaks_where_lease_holders_release() {
    assert!(broken_invariants(None, Size { releases: true, ticks: 2, ..SMALL }).is_empty());
}

#[test]
fn without_quiet_after_a_restart_two_hold_the_role() {
    let broken = broken_invariants(Some(Rule::QuietAfterRestart), Size { restarts: 1, ..SMALL });

    assert_eq!(broken, [ONE_HOLDER]);
}

#[test]
fn without_the_clock_drift_bound_two_hold_the_role() {
    let broken = broken_invariants(Some(Rule::ClockDriftBound), Size { slow_ticks: 1, ..SMALL });

    assert_eq!(broken, [ONE_HOLDER]);
}

#[test]
fn without_a_majority_of_the_configured_two_hold_the_role() {
    assert!(broken_invariants(Some(Rule::ConfiguredMajority), SMALL).contains(&ONE_HOLDER));
}

#[test]
fn without_fencing_an_act_under_an_older_term_is_accepted() {
    assert_eq!(broken_invariants(Some(Rule::Fencing), SMALL), [NO_LATE_ACT]);
}

// From one scheduler to three, by way of both sets: each is restarted once a step, in any order and
// at any time.
#[test]
fn one_holds_the_role_while_the_set_grows() {
    for (before, after) in [(ONE, JOINT), (JOINT, ALL)] {
        let quorum_change = Some(QuorumChange { before, after });

        let broken = broken_invariants(None, Size { quorum_change, ..SMALL });

        assert!(broken.is_empty(), "{quorum_change:?}: {broken:?}");
    }
}

#[test]
fn one_holds_the_role_while_the_set_shrinks() {
    for (before, after) in [(ALL, JOINT), (JOINT, ONE)] {
        let quorum_change = Some(QuorumChange { before, after });

        let broken = broken_invariants(None, Size { quorum_change, ..SMALL });

        assert!(broken.is_empty(), "{quorum_change:?}: {broken:?}");
    }
}

#[test]
fn without_the_joint_quorum_two_hold_the_role() {
    for (before, after) in [(ONE, ALL), (ALL, ONE)] {
        let quorum_change = Some(QuorumChange { before, after });

        let broken = broken_invariants(Some(Rule::JointQuorum), Size { quorum_change, ..SMALL });

        assert!(broken.contains(&ONE_HOLDER), "{quorum_change:?}: {broken:?}");
    }
}
