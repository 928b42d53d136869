//! The folder that a log lives in, as far as the log needs one.
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A file being written, only ever at its end.
pub trait Sink: Send {
    /// Appends all of it.
    ///
    /// # Errors
    /// The system's; a part may have been written.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Returns when all that was appended is on disk.
    ///
    /// # Errors
    /// The system's; nothing can be said then of what was appended since the last success.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of plain files.
pub trait Folder: Send {
    /// The names of its files.
    ///
    /// # Errors
    /// The system's.
    fn list(&self) -> io::Result<Vec<String>>;

    /// A file's whole content.
    ///
    /// # Errors
    /// The system's.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// A new file, which must not exist.
    ///
    /// # Errors
    /// The system's.
    fn create(&self, name: &str) -> io::Result<Box<dyn Sink>>;

    /// Gives a file another name, in place of any that has it.
    ///
    /// # Errors
    /// The system's.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The system's.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Returns when the folder's names are on disk.
    ///
    /// # Errors
    /// The system's.
    fn sync(&self) -> io::Result<()>;
}

/// A folder on a real disk. While it lives nobody else can take it.
#[derive(Debug)]
pub struct Disk {
    path: PathBuf,
    /// Held by the system for as long as the descriptor is open, however the process ends.
    _lock: Option<File>,
}

impl Disk {
    /// Takes the folder, and makes it if it is not there. `None` if another process holds it.
    ///
    /// # Errors
    /// The system's.
    pub fn take(path: &Path) -> io::Result<Option<Self>> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(Disk { path: path.to_owned(), _lock: Some(lock) })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Looks at a folder without taking it: for reading what lies at rest.
    ///
    /// # Errors
    /// If it is not there.
    pub fn look(path: &Path) -> io::Result<Self> {
        std::fs::read_dir(path)?;
        Ok(Disk { path: path.to_owned(), _lock: None })
    }
}

impl Folder for Disk {
    fn list(&self) -> io::Result<Vec<String>> {
        let names = std::fs::read_dir(&self.path)?.map(|e| Ok(e?.file_name().into_string().ok()));
        names.filter_map(Result::transpose).collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn Sink>> {
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

impl Sink for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
