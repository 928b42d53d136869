//! `spanlead inventory diff`: what differs between two files, or between two kept versions.
use super::args::{ReadingArgs, SettingsArgs};
use super::error::InventoryCommandError;
use super::sources::{archive, examine_inventory};
use super::{UNKNOWN, table};
use spanlead_worker_attributes::{Attribute, Schema, Version, changes_between};
use std::path::{Path, PathBuf};

/// The versions that the options name: two files, or two kept versions.
pub(super) struct Versions {
    pub(super) old: Option<PathBuf>,
    pub(super) new: Option<PathBuf>,
    pub(super) kept: Option<Vec<u64>>,
}

/// Prints what differs.
pub(super) fn show_differences(
    versions: Versions,
    reading: &ReadingArgs,
    settings: &SettingsArgs,
) -> Result<(), InventoryCommandError> {
    let (old, new) = match versions {
        Versions { old: Some(old), new: Some(new), kept: None } => {
            let schema = reading.schema()?;
            (read_version(&old, reading, &schema)?, read_version(&new, reading, &schema)?)
        }
        Versions { old: None, new: None, kept: Some(kept) } => {
            let archive = archive(&settings.only()?)?;
            (archive.read(kept[0])?, archive.read(kept[1])?)
        }
        _ => return Err(InventoryCommandError::TwoVersions),
    };
    print_differences(&old, &new);
    Ok(())
}

fn read_version(
    path: &Path,
    reading: &ReadingArgs,
    schema: &Schema,
) -> Result<Version, InventoryCommandError> {
    let examined = examine_inventory(reading.inventory(path)?, schema)?;
    match examined.validated.file_rejection() {
        Some(diagnostic) => {
            Err(InventoryCommandError::FileRefused(diagnostic.describe(&examined.validated.files)))
        }
        None => Ok(examined.into_version()),
    }
}

fn print_differences(old: &Version, new: &Version) {
    let changes = changes_between(old, new);
    let mut shown = table(["host", "fact", "from", "to"]);
    let mut hosts: Vec<&str> = Vec::new();
    for change in &changes {
        hosts.push(&change.host);
        let or_unknown = |text: &Option<String>| text.clone().unwrap_or_else(|| UNKNOWN.into());
        let fact = change.attribute.map_or(UNKNOWN.to_owned(), |fact: Attribute| fact.to_string());
        shown.add_row([change.host.to_string(), fact, or_unknown(&change.from), or_unknown(&change.to)]);
    }
    hosts.dedup();
    if !changes.is_empty() {
        println!("{shown}");
    }
    println!("{} hosts differ ({} before, {} now)", hosts.len(), old.hosts.len(), new.hosts.len());
}
