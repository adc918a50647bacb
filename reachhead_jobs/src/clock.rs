//! Times: this process's steady clock, and what it knows of a worker's.

use std::{
    fmt::{self, Display, Formatter},
    ops::{Add, Sub},
};

use reachhead_types::size::Millis;
use serde::{Deserialize, Serialize};

/// A worker's clock may run this much slower than real time, by the platform's contract; in
/// thousandths.
const DRIFT_MILLIS: u64 = 20;

/// Slack beyond a computed lapse, for rounding and for the message that told the clock.
const LAPSE_SLACK: Millis = Millis(100);

/// A moment on this process's steady clock, in milliseconds from its start.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tick(pub u64);

impl Tick {
    /// Returns how long after `earlier` this is, nothing if it is before.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for Tick {
    type Output = Self;

    fn add(self, time: Millis) -> Self {
        Self(self.0.saturating_add(time.0))
    }
}

impl Sub<Millis> for Tick {
    type Output = Self;

    fn sub(self, time: Millis) -> Self {
        Self(self.0.saturating_sub(time.0))
    }
}

impl Display for Tick {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A moment on a worker's own steady clock, in milliseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerTime(pub u64);

/// The newest reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockSample {
    /// What the worker's clock showed.
    pub worker_time: WorkerTime,
    /// When the answer that told it arrived here.
    pub at: Tick,
}

impl ClockSample {
    /// Returns what the worker's clock shows now, at least if it runs true.
    pub fn estimate(self, now: Tick) -> WorkerTime {
        WorkerTime(self.worker_time.0 + now.since(self.at).0)
    }

    /// Returns a moment of this process's clock at which the worker's has surely passed `deadline`.
    pub fn surely_past(self, deadline: WorkerTime) -> Tick {
        let left = deadline.0.saturating_sub(self.worker_time.0);
        self.at + with_drift(Millis(left)) + LAPSE_SLACK
    }
}

/// Returns how long a span on a worker's clock lasts at most.
pub const fn with_drift(span: Millis) -> Millis {
    Millis(span.0 + span.0.div_ceil(1000 / DRIFT_MILLIS) + 1)
}
