//! Attributes crashes of workers to tasks that were running there.
//!
//! A worker that crashes reports no ends, so the cause has to be inferred from the tasks that were
//! there. Most of them run to their ends elsewhere, while one that crashes every worker would take
//! a pool down worker by worker. So a task that may be the cause is put on trial: it starts where
//! no other task is just starting, and nothing is started beside it until it has begun to work. A
//! crash until then can only be its own, and one report clears tasks that are not the cause.
//! docs/PLATFORM.md has the rules in "Tasks that crash their workers".

use serde::{Deserialize, Serialize};

/// Crashes after which a task may be given up if enough of them are its own: one may be chance, and
/// a second one may come from the same incident.
const MIN_CRASHES: u32 = 3;

/// Crashes of its own for which a task is given up.
const MIN_OWN_CRASHES: u32 = 2;

/// Crashes after which a task is given up whatever else was there. Each costs the pool a worker,
/// and a task that crashes workers late in its runs is never the only one that was starting.
const MAX_CRASHES: u32 = 5;

/// Role of a task in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashRole {
    /// It had begun to work before, as had all others there.
    Bystander,
    /// It was one of several that had not begun to work.
    Fresh,
    /// It alone had not begun to work.
    Own,
    /// The worker may have died before the task was there, or of a cause that other workers share.
    Unproven,
}

/// Crash counters of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Crashes {
    /// Crashes of workers that had the task.
    pub total: u32,
    /// Crashes before the task had begun to work.
    pub fresh: u32,
    /// Crashes that no other task can have caused.
    pub own: u32,
    /// Crashes, not in `total`, that alone are no evidence against the task. It then starts only where the next
    /// one would be, since a task that crashes workers before it is confirmed has no others.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unproven: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl Crashes {
    /// Counts a crash.
    pub fn record(&mut self, role: CrashRole) {
        if role == CrashRole::Unproven {
            self.unproven += 1;
            return;
        }
        self.total += 1;
        self.fresh += u32::from(role != CrashRole::Bystander);
        self.own += u32::from(role == CrashRole::Own);
    }

    /// Takes back the evidence of a crash that turns out to have a cause that other workers share.
    pub fn retract(&mut self, role: CrashRole) {
        if matches!(role, CrashRole::Unproven) || self.total == 0 {
            return;
        }
        self.total -= 1;
        self.fresh -= u32::from(role != CrashRole::Bystander).min(self.fresh);
        self.own -= u32::from(role == CrashRole::Own).min(self.own);
        self.unproven += u32::from(role != CrashRole::Bystander);
    }

    /// Returns whether there were no crashes.
    pub fn is_empty(&self) -> bool {
        self.total == 0 && self.unproven == 0
    }

    /// Returns whether the task may be the cause. Having been at work on one worker that crashed says
    /// next to nothing.
    pub fn is_suspect(&self) -> bool {
        self.needs_trial() || self.unproven > 0
    }

    /// Returns whether the task is put on trial. An outage leaves an unproven crash on dozens of tasks,
    /// and trials of all of them, each with a worker for itself, would take too long.
    pub fn needs_trial(&self) -> bool {
        self.fresh > 0 || self.is_repeated()
    }

    /// Returns whether the task was on several workers that crashed. A single crash is what an outage
    /// leaves on every task that was starting.
    pub fn is_repeated(&self) -> bool {
        self.total + self.unproven > 1
    }

    /// Returns whether the task may crash workers late in its runs. Nothing is started beside it
    /// while it runs, so that fewer others are lost with it. This is no proof, since hosts may also
    /// go down in turn.
    pub fn is_late(&self) -> bool {
        self.total.saturating_sub(self.fresh) > 1
    }

    /// Returns whether the task is almost certainly the cause, so that it is given up. An unproven
    /// crash proves nothing, but beside enough crashes of its own it needs no further one.
    pub fn is_conclusive(&self) -> bool {
        let all = self.total + self.unproven;
        let own = all >= MIN_CRASHES && self.own >= MIN_OWN_CRASHES;
        own || self.total >= MAX_CRASHES
    }
}
