//! The log of durable jobs: records on their way to the disk, and effects that wait until these are
//! durable.
use super::Driver;
use spanlead_balancing_policy::Nanos;
use spanlead_durable_jobs::{Record, encode};
use spanlead_engine::{DurabilityBarrier, Effect, Input, ReleasedEffect};
use spanlead_net::{Message, OpenedDurableJobs};
use spanlead_wal::{CommitProgress, CommitStats, LogWriter};

/// What this process may do with the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DurableLogStage {
    /// It is being read, or another process has it.
    Opening,
    /// Records are appended.
    Open,
    /// It cannot be written to any more; what is open ends.
    Failed,
    /// It belongs to another process.
    Released,
}

/// The log. Effects must not be seen before the records that were appended before them are durable.
pub(super) struct DurableLog {
    stage: DurableLogStage,
    writer: Option<LogWriter>,
    barrier: DurabilityBarrier,
    /// An effect waits for the record that was appended last.
    is_urgent: bool,
    /// Messages that came before the log was open.
    held_back: Vec<Message>,
}

impl DurableLog {
    /// A log that is still to be read.
    pub(super) fn opening() -> Self {
        DurableLog {
            stage: DurableLogStage::Opening,
            writer: None,
            barrier: DurabilityBarrier::default(),
            is_urgent: false,
            held_back: Vec::new(),
        }
    }

    pub(super) fn stage(&self) -> DurableLogStage {
        self.stage
    }

    /// Keeps a message until the log is open.
    pub(super) fn hold_back(&mut self, message: Message) {
        self.held_back.push(message);
    }

    /// Has a group commit begin if something waits for it.
    pub(super) fn flush_urgent(&mut self) {
        if self.is_urgent {
            self.is_urgent = false;
            self.flush();
        }
    }

    /// Has a group commit begin.
    pub(super) fn flush(&mut self) {
        if let Some(writer) = &mut self.writer {
            writer.flush();
        }
    }

    /// The records before this one are not needed.
    pub(super) fn truncate(&self, oldest: u64) {
        if let Some(writer) = &self.writer {
            writer.trim(oldest);
        }
    }

    /// Cancels an attempt that has not been sent; whether there was one.
    pub(super) fn cancel(&mut self, attempt: spanlead_engine::AttemptId) -> bool {
        self.barrier.cancel(attempt)
    }

    /// The figures of group commits.
    pub(super) fn stats(&self) -> Option<CommitStats> {
        self.writer.as_ref().map(LogWriter::stats)
    }
}

impl Driver {
    pub(super) fn durable_jobs_opened(&mut self, opened: OpenedDurableJobs) {
        let Some(log) = &mut self.durable_log else { return };
        let OpenedDurableJobs { setup, writer } = opened;
        (log.stage, log.writer) = (DurableLogStage::Open, Some(writer));
        log.barrier.open(setup.job_table.last_lsn());
        let held_back = std::mem::take(&mut log.held_back);
        let figures = setup.job_table.stats();
        tracing::info!(open = figures.open, kept = figures.retained, "durable job log open");
        self.step(Input::DurableJobsOpened(Box::new(setup)));
        for message in held_back {
            self.receive(message);
        }
    }

    pub(super) fn append_record(&mut self, record: &Record) {
        let Some(log) = &mut self.durable_log else { return };
        let Some(writer) = log.writer.as_mut().filter(|_| log.stage == DurableLogStage::Open) else {
            return;
        };
        match encode(record) {
            Ok(bytes) => {
                log.barrier.record_appended(writer.append(bytes.into()));
                log.is_urgent |= !record.is_deferrable();
            }
            // Without it what follows would be out of its place.
            Err(error) => {
                tracing::error!(%error, kind = record.kind(), "record not encoded");
                let _ = self.messages.send(Message::LogProgress(CommitProgress::Failed));
            }
        }
    }

    /// Performs this now if all records are durable; else when they are.
    pub(super) fn perform_after_durable(&mut self, effect: Effect, until: Nanos) {
        let released = match &mut self.durable_log {
            Some(log) => {
                let released = log.barrier.submit(effect, until);
                log.is_urgent |= released.is_none();
                released
            }
            None => Some(ReleasedEffect::Perform(effect)),
        };
        self.perform_released(released);
    }

    fn perform_released(&mut self, released: impl IntoIterator<Item = ReleasedEffect>) {
        for effect in released {
            match effect {
                ReleasedEffect::Perform(effect) => self.perform(effect),
                ReleasedEffect::NeverSent(attempt) => self.report_never_sent(attempt),
                // The worker asks again.
                ReleasedEffect::Unacknowledged(notice) => drop(self.notices.replies.remove(&notice)),
            }
        }
    }

    pub(super) fn log_progress(&mut self, progress: CommitProgress) {
        let Some(log) = self.durable_log.as_mut().filter(|log| log.stage == DurableLogStage::Open) else {
            return;
        };
        match progress {
            CommitProgress::Durable { last_lsn, log_bytes } => {
                let released = log.barrier.records_durable(last_lsn);
                self.perform_released(released);
                self.step(Input::RecordsDurable { bytes: log_bytes });
            }
            CommitProgress::Failed => {
                log.stage = DurableLogStage::Failed;
                tracing::error!("durable job log failed: new durable jobs are refused from now on");
                let released = log.barrier.fail();
                self.step(Input::StorageFailed);
                self.perform_released(released);
            }
        }
    }

    /// Whether effects wait for records to become durable.
    pub(super) fn has_waiting_effects(&self) -> bool {
        self.durable_log.as_ref().is_some_and(|log| !log.barrier.is_empty())
    }

    /// Gives up what has waited for the disk for too long: clients are answered in time whatever
    /// the disk does.
    pub(super) fn expire_waiting_effects(&mut self) {
        let now = self.clock.now();
        if let Some(log) = &mut self.durable_log {
            let expired = log.barrier.expire(now);
            self.perform_released(expired);
        }
    }

    /// Leaves the log to the successor, when nothing of it is open here any more.
    pub(super) fn release_durable_log(&mut self) {
        let Some(log) = &mut self.durable_log else { return };
        let is_unused = log.barrier.is_empty() && self.engine.open_durable_job_count() == 0;
        if log.stage == DurableLogStage::Open && is_unused {
            log.stage = DurableLogStage::Released;
            // Ends it in order, and lets go of the folder.
            log.writer = None;
            self.step(Input::DurableJobsReleased);
            tracing::info!("durable job log released to the successor");
        }
    }
}
