//! A pool with its workers and the store, simulated in virtual time.

mod workers;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    customer::Customers,
    model::Queue,
    order_effect::OrderEffect,
    pool::{
        Batch, Due, JobState, Lane, Pool, PoolTimeouts, RecoveredState, StoredJob, StoredRoster,
    },
    ports::{EndedEntry, RunEnd, WorkerInfo},
    record::{Ending, JobRecord},
    task::TaskId,
};
use reachhead_plan::amount::Amount;
use reachhead_store::row::Commit;
use reachhead_types::{
    id::{JobId, PoolName, WorkerId},
    size::{FencingToken, Millis, Revision, RunNumber},
};

use crate::jobs::dispatch::LimitedOwner;

/// Time between two rounds of the pool owner, as in its process.
pub const ROUND_PERIOD: Millis = Millis(4);

/// One-way delay of a message.
const MESSAGE_DELAY: Millis = Millis(1);

/// Duration of a store transaction.
const COMMIT_DELAY: Millis = Millis(6);

/// Capacity of a worker.
pub const WORKER_CAPACITY: Amount = Amount::new(16_000, 32_768, 0);

/// Start of the simulation, on every clock.
pub const START: Tick = Tick(1_000_000);

/// Mean run time of a task, in milliseconds.
pub const MEAN_TASK_MS: f64 = 800.0;

/// Job of long-running tasks, which run until the end.
pub const LONG_RUNNING: JobId = JobId(1);

enum Event {
    /// A worker confirms a start.
    StartConfirmed(WorkerId, TaskId, RunNumber),
    /// A worker confirms a stop.
    StopConfirmed(WorkerId, TaskId, RunNumber),
    /// A worker reports, in response to the poll sent at the given time.
    Report(WorkerId, Tick),
    /// The wait time of a long poll is over; identified by its number.
    PollExpired(WorkerId, u64),
    /// A run is done.
    RunDone(WorkerId, TaskId, RunNumber),
    /// The store has committed a batch.
    Committed(Batch, Revision),
}

/// Long poll that is answered when a run ends or its wait time is over.
struct LongPoll {
    number: u64,
    sent: Tick,
}

#[derive(Default)]
struct Worker {
    running: BTreeMap<TaskId, RunNumber>,
    ended: Vec<EndedEntry>,
    end_count: u64,
    acknowledged: u64,
    poll: Option<LongPoll>,
}

/// Cost of the pool owner's decisions.
#[derive(Debug, Clone, Copy, Default)]
pub struct Costs {
    /// Tasks that were started.
    pub starts: u64,
    /// Rounds of the pool owner.
    pub rounds: u64,
    /// Processing time of rounds.
    pub round_time: Duration,
    /// Processing time of the workers' responses and reports.
    pub report_time: Duration,
    /// Processing time of batches of records.
    pub record_time: Duration,
}

/// Simulated pool.
pub struct Site {
    /// Source of all random draws.
    pub rng: SmallRng,
    /// State machine of the pool's owner.
    pub pool: Pool,
    /// Current time.
    pub now: Tick,
    /// Cost so far.
    pub costs: Costs,
    /// Limits of the owner, if it is on a small host.
    pub owner: Option<LimitedOwner>,
    workers: BTreeMap<WorkerId, Worker>,
    events: BTreeMap<(Tick, u64), Event>,
    count: u64,
    committing: Vec<Lane>,
    /// Mean run times of the tasks of some jobs' steps; [`MEAN_TASK_MS`] for all others.
    task_times: BTreeMap<JobId, Vec<Millis>>,
}

/// Returns the queue with this name; its objective is 1.6 times the longest chain and 600 ms.
pub fn queue(name: &str) -> Arc<Queue> {
    let name = match name.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("a constant name: {error}"),
    };
    Arc::new(Queue {
        name,
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        pool: pool_name(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target: Millis(600),
        advice: None,
        allows_anonymous: true,
    })
}

fn pool_name() -> PoolName {
    match "p".parse() {
        Ok(name) => name,
        Err(error) => unreachable!("a constant name: {error}"),
    }
}

fn worker_id(number: u64) -> WorkerId {
    match format!("w{number:03}").parse() {
        Ok(id) => id,
        Err(error) => unreachable!("a constant name: {error}"),
    }
}

fn new_pool(jobs: Vec<StoredJob>, now: Tick) -> Pool {
    let timeouts = PoolTimeouts {
        hold: Millis(4500),
        trust: Millis(4000),
        wait: Millis(1500),
        notice: Millis(4500),
        gang: Millis(3000),
        stop: Millis(400),
        grant: Millis(6000),
        drain: Millis(4000),
    };
    let (roster, effect) = (StoredRoster::default(), OrderEffect::new(&timeouts));
    let found = RecoveredState { jobs, ..RecoveredState::new(roster, effect, now) };
    Pool::new(pool_name(), FencingToken(7), 0, timeouts, found, now, Millis(now.0))
}

impl Site {
    /// Returns a site without workers at the start of the simulation.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            pool: new_pool(Vec::new(), START),
            now: START,
            costs: Costs::default(),
            owner: None,
            workers: BTreeMap::new(),
            events: BTreeMap::new(),
            count: 0,
            committing: Vec::new(),
            task_times: BTreeMap::new(),
        }
    }

    /// Grows the pool to this number of workers.
    pub fn grow(&mut self, workers: u64) {
        for number in 0..workers {
            self.workers.entry(worker_id(number)).or_default();
        }
        self.list_workers();
    }

    fn list_workers(&mut self) {
        let zone = match "z".parse() {
            Ok(zone) => zone,
            Err(error) => unreachable!("a constant name: {error}"),
        };
        let info = |id: &WorkerId| WorkerInfo {
            id: id.clone(),
            started_at: None,
            pool: pool_name(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: reachhead_types::id::ZoneName::clone(&zone),
            capacity: WORKER_CAPACITY,
            labels: Vec::new(),
            rack: None,
            draining: false,
        };
        let infos = self.workers.keys().map(info).collect();
        self.pool.list(infos, self.now);
    }

    /// Ends the owner and all runs; stored jobs remain.
    pub fn lose_power(&mut self) {
        self.events.clear();
        self.committing.clear();
        for worker in self.workers.values_mut() {
            *worker = Worker::default();
        }
    }

    /// Starts a new owner with the stored jobs, without their progress.
    pub fn recover(&mut self, stored: Vec<StoredJob>, customers: &Arc<Customers>) {
        self.pool = new_pool(stored, self.now);
        self.pool.configure(customers);
        self.list_workers();
    }

    /// Sets the mean run times of the tasks of a job's steps.
    pub fn set_task_times(&mut self, id: JobId, times: Vec<Millis>) {
        self.task_times.insert(id, times);
    }

    /// Returns the revision of the row that is written next.
    pub fn next_row(&mut self) -> Revision {
        self.count += 1;
        Revision(START.0 + self.count)
    }

    /// Submits a stored job.
    pub fn submit(&mut self, id: JobId, record: &JobRecord, row: Revision) {
        self.pool.submit(id, record, row, self.now, Millis(self.now.0));
    }

    /// Advances the time by one round without an owner.
    pub fn pause(&mut self) {
        self.now = self.now + ROUND_PERIOD;
    }

    /// Advances the time by one round: handles what is due, and gives the owner its round.
    pub fn step(&mut self) {
        self.now = self.now + ROUND_PERIOD;
        self.pool.verify(self.now);
        self.handle_due_events();
        self.round();
        self.commit_batches();
    }

    /// Returns whether a job has completed.
    pub fn is_completed(&self, id: JobId) -> bool {
        self.pool.state(id) == Some(JobState::Over(Ending::Completed))
    }

    /// Schedules an event.
    fn push(&mut self, delay: Millis, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    fn handle_due_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let clock = WorkerTime(self.now.0);
        match event {
            Event::StartConfirmed(id, task, run) => {
                self.process_message(|pool, now| pool.started(&id, task, run, Ok(clock), now));
            }
            Event::StopConfirmed(id, task, run) => {
                self.process_message(|pool, now| pool.stopped(&id, task, run, now, Ok(clock), now));
            }
            Event::Report(id, sent) => self.send_report(&id, sent),
            Event::PollExpired(id, number) => {
                let poll = self.workers.get_mut(&id).and_then(|worker| worker.poll.take());
                match poll {
                    Some(poll) if poll.number == number => self.send_report(&id, poll.sent),
                    other => {
                        if let Some(worker) = self.workers.get_mut(&id) {
                            worker.poll = other;
                        }
                    }
                }
            }
            Event::RunDone(id, task, run) => self.end_run(&id, task, run, RunEnd::Done),
            Event::Committed(batch, revision) => {
                self.committing.retain(|lane| *lane != batch.lane);
                let timer = Instant::now();
                self.pool.decided(&batch, &Commit::Done(revision), self.now);
                self.costs.record_time += timer.elapsed();
            }
        }
    }

    /// Passes a message of a worker to the pool and measures its processing time.
    fn process_message(&mut self, message: impl FnOnce(&mut Pool, Tick)) {
        let timer = Instant::now();
        message(&mut self.pool, self.now);
        self.costs.report_time += timer.elapsed();
    }

    /// Runs a round of the pool owner.
    fn round(&mut self) {
        if let Some(owner) = &mut self.owner {
            owner.begin_round(&mut self.pool, self.now);
        }
        let timer = Instant::now();
        let actions = self.pool.poll(self.now, Millis(self.now.0));
        self.costs.round_time += timer.elapsed();
        self.costs.rounds += 1;
        if let Some(owner) = &mut self.owner {
            owner.end_round(&self.pool, self.now);
        }
        self.pool.take_notes();
        for action in actions {
            self.execute(action);
        }
    }

    /// Starts a transaction for each lane that is due and has none under way.
    fn commit_batches(&mut self) {
        for Due { lane, .. } in self.pool.due() {
            if self.committing.contains(&lane) {
                continue;
            }
            let timer = Instant::now();
            let batch = self.pool.batch(lane, Millis(self.now.0));
            self.costs.record_time += timer.elapsed();
            if let Some(batch) = batch {
                self.committing.push(lane);
                let revision = Revision(1_000_000 + self.count);
                self.push(COMMIT_DELAY, Event::Committed(batch, revision));
            }
        }
    }
}
