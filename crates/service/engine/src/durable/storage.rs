//! The size and the failure of the log of durable jobs.
use crate::{Effect, Engine};
use spanlead_balancing_policy::Nanos;
use spanlead_durable_jobs::Lsn;

/// The maximum number of snapshot records written at a time.
const MAX_SNAPSHOT_RECORDS: usize = 64;
/// The number of records that must have become unneeded before the log is asked to remove segments.
const TRUNCATE_INTERVAL_RECORDS: Lsn = 256;
/// Snapshots are written when the log is larger than this factor times the size of the live jobs
/// and one segment.
const MAX_DISK_OVERHEAD_FACTOR: u64 = 2;

impl Engine {
    /// Removes expired jobs. If there were any, also frees disk space, since no further record
    /// might be written that would trigger this.
    pub(crate) fn expire_durable_jobs(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(jobs) = &mut self.durable else { return };
        if jobs.job_table.expire(now) > 0 {
            let disk_bytes = jobs.counters.disk_bytes;
            self.records_durable(disk_bytes, out);
        }
    }

    /// Handles that records have become durable and the log takes `disk_bytes` on disk: writes
    /// snapshots if the log has grown too large, and truncates the log.
    pub(crate) fn records_durable(&mut self, disk_bytes: u64, out: &mut Vec<Effect>) {
        let Some(jobs) = &mut self.durable else { return };
        jobs.counters.disk_bytes = disk_bytes;
        // A few old jobs may keep many unneeded records from being removed; these jobs are
        // rewritten as snapshots. `live_bytes` is an upper estimate of the size of all snapshots,
        // so the log becomes smaller than the limit and the rewriting ends.
        let live_bytes = jobs.job_table.stats().live_bytes as u64;
        if disk_bytes > MAX_DISK_OVERHEAD_FACTOR * (live_bytes + jobs.segment_bytes) {
            for record in jobs.job_table.snapshot_records(MAX_SNAPSHOT_RECORDS) {
                self.record(record, out);
            }
        }
        let Some(jobs) = &mut self.durable else { return };
        let oldest = jobs.job_table.oldest_needed_lsn();
        if oldest >= jobs.truncated_to + TRUNCATE_INTERVAL_RECORDS {
            jobs.truncated_to = oldest;
            out.push(Effect::TruncateLog { oldest_needed_lsn: oldest });
        }
    }

    /// Handles that the log cannot be written to any more.
    pub(crate) fn storage_failed(&mut self, out: &mut Vec<Effect>) {
        let Some(jobs) = self.durable.as_mut().filter(|jobs| !jobs.failed) else { return };
        jobs.failed = true;
        let open = jobs.job_table.stats().open;
        out.push(Effect::Log(format!(
            "durable job log is not writable: new durable jobs are rejected and open ones get no new attempts; \
             restart the process after repairing the disk open={open}"
        )));
    }
}
