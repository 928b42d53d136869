//! Golden test of the data folder's format: a folder written by an earlier version is read in full,
//! and the same content is written in the same format.
#[path = "golden/folder.rs"]
mod folder;
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use redb::{ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use spanlead_control_plane::configuration_state::ConfigurationState;
use spanlead_control_plane::store::Store;
use spanlead_control_plane::unreadable_records::unreadable_keys;
use spanlead_job_scheduler::{JobId, JobOutcome, JobState, Scheduler};
use spanlead_replication::{Member, Record, RecoveredState};
use std::fmt::Write;
use std::path::Path;
use support::{compare_text, is_updating_golden_files, to_hex};

/// The largest permitted size of the golden folder's file, bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Writes the records of the golden folder with the code under test.
fn write_folder(path: &Path) {
    let store = Store::open(path).expect("the store opens");
    for record in folder::records() {
        store.write(&[record]).expect("the record is written");
    }
}

/// Returns a temporary folder with the golden folder's records, written by the code under test.
fn newly_written_folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write_folder(folder.path());
    folder
}

fn recover(path: &Path) -> RecoveredState {
    Store::open(path).expect("the store opens").recover().expect("the store is recovered")
}

/// Formats all tables of the file, with their stored keys and values.
fn dump_tables(path: &Path) -> String {
    let database = redb::Database::open(path.join(folder::FILE_NAME)).expect("the file opens");
    let transaction = database.begin_read().expect("the transaction begins");
    let mut names: Vec<String> = transaction
        .list_tables()
        .expect("the tables are listed")
        .map(|table| table.name().to_owned())
        .collect();
    names.sort();
    assert_eq!(names, ["entries", "node"]);
    let mut text = String::new();
    let entries: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("entries");
    for entry in transaction.open_table(entries).expect("the table opens").iter().expect("the table is read")
    {
        let (key, value) = entry.expect("the entry is read");
        let _ = writeln!(text, "entries\t{}\t{}", to_hex(key.value()), to_hex(value.value()));
    }
    let node: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("node");
    for entry in transaction.open_table(node).expect("the table opens").iter().expect("the table is read") {
        let (key, value) = entry.expect("the entry is read");
        let _ = writeln!(text, "node\t{}\t{}", key.value(), to_hex(value.value()));
    }
    text
}

fn dump_members(text: &mut String, title: &str, members: &[Member]) {
    for member in members {
        let Member { id, node_name, peer_address, operator_address } = member;
        let _ = writeln!(text, "{title} {:016x} {node_name} {peer_address} {operator_address}", id.0);
    }
}

/// Formats a recovered state.
fn dump_recovered(recovered: &RecoveredState) -> String {
    let mut text = String::new();
    let identity = recovered.identity.expect("an identity");
    let _ = writeln!(text, "identity {:016x}", identity.0);
    let _ =
        writeln!(text, "founder {} incomplete {}", recovered.bootstrap_voter, recovered.repair_incomplete);
    let position = recovered.position;
    let _ = writeln!(text, "position term {} sequence {}", position.term, position.sequence);
    let promised = recovered.witness.promised;
    let _ = writeln!(text, "promised {} {:016x}", promised.round, promised.candidate.0);
    let accepted = recovered.witness.accepted.as_ref().expect("an accepted view");
    let _ = writeln!(text, "accepted {} {:016x}", accepted.ballot.round, accepted.ballot.candidate.0);
    let view = &accepted.view;
    let _ = writeln!(text, "view epoch {} term {} primary {:016x}", view.epoch, view.term, view.primary.0);
    for member in &view.in_sync {
        let _ = writeln!(text, "in sync {:016x}", member.0);
    }
    dump_members(&mut text, "member", &view.members);
    dump_members(&mut text, "previous", &view.previous_members);
    let mut entries: Vec<_> = recovered.keyspace.iter().collect();
    entries.sort_unstable();
    for (key, value) in entries {
        let _ = writeln!(text, "{}\t{}", to_hex(key), to_hex(value));
    }
    text
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Closed(JobOutcome::Succeeded) => "succeeded",
        JobState::Closed(JobOutcome::Failed) => "failed",
        JobState::Closed(JobOutcome::Cancelled) => "cancelled",
    }
}

/// Formats the configuration and the jobs that a new primary loads from a recovered state.
fn dump_loaded(recovered: &RecoveredState) -> String {
    let configuration = ConfigurationState::load(&recovered.keyspace);
    let mut text = format!("configuration {}\n", configuration.version());
    let _ = writeln!(text, "{}", configuration.text().expect("a configuration"));
    let mut scheduler = Scheduler::new(folder::SCHEDULER_CONFIG, 40, 1, folder::now(20_000));
    let job_records = recovered.keyspace.iter().filter(|(key, _)| !matches!(key[0], b'c' | b'h'));
    assert!(scheduler.recover(folder::now(20_000), job_records).is_empty());
    for id in (folder::SUCCEEDED.0..=folder::SCHEDULED.0).map(JobId) {
        let job = scheduler.inspect_job(id).expect("a job");
        let (state, accepted_at, service) = (state_name(job.state), job.accepted_at_ms, job.service);
        let _ = writeln!(text, "job {} {state} {accepted_at} {service} done {}", id.0, job.done_tasks);
        for task in job.open_tasks {
            let _ = writeln!(text, "  {} failed {:?} waits {}", task.task, task.failed_runs, task.is_pending);
            for run in task.active_runs {
                let _ = writeln!(text, "    run {} on {} {}", run.run, run.worker_id, run.phase);
            }
        }
    }
    text
}

/// With `GOLDEN_WRITE=1` this writes the golden folder, which only the version whose format it pins
/// may do.
#[test]
fn golden_folder_exists_within_its_size_limit() {
    let file = folder::golden_path().join(folder::FILE_NAME);
    if is_updating_golden_files() {
        let _ = std::fs::remove_file(&file);
        write_folder(&folder::golden_path());
    }
    let bytes = std::fs::metadata(file).expect("the golden folder").len();
    assert!(bytes <= MAX_FILE_BYTES, "expected at most {MAX_FILE_BYTES} bytes, found {bytes}");
}

#[test]
fn tables_of_the_golden_folder_match_the_golden_file() {
    compare_text("folder_tables.txt", &dump_tables(folder::copy().path()));
}

#[test]
fn golden_folder_is_recovered_in_full() {
    let recovered = recover(folder::copy().path());
    assert!(unreadable_keys(&recovered.keyspace).is_empty());
    compare_text("folder_restored.txt", &dump_recovered(&recovered));
}

#[test]
fn configuration_and_jobs_are_loaded_from_the_golden_folder() {
    let recovered = recover(folder::copy().path());
    compare_text("folder_taken_over.txt", &dump_loaded(&recovered));
}

#[test]
fn golden_records_are_written_in_the_golden_format() {
    let folder = newly_written_folder();
    compare_text("folder_tables.txt", &dump_tables(folder.path()));
}

#[test]
fn started_repair_is_marked_incomplete_in_the_golden_format() {
    let folder = newly_written_folder();
    let store = Store::open(folder.path()).expect("the store opens");
    store.write(&[Record::Repair { changes: Vec::new() }]).expect("the record is written");
    drop(store);
    let marks: Vec<String> = dump_tables(folder.path())
        .lines()
        .filter(|line| line.contains("incomplete"))
        .map(str::to_owned)
        .collect();
    assert_eq!(marks, ["node\tincomplete\t"]);
    assert!(recover(folder.path()).repair_incomplete);
}
