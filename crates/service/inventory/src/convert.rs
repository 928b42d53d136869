//! An inventory written anew, in the form that is wanted.
use csv::Writer;
use serde_json::{Map, Value, json};
use spanlead_worker_attributes::{Attribute, AttributeValue, HostRecord, Version};
use std::io;

/// The form to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// A table with a header.
    Csv,
    /// A list of hosts in YAML.
    Yaml,
    /// A JSON array of objects.
    Json,
}

fn hosts(version: &Version) -> Vec<(&str, &HostRecord)> {
    let mut hosts: Vec<(&str, &HostRecord)> =
        version.hosts.iter().map(|(name, record)| (&**name, record)).collect();
    hosts.sort_unstable_by_key(|(name, _)| *name);
    hosts
}

/// A fact's one value. One that is in dispute has none: it would come back as something that was
/// said.
fn value(record: &HostRecord, attribute: Attribute) -> Option<Value> {
    match attribute {
        Attribute::Zone => record.zone.value().map(|w| json!(&**w)),
        Attribute::Pod => record.pod.value().map(|w| json!(&**w)),
        Attribute::Kind => record.kind.value().map(|w| json!(&**w)),
        Attribute::Weight => record.weight.value().map(|n| json!(n)),
        Attribute::Slots => record.slots.value().map(|n| json!(n)),
        Attribute::Labels => match &record.labels {
            AttributeValue::Known(labels, _) if !labels.is_empty() => Some(json!(&**labels)),
            _ => None,
        },
    }
}

/// Writes a version.
///
/// # Errors
/// If `out` can't be written to.
pub fn write(version: &Version, to: OutputFormat, mut out: impl io::Write) -> io::Result<()> {
    match to {
        OutputFormat::Csv => table(version, out),
        OutputFormat::Json => {
            serde_json::to_writer_pretty(&mut out, &objects(version))?;
            writeln!(out)
        }
        OutputFormat::Yaml => {
            // JSON is YAML: a flow mapping a line needs no quoting rules of our own.
            for object in objects(version) {
                writeln!(out, "- {object}")?;
            }
            Ok(())
        }
    }
}

fn objects(version: &Version) -> Vec<Value> {
    let object = |(name, record): (&str, &HostRecord)| {
        let mut object = Map::from_iter([("host".to_owned(), json!(name))]);
        object.extend(
            Attribute::ALL.into_iter().filter_map(|f| Some((f.name().to_owned(), value(record, f)?))),
        );
        Value::Object(object)
    };
    hosts(version).into_iter().map(object).collect()
}

fn table(version: &Version, out: impl io::Write) -> io::Result<()> {
    let mut table = Writer::from_writer(out);
    let names = Attribute::ALL.into_iter().map(Attribute::name);
    table.write_record(std::iter::once("host").chain(names))?;
    for (name, record) in hosts(version) {
        let cell = |attribute| match value(record, attribute) {
            Some(Value::String(text)) => text,
            Some(Value::Object(_)) => record.describe(attribute).unwrap_or_default(),
            Some(other) => other.to_string(),
            None => String::new(),
        };
        table.write_record(std::iter::once(name.to_owned()).chain(Attribute::ALL.into_iter().map(cell)))?;
    }
    table.flush()
}
