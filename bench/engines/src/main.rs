//! Groups of records, each group durable before the next: the log, redb and fjall in turn, in one run.
//! `cargo run --release [GROUPS] [RECORDS A GROUP]`, in a folder on the disk that is meant.
use spanlead_wal::{DiskDirectory, LogOptions, WriteAheadLog};
use std::path::Path;
use std::time::Instant;

type Failure = Box<dyn std::error::Error>;

fn log(folder: &Path, groups: u64, size: u64, record: &[u8]) -> Result<(), Failure> {
    let disk = DiskDirectory::lock(folder)?.ok_or("held")?;
    let options = LogOptions { max_segment_bytes: 16 << 20, sync_on_commit: true };
    let (mut log, _) = WriteAheadLog::open(Box::new(disk), options, |_, _| Ok(()))?;
    let group: Vec<&[u8]> = (0..size).map(|_| record).collect();
    for _ in 0..groups {
        log.append(&group)?;
    }
    Ok(())
}

fn redb(folder: &Path, groups: u64, size: u64, record: &[u8]) -> Result<(), Failure> {
    const TABLE: redb::TableDefinition<'_, u64, &[u8]> = redb::TableDefinition::new("log");
    let db = redb::Database::create(folder.join("redb"))?;
    for group in 0..groups {
        let write = db.begin_write()?;
        {
            let mut table = write.open_table(TABLE)?;
            for i in 0..size {
                table.insert(group * size + i, record)?;
            }
        }
        write.commit()?;
    }
    Ok(())
}

fn fjall(folder: &Path, groups: u64, size: u64, record: &[u8]) -> Result<(), Failure> {
    let keyspace = fjall::Config::new(folder.join("fjall")).open()?;
    let log = keyspace.open_partition("log", fjall::PartitionCreateOptions::default())?;
    for group in 0..groups {
        let mut batch = keyspace.batch();
        for i in 0..size {
            batch.insert(&log, (group * size + i).to_be_bytes(), record);
        }
        batch.commit()?;
        keyspace.persist(fjall::PersistMode::SyncData)?;
    }
    Ok(())
}

fn main() -> Result<(), Failure> {
    let argument = |n| std::env::args().nth(n).and_then(|a| a.parse::<u64>().ok());
    let (groups, size) = (argument(1).unwrap_or(2000), argument(2).unwrap_or(16));
    let record = vec![7u8; 300];
    println!("{groups} groups of {size} records of 300 bytes, each group synced");
    type Run = fn(&Path, u64, u64, &[u8]) -> Result<(), Failure>;
    let runs: [(&str, Run); 3] = [("log", log), ("redb", redb), ("fjall", fjall)];
    let mut first = None;
    // Twice, so that a disk that changes its mind is seen.
    for round in 1..=2 {
        for (name, run) in runs {
            let folder = tempfile::tempdir_in(".")?;
            let begun = Instant::now();
            run(folder.path(), groups, size, &record)?;
            let rate = (groups * size) as f64 / begun.elapsed().as_secs_f64();
            let base = *first.get_or_insert(rate);
            println!("round {round} {name:6} {rate:>9.0} records/s  {:.2}", rate / base);
        }
    }
    Ok(())
}
