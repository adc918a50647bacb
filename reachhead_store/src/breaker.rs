//! Decides whether a call to the store is worth making: a rate limit and a circuit breaker.
//!
//! Pure logic over a clock that the caller passes in.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Failures in a row after which calls fail at once.
pub const MAX_FAILURES: u32 = 3;

/// First pause between two probes of a store that is down.
pub const MIN_PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two probes.
pub const MAX_PROBE_PAUSE: Duration = Duration::from_secs(2);

/// How long a call may go without an answer, and no other have one since it was made, before the store counts
/// as stalled. One that is slow answers some call within this: it carries calls out in several parts.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest wait for the rate limit that is worth it to a caller.
pub const MAX_RATE_WAIT: Duration = Duration::from_millis(250);

/// Calls that may go at once after a quiet time, as a time's worth of the rate.
const BURST: Duration = Duration::from_secs(1);

/// What to do with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Make it.
    Proceed,
    /// Make it after this wait, so that the rate holds.
    Wait(Duration),
    /// Fail it at once: it would have to wait longer than [`MAX_RATE_WAIT`].
    RateLimited,
    /// Fail it at once: the store is down or stalled, and its next probe is not due.
    Down,
}

/// How many calls a second go out, as a virtual schedule of one interval a call.
#[derive(Debug, Clone)]
pub struct RateLimit {
    interval: Duration,
    next: Instant,
}

impl RateLimit {
    /// Returns a limit of `rate` calls a second, with bursts of a second's worth.
    pub fn new(rate: u32, now: Instant) -> Self {
        Self {
            interval: Duration::from_secs(1) / rate.max(1),
            next: now.checked_sub(BURST).unwrap_or(now),
        }
    }

    /// Decides on a call at `now`; one that is `RateLimited` does not count.
    pub fn admit(&mut self, now: Instant) -> Admission {
        // The schedule may lag behind the clock by a burst.
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

/// Rate limit and circuit breaker of one process, or the circuit breaker of one part of the store.
#[derive(Debug, Clone)]
pub struct Breaker {
    limit: Option<RateLimit>,
    failures: u32,
    pause: Duration,
    longest: Duration,
    probe: Instant,
    /// When the calls began that are under way, by their numbers.
    open: BTreeMap<u64, Instant>,
    count: u64,
    /// When a call was last answered.
    answered: Instant,
    /// When the first call began after that, though it may have been given up meanwhile.
    waiting: Option<Instant>,
    stalled: bool,
}

impl Breaker {
    /// Returns a breaker that lets `rate` calls a second through, with bursts of a second's worth.
    pub fn new(rate: u32, now: Instant) -> Self {
        Self { limit: Some(RateLimit::new(rate, now)), ..Self::unlimited(now) }
    }

    /// Returns a breaker that limits no rate.
    pub fn unlimited(now: Instant) -> Self {
        Self {
            limit: None,
            failures: 0,
            pause: MIN_PROBE_PAUSE,
            longest: MAX_PROBE_PAUSE,
            probe: now,
            open: BTreeMap::new(),
            count: 0,
            answered: now,
            waiting: None,
            stalled: false,
        }
    }

    /// Sets the longest pause between two probes.
    #[must_use]
    pub fn with_max_probe_pause(self, longest: Duration) -> Self {
        Self { longest, ..self }
    }

    /// Notes that a call begins, and returns its number.
    pub fn start_call(&mut self, now: Instant) -> u64 {
        self.count += 1;
        self.waiting.get_or_insert(now);
        self.open.insert(self.count, now);
        self.count
    }

    /// Notes that a call is over, whatever came of it.
    pub fn end_call(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Tells whether calls wait in vain. A stalled store gets one call at a time until it answers.
    fn is_stalled(&mut self, now: Instant) -> bool {
        let oldest = self.open.values().next().copied().into_iter().chain(self.waiting).min();
        let since = oldest.map(|begun| begun.max(self.answered));
        self.stalled |= since.is_some_and(|since| now > since + STALL_TIMEOUT);
        self.stalled && !self.open.is_empty()
    }

    /// Decides on a call at `now`; only `Proceed` and `Wait` count against the rate.
    pub fn admit(&mut self, now: Instant) -> Admission {
        if self.is_stalled(now) {
            return Admission::Down;
        }
        if self.is_down() {
            if now < self.probe {
                return Admission::Down;
            }
            // Only this call probes; the others fail until it comes back or the pause is over.
            self.probe = now + self.pause;
        }
        self.limit.as_mut().map_or(Admission::Proceed, |limit| limit.admit(now))
    }

    /// Notes that the store answered.
    pub fn record_success(&mut self, now: Instant) {
        self.answered = now;
        self.waiting = None;
        self.stalled = false;
        self.failures = 0;
        self.pause = MIN_PROBE_PAUSE;
    }

    /// Notes that the store did not answer; `jitter` in 0..1 spreads the probes of many hosts.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.is_down() {
            self.probe = now + self.pause.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
            self.pause = (self.pause * 2).min(self.longest);
        }
    }

    /// Tells whether the store is taken for down.
    pub fn is_down(&self) -> bool {
        self.failures >= MAX_FAILURES
    }

    /// Tells whether a call that is let through now looks whether the store is back. The breaker closes by its answer alone,
    /// so it has to be waited for, whoever asked.
    pub fn is_probing(&self) -> bool {
        self.stalled || self.is_down()
    }
}
