//! `spanlead inventory history`: the versions that are kept.
use super::args::SettingsArgs;
use super::error::InventoryCommandError;
use super::sources::archive;
use super::table;
use spanlead_worker_attributes::Version;
use std::time::{Duration, UNIX_EPOCH};

/// Characters of a digest that are shown.
const SHOWN_DIGEST_CHARS: usize = 12;

/// Lists the versions that are kept.
pub(super) fn show_history(settings: &SettingsArgs) -> Result<(), InventoryCommandError> {
    let archive = archive(&settings.only()?)?;
    let mut shown = table(["version", "digest", "hosts", "refusals", "read"]);
    for number in archive.numbers() {
        match archive.read(number) {
            Ok(version) => drop(shown.add_row(version_row(number, &version))),
            Err(error) => drop(shown.add_row([number.to_string(), error.to_string()])),
        }
    }
    println!("{shown}");
    Ok(())
}

fn version_row(number: u64, version: &Version) -> [String; 5] {
    let read = UNIX_EPOCH + Duration::from_millis(version.read_ms);
    [
        number.to_string(),
        version.digest.chars().take(SHOWN_DIGEST_CHARS).collect(),
        version.hosts.len().to_string(),
        version.diagnostics.len().to_string(),
        humantime::format_rfc3339_seconds(read).to_string(),
    ]
}
