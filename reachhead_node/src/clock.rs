//! The clocks of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use reachhead_jobs::clock::Tick;
use reachhead_types::{boot_instant::BootInstant, size::Millis};

/// The tick at the start of the process: far from zero, so that the age of a job older than the
/// process can be represented.
const START_TICK: u64 = 1_000_000_000;

/// A monotonic clock and the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: BootInstant,
}

impl Clock {
    /// Returns a clock that starts now.
    pub fn new() -> Self {
        Self { start: BootInstant::now() }
    }

    /// Returns the time on the monotonic clock.
    pub fn now(self) -> Tick {
        Tick(START_TICK + self.start.elapsed().as_millis() as u64)
    }

    /// Returns the time of day, in milliseconds since 1970.
    pub fn wall(self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Millis(since.as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
