//! Test fixture: a pool whose workers answer as a test specifies.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    model::{Plan, Queue, Step},
    order_effect::OrderEffect,
    pool::{
        Action, Batch, Pool, PoolTimeouts, RecoveredJobs, RecoveredState, StoredJob, StoredRoster,
        StoredWorker,
    },
    ports::{EndedEntry, RunEnd, RunningEntry, StartOrder, WorkerError, WorkerInfo, WorkerReport},
    record::{JobRecord, RosterEntry},
    shard::Shard,
    task::{StepId, TaskId},
};
use reachhead_plan::amount::Amount;
use reachhead_store::row::Commit;
use reachhead_types::{
    id::{JobId, PoolName, WorkerId},
    size::{FencingToken, Millis, Revision, RunNumber},
};

/// Reading of every worker's clock at the start of a test.
const WORKER_CLOCK: u64 = 500_000;

/// Owner's clock at the start of every test.
pub const START: Tick = Tick(1_000_000);

pub fn pool_name() -> PoolName {
    "p".parse().unwrap()
}

pub fn worker(name: &str) -> WorkerId {
    name.parse().unwrap()
}

pub fn timeouts() -> PoolTimeouts {
    PoolTimeouts {
        hold: Millis(4000),
        trust: Millis(4000),
        wait: Millis(1000),
        notice: Millis(4500),
        gang: Millis(3000),
        stop: Millis(400),
        grant: Millis(6000),
        drain: Millis(4000),
    }
}

pub fn queue() -> Arc<Queue> {
    Arc::new(Queue {
        name: "q".parse().unwrap(),
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        pool: pool_name(),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        target: Millis(600),
        advice: None,
        allows_anonymous: true,
    })
}

pub fn step(count: u32) -> Step {
    Step { count, need: Amount::new(1000, 100, 0), estimate: Millis(1000), ..Step::default() }
}

pub fn record(steps: Vec<Step>, accepted: u64) -> JobRecord {
    let plan = Arc::new(Plan { payload: "x".into(), steps, schedule: None });
    JobRecord { queue: queue(), plan, accepted: Millis(accepted), customer: None, stored_by: None }
}

pub fn task(job: u64, step: u32, index: u32) -> TaskId {
    StepId { job: JobId(job), occurrence: 0, step }.task(index)
}

pub fn info(name: &str, cores: u64) -> WorkerInfo {
    WorkerInfo {
        id: worker(name),
        started_at: None,
        pool: pool_name(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".parse().unwrap(),
        capacity: Amount::new(cores * 1000, 10_000, 0),
        labels: Vec::new(),
        rack: None,
        draining: false,
    }
}

/// Returns the state that an owner recovers: jobs by id, which is also the revision of the row, and
/// a roster of workers with the revision at which each was closed.
pub fn recovered(jobs: Vec<(u64, Vec<Step>)>, roster: Vec<(&str, Option<u64>)>) -> RecoveredState {
    let stored = |(id, steps)| StoredJob {
        id: JobId(id),
        record: record(steps, 0),
        row: Revision(id),
        progress: None,
    };
    let stored_worker = |(name, closed): (&str, Option<u64>)| {
        let entry = RosterEntry {
            worker: worker(name),
            address: "127.0.0.1:1".parse().unwrap(),
            closed: closed.map(Revision),
            started_at: None,
        };
        (worker(name), StoredWorker { entry: Some(entry), revision: Some(Revision(1)) })
    };
    RecoveredState {
        jobs: jobs.into_iter().map(stored).collect(),
        roster: StoredRoster {
            workers: roster.into_iter().map(stored_worker).collect(),
            whole: None,
        },
        fences: fences(),
        verified: START,
        effect: OrderEffect::new(&timeouts()).with_unknown(timeouts().takeover_delay()),
        knows_storer: false,
    }
}

/// Returns what an owner finds of a pool without an earlier owner.
pub fn unowned() -> RecoveredState {
    RecoveredState::new(StoredRoster::default(), OrderEffect::new(&timeouts()), START)
}

/// Returns the fences as raised by the fixture's owner.
pub fn fences() -> BTreeMap<Shard, Revision> {
    Shard::all().map(|shard| (shard, Revision(7))).collect()
}

/// A pool, its clock, and the runs and ends that its workers report.
pub struct Fixture {
    pub pool: Pool,
    pub now: Tick,
    pub infos: Vec<WorkerInfo>,
    pub running: BTreeMap<WorkerId, Vec<RunningEntry>>,
    pub ended: BTreeMap<WorkerId, Vec<EndedEntry>>,
    revision: u64,
}

impl Fixture {
    pub fn new(found: RecoveredState, infos: Vec<WorkerInfo>) -> Self {
        let mut fixture = Self::unlisted(found);
        fixture.infos = infos;
        fixture.list();
        fixture
    }

    /// Returns a pool that has not got the platform's list of workers yet.
    pub fn unlisted(found: RecoveredState) -> Self {
        let now = START;
        let pool =
            Pool::new(pool_name(), FencingToken(7), 0, timeouts(), found, now, Millis(now.0));
        Self {
            pool,
            now,
            infos: Vec::new(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            revision: 100,
        }
    }

    /// Returns a pool that knows the roster and no jobs yet.
    pub fn recovering(roster: Vec<(&str, Option<u64>)>, infos: Vec<WorkerInfo>) -> Self {
        let mut fixture = Self::unlisted(unowned());
        let found = recovered(vec![], roster);
        let (now, wall) = (fixture.now, Millis(fixture.now.0));
        fixture.pool =
            Pool::recovering(pool_name(), FencingToken(7), 0, timeouts(), found, now, wall);
        fixture.infos = infos;
        fixture.list();
        fixture
    }

    /// Lets the pool know its jobs, as [`recovered`] returns them.
    pub fn recover_jobs(&mut self, jobs: Vec<(u64, Vec<Step>)>, fenced_at: Tick) {
        let jobs = recovered(jobs, vec![]).jobs;
        let found = RecoveredJobs { jobs, fences: fences(), fenced_at };
        self.pool.recover_jobs(found, self.now, Millis(self.now.0));
    }

    /// Returns a pool whose workers have answered and are in the stored roster.
    pub fn ready(infos: Vec<WorkerInfo>) -> Self {
        let names: Vec<WorkerId> = infos.iter().map(|info| info.id.clone()).collect();
        let mut fixture = Self::new(RecoveredState { fences: fences(), ..unowned() }, infos);
        fixture.pool.poll(fixture.now, Millis(fixture.now.0));
        fixture.flush();
        for name in names {
            fixture.report(&name);
        }
        fixture
    }

    pub fn list(&mut self) {
        self.pool.list(self.infos.clone(), self.now);
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Millis(millis);
        self.pool.verify(self.now);
    }

    pub fn poll(&mut self) -> Vec<Action> {
        self.pool.verify(self.now);
        self.pool.poll(self.now, Millis(self.now.0))
    }

    /// Returns the workers of the start orders among actions.
    pub fn started_on(actions: Vec<Action>) -> Vec<WorkerId> {
        let started = |action| match action {
            Action::Start(target, _) => Some(target.id),
            _ => None,
        };
        actions.into_iter().filter_map(started).collect()
    }

    /// Returns the start orders of the next round.
    pub fn starts(&mut self) -> Vec<(WorkerId, StartOrder)> {
        let start = |action| match action {
            Action::Start(target, order) => Some((target.id, order)),
            _ => None,
        };
        self.poll().into_iter().filter_map(start).collect()
    }

    /// Returns the stop orders of the next round.
    pub fn stops(&mut self) -> Vec<(WorkerId, TaskId)> {
        let stop = |action| match action {
            Action::Stop(target, task, _) => Some((target.id, task)),
            _ => None,
        };
        self.poll().into_iter().filter_map(stop).collect()
    }

    pub fn submit(&mut self, id: u64, steps: Vec<Step>) {
        let record = record(steps, self.now.0);
        self.pool.submit(JobId(id), &record, Revision(50 + id), self.now, Millis(self.now.0));
    }

    /// Submits a job, and accepts all start orders of the next round.
    pub fn submit_and_start(&mut self, id: u64, steps: Vec<Step>) {
        self.submit(id, steps);
        for (id, order) in self.starts() {
            self.accept(&id, &order);
        }
    }

    pub fn clock(&self) -> WorkerTime {
        WorkerTime(WORKER_CLOCK + self.now.0 - 1_000_000)
    }

    /// Answers a long poll of the worker with its current runs and ends.
    pub fn report(&mut self, name: &WorkerId) {
        self.report_sent(name, self.now);
    }

    /// Answers a long poll that was sent at `sent` with the worker's current runs and ends.
    pub fn report_sent(&mut self, name: &WorkerId, sent: Tick) {
        let report = WorkerReport {
            started_at: self
                .infos
                .iter()
                .find(|info| info.id == *name)
                .and_then(|info| info.started_at),
            clock: self.clock(),
            running: self.running.get(name).cloned().unwrap_or_default(),
            ended: self.ended.get(name).cloned().unwrap_or_default(),
        };
        self.now = self.now + Millis(1);
        self.pool.held(name, sent, Ok(report), self.now);
    }

    /// Fails a long poll of the worker without an answer.
    pub fn fail_poll(&mut self, name: &WorkerId) {
        let error = WorkerError::Lost("no answer".to_owned());
        self.pool.held(name, self.now, Err(error), self.now);
    }

    /// Fails a long poll because the worker's host refuses the connection.
    pub fn refuse_connection(&mut self, name: &WorkerId) {
        let error = WorkerError::PortClosed("connection refused".to_owned());
        self.pool.held(name, self.now, Err(error), self.now);
    }

    /// Confirms a start order, and adds the run to the worker.
    pub fn accept(&mut self, name: &WorkerId, order: &StartOrder) {
        self.set_running(name, order.task, order.run.0, 0);
        let clock = self.clock();
        self.pool.started(name, order.task, order.run, Ok(clock), self.now);
    }

    /// Adds a run to the worker without an order, or updates its progress.
    pub fn set_running(&mut self, name: &WorkerId, task: TaskId, run: u64, percent: u32) {
        let entry =
            RunningEntry { task, run: RunNumber(run), checkpoint: None, percent, metric: 0 };
        let running = self.running.entry(name.clone()).or_default();
        running.retain(|other| other.task != task);
        running.push(entry);
    }

    /// Ends a run on the worker.
    pub fn end(&mut self, name: &WorkerId, task: TaskId, run: u64, end: RunEnd) {
        self.running.entry(name.clone()).or_default().retain(|entry| entry.task != task);
        let ended = self.ended.entry(name.clone()).or_default();
        let number = ended.len() as u64 + 1;
        ended.push(EndedEntry { number, task, run: RunNumber(run), end, checkpoint: None });
    }

    /// Returns the next transaction.
    pub fn batch(&mut self) -> Option<Batch> {
        let due = self.pool.due();
        self.pool.batch(due.first()?.lane, Millis(self.now.0))
    }

    /// Commits all pending transactions.
    pub fn flush(&mut self) {
        while let Some(batch) = self.batch() {
            self.revision += 1;
            let commit = Commit::Done(Revision(self.revision));
            assert!(self.pool.decided(&batch, &commit, self.now));
        }
    }
}
