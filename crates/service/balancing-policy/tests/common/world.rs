//! A dispatcher with its checker, clock and timers.

use super::checker::{Checker, KnownWorker, OpenRequest};
use super::{MS, SEC};
use spanlead_balancing_policy::{
    Action, Dispatcher, Endpoint, EndpointUpdate, Event, LoadReport, Nanos, Outcome, Request, RequestId,
    Settings, WorkerState,
};
use std::collections::BTreeMap;

/// The time at which a world begins, in nanoseconds.
const START: Nanos = 1_000 * SEC;

/// A request of the first class.
pub fn request(id: u64, time_left: Nanos) -> Request {
    Request::new(RequestId(id), 0, time_left)
}

/// Whether a request was rejected.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// Whether a request failed.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// A dispatcher with its checker, clock and timers. Each action is checked as it comes.
pub struct World {
    pub dispatcher: Dispatcher,
    pub checker: Checker,
    pub now: Nanos,
    /// Timers' tokens by the time at which they fire and the order of their start.
    pub timers: BTreeMap<(Nanos, u64), u64>,
    /// Workers with a probe in flight.
    pub probes: Vec<String>,
    /// All actions so far.
    pub trace: Vec<Action>,
    timers_started: u64,
}

impl World {
    /// A world without workers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        World {
            dispatcher: Dispatcher::new(settings.clone(), seed).expect("valid settings"),
            checker: Checker::new(settings),
            now: START,
            timers: BTreeMap::new(),
            probes: Vec::new(),
            trace: Vec::new(),
            timers_started: 0,
        }
    }

    /// Hands an event to the dispatcher; returns its actions.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Err(broken_rule) = self.checker.check(self.now, action) {
                panic!("{broken_rule}: {action:?}");
            }
            match action {
                Action::Timer { after, token } => {
                    self.timers_started += 1;
                    let fires_at = self.now + (*after).max(1);
                    self.timers.insert((fires_at, self.timers_started), *token);
                }
                Action::Probe { worker } => self.probes.push(worker.0.to_string()),
                _ => {}
            }
        }
        self.trace.extend(actions.iter().cloned());
        actions
    }

    /// Updates the endpoint list.
    pub fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: &[Endpoint<'_>]) -> Vec<Action> {
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot) {
            for (name, worker) in &mut self.checker.workers {
                if !endpoints.iter().any(|endpoint| endpoint.worker == name) {
                    worker.state = WorkerState::Removed;
                }
            }
        }
        for endpoint in endpoints {
            let worker = KnownWorker {
                state: endpoint.state,
                zone: endpoint.zone,
                cell: endpoint.cell,
                started_at: endpoint.started_at,
            };
            self.checker.workers.insert(endpoint.worker.to_owned(), worker);
        }
        self.handle(Event::EndpointsChanged { update, endpoints })
    }

    /// Lists so many ready workers, named `w0` and on.
    pub fn list_ready_workers(&mut self, count: usize) {
        let names: Vec<String> = (0..count).map(|number| format!("w{number}")).collect();
        let endpoints: Vec<Endpoint<'_>> =
            names.iter().map(|name| Endpoint::new(name, WorkerState::Ready)).collect();
        self.update_endpoints(EndpointUpdate::Snapshot, &endpoints);
    }

    /// Submits a request.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        let open = OpenRequest {
            class: request.class as usize,
            deadline: self.now + request.time_left,
            closed: false,
            attempts: Vec::new(),
        };
        self.checker.requests.insert(request.id.0, open);
        self.handle(Event::RequestArrived(request))
    }

    /// Ends an attempt of a request; `Ok` closes the request.
    pub fn end_attempt(&mut self, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let request = self.checker.requests.get_mut(&id).expect("known request");
        let sent_at = request.attempts[attempt as usize].sent_at;
        request.attempts[attempt as usize].outcome = Some(outcome);
        let closed = request.closed || outcome == Outcome::Ok;
        request.closed = closed;
        let elapsed = self.now - sent_at;
        let id = RequestId(id);
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            request_closed: closed,
            elapsed,
            report: None,
        })
    }

    /// Answers all probes in flight, with each worker's report.
    pub fn answer_probes(&mut self, report: impl Fn(&str) -> LoadReport) {
        for worker in std::mem::take(&mut self.probes) {
            let report = Some(report(&worker));
            self.handle(Event::ProbeEnded { worker: &worker, outcome: Outcome::Ok, elapsed: MS, report });
        }
    }

    /// Lets time pass: timers fire, and if asked for probes are answered idle at once; nothing else
    /// happens.
    pub fn advance(&mut self, duration: Nanos, answers_probes: bool) {
        let until = self.now + duration;
        loop {
            if answers_probes {
                while let Some(worker) = self.probes.pop() {
                    let report = Some(LoadReport { free_slots: Some(4.0), ..LoadReport::default() });
                    let outcome = Outcome::Ok;
                    self.handle(Event::ProbeEnded { worker: &worker, outcome, elapsed: MS, report });
                }
            }
            let next = self.timers.first_key_value().filter(|((fires_at, _), _)| *fires_at <= until);
            let Some((&(fires_at, number), &token)) = next else { break };
            self.timers.remove(&(fires_at, number));
            self.now = fires_at;
            self.handle(Event::TimerFired(token));
        }
        self.now = until;
    }

    /// The workers that a request's attempts were sent to, in the order of sends.
    pub fn workers_of(&self, id: u64) -> Vec<String> {
        self.checker.requests[&id].attempts.iter().map(|attempt| attempt.worker.clone()).collect()
    }
}
