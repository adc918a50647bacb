//! State machine of a pool's owner: tracks jobs and workers, and decides which orders to send next.
//!
//! The owner's event loop passes events in and carries out the returned [`Action`]s. This module
//! neither reads a clock nor blocks.

mod action;
mod advice;
mod backlog;
mod callers;
mod confirmation;
mod crash;
mod drain;
mod drain_worker;
mod expiring;
mod flush;
mod gang;
mod load;
mod orders;
mod orphans;
mod pace;
mod polls;
mod quota;
mod recover;
mod recovered_state;
mod refusal;
mod reports;
mod restarted_worker;
mod roster;
mod round_outcome;
mod settled;
mod starts;
mod unclaimed;
mod unplaced;
mod weights;

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

pub use action::{Action, Note, NoteKind, StopReason};
pub use advice::AdviceSummary;
pub use backlog::StartBacklog;
pub use callers::{Cancelled, JobState, StateReply, is_foreign};
pub use crash::DeathEvidence;
pub use drain_worker::{DrainMode, DrainProgress};
pub use flush::{Batch, Due, Lane};
pub use load::{PoolLoad, WorkerLoad};
pub use recovered_state::{RecoveredJobs, RecoveredState, StoredJob, StoredProgress};
pub use roster::{StoredRoster, StoredWorker};
pub use round_outcome::RoundOutcome;
pub use unplaced::{UnplacedSummary, WaitReason};

use reachhead_types::{
    id::{CustomerName, JobId, PoolName, WorkerId},
    size::{FencingToken, Millis, Revision},
};

use crate::{
    advice_pace::AdviceBudget,
    clock::{Tick, with_drift},
    incarnation::{Incarnation, is_newer},
    job::Job,
    order::DurationEstimator,
    outage::OutageDetector,
    poll_pace::PollBudget,
    ports::{WorkerInfo, WorkerTarget},
    record::{Ending, FinalRecord, JobRecord, LeaseRecord},
    shard::Shard,
    start_pace::StartBudget,
    worker::{LateCalls, Worker},
};

/// Period of the review that finds orders due by time alone. Orders are resent after 50 ms, so this
/// delays them by at most half as much again. A review costs time for each run of the pool, and
/// scheduling rounds are only 4 ms apart.
const REVIEW_PERIOD: Millis = Millis(20);

/// Run numbers reserved for each owner; those of its successor start this much higher. A
/// long-running task that exits immediately is started about twice a second, so the range lasts for
/// days.
const RUNS_PER_TERM: u64 = 1_000_000;

/// How long the state of an ended job is answered from memory; later queries go to the store.
const CLOSED_JOB_RETENTION: Millis = Millis(120_000);

/// Timeouts derived from the platform's contract.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolTimeouts {
    /// Lease duration: how long a worker may keep its runs without a renewal.
    pub hold: Millis,
    /// How long an owner may give orders after its own lease was last confirmed.
    pub trust: Millis,
    /// How long a worker holds a long poll open.
    pub wait: Millis,
    /// How long a protected task counts as unavailable after planned work ended it.
    pub notice: Millis,
    /// How long the members of a gang wait for each other.
    pub gang: Millis,
    /// Longest time that stopping a run takes.
    pub stop: Millis,
    /// Longest lease that a worker accepts, whatever deadline an order carries.
    pub grant: Millis,
    /// How long a process may start tasks without fresh knowledge of the drained zones.
    pub drain: Millis,
}

impl PoolTimeouts {
    /// Returns how long after an ownership change an order of a predecessor that may still be alive
    /// can take effect on a worker that the successor can't reach.
    pub fn takeover_delay(&self) -> Millis {
        Millis(self.trust.0 + with_drift(self.hold).0)
    }

    /// Returns the same delay for a predecessor that released the pool: its own orders remain
    /// effective for one lease duration, and those of its predecessors for the time that its lease
    /// record gives.
    pub fn after_release(&self, record: &LeaseRecord) -> Millis {
        let leases = with_drift(self.hold);
        match record.unsettled_for {
            _ if record.settled => leases,
            Some(open) => leases.max(open),
            None => self.takeover_delay(),
        }
    }
}

/// An ended job whose final record is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ClosedJob {
    ending: Ending,
    customer: Option<CustomerName>,
    at: Tick,
}

/// How an owner has learned of a job that was stored after its takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobSource {
    /// It was notified of the job.
    Notification,
    /// A read of the store has found the job.
    Read,
}

/// A pool, with all state that its owner keeps about it.
pub struct Pool {
    name: PoolName,
    token: FencingToken,
    /// Revisions of the shards' fences after this owner raised them.
    fences: BTreeMap<Shard, Revision>,
    /// Set until the stored jobs are known.
    recovering: bool,
    /// When they became known.
    recovered_at: Tick,
    /// Number of ownership changes before this owner; run numbers derive from it.
    term: u64,
    timeouts: PoolTimeouts,
    jobs: BTreeMap<JobId, Job>,
    /// Ended jobs whose state is still answered from memory.
    closed: BTreeMap<JobId, ClosedJob>,
    workers: BTreeMap<WorkerId, Worker>,
    /// The predecessor's workers that have not answered this owner yet.
    pending: BTreeMap<WorkerId, PendingWorker>,
    /// What predecessors may have ordered without this owner's knowledge.
    predecessor: orphans::PredecessorOrders,
    /// No predecessor starts tasks of a job that this owner stored.
    predecessors_know_storer: bool,
    /// Reported ends of runs whose jobs this owner does not know.
    unclaimed_ends: unclaimed::UnclaimedEnds,
    /// The platform's list of workers has been applied at least once.
    workers_listed: bool,
    /// The zones that operators drain.
    drained: drain::DrainedZones,
    /// Cordons of workers that are not listed yet, with the time at which each expires.
    cordons: BTreeMap<WorkerId, Tick>,
    /// Until when one extra host is requested, because a task that has to move found no place.
    surge_until: Tick,
    /// When the last of the predecessor's workers answered or expired.
    all_answered_at: Option<Tick>,
    /// Start orders that may be sent in this round.
    start_budget: StartBudget,
    /// Reports that may be requested in this round.
    poll_budget: PollBudget,
    /// Calls for approvals that may be sent now.
    advice_budget: AdviceBudget,
    /// What the last round ordered.
    round: RoundOutcome,
    /// Where the next round goes on to search the long-running jobs.
    search_from: usize,
    roster: roster::RosterState,
    /// Whether the store shows that no order of a predecessor can have effect any more.
    settlement: settled::Settlement,
    /// Jobs with changes to write to the store.
    dirty: BTreeSet<JobId>,
    refusals: refusal::Refusals,
    /// Worker incarnations known to be dead even if the platform still lists them.
    dead_incarnations: BTreeMap<WorkerId, Incarnation>,
    /// Calls to dead incarnations that the next ones under their ids may still carry out.
    late_calls: BTreeMap<WorkerId, LateCalls>,
    /// Number of workers in the platform's last list that were skipped as dead incarnations.
    skipped: u32,
    /// Recent deaths of workers that nothing which ran there explains.
    outage: OutageDetector,
    /// Crashes counted within the last moments, which an outage takes back.
    counted_crashes: Vec<crash::CountedCrash>,
    estimator: DurationEstimator,
    advice: advice::AdviceCache,
    quotas: quota::Quotas,
    unplaced: unplaced::UnplacedSteps,
    customer_arrivals: weights::CustomerArrivals,
    queue_arrivals: load::QueueArrivals,
    /// A job with best-effort tasks was seen, so their pace has to be adjusted.
    has_best_effort: bool,
    /// An event occurred that may require an order for an existing run.
    review: bool,
    /// When runs are reviewed next even without an event.
    next_review: Tick,
    /// When this owner's lease was last confirmed.
    verified: Tick,
    confirmation: confirmation::Confirmation,
    /// Time of day at which the monotonic clock read zero.
    wall_offset: Millis,
    actions: Vec<Action>,
    notes: Vec<Note>,
}

/// A worker of the predecessor that has not answered this owner yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingWorker {
    /// When runs that its last report leaves out have ended; zero without a report.
    answer_until: Tick,
    /// No job whose row is newer than this was started there.
    closed: Option<Revision>,
}

impl Pool {
    /// Returns the pool's name.
    pub fn name(&self) -> &PoolName {
        &self.name
    }

    /// Returns the owner's fencing token.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the open jobs, including ended ones whose final record or last run is pending.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Returns the workers.
    pub fn workers(&self) -> &BTreeMap<WorkerId, Worker> {
        &self.workers
    }

    /// Returns the number of the predecessor's workers that have not answered yet.
    pub fn unsettled(&self) -> usize {
        self.pending.len()
    }

    /// Records that this owner's lease was in force at `at`.
    pub fn verify(&mut self, at: Tick) {
        self.verified = self.verified.max(at);
    }

    /// Adds an accepted job of which the owner is notified once it is stored; a known job is left
    /// unchanged. A job that was stored before this owner took over, but whose row it did not find, had
    /// already ended: its submission is late and is ignored. While the pool is recovering no job is added;
    /// the owner finds it by its next reads.
    pub fn submit(
        &mut self,
        id: JobId,
        record: &JobRecord,
        row: Revision,
        now: Tick,
        wall: Millis,
    ) {
        self.add_job(id, record, row, JobSource::Notification, now, wall);
    }

    /// Adds a job that a read of the store has found, as [`Pool::submit`] does. It may have been stored long
    /// before, and a predecessor may have been notified of it.
    pub fn submit_found(
        &mut self,
        id: JobId,
        record: &JobRecord,
        row: Revision,
        now: Tick,
        wall: Millis,
    ) {
        self.add_job(id, record, row, JobSource::Read, now, wall);
    }

    fn add_job(
        &mut self,
        id: JobId,
        record: &JobRecord,
        row: Revision,
        source: JobSource,
        now: Tick,
        wall: Millis,
    ) {
        let ended = row < self.read_until(id);
        if self.is_recovering()
            || self.is_replaced(record)
            || ended
            || self.jobs.contains_key(&id)
            || self.closed.contains_key(&id)
        {
            return;
        }
        self.estimator.observe_job(&record.queue.name, &record.plan);
        self.has_best_effort |= record.plan.has_best_effort();
        if !record.plan.is_long_running() && self.can_use_hosts(record.customer.as_ref()) {
            self.queue_arrivals.record(&record.queue.name, now);
        }
        let accepted = now - Millis(wall.0.saturating_sub(record.accepted.0));
        let mut job = Job::new(id, record, accepted);
        job.row = Some(row);
        let maybe_started = match source {
            JobSource::Notification => self.predecessor.may_be_given(now),
            JobSource::Read => self.predecessor.may_be_started(now),
        };
        job.maybe_started = maybe_started && !self.is_own_job(record);
        job.over_share = self.is_beyond_weight(record.customer.as_ref(), now);
        job.add_due_occurrences(wall);
        self.jobs.insert(id, job);
        self.claim_ends(id, now);
        self.claim_runs(id, now);
    }

    /// Applies the platform's list of the pool's workers.
    pub fn list(&mut self, listed: Vec<WorkerInfo>, now: Tick) {
        self.workers_listed = true;
        self.roster.next = now;
        let ids: BTreeSet<WorkerId> = listed.iter().map(|info| info.id.clone()).collect();
        for worker in self.workers.values_mut() {
            worker.listed = ids.contains(&worker.info.id);
        }
        self.dead_incarnations.retain(|id, _| ids.contains(id));
        self.skipped = 0;
        for info in listed {
            let dead = self.dead_incarnations.get(&info.id);
            if dead.is_some_and(|dead| dead.covers(info.started_at)) {
                self.skipped += 1;
                continue;
            }
            self.dead_incarnations.remove(&info.id);
            match self.workers.get_mut(&info.id) {
                // The list is older than the incarnation that already answered.
                Some(worker) if is_newer(worker.started_at, info.started_at) => {}
                Some(worker) => {
                    if is_newer(info.started_at, worker.started_at) {
                        worker.mark_suspect(now);
                    }
                    if worker.info.started_at != info.started_at {
                        // What refused the connection may have been an earlier incarnation.
                        worker.port_closed = false;
                    }
                    if worker.info.address != info.address {
                        worker.moved_at = Some(now);
                    }
                    if worker.info.capacity != info.capacity {
                        worker.full_until = Tick(0);
                    }
                    worker.drained = self.drained.contains(&info.zone);
                    worker.info = info;
                }
                None => {
                    let mut worker = Worker::new(info, now);
                    if let Some(calls) = self.late_calls.remove(&worker.info.id) {
                        worker.inherit(calls, now, self.timeouts.grant);
                    }
                    worker.rostered = self.roster.is_open(&worker.info.id);
                    worker.drained = self.drained.contains(&worker.info.zone);
                    worker.cordoned_until =
                        self.cordons.get(&worker.info.id).copied().unwrap_or_default();
                    self.workers.insert(worker.info.id.clone(), worker);
                }
            }
        }
    }

    /// Sets what the next round may send in start orders.
    pub fn set_start_budget(&mut self, budget: StartBudget) {
        self.start_budget = budget;
    }

    /// Returns what the last round has left of its start orders.
    pub fn start_budget(&self) -> StartBudget {
        self.start_budget
    }

    /// Sets the reports that the next round may request.
    pub fn set_poll_budget(&mut self, budget: PollBudget) {
        self.poll_budget = budget;
    }

    /// Returns what the last round has left of the reports that it may request.
    pub fn poll_budget(&self) -> PollBudget {
        self.poll_budget
    }

    /// Sets the calls for approvals that the next round may send.
    pub fn set_advice_budget(&mut self, budget: AdviceBudget) {
        self.advice_budget = budget;
    }

    /// Returns how many starts the last round ordered, and whether only its budget limited them.
    pub fn round_outcome(&self) -> RoundOutcome {
        self.round
    }

    /// Returns the next orders. `wall` is the time of day in milliseconds since 1970.
    pub fn poll(&mut self, now: Tick, wall: Millis) -> Vec<Action> {
        self.wall_offset = Millis(wall.0.saturating_sub(now.0));
        self.round = RoundOutcome::default();
        self.add_due_occurrences(wall);
        self.expire(now);
        if self.review || self.next_review <= now {
            self.review = false;
            self.next_review = now + REVIEW_PERIOD;
            self.review_runs(now);
        }
        self.send_bars(now);
        if self.can_order(now) && self.drained.is_current(now) && !self.is_recovering() {
            self.place_tasks(now);
            self.send_advice_calls(now);
        }
        self.check_unplaced(now);
        self.send_polls(now);
        self.look_up_jobs(now);
        self.request_confirmation(now);
        if self.has_best_effort {
            self.adjust_pace(now);
        }
        self.check_roster(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the decisions logged since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Returns whether this owner's lease was confirmed recently enough to give orders.
    fn can_order(&self, now: Tick) -> bool {
        now.since(self.verified) <= self.timeouts.trust
    }

    fn add_due_occurrences(&mut self, wall: Millis) {
        for job in self.jobs.values_mut() {
            job.add_due_occurrences(wall);
        }
    }

    /// Drops state whose retention time has passed.
    fn expire(&mut self, now: Tick) {
        if !self.is_recovering() {
            let verified = self.verified;
            let mut pending = mem::take(&mut self.pending);
            pending.retain(|id, left| {
                self.pending_until(id, left).is_none_or(|until| until > verified)
            });
            self.pending = pending;
        }
        if self.pending.is_empty() {
            self.all_answered_at.get_or_insert(now);
        }
        self.cordons.retain(|_, until| *until > now);
        self.late_calls.retain(|_, calls| calls.until > now);
        self.predecessor.expire(now);
        self.closed.retain(|_, closed| now.since(closed.at) < CLOSED_JOB_RETENTION);
        self.expire_workers(now);
        self.refusals.expire(now, |id| self.jobs.contains_key(&id));
        self.advice.expire(|id| self.jobs.contains_key(&id));
    }

    /// Marks a job's progress as changed, to be written to the store.
    fn mark_dirty(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.unsaved = true;
            self.dirty.insert(id);
        }
    }

    fn note(&mut self, kind: NoteKind, text: impl Into<String>) {
        self.notes.push(Note { kind, text: text.into() });
    }

    fn target(&self, worker: &Worker) -> WorkerTarget {
        WorkerTarget { id: worker.info.id.clone(), address: worker.info.address, token: self.token }
    }

    /// Returns the final record of an ended job.
    fn final_record(job: &Job, ending: Ending, wall: Millis) -> FinalRecord {
        let customer = job.customer.clone();
        FinalRecord { queue: job.queue.name.clone(), ending, at: wall, customer }
    }
}
