//! The leases searched whole for small sizes, by the crate's own state machine: three schedulers that grant and ask, messages lost,
//! doubled and late, clocks of which one may run slow by the bound, restarts that forget all, a change of the set, one after the other, and a
//! stop between the check of a lease and the act. Each guard can be taken out; then the search must find what it was for.
use spanlead_singleton_roles::{
    Action as RoleAction, ClockReading, MessageBody, Millis, QuorumConfig, RoleConfig, RoleIndex,
    RoleManager, RoleMessage, Term, decode,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const NODES: u16 = 3;
/// Two of them ask; the third only grants. That is all that a majority needs to go wrong.
const ASKING: u16 = 2;
const LEASE: Millis = 1;
const BOUND: Millis = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// One that restarts grants nothing until what it has forgotten is over.
    Silence,
    /// A grant outlasts the lease by the bound on clocks.
    Bound,
    /// A majority of the configured grants, not of those that can be reached.
    Configured,
    /// What is acted on refuses an older term.
    Fence,
    /// A set is changed by way of both.
    Joint,
}

/// Before, and after each has been restarted once.
type Change = [QuorumConfig; 2];
const ONE: QuorumConfig = QuorumConfig { schedulers: 1, joint_schedulers: 0 };
const BOTH: QuorumConfig = QuorumConfig { schedulers: NODES, joint_schedulers: 1 };
const ALL: QuorumConfig = QuorumConfig { schedulers: NODES, joint_schedulers: 0 };

struct Leases {
    without: Option<Guard>,
    /// Ticks of real time that are searched.
    horizon: u8,
    restarts: u8,
    slow: u8,
    /// Each node asks so many questions at the most.
    questions: u32,
    /// Holders give it back.
    releases: bool,
    /// The set is changed.
    change: Option<Change>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    clocks: Vec<Millis>,
    nodes: Vec<RoleManager>,
    /// By which sets each goes; `None` where it doesn't run.
    sets: Vec<Option<QuorumConfig>>,
    asked: Vec<u32>,
    restarts: u8,
    slow: u8,
    /// What was sent and may arrive, any time and any number of times; or never.
    under_way: BTreeSet<(u16, u16, QuorumConfig, Message)>,
    /// Checked and not yet done.
    acts: Vec<Option<Term>>,
    /// What the resource has accepted: the highest term, and whether it ever accepted an older one behind it.
    highest: Term,
    overtaken: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Ask(u32, Term),
    Grant(u32, Term),
    Withdraw(Term),
    Release(Term),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A tick of real time passes; this node's clock may not notice.
    Pass(Option<u16>),
    /// A node looks whether it should ask: it does if it is its turn.
    Tick(u16),
    Deliver(u16, u16, QuorumConfig, Message),
    Restart(u16),
    /// It starts, again or for the first time, with the sets after the change; or ends, where it isn't in them.
    Change(u16),
    Release(u16),
    Check(u16),
    Act(u16),
}

fn message(word: MessageBody) -> Message {
    match word {
        MessageBody::Request { request: ask, term } => Message::Ask(ask, term),
        MessageBody::Grant { request: ask, term } => Message::Grant(ask, term),
        MessageBody::Reject { .. } => unreachable!("not carried"),
        MessageBody::Cancel { term } => Message::Withdraw(term),
        MessageBody::Release { term } => Message::Release(term),
    }
}

fn word(message: Message) -> MessageBody {
    match message {
        Message::Ask(ask, term) => MessageBody::Request { request: ask, term },
        Message::Grant(ask, term) => MessageBody::Grant { request: ask, term },
        Message::Withdraw(term) => MessageBody::Cancel { term },
        Message::Release(term) => MessageBody::Release { term },
    }
}

impl Leases {
    fn node(&self, me: u16, sets: QuorumConfig, now: Millis, first: bool) -> RoleManager {
        // Without the guard each sees only itself.
        let alone = self.without == Some(Guard::Configured);
        let bound = if self.without == Some(Guard::Bound) { 0 } else { BOUND };
        let set = RoleConfig {
            own_number: if alone { 0 } else { me },
            quorum: if alone { QuorumConfig::of(1) } else { sets },
            lease_duration: LEASE,
            clock_drift_bound: bound,
            reply_timeout: 1,
            seed: 1,
        };
        // Silence is a matter of when a process thinks that it began: long ago, where it has none.
        let silence = first || self.without == Some(Guard::Silence);
        RoleManager::new(
            set,
            &["duty".to_owned()],
            if silence { now.saturating_sub(LEASE + BOUND) } else { now },
        )
    }

    /// The sets before a change, or those that there are.
    fn before(&self) -> QuorumConfig {
        self.change.map_or(ALL, |[before, _]| before)
    }

    fn hash() -> u32 {
        xxhash_rust::xxh3::xxh3_64(b"duty") as u32
    }
}

fn carry(state: &mut State, from: u16, out: Vec<RoleAction>) {
    let sets = state.sets[usize::from(from)].unwrap_or(ALL);
    for out in out {
        if let RoleAction::Send { to, payload: bytes } = out {
            let items = decode(&bytes).expect("our own words");
            // A refusal only makes its hearer wait, or ask for a higher term: as if it were lost.
            let words = items.into_iter().filter(|item| !matches!(item.body, MessageBody::Reject { .. }));
            state.under_way.extend(words.map(|item| (from, to, sets, message(item.body))));
        }
    }
}

impl Model for Leases {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // All have been up for long enough not to be silent.
        let start = LEASE + BOUND;
        vec![State {
            now: 0,
            clocks: vec![start; NODES.into()],
            nodes: (0..NODES).map(|me| self.node(me, self.before(), start, true)).collect(),
            sets: (0..NODES).map(|me| (me < self.before().schedulers).then_some(self.before())).collect(),
            asked: vec![0; NODES.into()],
            restarts: 0,
            slow: 0,
            under_way: BTreeSet::new(),
            acts: vec![None; NODES.into()],
            highest: 0,
            overtaken: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.horizon {
            actions.push(Action::Pass(None));
            if state.slow < self.slow {
                actions.extend((0..ASKING).map(|n| Action::Pass(Some(n))));
            }
        }
        for n in 0..NODES {
            let at = usize::from(n);
            if let Some([before, after]) = self.change {
                let changed = state.sets[at] == (n < after.schedulers).then_some(after);
                if !changed && state.sets[at] == (n < before.schedulers).then_some(before) {
                    actions.push(Action::Change(n));
                }
            }
            if state.sets[at].is_none() {
                continue;
            }
            if n < ASKING && state.asked[at] < self.questions {
                actions.push(Action::Tick(n));
            }
            // The one that grants to both is the one that matters.
            if n == ASKING && state.restarts < self.restarts {
                actions.push(Action::Restart(n));
            }
            if let Some(term) = state.nodes[at].term_to_act_under(state.clocks[at], RoleIndex(0)) {
                if state.acts[at] != Some(term) {
                    actions.push(Action::Check(n));
                }
                if self.releases {
                    actions.push(Action::Release(n));
                }
            }
            if state.acts[at].is_some() {
                actions.push(Action::Act(n));
            }
        }
        let runs = |to: u16| state.sets[usize::from(to)].is_some();
        let come = state.under_way.iter().filter(|(_, to, ..)| runs(*to));
        actions.extend(come.map(|(from, to, sets, m)| Action::Deliver(*from, *to, *sets, *m)));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let mut out = Vec::new();
        match action {
            Action::Pass(slow) => {
                state.now += 1;
                state.slow += u8::from(slow.is_some());
                for (n, clock) in state.clocks.iter_mut().enumerate() {
                    *clock += Millis::from(slow != Some(n as u16));
                }
            }
            Action::Tick(n) => {
                let at = usize::from(n);
                let before = state.nodes[at].clone();
                // It thinks that it should hold it: whom it takes for alive decides nothing of safety.
                state.nodes[at].tick(
                    ClockReading { monotonic: state.clocks[at], wall: 1 },
                    |_| false,
                    &mut out,
                );
                if state.nodes[at] == before {
                    return None;
                }
                state.asked[at] += 1;
                carry(&mut state, n, out);
            }
            Action::Deliver(from, to, sets, m) => {
                let at = usize::from(to);
                let item = RoleMessage { role_hash: Self::hash(), quorum: sets, body: word(m) };
                state.nodes[at].receive(
                    ClockReading { monotonic: state.clocks[at], wall: 1 },
                    from,
                    &[item],
                    |_| true,
                    &mut out,
                );
                carry(&mut state, to, out);
                // It may come again; what changes nothing is no step.
                if state == *last {
                    return None;
                }
            }
            Action::Restart(n) => {
                let at = usize::from(n);
                state.restarts += 1;
                state.nodes[at] = self.node(n, ALL, state.clocks[at], false);
                // What it was about to do, it has not sent: it does nothing any more.
                state.acts[at] = None;
            }
            Action::Change(n) => {
                let at = usize::from(n);
                let [_, after] = self.change?;
                state.sets[at] = (n < after.schedulers).then_some(after);
                state.nodes[at] = self.node(n, after, state.clocks[at], false);
                state.acts[at] = None;
            }
            Action::Release(n) => {
                let at = usize::from(n);
                state.nodes[at].release(state.clocks[at], RoleIndex(0), &mut out);
                carry(&mut state, n, out);
            }
            Action::Check(n) => {
                let at = usize::from(n);
                state.acts[at] = state.nodes[at].term_to_act_under(state.clocks[at], RoleIndex(0));
            }
            Action::Act(n) => {
                let term = state.acts[usize::from(n)].take()?;
                let older = term < state.highest;
                if older && self.without != Some(Guard::Fence) {
                    return Some(state);
                }
                state.overtaken |= older;
                state.highest = state.highest.max(term);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder", |_: &Leases, state: &State| {
                let holds = |n: &usize| {
                    state.sets[*n].is_some()
                        && state.nodes[*n].term_to_act_under(state.clocks[*n], RoleIndex(0)).is_some()
                };
                (0..NODES.into()).filter(holds).count() <= 1
            }),
            Property::always("no act under an older term", |_, state: &State| !state.overtaken),
            // That somebody can hold it at all, and after another: else the rest says nothing.
            Property::sometimes("it is held and handed on", |model: &Leases, state: &State| {
                let holds = |n: usize| state.nodes[n].roles().any(|(d, _)| d.is_held());
                match model.change {
                    None => state.highest > 1 && (0..state.nodes.len()).any(holds),
                    // Each forgets the terms that it knew: that one holds it after it was changed says as much.
                    Some([_, after]) => {
                        (0..state.nodes.len()).any(|n| state.sets[n] == Some(after) && holds(n))
                    }
                }
            }),
        ]
    }
}

struct Size {
    restarts: u8,
    slow: u8,
    horizon: u8,
    questions: u32,
    releases: bool,
    change: Option<Change>,
}

fn broken(without: Option<Guard>, size: Size) -> Vec<&'static str> {
    let Size { restarts, slow, horizon, questions, releases, change } = size;
    let model = Leases { without, horizon, restarts, slow, questions, releases, change };
    let checker = model.checker().threads(2).target_state_count(4_000_000).spawn_bfs().join();
    println!("without {without:?}: {} states", checker.unique_state_count());
    let held = "it is held and handed on";
    let found: Vec<&'static str> = checker.discoveries().into_keys().filter(|name| *name != held).collect();
    if without.is_none() {
        assert!(checker.unique_state_count() < 4_000_000, "not searched whole");
        assert!(checker.discoveries().contains_key(held), "nothing was searched");
    }
    found
}

const SMALL: Size = Size { restarts: 0, slow: 0, horizon: 3, questions: 1, releases: false, change: None };

#[test]
fn the_guards_hold_through_a_restart() {
    assert!(broken(None, Size { restarts: 1, ..SMALL }).is_empty());
}

#[test]
fn the_guards_hold_under_a_slow_clock() {
    assert!(broken(None, Size { slow: 1, ..SMALL }).is_empty());
}

#[test]
fn the_guards_hold_where_holders_give_it_back() {
    assert!(broken(None, Size { releases: true, horizon: 2, ..SMALL }).is_empty());
}

#[test]
fn without_silence_two_hold_it() {
    assert_eq!(broken(Some(Guard::Silence), Size { restarts: 1, ..SMALL }), ["one holder"]);
}

#[test]
fn without_the_bound_on_clocks_two_hold_it() {
    assert_eq!(broken(Some(Guard::Bound), Size { slow: 1, ..SMALL }), ["one holder"]);
}

#[test]
fn without_a_majority_of_the_configured_two_hold_it() {
    assert!(broken(Some(Guard::Configured), SMALL).contains(&"one holder"));
}

#[test]
fn without_the_fence_an_act_comes_late() {
    assert_eq!(broken(Some(Guard::Fence), SMALL), ["no act under an older term"]);
}

// From one to three and back, by way of both: each is restarted once a step, in any order and at any time.
#[test]
fn one_holds_it_while_the_set_grows() {
    for change in [[ONE, BOTH], [BOTH, ALL]] {
        assert!(broken(None, Size { change: Some(change), ..SMALL }).is_empty(), "{change:?}");
    }
}

#[test]
fn one_holds_it_while_the_set_shrinks() {
    for change in [[ALL, BOTH], [BOTH, ONE]] {
        assert!(broken(None, Size { change: Some(change), ..SMALL }).is_empty(), "{change:?}");
    }
}

#[test]
fn without_both_sets_two_hold_it() {
    for change in [[ONE, ALL], [ALL, ONE]] {
        assert!(
            broken(Some(Guard::Joint), Size { change: Some(change), ..SMALL }).contains(&"one holder"),
            "{change:?}"
        );
    }
}
