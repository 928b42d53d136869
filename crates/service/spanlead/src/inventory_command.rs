//! `spanlead inventory`: inventories looked at without a scheduler, and a scheduler's inventories
//! from outside.
//!
//! - `args`: the options;
//! - `sources`: the inventories and the endpoint list that the options name;
//! - `check`, `show`, `report`, `diff`, `convert`, `history`: a command each;
//! - `error`: why a command fails.
mod args;
mod check;
mod convert;
mod diff;
mod error;
mod history;
mod report;
mod show;
mod sources;

pub(crate) use args::InventoryCommand;

use crate::operator_client::call;
use comfy_table::{Table, presets};
use error::InventoryCommandError;
use spanlead_worker_attributes::schema_document;

/// Shown where something is not known.
const UNKNOWN: &str = "-";

impl InventoryCommand {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<(), InventoryCommandError> {
        match self {
            InventoryCommand::Check { selection, json } => check::check(&selection, json),
            InventoryCommand::Show { host, selection, live, json } => {
                show::show(host, &selection, &live, json)
            }
            InventoryCommand::Report { selection, live, json, most } => {
                report::report(&selection, &live, json, most)
            }
            InventoryCommand::Diff { old, new, kept, reading, settings } => {
                diff::show_differences(diff::Versions { old, new, kept }, &reading, &settings)
            }
            InventoryCommand::Convert { file, to, reading } => convert::convert(&file, to, &reading),
            InventoryCommand::Schema { reading } => {
                let schema = schema_document(&reading.vocabulary()?);
                println!("{}", serde_json::to_string_pretty(&schema)?);
                Ok(())
            }
            InventoryCommand::History { settings } => history::show_history(&settings),
            InventoryCommand::Accept { name, digest, at } => {
                println!("{}", call(at, "POST", &format!("/ops/inventory/{name}/accept/{digest}"))?);
                Ok(())
            }
        }
    }
}

fn table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header);
    table
}

/// A text of a JSON answer.
fn text_of(value: &serde_json::Value) -> String {
    value.as_str().unwrap_or(UNKNOWN).to_owned()
}
