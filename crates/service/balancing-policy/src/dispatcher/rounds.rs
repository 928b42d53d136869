//! The rounds of a pending job: in each it draws candidates, probes them and waits.

use super::Dispatcher;
use super::selection::CandidateFilter;
use crate::api::{Action, LoadReporting, MILLISECOND, Nanos, PriorAttempt, Request};
use crate::state::{Attempt, AttemptState, Job, JobNumber, Phase, TimerPurpose, TimerToken, WorkerIndex};
use spanlead_expander_walk::uniform_unit;
use std::cmp::Ordering;

/// The time for which a job waits when no worker is eligible.
const NO_CANDIDATE_WAIT: Nanos = 50 * MILLISECOND;

/// The time for which a job waits after its first round. It doubles with each round.
const FIRST_ROUND_WAIT: Nanos = 40 * MILLISECOND;

/// The maximum number of doublings of [`FIRST_ROUND_WAIT`].
const MAX_WAIT_DOUBLINGS: u32 = 4;

/// The fraction of a request's value that may be spent on the probes of a round.
const MAX_PROBE_SPENDING: f64 = 0.01;

/// The lower bound of the price of a probe, which prevents a division by 0.
const MIN_PROBE_PRICE: f64 = 1e-9;

/// Probes are sent only if at least this many are affordable.
const MIN_PROBES: f64 = 2.0;

/// The order in which candidates are probed: first those without a fresh report, then by own slots
/// in flight, then by cost.
///
/// Probing the workers that just reported would probe busy workers repeatedly, while a free slot at
/// another worker remains unknown.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct ProbeRank {
    is_freshly_reported: bool,
    own_slots: f64,
    cost: f64,
}

impl Dispatcher {
    /// Accepts a request. `prior_attempts` are the attempts that another process of this dispatcher
    /// made for it.
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
            probes_sent_at: now,
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

    /// Converts the attempts that another process made; attempts at unknown workers are skipped.
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
                Some(true) => AttemptState::MayHaveRun,
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
                needs_fetch: false,
                is_top_priority: false,
            });
        }
        attempts
    }

    /// Begins a round of a job: draws candidates, then sends the job at once or probes them and
    /// waits. Gives the job up if it is too late, out of attempts, too large for every worker or
    /// shed.
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
            return self.schedule_next_round(now, number, NO_CANDIDATE_WAIT, actions);
        }
        if let Some(job) = self.jobs.get_mut(number) {
            job.add_candidates(&drawn);
        }
        self.bind_or_probe(now, number, drawn, actions);
    }

    /// Decides at random whether load shedding rejects a job. Only a job in its first round that
    /// has no attempts can be shed.
    fn is_shed(&mut self, number: JobNumber) -> bool {
        let Some(job) = self.jobs.get(number) else { return false };
        if job.rounds > 0 || !job.attempts.is_empty() {
            return false;
        }
        uniform_unit(&mut self.rng) > self.admitted_fraction(&job.request)
    }

    /// Sends a job to one of its candidates, or probes those just drawn and ends the round.
    fn bind_or_probe(
        &mut self,
        now: Nanos,
        number: JobNumber,
        drawn: Vec<WorkerIndex>,
        actions: &mut Vec<Action>,
    ) {
        let affordable_probes = MAX_PROBE_SPENDING / self.settings.prices.probe.max(MIN_PROBE_PRICE);
        let can_learn =
            self.settings.limits.can_probe && self.settings.load_reporting != LoadReporting::Disabled;
        let uses_probes = can_learn && affordable_probes >= MIN_PROBES;
        let filter = if uses_probes { CandidateFilter::FreshlyReported } else { CandidateFilter::All };
        if self.bind(now, number, filter, actions) {
            return;
        }
        if uses_probes {
            self.probe(now, drawn, affordable_probes as usize, actions);
        }
        self.end_round(now, number, actions);
    }

    /// Probes the first `max_probes` of the drawn workers in the order of [`ProbeRank`], except
    /// those that already have a probe in flight.
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

    /// Ends a round. The wait for the next round grows with each round.
    fn end_round(&mut self, now: Nanos, number: JobNumber, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(number) else { return };
        job.probes_sent_at = now;
        let duration = FIRST_ROUND_WAIT << job.rounds.min(MAX_WAIT_DOUBLINGS);
        job.rounds += 1;
        self.schedule_next_round(now, number, duration, actions);
    }

    /// Makes a job pending and schedules its next round after `duration` nanoseconds, or at the
    /// job's latest answer time if that is earlier.
    fn schedule_next_round(
        &mut self,
        now: Nanos,
        number: JobNumber,
        duration: Nanos,
        actions: &mut Vec<Action>,
    ) {
        self.jobs.mark_pending(number);
        let Some(job) = self.jobs.get(number) else { return };
        let time_left = job.latest_answer_at(self.settings.tick).saturating_sub(now);
        let token = TimerToken::of_job(TimerPurpose::NextRound, number).encode();
        actions.push(Action::Timer { after: duration.min(time_left), token });
    }

    /// Begins a pending job's next round, or gives the job up if it has waited too long.
    pub(super) fn begin_next_round(&mut self, now: Nanos, number: JobNumber, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_pending(number) else { return };
        if self.has_exceeded_max_wait(now, job) {
            return self.give_up(number, actions);
        }
        self.begin_round(now, number, actions);
    }
}
