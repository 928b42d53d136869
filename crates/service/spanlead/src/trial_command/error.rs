//! Why a trial cannot be played, or has failed.
use std::io;
use std::path::PathBuf;

/// Why a trial cannot be played, or has failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TrialError {
    /// The deployment's file is faulty.
    #[error("the deployment can't be played:\n{0}")]
    Deployment(String),
    /// These options are for one scheduler.
    #[error("--trouble and --inventory are for one scheduler")]
    OneSchedulerOnly,
    /// Rules were broken so many times.
    #[error("{0} times a rule was broken")]
    RulesBroken(usize),
    /// A script cannot be read.
    #[error("{}: {source}", .file.display())]
    ReadScript {
        /// The script.
        file: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A script is faulty.
    #[error("{}:{reason}", .file.display())]
    Script {
        /// The script.
        file: PathBuf,
        /// The line and what is wrong with it.
        reason: String,
    },
    /// A script cannot be printed.
    #[error(transparent)]
    PrintScript(#[from] toml::ser::Error),
    /// Clients of a scheduler have failed.
    #[error(transparent)]
    Clients(#[from] tokio::task::JoinError),
    /// The system refuses something.
    #[error(transparent)]
    Io(#[from] io::Error),
}
