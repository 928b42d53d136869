//! When a pending job draws candidates, probes them and waits.

use super::Dispatcher;
use super::selection::Eligible;
use crate::api::{Action, LoadReporting, MILLISECOND, Nanos, PriorAttempt, Request};
use crate::state::{Attempt, AttemptState, Job, JobNumber, Phase, TimerPurpose, TimerToken, WorkerIndex};
use spanlead_expander_walk::uniform_unit;
use std::cmp::Ordering;

/// How long a job waits when no worker is eligible.
const NO_CANDIDATE_WAIT: Nanos = 50 * MILLISECOND;

/// How long a job waits after its first round. It doubles with each round.
const FIRST_ROUND_WAIT: Nanos = 40 * MILLISECOND;

/// That time doubles at most this often.
const MAX_WAIT_DOUBLINGS: u32 = 4;

/// The fraction of a request's value that may be spent on its probes.
const PROBE_SPENDING: f64 = 0.01;

/// Keeps a division by a price of 0 finite.
const MIN_PROBE_PRICE: f64 = 1e-9;

/// Probes are sent if at least this many can be paid for.
const MIN_PROBES: f64 = 2.0;

/// The order in which candidates are probed: those that did not just report first, then by own
/// slots in flight, then by cost.
///
/// Probing the workers that reported last would ask busy workers again and again, while a free slot
/// elsewhere stays unknown.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct ProbeRank {
    is_freshly_reported: bool,
    own_slots: f64,
    cost: f64,
}

impl Dispatcher {
    /// Accepts a request, perhaps one that another process of this dispatcher has begun.
    pub(super) fn accept_request(
        &mut self,
        now: Nanos,
        request: Request,
        prior_attempts: &[PriorAttempt],
        actions: &mut Vec<Action>,
    ) {
        let number = self.jobs.number_for(request.id);
        self.record_arrival(&request);
        let attempts = self.adopt_attempts(now, &request, prior_attempts);
        let is_in_flight = attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight);
        let job = Job {
            arrived_at: now,
            deadline: now + request.time_left,
            max_attempts: self.settings.limits.max_attempts as usize,
            phase: if is_in_flight { Phase::Sent } else { Phase::Pending },
            is_streaming: false,
            attempts,
            candidates: Vec::new(),
            round_started_at: now,
            rounds: 0,
            binding_scheduled: false,
            request,
        };
        self.jobs.insert(number, job);
        if !is_in_flight {
            self.begin_round(now, number, actions);
        }
    }

    fn record_arrival(&mut self, request: &Request) {
        let class = request.class as usize;
        let deadline = self.settings.classes[class].deadline;
        let statistics = &mut self.classes[class];
        statistics.longest_time_left = statistics.longest_time_left.max(request.time_left).min(deadline);
        self.limiter.record_arrival(self.request_group(request));
        self.retry_budget.record_request();
    }

    /// Takes over the attempts at known workers that another process made.
    fn adopt_attempts(
        &mut self,
        now: Nanos,
        request: &Request,
        prior_attempts: &[PriorAttempt],
    ) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        for prior in prior_attempts {
            let Some(worker) = self.fleet.find(&prior.worker.0) else { continue };
            let state = match prior.may_have_run {
                None => AttemptState::InFlight,
                Some(true) => AttemptState::MayHaveRan,
                Some(false) => AttemptState::NeverRan,
            };
            if state == AttemptState::InFlight {
                self.fleet.add_own_slots(worker, now, request.slots);
            }
            attempts.push(Attempt {
                worker,
                sent_at: prior.sent_at,
                state,
                has_started: true,
                first_progress_at: Some(now),
                fetches_key: false,
                is_top_priority: false,
            });
        }
        attempts
    }

    /// Begins a round of a pending job: draws candidates, then sends at once or waits for their
    /// probes.
    pub(super) fn begin_round(&mut self, now: Nanos, number: JobNumber, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(number) else { return };
        let machine_kind = self.settings.classes[job.request.class as usize].machine_kind;
        let is_too_late = now >= job.latest_answer_at(self.settings.tick);
        let is_exhausted = job.attempts.len() >= job.max_attempts;
        if is_too_late || is_exhausted || self.is_too_large(job, machine_kind) {
            return self.give_up(number, actions);
        }
        let graph = self.fleet.graph_for(machine_kind);
        let drawn = self.draw_candidates(now, number, graph);
        self.observe_capacity(now, &drawn);
        if self.is_shed(number) {
            return self.give_up(number, actions);
        }
        if drawn.is_empty() {
            return self.wait(now, number, NO_CANDIDATE_WAIT, actions);
        }
        if let Some(job) = self.jobs.get_mut(number) {
            job.add_candidates(&drawn);
        }
        self.bind_or_probe(now, number, drawn, actions);
    }

    /// Whether load shedding rejects a job, by chance, in its first round; any other job stays
    /// admitted.
    fn is_shed(&mut self, number: JobNumber) -> bool {
        let Some(job) = self.jobs.get(number) else { return false };
        if job.rounds > 0 || !job.attempts.is_empty() {
            return false;
        }
        uniform_unit(&mut self.rng) > self.admitted_fraction(&job.request)
    }

    /// Sends a job to one of its candidates, or probes those just drawn.
    fn bind_or_probe(
        &mut self,
        now: Nanos,
        number: JobNumber,
        drawn: Vec<WorkerIndex>,
        actions: &mut Vec<Action>,
    ) {
        let affordable_probes = PROBE_SPENDING / self.settings.prices.probe.max(MIN_PROBE_PRICE);
        let can_learn =
            self.settings.limits.can_probe && self.settings.load_reporting != LoadReporting::Disabled;
        let uses_probes = can_learn && affordable_probes >= MIN_PROBES;
        let eligible = if uses_probes { Eligible::FreshlyReported } else { Eligible::All };
        if self.bind(now, number, eligible, actions) {
            return;
        }
        if uses_probes {
            self.probe(now, drawn, affordable_probes as usize, actions);
        }
        self.wait_for_next_round(now, number, actions);
    }

    /// Probes workers in the order of their rank, `max_probes` at most; those with a probe in
    /// flight are not probed again.
    fn probe(
        &mut self,
        now: Nanos,
        mut drawn: Vec<WorkerIndex>,
        max_probes: usize,
        actions: &mut Vec<Action>,
    ) {
        let rank = |index: &WorkerIndex| {
            let worker = self.fleet.worker(*index);
            ProbeRank {
                is_freshly_reported: self.is_freshly_reported(worker, now),
                own_slots: worker.own_load.slots,
                cost: self.cost(worker, now),
            }
        };
        drawn.sort_by(|a, b| rank(a).partial_cmp(&rank(b)).unwrap_or(Ordering::Equal));
        for index in drawn.into_iter().take(max_probes) {
            let worker = self.fleet.worker_mut(index);
            if !worker.probe.is_in_flight {
                worker.probe.is_in_flight = true;
                actions.push(Action::Probe { worker: worker.id.clone() });
            }
        }
    }

    /// Ends a round; the next one begins later each time.
    fn wait_for_next_round(&mut self, now: Nanos, number: JobNumber, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(number) else { return };
        job.round_started_at = now;
        let duration = FIRST_ROUND_WAIT << job.rounds.min(MAX_WAIT_DOUBLINGS);
        job.rounds += 1;
        self.wait(now, number, duration, actions);
    }

    /// Makes a job pending until its next round.
    fn wait(&mut self, now: Nanos, number: JobNumber, duration: Nanos, actions: &mut Vec<Action>) {
        self.jobs.mark_pending(number);
        let Some(job) = self.jobs.get(number) else { return };
        let time_left = job.latest_answer_at(self.settings.tick).saturating_sub(now);
        let token = TimerToken::of_job(TimerPurpose::NextRound, number).encode();
        actions.push(Action::Timer { after: duration.min(time_left), token });
    }

    /// Begins a pending job's next round, or gives it up.
    pub(super) fn begin_next_round(&mut self, now: Nanos, number: JobNumber, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_pending(number) else { return };
        if self.has_waited_in_vain(now, job) {
            return self.give_up(number, actions);
        }
        self.begin_round(now, number, actions);
    }
}
