//! A test harness that drives one dispatcher on a simulated clock.

use super::checker::{Checker, KnownWorker, SubmittedRequest};
use super::{MS, SEC};
use spanlead_balancing_policy::{
    Action, Dispatcher, Endpoint, EndpointUpdate, Event, LoadReport, Nanos, Outcome, Request, RequestId,
    Settings, WorkerState,
};
use std::collections::BTreeMap;

/// The time at which the clock of each harness starts.
const START: Nanos = 1_000 * SEC;

/// A request of the first class with one slot, and `time_left` until its deadline.
pub fn request(id: u64, time_left: Nanos) -> Request {
    Request::new(RequestId(id), 0, time_left)
}

/// Returns whether one of the actions rejects a request.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// Returns whether one of the actions fails a request.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// A dispatcher with its simulated clock, its timers and a checker that verifies each action.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub checker: Checker,
    pub now: Nanos,
    /// The tokens of the pending timers, by the time at which they fire and the order of their
    /// start.
    pub timers: BTreeMap<(Nanos, u64), u64>,
    /// Workers with a probe in flight.
    pub probes: Vec<String>,
    /// All actions so far, in order.
    pub trace: Vec<Action>,
    timers_started: u64,
}

impl Harness {
    /// Creates a harness whose dispatcher knows no workers; `seed` seeds the dispatcher.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Harness {
            dispatcher: Dispatcher::new(settings.clone(), seed).expect("valid settings"),
            checker: Checker::new(settings),
            now: START,
            timers: BTreeMap::new(),
            probes: Vec::new(),
            trace: Vec::new(),
            timers_started: 0,
        }
    }

    /// Passes an event to the dispatcher at the present time and returns the resulting actions.
    ///
    /// # Panics
    /// If an action violates a rule or limit that the checker knows.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Err(violation) = self.checker.check(self.now, action) {
                panic!("{violation}: {action:?}");
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

    /// Updates the endpoint list at the checker and at the dispatcher.
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

    /// Sends a snapshot of `count` ready workers, named `w0`, `w1` and so on.
    pub fn list_ready_workers(&mut self, count: usize) {
        let names: Vec<String> = (0..count).map(|number| format!("w{number}")).collect();
        let endpoints: Vec<Endpoint<'_>> =
            names.iter().map(|name| Endpoint::new(name, WorkerState::Ready)).collect();
        self.update_endpoints(EndpointUpdate::Snapshot, &endpoints);
    }

    /// Submits a request and returns the resulting actions.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        let submitted = SubmittedRequest {
            class: request.class as usize,
            deadline: self.now + request.time_left,
            closed: false,
            attempts: Vec::new(),
        };
        self.checker.requests.insert(request.id.0, submitted);
        self.handle(Event::RequestArrived(request))
    }

    /// Ends an attempt of a request and returns the resulting actions. `Outcome::Ok` closes the
    /// request.
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

    /// Ends all probes in flight successfully, each with the load report that `report` returns for
    /// its worker.
    pub fn answer_probes(&mut self, report: impl Fn(&str) -> LoadReport) {
        for worker in std::mem::take(&mut self.probes) {
            let report = Some(report(&worker));
            self.handle(Event::ProbeEnded { worker: &worker, outcome: Outcome::Ok, elapsed: MS, report });
        }
    }

    /// Advances the clock by `duration` and fires the timers that are due. With `answers_probes`,
    /// each probe ends at once with a report of four free slots; otherwise probes stay in flight.
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

    /// Returns the workers to which a request's attempts were sent, in the order of sends.
    pub fn workers_of(&self, id: u64) -> Vec<String> {
        self.checker.requests[&id].attempts.iter().map(|attempt| attempt.worker.clone()).collect()
    }
}
