//! All reading and writing.
pub mod clients;
pub mod discovery;
pub mod operator;
pub mod peers;
pub mod relay;
pub mod wire;
pub mod workers;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks; the runtime has one thread, so nobody waits, and a panic elsewhere leaves plain data behind.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
