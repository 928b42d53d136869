//! A model of the lease protocol, searched whole for small sizes: one scheduler that writes to a log, two workers, a client
//! that asks twice, crashes with and without what was not synced, messages that are lost, doubled and late, and workers'
//! clocks that run slow by up to the bound. Each guard of the protocol can be taken out; then the search must find what it
//! was for.
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// The length of a lease, and the bound on clocks, in ticks.
const LEASE: u8 = 1;
const BOUND: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// Nothing leaves before its record is durable.
    OutputCommit,
    /// A lease ends here later than at its worker, by the bound.
    ClockBound,
    /// A renewal is written down before it is told.
    RenewalWritten,
    /// A result counts only under the lease that is out.
    Fencing,
    /// A job that must never run twice is not sent where it may have run.
    NeverTwice,
    /// What may be out is waited for after a crash.
    Recovery,
    /// An offer that the disk has held up for a tick does not go out any more.
    OfferExpires,
}

/// Which jobs: those that must never run twice, or those whose repeats both workers drop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Never,
    Dropped,
}

struct Protocol {
    class: Class,
    without: Option<Guard>,
    ticks: u8,
    crashes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Record {
    Taken,
    Leased { worker: u8, token: u8, until: u8 },
    Renewed { token: u8, until: u8 },
    Released,
    Ended { token: u8 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Offer { worker: u8, token: u8 },
    Beat { worker: u8, token: u8, sent: u8 },
    Renewal { worker: u8, token: u8, until: u8 },
    Done { worker: u8, token: u8 },
    Answer { token: u8 },
}

/// What the records add up to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Job {
    taken: bool,
    lease: Option<(u8, u8, u8)>,
    tokens: u8,
    exposed: bool,
    ended: Option<u8>,
}

impl Job {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Taken => self.taken = true,
            Record::Leased { worker, token, until } => {
                self.lease = Some((worker, token, until));
                self.tokens = token;
            }
            Record::Renewed { token, until } => {
                if let Some(lease) = self.lease.as_mut().filter(|l| l.1 == token) {
                    lease.2 = lease.2.max(until);
                }
            }
            Record::Released => (self.lease, self.exposed) = (None, true),
            Record::Ended { token } => (self.lease, self.ended) = (None, Some(token)),
        }
    }
}

/// What a worker holds: the lease's token, and until when it may, by its own slow clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    token: u8,
    until: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    crashes: u8,
    up: bool,
    /// As the running process sees it; as it is on disk; and what lies between.
    seen: Job,
    disk: Job,
    unsynced: Vec<Record>,
    /// What may leave when all before it is durable.
    gated: Vec<Message>,
    network: BTreeSet<Message>,
    held: [Option<Held>; 2],
    /// How often the work was begun, each worker by itself.
    runs: [u8; 2],
    asks: u8,
    waiting: bool,
    answers: BTreeSet<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Ask,
    Send(u8),
    Sync,
    LeaseEnds,
    Crash { synced: bool },
    Restart,
    Deliver(Message),
    Beat(u8),
    Finish(u8),
    Tick,
}

impl Protocol {
    fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    fn write(&self, s: &mut State, record: Record, then: Option<Message>) {
        s.seen.apply(record);
        s.unsynced.push(record);
        if let Some(message) = then {
            self.emit(s, message);
        }
    }

    fn emit(&self, s: &mut State, message: Message) {
        if self.has(Guard::OutputCommit) && !s.unsynced.is_empty() {
            s.gated.push(message);
        } else {
            s.network.insert(message);
        }
    }

    fn may_send(&self, s: &State) -> bool {
        let again = self.class == Class::Dropped || !s.seen.exposed || !self.has(Guard::NeverTwice);
        s.up && s.seen.taken && s.seen.lease.is_none() && s.seen.ended.is_none() && again && s.seen.tokens < 2
    }

    fn receive(&self, s: &mut State, message: Message) {
        match message {
            Message::Offer { worker, token } => {
                let held = &mut s.held[worker as usize];
                // A worker that has had it under this lease doesn't begin anew.
                if held.is_none() && s.runs[worker as usize] == 0 {
                    // Its clock may run slow by the bound at the most.
                    *held = Some(Held { token, until: s.now + LEASE + BOUND });
                    s.runs[worker as usize] += 1;
                }
            }
            Message::Beat { worker, token, sent } if s.up => {
                let fits = s.seen.lease.is_some_and(|l| (l.0, l.1) == (worker, token));
                if fits && s.seen.ended.is_none() {
                    let renewal = Message::Renewal { worker, token, until: sent + LEASE + BOUND };
                    match self.has(Guard::RenewalWritten) {
                        true => {
                            let until = s.now + LEASE;
                            self.write(s, Record::Renewed { token, until }, Some(renewal));
                        }
                        false => {
                            s.seen.apply(Record::Renewed { token, until: s.now + LEASE });
                            s.network.insert(renewal);
                        }
                    }
                }
            }
            Message::Renewal { worker, token, until } => {
                if let Some(held) = s.held[worker as usize].as_mut().filter(|h| h.token == token) {
                    held.until = held.until.max(until);
                }
            }
            Message::Done { worker, token } if s.up && s.seen.ended.is_none() => {
                let fits = s.seen.lease.is_some_and(|l| (l.0, l.1) == (worker, token));
                if fits || !self.has(Guard::Fencing) {
                    self.write(s, Record::Ended { token }, None);
                    if std::mem::take(&mut s.waiting) {
                        self.emit(s, Message::Answer { token });
                    }
                }
            }
            Message::Answer { token } => drop(s.answers.insert(token)),
            _ => {}
        }
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            crashes: 0,
            up: true,
            seen: Job::default(),
            disk: Job::default(),
            unsynced: Vec::new(),
            gated: Vec::new(),
            network: BTreeSet::new(),
            held: [None; 2],
            runs: [0; 2],
            asks: 0,
            waiting: false,
            answers: BTreeSet::new(),
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.up && s.asks < 2 && !s.waiting {
            actions.push(Action::Ask);
        }
        if self.may_send(s) {
            actions.extend([Action::Send(0), Action::Send(1)]);
        }
        if s.up && !s.unsynced.is_empty() {
            actions.push(Action::Sync);
        }
        let bound = if self.has(Guard::ClockBound) { BOUND } else { 0 };
        if s.up && s.seen.lease.is_some_and(|(_, _, until)| s.now > until + bound) {
            actions.push(Action::LeaseEnds);
        }
        if s.up && s.crashes < self.crashes {
            actions.push(Action::Crash { synced: false });
            if !s.unsynced.is_empty() {
                actions.push(Action::Crash { synced: true });
            }
        }
        if !s.up {
            actions.push(Action::Restart);
        }
        // What is on its way stays there: it comes at any time, again, or never.
        actions.extend(s.network.iter().map(|m| Action::Deliver(*m)));
        for worker in [0, 1] {
            let told = |m: &Message| matches!(m, Message::Renewal { worker: w, .. } if *w == worker);
            if s.held[worker as usize].is_some() && !s.network.iter().chain(&s.gated).any(told) {
                actions.push(Action::Beat(worker));
            }
            if s.held[worker as usize].is_some() {
                actions.push(Action::Finish(worker));
            }
        }
        if s.now < self.ticks {
            actions.push(Action::Tick);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::Ask => {
                s.asks += 1;
                match s.seen.ended {
                    Some(token) => self.emit(&mut s, Message::Answer { token }),
                    None => {
                        s.waiting = true;
                        if !s.seen.taken {
                            self.write(&mut s, Record::Taken, None);
                        }
                    }
                }
            }
            Action::Send(worker) => {
                let token = s.seen.tokens + 1;
                // It is told within a tick of when this was written, or not taken; so the worker's own time begins then.
                let until = s.now + 1 + LEASE;
                self.write(
                    &mut s,
                    Record::Leased { worker, token, until },
                    Some(Message::Offer { worker, token }),
                );
            }
            Action::Sync => {
                for record in std::mem::take(&mut s.unsynced) {
                    s.disk.apply(record);
                }
                s.network.extend(std::mem::take(&mut s.gated));
            }
            Action::LeaseEnds => self.write(&mut s, Record::Released, None),
            Action::Crash { synced } => {
                s.crashes += 1;
                if synced {
                    for record in &s.unsynced {
                        s.disk.apply(*record);
                    }
                }
                (s.up, s.waiting, s.seen) = (false, false, Job::default());
                s.unsynced.clear();
                s.gated.clear();
                // Its connections break: what it was sending does not arrive, nor does what its client was to be told.
                s.network.retain(|m| !matches!(m, Message::Offer { .. } | Message::Answer { .. }));
            }
            Action::Restart => {
                (s.up, s.seen) = (true, s.disk);
                if !self.has(Guard::Recovery) && s.seen.lease.take().is_some() {
                    // As if an attempt that was out had never been.
                }
            }
            Action::Deliver(message) => {
                // On a connection of their own all but results come once.
                if !matches!(message, Message::Done { .. }) {
                    s.network.remove(&message);
                }
                self.receive(&mut s, message);
            }
            Action::Beat(worker) => {
                // One that is late gives the worker less time and the scheduler more: at once is the hardest.
                let held = s.held[worker as usize]?;
                let message = Message::Beat { worker, token: held.token, sent: s.now };
                self.receive(&mut s, message);
            }
            Action::Finish(worker) => {
                let held = s.held[worker as usize].take()?;
                s.network.insert(Message::Done { worker, token: held.token });
            }
            Action::Tick => {
                // An offer that was not taken within a tick is given up by closing its connection.
                s.network.retain(|m| !matches!(m, Message::Offer { .. }));
                if self.has(Guard::OfferExpires) {
                    s.gated.retain(|m| !matches!(m, Message::Offer { .. }));
                }
                s.now += 1;
                for held in &mut s.held {
                    if held.is_some_and(|h| s.now > h.until) {
                        *held = None;
                    }
                }
            }
        }
        (s != *last).then_some(s)
    }

    fn within_boundary(&self, s: &State) -> bool {
        s.unsynced.len() <= 4
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one worker at a time", |_, s: &State| s.held.iter().flatten().count() <= 1),
            Property::always("never twice", |p: &Protocol, s: &State| {
                p.class == Class::Dropped || s.runs.iter().sum::<u8>() <= 1
            }),
            Property::always("one answer for all who ask", |_, s: &State| s.answers.len() <= 1),
            Property::always("what was answered is on disk", |_, s: &State| {
                s.answers.iter().all(|token| s.disk.ended == Some(*token))
            }),
            Property::always("the result is the last lease's", |_, s: &State| {
                s.disk.ended.is_none_or(|token| token == s.disk.tokens)
            }),
            Property::sometimes("answered after a crash", |_, s: &State| {
                s.crashes > 0 && !s.answers.is_empty()
            }),
            Property::sometimes("a lease ends and the job goes on elsewhere", |p: &Protocol, s: &State| {
                p.class == Class::Never || s.runs == [1, 1]
            }),
        ]
    }
}

fn search(class: Class, without: Option<Guard>, ticks: u8, crashes: u8) -> (usize, Vec<&'static str>) {
    let protocol = Protocol { class, without, ticks, crashes };
    let checker = protocol.checker().threads(1).spawn_bfs().join();
    let always = [
        "one worker at a time",
        "never twice",
        "one answer for all who ask",
        "what was answered is on disk",
        "the result is the last lease's",
    ];
    let broken = always.into_iter().filter(|name| checker.discovery(name).is_some()).collect();
    if without.is_none() {
        for some in ["answered after a crash", "a lease ends and the job goes on elsewhere"] {
            assert!(checker.discovery(some).is_some(), "{class:?}: never {some}: the model is too small");
        }
    }
    (checker.unique_state_count(), broken)
}

// Guards the protocol: within these sizes no order of events breaks an invariant.
#[test]
fn the_protocol_keeps_its_invariants() {
    for class in [Class::Never, Class::Dropped] {
        let (states, broken) = search(class, None, 4, 1);
        println!("{class:?}: {states} states");
        assert_eq!(broken, Vec::<&str>::new(), "{class:?}");
        assert!(states > 1_000, "{class:?}: {states} states");
    }
}

// Guards the model: with a guard taken out, the search finds what the guard is for.
#[test]
fn each_guard_is_needed() {
    let cases = [
        (Guard::OutputCommit, Class::Never, "never twice"),
        (Guard::ClockBound, Class::Dropped, "one worker at a time"),
        (Guard::RenewalWritten, Class::Dropped, "one worker at a time"),
        (Guard::Fencing, Class::Dropped, "the result is the last lease's"),
        (Guard::NeverTwice, Class::Never, "never twice"),
        (Guard::Recovery, Class::Never, "never twice"),
        (Guard::OfferExpires, Class::Dropped, "one worker at a time"),
    ];
    for (guard, class, invariant) in cases {
        let (states, broken) = search(class, Some(guard), 4, 1);
        println!("without {guard:?}: {states} states, {broken:?}");
        assert!(broken.contains(&invariant), "{guard:?}: {broken:?} in {states} states");
    }
}
