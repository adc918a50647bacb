//! Locks of what tasks of the process share. Nobody waits while holding one.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks. A task that panicked under it left nothing half done, since each change is one assignment.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
