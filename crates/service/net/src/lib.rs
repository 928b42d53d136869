//! All reading and writing on sockets: clients and workers' notices, workers, discovery, peers, operators and the link to
//! another process of the same scheduler. What is read goes to the driver as a [`Message`]; nothing is decided here.
#![allow(missing_docs, reason = "fields and variants that say what they are need no second saying")]
pub mod clients;
mod clock;
pub mod discovery;
pub mod handover;
mod message;
pub mod operator;
pub mod peers;
pub mod role_caller;
pub mod wire;
pub mod workers;

pub use clock::Clock;
pub use message::Message;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The slack that the protocol gives each time limit on sockets.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// Locks; the runtime has one thread, so nobody waits, and a panic elsewhere leaves plain data behind.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
