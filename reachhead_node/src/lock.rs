//! Locks of the state that the tasks of a process share. A guard must not be held across an await.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex, even if a task panicked while holding it: each change under it is one
/// assignment, so the data is whole.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
