//! Locks around aggregates.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose holders never leave it half changed; a panic elsewhere is a bug that
/// ends the program, so poison means nothing here.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
