//! The state machine of one machine: a witness that is also a backup, a candidate or a primary.
//!
//! `state` defines [`Replica`]; each of the other modules implements one concern of it.
mod backup;
mod bootstrap;
mod candidate;
mod discovery;
mod dispatch;
mod handover;
mod local_state;
mod outbox;
mod primary;
mod repair;
mod state;
mod view_proposal;
mod witness;

pub use state::Replica;
