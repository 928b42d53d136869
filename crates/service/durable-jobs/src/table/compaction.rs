//! Log compaction: determines the part of the log that is still needed, and creates the snapshots
//! that replace old records.
use super::JobTable;
use crate::ids::Lsn;
use crate::record::Record;

impl JobTable {
    /// Returns the LSN of the oldest record that is needed; the log may drop the records before it.
    ///
    /// This is the oldest base record of a job (the record from which it can be replayed), or the
    /// session record that precedes it: without the session, the times in the job's records could
    /// not be converted.
    #[must_use]
    pub fn oldest_needed_lsn(&self) -> Lsn {
        let first_base_lsn = self.by_base_lsn.first_key_value().map_or(self.last_lsn + 1, |(lsn, _)| *lsn);
        self.session_lsns.range(..=first_base_lsn).next_back().copied().unwrap_or(first_base_lsn)
    }

    /// Returns records that rewrite the contents of the oldest needed records, so that the log can
    /// drop these: at most `max_records`, oldest first. Applying them changes only the positions of
    /// base records and of the session record.
    #[must_use]
    pub fn snapshot_records(&self, max_records: usize) -> Vec<Record> {
        let first_base_lsn = self.by_base_lsn.first_key_value().map_or(Lsn::MAX, |(lsn, _)| *lsn);
        let session_is_oldest = self.session_lsns.last().is_some_and(|lsn| *lsn < first_base_lsn);
        let session = self.session.as_ref().filter(|_| session_is_oldest);
        let session_record = session.map(|session| self.session_record(session.anchor.clone()));
        let jobs = self.by_base_lsn.values().filter_map(|number| self.job(*number));
        let job_records = jobs.map(|job| Record::Snapshot(Box::new(job.clone())));
        session_record.into_iter().chain(job_records).take(max_records).collect()
    }
}
