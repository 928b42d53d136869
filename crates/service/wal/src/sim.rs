//! A folder in memory that does to a log what disks and machines do: it fails a sync, runs full, and at a crash loses or
//! tears whatever was not synced. Everything drawn at random comes from a seed.
use crate::folder::{Folder, Sink};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A folder in memory. Clones are the same folder.
#[derive(Clone, Default)]
pub struct SimFolder(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    files: BTreeMap<u64, File>,
    /// Names now, and as they are on disk.
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    serial: u64,
    /// Syncs that still succeed.
    good_syncs: Option<u64>,
    /// Bytes that still fit.
    room: Option<u64>,
    syncs: u64,
    /// A crash ends what was open before.
    epoch: u64,
}

#[derive(Clone, Default)]
struct File {
    content: Vec<u8>,
    durable: usize,
}

struct SimFile {
    folder: SimFolder,
    file: u64,
    epoch: u64,
}

impl SimFolder {
    /// An empty folder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets so many more syncs succeed; the next one fails, and what it should have written is lost at the next crash.
    pub fn fail_sync_after(&self, good: u64) {
        self.state().good_syncs = Some(good);
    }

    /// The disk is good and has room again. What a failed sync left behind is still only in memory.
    pub fn mend(&self) {
        let mut state = self.state();
        (state.good_syncs, state.room) = (None, None);
    }

    /// Lets so many more bytes fit.
    pub fn fill_after(&self, room: u64) {
        self.state().room = Some(room);
    }

    /// How often a file was synced.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// The machine stops and starts again: what was not synced is there, gone, or torn anywhere, as the seed says, and
    /// nothing that is still open can be written to.
    pub fn crash(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut state = self.state();
        state.epoch += 1;
        (state.good_syncs, state.room) = (None, None);
        if rng.random_bool(0.5) {
            state.durable_names = state.names.clone();
        }
        state.names = state.durable_names.clone();
        for file in state.files.values_mut() {
            let loose = file.content.len() - file.durable;
            let kept = if loose == 0 { 0 } else { rng.random_range(0..=loose) };
            file.content.truncate(file.durable + kept);
            // The file's length may be on disk and its bytes not.
            if kept > 0 && rng.random_bool(0.3) {
                let from = file.durable + rng.random_range(0..kept);
                file.content[from..].fill(0);
            }
            file.durable = file.content.len();
        }
    }

    /// Changes one byte of a file.
    pub fn damage(&self, name: &str, offset: usize, with: u8) {
        let mut state = self.state();
        if let Some(byte) = state.file_mut(name).and_then(|f| f.content.get_mut(offset)) {
            *byte ^= with;
        }
    }

    /// A copy that shares nothing with this one.
    #[must_use]
    pub fn copy(&self) -> Self {
        let state = self.state();
        let (files, names) = (state.files.clone(), state.names.clone());
        let (durable_names, serial) = (state.durable_names.clone(), state.serial);
        let copy = State { files, names, durable_names, serial, ..State::default() };
        SimFolder(Arc::new(Mutex::new(copy)))
    }

    /// A sink for a file as it is after the last crash.
    fn sink(&self, file: u64) -> Box<dyn Sink> {
        let epoch = self.state().epoch;
        Box::new(SimFile { folder: self.clone(), file, epoch })
    }
}

impl State {
    fn file_mut(&mut self, name: &str) -> Option<&mut File> {
        let file = *self.names.get(name)?;
        self.files.get_mut(&file)
    }
}

impl Sink for SimFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.folder.state();
        if state.epoch != self.epoch {
            return Err(io::Error::other("the machine has crashed"));
        }
        let fits = state.room.map_or(bytes.len(), |room| bytes.len().min(room as usize));
        state.room = state.room.map(|room| room - fits as u64);
        if let Some(file) = state.files.get_mut(&self.file) {
            file.content.extend_from_slice(&bytes[..fits]);
        }
        if fits == bytes.len() { Ok(()) } else { Err(io::ErrorKind::StorageFull.into()) }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.folder.state();
        if state.epoch != self.epoch {
            return Err(io::Error::other("the machine has crashed"));
        }
        state.syncs += 1;
        match state.good_syncs {
            // As the kernel does: the pages count as clean from here, though they never reached the disk.
            Some(0) => return Err(io::Error::other("the disk has failed")),
            Some(left) => state.good_syncs = Some(left - 1),
            None => {}
        }
        if let Some(file) = state.files.get_mut(&self.file) {
            file.durable = file.content.len();
        }
        Ok(())
    }
}

impl Folder for SimFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        state.file_mut(name).map(|f| f.content.clone()).ok_or(io::ErrorKind::NotFound.into())
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn Sink>> {
        let mut state = self.state();
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.serial += 1;
        let file = state.serial;
        state.files.insert(file, File::default());
        state.names.insert(name.to_owned(), file);
        drop(state);
        Ok(self.sink(file))
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
