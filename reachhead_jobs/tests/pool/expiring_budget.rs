//! Tests of late jobs beside a stream of jobs that can be in time.

use std::collections::BTreeMap;

use reachhead_jobs::{
    clock::Tick, expiring_budget::ExpiringBudget, model::Step, pool::JobState, ports::RunEnd,
    task::TaskId,
};
use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, RunNumber},
};

use crate::fixture::{Fixture, info, step};

/// How long each task takes.
const TASK_DURATION: Millis = Millis(1000);

/// Simulated time of a round, in milliseconds.
const ROUND_MS: u64 = 50;

/// A run in progress.
struct Running {
    worker: WorkerId,
    run: RunNumber,
    ends: Tick,
}

/// A pool whose simulated workers carry out their orders.
struct SimulatedPool {
    fixture: Fixture,
    running: BTreeMap<TaskId, Running>,
    submitted: BTreeMap<u64, Tick>,
    /// Time of each job from its submission to its end.
    durations: BTreeMap<u64, Millis>,
}

impl SimulatedPool {
    fn new(cores: u64) -> Self {
        let fixture = Fixture::ready(vec![info("a", cores)]);
        Self {
            fixture,
            running: BTreeMap::new(),
            submitted: BTreeMap::new(),
            durations: BTreeMap::new(),
        }
    }

    fn submit(&mut self, id: u64) {
        self.fixture.submit(id, vec![step(1)]);
        self.submitted.insert(id, self.fixture.now);
    }

    fn round(&mut self) {
        self.fixture.advance(ROUND_MS);
        let now = self.fixture.now;
        let ended: Vec<TaskId> =
            self.running.iter().filter(|(_, run)| run.ends <= now).map(|(task, _)| *task).collect();
        for task in ended {
            let run = self.running.remove(&task).unwrap();
            self.fixture.end(&run.worker, task, run.run.0, RunEnd::Done);
        }
        self.fixture.report(&"a".parse().unwrap());
        self.fixture.flush();
        for (worker, order) in self.fixture.starts() {
            self.fixture.accept(&worker, &order);
            let run = Running { worker, run: order.run, ends: self.fixture.now + TASK_DURATION };
            self.running.insert(order.task, run);
        }
        let pool = &self.fixture.pool;
        for (id, at) in &self.submitted {
            if matches!(pool.state(JobId(*id)), Some(JobState::Over(_))) {
                self.durations.entry(*id).or_insert(now.since(*at));
            }
        }
    }
}

/// A burst of twenty jobs meets eight cores, followed by as many jobs as the cores can do. All of
/// those could be in time, so the four that were late first would wait indefinitely. The objective
/// is 2.6 s.
#[test]
fn the_first_jobs_of_a_burst_end_before_they_expire() {
    let mut simulation = SimulatedPool::new(8);
    for id in 1..=20 {
        simulation.submit(id);
    }
    let mut next = 21;
    for round in 0..200 {
        simulation.round();
        if round % 5 < 2 {
            simulation.submit(next);
            next += 1;
        }
    }
    let bound = Millis(3 * 2600 + ROUND_MS);
    for id in 1..=20 {
        let took = simulation.durations.get(&id);
        assert!(took.is_some_and(|took| *took <= bound), "job {id} took {took:?}");
    }
    let others: Vec<u64> = (21..next - 24).collect();
    let in_time =
        others.iter().filter(|id| simulation.durations.get(id).is_some_and(|t| *t <= Millis(2700)));
    let count = in_time.count();
    assert!(count * 10 >= others.len() * 8, "{count} of {} in time", others.len());
}

/// Under permanent overload late jobs get their budget and no more, so most arriving jobs are in
/// time.
#[test]
fn late_jobs_do_not_make_later_jobs_late() {
    let mut simulation = SimulatedPool::new(8);
    for id in 1..=80 {
        simulation.submit(id);
    }
    for id in 1000..1200 {
        simulation.round();
        if id < 1060 {
            simulation.submit(id);
        }
    }
    let in_time =
        (1000..1060).filter(|id| simulation.durations.get(id).is_some_and(|t| *t <= Millis(2700)));
    let count = in_time.count();
    assert!(
        count >= 18,
        "{count} of 60 in time; three quarters of the capacity are 18 jobs in 3 s"
    );
}

#[test]
fn the_last_late_job_may_exceed_the_budget() {
    let mut budget = ExpiringBudget::new(16_000, 1000);
    assert!(budget.take(2500));
    assert!(budget.take(9000), "a job larger than the rest of the budget still fits");
    assert!(!budget.take(100));
    assert!(!ExpiringBudget::new(16_000, 4000).take(100));
}

/// Guards against sums of capacities and requests that exceed a number: a registration of another writer, or a caller, may name
/// any amount. A debug build ended; a release build took the pool for one without capacity.
#[test]
fn the_largest_amounts_that_a_registration_and_a_job_can_name_are_summed() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("x", 4)]);
    fixture.infos[0].capacity.cores = u64::MAX;
    fixture.list();
    let huge = Step { need: Amount::new(u64::MAX, 1, 0), ..step(3) };
    let endless = Step { estimate: Millis(u64::MAX), ..step(1) };
    for id in 1..=3 {
        fixture.submit(id, vec![huge.clone()]);
    }
    fixture.submit(4, vec![step(1)]);
    fixture.submit(5, vec![endless]);
    for _ in 0..400 {
        fixture.advance(100);
        fixture.poll();
        fixture.flush();
        for info in fixture.infos.clone() {
            fixture.report(&info.id);
        }
        let now = fixture.now;
        fixture.pool.load(now);
    }
}
