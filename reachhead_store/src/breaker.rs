//! A rate limiter and circuit breaker for calls to the store.
//!
//! The caller passes in the time; there is no I/O here.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Consecutive failures after which the breaker opens and calls fail at once.
pub const MAX_FAILURES: u32 = 3;

/// Initial pause between two probes of a store that is down; it doubles with each failed probe.
pub const MIN_PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two probes.
pub const MAX_PROBE_PAUSE: Duration = Duration::from_secs(2);

/// Time without any answer, while a call waits, after which the store counts as stalled.
///
/// A store that is only slow answers some call within this time, because it runs calls in several
/// partitions.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest delay that the rate limit may impose on a call before it fails the call instead.
pub const MAX_RATE_WAIT: Duration = Duration::from_millis(250);

/// Burst size of the rate limit, as the time in which the rate allows that many calls.
const BURST: Duration = Duration::from_secs(1);

/// The decision on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Make the call now.
    Proceed,
    /// Make the call after this delay, which keeps it within the rate.
    Wait(Duration),
    /// Fail the call at once: the rate limit would delay it longer than [`MAX_RATE_WAIT`].
    RateLimited,
    /// Fail the call at once: the store is down or stalled, and its next probe is not due.
    Down,
}

/// A rate limiter that assigns calls to slots of a virtual schedule, one interval per call.
#[derive(Debug, Clone)]
pub struct RateLimit {
    interval: Duration,
    /// The slot of the latest call; the next call gets the slot after it.
    next: Instant,
}

impl RateLimit {
    /// Returns a limiter of `rate` calls per second, with bursts of one second's worth of calls.
    pub fn new(rate: u32, now: Instant) -> Self {
        Self {
            interval: Duration::from_secs(1) / rate.max(1),
            next: now.checked_sub(BURST).unwrap_or(now),
        }
    }

    /// Decides on a call at `now`; a call that is `RateLimited` takes no slot.
    pub fn admit(&mut self, now: Instant) -> Admission {
        // The schedule may lag behind the clock by the burst at most.
        let floor = now.checked_sub(BURST).unwrap_or(now);
        let slot = self.next.max(floor) + self.interval;
        let wait = slot.saturating_duration_since(now);
        if wait > MAX_RATE_WAIT {
            return Admission::RateLimited;
        }
        self.next = slot;
        if wait.is_zero() { Admission::Proceed } else { Admission::Wait(wait) }
    }
}

/// The circuit breaker of a whole store, with its rate limit, or of one partition of a store.
#[derive(Debug, Clone)]
pub struct Breaker {
    rate_limit: Option<RateLimit>,
    consecutive_failures: u32,
    probe_pause: Duration,
    max_probe_pause: Duration,
    next_probe: Instant,
    /// Start times of the calls in flight, by call number.
    in_flight: BTreeMap<u64, Instant>,
    last_call: u64,
    last_answer: Instant,
    /// Start of the first call after the last answer; that call may have been abandoned since.
    unanswered_since: Option<Instant>,
    is_stalled: bool,
}

impl Breaker {
    /// Returns a breaker that also limits calls to `rate` per second, with bursts of one second's
    /// worth of calls.
    pub fn new(rate: u32, now: Instant) -> Self {
        Self { rate_limit: Some(RateLimit::new(rate, now)), ..Self::unlimited(now) }
    }

    /// Returns a breaker without a rate limit.
    pub fn unlimited(now: Instant) -> Self {
        Self {
            rate_limit: None,
            consecutive_failures: 0,
            probe_pause: MIN_PROBE_PAUSE,
            max_probe_pause: MAX_PROBE_PAUSE,
            next_probe: now,
            in_flight: BTreeMap::new(),
            last_call: 0,
            last_answer: now,
            unanswered_since: None,
            is_stalled: false,
        }
    }

    /// Sets the longest pause between two probes.
    #[must_use]
    pub fn with_max_probe_pause(self, max_probe_pause: Duration) -> Self {
        Self { max_probe_pause, ..self }
    }

    /// Records the start of a call and returns its number.
    pub fn start_call(&mut self, now: Instant) -> u64 {
        self.last_call += 1;
        self.unanswered_since.get_or_insert(now);
        self.in_flight.insert(self.last_call, now);
        self.last_call
    }

    /// Records that a call ended, with or without an answer.
    pub fn end_call(&mut self, number: u64) {
        self.in_flight.remove(&number);
    }

    /// Updates the stall state and returns whether a new call must fail: a stalled store gets one
    /// call at a time until it answers.
    fn check_stall(&mut self, now: Instant) -> bool {
        let oldest =
            self.in_flight.values().next().copied().into_iter().chain(self.unanswered_since).min();
        let since = oldest.map(|started| started.max(self.last_answer));
        self.is_stalled |= since.is_some_and(|since| now > since + STALL_TIMEOUT);
        self.is_stalled && !self.in_flight.is_empty()
    }

    /// Returns whether the breaker is closed or its next probe is due.
    pub fn admits(&self, now: Instant) -> bool {
        !self.is_down() || now >= self.next_probe
    }

    /// Decides on a call at `now`; only `Proceed` and `Wait` count against the rate limit.
    pub fn admit(&mut self, now: Instant) -> Admission {
        if self.check_stall(now) {
            return Admission::Down;
        }
        if !self.admits(now) {
            return Admission::Down;
        }
        if self.is_down() {
            // Only this call is the probe; other calls fail until it ends or the pause is over.
            self.next_probe = now + self.probe_pause;
        }
        self.rate_limit.as_mut().map_or(Admission::Proceed, |limit| limit.admit(now))
    }

    /// Records that the store answered.
    pub fn record_success(&mut self, now: Instant) {
        self.last_answer = now;
        self.unanswered_since = None;
        self.is_stalled = false;
        self.consecutive_failures = 0;
        self.probe_pause = MIN_PROBE_PAUSE;
    }

    /// Records that a call failed; `jitter` in 0..1 spreads the probes of many hosts.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.is_down() {
            self.next_probe = now + self.probe_pause.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
            self.probe_pause = (self.probe_pause * 2).min(self.max_probe_pause);
        }
    }

    /// Returns whether the breaker is open because of failures.
    pub fn is_down(&self) -> bool {
        self.consecutive_failures >= MAX_FAILURES
    }

    /// Returns whether a call that is admitted now is a probe.
    ///
    /// Only the answer to a probe closes the breaker, so a probe must run to its end even if its
    /// caller stops waiting.
    pub fn is_probing(&self) -> bool {
        self.is_stalled || self.is_down()
    }
}
