//! Locking of plain data.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks. The runtime has one thread, so nobody waits, and a panic elsewhere leaves plain data
/// behind.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
