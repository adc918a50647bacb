//! Workers that do what the owner of their pool says, a store that answers, and callers.

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

use crate::jobs::{Outcome, Shape};

/// Time between two rounds of the owner, as in its process.
const ROUND: Millis = Millis(4);

/// How long a message travels one way.
const TRAVEL: Millis = Millis(1);

/// How long a transaction takes.
const TRANSACTION: Millis = Millis(6);

/// What a worker has.
const WORKER: Amount = Amount::new(16_000, 32_768, 0);

/// When the day begins, on every clock.
const START: Tick = Tick(1_000_000);

/// Mean time of a task.
const TASK_TIME: f64 = 800.0;

enum Event {
    Arrive,
    Started(WorkerId, TaskId, RunNumber),
    Stopped(WorkerId, TaskId, RunNumber),
    Held(WorkerId, Tick),
    Waited(WorkerId, u64),
    Done(WorkerId, TaskId, RunNumber),
    Committed(Batch, Revision),
}

/// A long poll that waits for an end.
struct Wait {
    number: u64,
    sent: Tick,
}

#[derive(Default)]
struct Worker {
    running: BTreeMap<TaskId, RunNumber>,
    ended: Vec<EndedEntry>,
    count: u64,
    seen: u64,
    wait: Option<Wait>,
}

/// A site with one pool.
pub struct Site {
    shape: Shape,
    rng: SmallRng,
    pool: Pool,
    now: Tick,
    workers: BTreeMap<WorkerId, Worker>,
    events: BTreeMap<(Tick, u64), Event>,
    count: u64,
    recording: Vec<Lane>,
    due: BTreeMap<JobId, Tick>,
    outcome: Outcome,
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

impl Site {
    /// Returns a site at the start of its day.
    pub fn new(shape: Shape, seed: u64) -> Self {
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
        let workers = (0..shape.workers).map(|number| (worker_id(number), Worker::default()));
        Self {
            shape,
            rng: SmallRng::seed_from_u64(seed),
            pool,
            now: START,
            workers: workers.collect(),
            events: BTreeMap::new(),
            count: 0,
            recording: Vec::new(),
            due: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// Plays the day: jobs arrive for `span`, and have `rest` more to be done.
    pub fn run(mut self, span: Millis, rest: Millis) -> Outcome {
        self.list();
        self.submit_lasting();
        self.push(Millis(500), Event::Arrive);
        let (last, end) = (START + Millis(500) + span, START + span + rest);
        while self.now < end {
            self.now = self.now + ROUND;
            self.pool.verify(self.now);
            self.deliver(last);
            self.round();
            self.record();
        }
        self.outcome
    }

    fn list(&mut self) {
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
            capacity: WORKER,
            labels: Vec::new(),
            rack: None,
            draining: false,
        };
        let infos = self.workers.keys().map(info).collect();
        self.pool.list(infos, self.now);
    }

    fn push(&mut self, delay: Millis, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    fn submit_lasting(&mut self) {
        let step = Step {
            count: self.shape.lasting,
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
        let record =
            JobRecord { queue: queue(), plan, accepted: Millis(self.now.0), customer: None };
        let row = Revision(START.0 + self.count);
        self.pool.submit(id, &record, row, self.now, Millis(self.now.0));
    }

    /// A job of one to three steps of some tasks each, as on the grown sites.
    fn arrive(&mut self) {
        let id = JobId(self.rng.random());
        let steps = self.rng.random_range(1..=2_u32);
        let step = |place: u32, rng: &mut SmallRng| Step {
            count: rng.random_range(3..=13),
            need: Amount::new(rng.random_range(700..2300), rng.random_range(400..2800), 0),
            estimate: Millis((TASK_TIME * rng.random_range(0.4..2.5)) as u64),
            after: (place > 0).then(|| place - 1).into_iter().collect(),
            ..Step::default()
        };
        let steps: Vec<Step> = (0..steps).map(|place| step(place, &mut self.rng)).collect();
        let objective = 600.0 + 1.6 * TASK_TIME * steps.len() as f64;
        self.due.insert(id, self.now + Millis(objective as u64));
        self.outcome.jobs += 1;
        self.submit(id, steps);
    }

    fn deliver(&mut self, last: Tick) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.happen(event, last);
        }
    }

    fn happen(&mut self, event: Event, last: Tick) {
        let clock = WorkerTime(self.now.0);
        match event {
            Event::Arrive => {
                self.arrive();
                let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1000.0 / self.shape.rate;
                if self.now < last {
                    self.push(Millis(gap as u64), Event::Arrive);
                }
            }
            Event::Started(id, task, run) => {
                self.hear(|pool, now| pool.started(&id, task, run, Ok(clock), now));
            }
            Event::Stopped(id, task, run) => {
                self.hear(|pool, now| pool.stopped(&id, task, run, Ok(clock), now));
            }
            Event::Held(id, sent) => self.report(&id, sent),
            Event::Waited(id, number) => {
                let wait = self.workers.get_mut(&id).and_then(|worker| worker.wait.take());
                match wait {
                    Some(wait) if wait.number == number => self.report(&id, wait.sent),
                    other => {
                        if let Some(worker) = self.workers.get_mut(&id) {
                            worker.wait = other;
                        }
                    }
                }
            }
            Event::Done(id, task, run) => self.end(&id, task, run, RunEnd::Done),
            Event::Committed(batch, revision) => {
                self.recording.retain(|lane| *lane != batch.lane);
                let begun = Instant::now();
                self.pool.decided(&batch, &Commit::Done(revision), self.now);
                self.outcome.recording += begun.elapsed();
            }
        }
    }

    fn hear(&mut self, told: impl FnOnce(&mut Pool, Tick)) {
        let begun = Instant::now();
        told(&mut self.pool, self.now);
        self.outcome.hearing += begun.elapsed();
    }

    fn end(&mut self, id: &WorkerId, task: TaskId, run: RunNumber, end: RunEnd) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.running.get(&task) != Some(&run) {
            return;
        }
        worker.running.remove(&task);
        worker.count += 1;
        let number = worker.count;
        worker.ended.push(EndedEntry { number, task, run, end, checkpoint: None });
        if let Some(wait) = worker.wait.take() {
            self.push(TRAVEL, Event::Held(id.clone(), wait.sent));
        }
    }

    fn report(&mut self, id: &WorkerId, sent: Tick) {
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
        self.hear(|pool, now| pool.held(id, sent, Ok(report), now));
    }

    fn round(&mut self) {
        let begun = Instant::now();
        let actions = self.pool.poll(self.now, Millis(self.now.0));
        self.outcome.polling += begun.elapsed();
        self.outcome.rounds += 1;
        self.pool.take_notes();
        for action in actions {
            self.carry_out(action);
        }
        let over: Vec<JobId> = self.due.keys().copied().filter(|id| self.is_over(*id)).collect();
        for id in over {
            let due = self.due.remove(&id).unwrap_or_default();
            self.outcome.completed += 1;
            self.outcome.in_time += u64::from(self.now <= due);
        }
    }

    fn is_over(&self, id: JobId) -> bool {
        self.pool.state(id) == Some(JobState::Over(Ending::Completed))
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start(target, order) => self.start(target.id, &order),
            Action::Stop(target, task, run) => {
                self.end(&target.id, task, run, RunEnd::Stopped);
                self.push(Millis(2 * TRAVEL.0), Event::Stopped(target.id, task, run));
            }
            Action::Hold(target, order) => self.hold(target.id, &order),
            Action::Pace(..) | Action::Advise(..) | Action::Fenced => {}
        }
    }

    fn start(&mut self, id: WorkerId, order: &StartOrder) {
        self.outcome.starts += 1;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.running.insert(order.task, order.run);
        }
        let time = TASK_TIME * self.rng.random_range(0.5..1.5);
        if order.task.job != JobId(1) {
            let done = Event::Done(id.clone(), order.task, order.run);
            self.push(Millis(TRAVEL.0 + time as u64), done);
        }
        self.push(Millis(2 * TRAVEL.0), Event::Started(id, order.task, order.run));
    }

    fn hold(&mut self, id: WorkerId, order: &HoldOrder) {
        let (sent, number) = (self.now, self.count);
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.seen = worker.seen.max(order.acknowledged);
        let seen = worker.seen;
        worker.ended.retain(|entry| entry.number > seen);
        if order.wait.0 == 0 || !worker.ended.is_empty() {
            self.push(Millis(2 * TRAVEL.0), Event::Held(id, sent));
            return;
        }
        worker.wait = Some(Wait { number, sent });
        self.push(order.wait, Event::Waited(id, number));
    }

    fn record(&mut self) {
        for Due { lane, .. } in self.pool.due() {
            if self.recording.contains(&lane) {
                continue;
            }
            let begun = Instant::now();
            let batch = self.pool.batch(lane, Millis(self.now.0));
            self.outcome.recording += begun.elapsed();
            if let Some(batch) = batch {
                self.recording.push(lane);
                let revision = Revision(1_000_000 + self.count);
                self.push(TRANSACTION, Event::Committed(batch, revision));
            }
        }
    }
}
