//! The files of an inventory on disk: read completely and with a bound on their size.
use crate::mapping::ReadOptions;
use crate::source::{InventoryFiles, SourceFile};
use crate::variable_files::VariableFiles;
use spanlead_worker_attributes::{Diagnostic, SourceLocation};
use std::fs::{self, File, Metadata};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// What the file system states of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FileState {
    path: PathBuf,
    inode: u64,
    bytes: u64,
    modified_s: i64,
    modified_ns: i64,
}

/// What the file system states of an inventory's files. While it stays the same, so do they.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileSnapshot {
    files: Vec<FileState>,
}

impl FileSnapshot {
    fn add(&mut self, path: &Path) {
        if let Ok(metadata) = fs::metadata(path) {
            self.files.push(FileState::of(path, &metadata));
        }
    }

    /// Whether there is no file.
    pub fn is_empty(&self) -> bool {
        self.files.is_empty()
    }
}

impl FileState {
    fn of(path: &Path, metadata: &Metadata) -> Self {
        FileState {
            path: path.to_owned(),
            inode: metadata.ino(),
            bytes: metadata.len(),
            modified_s: metadata.mtime(),
            modified_ns: metadata.mtime_nsec(),
        }
    }
}

/// Why files were not read.
#[derive(Debug)]
pub enum LoadError {
    /// A file cannot be used.
    Rejected {
        /// Its name.
        file: Arc<str>,
        /// What is wrong with it.
        diagnostic: Diagnostic,
    },
    /// They changed while they were read.
    Changing,
}

/// Files that were read.
#[derive(Clone, Debug)]
pub struct LoadedFiles {
    /// Their content.
    pub files: InventoryFiles,
    /// The XXH3-128 digest of their names and bytes.
    pub digest: u128,
}

/// What the file system states of an inventory's files now.
pub fn snapshot(file: &Path, options: &ReadOptions) -> FileSnapshot {
    let mut snapshot = FileSnapshot::default();
    snapshot.add(file);
    let variables = VariableFiles::beside(file, options);
    for path in variables.groups.values().chain(variables.hosts.values()).flatten() {
        snapshot.add(path);
    }
    snapshot
}

/// Reads an inventory and the files that belong to it, at most `max_bytes` in all.
///
/// # Errors
/// If there is no such file, if it is no regular file or too large, or if one changes meanwhile.
pub fn load(file: &Path, options: &ReadOptions, max_bytes: u64) -> Result<LoadedFiles, LoadError> {
    let before = snapshot(file, options);
    let mut reader = BoundedReader { max_bytes, remaining: max_bytes };
    let main = reader.read(file)?;
    let variables = VariableFiles::beside(file, options);
    let mut files = InventoryFiles { main: Some(main), ..InventoryFiles::default() };
    for (name, paths) in variables.groups {
        files.group_vars.insert(name, reader.read_all(&paths)?);
    }
    for (name, paths) in variables.hosts {
        files.host_vars.insert(name, reader.read_all(&paths)?);
    }
    if snapshot(file, options) != before {
        return Err(LoadError::Changing);
    }
    let digest = digest(&files);
    Ok(LoadedFiles { files, digest })
}

/// Reads files up to a number of bytes in all.
struct BoundedReader {
    max_bytes: u64,
    remaining: u64,
}

impl BoundedReader {
    fn read_all(&mut self, paths: &[PathBuf]) -> Result<Vec<SourceFile>, LoadError> {
        paths.iter().map(|path| self.read(path)).collect()
    }

    fn read(&mut self, path: &Path) -> Result<SourceFile, LoadError> {
        let name: Arc<str> = Arc::from(path.to_string_lossy());
        let reject = |reason: String| LoadError::Rejected {
            file: name.clone(),
            diagnostic: Diagnostic::file_rejected(SourceLocation::default(), "", reason),
        };
        let unreadable = |error: io::Error| reject(format!("can't be read: {error}"));
        let metadata = fs::metadata(path).map_err(unreadable)?;
        // Reading a pipe would block, and a device may never end.
        if !metadata.is_file() {
            let what = if metadata.is_dir() { "a folder" } else { "something else" };
            return Err(reject(format!("is {what}, not a file")));
        }
        let mut bytes = Vec::new();
        let opened = File::open(path).map_err(unreadable)?;
        opened.take(self.remaining + 1).read_to_end(&mut bytes).map_err(unreadable)?;
        if bytes.len() as u64 > self.remaining {
            let max_bytes = self.max_bytes;
            return Err(reject(format!("is larger than {max_bytes} bytes, with what belongs to it")));
        }
        self.remaining -= bytes.len() as u64;
        Ok(SourceFile { name, bytes })
    }
}

fn digest(files: &InventoryFiles) -> u128 {
    let mut digest = Xxh3::new();
    let variables = files.group_vars.values().chain(files.host_vars.values()).flatten();
    for file in files.main.iter().chain(variables) {
        for part in [file.name.as_bytes(), &file.bytes] {
            // With its length, so that no two lists of parts have the same bytes.
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
    }
    digest.digest128()
}
