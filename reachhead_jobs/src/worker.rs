//! What the owner of a pool knows of a worker.

use std::collections::BTreeMap;

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::JobId,
    size::{Millis, RunNumber},
};

use crate::{
    clock::{ClockSample, Tick, WorkerTime},
    crashes::CrashRole,
    ports::WorkerInfo,
    task::{StepId, TaskId},
};

/// Failures in a row, of more than one job, after which a worker is suspected.
const SUSPECT_FAILURES: u32 = 3;

/// How long a suspected worker gets nothing. It covers most of a grey spell of some seconds, and a
/// wrong suspicion costs a pool little for that long.
const SUSPECT_TIME: Millis = Millis(5000);

/// How late an order without an answer may be carried out.
const LATE_TIME: Millis = Millis(15_000);

/// Weight of the newest observation of a worker's speed.
const SPEED_RATE: f64 = 0.25;

/// Speed, as a share of what is usual, below which a worker counts as slow. Tasks of a queue differ by a
/// factor of two or three among themselves, and workers that turn slow are slower than that.
const SLOW_SPEED: f64 = 0.35;

/// How fast a slow worker is forgiven: its speed is taken to rise by this share a second.
const SPEED_RECOVERY: f64 = 0.05;

/// How fast tasks progress on a worker, as a share of what is usual for them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    share: f64,
    at: Tick,
}

impl Speed {
    /// Returns the usual speed.
    pub const fn new(at: Tick) -> Self {
        Self { share: 1.0, at }
    }

    /// Notes that a task progressed at this share of the usual speed.
    pub fn observe(&mut self, share: f64, now: Tick) {
        let known = self.now(now);
        self.share = known + SPEED_RATE * (share.clamp(0.0, 2.0) - known);
        self.at = now;
    }

    fn now(self, now: Tick) -> f64 {
        let seconds = now.since(self.at).0 as f64 / 1000.0;
        self.share.max((self.share + SPEED_RECOVERY * seconds).min(1.0))
    }

    /// Tells whether the worker is slow.
    pub fn is_slow(self, now: Tick) -> bool {
        self.now(now) < SLOW_SPEED
    }
}

/// What a run takes of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// The run.
    pub run: RunNumber,
    /// What it takes.
    pub amount: Amount,
}

/// How a worker treats its tasks lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FailureHistory {
    failures: u32,
    last_failed: Option<JobId>,
    several: bool,
    /// Until when it gets nothing.
    pub suspended: Tick,
    /// It gets one task at a time until one succeeds.
    pub probation: bool,
}

impl FailureHistory {
    /// Notes a success.
    pub fn succeed(&mut self) {
        *self = Self { suspended: self.suspended, ..Self::default() };
    }

    /// Notes a failure of a task of `job`; tells whether the worker is suspected by it.
    pub fn fail(&mut self, job: JobId, now: Tick) -> bool {
        self.several |= self.last_failed.is_some_and(|last| last != job);
        self.last_failed = Some(job);
        self.failures += 1;
        let suspected = self.several && (self.probation || self.failures >= SUSPECT_FAILURES);
        if suspected {
            self.suspend(now);
        }
        suspected
    }

    /// Gives the worker nothing for a while, and then one task at a time.
    pub fn suspend(&mut self, now: Tick) {
        self.suspended = now + SUSPECT_TIME;
        self.probation = true;
    }
}

/// Where the long-polling call to a worker stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Poll {
    /// The next one is due at this time.
    Due(Tick),
    /// One is under way.
    InFlight,
}

/// An end that has to be recorded before the worker may forget it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unrecorded {
    /// The job.
    pub job: JobId,
    /// The newest transaction about the job has it.
    pub written: bool,
}

/// A worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// How it registered itself.
    pub info: WorkerInfo,
    /// When the life that answers this owner began, if that was told: counts and clocks of two lives have nothing to do with
    /// each other.
    pub born: Option<Millis>,
    /// The platform's list has it now.
    pub listed: bool,
    /// The pool's roster in the store has it as open, so a successor will ask it.
    pub rostered: bool,
    /// Since when its calls fail.
    pub silent_since: Tick,
    /// When it last answered a call.
    pub heard: Tick,
    /// Since when it is known.
    pub joined: Tick,
    /// The newest reading of its clock.
    pub sample: Option<ClockSample>,
    /// The highest deadline that any order gave it.
    pub granted: WorkerTime,
    /// Its last call failed.
    pub silent: bool,
    /// It is silent, and its host answered last that nobody listens there.
    pub deserted: bool,
    /// It has answered this owner, so no order of a predecessor counts there any more.
    pub answered: bool,
    /// Where the long poll stands.
    pub poll: Poll,
    /// Calls that failed in a row.
    pub misses: u32,
    /// Ends up to this number were taken in.
    pub noted: u64,
    /// Ends up to this number are recorded, or need no record.
    pub seen: u64,
    /// The ends that are not recorded yet, by their numbers.
    pub unrecorded: BTreeMap<u64, Unrecorded>,
    /// What may run there.
    pub runs: BTreeMap<TaskId, Charge>,
    /// The sum of `runs`.
    pub used: Amount,
    /// Runs there that belong to no task that this owner knows. What they take is not known, so the
    /// worker gets nothing until they are gone.
    pub orphan_runs: u32,
    /// Operators drain its zone: it gets nothing new.
    pub drained: bool,
    /// Until when it gets nothing new, because planned work is about to take it.
    pub cordoned: Tick,
    /// Until when it gets nothing new unless a run ends there, since it has turned one away for want of room.
    pub full: Tick,
    /// A step for which room is being made there, and until when.
    pub reserved: Option<Reservation>,
    /// When what fills there was last compared with what it disturbs.
    pub paced: Tick,
    /// Orders to start there whose answers were lost lately; they may still come, to whatever life is there then.
    pub lost: Vec<LostOrder>,
    /// When the last call to it ended without an answer.
    pub unanswered: Option<Tick>,
    /// When it was noticed that it has started again.
    pub reborn: Option<Tick>,
    /// A task that may crash it and has not begun to work. Nothing else is started meanwhile, so that a crash is the
    /// task's own.
    pub trial: Option<TaskId>,
    /// What it ran when its leases lapsed without an answer; if its life is over, it may be what it crashed by.
    pub lapsed: Vec<CrashSuspect>,
    /// How it treats its tasks.
    pub failure_history: FailureHistory,
    /// How fast its tasks progress.
    pub speed: Speed,
}

/// A task on a worker that may have crashed, and its part in that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashSuspect {
    /// The task.
    pub task: TaskId,
    /// Its part.
    pub role: CrashRole,
}

/// An order to start a run whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostOrder {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// When that was known.
    pub at: Tick,
}

/// Room that is kept for a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// The step.
    pub step: StepId,
    /// When it ends.
    pub until: Tick,
}

impl Worker {
    /// Returns a worker of which only its registration is known.
    pub fn new(info: WorkerInfo, now: Tick) -> Self {
        Self {
            born: info.born,
            info,
            listed: true,
            rostered: false,
            silent_since: now,
            heard: now,
            joined: now,
            sample: None,
            granted: WorkerTime(0),
            silent: false,
            deserted: false,
            answered: false,
            poll: Poll::Due(now),
            misses: 0,
            noted: 0,
            seen: 0,
            unrecorded: BTreeMap::new(),
            runs: BTreeMap::new(),
            used: Amount::default(),
            orphan_runs: 0,
            drained: false,
            cordoned: Tick(0),
            full: Tick(0),
            reserved: None,
            paced: Tick(0),
            lost: Vec::new(),
            unanswered: None,
            reborn: None,
            trial: None,
            lapsed: Vec::new(),
            failure_history: FailureHistory::default(),
            speed: Speed::new(now),
        }
    }

    /// Notes that the answer to an order to start was lost.
    pub fn lose(&mut self, task: TaskId, run: RunNumber, at: Tick) {
        self.lost.retain(|lost| at.since(lost.at) < LATE_TIME);
        self.lost.push(LostOrder { task, run, at });
        self.miss_answer(at);
    }

    /// Notes that a call ended without an answer: it may still be carried out, by whatever life is there then.
    pub fn miss_answer(&mut self, at: Tick) {
        self.unanswered = Some(at);
        if self.reborn.is_some_and(|reborn| at.since(reborn) < LATE_TIME) {
            self.hold_back();
        }
    }

    /// Notes that another life answers. A call to the old one that comes late would tell it to forget ends that nobody has read,
    /// so it gets nothing until none can come any more.
    pub fn begin_life(&mut self, at: Tick) {
        self.reborn = Some(at);
        self.hold_back();
    }

    fn hold_back(&mut self) {
        if let Some(unanswered) = self.unanswered {
            self.failure_history.suspended =
                self.failure_history.suspended.max(unanswered + LATE_TIME);
        }
    }

    /// Returns what is free.
    pub fn free(&self) -> Amount {
        self.info.capacity.minus(self.used)
    }

    /// Notes that a run may be there from now on.
    pub fn charge(&mut self, task: TaskId, run: RunNumber, amount: Amount) {
        self.release(task);
        self.runs.insert(task, Charge { run, amount });
        self.used = self.used.plus(amount);
    }

    /// Notes that nothing of the task can be there any more.
    pub fn release(&mut self, task: TaskId) {
        if let Some(charge) = self.runs.remove(&task) {
            self.used = self.used.minus(charge.amount);
            self.full = Tick(0);
        }
        self.clear(task);
    }

    /// Ends the trial of a task: it has begun to work, or is gone.
    pub fn clear(&mut self, task: TaskId) {
        if self.trial == Some(task) {
            self.trial = None;
        }
    }

    /// Notes that a transaction was made that has all ends of the job so far.
    pub fn write(&mut self, job: JobId) {
        for end in self.unrecorded.values_mut().filter(|end| end.job == job) {
            end.written = true;
        }
    }

    /// Notes that the newest transaction about the job is in force.
    pub fn record(&mut self, job: JobId) {
        self.unrecorded.retain(|_, end| end.job != job || !end.written);
        self.settle_seen();
    }

    /// Looks up to which number the worker may forget its ends.
    pub fn settle_seen(&mut self) {
        let first = self.unrecorded.keys().next();
        let seen = first.map_or(self.noted, |first| first.saturating_sub(1));
        self.seen = self.seen.max(seen);
    }

    /// Returns when every lease that was given here has surely lapsed; `None` before its clock was
    /// ever read, when none was given.
    pub fn leases_expire_at(&self) -> Option<Tick> {
        self.sample.map(|sample| sample.surely_past(self.granted))
    }

    /// Notes that it may not be there any more: it gets nothing until it answers.
    pub fn mark_suspect(&mut self, now: Tick) {
        if !self.silent {
            self.silent_since = now;
        }
        self.silent = true;
        if let Poll::Due(due) = self.poll {
            self.poll = Poll::Due(due.min(now));
        }
    }

    /// Tells whether nothing can run there any more: it does not answer, and every lease has lapsed.
    pub fn is_expired(&self, now: Tick) -> bool {
        let lapsed = self.leases_expire_at().is_none_or(|lapse| lapse <= now);
        self.silent && lapsed && self.runs.is_empty()
    }

    /// Tells whether it has answered this owner that nothing runs there, and was given nothing since.
    pub fn is_idle(&self) -> bool {
        self.answered && !self.silent && self.runs.is_empty() && self.orphan_runs == 0
    }

    /// Tells whether it may get new tasks at all.
    pub fn accepts(&self, now: Tick) -> bool {
        self.listed
            && self.rostered
            && self.answered
            && !self.silent
            && self.orphan_runs == 0
            && self.trial.is_none()
            && !self.info.draining
            && !self.drained
            && self.cordoned <= now
            && self.full <= now
            && self.failure_history.suspended <= now
            && (!self.failure_history.probation || self.runs.is_empty())
    }
}
