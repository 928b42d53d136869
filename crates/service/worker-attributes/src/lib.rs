//! What is known of workers beside the live list. An inventory that some tool keeps says of a host
//! in which zone and pod it
//! stands, of which kind it is, what it can bear; here that is judged (`validate`), kept in versions
//! ([`InventoryVersions`]), laid beside
//! the live list ([`MergedInventory`]) and compared with it ([`reconcile`]). Nothing here reads or
//! writes: files come as what their
//! readers made of them ([`RawHost`]), the time comes as a number.
//!
//! Three things hold throughout:
//!
//! - **Nothing is guessed.** What two lines of a file say differently is unknown
//!   ([`AttributeValue::Conflicting`]), and both are named.
//! - **Every refusal names its place** and what was done instead ([`Diagnostic`]).
//! - **A file adds facts to hosts; it never makes one.** Only the live list does that.
mod diagnostic;
mod host_name;
mod host_record;
mod merged_inventory;
mod parse_value;
mod raw_inventory;
mod reconcile;
mod record_merge;
mod schema;
mod validate;
mod version;

pub use diagnostic::{Diagnostic, DiagnosticEffect, SourceLocation};
pub use host_name::{HostNameError, normalize_host_name};
pub use host_record::{Attribute, AttributeValue, HostRecord, Labels};
pub use merged_inventory::{DefaultAttributes, InventorySource, MergedInventory, ResolvedValue};
pub use raw_inventory::{Precedence, RawHost, RawInventory, RawValue, Statement};
pub use reconcile::{
    AttributeProvenance, Finding, FindingKind, LiveHost, ReconciliationCounts, ReconciliationReport,
    provenance, reconcile,
};
pub use schema::{Schema, SchemaError, Vocabulary, schema_document};
pub use validate::{ValidatedInventory, validate};
pub use version::{
    Change, ConfirmError, InventoryVersions, PendingVersion, RejectedVersion, UpdateLimits, UpdateOutcome,
    Version, changes_between, count_changed_hosts,
};
