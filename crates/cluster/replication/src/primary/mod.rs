//! A primary: its lease, its backups, its batches, and the view changes that it proposes.
mod batches;
mod failure_detector;
mod lease;
mod membership;
mod session;
mod state;
mod view_change;

pub(crate) use batches::BatchTracker;
pub(crate) use lease::Grant;
pub(crate) use session::PrimarySession;
pub(crate) use state::PrimaryState;
pub(crate) use view_change::ViewChangeContext;
