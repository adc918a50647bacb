//! Detects whether a pool needs more starts a second than its owner can send.

use std::collections::VecDeque;

use reachhead_types::size::{Millis, Strength};

use crate::clock::Tick;

/// Time over which the rate of starts is measured. A burst is noticed well within the few hundred
/// milliseconds that a job may be late.
const RATE_WINDOW: Millis = Millis(200);

/// Share of the capacity, in percent, from which dispatchers are needed: the rest is for reports,
/// transactions and a burst that is still growing.
const BEGIN_PERCENT: u64 = 60;

/// Share of the capacity, in percent, below which the owner can serve the pool alone.
const END_PERCENT: u64 = 25;

/// Time for which starts have to stay below that share, so that queues whose bursts follow each
/// other don't begin and end dispatch each time.
const QUIET_TIME: Millis = Millis(10_000);

/// Number of the latest rounds in which limited ones are counted.
const ROUNDS: usize = 10;

/// Limited rounds among these from which dispatchers are needed. A single one is a short burst that
/// the next rounds serve.
const MIN_LIMITED: usize = 3;

/// Time for which the owner has to be at its limit until dispatchers are needed. All hosts of a pool get
/// tasks at once after a loss of power, which an owner serves sooner than dispatchers are of use.
const MIN_PRESSURE_TIME: Millis = Millis(600);

/// Longest time below the limit that does not end such a time.
const MAX_PRESSURE_GAP: Millis = Millis(100);

/// A time in which the owner is at its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pressure {
    since: Tick,
    last: Tick,
}

/// Starts that were ordered in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RoundStarts {
    at: Tick,
    started: u64,
}

/// A rate of starts a second, and when it was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct MeasuredRate {
    at: Tick,
    rate: u64,
}

/// Detects from its rounds whether a pool's owner needs dispatchers, and for how many starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NeedDetector {
    capacity: Strength,
    /// Rounds with starts within [`RATE_WINDOW`], the oldest first.
    starts: VecDeque<RoundStarts>,
    /// Rates within [`QUIET_TIME`] that no later one reached, the oldest and highest first.
    peaks: VecDeque<MeasuredRate>,
    /// Whether the latest rounds were limited, the oldest first.
    limited: VecDeque<bool>,
    pressure: Option<Pressure>,
    /// When dispatchers were last needed, or starts last too many to end their use.
    busy_at: Option<Tick>,
}

impl NeedDetector {
    /// Returns the detector of an owner that can order as many starts itself.
    pub fn new(capacity: Strength) -> Self {
        Self {
            capacity,
            starts: VecDeque::new(),
            peaks: VecDeque::new(),
            limited: VecDeque::with_capacity(ROUNDS),
            pressure: None,
            busy_at: None,
        }
    }

    /// Records a round: how many starts were ordered, and whether tasks waited although workers had
    /// free capacity, because the start budget was empty.
    pub fn record(&mut self, started: u32, limited: bool, now: Tick) {
        if started > 0 {
            self.starts.push_back(RoundStarts { at: now, started: u64::from(started) });
        }
        while self.starts.front().is_some_and(|oldest| now.since(oldest.at) >= RATE_WINDOW) {
            self.starts.pop_front();
        }
        let total: u64 = self.starts.iter().map(|round| round.started).sum();
        let rate = total * 1000 / RATE_WINDOW.0;
        self.record_peak(rate, now);
        if self.limited.len() == ROUNDS {
            self.limited.pop_front();
        }
        self.limited.push_back(limited);

        let limited_rounds = self.limited.iter().filter(|limited| **limited).count();
        let is_pressed = limited_rounds >= MIN_LIMITED || self.reaches(BEGIN_PERCENT, rate);
        let begins = is_pressed && self.record_pressure(now) >= MIN_PRESSURE_TIME;
        if begins || (self.is_needed(now) && self.reaches(END_PERCENT, rate)) {
            self.busy_at = Some(now);
        }
    }

    /// Records that the owner is at its limit, and returns for how long it has been.
    fn record_pressure(&mut self, now: Tick) -> Millis {
        let ongoing = self.pressure.filter(|known| now.since(known.last) < MAX_PRESSURE_GAP);
        let since = ongoing.map_or(now, |known| known.since);
        self.pressure = Some(Pressure { since, last: now });
        now.since(since)
    }

    /// Returns whether the owner needs dispatchers.
    pub fn is_needed(&self, now: Tick) -> bool {
        self.busy_at.is_some_and(|at| now.since(at) < QUIET_TIME)
    }

    /// Returns the highest rate of starts a second in the last ten seconds.
    pub fn demand(&self, now: Tick) -> Strength {
        let recent = self.peaks.iter().find(|peak| now.since(peak.at) < QUIET_TIME);
        Strength(recent.map_or(0, |peak| u32::try_from(peak.rate).unwrap_or(u32::MAX)))
    }

    /// Returns whether a rate reaches a share of the capacity. An owner without starts needs nobody,
    /// whatever its capacity.
    fn reaches(&self, percent: u64, rate: u64) -> bool {
        rate > 0 && rate * 100 >= u64::from(self.capacity.0) * percent
    }

    /// Keeps the rate for as long as it may be the highest, so that rounds that are milliseconds
    /// apart don't each cost a pass over all others.
    fn record_peak(&mut self, rate: u64, now: Tick) {
        while self.peaks.back().is_some_and(|last| last.rate <= rate) {
            self.peaks.pop_back();
        }
        self.peaks.push_back(MeasuredRate { at: now, rate });
        while self.peaks.front().is_some_and(|oldest| now.since(oldest.at) >= QUIET_TIME) {
            self.peaks.pop_front();
        }
    }
}
