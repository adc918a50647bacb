//! Simulation of one pool in virtual time: its workers, the store and callers that submit jobs.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    model::{Plan, Queue, Step},
    pool::{Action, Batch, Due, JobState, Lane, Pool, PoolTimeouts, RecoveredState},
    ports::{EndedEntry, HoldOrder, RunEnd, RunningEntry, StartOrder, WorkerInfo, WorkerReport},
    record::{Ending, JobRecord},
    task::TaskId,
};
use reachhead_plan::amount::Amount;
use reachhead_store::row::Commit;
use reachhead_types::{
    id::{JobId, PoolName, WorkerId},
    size::{FencingToken, Millis, Revision, RunNumber},
};

use crate::jobs::{
    Outcome, Scenario,
    dispatch::{self, LimitedOwner},
};

/// Time between two rounds of the pool owner, as in its process.
const ROUND_PERIOD: Millis = Millis(4);

/// One-way delay of a message.
const MESSAGE_DELAY: Millis = Millis(1);

/// Duration of a store transaction.
const COMMIT_DELAY: Millis = Millis(6);

/// Capacity of a worker.
const WORKER_CAPACITY: Amount = Amount::new(16_000, 32_768, 0);

/// Start of the simulation, on every clock.
const START: Tick = Tick(1_000_000);

/// Mean run time of a task, in milliseconds.
const MEAN_TASK_MS: f64 = 800.0;

enum Event {
    /// A job is submitted.
    JobArrival,
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

/// Simulated pool.
pub struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    pool: Pool,
    now: Tick,
    workers: BTreeMap<WorkerId, Worker>,
    events: BTreeMap<(Tick, u64), Event>,
    count: u64,
    committing: Vec<Lane>,
    deadlines: BTreeMap<JobId, Tick>,
    outcome: Outcome,
    owner: Option<LimitedOwner>,
}

fn queue() -> Arc<Queue> {
    let name = |text: &str| match text.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("a constant name: {error}"),
    };
    Arc::new(Queue {
        name: name("q"),
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

impl Simulation {
    /// Returns a simulation at its start.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
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
        let token = FencingToken(7);
        let pool = Pool::new(
            pool_name(),
            token,
            0,
            timeouts,
            RecoveredState { verified: START, ..RecoveredState::default() },
            START,
            Millis(START.0),
        );
        let workers = (0..scenario.workers).map(|number| (worker_id(number), Worker::default()));
        Self {
            scenario,
            rng: SmallRng::seed_from_u64(seed),
            pool,
            now: START,
            workers: workers.collect(),
            events: BTreeMap::new(),
            count: 0,
            committing: Vec::new(),
            deadlines: BTreeMap::new(),
            outcome: Outcome::default(),
            owner: None,
        }
    }

    /// Sets the limits of the owner's host.
    pub fn with_owner(mut self, owner: Option<LimitedOwner>) -> Self {
        self.owner = owner;
        self
    }

    /// Runs the simulation: jobs arrive for `arrival_period` and have `completion_time` more to complete.
    pub fn run(mut self, arrival_period: Millis, completion_time: Millis) -> Outcome {
        self.register_workers();
        self.submit_long_running();
        self.push(Millis(500), Event::JobArrival);
        let (last, end) =
            (START + Millis(500) + arrival_period, START + arrival_period + completion_time);
        while self.now < end {
            self.now = self.now + ROUND_PERIOD;
            self.pool.verify(self.now);
            self.handle_due_events(last);
            self.round();
            self.commit_batches();
        }
        self.outcome
    }

    fn register_workers(&mut self) {
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

    /// Schedules an event.
    fn push(&mut self, delay: Millis, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    fn submit_long_running(&mut self) {
        let step = Step {
            count: self.scenario.long_running,
            need: Amount::new(1300, 3000, 0),
            estimate: Millis(900),
            long_running: true,
            spread: 1,
            max_unavailable: 2,
            ..Step::default()
        };
        self.submit(JobId(1), vec![step]);
    }

    fn submit(&mut self, id: JobId, steps: Vec<Step>) {
        let plan = Arc::new(Plan { payload: "x".repeat(300).into(), steps, schedule: None });
        let record = JobRecord {
            queue: queue(),
            plan,
            accepted: Millis(self.now.0),
            customer: None,
            stored_by: None,
        };
        let row = Revision(START.0 + self.count);
        self.pool.submit(id, &record, row, self.now, Millis(self.now.0));
    }

    /// Submits a random job of one or two steps with 3 to 13 tasks each, as on grown sites.
    fn submit_random_job(&mut self) {
        let id = JobId(self.rng.random());
        let steps = self.rng.random_range(1..=2_u32);
        let step = |index: u32, rng: &mut SmallRng| Step {
            count: rng.random_range(3..=13),
            need: Amount::new(rng.random_range(700..2300), rng.random_range(400..2800), 0),
            estimate: Millis((MEAN_TASK_MS * rng.random_range(0.4..2.5)) as u64),
            after: (index > 0).then(|| index - 1).into_iter().collect(),
            ..Step::default()
        };
        let steps: Vec<Step> = (0..steps).map(|index| step(index, &mut self.rng)).collect();
        let objective_ms = 600.0 + 1.6 * MEAN_TASK_MS * steps.len() as f64;
        self.deadlines.insert(id, self.now + Millis(objective_ms as u64));
        self.outcome.jobs += 1;
        self.submit(id, steps);
    }

    /// Handles all events that are due; no jobs arrive after `last`.
    fn handle_due_events(&mut self, last: Tick) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.handle_event(event, last);
        }
    }

    fn handle_event(&mut self, event: Event, last: Tick) {
        let clock = WorkerTime(self.now.0);
        match event {
            Event::JobArrival => {
                let (rate, share) = self.arrival_rate();
                if share >= 1.0 || self.rng.random_bool(share) {
                    self.submit_random_job();
                }
                let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1000.0 / rate;
                if self.now < last {
                    self.push(Millis(gap as u64), Event::JobArrival);
                }
            }
            Event::StartConfirmed(id, task, run) => {
                self.process_message(|pool, now| pool.started(&id, task, run, Ok(clock), now));
            }
            Event::StopConfirmed(id, task, run) => {
                self.process_message(|pool, now| pool.stopped(&id, task, run, Ok(clock), now));
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
                self.outcome.record_time += timer.elapsed();
            }
        }
    }

    /// Returns the highest rate of arrivals, and the present one as a share of it.
    fn arrival_rate(&self) -> (f64, f64) {
        match self.scenario.owner {
            Some(host) => {
                let factor = dispatch::rate_factor(host.turn, self.now.since(START));
                let rate = dispatch::BURST_FACTOR * self.scenario.rate;
                (rate, factor / dispatch::BURST_FACTOR)
            }
            None => (self.scenario.rate, 1.0),
        }
    }

    /// Passes a message of a worker to the pool and measures its processing time.
    fn process_message(&mut self, message: impl FnOnce(&mut Pool, Tick)) {
        let timer = Instant::now();
        message(&mut self.pool, self.now);
        self.outcome.report_time += timer.elapsed();
    }

    /// Ends a run on a worker, and answers the long poll that waits for it.
    fn end_run(&mut self, id: &WorkerId, task: TaskId, run: RunNumber, end: RunEnd) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.running.get(&task) != Some(&run) {
            return;
        }
        worker.running.remove(&task);
        worker.end_count += 1;
        let number = worker.end_count;
        worker.ended.push(EndedEntry { number, task, run, end, checkpoint: None });
        if let Some(poll) = worker.poll.take() {
            self.push(MESSAGE_DELAY, Event::Report(id.clone(), poll.sent));
        }
    }

    /// Sends the report of a worker to the pool.
    fn send_report(&mut self, id: &WorkerId, sent: Tick) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let running = worker.running.iter().map(|(task, run)| RunningEntry {
            task: *task,
            run: *run,
            checkpoint: None,
            percent: 100,
            metric: 0,
        });
        let report = WorkerReport {
            started_at: None,
            clock: WorkerTime(self.now.0),
            running: running.collect(),
            ended: worker.ended.clone(),
        };
        self.process_message(|pool, now| pool.held(id, sent, Ok(report), now));
    }

    /// Runs a round of the pool owner, and counts the jobs that completed.
    fn round(&mut self) {
        if let Some(owner) = &mut self.owner {
            owner.begin_round(&mut self.pool, self.now);
        }
        let timer = Instant::now();
        let actions = self.pool.poll(self.now, Millis(self.now.0));
        self.outcome.round_time += timer.elapsed();
        self.outcome.rounds += 1;
        if let Some(owner) = &mut self.owner {
            owner.end_round(&self.pool, self.now);
        }
        self.pool.take_notes();
        for action in actions {
            self.execute(action);
        }
        let completed: Vec<JobId> =
            self.deadlines.keys().copied().filter(|id| self.is_completed(*id)).collect();
        for id in completed {
            let deadline = self.deadlines.remove(&id).unwrap_or_default();
            self.outcome.completed += 1;
            self.outcome.in_time += u64::from(self.now <= deadline);
        }
    }

    fn is_completed(&self, id: JobId) -> bool {
        self.pool.state(id) == Some(JobState::Over(Ending::Completed))
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start(target, order) => self.start(target.id, &order),
            Action::Stop(target, task, run) => {
                self.end_run(&target.id, task, run, RunEnd::Stopped);
                self.push(Millis(2 * MESSAGE_DELAY.0), Event::StopConfirmed(target.id, task, run));
            }
            Action::Hold(target, order) => self.hold(target.id, &order),
            Action::Pace(..) | Action::FindJobs(_) | Action::Advise(..) | Action::Fenced => {}
        }
    }

    fn start(&mut self, id: WorkerId, order: &StartOrder) {
        self.outcome.starts += 1;
        let delay = self.owner.as_mut().map_or(0, |owner| owner.send(&id, order).0);
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.running.insert(order.task, order.run);
        }
        let time = MEAN_TASK_MS * self.rng.random_range(0.5..1.5);
        if order.task.job != JobId(1) {
            let done = Event::RunDone(id.clone(), order.task, order.run);
            self.push(Millis(delay + MESSAGE_DELAY.0 + time as u64), done);
        }
        let confirmed = Event::StartConfirmed(id, order.task, order.run);
        self.push(Millis(2 * (delay + MESSAGE_DELAY.0)), confirmed);
    }

    /// Answers a poll at once if runs have ended or it must not wait; waits otherwise.
    fn hold(&mut self, id: WorkerId, order: &HoldOrder) {
        let (sent, number) = (self.now, self.count);
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.acknowledged = worker.acknowledged.max(order.acknowledged);
        let acknowledged = worker.acknowledged;
        worker.ended.retain(|entry| entry.number > acknowledged);
        if order.wait.0 == 0 || !worker.ended.is_empty() {
            self.push(Millis(2 * MESSAGE_DELAY.0), Event::Report(id, sent));
            return;
        }
        worker.poll = Some(LongPoll { number, sent });
        self.push(order.wait, Event::PollExpired(id, number));
    }

    /// Starts a transaction for each lane that is due and has none under way.
    fn commit_batches(&mut self) {
        for Due { lane, .. } in self.pool.due() {
            if self.committing.contains(&lane) {
                continue;
            }
            let timer = Instant::now();
            let batch = self.pool.batch(lane, Millis(self.now.0));
            self.outcome.record_time += timer.elapsed();
            if let Some(batch) = batch {
                self.committing.push(lane);
                let revision = Revision(1_000_000 + self.count);
                self.push(COMMIT_DELAY, Event::Committed(batch, revision));
            }
        }
    }
}
