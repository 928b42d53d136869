//! A backup: the session in which it receives the primary's batches, and when it needs a new one.
mod session;
mod state;

pub(crate) use session::StreamAction;
pub(crate) use state::{BackupState, PrimaryProgress};
