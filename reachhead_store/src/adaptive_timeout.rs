//! How long an answer of the store is waited for.
//!
//! Load: the store carries calls out and loses some of their answers, for seconds; callers wait for jobs to be stored and for
//! their ends to be recorded. A call whose answer is lost is made again, and is found to have been done; the sooner that is,
//! the sooner its callers are told. A store that is only slow must not be asked twice for everything.

use std::time::Duration;

/// Least time that an answer is waited for: a store that is well answers within some milliseconds, and one that has just
/// become slow within this mostly.
const LEAST: Duration = Duration::from_millis(350);

/// Longest time; the calls themselves run out before.
const MOST: Duration = Duration::from_secs(4);

/// How many times as long as usual an answer may take.
const USUAL_FACTOR: u32 = 6;

/// Weight of the newest answer in the usual time, as a part of eight.
const LEARNING_PART: u32 = 1;

/// What a call asks for. Reads of all rows of a part take longer than other calls by as much as there is to read, and say nothing of how
/// long those take, nor those of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Some rows, or a transaction.
    Short,
    /// All rows of a part.
    Scan,
}

/// How long answers are waited for, apart for each kind of call.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdaptiveTimeouts {
    short: AdaptiveTimeout,
    scan: AdaptiveTimeout,
}

impl AdaptiveTimeouts {
    /// Returns the patience with calls of this kind.
    pub fn for_kind(&mut self, kind: CallKind) -> &mut AdaptiveTimeout {
        match kind {
            CallKind::Short => &mut self.short,
            CallKind::Scan => &mut self.scan,
        }
    }
}

/// How long answers are waited for, by how long they took lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdaptiveTimeout {
    usual: Duration,
    /// Doublings since an answer last came in time.
    doubled: u32,
}

impl AdaptiveTimeout {
    /// Returns how long the next answer is waited for.
    pub fn current(self) -> Duration {
        let limit = (self.usual * USUAL_FACTOR).max(LEAST);
        (limit * (1 << self.doubled.min(4))).min(MOST)
    }

    /// Notes how long an answer took.
    pub fn record_answer(&mut self, took: Duration) {
        self.usual = (self.usual * (8 - LEARNING_PART) + took * LEARNING_PART) / 8;
        self.doubled = 0;
    }

    /// Notes that an answer did not come in time: it is lost, or the store has become slow, and then the next has to be waited
    /// for longer.
    pub fn record_timeout(&mut self) {
        self.doubled += 1;
    }
}
