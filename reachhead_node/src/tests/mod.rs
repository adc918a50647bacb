//! Processes and clocks for the tests of single modules.

use std::time::Duration;

use tokio::{
    runtime::{Builder, Runtime},
    time::Instant,
};

use crate::clock::{Clock, Start};

pub mod broken_node;
pub mod idle_node;
pub mod recorded_node;

impl Start for Instant {
    fn elapsed(&self) -> Duration {
        Self::elapsed(self)
    }
}

/// Returns a clock that follows Tokio's clock, also while that is paused.
pub fn tokio_clock() -> Clock {
    Clock::with_start(Instant::now())
}

/// Returns a runtime whose clock is paused: time passes only while all tasks wait, up to the next timer.
/// A test that waits for nothing but timers has the same result at any load. Calls on real sockets time out
/// at once, so that only those which are never answered have their usual result.
pub fn paused_runtime() -> Runtime {
    Builder::new_current_thread().enable_all().start_paused(true).build().unwrap()
}
