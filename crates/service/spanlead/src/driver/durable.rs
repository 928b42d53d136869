//! The ledger's way to the disk: what must be durable before it is seen waits here.
use super::*;

impl Driver {
    pub(super) fn opened(&mut self, (durability, store): (DurableSetup, LogWriter)) {
        let Some(ledger) = &mut self.ledger else { return };
        (ledger.stage, ledger.store) = (Stage::Open, Some(store));
        ledger.barrier.open(durability.ledger.last_lsn());
        let held_back = std::mem::take(&mut ledger.held_back);
        let figures = durability.ledger.stats();
        tracing::info!(open = figures.open, kept = figures.retained, "the ledger is open");
        self.step(Input::DurableJobsOpened(Box::new(durability)));
        for message in held_back {
            self.receive(message);
        }
    }

    pub(super) fn write_down(&mut self, record: &Record) {
        let Some(ledger) = &mut self.ledger else { return };
        let Some(store) = ledger.store.as_mut().filter(|_| ledger.stage == Stage::Open) else { return };
        match spanlead_durable_jobs::encode(record) {
            Ok(bytes) => {
                ledger.barrier.record_appended(store.append(bytes.into()));
                ledger.urgent |= !record.is_deferrable();
            }
            // Without it what follows would be out of its place.
            Err(error) => {
                tracing::error!(%error, kind = record.kind(), "a record has no form");
                let _ = self.to.send(Message::LogProgress(CommitProgress::Failed));
            }
        }
    }

    /// Does this now if all that was written down is durable; else when it is.
    pub(super) fn durably(&mut self, effect: Effect, until: Nanos) {
        let passed = match &mut self.ledger {
            Some(ledger) => {
                let passed = ledger.barrier.submit(effect, until);
                ledger.urgent |= passed.is_none();
                passed
            }
            None => Some(ReleasedEffect::Perform(effect)),
        };
        passed.into_iter().for_each(|passage| self.go_through(passage));
    }

    pub(super) fn go_through(&mut self, passage: ReleasedEffect) {
        match passage {
            ReleasedEffect::Perform(effect) => self.perform(effect),
            ReleasedEffect::NeverSent(attempt) => self.never_sent(attempt),
            // The worker asks again.
            ReleasedEffect::Unacknowledged(note) => drop(self.notes.remove(&note)),
        }
    }

    pub(super) fn progress(&mut self, progress: CommitProgress) {
        let Some(ledger) = self.ledger.as_mut().filter(|l| l.stage == Stage::Open) else { return };
        match progress {
            CommitProgress::Durable { last_lsn, log_bytes } => {
                let passed = ledger.barrier.records_durable(last_lsn);
                passed.into_iter().for_each(|passage| self.go_through(passage));
                self.step(Input::RecordsDurable { bytes: log_bytes });
            }
            CommitProgress::Failed => {
                ledger.stage = Stage::Failed;
                tracing::error!("the ledger has failed: new durable jobs are refused from now on");
                let passed = ledger.barrier.fail();
                self.step(Input::StorageFailed);
                passed.into_iter().for_each(|passage| self.go_through(passage));
            }
        }
    }

    /// Gives up what has waited for the disk for too long: clients are answered in time whatever the disk does.
    pub(super) fn too_late(&mut self) {
        let now = self.clock.now();
        let late = self.ledger.as_mut().map(|l| l.barrier.expire(now));
        late.into_iter().flatten().for_each(|passage| self.go_through(passage));
    }

    /// Leaves the ledger to the successor, when nothing of it is open here any more.
    pub(super) fn release_ledger(&mut self) {
        let Some(ledger) = &mut self.ledger else { return };
        if ledger.stage == Stage::Open && ledger.barrier.is_empty() && self.engine.open_durable_jobs() == 0 {
            ledger.stage = Stage::Released;
            // Ends it in order, and lets go of the folder.
            ledger.store = None;
            self.step(Input::DurableJobsReleased);
            tracing::info!("the ledger is left to the successor");
        }
    }
}
