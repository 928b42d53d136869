//! An inventory written anew, in the form that is wanted.
use csv::Writer;
use serde_json::{Map, Value, json};
use spanlead_worker_attributes::{Fact, Row, Said, Version};
use std::io;

/// The form to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// A table with a header.
    Csv,
    /// A list of hosts in YAML.
    Yaml,
    /// A JSON array of objects.
    Json,
}

fn hosts(version: &Version) -> Vec<(&str, &Row)> {
    let mut hosts: Vec<(&str, &Row)> = version.rows.iter().map(|(name, row)| (&**name, row)).collect();
    hosts.sort_unstable_by_key(|(name, _)| *name);
    hosts
}

/// A fact's one value. One that is in dispute has none: it would come back as something that was said.
fn value(row: &Row, fact: Fact) -> Option<Value> {
    match fact {
        Fact::Zone => row.zone.value().map(|w| json!(&**w)),
        Fact::Pod => row.pod.value().map(|w| json!(&**w)),
        Fact::Kind => row.kind.value().map(|w| json!(&**w)),
        Fact::Weight => row.weight.value().map(|n| json!(n)),
        Fact::Slots => row.slots.value().map(|n| json!(n)),
        Fact::Labels => match &row.labels {
            Said::This(labels, _) if !labels.is_empty() => Some(json!(&**labels)),
            _ => None,
        },
    }
}

/// Writes a version.
///
/// # Errors
/// If `out` can't be written to.
pub fn write(version: &Version, to: To, mut out: impl io::Write) -> io::Result<()> {
    match to {
        To::Csv => table(version, out),
        To::Json => {
            serde_json::to_writer_pretty(&mut out, &objects(version))?;
            writeln!(out)
        }
        To::Yaml => {
            // JSON is YAML: a flow mapping a line needs no quoting rules of our own.
            for object in objects(version) {
                writeln!(out, "- {object}")?;
            }
            Ok(())
        }
    }
}

fn objects(version: &Version) -> Vec<Value> {
    let object = |(name, row): (&str, &Row)| {
        let mut object = Map::from_iter([("host".to_owned(), json!(name))]);
        object.extend(Fact::ALL.into_iter().filter_map(|f| Some((f.name().to_owned(), value(row, f)?))));
        Value::Object(object)
    };
    hosts(version).into_iter().map(object).collect()
}

fn table(version: &Version, out: impl io::Write) -> io::Result<()> {
    let mut table = Writer::from_writer(out);
    let names = Fact::ALL.into_iter().map(Fact::name);
    table.write_record(std::iter::once("host").chain(names))?;
    for (name, row) in hosts(version) {
        let cell = |fact| match value(row, fact) {
            Some(Value::String(text)) => text,
            Some(Value::Object(_)) => row.show(fact).unwrap_or_default(),
            Some(other) => other.to_string(),
            None => String::new(),
        };
        table.write_record(std::iter::once(name.to_owned()).chain(Fact::ALL.into_iter().map(cell)))?;
    }
    table.flush()
}
