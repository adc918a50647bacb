//! Owners of one pool that are killed, paused, cut off and wrong about each other, workers that crash
//! and drain, and a store that carries transactions out late.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use futures::FutureExt;
use reachhead_jobs::{
    clock::Tick,
    model::Plan,
    pool::{Action, Batch, DrainMode, DrainProgress, Due, Lane, Pool, PoolTimeouts},
    ports::{WorkerError, WorkerInfo},
    record::{JobRecord, job_key, lease_key, value},
    shard::Shard,
    task::{StepId, TaskId},
};
use reachhead_plan::amount::Amount;
use reachhead_store::{
    Store, StoreError,
    memory::MemoryStore,
    row::{Commit, Key, Row, Txn},
};
use reachhead_types::{
    id::{JobId, PoolName, WorkerId},
    size::{FencingToken, Millis, Revision, RunNumber},
};

use reachhead_site::life::{Deed, Life, Nature};

mod invariants;
mod messages;
mod plans;
mod takeover;

use self::plans::{plan, queue};

/// Time between two steps of the world, in milliseconds.
const STEP: u64 = 20;

/// How long an order travels.
const TRAVEL: u64 = 5;

/// How long an owner goes on before it hears that the lease has changed hands.
const FOLLOW_LAG: u64 = 120;

/// How long after a worker crashed its owner is told that the platform has no host with it.
const OVER_LAG: u64 = 200;

/// How long a worker that a task crashed takes to come back.
const REBOOT_TIME: u64 = 1000;

/// Jobs of kinds from here on have a task that crashes its workers, in walks with such tasks.
const CULPRIT_KIND: u8 = 200;

/// How long nothing must have disturbed an owner for its starts to be counted.
const TOUCH_TIME: u64 = 3000;

/// Workers that stand at any time.
const WORKERS: u8 = 3;

/// How long a task takes, in milliseconds.
const TASK_TIME: u64 = 700;

/// What every task needs, in thousandths of a core, of a worker's two cores.
const NEED: u64 = 700;

fn need() -> Amount {
    Amount::new(NEED, 100, 0)
}

/// Something that arrives later.
enum Event {
    /// An action arrives at its worker; `answered` tells whether its answer gets back.
    Order { owner: usize, action: Action, sent: Tick, answered: bool },
    /// The raise of a fence by a process that is gone arrives at the store.
    Raise(Txn),
    /// A transaction arrives at the store.
    Commit { owner: usize, batch: Box<Batch>, answered: bool },
    /// Owners are told that a worker's life is over.
    Over(WorkerId),
    /// A worker joins.
    Join,
    /// Something is told to an owner.
    Answer { owner: usize, answer: Answer },
}

enum Answer {
    Held(WorkerId, Tick, Result<reachhead_jobs::ports::WorkerReport, WorkerError>),
    Started(WorkerId, TaskId, RunNumber, Result<reachhead_jobs::clock::WorkerTime, WorkerError>),
    Stopped(WorkerId, TaskId, RunNumber, Result<reachhead_jobs::clock::WorkerTime, WorkerError>),
    Committed(Box<Batch>, Result<Commit, StoreError>),
}

struct Owner {
    pool: Pool,
    token: Revision,
    recording: BTreeSet<Lane>,
    /// It neither hears nor does anything until then.
    frozen: u64,
    alive: bool,
    /// Workers that it can't reach, and until when.
    cut: BTreeMap<WorkerId, u64>,
    /// It can't reach the store until then.
    blind: u64,
    /// Since when it is in charge.
    since: u64,
}

/// What was seen of a task.
#[derive(Default)]
struct Seen {
    running: BTreeSet<WorkerId>,
    /// A run ended as done, whether or not anybody took note.
    done: bool,
    /// That was taken note of.
    noted: bool,
    /// When it last began.
    began: u64,
}

pub struct Site {
    now: u64,
    store: MemoryStore,
    owners: Vec<Owner>,
    workers: BTreeMap<WorkerId, Life>,
    draining: BTreeSet<WorkerId>,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    lives: u64,
    jobs: BTreeMap<JobId, Arc<Plan>>,
    cancelled: BTreeSet<JobId>,
    /// When the lease last changed hands.
    lease_changed: u64,
    /// The highest token of each part's fence.
    fenced: BTreeMap<Shard, FencingToken>,
    tasks: BTreeMap<TaskId, Seen>,
    /// Faults that the next orders meet.
    lose: u8,
    late: u8,
    /// Some jobs have a task that crashes whoever starts it.
    crashing: bool,
    /// Workers that crash start again under the ids that they had.
    restarting: bool,
    culprits: BTreeMap<TaskId, Culprit>,
    pub wrong: Vec<String>,
}

/// What a task that crashes its workers has done.
#[derive(Default)]
struct Culprit {
    crashes: u32,
    /// Starts after the third crash, by owners that nothing has disturbed for a while.
    late_starts: u32,
}

fn pool_name() -> PoolName {
    "p".parse().unwrap()
}

fn timeouts() -> PoolTimeouts {
    PoolTimeouts {
        hold: Millis(2000),
        trust: Millis(1500),
        wait: Millis(0),
        notice: Millis(4500),
        gang: Millis(3000),
        stop: Millis(300),
        grant: Millis(6000),
        drain: Millis(4000),
    }
}

impl Owner {
    /// Tells whether nothing has disturbed it for a while.
    fn is_in_touch(&self, now: u64) -> bool {
        let cut = self.cut.values().copied().max().unwrap_or_default();
        let disturbed = self.since.max(self.frozen).max(self.blind).max(cut);
        now >= disturbed + TOUCH_TIME
    }
}

impl Site {
    pub fn new() -> Self {
        let mut site = Self {
            now: 1_000_000,
            store: MemoryStore::new(),
            owners: Vec::new(),
            workers: BTreeMap::new(),
            draining: BTreeSet::new(),
            events: BTreeMap::new(),
            count: 0,
            lives: 0,
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            lease_changed: 0,
            fenced: BTreeMap::new(),
            tasks: BTreeMap::new(),
            lose: 0,
            late: 0,
            crashing: false,
            restarting: false,
            culprits: BTreeMap::new(),
            wrong: Vec::new(),
        };
        for _ in 0..WORKERS {
            site.add_worker();
        }
        site.take_over();
        site.run(400);
        site
    }

    /// Lets some jobs have a task that crashes whoever starts it.
    pub fn with_crashes(mut self) -> Self {
        self.crashing = true;
        self
    }

    /// Lets workers that crash start again under the ids that they had.
    pub fn with_restarts(mut self) -> Self {
        self.restarting = true;
        for (number, life) in self.workers.values_mut().enumerate() {
            life.born = Some(Millis(number as u64 + 1));
        }
        self.list();
        self
    }

    fn add_worker(&mut self) {
        self.lives += 1;
        let id = format!("w{}", self.lives).parse().unwrap();
        let mut life = Life::new(self.lives * 10_000, Amount::new(2000, 4000, 0));
        life.born = self.restarting.then_some(Millis(self.now + self.lives));
        self.workers.insert(id, life);
        self.list();
    }

    /// A worker starts again under the id that it had, with a clock that shows less.
    fn restart(&mut self, id: WorkerId) {
        self.lives += 1;
        let born = Millis(self.now + self.lives);
        let life = Life::new(self.lives, Amount::new(2000, 4000, 0)).with_birth(born);
        self.workers.insert(id, life);
        self.list();
    }

    fn infos(&self) -> Vec<WorkerInfo> {
        let info = |(id, life): (&WorkerId, &Life)| WorkerInfo {
            id: id.clone(),
            started_at: life.born,
            pool: pool_name(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z".parse().unwrap(),
            capacity: life.capacity,
            labels: Vec::new(),
            rack: None,
            draining: self.draining.contains(id),
        };
        self.workers.iter().map(info).collect()
    }

    fn list(&mut self) {
        let infos = self.infos();
        let now = Tick(self.now);
        for owner in self.owners.iter_mut().filter(|owner| owner.alive) {
            owner.pool.list(infos.clone(), now);
        }
    }

    fn read(&self, key: Key) -> Option<Row> {
        self.store.read(vec![key]).now_or_never().unwrap().unwrap().remove(0)
    }

    fn commit(&self, txn: Txn) -> Commit {
        self.store.commit(txn).now_or_never().unwrap().unwrap()
    }

    fn newest(&mut self) -> &mut Owner {
        self.owners.last_mut().unwrap()
    }

    /// One random act.
    pub fn act(&mut self, (kind, what, time): (u8, u8, u8)) {
        let span = u64::from(time) * 20;
        match kind % 14 {
            0..=3 => self.submit(what),
            4 => self.cancel(what),
            5 => {
                self.newest().alive = false;
                self.run(span / 4);
                self.take_over();
            }
            6 => {
                let until = self.now + span;
                self.newest().frozen = until;
                self.run(span / 2);
                self.take_over();
            }
            7 => {
                let until = self.now + span;
                self.newest().blind = until;
                self.run(span / 2);
                self.take_over();
            }
            8 => {
                let until = self.now + span;
                if let Some(id) = self.pick(what) {
                    self.newest().cut.insert(id, until);
                }
            }
            9 => {
                if let Some(id) = self.pick(what) {
                    self.crash(&id);
                    if self.restarting { self.restart(id) } else { self.add_worker() }
                }
            }
            10 => self.lose = what % 8,
            11 => self.late = what % 8,
            12 => self.vacate(what),
            _ => self.half_take_over(usize::from(what % 4), 40 + span / 4),
        }
        self.run(span % 700);
    }

    fn pick(&self, what: u8) -> Option<WorkerId> {
        let ids: Vec<&WorkerId> = self.workers.keys().collect();
        ids.get(what as usize % ids.len().max(1)).map(|id| (*id).clone())
    }

    fn crash(&mut self, id: &WorkerId) {
        self.workers.remove(id);
        if self.crashing {
            self.push(OVER_LAG, Event::Over(id.clone()));
        }
        for seen in self.tasks.values_mut() {
            seen.running.remove(id);
        }
        self.list();
    }

    /// Planned work takes a worker if the owner says that nothing protected is there.
    fn vacate(&mut self, what: u8) {
        let Some(id) = self.pick(what) else { return };
        let now = Tick(self.now);
        let owner = self.newest();
        if owner.alive && owner.frozen <= now.0 {
            let progress = owner.pool.drain_worker(&id, DrainMode::Graceful, now);
            if matches!(progress, DrainProgress::Empty | DrainProgress::Unknown) {
                if self.workers[&id].running.keys().any(|task| self.lasts(task)) {
                    self.wrong
                        .push(format!("{id} is said to be empty, and a protected task is there"));
                }
                self.crash(&id);
                self.add_worker();
            }
        }
    }

    fn submit(&mut self, kind: u8) {
        let id = JobId(self.jobs.len() as u64 + 1);
        let long = self.jobs.values().filter(|plan| plan.is_long_running()).count();
        // More tasks that run on than that would leave no room for anything else.
        let plan = plan(if long >= 2 { kind % 2 } else { kind });
        let record = JobRecord {
            queue: queue(),
            plan: Arc::clone(&plan),
            accepted: Millis(self.now),
            customer: None,
        };
        if self.crashing && kind >= CULPRIT_KIND {
            let first = StepId { job: id, occurrence: 0, step: 0 }.task(0);
            self.culprits.insert(first, Culprit::default());
        }
        let key = job_key(&pool_name(), id);
        let txn = Txn::new().with_check(key.clone(), None).with_write(key, value(&record));
        let Commit::Done(row) = self.commit(txn) else { unreachable!("the id is new") };
        self.jobs.insert(id, plan);
        let now = Tick(self.now);
        let owner = self.newest();
        if owner.alive && owner.frozen <= now.0 {
            owner.pool.submit(id, &record, row, now, Millis(now.0));
        }
    }

    fn cancel(&mut self, what: u8) {
        let open: Vec<JobId> = self.jobs.keys().copied().collect();
        if let Some(id) = open.get(what as usize % open.len().max(1)).copied() {
            let now = self.now;
            let owner = self.newest();
            if owner.alive && owner.frozen <= now {
                owner.pool.cancel(id);
                self.cancelled.insert(id);
            }
        }
    }

    fn lasts(&self, task: &TaskId) -> bool {
        self.jobs.get(&task.job).is_some_and(|plan| plan.steps[task.step as usize].long_running)
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.advance_workers();
            self.poll_owners();
        }
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        for life in self.workers.values_mut() {
            life.advance(now);
        }
        self.judge();
    }

    fn poll_owners(&mut self) {
        for place in 0..self.owners.len() {
            let now = Tick(self.now);
            let owner = &mut self.owners[place];
            if !owner.alive || owner.frozen > self.now {
                continue;
            }
            if owner.blind <= self.now {
                let lease = self.read(lease_key(&pool_name())).map(|row| row.revision);
                let owner = &mut self.owners[place];
                if lease == Some(owner.token) {
                    owner.pool.verify(now);
                } else if self.now >= self.lease_changed + FOLLOW_LAG {
                    owner.alive = false;
                    continue;
                }
            }
            let owner = &mut self.owners[place];
            let actions = owner.pool.poll(now, Millis(now.0));
            owner.pool.take_notes();
            if actions.contains(&Action::Fenced) {
                owner.alive = false;
                continue;
            }
            for action in actions {
                self.send(place, action, now);
            }
            self.record(place, now);
        }
    }

    fn record(&mut self, place: usize, now: Tick) {
        if self.owners[place].blind > now.0 {
            return;
        }
        for Due { lane, .. } in self.owners[place].pool.due() {
            let owner = &mut self.owners[place];
            if owner.recording.contains(&lane) {
                continue;
            }
            let Some(batch) = owner.pool.batch(lane, Millis(now.0)) else { continue };
            owner.recording.insert(lane);
            let (lost, delay) = self.fault();
            let event =
                Event::Commit { owner: place, batch: Box::new(batch.clone()), answered: !lost };
            self.push(TRAVEL + delay, event);
            if lost {
                let result = Err(StoreError::Lost("the walk loses it".to_owned()));
                let answer = Answer::Committed(Box::new(batch), result);
                self.push(200, Event::Answer { owner: place, answer });
            }
        }
    }
}
