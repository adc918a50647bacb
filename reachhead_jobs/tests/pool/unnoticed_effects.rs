//! Tests of what calls that were sent before a restart was noticed do to the new incarnation. See
//! `docs/design/restarted-workers.md`.

use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    pool::Action,
    ports::{StartOrder, WorkerInfo},
};
use reachhead_types::{id::WorkerId, size::Millis};

use crate::fixture::{Fixture, info, step, worker};

/// Start time of the incarnation that is known first.
const OLD_START: u64 = 1000;

/// Start time of the next one.
const NEW_START: u64 = 2000;

const STEP: u64 = 100;

fn listed(name: &str, started_at: u64) -> WorkerInfo {
    WorkerInfo { started_at: Some(Millis(started_at)), ..info(name, 4) }
}

/// Returns a pool with a worker `w` whose start time is known, a poll of it that is under way, when that
/// was sent, and an order to start a task there.
fn ordered() -> (Fixture, Tick, StartOrder) {
    let mut fixture = Fixture::ready(vec![listed("w", OLD_START)]);
    fixture.submit(1, vec![step(1)]);
    let sent = fixture.now;
    let (_, order) = fixture.starts().remove(0);
    (fixture, sent, order)
}

/// Lets the next incarnation of `w` register and answer a poll that is sent now.
fn restart(fixture: &mut Fixture) {
    fixture.infos[0].started_at = Some(Millis(NEW_START));
    fixture.report(&worker("w"));
    fixture.list();
}

/// Lets the answer to the start order show the clock of a worker that has just started.
fn show_restart(fixture: &mut Fixture, order: &StartOrder) {
    fixture.set_running(&worker("w"), order.task, order.run.0, 0);
    let fresh = Ok(WorkerTime(700));
    fixture.pool.started(&worker("w"), order.task, order.run, fresh, fixture.now);
}

fn polls_of(actions: &[Action], id: &WorkerId) -> usize {
    let is_poll = |action: &&Action| matches!(action, Action::Hold(target, _) if target.id == *id);
    actions.iter().filter(is_poll).count()
}

/// A poll was sent in the same millisecond as the answer to a start showed a restart, and was taken for the
/// next one, which did not wait for it: from then on the worker was always polled twice at a time.
#[test]
fn a_poll_sent_just_before_a_restart_is_noticed_is_not_the_next_one() {
    let (mut fixture, sent, order) = ordered();
    show_restart(&mut fixture, &order);
    fixture.advance(1);
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 1);
    fixture.advance(STEP);
    fixture.report_sent(&worker("w"), sent);
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 0, "the later poll is under way");
}

/// The worker's new registration made the next poll due at once. It is polled again after both polls.
#[test]
fn a_worker_is_polled_again_after_polls_that_were_not_waited_for() {
    let (mut fixture, sent, order) = ordered();
    show_restart(&mut fixture, &order);
    fixture.infos[0].started_at = Some(Millis(NEW_START));
    fixture.list();
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 1);
    fixture.advance(STEP);
    fixture.report_sent(&worker("w"), sent);
    fixture.report_sent(&worker("w"), sent);
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 1);
}

/// An answer showed the restart, and the next poll, which did not wait for the one under way, named the
/// new incarnation. The earlier poll could still arrive there and make it forget the end of a task that
/// was started meanwhile: the task started again after it was done.
#[test]
fn a_poll_that_is_not_waited_for_keeps_tasks_that_can_be_done_away() {
    let (mut fixture, sent, order) = ordered();
    fixture.advance(500);
    show_restart(&mut fixture, &order);
    fixture.advance(1);
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 1);
    fixture.advance(STEP);
    restart(&mut fixture);
    fixture.submit(2, vec![step(1)]);
    assert_eq!(Fixture::started_on(fixture.poll()), [], "the earlier poll may still arrive");
    fixture.report_sent(&worker("w"), sent);
    assert_eq!(Fixture::started_on(fixture.poll()), [worker("w")], "no call is under way");
}
