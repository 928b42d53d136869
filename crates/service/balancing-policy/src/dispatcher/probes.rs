//! The results of probes, and the binding of the pending jobs that wait for them.

use super::Dispatcher;
use super::outlier_detection::CONNECTION_EJECTION;
use super::selection::CandidateFilter;
use crate::api::{Action, LoadReport, Nanos, Outcome};
use crate::state::{JobNumber, TimerPurpose, TimerToken, WorkerIndex};
use spanlead_expander_walk::uniform_unit;

/// The share of workers with a free slot, among those whose reports are observed, at which the
/// admitted fraction is stable.
pub(super) const FREE_SLOT_TARGET: f64 = 0.15;

/// The least number of reported free slots that counts as a free slot.
const MIN_FREE_SLOTS: f64 = 0.5;

/// The factor on the confidence for a served attempt.
const CONFIDENCE_GAIN: f64 = 1.1;

/// The factor on the confidence for a rejected attempt.
const CONFIDENCE_LOSS: f64 = 0.8;

/// The lower bound of the confidence.
const MIN_CONFIDENCE: f64 = 0.1;

/// The probability with which a job is bound to a worker whose probe reported a free slot. Other
/// dispatchers see the same free slot, so a dispatcher that is often rejected uses only some of
/// them.
pub(super) struct ProbeConfidence(f64);

impl Default for ProbeConfidence {
    /// Creates a confidence of 1: every probed free slot is used.
    fn default() -> Self {
        ProbeConfidence(1.0)
    }
}

impl ProbeConfidence {
    /// Raises the confidence for a served attempt. The confidence does not depend on the number of
    /// sends: when the fleet is full, most of them are rejected, whatever its capacity.
    pub(super) fn record_served(&mut self) {
        self.0 = (self.0 * CONFIDENCE_GAIN).min(1.0);
    }

    /// Lowers the confidence for a rejected attempt.
    pub(super) fn record_rejection(&mut self) {
        self.0 = (self.0 * CONFIDENCE_LOSS).max(MIN_CONFIDENCE);
    }
}

impl Dispatcher {
    /// Handles the end of a probe.
    pub(super) fn end_probe(
        &mut self,
        now: Nanos,
        worker: &str,
        outcome: Outcome,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.fleet.find(worker) else { return };
        self.fleet.worker_mut(index).probe.is_in_flight = false;
        self.fleet.record_report(index, now, report);
        if outcome == Outcome::ConnectFailed || outcome == Outcome::Error {
            self.record_failure(index, now, CONNECTION_EJECTION);
        }
        if outcome != Outcome::Ok {
            return;
        }
        if let Some(free) = report.and_then(|report| report.free_slots) {
            self.limiter.record_capacity_signal(free >= MIN_FREE_SLOTS, FREE_SLOT_TARGET);
        }
        self.fleet.worker_mut(index).probe.succeeded_at = Some(now);
        self.schedule_bindings(now, index, actions);
    }

    /// Schedules the binding of the pending jobs that have a probed worker as a candidate and room
    /// there.
    ///
    /// The results of probes that were sent together arrive within one tick, so the jobs are bound
    /// on the next tick, when all results are known.
    fn schedule_bindings(&mut self, now: Nanos, worker: WorkerIndex, actions: &mut Vec<Action>) {
        let pending = self.jobs.pending().iter().copied();
        let ready: Vec<JobNumber> =
            pending.filter(|number| self.is_waiting_for(now, *number, worker)).collect();
        for number in ready {
            if let Some(job) = self.jobs.get_mut(number) {
                job.binding_scheduled = true;
            }
            let token = TimerToken::of_job(TimerPurpose::BindToProbed, number).encode();
            actions.push(Action::Timer { after: 0, token });
        }
    }

    fn is_waiting_for(&self, now: Nanos, number: JobNumber, worker: WorkerIndex) -> bool {
        let Some(job) = self.jobs.get(number) else { return false };
        !job.binding_scheduled
            && job.candidates.contains(&worker)
            && self.room_test(job.request.slots, 0, now).passes(self.fleet.worker(worker))
    }

    /// Binds a pending job after a probe reported room, with the probability of the confidence.
    pub(super) fn bind_after_probe(&mut self, now: Nanos, number: JobNumber, actions: &mut Vec<Action>) {
        if self.jobs.get_pending(number).is_none() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(number) {
            job.binding_scheduled = false;
        }
        if uniform_unit(&mut self.rng) < self.probe_confidence.0 {
            self.bind(now, number, CandidateFilter::FreshlyReportedOrProbed, actions);
        }
    }

    /// Records the fresh reports of drawn workers as signals of free capacity. The walkers'
    /// positions are an unbiased sample of the fleet; recently used workers are not and are
    /// skipped.
    pub(super) fn observe_capacity(&mut self, now: Nanos, drawn: &[WorkerIndex]) {
        for &index in drawn {
            let worker = self.fleet.worker(index);
            if !self.is_freshly_reported(worker, now) || self.fleet.is_recently_used(index) {
                continue;
            }
            if let Some(free) = worker.reported.last.free_slots {
                self.limiter.record_capacity_signal(free >= MIN_FREE_SLOTS, FREE_SLOT_TARGET);
            }
        }
    }
}
