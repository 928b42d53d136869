//! A run of a task: a start whose end is not known yet.
use crate::ids::WorkerIndex;
use crate::protocol::RunningTask;
use compact_str::CompactString;

/// The largest number of times that the interval between two stop requests is doubled.
const MAX_STOP_DOUBLINGS: u32 = 4;

/// What is known about the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The run is recorded; the start is sent once the record is durable.
    Recorded,
    /// The start was sent and no response has arrived yet.
    Sent,
    /// The run is known to have begun.
    Started,
    /// The worker may or may not have carried out the start.
    Unknown,
}

/// A run whose end is not known.
///
/// A report of the worker is evidence about the run only if it was requested after the run's last
/// known event. Requests carry ascending serial numbers, and the run keeps the serial number after
/// which reports are evidence.
///
/// Times are monotonic milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    number: u32,
    worker: WorkerIndex,
    phase: RunPhase,
    /// The serial number at which the start or stop was acknowledged. A report with a higher one
    /// shows whether the worker has the run.
    acknowledged_at_serial: Option<u64>,
    /// The serial number at which the start timed out. A report with a higher one shows whether it
    /// was carried out.
    timed_out_at_serial: Option<u64>,
    /// When the start was sent; before that, when the run was assigned or restored.
    sent_at_ms: u64,
    started_at_ms: u64,
    /// The highest progress reported, 0 to 100.
    progress_percent: f64,
    /// When the progress last rose.
    progressed_at_ms: u64,
    /// When the worker last reported the run.
    reported_at_ms: u64,
    checkpoint: CompactString,
    /// Whether its running time has been sampled for the worker's speed.
    is_sampled: bool,
    /// Whether it takes much longer on its worker than it would elsewhere.
    is_slow: bool,
    is_stopping: bool,
    stop_sent_at_ms: u64,
    /// The number of times that the interval between two stop requests was doubled.
    stop_doublings: u32,
}

impl Run {
    /// Creates a run that was just assigned or is being restored from its record.
    pub(crate) fn new(number: u32, worker: WorkerIndex, phase: RunPhase, now_ms: u64) -> Self {
        Run {
            number,
            worker,
            phase,
            acknowledged_at_serial: None,
            timed_out_at_serial: None,
            sent_at_ms: now_ms,
            started_at_ms: now_ms,
            progress_percent: 0.0,
            progressed_at_ms: now_ms,
            reported_at_ms: now_ms,
            checkpoint: CompactString::default(),
            is_sampled: false,
            is_slow: false,
            is_stopping: false,
            stop_sent_at_ms: 0,
            stop_doublings: 0,
        }
    }

    pub(crate) fn number(&self) -> u32 {
        self.number
    }

    pub(crate) fn worker(&self) -> WorkerIndex {
        self.worker
    }

    pub(crate) fn phase(&self) -> RunPhase {
        self.phase
    }

    pub(crate) fn progress_percent(&self) -> f64 {
        self.progress_percent
    }

    pub(crate) fn checkpoint(&self) -> &CompactString {
        &self.checkpoint
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.is_slow
    }

    pub(crate) fn mark_slow(&mut self) {
        self.is_slow = true;
    }

    /// Whether the run, regardless of the state of its worker, may not be running or is not
    /// expected to complete soon.
    pub(crate) fn is_in_doubt(&self) -> bool {
        self.phase == RunPhase::Unknown || self.is_slow || self.is_stopping
    }

    // The start.

    pub(crate) fn mark_sent(&mut self, now_ms: u64) {
        self.phase = RunPhase::Sent;
        self.sent_at_ms = now_ms;
    }

    /// The time since the start was sent, or since the run was assigned if it has not been sent
    /// yet, milliseconds.
    pub(crate) fn time_since_sent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.sent_at_ms)
    }

    /// Records that the start timed out at this serial number; `false` if it was not waiting for a
    /// response.
    pub(crate) fn mark_start_timed_out(&mut self, serial: u64) -> bool {
        if self.phase != RunPhase::Sent {
            return false;
        }
        self.phase = RunPhase::Unknown;
        self.timed_out_at_serial = Some(serial);
        true
    }

    /// Records that the worker acknowledged the start. Returns whether the start had timed out
    /// before.
    pub(crate) fn acknowledge_start(&mut self, now_ms: u64, serial: u64) -> bool {
        let had_timed_out = self.timed_out_at_serial.take().is_some();
        self.mark_started(now_ms);
        self.acknowledged_at_serial.get_or_insert(serial);
        had_timed_out
    }

    /// Marks the run as started; the first call sets its start time to `now_ms`.
    pub(crate) fn mark_started(&mut self, now_ms: u64) {
        if self.phase != RunPhase::Started {
            self.phase = RunPhase::Started;
            self.started_at_ms = now_ms;
            self.progressed_at_ms = now_ms;
        }
    }

    // Reports.

    /// Whether the start timed out before the request with this serial number, and is not resolved
    /// yet. The report then shows whether it was carried out, if it lists the run or all ends.
    pub(crate) fn has_timed_out_before(&self, serial: u64) -> bool {
        self.timed_out_at_serial.is_some_and(|timed_out_at| timed_out_at < serial)
    }

    /// Clears the time-out of the start, since a report showed whether it was carried out.
    pub(crate) fn resolve_timeout(&mut self) {
        self.timed_out_at_serial = None;
    }

    /// Records that reports with a higher serial number show whether the worker has the run;
    /// `false` if an earlier serial number is recorded already.
    pub(crate) fn acknowledge_at(&mut self, serial: u64) -> bool {
        let is_first = self.acknowledged_at_serial.is_none();
        self.acknowledged_at_serial.get_or_insert(serial);
        is_first
    }

    /// Whether a report with this serial number that does not list the run proves that the worker
    /// does not have it.
    pub(crate) fn is_observable_at(&self, serial: u64) -> bool {
        self.acknowledged_at_serial.is_some_and(|acknowledged_at| acknowledged_at < serial)
    }

    /// Whether the start may have been sent in an earlier term.
    pub(crate) fn may_be_of_earlier_term(&self, term_started_at_ms: u64) -> bool {
        self.phase == RunPhase::Unknown && self.sent_at_ms <= term_started_at_ms
    }

    /// Records a report of the worker that lists the run as running.
    pub(crate) fn record_report(&mut self, now_ms: u64, reported: &RunningTask) {
        self.mark_started(now_ms);
        if !reported.checkpoint.is_empty() {
            self.checkpoint.clone_from(&reported.checkpoint);
        }
        self.reported_at_ms = now_ms;
        if reported.progress_percent > self.progress_percent {
            self.progress_percent = reported.progress_percent;
            self.progressed_at_ms = now_ms;
        }
    }

    // Progress.

    /// Whether the run has made no progress for longer than `stall_timeout_ms`, and the worker
    /// still reported it more than half of that time after the last progress. A run of which
    /// nothing was reported since does not count as stalled: call time-outs and the expiry of
    /// leases apply to a worker that does not respond.
    pub(crate) fn is_stalled(&self, now_ms: u64, stall_timeout_ms: u64) -> bool {
        now_ms > self.progressed_at_ms + stall_timeout_ms
            && self.reported_at_ms > self.progressed_at_ms + stall_timeout_ms / 2
    }

    /// The time from the start to the last report, milliseconds.
    pub(crate) fn reported_runtime_ms(&self) -> u64 {
        self.reported_at_ms.saturating_sub(self.started_at_ms)
    }

    /// The total running time extrapolated from the progress, milliseconds. It is returned once for
    /// each run, and only when the progress is at least `min_percent`. Runs that may have resumed
    /// from a checkpoint, or whose start was not observed, give no sample, since their progress
    /// took longer than the time that is known here.
    pub(crate) fn take_runtime_sample(&mut self, now_ms: u64, done: bool, min_percent: f64) -> Option<f64> {
        let progress = if done { 100.0 } else { self.progress_percent };
        let start_was_observed =
            self.number == 1 && self.phase == RunPhase::Started && self.sent_at_ms < self.started_at_ms;
        if self.is_sampled || !start_was_observed || progress < min_percent {
            return None;
        }
        self.is_sampled = true;
        Some(now_ms.saturating_sub(self.started_at_ms) as f64 * 100.0 / progress)
    }

    // Stops.

    /// Marks the run as being stopped; `false` if it was already.
    pub(crate) fn begin_stop(&mut self) -> bool {
        !std::mem::replace(&mut self.is_stopping, true)
    }

    pub(crate) fn mark_stop_sent(&mut self, now_ms: u64) {
        self.stop_sent_at_ms = now_ms;
    }

    /// Whether the stop request is due to be sent again. The interval doubles after each retry, up
    /// to [`MAX_STOP_DOUBLINGS`] times.
    pub(crate) fn is_stop_retry_due(&self, now_ms: u64, timeout_ms: u64) -> bool {
        now_ms >= self.stop_sent_at_ms + (timeout_ms << self.stop_doublings)
    }

    pub(crate) fn mark_stop_retried(&mut self, now_ms: u64) {
        self.stop_sent_at_ms = now_ms;
        self.stop_doublings = (self.stop_doublings + 1).min(MAX_STOP_DOUBLINGS);
    }
}
