//! The log's size, and its failure.
use crate::{Effect, Engine};
use spanlead_balancing_policy::Nanos;
use spanlead_durable_jobs::Lsn;

/// Jobs that are rewritten at a time.
const MAX_REWRITTEN_JOBS: usize = 64;
/// Records that must have become needless before the log looks for segments to remove.
const TRUNCATE_INTERVAL_RECORDS: Lsn = 256;
/// Jobs are rewritten when the log is larger than what is needed and a segment, by this factor.
const MAX_DISK_OVERHEAD: u64 = 2;

impl Engine {
    /// Forgets what has expired; what that frees on disk is looked for even if nothing more is
    /// recorded.
    pub(crate) fn expire_durable_jobs(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(jobs) = &mut self.durable else { return };
        if jobs.job_table.expire(now) > 0 {
            let bytes = jobs.counters.disk_bytes;
            self.records_durable(bytes, out);
        }
    }

    /// Records have become durable, and the log has this size on disk.
    pub(crate) fn records_durable(&mut self, disk_bytes: u64, out: &mut Vec<Effect>) {
        let Some(jobs) = &mut self.durable else { return };
        jobs.counters.disk_bytes = disk_bytes;
        // What a few old jobs keep from being removed is rewritten when it is more than what lives.
        // `live_bytes` is reckoned high, so that comes to an end.
        let live_bytes = jobs.job_table.stats().live_bytes as u64;
        if disk_bytes > MAX_DISK_OVERHEAD * (live_bytes + jobs.segment_bytes) {
            for record in jobs.job_table.snapshot_records(MAX_REWRITTEN_JOBS) {
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

    /// The log cannot be written to any more.
    pub(crate) fn storage_failed(&mut self, out: &mut Vec<Effect>) {
        let Some(jobs) = self.durable.as_mut().filter(|jobs| !jobs.failed) else { return };
        jobs.failed = true;
        let open = jobs.job_table.stats().open;
        out.push(Effect::Log(format!(
            "durable job log not writable: new durable jobs are refused, open ones end, restart when the disk is repaired \
             open={open}"
        )));
    }
}
