//! A directory in memory with injected faults: syncs fail, the disk is full, and a crash loses or
//! tears unsynced data. All random choices derive from a seed.
use crate::directory::{AppendFile, Directory};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The probability that unsynced changes of file names survive a crash.
const NAMES_SURVIVE_PROBABILITY: f64 = 0.5;
/// The probability that after a crash the length of a file is on disk and its last bytes are not.
const ZEROED_TAIL_PROBABILITY: f64 = 0.3;

/// A directory in memory. All clones refer to the same directory.
#[derive(Clone, Default)]
pub struct SimulatedDirectory(Arc<Mutex<DirectoryState>>);

/// The identity of a file, which renaming does not change.
type FileNumber = u64;

#[derive(Default)]
struct DirectoryState {
    files: BTreeMap<FileNumber, FileState>,
    names: BTreeMap<String, FileNumber>,
    /// The names as they are on disk.
    durable_names: BTreeMap<String, FileNumber>,
    last_file_number: FileNumber,
    /// The number of syncs that still succeed, after which all fail. `None` if none fails.
    syncs_until_failure: Option<u64>,
    /// The free space, bytes. `None` if it is unlimited.
    free_bytes: Option<u64>,
    sync_count: u64,
    /// The number of crashes so far. Files that were opened in an earlier epoch reject writes.
    epoch: u64,
}

#[derive(Clone, Default)]
struct FileState {
    content: Vec<u8>,
    /// The length of the prefix of the content that is on disk, bytes.
    durable_bytes: usize,
}

/// An open file of a simulated directory.
struct SimulatedFile {
    directory: SimulatedDirectory,
    file: FileNumber,
    epoch: u64,
}

impl SimulatedDirectory {
    /// Creates an empty directory without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, DirectoryState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes all file syncs after the next `successes` fail. The data of a failed sync stays
    /// readable and is not durable at the next crash.
    pub fn fail_sync_after(&self, successes: u64) {
        self.state().syncs_until_failure = Some(successes);
    }

    /// Ends the failures of syncs and the limit on free space. The data of a failed sync stays only
    /// in memory.
    pub fn clear_faults(&self) {
        let mut state = self.state();
        state.syncs_until_failure = None;
        state.free_bytes = None;
    }

    /// Limits the free space of the disk to `bytes`. A write beyond it is cut off and fails.
    pub fn set_free_bytes(&self, bytes: u64) {
        self.state().free_bytes = Some(bytes);
    }

    /// Returns how often files were synced, failures included.
    #[must_use]
    pub fn sync_count(&self) -> u64 {
        self.state().sync_count
    }

    /// Simulates a crash and restart of the machine. As drawn from the seed, unsynced data is kept,
    /// lost, zeroed or torn at any byte, and unsynced changes of file names are kept or lost. Files
    /// that are still open reject writes, and the injected faults end.
    pub fn crash(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut state = self.state();
        state.epoch += 1;
        state.syncs_until_failure = None;
        state.free_bytes = None;
        if rng.random_bool(NAMES_SURVIVE_PROBABILITY) {
            state.durable_names = state.names.clone();
        }
        state.names = state.durable_names.clone();
        for file in state.files.values_mut() {
            file.crash(&mut rng);
        }
    }

    /// Flips the bits of `mask` in the byte at `offset` of a file.
    pub fn corrupt(&self, name: &str, offset: usize, mask: u8) {
        let mut state = self.state();
        if let Some(byte) = state.file_mut(name).and_then(|file| file.content.get_mut(offset)) {
            *byte ^= mask;
        }
    }

    /// Returns an independent copy of the directory's files, without its faults.
    #[must_use]
    pub fn deep_copy(&self) -> Self {
        let state = self.state();
        let copy = DirectoryState {
            files: state.files.clone(),
            names: state.names.clone(),
            durable_names: state.durable_names.clone(),
            last_file_number: state.last_file_number,
            ..DirectoryState::default()
        };
        SimulatedDirectory(Arc::new(Mutex::new(copy)))
    }

    /// Opens a file for appending until the next crash.
    fn open(&self, file: FileNumber) -> Box<dyn AppendFile> {
        let epoch = self.state().epoch;
        Box::new(SimulatedFile { directory: self.clone(), file, epoch })
    }
}

impl DirectoryState {
    fn file_mut(&mut self, name: &str) -> Option<&mut FileState> {
        let file = *self.names.get(name)?;
        self.files.get_mut(&file)
    }
}

impl FileState {
    /// Drops a random part of the unsynced bytes, or zeroes it.
    fn crash(&mut self, rng: &mut SmallRng) {
        let unsynced = self.content.len() - self.durable_bytes;
        let kept = if unsynced == 0 { 0 } else { rng.random_range(0..=unsynced) };
        self.content.truncate(self.durable_bytes + kept);
        // File systems may write a file's length before its bytes, which then read as zeros.
        if kept > 0 && rng.random_bool(ZEROED_TAIL_PROBABILITY) {
            let zeroed_from = self.durable_bytes + rng.random_range(0..kept);
            self.content[zeroed_from..].fill(0);
        }
        self.durable_bytes = self.content.len();
    }
}

impl SimulatedFile {
    /// Returns the directory's state.
    ///
    /// # Errors
    /// If the simulated machine has crashed since the file was opened.
    fn state(&self) -> io::Result<MutexGuard<'_, DirectoryState>> {
        let state = self.directory.state();
        if state.epoch == self.epoch {
            Ok(state)
        } else {
            Err(io::Error::other("the simulated machine has crashed since the file was opened"))
        }
    }
}

impl AppendFile for SimulatedFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state()?;
        let written = state.free_bytes.map_or(bytes.len(), |free| bytes.len().min(free as usize));
        state.free_bytes = state.free_bytes.map(|free| free - written as u64);
        if let Some(file) = state.files.get_mut(&self.file) {
            file.content.extend_from_slice(&bytes[..written]);
        }
        if written == bytes.len() { Ok(()) } else { Err(io::ErrorKind::StorageFull.into()) }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.state()?;
        state.sync_count += 1;
        match state.syncs_until_failure {
            // As in the kernel, the pages count as clean after a failed sync, though they never
            // reached the disk.
            Some(0) => return Err(io::Error::other("simulated sync failure")),
            Some(left) => state.syncs_until_failure = Some(left - 1),
            None => {}
        }
        if let Some(file) = state.files.get_mut(&self.file) {
            file.durable_bytes = file.content.len();
        }
        Ok(())
    }
}

impl Directory for SimulatedDirectory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        state.file_mut(name).map(|file| file.content.clone()).ok_or(io::ErrorKind::NotFound.into())
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        let mut state = self.state();
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.last_file_number += 1;
        let file = state.last_file_number;
        state.files.insert(file, FileState::default());
        state.names.insert(name.to_owned(), file);
        drop(state);
        Ok(self.open(file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        let file = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let removed = self.state().names.remove(name);
        removed.map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.state();
        state.durable_names = state.names.clone();
        Ok(())
    }
}
