//! Judges whether a peer is silent, by the time in which this process itself ran.
//!
//! A process that is late reads the answers of its peers late, so their silence in that time is no
//! evidence; an overloaded process would otherwise take the pools of healthy owners. What it found
//! before stays evidence: processes on small hosts are late again and again, and if each delay
//! discarded it, no process would replace a dead owner.

use std::collections::VecDeque;

use reachhead_types::size::Millis;

use crate::clock::Tick;

/// Gap between two checks from which this process counts as delayed.
const DELAYED_GAP: Millis = Millis(250);

/// How much of a delayed gap counts as running time, so that a process that is late at every check
/// finds dead owners too.
const COUNTED_GAP: Millis = Millis(50);

/// Maximum number of remembered delays. The counted parts of so many add up to more than
/// [`OWNER_TIMEOUT`], so older ones do not matter.
const MAX_DELAYS: usize = 32;

/// Silence of an owner after which its pools are taken over: longer than a usual pause of a slow or
/// frozen process, and short enough that workers' leases outlast the ownership change.
pub const OWNER_TIMEOUT: Millis = Millis(1100);

/// A stretch of time in which this process was delayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Delay {
    start: Tick,
    end: Tick,
}

/// The time in which this process ran, from regular checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTime {
    last: Tick,
    /// The latest delays, the oldest first.
    delays: VecDeque<Delay>,
}

impl RunningTime {
    /// Returns the running time of a process whose checks begin at `now`.
    pub fn new(now: Tick) -> Self {
        Self { last: now, delays: VecDeque::new() }
    }

    /// Records a check; returns the gap since the last one if this process was delayed.
    pub fn check(&mut self, now: Tick) -> Option<Millis> {
        let start = std::mem::replace(&mut self.last, now);
        let gap = now.since(start);
        if gap < DELAYED_GAP {
            return None;
        }
        let is_recorded = self.delays.back().is_some_and(|delay| delay.end >= now);
        if !is_recorded {
            self.record_delay(Delay { start, end: now });
        }
        Some(gap)
    }

    /// Records that since the last check a large answer has filled this process's own link, so that
    /// the answers of peers were late. It has to be called before that check; such a stretch counts
    /// like a delay of this process.
    pub fn record_filled_link(&mut self, now: Tick) {
        let start = self.last;
        match self.delays.back_mut() {
            Some(delay) if delay.end >= start => delay.end = delay.end.max(now),
            _ => self.record_delay(Delay { start, end: now }),
        }
    }

    fn record_delay(&mut self, delay: Delay) {
        self.delays.push_back(delay);
        if self.delays.len() > MAX_DELAYS {
            self.delays.pop_front();
        }
    }

    /// Returns how long this process ran from `since` to `now`, at least up to [`OWNER_TIMEOUT`].
    pub fn between(&self, since: Tick, now: Tick) -> Millis {
        let delayed = |delay: &Delay| {
            let overlap = delay.end.min(now).since(delay.start.max(since));
            overlap.0.saturating_sub(COUNTED_GAP.0)
        };
        Millis(now.since(since).0.saturating_sub(self.delays.iter().map(delayed).sum()))
    }

    /// Returns when this process was last delayed, if that is known.
    pub fn last_delay(&self) -> Option<Tick> {
        self.delays.back().map(|delay| delay.end)
    }
}

/// The latest heartbeats that a peer did not answer in time. A heartbeat whose answer arrived in
/// time and was read late is none of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MissedHeartbeats {
    /// When the latest one was sent.
    last: Tick,
    /// When the one before it was sent.
    before: Tick,
}

impl MissedHeartbeats {
    /// Records that a heartbeat sent at `sent` was not answered.
    pub fn record(&mut self, sent: Tick) {
        self.before = self.before.max(sent.min(self.last));
        self.last = self.last.max(sent);
    }

    /// Returns when the latest one was sent.
    pub fn last_sent(&self) -> Tick {
        self.last
    }

    /// Returns whether more than one was sent after `since`; a single one may be lost with its
    /// connection.
    fn is_repeated(&self, since: Tick) -> bool {
        self.before > since
    }
}

/// Silence of an owner after which its pools are taken over although nothing shows that this
/// process's own link is not the cause: on some networks no answer is quick.
const UNPROVEN_OWNER_TIMEOUT: Millis = Millis(4 * OWNER_TIMEOUT.0);

/// Returns whether the heartbeats that an owner missed since `since` are evidence against it, and not
/// against this process's own link, on which all answers are late while the process fills it itself.
/// `quick` is when the latest call was sent that any peer answered quickly.
pub fn is_owners_fault(
    running: &RunningTime,
    missed: Option<MissedHeartbeats>,
    since: Tick,
    quick: Option<Tick>,
    now: Tick,
) -> bool {
    let shown = missed.is_none_or(|missed| quick.is_some_and(|sent| sent >= missed.before));
    shown || running.between(since, now) > UNPROVEN_OWNER_TIMEOUT
}

/// Returns whether an owner that was last known to be alive at `since` counts as dead. `missed` is
/// `None` if it can't be sent heartbeats, because its address is unknown.
pub fn is_silent(
    running: &RunningTime,
    missed: Option<MissedHeartbeats>,
    since: Tick,
    now: Tick,
) -> bool {
    running.between(since, now) > OWNER_TIMEOUT
        && missed.is_none_or(|missed| missed.is_repeated(since))
}
