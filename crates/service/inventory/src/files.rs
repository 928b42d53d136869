//! The files of an inventory on a disk: read whole and bounded, and told apart by what the file system says of them.
use crate::mapping::{Form, Reading};
use crate::{Bundle, Text};
use spanlead_worker_attributes::{Place, Refusal};
use std::collections::BTreeMap;
use std::fs::{self, File, Metadata};
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// How deep folders of variables are looked into, and how many files are read beside an inventory.
const MAX_DEPTH: usize = 4;
const MAX_BESIDE: usize = 20_000;

/// What the file system says of an inventory's files. While it stays the same, so do they.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stamp(Vec<(PathBuf, u64, u64, i64, i64)>);

impl Stamp {
    fn add(&mut self, path: &Path, meta: &Metadata) {
        self.0.push((path.to_owned(), meta.ino(), meta.len(), meta.mtime(), meta.mtime_nsec()));
    }

    /// Whether there is any file.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Why a file was not read.
#[derive(Debug)]
pub enum Unread {
    /// It can't be used.
    Refused(Refusal, Arc<str>),
    /// It changed under the reader's hands.
    Changing,
}

/// The files beside an inventory: variables of groups and of hosts, by whose they are.
#[derive(Default)]
struct Beside {
    groups: BTreeMap<String, Vec<PathBuf>>,
    hosts: BTreeMap<String, Vec<PathBuf>>,
}

fn beside(file: &Path, reading: &Reading) -> Beside {
    let mut beside = Beside::default();
    if reading.form_of(&file.to_string_lossy()) == Form::Csv || reading.form == Some(Form::Hosts) {
        return beside;
    }
    let folder = file.parent().unwrap_or(Path::new("."));
    let mut left = MAX_BESIDE;
    for (name, all) in [("group_vars", &mut beside.groups), ("host_vars", &mut beside.hosts)] {
        for path in sorted(&folder.join(name)) {
            let Some(file_name) = path.file_name().and_then(|n| n.to_str()) else { continue };
            let (of, files) = if path.is_dir() {
                let mut files = Vec::new();
                below(&path, MAX_DEPTH, &mut files);
                (file_name, files)
            } else {
                (stem(file_name), vec![path.clone()])
            };
            left = left.saturating_sub(files.len());
            if left == 0 {
                break;
            }
            all.entry(of.to_owned()).or_default().extend(files);
        }
    }
    beside
}

/// A file's name without an ending that YAML has; a host's name keeps its dots.
fn stem(name: &str) -> &str {
    [".yml", ".yaml", ".json"].into_iter().find_map(|e| name.strip_suffix(e)).unwrap_or(name)
}

/// What stands in a folder, without what is hidden or an editor's copy.
fn sorted(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten().map(|e| e.path());
    let hidden = |p: &PathBuf| {
        p.file_name().and_then(|n| n.to_str()).is_none_or(|n| n.starts_with('.') || n.ends_with('~'))
    };
    let mut all: Vec<PathBuf> = entries.filter(|p| !hidden(p)).collect();
    all.sort_unstable();
    all
}

fn below(folder: &Path, depth: usize, files: &mut Vec<PathBuf>) {
    for path in sorted(folder) {
        if path.is_dir() {
            if depth > 0 {
                below(&path, depth - 1, files);
            }
        } else if files.len() < MAX_BESIDE {
            files.push(path);
        }
    }
}

/// What the file system says now.
pub fn stamp(file: &Path, reading: &Reading) -> Stamp {
    let mut stamp = Stamp::default();
    if let Ok(meta) = fs::metadata(file) {
        stamp.add(file, &meta);
    }
    let beside = beside(file, reading);
    for path in beside.groups.values().chain(beside.hosts.values()).flatten() {
        if let Ok(meta) = fs::metadata(path) {
            stamp.add(path, &meta);
        }
    }
    stamp
}

/// Reads an inventory and what belongs to it, at most `size` bytes in all; also the digest of the bytes.
///
/// # Errors
/// If there is no such file, or it is no file, too large, or changes meanwhile.
pub fn load(file: &Path, reading: &Reading, size: u64) -> Result<(Bundle, u128), Unread> {
    let before = stamp(file, reading);
    let mut left = size;
    let mut read = |path: &Path| -> Result<Text, Unread> {
        let name: Arc<str> = Arc::from(path.to_string_lossy());
        let refused = |why: String| Unread::Refused(Refusal::whole(Place::default(), "", why), name.clone());
        let meta = fs::metadata(path).map_err(|e| refused(format!("can't be read: {e}")))?;
        // A pipe would be waited for, a device never ends.
        if !meta.is_file() {
            let what = if meta.is_dir() { "a folder" } else { "something else" };
            return Err(refused(format!("is {what}, not a file")));
        }
        let mut bytes = Vec::new();
        let opened = File::open(path).map_err(|e| refused(format!("can't be read: {e}")))?;
        opened.take(left + 1).read_to_end(&mut bytes).map_err(|e| refused(format!("can't be read: {e}")))?;
        if bytes.len() as u64 > left {
            return Err(refused(format!("is larger than {size} bytes, with what belongs to it")));
        }
        left -= bytes.len() as u64;
        Ok(Text { name, bytes })
    };
    let main = read(file)?;
    let beside = beside(file, reading);
    let mut bundle = Bundle { main: Some(main), ..Bundle::default() };
    for (of, into) in [(beside.groups, &mut bundle.group_vars), (beside.hosts, &mut bundle.host_vars)] {
        for (name, paths) in of {
            let texts = paths.iter().map(|p| read(p)).collect::<Result<Vec<_>, _>>()?;
            into.insert(name, texts);
        }
    }
    if stamp(file, reading) != before {
        return Err(Unread::Changing);
    }
    let mut digest = Xxh3::new();
    let texts = bundle.main.iter().chain(bundle.group_vars.values().flatten());
    for text in texts.chain(bundle.host_vars.values().flatten()) {
        for part in [text.name.as_bytes(), &text.bytes] {
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
    }
    Ok((bundle, digest.digest128()))
}
