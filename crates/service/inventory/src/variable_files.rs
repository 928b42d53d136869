//! The files of variables beside an inventory: `group_vars/NAME` and `host_vars/NAME`, each a file
//! or a directory of files.
use crate::mapping::{Form, ReadOptions};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// How deep directories of variables may be nested.
const MAX_DIRECTORY_DEPTH: usize = 4;
/// The most files beside one inventory.
const MAX_FILES: usize = 20_000;
/// Endings of a file's name that are not a part of the group's or host's name.
const YAML_ENDINGS: [&str; 3] = [".yml", ".yaml", ".json"];

/// The paths of files by the group or host that they belong to.
type FilesByName = BTreeMap<String, Vec<PathBuf>>;

/// The files of variables beside an inventory.
#[derive(Default)]
pub(crate) struct VariableFiles {
    pub(crate) groups: FilesByName,
    pub(crate) hosts: FilesByName,
}

impl VariableFiles {
    /// The files beside an inventory; tables and lists have none.
    pub(crate) fn beside(file: &Path, options: &ReadOptions) -> Self {
        let form = options.form_of(&file.to_string_lossy());
        if matches!(form, Form::Csv | Form::Hosts) {
            return VariableFiles::default();
        }
        let directory = file.parent().unwrap_or(Path::new("."));
        let mut remaining = MAX_FILES;
        VariableFiles {
            groups: files_by_name(&directory.join("group_vars"), &mut remaining),
            hosts: files_by_name(&directory.join("host_vars"), &mut remaining),
        }
    }
}

fn files_by_name(directory: &Path, remaining: &mut usize) -> FilesByName {
    let mut by_name = FilesByName::new();
    for path in sorted_entries(directory) {
        let Some(file_name) = path.file_name().and_then(|name| name.to_str()) else { continue };
        let (name, files) = if path.is_dir() {
            let mut files = Vec::new();
            collect_files(&path, MAX_DIRECTORY_DEPTH, &mut files);
            (file_name, files)
        } else {
            (without_yaml_ending(file_name), vec![path.clone()])
        };
        *remaining = remaining.saturating_sub(files.len());
        if *remaining == 0 {
            break;
        }
        by_name.entry(name.to_owned()).or_default().extend(files);
    }
    by_name
}

/// A file's name without the ending of YAML; the dots of a host's name stay.
fn without_yaml_ending(name: &str) -> &str {
    YAML_ENDINGS.into_iter().find_map(|ending| name.strip_suffix(ending)).unwrap_or(name)
}

/// The entries of a directory by name, without hidden files and editors' backups.
fn sorted_entries(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).into_iter().flatten().flatten();
    let is_visible = |path: &PathBuf| {
        let name = path.file_name().and_then(|name| name.to_str());
        name.is_some_and(|name| !name.starts_with('.') && !name.ends_with('~'))
    };
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.path()).filter(is_visible).collect();
    paths.sort_unstable();
    paths
}

fn collect_files(directory: &Path, depth: usize, files: &mut Vec<PathBuf>) {
    for path in sorted_entries(directory) {
        if path.is_dir() {
            if depth > 0 {
                collect_files(&path, depth - 1, files);
            }
        } else if files.len() < MAX_FILES {
            files.push(path);
        }
    }
}
