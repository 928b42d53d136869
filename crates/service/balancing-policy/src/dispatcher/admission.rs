//! The admission of requests, and the final answer to those that are given up.

use super::Dispatcher;
use super::permit::may_reject;
use crate::admission_limiter::GroupStatistics;
use crate::api::{Action, MILLISECOND, Nanos, Request};
use crate::state::{Job, JobNumber};

/// The retry delay in a rejection, unless clients follow only shorter delays.
const RETRY_AFTER: Nanos = 300 * MILLISECOND;

/// The lower bound of the fraction of its value with which a late request counts in admission. It
/// prevents the starvation of late requests.
const MIN_LATE_VALUE_FRACTION: f64 = 0.01;

/// A job may wait for at least its latency target divided by this number.
const MIN_WAIT_DIVISOR: Nanos = 4;

/// The number of request groups of a class: the requests that can still be answered in time, and
/// those that cannot.
const GROUPS_PER_CLASS: usize = 2;

impl Dispatcher {
    /// Returns the request group under which the admission limiter counts a request.
    pub(super) fn request_group(&self, request: &Request) -> usize {
        let is_late = self.slack(request) == 0;
        GROUPS_PER_CLASS * request.class as usize + usize::from(is_late)
    }

    /// Returns the fraction of the new requests in this request's group that is admitted.
    pub(super) fn admitted_fraction(&self, request: &Request) -> f64 {
        let group = self.request_group(request);
        self.limiter.admitted_fraction(group, |group| self.group_statistics(group))
    }

    fn group_statistics(&self, group: usize) -> GroupStatistics {
        let class_number = group / GROUPS_PER_CLASS;
        let is_late = group % GROUPS_PER_CLASS == 1;
        let class = &self.settings.classes[class_number];
        let run_time = self.classes[class_number].known_run_time();
        let value_fraction =
            if is_late { class.late_value_fraction.max(MIN_LATE_VALUE_FRACTION) } else { 1.0 };
        let value = class.value * value_fraction;
        let value_rate = if self.settings.value_by_work { value } else { value / run_time };
        GroupStatistics { value_rate, run_time }
    }

    /// Returns the time for which a request may still wait for its start and be answered within its
    /// latency target, at the class's typical running time, in nanoseconds.
    ///
    /// When a client retries, the new request arrives with the rest of the time that the original
    /// request had. The latency target is counted from the arrival of the original request, so the
    /// time used up since then is subtracted.
    pub(super) fn slack(&self, request: &Request) -> Nanos {
        let class = &self.settings.classes[request.class as usize];
        let statistics = &self.classes[request.class as usize];
        let expected_work = request.expected_work.map_or(1.0, |work| work as f64);
        let run_time = statistics.typical_run_time() * expected_work;
        let latency_target = class.latency_target as f64;
        let total = (latency_target + (class.latency_target_stretch - 1.0) * run_time)
            .max(latency_target / MIN_WAIT_DIVISOR as f64) as Nanos;
        let waited = statistics.longest_time_left.saturating_sub(request.time_left);
        total.saturating_sub(waited)
    }

    /// Returns whether a pending job has waited for its slack (or the minimum wait, if longer)
    /// without finding room. The fleet is then overloaded, and joining a queue would make this job
    /// late and the following jobs too.
    pub(super) fn has_exceeded_max_wait(&self, now: Nanos, job: &Job) -> bool {
        let latency_target = self.settings.classes[job.request.class as usize].latency_target;
        let longest_wait = self.slack(&job.request).max(latency_target / MIN_WAIT_DIVISOR);
        now >= job.arrived_at + longest_wait
    }

    /// Returns whether every ready worker of the machine kind has reported its free memory since it
    /// started, and none of these reports contained as much as the job needs. Such a job would
    /// never find room, and each worker that rejects it would count as full for a while.
    pub(super) fn is_too_large(&self, job: &Job, machine_kind: Option<u32>) -> bool {
        let memory = job.request.memory;
        let mut ready = self
            .fleet
            .ready_workers()
            .filter(|worker| machine_kind.is_none_or(|kind| kind == worker.machine_kind))
            .peekable();
        memory > 0.0
            && ready.peek().is_some()
            && !ready.any(|worker| worker.reported.max_free_memory.is_none_or(|max| memory <= max))
    }

    /// Gives up further attempts. Answers with a rejection if the client may safely retry, else
    /// with a failure; if an attempt is in flight, its end decides the answer instead.
    pub(super) fn give_up(&mut self, number: JobNumber, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(number) else { return };
        if job.has_attempt_in_flight() {
            return self.jobs.mark_sent(number);
        }
        let id = job.request.id;
        if may_reject(job, &self.settings) {
            let limits = &self.settings.limits;
            let advice = limits.max_retry_after.min(RETRY_AFTER);
            let retry_after = limits.can_send_retry_after.then_some(advice);
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.jobs.close(number);
    }
}
