//! A small driver for tests: it plays legal events to a dispatcher and checks the rules on its own account.
#![allow(dead_code)]
use spanlead_balancing_policy::*;
use std::collections::BTreeMap;

pub const MS: Nanos = 1_000_000;
pub const SEC: Nanos = 1_000 * MS;

/// A deterministic source of test choices (splitmix64).
pub struct Dice(pub u64);

impl Dice {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

pub struct Attempt {
    pub worker: String,
    pub sent: Nanos,
    pub outcome: Option<Outcome>,
}

pub struct Open {
    pub class: usize,
    pub due: Nanos,
    pub closed: bool,
    pub attempts: Vec<Attempt>,
}

pub struct Member {
    pub state: WorkerState,
    pub zone: u32,
    pub cell: u32,
    pub started: Option<Nanos>,
}

/// What the checker knows, kept apart from the dispatcher.
pub struct Checker {
    pub set: Settings,
    pub requests: BTreeMap<u64, Open>,
    pub members: BTreeMap<String, Member>,
}

impl Checker {
    pub fn new(set: Settings) -> Self {
        Checker { set, requests: BTreeMap::new(), members: BTreeMap::new() }
    }

    /// Whether an action keeps the rules; the error names the one it breaks.
    pub fn action(&mut self, now: Nanos, action: &Action) -> Result<(), String> {
        match action {
            Action::Send { id, worker, .. } => {
                let member = self.members.get(&*worker.0).ok_or("sent to a worker that no list named")?;
                if member.state != WorkerState::Ready {
                    return Err(format!("rule 3: {} is {:?}", worker.0, member.state));
                }
                let request = self.requests.get_mut(&id.0).ok_or("sent an unknown request")?;
                if request.closed {
                    return Err("rule 1: sent after its end".into());
                }
                if request.attempts.len() >= self.set.limits.max_attempts as usize {
                    return Err("more attempts than permitted".into());
                }
                if !self.set.limits.can_hedge && request.attempts.iter().any(|a| a.outcome.is_none()) {
                    return Err("two attempts out together".into());
                }
                for a in &request.attempts {
                    if a.outcome.is_some_and(Outcome::never_ran) {
                        continue;
                    }
                    match self.set.classes[request.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::AtMostOnce => return Err("rule 2: an unsafe request sent twice".into()),
                        Idempotency::Deduplicated { scope, window } => {
                            let first = &self.members[&a.worker];
                            let same = match scope {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => first.zone == member.zone,
                                DeduplicationScope::Cell => first.cell == member.cell,
                            };
                            // The connection may take its whole time to come up before the send.
                            if !same || now + self.set.limits.connect_timeout > a.sent + window {
                                return Err("rule 2: a keyed request left its group or time".into());
                            }
                        }
                    }
                }
                request.attempts.push(Attempt { worker: worker.0.to_string(), sent: now, outcome: None });
            }
            Action::Reject { id, .. } => {
                let request = self.requests.get_mut(&id.0).ok_or("refused an unknown request")?;
                if std::mem::replace(&mut request.closed, true) {
                    return Err("rule 1: a second final answer".into());
                }
                let free = match self.set.classes[request.class].idempotency {
                    Idempotency::Idempotent
                    | Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => true,
                    _ => request.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran)),
                };
                if !free {
                    return Err("rule 2: refused what may have run".into());
                }
            }
            Action::Fail { id } => {
                let request = self.requests.get_mut(&id.0).ok_or("failed an unknown request")?;
                if std::mem::replace(&mut request.closed, true) {
                    return Err("rule 1: a second final answer".into());
                }
            }
            Action::Cancel { .. } if !self.set.limits.can_cancel => {
                return Err("cancel is not permitted".into());
            }
            Action::Probe { .. } if !self.set.limits.can_probe => {
                return Err("probes are not permitted".into());
            }
            Action::SendToPeer { .. } if !self.set.limits.can_message_peers => {
                return Err("messages are not permitted".into());
            }
            _ => {}
        }
        Ok(())
    }

    /// Rule 1 at a point in time: nothing is open past its time.
    pub fn overdue(&self, now: Nanos) -> Option<u64> {
        self.requests.iter().find(|(_, r)| !r.closed && now > r.due).map(|(id, _)| *id)
    }
}

/// A dispatcher with its checker, clock and timers.
pub struct World {
    pub dispatcher: Dispatcher,
    pub checker: Checker,
    pub now: Nanos,
    pub timers: BTreeMap<(Nanos, u64), u64>,
    pub probes: Vec<String>,
    pub trace: Vec<Action>,
    next: u64,
}

impl World {
    pub fn new(set: Settings, seed: u64) -> Self {
        World {
            dispatcher: Dispatcher::new(set.clone(), seed).expect("legal settings"),
            checker: Checker::new(set),
            now: 1_000 * SEC,
            timers: BTreeMap::new(),
            probes: Vec::new(),
            trace: Vec::new(),
            next: 0,
        }
    }

    pub fn give(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher.handle(self.now, event, &mut out);
        for action in &out {
            if let Err(broken) = self.checker.action(self.now, action) {
                panic!("{broken}: {action:?}");
            }
            match action {
                Action::Timer { after, token } => {
                    self.next += 1;
                    let at = self.now + (*after).max(1);
                    self.timers.insert((at, self.next), *token);
                }
                Action::Probe { worker } => self.probes.push(worker.0.to_string()),
                _ => {}
            }
        }
        self.trace.extend(out.iter().cloned());
        out
    }

    pub fn list(&mut self, scope: EndpointUpdate, entries: &[Endpoint<'_>]) -> Vec<Action> {
        if matches!(scope, EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot) {
            for (name, member) in &mut self.checker.members {
                if !entries.iter().any(|e| e.worker == name) {
                    member.state = WorkerState::Removed;
                }
            }
        }
        for e in entries {
            let member = Member { state: e.state, zone: e.zone, cell: e.cell, started: e.started_at };
            self.checker.members.insert(e.worker.to_owned(), member);
        }
        self.give(Event::EndpointsChanged { update: scope, endpoints: entries })
    }

    pub fn ready(&mut self, n: usize) {
        let names: Vec<String> = (0..n).map(|i| format!("w{i}")).collect();
        let entries: Vec<Endpoint<'_>> = names.iter().map(|w| Endpoint::new(w, WorkerState::Ready)).collect();
        self.list(EndpointUpdate::Snapshot, &entries);
    }

    pub fn ask(&mut self, request: Request) -> Vec<Action> {
        let open = Open {
            class: request.class as usize,
            due: self.now + request.time_left,
            closed: false,
            attempts: Vec::new(),
        };
        self.checker.requests.insert(request.id.0, open);
        self.give(Event::RequestArrived(request))
    }

    /// Ends attempt `attempt` of request `id`; `Ok` closes the request.
    pub fn end(&mut self, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let request = self.checker.requests.get_mut(&id).expect("known request");
        let sent = request.attempts[attempt as usize].sent;
        request.attempts[attempt as usize].outcome = Some(outcome);
        let closed = request.closed || outcome == Outcome::Ok;
        request.closed = closed;
        let elapsed = self.now - sent;
        self.give(Event::AttemptEnded { id: RequestId(id), attempt, outcome, closed, elapsed, report: None })
    }

    /// Lets time pass; timers ring, probes are answered idle at once, and nothing else happens.
    pub fn pass(&mut self, span: Nanos, answer_probes: bool) {
        let until = self.now + span;
        loop {
            if answer_probes {
                while let Some(worker) = self.probes.pop() {
                    let report = Some(LoadReport { free_slots: Some(4.0), ..LoadReport::default() });
                    self.give(Event::ProbeEnded {
                        worker: &worker,
                        outcome: Outcome::Ok,
                        elapsed: MS,
                        report,
                    });
                }
            }
            let Some((&(at, n), &token)) = self.timers.first_key_value().filter(|((at, _), _)| *at <= until)
            else {
                break;
            };
            self.timers.remove(&(at, n));
            self.now = at;
            self.give(Event::TimerFired(token));
        }
        self.now = until;
    }

    pub fn sends(&self, id: u64) -> Vec<String> {
        self.checker.requests[&id].attempts.iter().map(|a| a.worker.clone()).collect()
    }
}

pub fn settings(idempotency: Idempotency) -> Settings {
    let mut set = Settings { instance_count: 4, tick: 5 * MS, ..Settings::default() };
    set.classes.push(RequestClass {
        idempotency,
        latency_target_stretch: 2.0,
        ..RequestClass::new(200 * MS, 2 * SEC)
    });
    set.limits.max_attempts = 3;
    set.limits.can_cancel = true;
    set.limits.can_send_retry_after = true;
    set.limits.max_retry_after = SEC;
    set.rules.slow_start_duration = 8 * SEC;
    set.rules.slow_start_initial_fraction = 0.3;
    set.rules.overload_multiple = 3.0;
    set.rules.overload_window = 2 * SEC;
    set.rules.drain_grace = SEC;
    set.rules.endpoint_poll_interval = 10 * SEC;
    set
}
