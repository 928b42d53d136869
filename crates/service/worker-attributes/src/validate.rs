//! Validation of an inventory: which hosts and attributes are used, and why the others are not.
use crate::diagnostic::{Diagnostic, DiagnosticEffect, SourceLocation};
use crate::host_name::normalize_host_name;
use crate::host_record::{Attribute, HostRecord};
use crate::parse_value::{ParsedValue, ValueError, ValueParser};
use crate::raw_inventory::{Precedence, RawHost, RawInventory, Statement};
use crate::record_merge::{add_statement, clear_attribute, merge_records};
use crate::schema::Schema;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::hash_map::Entry;
use std::sync::Arc;

/// A validated inventory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValidatedInventory {
    /// The files that it was read from.
    pub files: Vec<Arc<str>>,
    /// The hosts, by their normalized names.
    pub hosts: FxHashMap<Arc<str>, HostRecord>,
    /// What is wrong with it, in the order of the lines.
    pub diagnostics: Vec<Diagnostic>,
    /// How many entries of hosts there were, valid or not.
    pub entries: usize,
}

impl ValidatedInventory {
    /// Why the file is rejected as a whole, if it is.
    pub fn file_rejection(&self) -> Option<&Diagnostic> {
        self.diagnostics.iter().find(|diagnostic| diagnostic.effect == DiagnosticEffect::FileRejected)
    }

    /// How many of its lines were skipped.
    pub fn skipped_lines(&self) -> usize {
        self.diagnostics
            .iter()
            .filter(|diagnostic| diagnostic.effect == DiagnosticEffect::LineSkipped)
            .count()
    }
}

/// Validates an inventory as a whole. It never fails: what can't be used is in the diagnostics.
pub fn validate(raw: RawInventory, schema: &Schema) -> ValidatedInventory {
    let mut validated = ValidatedInventory {
        files: raw.files,
        diagnostics: raw.diagnostics,
        ..ValidatedInventory::default()
    };
    validated.entries = raw.hosts.len() + validated.skipped_lines();
    if validated.file_rejection().is_none() {
        let mut validator = Validator {
            parser: ValueParser::new(schema),
            reported: FxHashSet::default(),
            skips_lines: raw.by_line,
            host_key: raw.host_key,
            validated,
        };
        raw.hosts.iter().for_each(|host| validator.add_host(host));
        validated = validator.validated;
    }
    validated.diagnostics.sort_by(|a, b| (a.location, &a.key, a.effect).cmp(&(b.location, &b.key, b.effect)));
    validated
}

/// A statement with its validated value.
struct ValidStatement<'r> {
    statement: &'r Statement,
    value: ParsedValue,
}

/// A statement that can't be used, with the reason.
struct InvalidStatement<'r> {
    statement: &'r Statement,
    error: ValueError,
}

/// The statements about a host that have the highest precedence for their attribute.
#[derive(Default)]
struct HostStatements<'r> {
    valid: Vec<ValidStatement<'r>>,
    invalid: Vec<InvalidStatement<'r>>,
}

struct Validator<'s> {
    parser: ValueParser<'s>,
    /// Statements that were reported: a variable of a group is met with each of its hosts.
    reported: FxHashSet<(SourceLocation, Attribute)>,
    /// See [`RawInventory::by_line`].
    skips_lines: bool,
    host_key: Arc<str>,
    validated: ValidatedInventory,
}

impl Validator<'_> {
    fn add_host(&mut self, raw: &RawHost) {
        let name = match normalize_host_name(&raw.host) {
            Ok(name) => self.parser.intern(&name),
            Err(error) => {
                let reason = format!("{:?} {error}", raw.host);
                let host_key = self.host_key.clone();
                return self.report(raw.location, &host_key, reason, DiagnosticEffect::LineSkipped);
            }
        };
        let statements = self.parse_statements(raw);
        self.report_invalid(&statements.invalid);
        if self.skips_lines && !statements.invalid.is_empty() {
            return;
        }
        let record = host_record(raw, statements);
        self.report_conflicts(&name, &record);
        self.add_record(name, record);
    }

    fn parse_statements<'r>(&mut self, raw: &'r RawHost) -> HostStatements<'r> {
        let mut statements = HostStatements::default();
        for attribute in Attribute::ALL {
            for statement in statements_with_highest_precedence(raw, attribute) {
                match self.parser.parse(statement) {
                    Ok(Some(value)) => statements.valid.push(ValidStatement { statement, value }),
                    Ok(None) => {}
                    Err(error) => statements.invalid.push(InvalidStatement { statement, error }),
                }
            }
        }
        statements
    }

    /// Reports the first invalid statement where it skips its line, else each, once.
    fn report_invalid(&mut self, invalid: &[InvalidStatement<'_>]) {
        for InvalidStatement { statement, error } in invalid {
            let Statement { location, attribute, key, .. } = statement;
            if self.skips_lines {
                return self.report(*location, key, error.to_string(), DiagnosticEffect::LineSkipped);
            }
            if self.reported.insert((*location, *attribute)) {
                self.report(*location, key, error.to_string(), DiagnosticEffect::AttributeUnknown);
            }
        }
    }

    /// Reports the attributes of which a host's statements differ.
    fn report_conflicts(&mut self, name: &str, record: &HostRecord) {
        for attribute in Attribute::ALL {
            let locations = record.disputed(attribute);
            let [first, .., last] = locations[..] else { continue };
            if !self.reported.insert((last, attribute)) {
                continue;
            }
            let files = &self.validated.files;
            let (first, second) = (first.describe(files), last.describe(files));
            let values = record.describe(attribute).unwrap_or_default();
            let reason = format!("{first} and {second} say differently of {name}: {values}");
            self.report(last, attribute.name(), reason, DiagnosticEffect::AttributeUnknown);
        }
    }

    /// Adds a host's record, or merges it with that of an earlier line.
    fn add_record(&mut self, name: Arc<str>, record: HostRecord) {
        let mut known = match self.validated.hosts.entry(name.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(record);
                return;
            }
            Entry::Occupied(entry) => entry,
        };
        let conflicting = merge_records(known.get_mut(), &record);
        let merged = known.get().clone();
        self.report_second_line(&name, &merged, &record, &conflicting);
    }

    /// Reports that a host has a second line, with the attributes that conflict.
    fn report_second_line(
        &mut self,
        name: &str,
        merged: &HostRecord,
        second: &HostRecord,
        conflicting: &[Attribute],
    ) {
        let first_line = merged.location.describe(&self.validated.files);
        if conflicting.is_empty() {
            let reason = format!("{name} stands at {first_line} already, without contradiction");
            let host_key = self.host_key.clone();
            self.report(second.location, &host_key, reason, DiagnosticEffect::Warning);
        }
        for attribute in conflicting.iter().copied() {
            let values = merged.describe(attribute).unwrap_or_default();
            let files = &self.validated.files;
            let other = merged.location(attribute).map_or(first_line.clone(), |at| at.describe(files));
            let reason = format!("{name} stands at {other} already with another {attribute}: {values}");
            let location = second.location(attribute).unwrap_or(second.location);
            self.report(location, attribute.name(), reason, DiagnosticEffect::AttributeUnknown);
        }
    }

    fn report(&mut self, location: SourceLocation, key: &str, reason: String, effect: DiagnosticEffect) {
        let diagnostic = Diagnostic { location, key: key.into(), reason, effect };
        self.validated.diagnostics.push(diagnostic);
    }
}

/// The statements about an attribute that have the highest precedence.
fn statements_with_highest_precedence(
    raw: &RawHost,
    attribute: Attribute,
) -> impl Iterator<Item = &Statement> {
    let of_attribute = move |statement: &&Statement| statement.attribute == attribute;
    let precedences = raw.statements.iter().filter(of_attribute).map(|statement| statement.precedence);
    let highest: Precedence = precedences.max().unwrap_or_default();
    raw.statements.iter().filter(of_attribute).filter(move |statement| statement.precedence == highest)
}

/// The record of one line. An attribute with an invalid statement is unknown: a statement of lower
/// precedence must not take its place.
fn host_record(raw: &RawHost, statements: HostStatements<'_>) -> HostRecord {
    let mut record = HostRecord { location: raw.location, ..HostRecord::default() };
    for ValidStatement { statement, value } in statements.valid {
        add_statement(&mut record, value, statement);
    }
    for InvalidStatement { statement, .. } in &statements.invalid {
        clear_attribute(&mut record, statement.attribute);
    }
    record
}
