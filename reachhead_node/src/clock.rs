//! The clocks of the process.

use std::{
    fmt::Debug,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use reachhead_jobs::clock::Tick;
use reachhead_types::{boot_instant::BootInstant, size::Millis};

/// The tick at the start of the process: far from zero, so that the age of a job older than the
/// process can be represented.
const START_TICK: u64 = 1_000_000_000;

/// The point in time from which a monotonic clock counts. Tests use one on Tokio's clock, which they can
/// pause, so that their results do not depend on how fast the machine is.
pub trait Start: Debug + Send + Sync {
    /// Returns the time since this point.
    fn elapsed(&self) -> Duration;
}

impl Start for BootInstant {
    fn elapsed(&self) -> Duration {
        Self::elapsed(*self)
    }
}

/// A monotonic clock and the time of day.
#[derive(Debug, Clone)]
pub struct Clock {
    start: Arc<dyn Start>,
}

impl Clock {
    /// Returns a clock that starts now.
    pub fn new() -> Self {
        Self::with_start(BootInstant::now())
    }

    /// Returns a clock that counts from `start`.
    pub fn with_start(start: impl Start + 'static) -> Self {
        Self { start: Arc::new(start) }
    }

    /// Returns the time on the monotonic clock.
    pub fn now(&self) -> Tick {
        Tick(START_TICK + self.start.elapsed().as_millis() as u64)
    }

    /// Returns the time of day, in milliseconds since 1970.
    pub fn wall(&self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Millis(since.as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
