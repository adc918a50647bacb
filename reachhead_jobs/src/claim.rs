//! Bounds how long a process may claim a pool that it does not serve.
//!
//! A process answers heartbeats for as long as it runs, also while a takeover reads nothing or the
//! event loop of an owner is stalled. So a claim is kept by progress: a takeover that makes none
//! is given up, and an owner that is stalled, or whose transactions get no answer, is no longer
//! reported to peers, which take over the pool as they do from a process that has lost it.

use reachhead_types::size::Millis;

use crate::{clock::Tick, liveness::StoreAnswers};

/// Time without progress after which the first takeover of a pool is given up. Several reads, each
/// with a longer timeout than the one before, end within it.
const MIN_PATIENCE: Millis = Millis(3000);

/// Age at which the first takeover of a pool is given up although rows still arrive, if a much
/// stronger process could take the pool. Where all links are narrow the next process would only read
/// the same rows again.
const MIN_AGE_LIMIT: Millis = Millis(10_000);

/// Number of abandoned takeovers up to which the time without progress doubles. If no process can
/// read the rows, the lease changes seldom, and the first that can read them again waits for a
/// bounded time.
const MAX_PATIENCE_DOUBLINGS: u32 = 2;

/// Number of abandoned takeovers up to which the age limit doubles. It goes far, because on narrow
/// links every process needs that long for a large pool.
const MAX_AGE_DOUBLINGS: u32 = 6;

/// Maximum age of the store's last answer to this process for a takeover without progress to be
/// given up: without the store the lease can't be released, and other processes may not reach it
/// either.
const MAX_STORE_AGE: Millis = Millis(1600);

/// How long the event loop of an owner may stand still. It turns several times a second, and releases
/// the pool in less than this time.
const MAX_STANDSTILL: Millis = Millis(2500);

/// Time in which the store answers an owner's other calls and none of its transactions, after which
/// the owner is of no use to callers.
const MAX_UNRECORDED_TIME: Millis = MIN_PATIENCE;

/// Pause before a process tries again whether it can read a pool that it gave up.
const MIN_PROBE_PAUSE: Millis = Millis(2000);

/// Number of failures up to which that pause doubles.
const MAX_PROBE_DOUBLINGS: u32 = 3;

/// The progress of a takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeoverProgress {
    /// When the lease was taken.
    pub started: Tick,
    /// When a read or a fence was last answered.
    pub progressed: Tick,
    /// Time since then in which the store did not answer test calls.
    pub unanswered: Millis,
    /// Number of takeovers of the pool in a row that were abandoned before this one.
    pub abandoned: u32,
    /// A much stronger process could take the pool.
    pub outmatched: bool,
}

impl TakeoverProgress {
    /// Returns whether this takeover should be given up, so that another process can try. Outages of
    /// the whole store do not count.
    pub fn is_stuck(&self, answers: &StoreAnswers, now: Tick) -> bool {
        let answered = now.since(self.progressed + self.unanswered);
        let idle = answers.reached_since(self.progressed).min(answered);
        let age = answers.reached_since(self.started);
        let reaches_store = now.since(answers.last()) <= MAX_STORE_AGE;
        let is_idle = idle > patience(self.abandoned);
        let is_slow = self.outmatched && age > age_limit(self.abandoned);
        reaches_store && (is_idle || is_slow)
    }
}

/// Returns how long a takeover may go without progress after this many abandoned ones in a row.
pub fn patience(abandoned: u32) -> Millis {
    Millis(MIN_PATIENCE.0 << abandoned.min(MAX_PATIENCE_DOUBLINGS))
}

fn age_limit(abandoned: u32) -> Millis {
    Millis(MIN_AGE_LIMIT.0 << abandoned.min(MAX_AGE_DOUBLINGS))
}

/// Returns whether an owner whose event loop last turned at `turned` serves its pool. The process
/// itself has run without a pause since `running_since`; a pause of the whole process does not count,
/// since its peers detect that.
pub fn is_serving(turned: Tick, running_since: Tick, now: Tick) -> bool {
    now.since(turned.max(running_since)) <= MAX_STANDSTILL
}

/// Returns whether an owner can record nothing: no transaction that it has sent since `unanswered` got
/// an answer, while the store answers its other calls. Outages of the whole store do not count.
pub fn is_write_stalled(unanswered: Option<Tick>, answers: &StoreAnswers, now: Tick) -> bool {
    let reaches_store = now.since(answers.last()) <= MAX_STORE_AGE;
    let is_long = |since| answers.reached_since(since) > MAX_UNRECORDED_TIME;
    reaches_store && unanswered.is_some_and(is_long)
}

/// Returns the pause before the next attempt to read a pool that this process gave up, after this
/// many failures in a row.
pub fn probe_pause(failures: u32) -> Millis {
    Millis(MIN_PROBE_PAUSE.0 << failures.min(MAX_PROBE_DOUBLINGS))
}
