//! A backup: the session in which it receives the primary's batches, and the rules for replacing
//! it.
mod session;
mod state;

pub(crate) use session::StreamAction;
pub(crate) use state::{BackupState, PrimaryProgress};
