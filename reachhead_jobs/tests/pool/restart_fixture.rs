//! Fixture of the tests of workers that restart under their ids: a worker `w` whose start time is known, and a
//! worker `v` to which its tasks move.

use reachhead_jobs::{
    incarnation::Incarnation,
    model::Step,
    pool::Action,
    ports::{StartOrder, WorkerError, WorkerInfo},
};
use reachhead_plan::amount::Amount;
use reachhead_types::{id::WorkerId, size::Millis};

use crate::fixture::{Fixture, info, step, worker};

/// Start time of the incarnations that are known first, which have been up for long.
pub const FIRST_START: u64 = 1000;

/// Start time of the next incarnation of `w`.
pub const SECOND_START: u64 = 2000;

/// Longest time for which a call without an answer may be on its way.
pub const MAX_CALL_DELAY: u64 = 15_000;

pub const STEP: u64 = 100;

/// Bound on the time after which a task may start elsewhere, beyond the lease: the drift of the
/// worker's clock, and the step of the tests.
const SLACK: u64 = 500;

pub fn listed(name: &str, started_at: u64) -> WorkerInfo {
    WorkerInfo { started_at: Some(Millis(started_at)), ..info(name, 4) }
}

pub fn lasting(cores: u64) -> Step {
    let need = Amount::new(cores * 1000, 100, 0);
    Step { long_running: true, need, ..step(1) }
}

pub fn lost() -> WorkerError {
    WorkerError::Lost("no answer".to_owned())
}

pub fn broken() -> WorkerError {
    WorkerError::Broken("reset".to_owned())
}

/// Returns a pool with the worker `w`, and an order to start a task of this step there, which is under way.
/// A poll of the worker was sent together with the order.
pub fn ordered(step: Step) -> (Fixture, StartOrder) {
    let mut fixture = Fixture::ready(vec![listed("w", FIRST_START)]);
    fixture.submit(1, vec![step]);
    let (_, order) = fixture.starts().remove(0);
    (fixture, order)
}

pub fn lose_start(fixture: &mut Fixture, order: &StartOrder) {
    fixture.pool.started(&worker("w"), order.task, order.run, Err(lost()), fixture.now);
}

/// Lets the next incarnation of `w` register and answer a poll that is sent now.
pub fn restart(fixture: &mut Fixture) {
    fixture.infos[0].started_at = Some(Millis(SECOND_START));
    fixture.report(&worker("w"));
    fixture.list();
}

/// Reports to the owner that the platform has no host with the first incarnation of a worker.
pub fn report_end(fixture: &mut Fixture, id: WorkerId) {
    let ended = Incarnation::new(id).with_start(Some(Millis(FIRST_START)));
    fixture.pool.worker_unhosted(&ended, fixture.now);
}

/// Adds a worker `v` that answers, while `w` does not any more.
pub fn add_other(fixture: &mut Fixture) {
    fixture.infos.push(listed("v", FIRST_START));
    fixture.list();
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("v"));
}

/// Returns for how long the task waits before it starts on `v`, while no poll of `w` is sent.
pub fn wait_for_move(fixture: &mut Fixture) -> Millis {
    wait_for_move_during(fixture, |fixture| {
        fixture.advance(STEP);
        let unreachable = Err(WorkerError::Unreachable("cut off".to_owned()));
        fixture.pool.held(&worker("w"), fixture.now, unreachable, fixture.now);
    })
}

/// Returns for how long the task waits before it starts on `v`, while `pass` lets time pass.
pub fn wait_for_move_during(fixture: &mut Fixture, pass: impl Fn(&mut Fixture)) -> Millis {
    let begun = fixture.now;
    while Fixture::started_on(fixture.poll()).is_empty() {
        assert!(fixture.now.since(begun) < Millis(60_000), "the task never starts");
        pass(fixture);
        fixture.report(&worker("v"));
        fixture.flush();
    }
    fixture.now.since(begun)
}

pub fn assert_about(wait: Millis, expected: Millis) {
    assert!(wait >= expected, "{wait} is less than the lease of {expected}");
    assert!(wait.0 <= expected.0 + SLACK, "{wait} is longer than the lease of {expected}");
}

pub fn polls_of(actions: &[Action], id: &WorkerId) -> usize {
    let is_poll = |action: &&Action| matches!(action, Action::Hold(target, _) if target.id == *id);
    actions.iter().filter(is_poll).count()
}
