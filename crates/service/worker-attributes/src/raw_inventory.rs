//! An inventory as a reader found it: hosts and statements about them, not validated.
use crate::diagnostic::{Diagnostic, SourceLocation};
use crate::host_record::Attribute;
use std::sync::Arc;

/// A value as it is written, not validated.
#[derive(Clone, Debug, PartialEq)]
pub enum RawValue {
    /// A word or number, as it is written.
    Text(String),
    /// Labels: name, value and location of each.
    Labels(Vec<(String, String, SourceLocation)>),
    /// A value that the reader can't use, with the reason.
    Unreadable(String),
}

/// The precedence of a statement among those of the same attribute of the same host. The highest
/// applies; equal ones with different values conflict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Precedence {
    /// The kind of place: a group's variables count less than a host's.
    pub layer: u8,
    /// The depth of the group below the root.
    pub depth: u16,
    /// The priority that the file gives the group.
    pub priority: i32,
}

/// A statement about a host: an attribute and its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The attribute.
    pub attribute: Attribute,
    /// The key or column as the file has it.
    pub key: Arc<str>,
    /// The value.
    pub value: RawValue,
    /// Its location.
    pub location: SourceLocation,
    /// Its precedence.
    pub precedence: Precedence,
}

/// A host as a reader found it.
#[derive(Clone, Debug, PartialEq)]
pub struct RawHost {
    /// Its name as it is written.
    pub host: String,
    /// Its location.
    pub location: SourceLocation,
    /// The statements about it.
    pub statements: Vec<Statement>,
}

/// An inventory as its reader returns it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawInventory {
    /// The files that it was read from; the first is the inventory's own.
    pub files: Vec<Arc<str>>,
    /// The hosts, in the order of the file.
    pub hosts: Vec<RawHost>,
    /// What the reader could not use. If one of them rejects the file, there are no hosts.
    pub diagnostics: Vec<Diagnostic>,
    /// Whether an invalid statement skips its whole line, as in a table; else only the attribute is
    /// unknown, as with inherited variables.
    pub by_line: bool,
    /// The column or key that names hosts, for messages.
    pub host_key: Arc<str>,
}
