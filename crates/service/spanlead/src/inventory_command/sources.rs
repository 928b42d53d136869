//! The inventories and the endpoint list that the options name.
use super::args::{LiveArgs, ReadingArgs, SelectionArgs, SettingsArgs};
use super::error::InventoryCommandError;
use crate::config::Config;
use spanlead_conf_file::{self as conf, InventorySettings};
use spanlead_inventory::archive::Archive;
use spanlead_inventory::{ExaminedInventory, default_attributes, examine};
use spanlead_net::wire::EndpointList;
use spanlead_worker_attributes::{
    DefaultAttributes, InventorySource, LiveHost, MergedInventory, Schema, ValidatedInventory, Version,
    Vocabulary,
};
use std::path::Path;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The configuration file of the platform.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";

/// An inventory that was read and checked.
pub(super) struct Examined {
    pub(super) inventory: InventorySettings,
    pub(super) validated: ValidatedInventory,
    pub(super) digest: String,
}

impl Examined {
    /// It as a version that was read now.
    pub(super) fn into_version(self) -> Version {
        let ValidatedInventory { files, hosts, diagnostics, .. } = self.validated;
        Version { number: 0, digest: self.digest, read_ms: unix_ms(), files, hosts, diagnostics }
    }
}

/// Reads and checks an inventory.
pub(super) fn examine_inventory(
    inventory: InventorySettings,
    schema: &Schema,
) -> Result<Examined, InventoryCommandError> {
    let examined = examine(&inventory, schema);
    let ExaminedInventory { inventory: validated, digest } =
        examined.map_err(|_| InventoryCommandError::FileChanges(inventory.file.clone()))?;
    Ok(Examined { inventory, validated, digest })
}

/// Milliseconds since 1970.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn has_config() -> bool {
    std::env::var_os(CONFIG_VARIABLE).is_some_and(|value| !value.is_empty())
}

impl ReadingArgs {
    /// The zones and kinds that were given, or else those of the platform's configuration, or else
    /// any.
    pub(super) fn vocabulary(&self) -> Result<Vocabulary, InventoryCommandError> {
        let given = |names: &[String]| (!names.is_empty()).then(|| names.to_vec());
        let mut vocabulary = Vocabulary { zones: given(&self.zones), kinds: given(&self.kinds) };
        if has_config() {
            let names = Config::from_environment()?.deployment.names;
            vocabulary.zones = vocabulary.zones.or(Some(names.zones));
            vocabulary.kinds = vocabulary.kinds.or(Some(names.kinds));
        }
        Ok(vocabulary)
    }

    /// The schema by which attributes are checked.
    pub(super) fn schema(&self) -> Result<Schema, InventoryCommandError> {
        Schema::new(&self.vocabulary()?).map_err(|error| InventoryCommandError::Schema(error.to_string()))
    }

    /// The settings that these options would have as a section.
    pub(super) fn inventory(&self, file: &Path) -> Result<InventorySettings, InventoryCommandError> {
        let quoted = |text: &str| format!("'{}'", text.replace('\'', r"'\''"));
        let mut text = format!("inventory file\n  file {}\n", quoted(&file.to_string_lossy()));
        if let Some(format) = &self.format {
            text.push_str(&format!("  format {format}\n"));
        }
        for field in &self.fields {
            let (fact, name) =
                field.split_once('=').ok_or_else(|| InventoryCommandError::FieldOption(field.clone()))?;
            text.push_str(&format!("  field {} {}\n", quoted(fact), quoted(name)));
        }
        let conf = conf::parse("command line", text.as_bytes())
            .map_err(|errors| InventoryCommandError::Options(errors.to_string()))?;
        conf.inventories.into_iter().next().ok_or(InventoryCommandError::NoFile)
    }
}

impl SettingsArgs {
    fn inventories(&self) -> Result<Vec<InventorySettings>, InventoryCommandError> {
        let Some(path) = &self.conf else { return Err(InventoryCommandError::NoInventory) };
        let conf = conf::read(path).map_err(|errors| InventoryCommandError::Settings(errors.to_string()))?;
        let is_wanted =
            |inventory: &InventorySettings| self.name.as_ref().is_none_or(|name| *name == inventory.name);
        let wanted: Vec<InventorySettings> = conf.inventories.into_iter().filter(is_wanted).collect();
        if wanted.is_empty() {
            let name = self.name.clone().unwrap_or_else(|| "NAME".to_owned());
            return Err(InventoryCommandError::NoSection { conf: path.clone(), name });
        }
        Ok(wanted)
    }

    /// The only inventory.
    pub(super) fn only(&self) -> Result<InventorySettings, InventoryCommandError> {
        let mut inventories = self.inventories()?;
        if inventories.len() > 1 {
            return Err(InventoryCommandError::SeveralInventories);
        }
        Ok(inventories.remove(0))
    }
}

impl SelectionArgs {
    fn inventories(&self) -> Result<Vec<InventorySettings>, InventoryCommandError> {
        match &self.file {
            Some(file) => Ok(vec![self.reading.inventory(file)?]),
            None => self.settings.inventories(),
        }
    }

    /// All of them, read and checked.
    pub(super) fn examine(&self) -> Result<Vec<Examined>, InventoryCommandError> {
        let schema = self.reading.schema()?;
        let inventories = self.inventories()?.into_iter();
        inventories.map(|inventory| examine_inventory(inventory, &schema)).collect()
    }

    /// What they say together. A file that cannot be used adds nothing, and says so.
    pub(super) fn merged_inventory(&self) -> Result<MergedInventory, InventoryCommandError> {
        let mut merged_inventory =
            MergedInventory { sources: Vec::new(), defaults: DefaultAttributes::default() };
        let mut settings = Vec::new();
        for examined in self.examine()? {
            if let Some(diagnostic) = examined.validated.file_rejection() {
                eprintln!("spanlead: {}", diagnostic.describe(&examined.validated.files));
            }
            let inventory = examined.inventory.clone();
            let name = Arc::from(inventory.name.as_str());
            let version = Arc::new(examined.into_version());
            merged_inventory.sources.push(InventorySource {
                name,
                weight_first: inventory.weight_first,
                version,
            });
            settings.push(inventory);
        }
        merged_inventory.defaults = default_attributes(&settings);
        Ok(merged_inventory)
    }
}

impl LiveArgs {
    /// The endpoint list: of a file, or the last known one of the configuration, or none.
    pub(super) fn hosts(&self) -> Result<Vec<LiveHost>, InventoryCommandError> {
        if let Some(path) = &self.list {
            let text = std::fs::read(path)
                .map_err(|source| InventoryCommandError::ReadFile { file: path.clone(), source })?;
            let list = EndpointList::decode(&text);
            let list = list.ok_or_else(|| InventoryCommandError::NoList(path.clone()))?;
            return Ok(list.live_hosts());
        }
        if has_config() {
            return Ok(Config::known_endpoints()?.live_hosts());
        }
        Ok(Vec::new())
    }
}

/// The versions of an inventory that are kept.
pub(super) fn archive(inventory: &InventorySettings) -> Result<Archive, InventoryCommandError> {
    let folder = inventory.archive_directory.as_ref();
    let folder = folder.ok_or_else(|| InventoryCommandError::NoArchive(inventory.name.clone()))?;
    Ok(Archive::new(folder, &inventory.name, inventory.max_archived_versions))
}
