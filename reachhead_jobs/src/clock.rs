//! Monotonic clocks: this process's own, and bounds on the clocks of workers.

use std::{
    fmt::{self, Display, Formatter},
    ops::{Add, Sub},
};

use reachhead_types::size::Millis;
use serde::{Deserialize, Serialize};

/// How much slower than real time a worker's clock may run by the platform's contract, in
/// thousandths.
const MAX_DRIFT_PER_MILLE: u64 = 20;

/// Slack added to a computed expiry, for rounding and the transit time of the clock sample.
const EXPIRY_SLACK: Millis = Millis(100);

/// A time on this process's monotonic clock, in milliseconds since its start.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tick(pub u64);

impl Tick {
    /// Returns the time since `earlier`, or zero if that is in the future.
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

/// A time on a worker's own monotonic clock, in milliseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerTime(pub u64);

/// The latest sample of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockSample {
    /// Time that the worker's clock showed.
    pub worker_time: WorkerTime,
    /// When the answer with the sample arrived.
    pub at: Tick,
}

impl ClockSample {
    /// Returns the worker's time now, if its clock runs true.
    pub fn estimate(self, now: Tick) -> WorkerTime {
        WorkerTime(self.worker_time.0 + now.since(self.at).0)
    }

    /// Returns the time on this process's clock by which the worker's clock has certainly passed
    /// `deadline`.
    pub fn surely_past(self, deadline: WorkerTime) -> Tick {
        let remaining = deadline.0.saturating_sub(self.worker_time.0);
        self.at + with_drift(Millis(remaining)) + EXPIRY_SLACK
    }

    /// Returns whether the worker's clock can't have shown `shown` at `since` or later: it never goes
    /// back, and loses no more than the contract allows. A reading that is not excluded does not identify
    /// the incarnation, since the clock of another one may show the same.
    pub fn excludes(self, shown: WorkerTime, since: Tick) -> bool {
        let passed = since.since(self.at).0;
        let least = passed - (passed * MAX_DRIFT_PER_MILLE).div_ceil(1000);
        let earliest = (self.worker_time.0 + least).saturating_sub(self.at.since(since).0);
        shown.0 + EXPIRY_SLACK.0 < earliest
    }
}

/// Returns the longest real time that a span on a worker's clock can take.
pub const fn with_drift(span: Millis) -> Millis {
    Millis(span.0 + span.0.div_ceil(1000 / MAX_DRIFT_PER_MILLE) + 1)
}
