//! The cluster scheduler tried out.
//!
//! [`Worker`] behaves as the protocol says and [`Rules`] judges what it sees; the scheduler's seeded runs use both. The
//! program `spanlead-cluster try` puts sockets round them, starts the real programs and troubles them.
mod rules;
mod worker;

pub mod clients;
pub mod operate;
pub mod platform;
pub mod processes;
pub mod report;
pub mod run;

pub use rules::Rules;
pub use worker::{CAPACITY, GANG_MS, HeldRun, MAX_HOLD_MS, STOP_MS, Worker};
