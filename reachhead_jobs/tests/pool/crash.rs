//! Tests of tasks that crash their workers, and of tasks that happen to run beside them.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_jobs::{
    clock::Tick,
    model::Step,
    pool::{DeathEvidence, JobState, NoteKind, StoredProgress},
    ports::{RunEnd, StartOrder},
    record::Ending,
    task::TaskId,
};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, info, recovered, step, task, worker};

/// Simulated time between two steps, in milliseconds.
const STEP_MS: u64 = 20;

/// How long a task runs.
const TASK_DURATION: Millis = Millis(800);

/// How long after a crash the platform's list has no host with the worker.
const UNHOSTED_DELAY: Millis = Millis(200);

/// How long until a replacement of a crashed worker joins.
const RESTART_DELAY: Millis = Millis(2000);

/// Maximum number of starts of a task that crashes its workers: three more after three crashes are
/// too many.
const MAX_STARTS: u32 = 5;

/// A crash: when the worker is known to be dead, and when its replacement joins.
struct Crash {
    worker: WorkerId,
    ends_at: Tick,
    back_at: Option<Tick>,
}

/// Simulated workers that run tasks, some of which crash them as soon as they are started.
struct World {
    fixture: Fixture,
    crashing: BTreeSet<TaskId>,
    starts: BTreeMap<TaskId, u32>,
    /// Number and start time of each run, by its worker.
    begun: BTreeMap<(WorkerId, TaskId), (u64, Tick)>,
    crashes: Vec<Crash>,
    incarnations: u32,
}

impl World {
    fn new(workers: u32, cores: u64) -> Self {
        let infos = (0..workers).map(|number| info(&format!("w{number}"), cores)).collect();
        Self {
            fixture: Fixture::ready(infos),
            crashing: BTreeSet::new(),
            starts: BTreeMap::new(),
            begun: BTreeMap::new(),
            crashes: Vec::new(),
            incarnations: workers,
        }
    }

    /// Submits a job whose first task crashes its workers.
    fn submit_crashing(&mut self, id: u64, steps: Vec<Step>) {
        self.crashing.insert(task(id, 0, 0));
        self.fixture.submit(id, steps);
    }

    fn run(&mut self, millis: u64) {
        let end = self.fixture.now + Millis(millis);
        while self.fixture.now < end {
            self.fixture.advance(STEP_MS);
            self.work();
            self.start();
            self.replace();
            self.fixture.flush();
        }
    }

    /// Advances the runs of living workers, and reports them.
    fn work(&mut self) {
        let now = self.fixture.now;
        let runs: Vec<_> = self.begun.iter().map(|(key, begun)| (key.clone(), *begun)).collect();
        for ((id, task), (number, since)) in runs {
            let age = now.since(since);
            if age >= TASK_DURATION && !self.is_long_running(task) {
                self.begun.remove(&(id.clone(), task));
                self.fixture.end(&id, task, number, RunEnd::Done);
            } else {
                let percent = (age.0 * 100 / TASK_DURATION.0).min(100) as u32;
                self.fixture.set_running(&id, task, number, percent);
            }
        }
        for id in self.living() {
            self.fixture.report_sent(&id, now);
        }
    }

    fn living(&self) -> Vec<WorkerId> {
        let ids = self.fixture.infos.iter().map(|info| &info.id);
        ids.filter(|id| !self.is_down(id)).cloned().collect()
    }

    fn is_long_running(&self, id: TaskId) -> bool {
        self.fixture.pool.jobs().get(&id.job).is_some_and(|job| job.plan.is_long_running())
    }

    fn is_down(&self, id: &WorkerId) -> bool {
        self.crashes.iter().any(|crash| crash.worker == *id)
    }

    fn start(&mut self) {
        for (id, order) in self.fixture.starts() {
            if !self.is_down(&id) {
                self.begin(&id, &order);
            }
        }
    }

    fn begin(&mut self, id: &WorkerId, order: &StartOrder) {
        *self.starts.entry(order.task).or_default() += 1;
        self.fixture.accept(id, order);
        self.begun.insert((id.clone(), order.task), (order.run.0, self.fixture.now));
        if self.crashing.contains(&order.task) {
            self.crash(id);
        }
    }

    fn crash(&mut self, id: &WorkerId) {
        self.begun.retain(|(worker, _), _| worker != id);
        self.fixture.refuse_connection(id);
        let ends_at = self.fixture.now + UNHOSTED_DELAY;
        self.crashes.push(Crash { worker: id.clone(), ends_at, back_at: None });
    }

    /// Removes crashed workers, and adds their replacements.
    fn replace(&mut self) {
        let now = self.fixture.now;
        for mut crash in std::mem::take(&mut self.crashes) {
            if crash.ends_at <= now && crash.back_at.is_none() {
                crash.back_at = Some(now + RESTART_DELAY);
                self.fixture.infos.retain(|info| info.id != crash.worker);
                self.fixture.pool.worker_died(&crash.worker, DeathEvidence::Unhosted, now);
                self.fixture.list();
            }
            if crash.back_at.is_some_and(|back| back <= now) {
                self.join();
            } else {
                self.crashes.push(crash);
            }
        }
    }

    fn join(&mut self) {
        let cores = self.fixture.infos.first().map_or(4, |info| info.capacity.cores / 1000);
        self.fixture.infos.push(info(&format!("w{}", self.incarnations), cores));
        self.incarnations += 1;
        self.fixture.list();
    }

    fn state(&self, id: u64) -> Option<JobState> {
        self.fixture.pool.state(JobId(id))
    }
}

/// A task that crashes its workers can be identified only if a crash is logged with the tasks that
/// had just been started there.
#[test]
fn a_crash_is_logged_with_the_tasks_that_were_still_starting() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit_and_start(1, vec![step(1)]);
    fixture.advance(300);
    fixture.set_running(&worker("w"), task(1, 0, 0), 1, 30);
    fixture.report(&worker("w"));
    fixture.advance(40);
    fixture.submit_and_start(2, vec![step(1)]);
    fixture.advance(10);
    fixture.pool.take_notes();
    fixture.pool.worker_died(&worker("w"), DeathEvidence::Unhosted, fixture.now);
    let notes = fixture.pool.take_notes();
    let crash = notes.iter().find(|note| note.kind == NoteKind::WorkerCrashed).unwrap();
    let fresh = format!("worker=w runs=2 heard=10ms fresh=1 tasks={}@0ms:confirmed", task(2, 0, 0));
    assert_eq!(crash.text, fresh);
}

// Some tasks of a queue crashed each worker 2 to 10 ms after they were started, and fifteen other
// tasks with it. Attempts were counted by the ends that a worker reports as failed; a crashed
// worker reports none, so the task counted as new and, being the oldest, was the first to start
// again. In one pool with one owner, 45 workers crashed within six seconds, and the same task was
// among the newest starts on twelve of them.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut world = World::new(6, 8);
    world.submit_crashing(1, vec![step(2)]);
    world.run(15_000);
    let starts = world.starts[&task(1, 0, 0)];
    assert!(starts <= MAX_STARTS, "started {starts} times");
    assert_eq!(world.state(1), Some(JobState::Over(Ending::Failed)));
}

#[test]
fn a_task_that_crashes_its_workers_does_not_fail_other_jobs() {
    let mut world = World::new(8, 8);
    for id in 1..=60 {
        if id % 12 == 0 {
            world.submit_crashing(id, vec![step(3)]);
        } else {
            world.fixture.submit(id, vec![step(4)]);
        }
        world.run(100);
    }
    world.run(15_000);
    for id in 1..=60 {
        let ending = if id % 12 == 0 { Ending::Failed } else { Ending::Completed };
        assert_eq!(world.state(id), Some(JobState::Over(ending)), "job {id}");
    }
    let max_starts = world.crashing.iter().map(|task| world.starts[task]).max();
    assert!(max_starts <= Some(MAX_STARTS), "started {max_starts:?} times");
}

#[test]
fn a_long_running_task_that_crashes_its_workers_is_given_up() {
    let mut world = World::new(6, 8);
    let long_running = Step { long_running: true, max_unavailable: 1, ..step(3) };
    world.submit_crashing(1, vec![long_running.clone()]);
    world.fixture.submit(2, vec![long_running]);
    world.run(20_000);
    let starts = world.starts[&task(1, 0, 0)];
    assert!(starts <= MAX_STARTS, "started {starts} times");
    assert_eq!(world.state(1), Some(JobState::Over(Ending::Failed)));
    assert_eq!(world.state(2), Some(JobState::Running));
}

#[test]
fn a_task_on_workers_that_crash_for_other_causes_is_not_given_up() {
    let mut world = World::new(12, 8);
    for id in 1..=20 {
        world.fixture.submit(id, vec![step(4)]);
    }
    world.fixture.submit(21, vec![Step { long_running: true, max_unavailable: 1, ..step(3) }]);
    // Each incarnation crashes within some five seconds, whatever runs there.
    for round in 0..24 {
        world.run(400);
        let living = world.living();
        world.crash(&living[round * 7 % living.len()]);
    }
    world.run(6000);
    for id in 1..=20 {
        assert_eq!(world.state(id), Some(JobState::Over(Ending::Completed)), "job {id}");
    }
    assert_eq!(world.state(21), Some(JobState::Running));
}

// In a random schedule of ownership changes a task was started three times after its third crash,
// six times in all. The owner could not reach the store while the first three workers crashed,
// restarted the task all the same, and its successor started counting from zero. A crash suspect is
// restarted once its crashes are recorded.
#[test]
fn a_crash_suspect_restarts_only_after_the_crash_is_recorded() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit_and_start(1, vec![step(1)]);
    let first = fixture.running.keys().next().unwrap().clone();
    fixture.pool.worker_died(&first, DeathEvidence::Unhosted, fixture.now);
    fixture.advance(100);
    assert!(fixture.starts().is_empty(), "the crash is not recorded");
    assert!(fixture.pool.due().iter().all(|due| due.urgent), "the task waits for the record");
    fixture.flush();
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_successor_continues_the_crash_count_of_a_task() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4), info("u", 4)]);
    fixture.submit_and_start(1, vec![step(1)]);
    for _ in 0..2 {
        let id = fixture.running.keys().next().unwrap().clone();
        fixture.running.remove(&id);
        fixture.pool.worker_died(&id, DeathEvidence::Unhosted, fixture.now);
        fixture.flush();
        for (id, order) in fixture.starts() {
            fixture.accept(&id, &order);
        }
    }
    let progress = fixture.pool.jobs()[&JobId(1)].progress();
    let mut found = recovered(vec![(1, vec![step(1)])], vec![]);
    found.jobs[0].progress = Some(StoredProgress { record: progress, revision: Revision(60) });
    let mut successor = Fixture::new(found, vec![info("t", 4)]);
    successor.poll();
    successor.flush();
    successor.report(&worker("t"));
    let (id, _) = successor.starts().remove(0);
    successor.pool.worker_died(&id, DeathEvidence::Unhosted, successor.now);
    successor.flush();
    assert_eq!(successor.pool.state(JobId(1)), Some(JobState::Over(Ending::Failed)));
}

/// A task that had made progress on one crashed worker is started like any other, without a trial.
#[test]
fn a_task_with_progress_is_no_suspect_after_one_crash() {
    let mut fixture = Fixture::ready(vec![info("w", 1), info("v", 4)]);
    fixture.submit_and_start(1, vec![step(1)]);
    let first = fixture.running.keys().next().unwrap().clone();
    fixture.advance(300);
    fixture.set_running(&first, task(1, 0, 0), 1, 30);
    fixture.report(&first);
    fixture.pool.worker_died(&first, DeathEvidence::Unhosted, fixture.now);
    let started = fixture.starts();
    assert_eq!(started.len(), 1);
    assert_eq!(fixture.pool.workers()[&started[0].0].trial, None);
}

/// A task that takes hours reports its first percent after minutes, during which its worker would
/// get no other task.
#[test]
fn the_trial_of_a_long_task_ends_after_its_startup_time() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit_and_start(1, vec![Step { estimate: Millis(36_000_000), ..step(1) }]);
    let first = fixture.running.keys().next().unwrap().clone();
    fixture.pool.worker_died(&first, DeathEvidence::Unhosted, fixture.now);
    fixture.running.remove(&first);
    fixture.flush();
    for (id, order) in fixture.starts() {
        fixture.accept(&id, &order);
    }
    let second = fixture.running.keys().next().unwrap().clone();
    fixture.submit(2, vec![step(1)]);
    assert!(fixture.starts().is_empty(), "nothing is started beside a task on trial");
    for _ in 0..32 {
        fixture.advance(100);
        fixture.report(&second);
    }
    assert_eq!(fixture.starts().len(), 1, "the trial ends after three seconds without a crash");
}

#[test]
fn a_gang_whose_workers_crashed_restarts_only_after_the_crashes_are_recorded() {
    let names = ["w", "v", "u", "t"];
    let mut fixture = Fixture::ready(names.iter().map(|name| info(name, 1)).collect());
    fixture.submit_and_start(1, vec![Step { gang: true, ..step(2) }]);
    let used: Vec<WorkerId> = fixture.running.keys().cloned().collect();
    for id in used {
        fixture.pool.worker_died(&id, DeathEvidence::Unhosted, fixture.now);
    }
    assert!(fixture.starts().is_empty(), "the crashes are not recorded");
    fixture.flush();
    assert_eq!(fixture.starts().len(), 2);
}
