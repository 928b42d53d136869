//! The section `inventory`: a file that some tool maintains, as a source of workers' attributes.
use crate::arguments::{ArgumentError, Arguments};
use crate::section_reader::SectionReader;
use std::path::PathBuf;
use std::time::Duration;

/// What a column can be mapped to, beside `label.NAME`.
const COLUMN_ATTRIBUTES: [&str; 7] = ["host", "zone", "pod", "kind", "weight", "slots", "labels"];
const LABEL_PREFIX: &str = "label.";
const MIN_WEIGHT: f64 = 0.001;
const MAX_WEIGHT: f64 = 1000.0;
const MAX_SLOTS: u32 = 4096;
const MIN_FILE_BYTES: u64 = 1 << 10;
const MAX_FILE_BYTES: u64 = 1 << 30;
const DEFAULT_FILE_BYTES: u64 = 64 << 20;
const MAX_HOSTS: u64 = 1_000_000;
const DEFAULT_HOSTS: u64 = 20_000;
const DEFAULT_SKIPPED_FRACTION: f64 = 0.1;
const DEFAULT_CHANGED_FRACTION: f64 = 0.25;
const MAX_VERSIONS: u64 = 1000;
const DEFAULT_VERSIONS: u64 = 10;
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(3600);
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(5);
const MAX_SETTLE_TIME: Duration = Duration::from_secs(60);
const DEFAULT_SETTLE_TIME: Duration = Duration::from_millis(500);

/// The settings of an inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct InventorySettings {
    /// Its name.
    pub name: String,
    /// The file.
    pub file: PathBuf,
    /// The file's form; if unset, it follows from the name's ending and the shape of the content.
    pub form: Option<InventoryForm>,
    /// The delimiter of a table's fields.
    pub delimiter: Delimiter,
    /// Columns or keys whose names differ from the attributes' (keyword `field`).
    pub columns: Vec<ColumnMapping>,
    /// The most bytes of the file and the files that belong to it (keyword `size`).
    pub max_bytes: u64,
    /// The most hosts (keyword `hosts`).
    pub max_hosts: usize,
    /// The fraction of lines that may be skipped; above it the file is rejected (keyword
    /// `refuse-over`).
    pub max_skipped_fraction: f64,
    /// The fraction of hosts that a new version may change; above it the version stays pending
    /// until
    /// an operator confirms it (keyword `hold-over`).
    pub max_changed_fraction: f64,
    /// Whether its weights take precedence over those of the endpoint list (keyword `weight`).
    pub weight_first: bool,
    /// Values for hosts of which neither the endpoint list nor the file states one (keyword
    /// `default`).
    pub defaults: Vec<DefaultValue>,
    /// The directory of accepted versions (keyword `keep`).
    pub archive_directory: Option<PathBuf>,
    /// The accepted versions that are kept there (keyword `history`).
    pub max_archived_versions: usize,
    /// How changes of the file are detected (keyword `watch`).
    pub change_detection: ChangeDetection,
    /// The interval at which the file is polled, alone or beside notifications (keyword `poll`).
    pub poll_interval: Duration,
    /// How long a file must have stayed unchanged before it is read (keyword `settle`).
    pub settle_time: Duration,
}

/// A column or key and the attribute in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColumnMapping {
    /// The name of an attribute, `host` or `label.NAME`.
    pub attribute: String,
    /// The name of the column or key in the file.
    pub column: String,
}

/// The value of an attribute that nobody states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DefaultValue {
    /// `kind`, `weight` or `slots`.
    pub attribute: String,
    /// The value as it is written; it has been checked.
    pub value: String,
}

/// The form of an inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InventoryForm {
    /// A table of comma-separated values.
    Csv,
    /// A list of hosts in YAML.
    Hosts,
    /// Nested groups in YAML, as Ansible's inventories are.
    Ansible,
}

/// The delimiter of a table's fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delimiter {
    /// The one that the header has most of.
    #[default]
    Auto,
    /// `,`
    Comma,
    /// `;`
    Semicolon,
    /// A tab.
    Tab,
}

/// How changes of a file are detected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChangeDetection {
    /// By notifications of the operating system, and by polling in case one is lost.
    #[default]
    Notify,
    /// By polling alone, for file systems without notifications.
    Poll,
    /// Not at all: the file is read on SIGHUP (word `no`).
    Manual,
}

const FORMS: [(&str, InventoryForm); 3] =
    [("csv", InventoryForm::Csv), ("hosts", InventoryForm::Hosts), ("ansible", InventoryForm::Ansible)];
const DELIMITERS: [(&str, Delimiter); 4] = [
    ("auto", Delimiter::Auto),
    ("comma", Delimiter::Comma),
    ("semicolon", Delimiter::Semicolon),
    ("tab", Delimiter::Tab),
];
const CHANGE_DETECTIONS: [(&str, ChangeDetection); 3] =
    [("notify", ChangeDetection::Notify), ("poll", ChangeDetection::Poll), ("no", ChangeDetection::Manual)];
const WEIGHT_PRECEDENCES: [(&str, bool); 2] = [("list-first", false), ("file-first", true)];

impl InventorySettings {
    /// Reads a section. A keyword that cannot be used is reported and has its default here.
    pub(crate) fn read(section: &mut SectionReader<'_>) -> Option<Self> {
        let name = section.name();
        let file = section.required("file", |words| words.path());
        let mut settings = InventorySettings::with_defaults();
        settings.read_content(section);
        settings.read_limits(section);
        settings.read_archive(section);
        settings.read_change_detection(section);
        Some(InventorySettings { name: name?, file: file?, ..settings })
    }

    fn with_defaults() -> Self {
        InventorySettings {
            name: String::new(),
            file: PathBuf::new(),
            form: None,
            delimiter: Delimiter::default(),
            columns: Vec::new(),
            max_bytes: DEFAULT_FILE_BYTES,
            max_hosts: DEFAULT_HOSTS as usize,
            max_skipped_fraction: DEFAULT_SKIPPED_FRACTION,
            max_changed_fraction: DEFAULT_CHANGED_FRACTION,
            weight_first: false,
            defaults: Vec::new(),
            archive_directory: None,
            max_archived_versions: DEFAULT_VERSIONS as usize,
            change_detection: ChangeDetection::default(),
            poll_interval: DEFAULT_POLL_INTERVAL,
            settle_time: DEFAULT_SETTLE_TIME,
        }
    }

    /// How the file is understood.
    fn read_content(&mut self, section: &mut SectionReader<'_>) {
        self.form = section.optional("format", |words| words.choice(&FORMS));
        let delimiter = section.optional("delimiter", |words| words.choice(&DELIMITERS));
        self.delimiter = delimiter.unwrap_or_default();
        let mut seen = Vec::new();
        self.columns = section.repeated("field", |words| ColumnMapping::read(words, &mut seen));
        self.defaults = section.repeated("default", DefaultValue::read);
    }

    /// What is rejected or stays pending, and which weights take precedence.
    fn read_limits(&mut self, section: &mut SectionReader<'_>) {
        let bytes = section.optional("size", |words| words.size(MIN_FILE_BYTES, MAX_FILE_BYTES));
        self.max_bytes = bytes.unwrap_or(self.max_bytes);
        let hosts = section.optional("hosts", |words| words.number(1, MAX_HOSTS));
        self.max_hosts = hosts.unwrap_or(DEFAULT_HOSTS) as usize;
        let skipped = section.optional("refuse-over", |words| words.percentage());
        self.max_skipped_fraction = skipped.unwrap_or(self.max_skipped_fraction);
        let changed = section.optional("hold-over", |words| words.percentage());
        self.max_changed_fraction = changed.unwrap_or(self.max_changed_fraction);
        let precedence = section.optional("weight", |words| words.choice(&WEIGHT_PRECEDENCES));
        self.weight_first = precedence.unwrap_or(false);
    }

    fn read_archive(&mut self, section: &mut SectionReader<'_>) {
        self.archive_directory = section.optional("keep", |words| words.path());
        let versions = section.optional("history", |words| words.number(1, MAX_VERSIONS));
        self.max_archived_versions = versions.unwrap_or(DEFAULT_VERSIONS) as usize;
    }

    fn read_change_detection(&mut self, section: &mut SectionReader<'_>) {
        let detection = section.optional("watch", |words| words.choice(&CHANGE_DETECTIONS));
        self.change_detection = detection.unwrap_or_default();
        let poll = section.optional("poll", |words| words.duration(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL));
        self.poll_interval = poll.unwrap_or(self.poll_interval);
        let settle = section.optional("settle", |words| words.duration(Duration::ZERO, MAX_SETTLE_TIME));
        self.settle_time = settle.unwrap_or(self.settle_time);
    }
}

impl ColumnMapping {
    /// Reads a mapping; neither its attribute nor its column may be among those in `seen`.
    fn read(words: &mut Arguments<'_>, seen: &mut Vec<ColumnMapping>) -> Result<Self, ArgumentError> {
        let mapping = ColumnMapping { attribute: words.text()?, column: words.text()? };
        let ColumnMapping { attribute, column } = mapping.clone();
        let is_label = attribute.strip_prefix(LABEL_PREFIX).is_some_and(|label| !label.is_empty());
        if !is_label && !COLUMN_ATTRIBUTES.contains(&attribute.as_str()) {
            let known = COLUMN_ATTRIBUTES.join(", ");
            return Err(ArgumentError::UnknownAttribute { attribute, known });
        }
        let is_duplicate = |other: &ColumnMapping| {
            other.attribute == attribute || other.column.eq_ignore_ascii_case(&column)
        };
        if seen.iter().any(is_duplicate) {
            return Err(ArgumentError::DuplicateColumn { attribute, column });
        }
        seen.push(mapping.clone());
        Ok(mapping)
    }
}

impl DefaultValue {
    fn read(words: &mut Arguments<'_>) -> Result<Self, ArgumentError> {
        let attributes = [("kind", "kind"), ("weight", "weight"), ("slots", "slots")];
        let attribute = words.choice(&attributes)?.to_owned();
        let value = words.text()?;
        let is_valid = match attribute.as_str() {
            "weight" => value.parse().is_ok_and(|weight: f64| (MIN_WEIGHT..=MAX_WEIGHT).contains(&weight)),
            "slots" => value.parse().is_ok_and(|slots: u32| (1..=MAX_SLOTS).contains(&slots)),
            _ => true,
        };
        if is_valid {
            Ok(DefaultValue { attribute, value })
        } else {
            Err(ArgumentError::InvalidDefault { attribute, value })
        }
    }
}
