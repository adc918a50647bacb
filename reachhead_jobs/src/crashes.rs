//! What crashes of workers say of a task that was there.
//!
//! A worker that crashes reports no end, so whether one of its tasks is the cause has to be told by which were there. Most of them
//! run to their ends elsewhere; one that crashes whoever starts it would take a pool down worker by worker. A task that may be the
//! cause is started where nothing else is just being started, and nothing is started beside it until it has begun to work: a crash
//! until then is its own and no other's, and one report clears those that are not the cause. docs/PLATFORM.md, "Tasks that crash their
//! workers", has the rules.

use serde::{Deserialize, Serialize};

/// Crashes after which a task may be given up, if enough of them are its own: one may be chance, and a second one in the same
/// bad minute.
const CRASHES_LEAST: u32 = 3;

/// Crashes of its own that a task is given up for.
const OWN_LEAST: u32 = 2;

/// Crashes after which a task is given up whoever else was there: it costs the pool a worker each time, and a task that ends a
/// worker late in its run is never the only one that just began.
const CRASHES_MOST: u32 = 5;

/// The part that a task had in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashRole {
    /// It had begun to work before, as all others there had.
    Bystander,
    /// It was one of several that had not begun to work.
    Fresh,
    /// It alone had not begun to work.
    Own,
}

/// The crashes of workers under a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Crashes {
    /// All of them.
    pub total: u32,
    /// Those before it had begun to work.
    pub fresh: u32,
    /// Those of which no other task can be the cause.
    pub own: u32,
}

impl Crashes {
    /// Notes a crash.
    pub fn record(&mut self, role: CrashRole) {
        self.total += 1;
        self.fresh += u32::from(role != CrashRole::Bystander);
        self.own += u32::from(role == CrashRole::Own);
    }

    /// Tells whether there were none.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Tells whether the task may be the cause, so that it is tried where nothing else is just being started. To have been at
    /// work on one worker that crashed says next to nothing.
    pub fn is_suspect(&self) -> bool {
        self.fresh > 0 || self.total > 1
    }

    /// Tells whether the task may crash workers late in its runs, so that nothing is started beside it as long as it runs: fewer
    /// others are lost with it. That it was there is no proof, since hosts may go down by turns.
    pub fn is_late(&self) -> bool {
        self.total.saturating_sub(self.fresh) > 1
    }

    /// Tells whether the task is most certainly the cause, so that it is given up.
    pub fn is_conclusive(&self) -> bool {
        let own = self.total >= CRASHES_LEAST && self.own >= OWN_LEAST;
        own || self.total >= CRASHES_MOST
    }
}
