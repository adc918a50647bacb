//! Delay of this process's own link, and limits of calls that follow it.
//!
//! What a process sends queues on its own link. A call that times out in that queue says nothing
//! about its peer, and its retry takes as much of the link again
//! (docs/incidents/orders-that-expire-on-their-own-link.md).

use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new round trip in the mean.
const LEARNING_RATE: f64 = 0.125;

/// Age from which the last round trip says nothing about the link any more.
const MAX_AGE: Duration = Duration::from_millis(1000);

/// Round trips of a short call to a peer without an idle connection: one to connect and one for the
/// request, and as much again, since calls that are given up don't count in the mean.
const ROUND_TRIPS: u32 = 4;

/// Mean round trip of the latest calls that were answered at once, to all peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkDelay {
    mean: Option<Duration>,
    at: Option<Instant>,
}

impl LinkDelay {
    /// Returns a delay without round trips.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a round trip that ended at `now`.
    pub fn record(&mut self, round_trip: Duration, now: Instant) {
        let mean = self.mean(now).map_or(round_trip, |mean| {
            mean.mul_f64(1.0 - LEARNING_RATE) + round_trip.mul_f64(LEARNING_RATE)
        });
        self.mean = Some(mean);
        self.at = Some(now);
    }

    /// Returns the mean round trip, or `None` if there was none for a second.
    pub fn mean(&self, now: Instant) -> Option<Duration> {
        let is_recent = self.at.is_some_and(|at| now.saturating_duration_since(at) <= MAX_AGE);
        self.mean.filter(|_| is_recent)
    }
}

/// Limit of a call, between the time that its peer may take and the time that this process's own
/// link may add to that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimit {
    base: Duration,
    longest: Duration,
}

impl CallLimit {
    /// Returns a limit that does not depend on the link.
    pub const fn new(base: Duration) -> Self {
        Self { base, longest: base }
    }

    /// Sets the limit while the link is so slow that no call is answered.
    pub fn with_longest(self, longest: Duration) -> Self {
        Self { longest: longest.max(self.base), ..self }
    }

    /// Returns the limit while round trips take `delay`; `None` if no call was answered recently.
    pub fn under(self, delay: Option<Duration>) -> Duration {
        delay.map_or(self.longest, |delay| (self.base + ROUND_TRIPS * delay).min(self.longest))
    }
}
