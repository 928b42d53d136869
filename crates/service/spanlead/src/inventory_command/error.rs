//! Why a command on inventories fails.
use crate::config::ConfigError;
use crate::operator_client::OperatorCallError;
use std::io;
use std::path::PathBuf;

/// Why a command on inventories fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InventoryCommandError {
    /// An option is not of its form.
    #[error("--field {0}: not FACT=NAME")]
    FieldOption(String),
    /// The options do not make a section of settings.
    #[error("{0}")]
    Options(String),
    /// The options name no file.
    #[error("no file")]
    NoFile,
    /// The options name no inventory.
    #[error("give --file FILE, or --conf FILE")]
    NoInventory,
    /// The operators' settings are faulty.
    #[error("the settings can't be used:\n{0}")]
    Settings(String),
    /// The settings have no such section.
    #[error("{}: no section `inventory {name}`", .conf.display())]
    NoSection {
        /// The settings.
        conf: PathBuf,
        /// The inventory's name.
        name: String,
    },
    /// The settings have several sections.
    #[error("there are several inventories: give --name")]
    SeveralInventories,
    /// A file was written while it was read.
    #[error("{}: changes while it is read", .0.display())]
    FileChanges(PathBuf),
    /// The schema of attributes cannot be made.
    #[error("{0}")]
    Schema(String),
    /// A file cannot be read.
    #[error("{}: {source}", .file.display())]
    ReadFile {
        /// The file.
        file: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file is no endpoint list.
    #[error("{}: is no list of workers", .0.display())]
    NoList(PathBuf),
    /// One line, attribute or file was refused.
    #[error("one refusal")]
    OneRefusal,
    /// So many were refused.
    #[error("{0} refusals")]
    Refusals(usize),
    /// A file was refused, for this reason.
    #[error("{0}")]
    FileRefused(String),
    /// A file was refused and is not converted.
    #[error("nothing is written")]
    NothingWritten,
    /// A scheduler is asked for one host only.
    #[error("with --at, name a host")]
    NoHost,
    /// The host's name is no name.
    #[error("{host:?} {reason}")]
    HostName {
        /// The name.
        host: String,
        /// What is wrong with it.
        reason: String,
    },
    /// Nobody knows the host.
    #[error("neither the list nor a file names {0:?}")]
    UnknownHost(String),
    /// The options do not name two versions.
    #[error("give two files, or --kept OLD NEW with --conf")]
    TwoVersions,
    /// The inventory has no archive.
    #[error("inventory {0} keeps no versions: no `keep`")]
    NoArchive(String),
    /// The configuration is faulty.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A scheduler's answer is no, or there is none.
    #[error(transparent)]
    Call(#[from] OperatorCallError),
    /// JSON cannot be read or written.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
