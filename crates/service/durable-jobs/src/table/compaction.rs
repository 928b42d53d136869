//! Which part of the log is still needed, and how old records are made unneeded.
use super::JobTable;
use crate::ids::Lsn;
use crate::record::Record;

impl JobTable {
    /// The oldest record that is needed; the log may drop those before it.
    ///
    /// That is the base record of the oldest job, or the session record that precedes it: without
    /// the session the times in the job's records could not be read.
    #[must_use]
    pub fn oldest_needed_lsn(&self) -> Lsn {
        let first_base = self.by_base_lsn.first_key_value().map_or(self.last_lsn + 1, |(lsn, _)| *lsn);
        self.session_lsns.range(..=first_base).next_back().copied().unwrap_or(first_base)
    }

    /// Records that write again what keeps the oldest part of the log from being dropped, at most
    /// `max_records`, oldest first. Applied, they change only where a job's base record lies.
    #[must_use]
    pub fn snapshot_records(&self, max_records: usize) -> Vec<Record> {
        let first_base = self.by_base_lsn.first_key_value().map_or(Lsn::MAX, |(lsn, _)| *lsn);
        let session_is_oldest = self.session_lsns.last().is_some_and(|lsn| *lsn < first_base);
        let session = self.session.as_ref().filter(|_| session_is_oldest);
        let session_record = session.map(|session| self.session_record(session.anchor.clone()));
        let jobs = self.by_base_lsn.values().filter_map(|number| self.job(*number));
        let job_records = jobs.map(|job| Record::Snapshot(Box::new(job.clone())));
        session_record.into_iter().chain(job_records).take(max_records).collect()
    }
}
