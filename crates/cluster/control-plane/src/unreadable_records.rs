//! Records of the key space that this version of the program can't read: they are damaged or were
//! written by a newer version.
//!
//! A node with such a record must not be primary, since it would lose the content of the record.
//! Another member repairs the node's replica. Every record belongs either to the configuration or
//! to the jobs.
use crate::configuration_state;
use spanlead_job_scheduler::is_readable_record;
use spanlead_replication::Keyspace;

/// The maximum number of keys that are logged.
const MAX_LOGGED_KEYS: usize = 8;

/// Returns the keys of all records that this version of the program can't read.
#[must_use]
pub fn unreadable_keys(keyspace: &Keyspace) -> Vec<Vec<u8>> {
    let configuration = configuration_state::unreadable_keys(keyspace);
    let jobs = job_records(keyspace).filter(|(key, value)| !is_readable_record(key, value));
    configuration.chain(jobs.map(|(key, _)| key)).map(<[u8]>::to_vec).collect()
}

/// Returns the keys and values of all job records.
pub(crate) fn job_records(keyspace: &Keyspace) -> impl Iterator<Item = (&[u8], &[u8])> {
    keyspace.iter().filter(|(key, _)| !configuration_state::owns_key(key))
}

/// Logs the first unreadable keys and that the node is ineligible as primary.
pub(crate) fn log_unreadable_keys(keys: &[Vec<u8>]) {
    for key in keys.iter().take(MAX_LOGGED_KEYS) {
        let key: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
        log::error!("record can't be read: damaged, or written by a newer version key={key}");
    }
    log::error!(
        "node is ineligible as primary until another member repairs its replica unreadable_records={}",
        keys.len()
    );
}
