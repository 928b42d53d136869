//! Lease renewals, which also ask a worker what runs there and what ended.
use super::Scheduler;
use crate::config::Now;
use crate::ids::WorkerIndex;
use crate::protocol::{WorkerRequest, WorkerResponse};
use crate::renewal::{RenewalBudget, RenewalClass, RenewalPace};
use crate::workers::WorkerLease;

/// How long a renewal may take beyond the time that it waits at the worker, milliseconds.
pub(super) const RENEWAL_TIMEOUT_MS: u64 = 400;
/// The same while many renewals have no response, milliseconds; at least the time-out of a call that
/// need not wait.
const LOSSY_RENEWAL_TIMEOUT_MS: u64 = 80;
/// The lease on all that runs on a worker, milliseconds: what is cut off is known to be over after
/// this.
const LEASE_MS: u64 = 4_000;
/// Between two calls to a worker that does not respond or rejects the renewal, milliseconds.
const RENEWAL_RETRY_MS: u64 = 400;

impl Scheduler {
    /// Sends the renewals that are due, as far as calls may be in flight.
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
                // Its due time is set again when the platform lists it.
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

    /// Whether many renewals have no response for another reason than that this process is slow: then
    /// more of them would make it slower.
    fn has_lossy_renewals(&self) -> bool {
        self.renewals.is_lossy() && !self.throttle.is_process_slow()
    }

    /// Changes a worker's renewal; the only way to do so, as the schedule must know when it is due.
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

    /// The pace for the workers as they are.
    fn renewal_pace(&self) -> RenewalPace {
        let (mut busy, mut idle) = (0, 0);
        for worker in self.workers.iter().filter(|worker| worker.is_callable()) {
            if worker.allocation.is_empty() { idle += 1 } else { busy += 1 }
        }
        RenewalPace::new(busy, idle, self.has_lossy_renewals())
    }

    fn send_renewal(&mut self, now_ms: u64, index: WorkerIndex, wait_ms: u64) {
        let request = self.renewal_request(now_ms, index, wait_ms);
        let serial = self.renewals.serial();
        self.change_renewal(index, |lease| lease.mark_renewal_sent(serial));
        let timeout_ms = if self.has_lossy_renewals() {
            LOSSY_RENEWAL_TIMEOUT_MS.max(self.call_timeout_ms(index))
        } else {
            RENEWAL_TIMEOUT_MS
        };
        self.calls.send(&self.workers[index], request, wait_ms + timeout_ms);
    }

    /// Asks a worker what runs there, beside its scheduled renewals and without waiting for an end.
    pub(super) fn query_runs(&mut self, now_ms: u64, index: WorkerIndex) {
        let request = self.renewal_request(now_ms, index, 0);
        let timeout_ms = self.call_timeout_ms(index);
        self.calls.send(&self.workers[index], request, timeout_ms);
    }

    /// Does not extend the lease of a worker that does not respond: what runs there could go on for
    /// as long as it is asked.
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

    /// Has a worker on which something was started asked now rather than when its idle time is
    /// over.
    pub(super) fn renew_soon(&mut self, now_ms: u64, index: WorkerIndex) {
        self.change_renewal(index, |lease| lease.renew_soon(now_ms));
    }

    /// A renewal or query has its result.
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
