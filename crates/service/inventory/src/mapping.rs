//! Which column or key of a file has which attribute, and how a file is read.
use spanlead_conf_file::Delimiter;
use spanlead_worker_attributes::Attribute;

/// The names of a host's column or key, unless the settings give another one.
const HOST_COLUMNS: [&str; 3] = ["host", "hostname", "name"];
/// The most hosts, unless the settings give another limit.
const DEFAULT_MAX_HOSTS: usize = 100_000;

/// The form of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A table.
    Csv,
    /// One of the two forms of YAML, by its shape.
    Yaml,
    /// A list of hosts in YAML.
    Hosts,
    /// Nested groups in YAML, as Ansible's inventories are.
    Ansible,
}

/// What a column or key states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ColumnTarget {
    /// An attribute.
    Attribute(Attribute),
    /// A label of this name.
    Label(String),
}

/// A column or key whose name the settings give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MappedColumn {
    /// What it states.
    pub target: ColumnTarget,
    /// Its name in the file.
    pub column: String,
}

/// Which column or key states what. Names are compared without regard to case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mapping {
    /// The host's column, if the settings name it.
    pub host: Option<String>,
    /// The columns that the settings name; other attributes have columns of their own names.
    pub columns: Vec<MappedColumn>,
}

impl Mapping {
    /// What a column or key states, if anything.
    pub fn target(&self, key: &str) -> Option<ColumnTarget> {
        let is_mapped = |mapped: &&MappedColumn| mapped.column.eq_ignore_ascii_case(key);
        if let Some(mapped) = self.columns.iter().find(is_mapped) {
            return Some(mapped.target.clone());
        }
        let is_named = |attribute: &Attribute| attribute.name().eq_ignore_ascii_case(key);
        let target = ColumnTarget::Attribute(Attribute::ALL.into_iter().find(is_named)?);
        let has_other_column = self.columns.iter().any(|mapped| mapped.target == target);
        (!has_other_column).then_some(target)
    }

    /// Whether a column or key names the host.
    pub fn is_host(&self, key: &str) -> bool {
        match &self.host {
            Some(host) => host.eq_ignore_ascii_case(key),
            None => HOST_COLUMNS.iter().any(|host| host.eq_ignore_ascii_case(key)),
        }
    }

    /// The name of the host's column or key, for messages.
    pub fn host_column(&self) -> &str {
        self.host.as_deref().unwrap_or(HOST_COLUMNS[0])
    }
}

/// How a file is read.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadOptions {
    /// Its form; if unset, it follows from the ending of its name.
    pub form: Option<Form>,
    /// The delimiter of a table's fields.
    pub delimiter: Delimiter,
    /// Which column or key states what.
    pub mapping: Mapping,
    /// The most hosts.
    pub max_hosts: usize,
}

impl Default for ReadOptions {
    fn default() -> Self {
        ReadOptions {
            form: None,
            delimiter: Delimiter::Auto,
            mapping: Mapping::default(),
            max_hosts: DEFAULT_MAX_HOSTS,
        }
    }
}

impl ReadOptions {
    /// The form of a file of this name.
    pub fn form_of(&self, name: &str) -> Form {
        let ending = name.rsplit('.').next().unwrap_or("").to_ascii_lowercase();
        let is_yaml = matches!(&*ending, "yml" | "yaml" | "json");
        self.form.unwrap_or(if is_yaml { Form::Yaml } else { Form::Csv })
    }
}
