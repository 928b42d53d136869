//! Good versions on disk, so that a start with a broken file goes on with the last good one. A file
//! each, written whole and
//! renamed into place; what can't be read is passed over, and said.
use spanlead_worker_attributes::Version;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

/// How a file begins; the digit is the form's.
const MAGIC: &[u8; 16] = b"spanlead-facts1\n";
/// The ending of the files' names.
const ENDING: &str = "facts";

/// The versions of one inventory in a folder.
#[derive(Clone, Debug)]
pub struct Archive {
    folder: PathBuf,
    name: String,
    history: usize,
}

impl Archive {
    /// The versions of the inventory `name` in `folder`, of which `history` are kept.
    pub fn new(folder: &Path, name: &str, history: usize) -> Self {
        Archive { folder: folder.to_owned(), name: name.to_owned(), history: history.max(1) }
    }

    fn path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("{}-{number:08}.{ENDING}", self.name))
    }

    /// The numbers of the versions that there are, the oldest first.
    pub fn numbers(&self) -> Vec<u64> {
        let entries = fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let number = |e: fs::DirEntry| {
            let name = e.file_name().into_string().ok()?;
            let rest = name.strip_prefix(&self.name)?.strip_prefix('-')?;
            rest.strip_suffix(ENDING)?.strip_suffix('.')?.parse().ok()
        };
        let mut numbers: Vec<u64> = entries.filter_map(number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Keeps a version, and forgets the oldest beyond the number that is kept.
    ///
    /// # Errors
    /// If the folder can't be written to; then the versions that were there are still there.
    pub fn keep(&self, version: &Version) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let body = postcard::to_stdvec(version).map_err(io::Error::other)?;
        let mut file = tempfile::Builder::new().prefix(".new-").tempfile_in(&self.folder)?;
        file.write_all(MAGIC)?;
        file.write_all(&xxh3_64(&body).to_le_bytes())?;
        file.write_all(&body)?;
        file.as_file().sync_all()?;
        file.persist(self.path(version.number)).map_err(|e| e.error)?;
        File::open(&self.folder)?.sync_all()?;
        let numbers = self.numbers();
        for number in &numbers[..numbers.len().saturating_sub(self.history)] {
            fs::remove_file(self.path(*number))?;
        }
        Ok(())
    }

    /// Forgets a version that turned out not to be usable.
    pub fn remove(&self, number: u64) {
        if let Err(error) = fs::remove_file(self.path(number)) {
            tracing::warn!(%error, number, "a version that is not used could not be removed");
        }
    }

    /// Reads a version.
    ///
    /// # Errors
    /// If it is not there or not whole.
    pub fn read(&self, number: u64) -> io::Result<Version> {
        let bytes = fs::read(self.path(number))?;
        let broken = |why: &str| {
            io::Error::new(io::ErrorKind::InvalidData, format!("{}: {why}", self.path(number).display()))
        };
        let rest = bytes.strip_prefix(MAGIC).ok_or_else(|| broken("is no version of an inventory"))?;
        let (sum, body) = rest.split_first_chunk::<8>().ok_or_else(|| broken("is cut off"))?;
        if xxh3_64(body) != u64::from_le_bytes(*sum) {
            return Err(broken("is damaged: its sum doesn't fit"));
        }
        postcard::from_bytes(body).map_err(|e| broken(&e.to_string()))
    }

    /// The newest version that is whole; those that aren't go to `broken`.
    pub fn newest(&self, mut broken: impl FnMut(io::Error)) -> Option<Version> {
        self.numbers().into_iter().rev().find_map(|n| self.read(n).map_err(&mut broken).ok())
    }
}
