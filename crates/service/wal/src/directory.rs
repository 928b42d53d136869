//! The file system operations that a log needs: a directory and files that are appended to.
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file that a process holds locked while it writes the log.
const LOCK_FILE_NAME: &str = "lock";

/// A file that is only appended to.
pub trait AppendFile: Send {
    /// Appends all of `bytes`.
    ///
    /// # Errors
    /// The I/O error of the system. Part of `bytes` may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Blocks until all appended bytes are on disk.
    ///
    /// # Errors
    /// The I/O error of the system. The bytes appended since the last successful sync may then be
    /// on disk or not.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of plain files.
pub trait Directory: Send {
    /// Returns the names of the files in the directory.
    ///
    /// # Errors
    /// The I/O error of the system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the whole content of a file.
    ///
    /// # Errors
    /// The I/O error of the system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file.
    ///
    /// # Errors
    /// The I/O error of the system, also if the file exists.
    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>>;

    /// Renames a file, replacing any file called `to`.
    ///
    /// # Errors
    /// The I/O error of the system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The I/O error of the system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Blocks until the created, renamed and removed names of the directory's files are on disk.
    ///
    /// # Errors
    /// The I/O error of the system.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub struct DiskDirectory {
    path: PathBuf,
    /// The locked file; `None` if the directory was opened read-only. The system releases the lock
    /// when the descriptor is closed, however the process ends.
    _lock: Option<File>,
}

impl DiskDirectory {
    /// Locks a directory for writing, and creates it if it does not exist. Returns `None` if
    /// another process holds the lock. The lock is held until the returned value is dropped.
    ///
    /// # Errors
    /// The I/O error of the system.
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
    /// The I/O error of the system if the directory can't be read.
    pub fn open_read_only(path: &Path) -> io::Result<Self> {
        std::fs::read_dir(path)?;
        Ok(DiskDirectory { path: path.to_owned(), _lock: None })
    }
}

impl Directory for DiskDirectory {
    fn list(&self) -> io::Result<Vec<String>> {
        // The log creates only names in UTF-8; others belong to other programs.
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
