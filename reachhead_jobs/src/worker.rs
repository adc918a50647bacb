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
    pub suspended_until: Tick,
    /// It gets one task at a time until one succeeds.
    pub probation: bool,
}

impl FailureHistory {
    /// Notes a success.
    pub fn record_success(&mut self) {
        *self = Self { suspended_until: self.suspended_until, ..Self::default() };
    }

    /// Notes a failure of a task of `job`; tells whether the worker is suspected by it.
    pub fn record_failure(&mut self, job: JobId, now: Tick) -> bool {
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
        self.suspended_until = now + SUSPECT_TIME;
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
pub struct UnrecordedEnd {
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
    pub started_at: Option<Millis>,
    /// The platform's list has it now.
    pub listed: bool,
    /// The pool's roster in the store has it as open, so a successor will ask it.
    pub rostered: bool,
    /// Since when its calls fail.
    pub silent_since: Tick,
    /// When it last answered a call.
    pub last_contact: Tick,
    /// Since when it is known.
    pub joined: Tick,
    /// The newest reading of its clock.
    pub clock: Option<ClockSample>,
    /// The highest deadline that any order gave it.
    pub max_deadline: WorkerTime,
    /// Its last call failed.
    pub silent: bool,
    /// It is silent, and its host answered last that nobody listens there.
    pub port_closed: bool,
    /// It has answered this owner, so no order of a predecessor counts there any more.
    pub answered: bool,
    /// Where the long poll stands.
    pub poll: Poll,
    /// Calls that failed in a row.
    pub failed_calls: u32,
    /// Ends up to this number were taken in.
    pub last_processed: u64,
    /// Ends up to this number are recorded, or need no record.
    pub acknowledged: u64,
    /// The ends that are not recorded yet, by their numbers.
    pub unrecorded: BTreeMap<u64, UnrecordedEnd>,
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
    pub cordoned_until: Tick,
    /// Until when it gets nothing new unless a run ends there, since it has turned one away for want of room.
    pub full_until: Tick,
    /// A step for which room is being made there, and until when.
    pub reserved: Option<Reservation>,
    /// When what fills there was last compared with what it disturbs.
    pub paced_at: Tick,
    /// Orders to start there whose answers were lost lately; they may still come, to whatever life is there then.
    pub lost_orders: Vec<LostOrder>,
    /// When the last call to it ended without an answer.
    pub unanswered_at: Option<Tick>,
    /// When it was noticed that it has started again.
    pub restarted_at: Option<Tick>,
    /// A task that may crash it and has not begun to work. Nothing else is started meanwhile, so that a crash is the
    /// task's own.
    pub trial: Option<TaskId>,
    /// What it ran when its leases lapsed without an answer; if its life is over, it may be what it crashed by.
    pub crash_suspects: Vec<CrashSuspect>,
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
            started_at: info.started_at,
            info,
            listed: true,
            rostered: false,
            silent_since: now,
            last_contact: now,
            joined: now,
            clock: None,
            max_deadline: WorkerTime(0),
            silent: false,
            port_closed: false,
            answered: false,
            poll: Poll::Due(now),
            failed_calls: 0,
            last_processed: 0,
            acknowledged: 0,
            unrecorded: BTreeMap::new(),
            runs: BTreeMap::new(),
            used: Amount::default(),
            orphan_runs: 0,
            drained: false,
            cordoned_until: Tick(0),
            full_until: Tick(0),
            reserved: None,
            paced_at: Tick(0),
            lost_orders: Vec::new(),
            unanswered_at: None,
            restarted_at: None,
            trial: None,
            crash_suspects: Vec::new(),
            failure_history: FailureHistory::default(),
            speed: Speed::new(now),
        }
    }

    /// Notes that the answer to an order to start was lost.
    pub fn record_lost_order(&mut self, task: TaskId, run: RunNumber, at: Tick) {
        self.lost_orders.retain(|lost| at.since(lost.at) < LATE_TIME);
        self.lost_orders.push(LostOrder { task, run, at });
        self.record_unanswered(at);
    }

    /// Notes that a call ended without an answer: it may still be carried out, by whatever life is there then.
    pub fn record_unanswered(&mut self, at: Tick) {
        self.unanswered_at = Some(at);
        if self.restarted_at.is_some_and(|reborn| at.since(reborn) < LATE_TIME) {
            self.hold_back();
        }
    }

    /// Notes that another life answers. A call to the old one that comes late would tell it to forget ends that nobody has read,
    /// so it gets nothing until none can come any more.
    pub fn begin_incarnation(&mut self, at: Tick) {
        self.restarted_at = Some(at);
        self.hold_back();
    }

    fn hold_back(&mut self) {
        if let Some(unanswered) = self.unanswered_at {
            self.failure_history.suspended_until =
                self.failure_history.suspended_until.max(unanswered + LATE_TIME);
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
            self.full_until = Tick(0);
        }
        self.end_trial(task);
    }

    /// Ends the trial of a task: it has begun to work, or is gone.
    pub fn end_trial(&mut self, task: TaskId) {
        if self.trial == Some(task) {
            self.trial = None;
        }
    }

    /// Notes that a transaction was made that has all ends of the job so far.
    pub fn mark_written(&mut self, job: JobId) {
        for end in self.unrecorded.values_mut().filter(|end| end.job == job) {
            end.written = true;
        }
    }

    /// Notes that the newest transaction about the job is in force.
    pub fn mark_recorded(&mut self, job: JobId) {
        self.unrecorded.retain(|_, end| end.job != job || !end.written);
        self.advance_acknowledged();
    }

    /// Looks up to which number the worker may forget its ends.
    pub fn advance_acknowledged(&mut self) {
        let first = self.unrecorded.keys().next();
        let seen = first.map_or(self.last_processed, |first| first.saturating_sub(1));
        self.acknowledged = self.acknowledged.max(seen);
    }

    /// Returns when every lease that was given here has surely lapsed; `None` before its clock was
    /// ever read, when none was given.
    pub fn leases_expire_at(&self) -> Option<Tick> {
        self.clock.map(|sample| sample.surely_past(self.max_deadline))
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
            && self.cordoned_until <= now
            && self.full_until <= now
            && self.failure_history.suspended_until <= now
            && (!self.failure_history.probation || self.runs.is_empty())
    }
}
