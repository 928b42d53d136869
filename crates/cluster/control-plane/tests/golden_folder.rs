//! A data folder that was written before a change is read in full after it, and written in the same
//! form.
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

/// The largest that the committed file may be, bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

fn write_folder(path: &Path) {
    let store = Store::open(path).expect("opened");
    for record in folder::records() {
        store.write(&[record]).expect("written");
    }
}

/// A folder with what the committed one was made from, written by this version.
fn written_anew() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    write_folder(folder.path());
    folder
}

fn restore(path: &Path) -> RecoveredState {
    Store::open(path).expect("opened").recover().expect("read")
}

/// All tables of the file, with their keys and values as they are there.
fn dump_tables(path: &Path) -> String {
    let database = redb::Database::open(path.join(folder::FILE)).expect("opened");
    let transaction = database.begin_read().expect("begun");
    let mut names: Vec<String> =
        transaction.list_tables().expect("listed").map(|table| table.name().to_owned()).collect();
    names.sort();
    assert_eq!(names, ["entries", "node"]);
    let mut text = String::new();
    let entries: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("entries");
    for entry in transaction.open_table(entries).expect("a table").iter().expect("read") {
        let (key, value) = entry.expect("read");
        let _ = writeln!(text, "entries\t{}\t{}", to_hex(key.value()), to_hex(value.value()));
    }
    let node: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("node");
    for entry in transaction.open_table(node).expect("a table").iter().expect("read") {
        let (key, value) = entry.expect("read");
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

/// All that was restored, as text.
fn dump_restored(restored: &RecoveredState) -> String {
    let mut text = String::new();
    let identity = restored.identity.expect("an identity");
    let _ = writeln!(text, "identity {:016x}", identity.0);
    let _ = writeln!(text, "founder {} incomplete {}", restored.bootstrap_voter, restored.repair_incomplete);
    let position = restored.position;
    let _ = writeln!(text, "position term {} sequence {}", position.term, position.sequence);
    let promised = restored.witness.promised;
    let _ = writeln!(text, "promised {} {:016x}", promised.round, promised.candidate.0);
    let accepted = restored.witness.accepted.as_ref().expect("a view");
    let _ = writeln!(text, "accepted {} {:016x}", accepted.ballot.round, accepted.ballot.candidate.0);
    let view = &accepted.view;
    let _ = writeln!(text, "view epoch {} term {} primary {:016x}", view.epoch, view.term, view.primary.0);
    for member in &view.in_sync {
        let _ = writeln!(text, "in sync {:016x}", member.0);
    }
    dump_members(&mut text, "member", &view.members);
    dump_members(&mut text, "previous", &view.previous_members);
    let mut entries: Vec<_> = restored.keyspace.iter().collect();
    entries.sort_unstable();
    for (key, value) in entries {
        let _ = writeln!(text, "{}\t{}", to_hex(key), to_hex(value));
    }
    text
}

fn name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Closed(JobOutcome::Succeeded) => "succeeded",
        JobState::Closed(JobOutcome::Failed) => "failed",
        JobState::Closed(JobOutcome::Cancelled) => "cancelled",
    }
}

/// Configuration and jobs as they are taken over from what was restored, as text.
fn dump_taken_over(restored: &RecoveredState) -> String {
    let configuration = ConfigurationState::load(&restored.keyspace);
    let mut text = format!("configuration {}\n", configuration.version());
    let _ = writeln!(text, "{}", configuration.text().expect("a configuration"));
    let mut scheduler = Scheduler::new(folder::CONFIG, 40, 1, folder::now(20_000));
    let of_jobs = restored.keyspace.iter().filter(|(key, _)| !matches!(key[0], b'c' | b'h'));
    assert!(scheduler.recover(folder::now(20_000), of_jobs).is_empty());
    for id in (folder::SUCCEEDED.0..=folder::TIMED.0).map(JobId) {
        let job = scheduler.inspect_job(id).expect("a job");
        let (state, accepted_at, service) = (name(job.state), job.accepted_at_ms, job.service);
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

/// Makes the committed folder; only ever by the version whose form it pins.
#[test]
fn the_golden_folder_is_there() {
    let file = folder::committed().join(folder::FILE);
    if is_updating_golden_files() {
        let _ = std::fs::remove_file(&file);
        write_folder(&folder::committed());
    }
    let bytes = std::fs::metadata(file).expect("the golden folder").len();
    assert!(bytes <= MAX_FILE_BYTES, "{bytes} bytes");
}

#[test]
fn the_golden_folder_s_tables_are_as_they_were_written() {
    compare_text("folder_tables.txt", &dump_tables(folder::copy().path()));
}

#[test]
fn the_golden_folder_is_restored_in_full() {
    let restored = restore(folder::copy().path());
    assert!(unreadable_keys(&restored.keyspace).is_empty());
    compare_text("folder_restored.txt", &dump_restored(&restored));
}

#[test]
fn configuration_and_jobs_of_the_golden_folder_are_taken_over() {
    let restored = restore(folder::copy().path());
    compare_text("folder_taken_over.txt", &dump_taken_over(&restored));
}

#[test]
fn the_same_content_is_written_in_the_same_form() {
    let folder = written_anew();
    compare_text("folder_tables.txt", &dump_tables(folder.path()));
}

#[test]
fn a_repair_that_was_begun_is_marked_in_the_golden_form() {
    let folder = written_anew();
    let store = Store::open(folder.path()).expect("opened");
    store.write(&[Record::Repair { changes: Vec::new() }]).expect("written");
    drop(store);
    let marked: Vec<String> = dump_tables(folder.path())
        .lines()
        .filter(|line| line.contains("incomplete"))
        .map(str::to_owned)
        .collect();
    assert_eq!(marked, ["node\tincomplete\t"]);
    assert!(restore(folder.path()).repair_incomplete);
}
