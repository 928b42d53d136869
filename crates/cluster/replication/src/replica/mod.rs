//! The state machine of one machine: witness, and backup, candidate or primary.
//!
//! `state` holds [`Replica`] itself; every other module adds the handling of one concern to it.
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
