//! State of a worker as seen by the owner of its pool.

mod health;
mod late_calls;
mod polls;

use std::collections::BTreeMap;

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::JobId,
    size::{Millis, RunNumber},
};

use crate::{
    clock::{ClockSample, Tick, WorkerTime, with_drift},
    crashes::CrashRole,
    incarnation::{Incarnation, is_newer},
    obstacle::Obstacle,
    orphan::Orphan,
    ports::{MAX_REPORTED_ENDS, WorkerInfo},
    task::{StepId, TaskId},
};

pub(crate) use self::late_calls::MAX_ORDER_DELAY;
pub use self::{
    health::{FailureHistory, Speed},
    late_calls::{Bar, LateCalls, LostOrder},
};

/// Resources reserved for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// Number of the run.
    pub run: RunNumber,
    /// Reserved resources.
    pub amount: Amount,
}

/// State of the long-polling call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Poll {
    /// The next call is due at this time.
    Due(Tick),
    /// A call is in flight.
    InFlight,
}

/// An end that has to be stored before the worker may forget it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnrecordedEnd {
    /// Job of the run that ended.
    pub job: JobId,
    /// The job's newest transaction contains the end.
    pub written: bool,
}

/// A worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// Its registration.
    pub info: WorkerInfo,
    /// When the incarnation that answers this owner started, if known. End numbers and clocks of
    /// two incarnations are unrelated.
    pub started_at: Option<Millis>,
    /// It is registered at present.
    pub listed: bool,
    /// It is open in the pool's stored roster, so a successor will contact it.
    pub rostered: bool,
    /// Since when its calls have been failing.
    pub silent_since: Tick,
    /// When its address last changed, after a restart. Calls that were sent before went to the old one.
    pub moved_at: Option<Tick>,
    /// Its known incarnation has ended, and it is kept until runs of a later one have expired that may have
    /// started unnoticed. Counts only while it is reported to have no host.
    pub ended: bool,
    /// The incarnation whose end was judged last, so that its crash counts once.
    pub judged: Option<Incarnation>,
    /// Start of an incarnation that its roster row names, until it answers. The predecessor may have used
    /// that one or a later one.
    pub recorded: Option<Millis>,
    /// When it last answered a call.
    pub last_contact: Tick,
    /// When it became known.
    pub joined: Tick,
    /// Latest sample of its clock.
    pub clock: Option<ClockSample>,
    /// Highest lease deadline in any order to it.
    pub max_deadline: WorkerTime,
    /// Its last call failed.
    pub silent: bool,
    /// It is silent, and the last call found that nothing listens at its address.
    pub port_closed: bool,
    /// The incarnation that the platform was reported to have no host with, if no call has been
    /// answered since.
    pub unhosted: Option<Incarnation>,
    /// It has answered this owner, so orders of predecessors have no effect there any more.
    pub answered: bool,
    /// This owner has ordered it to prolong what runs there. Until then that has a lease of a
    /// predecessor.
    pub renewed: bool,
    /// State of its long-polling call.
    pub poll: Poll,
    /// Polls under way: more than one after a poll that did not wait for the one before.
    pub polls: u32,
    /// Consecutive failed calls.
    pub failed_calls: u32,
    /// Number of the last end that was processed.
    pub last_processed: u64,
    /// Number up to which ends are stored or need not be, so that the worker may forget them.
    pub acknowledged: u64,
    /// Its last report did not list all ends.
    pub partial: bool,
    /// Ends that are not stored yet, by number.
    pub unrecorded: BTreeMap<u64, UnrecordedEnd>,
    /// Runs that may be active there, with their resources.
    pub runs: BTreeMap<TaskId, Charge>,
    /// Sum of `runs`.
    pub used: Amount,
    /// Orphaned runs, of tasks that this owner does not know. Their resources are unknown, so the
    /// worker gets nothing until they are gone.
    pub orphans: Vec<Orphan>,
    /// Operators drain its zone, so it gets nothing new.
    pub drained: bool,
    /// It gets nothing new until then, because planned work is about to take it.
    pub cordoned_until: Tick,
    /// It gets nothing new until then or until a run ends there, since it rejected a run for lack
    /// of capacity.
    pub full_until: Tick,
    /// Reservation for a step for which capacity is being freed.
    pub reserved: Option<Reservation>,
    /// When its best-effort tasks were last compared with the tasks that they disturb.
    pub paced_at: Tick,
    /// Recent start orders whose answers were lost. They may still be carried out, by whatever
    /// incarnation is there by then.
    pub lost_orders: Vec<LostOrder>,
    /// When the last call ended without an answer.
    pub unanswered_at: Option<Tick>,
    /// The last poll was to prolong its leases.
    pub renewing: bool,
    /// When the last call ended that may have begun or prolonged a lease and named no incarnation.
    pub unidentified_at: Option<Tick>,
    /// When the last one of these ended without an answer, so that it may still be carried out.
    pub lost_at: Option<Tick>,
    /// No call after that has reached it, and one has found its port closed.
    pub closed: bool,
    /// How long it may hold the last poll open.
    pub poll_wait: Millis,
    /// When a poll was last requested without waiting for the one under way.
    pub repolled_at: Option<Tick>,
    /// When the poll was sent whose report was applied last.
    pub report_sent: Tick,
    /// When its last restart was noticed.
    pub restarted_at: Option<Tick>,
    /// Calls to its previous incarnation may arrive until then. Such a call may make it forget ends
    /// that no owner has read, so it gets only long-running tasks, whose ends may be forgotten.
    pub late_calls_until: Tick,
    /// Calls to its previous incarnation may also prolong the leases there, by the clock of that one; until
    /// then at most.
    pub late_leases_until: Tick,
    /// Task on trial: it may crash the worker and has not started working. Nothing else is started
    /// meanwhile, so that a crash can be attributed to it.
    pub trial: Option<TaskId>,
    /// What it ran when its leases expired without an answer or its end was judged, and may run still; the
    /// suspects if it turns out to have crashed.
    pub crash_suspects: Vec<CrashSuspect>,
    /// Recent failures of its tasks.
    pub failure_history: FailureHistory,
    /// Speed of its tasks.
    pub speed: Speed,
}

/// A task on a worker that may have crashed, and its role in the crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashSuspect {
    /// The task.
    pub task: TaskId,
    /// Its role.
    pub role: CrashRole,
}

/// Capacity reserved for a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// The step.
    pub step: StepId,
    /// When the reservation ends.
    pub until: Tick,
}

impl Worker {
    /// Creates the state of a worker of which only the registration is known.
    pub fn new(info: WorkerInfo, now: Tick) -> Self {
        Self {
            started_at: info.started_at,
            info,
            listed: true,
            rostered: false,
            silent_since: now,
            moved_at: None,
            ended: false,
            judged: None,
            recorded: None,
            last_contact: now,
            joined: now,
            clock: None,
            max_deadline: WorkerTime(0),
            silent: false,
            port_closed: false,
            unhosted: None,
            answered: false,
            renewed: false,
            poll: Poll::Due(now),
            polls: 0,
            failed_calls: 0,
            last_processed: 0,
            acknowledged: 0,
            partial: false,
            unrecorded: BTreeMap::new(),
            runs: BTreeMap::new(),
            used: Amount::default(),
            orphans: Vec::new(),
            drained: false,
            cordoned_until: Tick(0),
            full_until: Tick(0),
            reserved: None,
            paced_at: Tick(0),
            lost_orders: Vec::new(),
            unanswered_at: None,
            renewing: false,
            unidentified_at: None,
            lost_at: None,
            closed: false,
            poll_wait: Millis(0),
            repolled_at: None,
            report_sent: Tick(0),
            restarted_at: None,
            late_calls_until: Tick(0),
            late_leases_until: Tick(0),
            trial: None,
            crash_suspects: Vec::new(),
            failure_history: FailureHistory::default(),
            speed: Speed::new(now),
        }
    }

    /// Returns whether a call that was sent at `sent` went to an address that it had before.
    pub fn has_moved_since(&self, sent: Tick) -> bool {
        self.moved_at.is_some_and(|moved_at| sent <= moved_at)
    }

    /// Returns when its newest known incarnation started: the one that answered or the one that is
    /// registered.
    pub fn newest_start(&self) -> Option<Millis> {
        self.started_at.max(self.info.started_at)
    }

    /// Returns when its incarnation started, if the registration is that of an earlier one.
    pub fn unregistered_start(&self) -> Option<Millis> {
        self.started_at.filter(|_| is_newer(self.started_at, self.info.started_at))
    }

    /// Returns the latest incarnation known to have ended, if the worker is dead. Before its first
    /// answer the start is known from its registration or from the report of its end alone.
    pub fn latest_ended(&self) -> Incarnation {
        let reported = self.unhosted.as_ref().and_then(|ended| ended.started_at);
        Incarnation::new(self.info.id.clone()).with_start(self.newest_start().max(reported))
    }

    /// Returns whether the platform was reported to have no host with its newest known incarnation.
    pub fn is_unhosted(&self) -> bool {
        self.unhosted.as_ref().is_some_and(|ended| ended.covers(self.latest_start()))
    }

    /// Returns when the latest incarnation started that a predecessor may have used.
    pub fn latest_start(&self) -> Option<Millis> {
        self.newest_start().max(self.recorded)
    }

    /// Returns whether the crash of its newest known incarnation has been judged.
    pub fn is_judged(&self) -> bool {
        self.judged.as_ref().is_some_and(|judged| judged.covers(self.newest_start()))
    }

    /// Returns the free capacity.
    pub fn free(&self) -> Amount {
        self.info.capacity.minus(self.used)
    }

    /// Reserves resources for a run that may be active from now on.
    pub fn charge(&mut self, task: TaskId, run: RunNumber, amount: Amount) {
        self.release(task);
        self.runs.insert(task, Charge { run, amount });
        self.used = self.used.plus(amount);
        self.failure_history.record_start(task);
    }

    /// Releases the resources of a task that can't be active there any more.
    pub fn release(&mut self, task: TaskId) {
        if let Some(charge) = self.runs.remove(&task) {
            self.used = self.used.minus(charge.amount);
            self.full_until = Tick(0);
        }
        self.failure_history.record_end(task);
        self.end_trial(task);
    }

    /// Ends the trial of a task, which has started working or is gone.
    pub fn end_trial(&mut self, task: TaskId) {
        if self.trial == Some(task) {
            self.trial = None;
        }
    }

    /// Marks the ends of a job as contained in a transaction.
    pub fn mark_written(&mut self, job: JobId) {
        for end in self.unrecorded.values_mut().filter(|end| end.job == job) {
            end.written = true;
        }
    }

    /// Removes the ends of a job that its newest transaction, now committed, contains.
    pub fn mark_recorded(&mut self, job: JobId) {
        self.unrecorded.retain(|_, end| end.job != job || !end.written);
        self.advance_acknowledged();
    }

    /// Advances the number up to which the worker may forget its ends.
    pub fn advance_acknowledged(&mut self) {
        let first = self.unrecorded.keys().next();
        let acknowledged = first.map_or(self.last_processed, |first| first.saturating_sub(1));
        self.acknowledged = self.acknowledged.max(acknowledged);
    }

    /// Returns the number of known ends that its next report lists again, since they are not recorded.
    pub fn repeated_ends(&self) -> usize {
        (self.unacknowledged() as usize).min(MAX_REPORTED_ENDS)
    }

    /// Returns for how long the leases given to the worker last, if its clock runs true.
    pub fn remaining_lease(&self, now: Tick) -> Millis {
        let time = self.clock.map_or(0, |sample| sample.estimate(now).0);
        Millis(self.max_deadline.0.saturating_sub(time))
    }

    /// Returns when every lease given to the known incarnation has certainly expired. `None` if no
    /// clock sample was ever received, when no lease was given.
    pub fn leases_expire_at(&self) -> Option<Tick> {
        self.clock.map(|sample| sample.surely_past(self.max_deadline).max(self.late_leases_until))
    }

    /// Returns when a run has certainly expired that no report has listed. It may be on an incarnation
    /// that was not noticed, and that grants its longest lease, `grant`, for a deadline by an earlier
    /// clock. `None` as for [`Worker::leases_expire_at`].
    pub fn unreported_expire_at(&self, grant: Millis) -> Option<Tick> {
        let known = self.leases_expire_at()?;
        let lease = with_drift(grant);
        let unnoticed = self.unidentified_at.filter(|_| self.started_at.is_some());
        // As after a restart that a report has shown: see `expect_late_calls`.
        let late = self.lost_at.filter(|_| is_newer(self.info.started_at, self.started_at));
        let late = late.map(|at| at + MAX_ORDER_DELAY);
        Some(unnoticed.max(late).map_or(known, |last| known.max(last + lease)))
    }

    /// Records that the worker may be gone; it gets nothing until it answers.
    pub fn mark_suspect(&mut self, now: Tick) {
        if !self.silent {
            self.silent_since = now;
        }
        self.silent = true;
        if let Poll::Due(due) = self.poll {
            self.poll = Poll::Due(due.min(now));
        }
    }

    /// Returns whether nothing can be active there any more: it does not answer, and every lease
    /// has expired.
    pub fn is_expired(&self, now: Tick) -> bool {
        let expired = self.leases_expire_at().is_none_or(|expiry| expiry <= now);
        self.silent && expired && self.runs.is_empty()
    }

    /// Returns whether the worker has reported that it runs nothing and was given nothing since.
    pub fn is_idle(&self) -> bool {
        let is_known = self.answered && !self.silent && !self.partial;
        is_known && self.runs.is_empty() && self.orphans.is_empty()
    }

    /// Returns whether the worker may get new tasks of every kind.
    pub fn accepts(&self, now: Tick) -> bool {
        self.obstacle(now).is_none() && !self.expects_late_calls(now)
    }

    /// Returns whether the next report might not list the end of one more run. A run that is neither
    /// listed as running nor as ended would be taken for lost.
    fn has_full_report(&self) -> bool {
        let unacknowledged = self.unacknowledged() as usize;
        self.partial || unacknowledged.saturating_add(self.runs.len()) >= MAX_REPORTED_ENDS
    }

    /// Returns the number of known ends that the worker may not forget yet.
    fn unacknowledged(&self) -> u64 {
        self.last_processed.saturating_sub(self.acknowledged)
    }

    /// Returns why the worker gets no new tasks at all; `None` if it may get some.
    pub fn obstacle(&self, now: Tick) -> Option<Obstacle> {
        let checks = [
            (!self.listed, Obstacle::Unlisted),
            (self.unregistered_start().is_some(), Obstacle::Unregistered),
            (!self.answered, Obstacle::Unanswered),
            (self.silent, Obstacle::Silent),
            (!self.rostered, Obstacle::Unrostered),
            (!self.orphans.is_empty(), Obstacle::Orphans),
            (self.trial.is_some(), Obstacle::Trial),
            (self.info.draining, Obstacle::Draining),
            (self.drained, Obstacle::ZoneDrained),
            (self.cordoned_until > now, Obstacle::Cordoned),
            (self.full_until > now, Obstacle::Full),
            (self.has_full_report(), Obstacle::Unrecorded),
            (self.failure_history.suspended_until > now, Obstacle::Suspended),
            (self.failure_history.is_probing(now), Obstacle::Probation),
        ];
        checks.into_iter().find_map(|(fails, obstacle)| fails.then_some(obstacle))
    }
}
