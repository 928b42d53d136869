//! The operators' settings file `spanlead.conf`: read, checked and completed with defaults.
//!
//! The file is line-based. A line at the margin opens a section (`ledger`, `log`); an indented line
//! is `keyword argument...`. `#` begins a comment, arguments are quoted as in a shell, and
//! durations
//! and sizes carry units (`10s`, `250ms`, `16MiB`). All problems of a file are reported together,
//! as
//! `FILE:LINE: keyword: reason`; an unknown keyword is reported with the nearest known one.
//!
//! The grammar has four rules and is parsed here. Arguments (`shlex`), durations (`humantime`),
//! sizes (`bytesize`) and the nearest keyword (`strsim`, Damerau-Levenshtein) are left to
//! libraries.
//!
//! The keywords of the file are an interface and keep the operators' words; the fields of the types
//! have the standard terms (see `docs/glossary.md`).
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]
mod arguments;
mod conf_file;
mod durable_log;
mod inventory;
mod lines;
mod log;
mod membership;
mod problem;
mod roles;
mod section_reader;
mod suggestion;

pub use conf_file::{ConfFile, parse, read};
pub use durable_log::{DurableLogSettings, RecordedJobs};
pub use inventory::{
    ChangeDetection, ColumnMapping, DefaultValue, Delimiter, InventoryForm, InventorySettings,
};
pub use log::{LogFormat, LogLevel, LogSettings};
pub use membership::MembershipSettings;
pub use problem::{ConfFileErrors, Problem, SettingLocation};
pub use roles::{JointQuorum, RoleCallTarget, RoleLeaseSettings, RoleSettings};
