//! A directory in memory that does to a log what disks and machines do: it fails a sync, runs out
//! of space, and at a crash loses or tears whatever was not synced. Everything random comes from a
//! seed.
use crate::directory::{AppendFile, Directory};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How likely a crash finds the directory's names on disk that were not synced.
const NAMES_SURVIVE_PROBABILITY: f64 = 0.5;
/// How likely the length of a file is on disk after a crash and its last bytes are not.
const ZEROED_TAIL_PROBABILITY: f64 = 0.3;

/// A directory in memory. Clones are the same directory.
#[derive(Clone, Default)]
pub struct SimulatedDirectory(Arc<Mutex<DirectoryState>>);

/// The number of a file, which stays when the file is renamed.
type FileNumber = u64;

#[derive(Default)]
struct DirectoryState {
    files: BTreeMap<FileNumber, FileState>,
    names: BTreeMap<String, FileNumber>,
    /// The names as they are on disk.
    durable_names: BTreeMap<String, FileNumber>,
    last_file_number: FileNumber,
    /// Syncs that still succeed; `None`: all.
    syncs_until_failure: Option<u64>,
    /// Bytes that can still be written; `None`: any number.
    free_bytes: Option<u64>,
    sync_count: u64,
    /// Crashes so far: what was opened before the last one can't be written to.
    epoch: u64,
}

#[derive(Clone, Default)]
struct FileState {
    content: Vec<u8>,
    /// How much of the content is on disk, bytes.
    durable_bytes: usize,
}

/// An open file of a simulated directory.
struct SimulatedFile {
    directory: SimulatedDirectory,
    file: FileNumber,
    epoch: u64,
}

impl SimulatedDirectory {
    /// An empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, DirectoryState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets `successes` more syncs succeed; the next one fails, and what it should have written is
    /// lost at the next crash.
    pub fn fail_sync_after(&self, successes: u64) {
        self.state().syncs_until_failure = Some(successes);
    }

    /// Ends the faults of the disk. What a failed sync left behind is still only in memory.
    pub fn clear_faults(&self) {
        let mut state = self.state();
        state.syncs_until_failure = None;
        state.free_bytes = None;
    }

    /// Lets `bytes` more bytes be written; then the disk is full.
    pub fn set_free_bytes(&self, bytes: u64) {
        self.state().free_bytes = Some(bytes);
    }

    /// How often a file was synced.
    #[must_use]
    pub fn sync_count(&self) -> u64 {
        self.state().sync_count
    }

    /// The machine stops and starts again: what was not synced is there, gone, or torn anywhere, as
    /// the seed says, and nothing that is still open can be written to.
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

    /// Flips the bits of `mask` in one byte of a file.
    pub fn corrupt(&self, name: &str, offset: usize, mask: u8) {
        let mut state = self.state();
        if let Some(byte) = state.file_mut(name).and_then(|file| file.content.get_mut(offset)) {
            *byte ^= mask;
        }
    }

    /// A copy that shares nothing with this directory, without its faults.
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

    /// Opens a file as it is after the last crash.
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
    /// Keeps a random part of what was not synced.
    fn crash(&mut self, rng: &mut SmallRng) {
        let unsynced = self.content.len() - self.durable_bytes;
        let kept = if unsynced == 0 { 0 } else { rng.random_range(0..=unsynced) };
        self.content.truncate(self.durable_bytes + kept);
        // The file's length may be on disk and its bytes not.
        if kept > 0 && rng.random_bool(ZEROED_TAIL_PROBABILITY) {
            let zeroed_from = self.durable_bytes + rng.random_range(0..kept);
            self.content[zeroed_from..].fill(0);
        }
        self.durable_bytes = self.content.len();
    }
}

impl SimulatedFile {
    /// The directory's state, unless the machine has crashed since the file was opened.
    fn state(&self) -> io::Result<MutexGuard<'_, DirectoryState>> {
        let state = self.directory.state();
        if state.epoch == self.epoch { Ok(state) } else { Err(io::Error::other("the machine has crashed")) }
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
            // As the kernel does: the pages count as clean from here, though they never reached the
            // disk.
            Some(0) => return Err(io::Error::other("the disk has failed")),
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
