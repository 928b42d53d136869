//! The directory that a log lives in, as far as the log needs one.
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file whose lock says that a process writes the log.
const LOCK_FILE_NAME: &str = "lock";

/// A file that is written only at its end.
pub trait AppendFile: Send {
    /// Appends all of `bytes`.
    ///
    /// # Errors
    /// What the system reports; a part may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Returns when all that was appended is on disk.
    ///
    /// # Errors
    /// What the system reports; then it is not known whether what was appended since the last
    /// success is on disk.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of plain files.
pub trait Directory: Send {
    /// The names of its files.
    ///
    /// # Errors
    /// What the system reports.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole content of a file.
    ///
    /// # Errors
    /// What the system reports.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file, which must not exist.
    ///
    /// # Errors
    /// What the system reports.
    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>>;

    /// Gives a file another name, in place of any that has it.
    ///
    /// # Errors
    /// What the system reports.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// What the system reports.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Returns when the names of the directory's files are on disk.
    ///
    /// # Errors
    /// What the system reports.
    fn sync(&self) -> io::Result<()>;
}

/// A directory on a real disk.
#[derive(Debug)]
pub struct DiskDirectory {
    path: PathBuf,
    /// The system releases the lock when the descriptor is closed, however the process ends.
    _lock: Option<File>,
}

impl DiskDirectory {
    /// Locks a directory for writing, and creates it if it does not exist. `None` if another
    /// process has the lock. The lock lasts as long as the returned value.
    ///
    /// # Errors
    /// What the system reports.
    pub fn lock(path: &Path) -> io::Result<Option<Self>> {
        std::fs::create_dir_all(path)?;
        let mut options = OpenOptions::new();
        let lock = options.create(true).truncate(false).write(true).open(path.join(LOCK_FILE_NAME))?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(DiskDirectory { path: path.to_owned(), _lock: Some(lock) })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Opens a directory without locking it, to read a log that no process writes.
    ///
    /// # Errors
    /// If the directory can't be read.
    pub fn open_read_only(path: &Path) -> io::Result<Self> {
        std::fs::read_dir(path)?;
        Ok(DiskDirectory { path: path.to_owned(), _lock: None })
    }
}

impl Directory for DiskDirectory {
    fn list(&self) -> io::Result<Vec<String>> {
        // Names that are not UTF-8 are not ours.
        let names = std::fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().into_string().ok()));
        names.filter_map(Result::transpose).collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        Ok(Box::new(File::create_new(self.path.join(name))?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl AppendFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
