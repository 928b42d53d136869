//! Inventories as operators' tools keep them: tables in CSV, lists of hosts in YAML, and the nested
//! groups of Ansible's inventories.
//!
//! Reading is separate from validation (`spanlead-worker-attributes`): a reader extracts what is
//! stated where, with line and column, and reports what it cannot use as diagnostics with
//! locations.
//! The readers take bytes; only [`files`], [`archive`] and [`service`] use the disk.
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]
mod ansible;
pub mod archive;
mod change_notifier;
pub mod convert;
mod examine;
pub mod files;
mod managed_inventory;
mod manager;
mod mapping;
mod plain;
mod ranges;
pub mod service;
mod settings;
mod source;
mod status;
mod table;
mod variable_files;
mod yaml;

pub use examine::{ExaminedInventory, FileChanging, examine};
pub use mapping::{ColumnTarget, Form, MappedColumn, Mapping, ReadOptions};
pub use settings::{default_attributes, read_options};
pub use source::{InventoryFiles, SourceFile};
pub use spanlead_conf_file::Delimiter;

use spanlead_worker_attributes::{Diagnostic, RawInventory, SourceLocation};
use std::sync::Arc;

/// Reads an inventory. A file that cannot be read yields no hosts, and a diagnostic.
pub fn read(files: &InventoryFiles, options: &ReadOptions) -> RawInventory {
    let Some(main) = &files.main else {
        let diagnostic = Diagnostic::file_rejected(SourceLocation::default(), "", "there is no file");
        return rejected(Arc::from("?"), diagnostic);
    };
    let form = options.form_of(&main.name);
    if form == Form::Csv {
        return table::read(&main.name, main.text(), options);
    }
    let tree = match yaml::load(main.text(), 0) {
        Ok(tree) => tree,
        Err(diagnostic) => return rejected(main.name.clone(), diagnostic),
    };
    match form {
        Form::Hosts => plain::read(&main.name, &tree, options),
        Form::Yaml if plain::is_list(&tree) => plain::read(&main.name, &tree, options),
        _ => ansible::read(&main.name, &tree, files, options),
    }
}

fn rejected(name: Arc<str>, diagnostic: Diagnostic) -> RawInventory {
    RawInventory { files: vec![name], diagnostics: vec![diagnostic], ..RawInventory::default() }
}
