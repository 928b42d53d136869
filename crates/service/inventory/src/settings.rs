//! The settings of `spanlead.conf` in the terms of the readers and of the merge.
use crate::mapping::{ColumnTarget, Form, MappedColumn, Mapping, ReadOptions};
use spanlead_conf_file::{InventoryForm, InventorySettings};
use spanlead_worker_attributes::{Attribute, DefaultAttributes};
use std::sync::Arc;

/// The name by which settings refer to the host's column or key.
const HOST: &str = "host";
/// The prefix of a label's name.
const LABEL_PREFIX: &str = "label.";

/// How an inventory is read, by its settings.
pub fn read_options(settings: &InventorySettings) -> ReadOptions {
    let form = settings.form.map(|form| match form {
        InventoryForm::Csv => Form::Csv,
        InventoryForm::Hosts => Form::Hosts,
        InventoryForm::Ansible => Form::Ansible,
    });
    ReadOptions {
        form,
        delimiter: settings.delimiter,
        mapping: mapping(settings),
        max_hosts: settings.max_hosts,
    }
}

fn mapping(settings: &InventorySettings) -> Mapping {
    let mut mapping = Mapping::default();
    for setting in &settings.columns {
        let (attribute, column) = (setting.attribute.as_str(), setting.column.clone());
        if attribute == HOST {
            mapping.host = Some(column);
        } else if let Some(label) = attribute.strip_prefix(LABEL_PREFIX) {
            let target = ColumnTarget::Label(label.to_owned());
            mapping.columns.push(MappedColumn { target, column });
        } else if let Some(attribute) = Attribute::from_name(attribute) {
            let target = ColumnTarget::Attribute(attribute);
            mapping.columns.push(MappedColumn { target, column });
        }
    }
    mapping
}

/// The defaults of all inventories: the first inventory that sets one takes precedence.
pub fn default_attributes(inventories: &[InventorySettings]) -> DefaultAttributes {
    let first = |attribute: &str| {
        let mut defaults = inventories.iter().flat_map(|inventory| &inventory.defaults);
        defaults.find(|default| default.attribute == attribute).map(|default| default.value.as_str())
    };
    DefaultAttributes {
        kind: first("kind").map(Arc::from),
        weight: first("weight").and_then(|value| value.parse().ok()),
        slots: first("slots").and_then(|value| value.parse().ok()),
    }
}
