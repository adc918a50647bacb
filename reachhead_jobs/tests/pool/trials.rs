//! Tests of how long tasks that may crash their workers wait until they can be tried. A long-running
//! task without a run for six seconds counts as lost for its caller.

use std::collections::BTreeMap;

use reachhead_jobs::{
    clock::Tick,
    model::Step,
    pool::{Action, DeathEvidence},
    task::TaskId,
};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};

use crate::fixture::{Fixture, info, step};

const STEP_MS: u64 = 10;

/// How long a task starts up.
const STARTUP: Millis = Millis(2000);

/// Workers of one long-running job that answer a poll only when its wait is over.
struct World {
    fixture: Fixture,
    /// How much longer than its wait a poll takes.
    delay: Millis,
    /// When each poll in flight was sent, and is answered.
    polls: BTreeMap<WorkerId, (Tick, Tick)>,
    begun: BTreeMap<(WorkerId, TaskId), (u64, Tick)>,
}

impl World {
    fn new(workers: u32, tasks: u32, delay: Millis) -> Self {
        let infos = (0..workers).map(|number| info(&format!("w{number}"), 16)).collect();
        let fixture = Fixture::ready(infos);
        let mut world = Self { fixture, delay, polls: BTreeMap::new(), begun: BTreeMap::new() };
        world.run(2000);
        world.fixture.submit(1, vec![Step { long_running: true, ..step(tasks) }]);
        world.run(100);
        world
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.fixture.advance(STEP_MS);
            let now = self.fixture.now;
            for ((id, task), (number, since)) in &self.begun {
                let percent = (now.since(*since).0 * 100 / STARTUP.0).min(100) as u32;
                self.fixture.set_running(id, *task, *number, percent);
            }
            for (id, (sent, answered)) in self.polls.clone() {
                if answered <= now {
                    self.polls.remove(&id);
                    self.fixture.report_sent(&id, sent);
                }
            }
            for action in self.fixture.poll() {
                match action {
                    Action::Start(target, order) => {
                        self.fixture.accept(&target.id, &order);
                        self.begun.insert((target.id, order.task), (order.run.0, now));
                    }
                    Action::Hold(target, order) => {
                        self.polls.insert(target.id, (now, now + order.wait + self.delay));
                    }
                    _ => {}
                }
            }
            self.fixture.flush();
        }
    }

    /// Lets the first `count` workers crash at once.
    fn crash(&mut self, count: usize) {
        for dead in self.fixture.infos.drain(..count).collect::<Vec<_>>() {
            self.begun.retain(|(id, _), _| *id != dead.id);
            self.polls.remove(&dead.id);
            self.fixture.pool.worker_died(&dead.id, DeathEvidence::Unhosted, self.fixture.now);
        }
        self.fixture.list();
        self.fixture.flush();
    }

    fn waiting(&self) -> usize {
        let steps = self.fixture.pool.jobs()[&JobId(1)].steps.values();
        steps.flat_map(|step| &step.tasks).filter(|task| task.runs.is_empty()).count()
    }
}

/// Few workers with nothing but long polls, over a slow link.
#[test]
fn a_suspect_waits_for_the_end_of_one_long_poll() {
    let mut world = World::new(3, 1, Millis(500));
    let used = world.begun.keys().next().unwrap().0.clone();
    let place = world.fixture.infos.iter().position(|info| info.id == used).unwrap();
    world.fixture.infos.swap(0, place);
    world.crash(1);
    world.run(2000);
    assert_eq!(world.waiting(), 0);
}

/// Two outages, one after the other, put many tasks on trial, and leave few workers for the trials.
#[test]
fn the_suspects_of_an_outage_wait_less_than_six_seconds() {
    let mut world = World::new(20, 32, Millis(20));
    world.crash(12);
    world.run(300);
    world.crash(4);
    assert!(world.waiting() > 0);
    world.run(4000);
    assert_eq!(world.waiting(), 0);
}
