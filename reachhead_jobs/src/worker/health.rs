//! Recent failures and the speed of a worker's tasks.

use reachhead_types::{id::JobId, size::Millis};

use crate::{clock::Tick, task::TaskId};

/// Consecutive failures, in more than one job, after which a worker is suspected.
const MIN_SUSPECT_FAILURES: u32 = 3;

/// How long a suspected worker gets no tasks. It covers most of a grey failure that lasts some
/// seconds, and a wrong suspicion costs a pool little for that long.
const SUSPENSION: Millis = Millis(5000);

/// How long a worker is on probation after a suspension, unless a task succeeds before. A task that
/// hangs is found to be stuck within that time, and a wrong suspicion must not depend on how long
/// tasks run.
const PROBATION: Millis = Millis(10_000);

/// Weight of the newest observation of a worker's speed.
const SPEED_WEIGHT: f64 = 0.25;

/// Speed, relative to the usual one, below which a worker counts as slow. Durations within a queue
/// differ by a factor of two or three, and workers that become slow are slower than that.
const SLOW_SPEED: f64 = 0.35;

/// Assumed recovery of a slow worker's speed, per second.
const SPEED_RECOVERY: f64 = 0.05;

/// Speed at which tasks progress on a worker, relative to the usual one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    relative: f64,
    at: Tick,
}

impl Speed {
    /// Creates the usual speed.
    pub const fn new(at: Tick) -> Self {
        Self { relative: 1.0, at }
    }

    /// Records that a task progressed at this relative speed.
    pub fn observe(&mut self, relative: f64, now: Tick) {
        let current = self.now(now);
        self.relative = current + SPEED_WEIGHT * (relative.clamp(0.0, 2.0) - current);
        self.at = now;
    }

    fn now(self, now: Tick) -> f64 {
        let seconds = now.since(self.at).0 as f64 / 1000.0;
        self.relative.max((self.relative + SPEED_RECOVERY * seconds).min(1.0))
    }

    /// Returns whether the worker is slow.
    pub fn is_slow(self, now: Tick) -> bool {
        self.now(now) < SLOW_SPEED
    }
}

/// Recent task failures of a worker, and its suspension because of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FailureHistory {
    failures: u32,
    last_failed: Option<JobId>,
    multiple_jobs: bool,
    /// The worker gets no tasks until then.
    pub suspended_until: Tick,
    /// The worker gets one task at a time until then, or until one succeeds; `None` if it is not on
    /// probation.
    probation_until: Option<Tick>,
    /// The task that it got on probation, if that is still there.
    probe: Option<TaskId>,
}

impl FailureHistory {
    /// Records that a task succeeded.
    pub fn record_success(&mut self) {
        *self = Self { suspended_until: self.suspended_until, ..Self::default() };
    }

    /// Records that a long-running task is up, which is a success if it was started on probation.
    pub fn record_up(&mut self, task: TaskId) {
        if self.probe == Some(task) {
            self.record_success();
        }
    }

    /// Records a failed task of `job` and returns whether the worker is suspected because of it.
    pub fn record_failure(&mut self, job: JobId, now: Tick) -> bool {
        self.multiple_jobs |= self.last_failed.is_some_and(|last| last != job);
        self.last_failed = Some(job);
        self.failures += 1;
        let suspected = self.multiple_jobs
            && (self.is_on_probation(now) || self.failures >= MIN_SUSPECT_FAILURES);
        if suspected {
            self.suspend(now);
        }
        suspected
    }

    /// Suspends the worker for a while, and then puts it on probation.
    pub fn suspend(&mut self, now: Tick) {
        self.suspended_until = self.suspended_until.max(now + SUSPENSION);
        self.probation_until = Some(self.suspended_until + PROBATION);
        self.probe = None;
    }

    /// Returns whether the worker waits for its task on probation to succeed.
    pub fn is_probing(&self, now: Tick) -> bool {
        self.is_on_probation(now) && self.probe.is_some()
    }

    fn is_on_probation(&self, now: Tick) -> bool {
        self.probation_until.is_some_and(|until| now < until)
    }

    /// Records that the worker got a task.
    pub(super) fn record_start(&mut self, task: TaskId) {
        if self.probation_until.is_some() {
            self.probe.get_or_insert(task);
        }
    }

    /// Records that a task is gone.
    pub(super) fn record_end(&mut self, task: TaskId) {
        if self.probe == Some(task) {
            self.probe = None;
        }
    }
}
