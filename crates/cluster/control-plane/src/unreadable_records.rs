//! Records of the key space that this version can't read: damaged, or of a newer version.
//!
//! A node with one of them must not be primary: it would forget what the record holds. The replica
//! of another member repairs it. Every record belongs either to the configuration or to the jobs.
use crate::configuration_state;
use spanlead_job_scheduler::is_readable_record;
use spanlead_replication::Keyspace;

/// Keys that are logged at most.
const MAX_LOGGED_KEYS: usize = 8;

/// The keys of all records that this version can't read.
#[must_use]
pub fn unreadable_keys(keyspace: &Keyspace) -> Vec<Vec<u8>> {
    let configuration = configuration_state::unreadable_keys(keyspace);
    let jobs = job_records(keyspace).filter(|(key, value)| !is_readable_record(key, value));
    configuration.chain(jobs.map(|(key, _)| key)).map(<[u8]>::to_vec).collect()
}

/// The records of jobs, with their keys.
pub(crate) fn job_records(keyspace: &Keyspace) -> impl Iterator<Item = (&[u8], &[u8])> {
    keyspace.iter().filter(|(key, _)| !configuration_state::owns_key(key))
}

pub(crate) fn log_unreadable(keys: &[Vec<u8>]) {
    for key in keys.iter().take(MAX_LOGGED_KEYS) {
        let key: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
        log::error!("record can't be read: damaged, or of a newer version key={key}");
    }
    log::error!("node is not eligible as primary until it is repaired unreadable_records={}", keys.len());
}
