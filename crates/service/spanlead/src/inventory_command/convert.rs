//! `spanlead inventory convert`: a file in another form.
use super::args::{OutputForm, ReadingArgs};
use super::error::InventoryCommandError;
use super::sources::examine_inventory;
use spanlead_inventory::convert::{self, OutputFormat};
use std::path::Path;

/// Writes a file in another form. What is refused is left out.
pub(super) fn convert(
    file: &Path,
    to: OutputForm,
    reading: &ReadingArgs,
) -> Result<(), InventoryCommandError> {
    let schema = reading.schema()?;
    let examined = examine_inventory(reading.inventory(file)?, &schema)?;
    for diagnostic in &examined.validated.diagnostics {
        eprintln!("{}", diagnostic.describe(&examined.validated.files));
    }
    if examined.validated.file_rejection().is_some() {
        return Err(InventoryCommandError::NothingWritten);
    }
    let to = match to {
        OutputForm::Csv => OutputFormat::Csv,
        OutputForm::Yaml => OutputFormat::Yaml,
        OutputForm::Json => OutputFormat::Json,
    };
    convert::write(&examined.into_version(), to, std::io::stdout().lock())?;
    Ok(())
}
