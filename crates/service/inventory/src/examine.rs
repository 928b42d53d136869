//! One inventory, read and validated once.
use crate::files::{self, LoadError};
use crate::settings::read_options;
use spanlead_conf_file::InventorySettings;
use spanlead_worker_attributes::{Schema, ValidatedInventory, validate};

/// An inventory that was read and validated.
#[derive(Debug)]
pub struct ExaminedInventory {
    /// What is known by it.
    pub inventory: ValidatedInventory,
    /// Identifies the content together with the schema that it was validated by.
    pub digest: String,
}

/// The files of an inventory changed while they were read.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the file changes while it is read")]
pub struct FileChanging;

/// Reads and validates an inventory. A file that cannot be read is a result too: a rejected one.
///
/// # Errors
/// If the files changed meanwhile; the caller should try again.
pub fn examine(settings: &InventorySettings, schema: &Schema) -> Result<ExaminedInventory, FileChanging> {
    let options = read_options(settings);
    match files::load(&settings.file, &options, settings.max_bytes) {
        Ok(loaded) => {
            // The same bytes are another version where other zones or kinds are known.
            let digest = format!("{:032x}", loaded.digest ^ u128::from(schema.fingerprint()));
            let inventory = validate(crate::read(&loaded.files, &options), schema);
            Ok(ExaminedInventory { inventory, digest })
        }
        Err(LoadError::Rejected { file, diagnostic }) => {
            let digest = format!("unread: {}", diagnostic.reason);
            let (files, diagnostics) = (vec![file], vec![diagnostic]);
            let inventory = ValidatedInventory { files, diagnostics, ..ValidatedInventory::default() };
            Ok(ExaminedInventory { inventory, digest })
        }
        Err(LoadError::Changing) => Err(FileChanging),
    }
}
