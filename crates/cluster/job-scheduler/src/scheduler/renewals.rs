//! Lease renewals, in response to which a worker also reports its active runs and run ends.
use super::Scheduler;
use crate::config::Now;
use crate::ids::WorkerIndex;
use crate::protocol::{WorkerRequest, WorkerResponse};
use crate::renewal::{RenewalBudget, RenewalClass, RenewalPace};
use crate::workers::WorkerLease;

/// The time-out of a renewal beyond the time that the worker may delay the response, milliseconds.
pub(super) const RENEWAL_TIMEOUT_MS: u64 = 400;
/// The minimum of that time-out while many renewals have no response, milliseconds. The time-out of
/// calls that the worker answers at once applies if it is longer.
const LOSSY_RENEWAL_TIMEOUT_MS: u64 = 80;
/// The duration of the lease on all runs of a worker, milliseconds. The runs on an unreachable
/// worker are known to be over after that time and a margin for clock drift.
const LEASE_MS: u64 = 4_000;
/// The interval between two renewals of a worker that is unreachable or rejects them, milliseconds.
const RENEWAL_RETRY_MS: u64 = 400;

impl Scheduler {
    /// Sends the due renewals, as far as the limits on calls in flight allow.
    pub(super) fn send_due_renewals(&mut self, now_ms: u64) {
        if !self.renewals.begin_check(now_ms, self.workers.len()) {
            return;
        }
        if self.renewals.begin_pacing(now_ms) {
            let pace = self.renewal_pace();
            self.renewals.set_pace(pace);
        }
        let pace = self.renewals.pace();
        let budget = RenewalBudget::new(self.calls.max_concurrent());
        let mut first_skipped = None;
        for index in self.renewals.due_workers(now_ms) {
            let worker = &self.workers[index];
            if !worker.is_callable() {
                // The due time is set again when the platform lists the worker.
                self.renewals.set_due(index, None);
                continue;
            }
            let class = RenewalClass::of(worker);
            if self.calls.in_flight() >= budget.max_calls(class) {
                first_skipped = first_skipped.or(Some(index));
                continue;
            }
            self.send_renewal(now_ms, index, pace.wait_ms(class));
        }
        self.renewals.finish_check(first_skipped);
    }

    /// Whether many renewals have no response although this process is not slow. A slow process
    /// must not renew more often, which would make it slower.
    fn has_lossy_renewals(&self) -> bool {
        self.renewals.is_lossy() && !self.throttle.is_process_slow()
    }

    /// Changes a worker's lease and updates the due time of its renewal in the schedule. All
    /// changes of a renewal go through this function, so that lease and schedule agree.
    pub(super) fn change_renewal<R>(
        &mut self,
        index: WorkerIndex,
        change: impl FnOnce(&mut WorkerLease) -> R,
    ) -> R {
        let lease = &mut self.workers[index].lease;
        let result = change(lease);
        self.renewals.set_due(index, lease.next_renewal_at_ms());
        result
    }

    /// The pace of renewals for the current numbers of busy and idle workers.
    fn renewal_pace(&self) -> RenewalPace {
        let (mut busy, mut idle) = (0, 0);
        for worker in self.workers.iter().filter(|worker| worker.is_callable()) {
            if worker.allocation.is_empty() { idle += 1 } else { busy += 1 }
        }
        RenewalPace::new(busy, idle, self.has_lossy_renewals())
    }

    /// Sends a scheduled renewal, whose response the worker may delay by `wait_ms`.
    fn send_renewal(&mut self, now_ms: u64, index: WorkerIndex, wait_ms: u64) {
        let request = self.renewal_request(now_ms, index, wait_ms);
        let serial = self.renewals.serial();
        self.change_renewal(index, |lease| lease.mark_renewal_sent(serial));
        let timeout_ms = if self.has_lossy_renewals() {
            LOSSY_RENEWAL_TIMEOUT_MS.max(self.call_timeout_ms(index))
        } else {
            RENEWAL_TIMEOUT_MS
        };
        self.calls.enqueue(&self.workers[index], request, wait_ms + timeout_ms);
    }

    /// Queries a worker's active runs outside the schedule of renewals. The worker answers at once
    /// rather than when a run ends.
    pub(super) fn query_runs(&mut self, now_ms: u64, index: WorkerIndex) {
        let request = self.renewal_request(now_ms, index, 0);
        let timeout_ms = self.call_timeout_ms(index);
        self.calls.enqueue(&self.workers[index], request, timeout_ms);
    }

    /// Creates a renewal request. It does not extend the lease of an unresponsive worker: otherwise
    /// the lease would never expire while renewals are sent.
    fn renewal_request(&mut self, now_ms: u64, index: WorkerIndex, wait_ms: u64) -> WorkerRequest {
        let serial = self.renewals.next_serial();
        let lease_ms = self.config.max_lease_ms.min(LEASE_MS);
        let worker = &mut self.workers[index];
        let lease_expires_at_ms = if worker.is_responsive() {
            worker.lease.clock_mut().grant_lease(now_ms, lease_ms)
        } else {
            None
        };
        let acknowledged_end = worker.lease.acknowledged_end();
        WorkerRequest::RenewLease { serial, lease_expires_at_ms, acknowledged_end, wait_ms }
    }

    /// Makes the next renewal of a worker due now: for an idle worker that was just sent a start it
    /// would otherwise be due much later.
    pub(super) fn renew_soon(&mut self, now_ms: u64, index: WorkerIndex) {
        self.change_renewal(index, |lease| lease.renew_soon(now_ms));
    }

    /// Handles the result of a renewal or query: schedules the next renewal, and processes the
    /// report.
    pub(super) fn handle_renewal_response(
        &mut self,
        now: Now,
        index: WorkerIndex,
        serial: u64,
        response: &WorkerResponse,
    ) {
        if self.change_renewal(index, |lease| lease.complete_renewal(serial)) {
            let worker = &self.workers[index];
            if worker.is_reachable() && !self.throttle.is_process_slow() {
                self.renewals.record_result(*response != WorkerResponse::NoResponse);
            }
            let pause_ms = match response {
                WorkerResponse::Report(_) if worker.allocation.is_empty() => self.renewals.idle_pause_ms(),
                WorkerResponse::Report(_) => 0,
                WorkerResponse::NoResponse if worker.is_reachable() => 0,
                _ => RENEWAL_RETRY_MS,
            };
            self.change_renewal(index, |lease| lease.schedule_renewal(now.monotonic_ms + pause_ms));
        }
        if let WorkerResponse::Report(report) = response {
            self.handle_report(now, index, serial, report);
        }
    }
}
