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

/// Time without a quick answer from which this process's link may have been filled; heartbeats are
/// sent every 250 ms, so that on a free link some call is answered quickly more often than that.
const MIN_QUIET: Millis = Millis(400);

/// Latency up to which an answer is quick.
const QUICK_ANSWER: Millis = Millis(150);

/// Longest time before the first part of a large answer that counts as filled by it: a call whose
/// answer takes longer to begin is given up.
const MAX_UNSEEN_FILL: Millis = Millis(1200);

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
    /// When the latest call was sent that was answered quickly.
    quick: Option<Tick>,
    /// The latest stretch without quick answers that has ended with one.
    quiet: Option<Delay>,
}

impl RunningTime {
    /// Returns the running time of a process whose checks begin at `now`.
    pub fn new(now: Tick) -> Self {
        Self { last: now, delays: VecDeque::new(), quick: None, quiet: None }
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

    /// Records when the latest call was sent that was answered quickly. It has to be called at each
    /// check.
    pub fn record_quick_answer(&mut self, sent: Tick) {
        let Some(before) = self.quick else {
            self.quick = Some(sent);
            return;
        };
        if sent.since(before) >= MIN_QUIET {
            self.quiet = Some(Delay { start: before, end: sent });
        }
        self.quick = Some(before.max(sent));
    }

    /// Records that a large answer is arriving whose first part arrived at `begun`.
    ///
    /// Its bytes fill the link before any of them can be read, so the time without quick answers
    /// before the first part counts like a delay of this process (docs/design/large-reads.md). A
    /// single quick answer does not end it if its call was sent just before that part: it passed
    /// right behind it. An owner that died while other calls were answered quickly is found as
    /// before.
    pub fn record_large_answer(&mut self, begun: Tick, now: Tick) {
        let earliest = begun - MAX_UNSEEN_FILL;
        let current = self.quick.map(|start| Delay { start, end: now });
        for quiet in [self.quiet, current].into_iter().flatten() {
            let is_quiet = quiet.end.since(quiet.start) >= MIN_QUIET;
            if is_quiet && quiet.end + QUICK_ANSWER >= begun {
                self.record_stretch(Delay { start: quiet.start.max(earliest), ..quiet });
            }
        }
    }

    /// Records a delay that may overlap with known ones, which are merged with it.
    fn record_stretch(&mut self, delay: Delay) {
        let overlaps = |known: &Delay| known.end > delay.start && known.start < delay.end;
        let known = self.delays.iter().filter(|known| overlaps(known));
        let merged = known.fold(delay, |merged, known| Delay {
            start: merged.start.min(known.start),
            end: merged.end.max(known.end),
        });
        self.delays.retain(|known| !overlaps(known));
        let index = self.delays.partition_point(|known| known.end <= merged.start);
        self.delays.insert(index, merged);
        self.drop_old_delays();
    }

    fn record_delay(&mut self, delay: Delay) {
        self.delays.push_back(delay);
        self.drop_old_delays();
    }

    fn drop_old_delays(&mut self) {
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
