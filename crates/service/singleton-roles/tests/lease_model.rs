//! Exhaustive model checking of the lease protocol within small bounds, with the crate's own state
//! machine: three schedulers that grant and request, lost, duplicated and delayed messages, a clock
//! that runs slow by the drift bound, restarts without state, a change of the configured set, and a
//! suspension between the check of a lease and the act. Each rule of the protocol can be disabled;
//! the search must then find the violation that the rule prevents.
use spanlead_singleton_roles::{
    Action as RoleAction, ClockReading, MessageBody, Millis, QuorumConfig, RoleConfig, RoleIndex,
    RoleManager, RoleMessage, SchedulerNumber, Term, decode,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SCHEDULERS: u16 = 3;
/// The schedulers that request the role. The third one only grants: these are enough for two
/// conflicting majorities.
const CANDIDATES: u16 = 2;
const LEASE: Millis = 1;
const CLOCK_DRIFT_BOUND: Millis = 1;
/// The time after its start for which a scheduler grants nothing. The clocks begin at this time, so
/// that the first schedulers, which started at 0, may grant.
const STARTUP_WAIT: Millis = LEASE + CLOCK_DRIFT_BOUND;
/// The maximum number of states: a search that reaches it is incomplete.
const MAX_STATES: usize = 4_000_000;
const ROLE_NAME: &str = "duty";
const ROLE: RoleIndex = RoleIndex(0);

const ONE_HOLDER: &str = "one lease holder";
const NO_STALE_ACT: &str = "no act under an older term";
const HANDED_OVER: &str = "the role is held and handed over";

/// A rule of the protocol that the search can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// A restarted scheduler grants nothing until the grants of its earlier process have expired.
    StartupWait,
    /// A grant outlasts the lease by the clock drift bound.
    ClockDriftBound,
    /// A lease takes a majority of the configured schedulers, not of the reachable ones.
    ConfiguredMajority,
    /// The resource rejects an act under an older term.
    Fencing,
    /// During a change of the set a lease takes a majority of both sets.
    JointQuorum,
}

/// The configurations before and after a change. Each scheduler changes its configuration by one
/// restart.
#[derive(Clone, Copy, Debug)]
struct QuorumChange {
    before: QuorumConfig,
    after: QuorumConfig,
}

const ONE: QuorumConfig = QuorumConfig { schedulers: 1, joint_schedulers: 0 };
const JOINT: QuorumConfig = QuorumConfig { schedulers: SCHEDULERS, joint_schedulers: 1 };
const ALL: QuorumConfig = QuorumConfig { schedulers: SCHEDULERS, joint_schedulers: 0 };

/// The bounds of the search.
#[derive(Clone, Copy)]
struct SearchBounds {
    /// Ticks of real time.
    ticks: u8,
    restarts: u8,
    /// The maximum number of ticks that a clock misses.
    slow_ticks: u8,
    /// The maximum number of requests of each scheduler.
    requests: u32,
    /// Whether lease holders release the role.
    releases: bool,
    quorum_change: Option<QuorumChange>,
}

const BASE_BOUNDS: SearchBounds =
    SearchBounds { ticks: 3, restarts: 0, slow_ticks: 0, requests: 1, releases: false, quorum_change: None };

struct LeaseModel {
    disabled_rule: Option<Rule>,
    bounds: SearchBounds,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u8,
    clocks: Vec<Millis>,
    schedulers: Vec<RoleManager>,
    /// The configuration of each scheduler; `None` if it is not running.
    quorums: Vec<Option<QuorumConfig>>,
    requests: Vec<u32>,
    restarts: u8,
    slow_ticks: u8,
    /// The messages sent so far. Each may be delivered at any time, any number of times, or never.
    in_flight: BTreeSet<SentMessage>,
    /// The term that each scheduler has checked and not yet acted under.
    pending_acts: Vec<Option<Term>>,
    /// The highest term that the resource has accepted.
    accepted_term: Term,
    /// Whether the resource has accepted an older term after a newer one.
    accepted_older_term: bool,
}

/// A message in flight, with a body that implements `Ord`.
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
    /// Converts a message body. Returns `None` for a rejection, which the model treats as lost: it
    /// only makes its receiver wait or request a higher term.
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
    /// One tick of real time passes. The clock of the scheduler `slow`, if any, misses the tick.
    AdvanceClocks {
        slow: Option<SchedulerNumber>,
    },
    /// A scheduler ticks and requests the role, if it may request it now.
    Tick(SchedulerNumber),
    Deliver(SentMessage),
    Restart(SchedulerNumber),
    /// A scheduler starts or restarts with the configuration after the change, or stops if it is
    /// not in that configuration.
    ChangeQuorum(SchedulerNumber),
    Release(SchedulerNumber),
    /// A scheduler reads the term of its lease in order to act under it.
    CheckLease(SchedulerNumber),
    /// The act under the term that the scheduler has read reaches the resource.
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

    /// Whether a scheduler has a lease, including one that has expired but has not been removed.
    fn has_lease(&self, index: usize) -> bool {
        self.schedulers[index].roles().any(|(role, _)| role.is_held())
    }

    fn send(&mut self, from: SchedulerNumber, actions: Vec<RoleAction>) {
        let quorum = self.quorums[usize::from(from)].unwrap_or(ALL);
        for action in actions {
            if let RoleAction::Send { to, payload } = action {
                let messages = decode(&payload).expect("decoding a payload that a scheduler encoded");
                let bodies = messages.into_iter().filter_map(|message| ModelBody::of(message.body));
                self.in_flight.extend(bodies.map(|body| SentMessage { from, to, quorum, body }));
            }
        }
    }

    fn advance_clocks(&mut self, slow: Option<SchedulerNumber>) {
        self.ticks += 1;
        self.slow_ticks += u8::from(slow.is_some());
        for (number, clock) in (0..).zip(&mut self.clocks) {
            *clock += Millis::from(slow != Some(number));
        }
    }

    /// Ticks a scheduler, which may request the role. Returns `false` if this changes nothing.
    fn tick(&mut self, number: SchedulerNumber) -> bool {
        let (clock, mut actions) = (self.clock(number), Vec::new());
        let scheduler = &mut self.schedulers[usize::from(number)];
        let before = scheduler.clone();
        // The scheduler believes that no other one is alive, so it requests the role at once. This
        // belief must not affect safety.
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

    /// Processes, at the resource, an act under a term that its scheduler has checked earlier.
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
    fn is_enabled(&self, rule: Rule) -> bool {
        self.disabled_rule != Some(rule)
    }

    /// Creates a scheduler that starts at `now`. `has_restarted` tells whether an earlier process
    /// of it may have made grants.
    fn new_scheduler(
        &self,
        number: SchedulerNumber,
        quorum: QuorumConfig,
        now: Millis,
        has_restarted: bool,
    ) -> RoleManager {
        // Without the rule each scheduler counts only itself as configured.
        let uses_configured_set = self.is_enabled(Rule::ConfiguredMajority);
        let config = RoleConfig {
            own_number: if uses_configured_set { number } else { 0 },
            quorum: if uses_configured_set { quorum } else { QuorumConfig::single(1) },
            lease_duration: LEASE,
            clock_drift_bound: if self.is_enabled(Rule::ClockDriftBound) { CLOCK_DRIFT_BOUND } else { 0 },
            reply_timeout: 1,
            seed: 1,
        };
        // An earlier start time makes the scheduler skip the wait before its first grant.
        let must_wait = has_restarted && self.is_enabled(Rule::StartupWait);
        let started_at = if must_wait { now } else { now.saturating_sub(STARTUP_WAIT) };
        RoleManager::new(config, &[ROLE_NAME.to_owned()], started_at)
    }

    fn first_quorum(&self) -> QuorumConfig {
        self.bounds.quorum_change.map_or(ALL, |change| change.before)
    }

    fn restart(&self, state: &mut State, number: SchedulerNumber, quorum: QuorumConfig) {
        let index = usize::from(number);
        state.schedulers[index] = self.new_scheduler(number, quorum, state.clocks[index], true);
        // The act of the earlier process is lost in the restart.
        state.pending_acts[index] = None;
    }

    fn may_change_quorum(&self, state: &State, number: SchedulerNumber) -> bool {
        let Some(QuorumChange { before, after }) = self.bounds.quorum_change else { return false };
        let present = state.quorums[usize::from(number)];
        let is_changed = present == (number < after.schedulers).then_some(after);
        !is_changed && present == (number < before.schedulers).then_some(before)
    }

    /// Adds the possible actions of a running scheduler.
    fn scheduler_actions(&self, state: &State, number: SchedulerNumber, actions: &mut Vec<Action>) {
        let index = usize::from(number);
        if number < CANDIDATES && state.requests[index] < self.bounds.requests {
            actions.push(Action::Tick(number));
        }
        // Only the scheduler that may grant to both candidates restarts: it can make two
        // majorities.
        if number == CANDIDATES && state.restarts < self.bounds.restarts {
            actions.push(Action::Restart(number));
        }
        if let Some(term) = state.term_of(number) {
            if state.pending_acts[index] != Some(term) {
                actions.push(Action::CheckLease(number));
            }
            if self.bounds.releases {
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
        let schedulers =
            (0..SCHEDULERS).map(|number| self.new_scheduler(number, quorum, STARTUP_WAIT, false));
        let quorums = (0..SCHEDULERS).map(|number| (number < quorum.schedulers).then_some(quorum));
        vec![State {
            ticks: 0,
            clocks: vec![STARTUP_WAIT; SCHEDULERS.into()],
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
        if state.ticks < self.bounds.ticks {
            actions.push(Action::AdvanceClocks { slow: None });
            if state.slow_ticks < self.bounds.slow_ticks {
                actions.extend((0..CANDIDATES).map(|number| Action::AdvanceClocks { slow: Some(number) }));
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
            Action::AdvanceClocks { slow } => state.advance_clocks(slow),
            Action::Tick(number) => {
                if !state.tick(number) {
                    return None;
                }
            }
            Action::Deliver(message) => {
                state.deliver(message);
                // A message may be delivered repeatedly. A delivery that changes nothing is no
                // step.
                if state == *last {
                    return None;
                }
            }
            Action::Restart(number) => {
                state.restarts += 1;
                self.restart(&mut state, number, ALL);
            }
            Action::ChangeQuorum(number) => {
                let after = self.bounds.quorum_change?.after;
                state.quorums[usize::from(number)] = (number < after.schedulers).then_some(after);
                self.restart(&mut state, number, after);
            }
            Action::Release(number) => state.release(number),
            Action::CheckLease(number) => state.pending_acts[usize::from(number)] = state.term_of(number),
            Action::Act(number) => {
                let term = state.pending_acts[usize::from(number)].take()?;
                state.act(term, self.is_enabled(Rule::Fencing));
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
            Property::always(NO_STALE_ACT, |_, state: &State| !state.accepted_older_term),
            // Shows that a scheduler can acquire the role, also after another one has held it.
            // Otherwise the invariants would hold trivially.
            Property::sometimes(HANDED_OVER, |model: &LeaseModel, state: &State| {
                let mut indices = 0..state.schedulers.len();
                match model.bounds.quorum_change {
                    None => state.accepted_term > 1 && indices.any(|index| state.has_lease(index)),
                    // Schedulers lose their terms when they restart, so a higher term cannot show
                    // the handover. A holder with the configuration after the change shows it.
                    Some(QuorumChange { after, .. }) => {
                        indices.any(|index| state.quorums[index] == Some(after) && state.has_lease(index))
                    }
                }
            }),
        ]
    }
}

/// Searches all states within the bounds and returns the invariants that are violated.
fn broken_invariants(disabled_rule: Option<Rule>, bounds: SearchBounds) -> Vec<&'static str> {
    let model = LeaseModel { disabled_rule, bounds };
    let checker = model.checker().threads(2).target_state_count(MAX_STATES).spawn_bfs().join();
    println!("disabled rule {disabled_rule:?}: {} states", checker.unique_state_count());
    if disabled_rule.is_none() {
        assert!(
            checker.unique_state_count() < MAX_STATES,
            "the search must be complete: it reached the maximum of {MAX_STATES} states"
        );
        assert!(
            checker.discoveries().contains_key(HANDED_OVER),
            "the search must reach a state in which the role is held and handed over"
        );
    }
    checker.discoveries().into_keys().filter(|name| *name != HANDED_OVER).collect()
}

#[test]
fn no_invariant_breaks_when_a_scheduler_restarts() {
    assert!(broken_invariants(None, SearchBounds { restarts: 1, ..BASE_BOUNDS }).is_empty());
}

#[test]
fn no_invariant_breaks_when_a_clock_runs_slow_by_the_drift_bound() {
    assert!(broken_invariants(None, SearchBounds { slow_ticks: 1, ..BASE_BOUNDS }).is_empty());
}

#[test]
fn no_invariant_breaks_where_lease_holders_release() {
    assert!(broken_invariants(None, SearchBounds { releases: true, ticks: 2, ..BASE_BOUNDS }).is_empty());
}

#[test]
fn without_the_startup_wait_two_schedulers_hold_the_role() {
    let broken = broken_invariants(Some(Rule::StartupWait), SearchBounds { restarts: 1, ..BASE_BOUNDS });

    assert_eq!(broken, [ONE_HOLDER]);
}

#[test]
fn without_the_clock_drift_bound_two_schedulers_hold_the_role() {
    let broken =
        broken_invariants(Some(Rule::ClockDriftBound), SearchBounds { slow_ticks: 1, ..BASE_BOUNDS });

    assert_eq!(broken, [ONE_HOLDER]);
}

#[test]
fn without_a_majority_of_the_configured_set_two_schedulers_hold_the_role() {
    assert!(broken_invariants(Some(Rule::ConfiguredMajority), BASE_BOUNDS).contains(&ONE_HOLDER));
}

#[test]
fn without_fencing_an_act_under_an_older_term_is_accepted() {
    assert_eq!(broken_invariants(Some(Rule::Fencing), BASE_BOUNDS), [NO_STALE_ACT]);
}

// The set grows from one scheduler to three through the joint configuration. In each step every
// scheduler is restarted once, in any order and at any time.
#[test]
fn no_invariant_breaks_while_the_set_grows() {
    for (before, after) in [(ONE, JOINT), (JOINT, ALL)] {
        let quorum_change = Some(QuorumChange { before, after });

        let broken = broken_invariants(None, SearchBounds { quorum_change, ..BASE_BOUNDS });

        assert!(broken.is_empty(), "{quorum_change:?}: {broken:?}");
    }
}

#[test]
fn no_invariant_breaks_while_the_set_shrinks() {
    for (before, after) in [(ALL, JOINT), (JOINT, ONE)] {
        let quorum_change = Some(QuorumChange { before, after });

        let broken = broken_invariants(None, SearchBounds { quorum_change, ..BASE_BOUNDS });

        assert!(broken.is_empty(), "{quorum_change:?}: {broken:?}");
    }
}

#[test]
fn without_the_joint_quorum_two_schedulers_hold_the_role() {
    for (before, after) in [(ONE, ALL), (ALL, ONE)] {
        let quorum_change = Some(QuorumChange { before, after });

        let broken =
            broken_invariants(Some(Rule::JointQuorum), SearchBounds { quorum_change, ..BASE_BOUNDS });

        assert!(broken.contains(&ONE_HOLDER), "{quorum_change:?}: {broken:?}");
    }
}
