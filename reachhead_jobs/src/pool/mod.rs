//! A pool as its owner sees it: jobs, workers, and the next orders.
//!
//! The owner's event loop hands in what happened and carries out the [`Action`]s that come back.
//! Nothing here reads a clock or waits.

mod action;
mod adopt;
mod advice;
mod callers;
mod crash;
mod drain;
mod drain_worker;
mod expiring;
mod flush;
mod load;
mod orders;
mod pace;
mod polls;
mod quota;
mod rebirth;
mod recovered_state;
mod refusal;
mod reports;
mod roster;
mod starts;
mod weights;

use std::collections::{BTreeMap, BTreeSet};

pub use action::{Action, Note, NoteKind, StopReason};
pub use callers::{Cancelled, JobState, StateReply, is_foreign};
pub use crash::DeathEvidence;
pub use drain_worker::{DrainMode, DrainProgress};
pub use flush::{Batch, Due, Lane};
pub use load::{PoolLoad, WorkerLoad};
pub use recovered_state::{RecoveredState, StoredJob, StoredProgress};
pub use roster::{StoredRoster, StoredWorker};

use reachhead_types::{
    id::{CustomerName, JobId, PoolName, WorkerId},
    size::{FencingToken, Millis, Revision},
};

use self::rebirth::is_newer;
use crate::{
    clock::{Tick, with_drift},
    job::Job,
    order::DurationEstimator,
    ports::{EndedEntry, WorkerInfo, WorkerTarget},
    record::{Ending, FinalRecord, JobRecord, LeaseRecord},
    shard::Shard,
    worker::Worker,
};

/// How often runs are looked at for orders that are due by time alone. Orders are repeated after 50 ms, so they are sent
/// at most half as late again. A look takes time for each run of the pool, and rounds are 4 ms apart.
const REVIEW_PERIOD: Millis = Millis(20);

/// Numbers of runs that an owner has to itself; a successor's numbers are higher by this. A task
/// that runs on and ends at once is started about twice a second, so it lasts for days of that.
const RUNS_PER_TERM: u64 = 1_000_000;

/// How long the state of a job that is over is told from memory; afterwards the store is asked.
const CLOSED_TIME: Millis = Millis(120_000);

/// Times that follow from the platform's contract.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolTimeouts {
    /// How long a worker may hold its runs without a renewal.
    pub hold: Millis,
    /// How long an owner goes on giving orders without a sign that it still is in charge.
    pub trust: Millis,
    /// How long a long poll waits.
    pub wait: Millis,
    /// How long a protected task counts as away after planned work ended it.
    pub notice: Millis,
    /// How long the members of a gang wait for each other.
    pub gang: Millis,
    /// How long a stop takes at most.
    pub stop: Millis,
    /// The longest lease that a worker grants, whatever an order says.
    pub grant: Millis,
    /// How long a process may go on starting tasks without knowing which zones are drained.
    pub drain: Millis,
}

impl PoolTimeouts {
    /// Returns how long after a change of hands an order of a predecessor that may be alive can have
    /// effect on a worker that the successor can't reach.
    pub fn takeover_delay(&self) -> Millis {
        Millis(self.trust.0 + with_drift(self.hold).0)
    }

    /// Returns the same for a predecessor that gave the pool back: what it ordered itself outlasts that by a lease, and what it had
    /// not heard of its own predecessors by as long as it says.
    pub fn after_release(&self, record: &LeaseRecord) -> Millis {
        let leases = with_drift(self.hold);
        match record.unsettled_for {
            _ if record.settled => leases,
            Some(open) => leases.max(open),
            None => self.takeover_delay(),
        }
    }
}

/// A job of which the end is recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Closed {
    ending: Ending,
    customer: Option<CustomerName>,
    at: Tick,
}

/// A pool and everything that its owner knows of it.
pub struct Pool {
    name: PoolName,
    token: FencingToken,
    fences: BTreeMap<Shard, Revision>,
    term: u64,
    timeouts: PoolTimeouts,
    jobs: BTreeMap<JobId, Job>,
    closed: BTreeMap<JobId, Closed>,
    workers: BTreeMap<WorkerId, Worker>,
    /// Workers of the predecessor that have not answered yet.
    pending: BTreeMap<WorkerId, Pending>,
    /// Ends of jobs that this owner was not told of.
    orphans: Vec<Orphan>,
    /// The platform's list of workers was taken in.
    listed: bool,
    /// The zones that operators drain.
    drained: drain::DrainedZones,
    /// Workers that are not listed yet and must get nothing, and until when.
    cordons: BTreeMap<WorkerId, Tick>,
    /// Until when one more host is asked for, since a task that has to leave finds no place.
    surge_until: Tick,
    /// Since when no worker of the predecessor is pending.
    settled_at: Option<Tick>,
    roster: roster::RosterState,
    dirty: BTreeSet<JobId>,
    refusals: refusal::Refusals,
    /// Lives of workers that are known to be over, whatever the platform's list still says, and when they began.
    over: BTreeMap<WorkerId, Option<Millis>>,
    estimator: DurationEstimator,
    advice: advice::AdviceBook,
    quotas: quota::Quotas,
    arrived: weights::Arrived,
    arrivals: load::Arrivals,
    /// A job with tasks that fill was seen, so paces have to be looked at.
    fills: bool,
    /// Something happened that may ask for an order about a run that exists.
    review: bool,
    /// When runs are looked at again though nothing happened.
    review_next: Tick,
    verified: Tick,
    /// The time of day at the start of the steady clock.
    epoch: Millis,
    actions: Vec<Action>,
    notes: Vec<Note>,
}

/// An end of a job that this owner does not know: it is over, or will be told of. A predecessor that had lost
/// its lease may have started its tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Orphan {
    worker: WorkerId,
    entry: EndedEntry,
    since: Tick,
}

/// A worker of the predecessor that has not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pending {
    /// Until when something that the predecessor started there may work.
    until: Tick,
    /// No job whose row is newer than this was started there.
    closed: Option<Revision>,
}

impl Pool {
    /// Returns the pool `name` for the owner with this token.
    pub fn new(
        name: PoolName,
        token: FencingToken,
        term: u64,
        timeouts: PoolTimeouts,
        found: RecoveredState,
        now: Tick,
        wall: Millis,
    ) -> Self {
        let mut pool = Self {
            name,
            token,
            fences: found.fences,
            term,
            timeouts,
            jobs: BTreeMap::new(),
            closed: BTreeMap::new(),
            workers: BTreeMap::new(),
            pending: BTreeMap::new(),
            orphans: Vec::new(),
            listed: false,
            drained: drain::DrainedZones::default(),
            cordons: BTreeMap::new(),
            surge_until: Tick(0),
            settled_at: None,
            roster: roster::RosterState::new(found.roster),
            dirty: BTreeSet::new(),
            refusals: refusal::Refusals::default(),
            over: BTreeMap::new(),
            estimator: DurationEstimator::default(),
            advice: advice::AdviceBook::default(),
            quotas: quota::Quotas::default(),
            arrived: weights::Arrived::default(),
            arrivals: load::Arrivals::default(),
            fills: false,
            review: true,
            review_next: now,
            verified: found.verified,
            epoch: Millis(wall.0.saturating_sub(now.0)),
            actions: Vec::new(),
            notes: Vec::new(),
        };
        for stored in found.jobs {
            pool.inherit_job(stored, now, wall);
        }
        pool.inherit_workers(found.effect, now);
        pool
    }

    /// Returns the pool's name.
    pub fn name(&self) -> &PoolName {
        &self.name
    }

    /// Returns the owner's fencing token.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the jobs that are not over.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Returns the workers.
    pub fn workers(&self) -> &BTreeMap<WorkerId, Worker> {
        &self.workers
    }

    /// Returns how many workers of a predecessor have not answered yet.
    pub fn unsettled(&self) -> usize {
        self.pending.len()
    }

    /// Returns for how long something that a predecessor started may still be at work on a worker that has not answered.
    pub fn open_time(&self, now: Tick) -> Millis {
        let last = self.pending.values().map(|pending| pending.until).max();
        last.map_or(Millis(0), |until| until.since(now))
    }

    /// Notes that this owner was still in charge at `at`.
    pub fn verify(&mut self, at: Tick) {
        self.verified = self.verified.max(at);
    }

    /// Takes in an accepted job; one that is known already changes nothing. One that was stored before this
    /// owner came, and whose row it did not find, was over by then: whoever tells of it is late.
    pub fn submit(
        &mut self,
        id: JobId,
        record: &JobRecord,
        row: Revision,
        now: Tick,
        wall: Millis,
    ) {
        let over = row < Revision(self.token.0);
        if over || self.jobs.contains_key(&id) || self.closed.contains_key(&id) {
            return;
        }
        self.estimator.observe_job(&record.queue.name, &record.plan);
        self.fills |= record.plan.has_best_effort();
        if !record.plan.is_long_running() && self.may_use_hosts(record.customer.as_ref()) {
            self.arrivals.note(&record.queue.name, now);
        }
        let accepted = now - Millis(wall.0.saturating_sub(record.accepted.0));
        let mut job = Job::new(id, record, accepted);
        job.row = Some(row);
        job.over_share = self.is_beyond_weight(record.customer.as_ref(), now);
        job.add_due_occurrences(wall);
        self.jobs.insert(id, job);
        self.claim_orphans(id, now);
    }

    /// Takes in the platform's list of the pool's workers.
    pub fn list(&mut self, listed: Vec<WorkerInfo>, now: Tick) {
        self.listed = true;
        self.roster.next = now;
        let ids: BTreeSet<WorkerId> = listed.iter().map(|info| info.id.clone()).collect();
        for worker in self.workers.values_mut() {
            worker.listed = ids.contains(&worker.info.id);
        }
        self.over.retain(|id, _| ids.contains(id));
        for info in listed {
            if self.over.get(&info.id).is_some_and(|over| !is_newer(info.started_at, *over)) {
                continue;
            }
            self.over.remove(&info.id);
            match self.workers.get_mut(&info.id) {
                // The list is behind the worker.
                Some(worker) if is_newer(worker.started_at, info.started_at) => {}
                Some(worker) => {
                    if is_newer(info.started_at, worker.started_at) {
                        worker.mark_suspect(now);
                    }
                    if worker.info.capacity != info.capacity {
                        worker.full_until = Tick(0);
                    }
                    worker.drained = self.drained.contains(&info.zone);
                    worker.info = info;
                }
                None => {
                    let mut worker = Worker::new(info, now);
                    worker.rostered = self.roster.is_open(&worker.info.id);
                    worker.drained = self.drained.contains(&worker.info.zone);
                    worker.cordoned_until =
                        self.cordons.get(&worker.info.id).copied().unwrap_or_default();
                    self.workers.insert(worker.info.id.clone(), worker);
                }
            }
        }
    }

    /// Returns the next orders. `wall` is the time of day in milliseconds since 1970.
    pub fn poll(&mut self, now: Tick, wall: Millis) -> Vec<Action> {
        self.epoch = Millis(wall.0.saturating_sub(now.0));
        self.unfold(wall);
        self.expire(now);
        if self.review || self.review_next <= now {
            self.review = false;
            self.review_next = now + REVIEW_PERIOD;
            self.drive_runs(now);
        }
        if self.trusted(now) && self.drained.known(now) {
            self.place(now);
        }
        self.drive_polls(now);
        if self.fills {
            self.drive_pace(now);
        }
        self.check_roster(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the decisions since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Tells whether this owner may still give orders.
    fn trusted(&self, now: Tick) -> bool {
        now.since(self.verified) <= self.timeouts.trust
    }

    fn unfold(&mut self, wall: Millis) {
        for job in self.jobs.values_mut() {
            job.add_due_occurrences(wall);
        }
    }

    /// Forgets what no longer matters.
    fn expire(&mut self, now: Tick) {
        self.pending.retain(|_, pending| pending.until > now);
        if self.pending.is_empty() {
            self.settled_at.get_or_insert(now);
        }
        self.cordons.retain(|_, until| *until > now);
        self.expire_orphans(now);
        self.closed.retain(|_, closed| now.since(closed.at) < CLOSED_TIME);
        self.expire_workers(now);
        self.refusals.expire(now, |id| self.jobs.contains_key(&id));
        self.advice.expire(now);
    }

    /// Notes that a job has something new to be recorded.
    fn mark(&mut self, id: JobId) {
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

    /// Returns the row of how a job ended.
    fn final_record(job: &Job, ending: Ending, wall: Millis) -> FinalRecord {
        let customer = job.customer.clone();
        FinalRecord { queue: job.queue.name.clone(), ending, at: wall, customer }
    }
}
