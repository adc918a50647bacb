//! Recovery of a predecessor's jobs, workers and runs after an ownership change.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{JobId, PoolName, WorkerId},
    size::{FencingToken, Millis, Revision},
};

use super::{
    advice, confirmation, drain, load, orphans, quota, refusal, roster, settled, unclaimed,
    unplaced, weights,
};
use crate::{
    advice_pace::AdviceBudget,
    clock::Tick,
    job::{Job, Phase, Run},
    order::DurationEstimator,
    outage::OutageDetector,
    poll_pace::PollBudget,
    pool::{
        NoteKind, PendingWorker, Pool, PoolTimeouts, RecoveredJobs, RecoveredState, RoundOutcome,
        StoredJob,
    },
    ports::{RunningEntry, WorkerInfo},
    shard::Shard,
    start_pace::StartBudget,
    worker::Worker,
};

impl Pool {
    /// Creates the pool `name` for the owner that holds `token`, from the state found in the store.
    /// `wall` is the time of day in milliseconds since 1970.
    pub fn new(
        name: PoolName,
        token: FencingToken,
        term: u64,
        timeouts: PoolTimeouts,
        mut found: RecoveredState,
        now: Tick,
        wall: Millis,
    ) -> Self {
        let jobs = RecoveredJobs {
            jobs: mem::take(&mut found.jobs),
            fences: mem::take(&mut found.fences),
            fenced_at: now,
        };
        let mut pool = Self::recovering(name, token, term, timeouts, found, now, wall);
        pool.recover_jobs(jobs, now, wall);
        pool
    }

    /// Creates the pool with the workers that predecessors may have used, before its stored jobs are
    /// known; jobs and fences in `found` are ignored. The pool renews what runs on its workers and
    /// starts, stops and acknowledges nothing until [`Pool::recover_jobs`]: reading the jobs may take
    /// longer than a worker's lease. See [Platform](../../../docs/PLATFORM.md), "How a pool changes its
    /// owner".
    pub fn recovering(
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
            fences: BTreeMap::new(),
            recovering: true,
            recovered_at: now,
            term,
            timeouts,
            jobs: BTreeMap::new(),
            closed: BTreeMap::new(),
            workers: BTreeMap::new(),
            pending: BTreeMap::new(),
            predecessor: orphans::PredecessorOrders::new(found.effect, now),
            predecessors_know_storer: found.knows_storer,
            unclaimed_ends: unclaimed::UnclaimedEnds::default(),
            workers_listed: false,
            drained: drain::DrainedZones::default(),
            cordons: BTreeMap::new(),
            surge_until: Tick(0),
            all_answered_at: None,
            start_budget: StartBudget::unlimited(),
            poll_budget: PollBudget::unlimited(),
            advice_budget: AdviceBudget::unlimited(),
            round: RoundOutcome::default(),
            search_from: 0,
            roster: roster::RosterState::new(found.roster),
            settlement: settled::Settlement::Unrecorded,
            dirty: BTreeSet::new(),
            refusals: refusal::Refusals::default(),
            dead_incarnations: BTreeMap::new(),
            late_calls: BTreeMap::new(),
            skipped: 0,
            outage: OutageDetector::new(),
            counted_crashes: Vec::new(),
            estimator: DurationEstimator::default(),
            advice: advice::AdviceCache::default(),
            quotas: quota::Quotas::default(),
            unplaced: unplaced::UnplacedSteps::default(),
            customer_arrivals: weights::CustomerArrivals::default(),
            queue_arrivals: load::QueueArrivals::default(),
            has_best_effort: false,
            review: true,
            next_review: now,
            verified: found.verified,
            confirmation: confirmation::Confirmation::Due(now),
            wall_offset: Millis(wall.0.saturating_sub(now.0)),
            actions: Vec::new(),
            notes: Vec::new(),
        };
        pool.recover_workers(now);
        pool
    }

    /// Returns whether the stored jobs are not known yet.
    pub fn is_recovering(&self) -> bool {
        self.recovering
    }

    /// Adds the stored jobs to a pool that is recovering, and applies what workers have reported of
    /// them. Orders of predecessors that may go on count from the time at which all shards were fenced:
    /// until then a predecessor's commits could confirm its trust in its lease, and the time that
    /// reading took has passed for its orders too.
    pub fn recover_jobs(&mut self, found: RecoveredJobs, now: Tick, wall: Millis) {
        if !mem::take(&mut self.recovering) {
            return;
        }
        self.recovered_at = now;
        self.fences = found.fences;
        self.predecessor.fence(found.fenced_at);
        for stored in found.jobs {
            self.recover_job(stored, now, wall);
        }
        self.claim_all_ends(now);
        self.claim_all_runs(now);
        self.roster.next = now;
        self.review = true;
    }

    /// Adds a stored job with its stored progress, and ends it if that shows it as complete or failed.
    fn recover_job(&mut self, stored: StoredJob, now: Tick, wall: Millis) {
        if self.is_replaced(&stored.record) {
            return;
        }
        let age = Millis(wall.0.saturating_sub(stored.record.accepted.0));
        self.estimator.observe_job(&stored.record.queue.name, &stored.record.plan);
        self.has_best_effort |= stored.record.plan.has_best_effort();
        let mut job = Job::new(stored.id, &stored.record, now - age);
        job.row = Some(stored.row);
        job.maybe_started = true;
        job.add_due_occurrences(wall);
        if let Some(progress) = stored.progress {
            job.restore(&progress.record);
            job.revision = Some(progress.revision);
        }
        self.jobs.insert(job.id, job);
        self.decide_ending(stored.id);
    }

    /// Creates the workers that the predecessor may have used, as pending. Each has to answer the
    /// new token, or its leases have to expire, before a recovered task that no worker reports is
    /// restarted.
    fn recover_workers(&mut self, now: Tick) {
        let answer_until = Tick(0);
        for (id, stored) in self.roster.stored.workers.clone() {
            let Some(entry) = stored.entry else {
                // Its address is unknown, so it can't be queried before it registers again.
                self.pending.insert(id, PendingWorker { answer_until, closed: None });
                continue;
            };
            let info = WorkerInfo {
                id: entry.worker.clone(),
                started_at: None,
                pool: self.name.clone(),
                address: entry.address,
                zone: unknown_zone(),
                capacity: Amount::default(),
                labels: Vec::new(),
                rack: None,
                draining: true,
            };
            let mut worker = Worker::new(info, now);
            worker.listed = false;
            worker.recorded = entry.started_at;
            worker.rostered = entry.closed.is_none();
            self.workers.insert(entry.worker.clone(), worker);
            self.pending.insert(entry.worker, PendingWorker { answer_until, closed: entry.closed });
        }
    }

    /// Returns the revision up to which the stored jobs in a job's shard are known: the shard was read
    /// after its fence was raised, and the lease was taken before.
    pub(super) fn read_until(&self, job: JobId) -> Revision {
        let fence = self.fences.get(&Shard::of(job)).copied().unwrap_or_default();
        fence.max(Revision(self.token.0))
    }

    /// Returns whether a task of the job that no worker reports may still run on a pending worker.
    pub(super) fn may_run_elsewhere(&self, job: &Job) -> bool {
        job.maybe_started
            && self.pending.values().any(|pending| match (pending.closed, job.row) {
                (Some(closed), Some(row)) => row <= closed,
                _ => true,
            })
    }

    /// Adopts a run that a worker reports and that this owner did not order, or stops it as an
    /// orphan.
    pub(super) fn adopt(&mut self, worker: &WorkerId, entry: &RunningEntry, now: Tick) {
        if !self.jobs.contains_key(&entry.task.job) {
            self.keep_or_stop(worker, entry, now);
        } else if self.add_run(worker, entry, now) {
            self.note(
                NoteKind::RunAdopted,
                format!("task={} run={} worker={worker}", entry.task, entry.run),
            );
        } else {
            self.stop_orphan(worker, entry, now);
        }
    }

    /// Adds a reported run to its task, and returns whether the task can use it.
    pub(super) fn add_run(&mut self, worker: &WorkerId, entry: &RunningEntry, now: Tick) -> bool {
        let Some(job) = self.jobs.get_mut(&entry.task.job) else {
            return false;
        };
        let over = job.ending.is_some();
        let speculative =
            job.plan.steps.get(entry.task.step as usize).is_some_and(|step| step.speculative);
        let charge = job.plan.steps.get(entry.task.step as usize).map(|step| step.charge());
        let (Some(task), Some(charge)) = (job.task(entry.task), charge) else {
            return false;
        };
        let other = task.runs.iter().map(|run| run.number).max();
        let stale = !speculative && other.is_some_and(|other| other > entry.run);
        if task.done || over || stale {
            return false;
        }
        task.last_run = task.last_run.max(entry.run);
        if let Some(checkpoint) = &entry.checkpoint {
            task.checkpoint = Some(checkpoint.clone());
        }
        let known = self.workers.get_mut(worker);
        let deadline =
            known.as_ref().map_or(crate::clock::WorkerTime(0), |known| known.max_deadline);
        task.runs.push(Run {
            number: entry.run,
            worker: worker.clone(),
            phase: Phase::Working,
            ordered_at: now,
            settled_at: Some(now),
            deadline,
            unconfirmed: false,
            order_in_flight: false,
            retry_at: now,
            percent: entry.percent,
            progressed_at: now,
            last_reported: now,
            metric: entry.metric,
            pace_percent: 100,
            ticket: None,
            adopted: true,
            confirmed: true,
            reported: true,
            inherited: true,
            barred: false,
        });
        job.started = true;
        if let Some(known) = known {
            known.charge(entry.task, entry.run, charge);
            known.orphans.retain(|orphan| !orphan.matches(entry));
        }
        true
    }
}

/// Returns a placeholder zone. A worker known from the roster alone is never placed on, so its zone
/// does not matter.
fn unknown_zone() -> reachhead_types::id::ZoneName {
    match "unknown".parse() {
        Ok(zone) => zone,
        Err(error) => unreachable!("constant zone name is invalid: {error}"),
    }
}
