//! `spanlead inventory convert`: a file in another form.
use super::args::{OutputForm, ReadingArgs};
use super::error::InventoryCommandError;
use super::sources::examine_inventory;
use spanlead_inventory::convert::{self, To};
use std::path::Path;

/// Writes a file in another form. What is refused is left out.
pub(super) fn convert(
    file: &Path,
    to: OutputForm,
    reading: &ReadingArgs,
) -> Result<(), InventoryCommandError> {
    let schema = reading.schema()?;
    let examined = examine_inventory(reading.inventory(file)?, &schema)?;
    for refusal in &examined.judged.refusals {
        eprintln!("{}", refusal.show(&examined.judged.files));
    }
    if examined.judged.refused().is_some() {
        return Err(InventoryCommandError::NothingWritten);
    }
    let to = match to {
        OutputForm::Csv => To::Csv,
        OutputForm::Yaml => To::Yaml,
        OutputForm::Json => To::Json,
    };
    convert::write(&examined.into_version(), to, std::io::stdout().lock())?;
    Ok(())
}
