//! Inventories as tools keep them: tables in CSV, lists of hosts in YAML, and the nested form of Ansible's inventories.
//!
//! Reading is apart from judging (`spanlead-facts`): a reader says what stands where, with line and column, and never fails
//! otherwise than by a refusal that names its place. The readers take bytes; only [`files`], [`archive`] and [`desk`] know
//! of disks.
mod ansible;
pub mod archive;
pub mod convert;
pub mod desk;
pub mod files;
mod mapping;
mod plain;
mod ranges;
mod table;
mod yaml;

pub use mapping::{Form, Mapping, Reading, Target};
pub use spanlead_conf_file::Delimiter;

use spanlead_worker_attributes::{Place, RawFile, Refusal};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A file's name, as it stands in messages, and its bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Text {
    /// The name.
    pub name: Arc<str>,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// An inventory's file and those that belong to it, read but not understood.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bundle {
    /// The inventory itself.
    pub main: Option<Text>,
    /// Variables of groups beside it, `group_vars/NAME`; several files of one group in their order.
    pub group_vars: BTreeMap<String, Vec<Text>>,
    /// Variables of hosts beside it, `host_vars/NAME`.
    pub host_vars: BTreeMap<String, Vec<Text>>,
}

/// Reads an inventory.
pub fn read(bundle: &Bundle, reading: &Reading) -> RawFile {
    let Some(main) = &bundle.main else {
        return refused(Arc::from("?"), Refusal::whole(Place::default(), "", "there is no file"));
    };
    let bytes = main.bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(&main.bytes);
    match reading.form_of(&main.name) {
        Form::Csv => table::read(&main.name, bytes, reading),
        form => {
            let tree = match yaml::load(bytes, 0) {
                Ok(tree) => tree,
                Err(refusal) => return refused(main.name.clone(), refusal),
            };
            match form {
                Form::Hosts => plain::read(&main.name, &tree, reading),
                Form::Yaml if plain::is_list(&tree) => plain::read(&main.name, &tree, reading),
                _ => ansible::read(&main.name, &tree, bundle, reading),
            }
        }
    }
}

fn refused(name: Arc<str>, refusal: Refusal) -> RawFile {
    RawFile { files: vec![name], refusals: vec![refusal], ..RawFile::default() }
}
