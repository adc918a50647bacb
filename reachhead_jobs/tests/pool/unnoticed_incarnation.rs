//! Tests of workers that restart under their id without being noticed and then can't be reached. See
//! `docs/design/restarted-workers.md`.

use reachhead_jobs::{
    clock::WorkerTime,
    ports::{RunEnd, WorkerError},
};
use reachhead_types::size::Millis;

use crate::{
    fixture::{Fixture, START, recovered, step, timeouts, worker},
    restart_fixture::{
        FIRST_START, STEP, add_other, assert_about, broken, lasting, listed, lose_start, lost,
        ordered, polls_of, report_end, restart, wait_for_move, wait_for_move_during,
    },
};

/// Start time of an incarnation that has been up for five seconds when the tests begin.
const YOUNG_START: u64 = START.0 - 5000;

/// A worker had restarted, confirmed a start and was cut off before the poll that would have shown the
/// restart. It held the run for the longest lease that it grants, as it read the deadline by its own
/// clock, and the task started elsewhere after the usual lease.
#[test]
fn a_task_is_not_moved_while_an_unnoticed_incarnation_may_run_it() {
    let (mut fixture, order) = ordered(step(1));
    fixture.accept(&worker("w"), &order);
    add_other(&mut fixture);
    assert_about(wait_for_move(&mut fixture), timeouts().grant);
}

/// As above, when the answer to the start was lost with the connection.
#[test]
fn a_task_is_not_moved_while_an_unnoticed_incarnation_may_have_got_its_order() {
    let (mut fixture, order) = ordered(step(1));
    add_other(&mut fixture);
    fixture.advance(STEP);
    lose_start(&mut fixture, &order);
    assert_about(wait_for_move(&mut fixture), timeouts().grant);
}

/// The same for an order whose connection has ended, which may have been carried out before.
#[test]
fn a_task_is_not_moved_while_an_unnoticed_incarnation_may_have_got_a_broken_order() {
    let (mut fixture, order) = ordered(step(1));
    add_other(&mut fixture);
    fixture.pool.started(&worker("w"), order.task, order.run, Err(broken()), fixture.now);
    assert_about(wait_for_move(&mut fixture), timeouts().grant);
}

/// A poll that was sent before the restart was noticed prolonged the lease there by the old clock.
#[test]
fn a_poll_without_an_answer_counts_as_a_lease_of_an_unnoticed_incarnation() {
    let (mut fixture, order) = ordered(step(1));
    fixture.accept(&worker("w"), &order);
    add_other(&mut fixture);
    fixture.advance(1500);
    fixture.fail_poll(&worker("w"));
    assert_about(wait_for_move(&mut fixture), timeouts().grant);
}

/// The same for a poll of which a dispatcher gave no result, and whose repetition found no way to the worker:
/// the dispatcher may have sent it.
#[test]
fn a_poll_that_a_dispatcher_may_have_sent_counts_as_a_lease_of_an_unnoticed_incarnation() {
    let (mut fixture, order) = ordered(step(1));
    let sent = fixture.now;
    fixture.accept(&worker("w"), &order);
    add_other(&mut fixture);
    fixture.advance(1500);
    fixture.pool.poll_repeated(&worker("w"), sent, fixture.now);
    let unreachable = Err(WorkerError::Unreachable("cut off".to_owned()));
    fixture.pool.held(&worker("w"), sent, unreachable, fixture.now);
    assert_about(wait_for_move(&mut fixture), timeouts().grant);
}

/// A report that lists the run names its incarnation, so the task waits no longer than for its lease.
#[test]
fn a_reported_run_waits_for_its_lease_only() {
    let (mut fixture, order) = ordered(step(1));
    fixture.accept(&worker("w"), &order);
    fixture.report(&worker("w"));
    add_other(&mut fixture);
    assert_about(wait_for_move(&mut fixture), timeouts().hold);
}

/// A run whose start was answered after the last report does not prolong the wait of one that the
/// report has listed.
#[test]
fn an_unreported_run_does_not_delay_a_reported_one() {
    let (mut fixture, order) = ordered(step(1));
    fixture.accept(&worker("w"), &order);
    fixture.report(&worker("w"));
    fixture.submit(2, vec![step(1)]);
    let (_, later) = fixture.starts().remove(0);
    fixture.accept(&worker("w"), &later);
    add_other(&mut fixture);
    assert_about(wait_for_move(&mut fixture), timeouts().hold);
    assert_eq!(fixture.pool.workers()[&worker("w")].runs.len(), 1);
}

/// The answer to a start showed the clock of a worker that had just started. The poll under way would
/// have shown that only seconds later.
#[test]
fn a_clock_that_is_behind_shows_a_restart_at_once() {
    let (mut fixture, order) = ordered(step(1));
    fixture.advance(500);
    let fresh = Ok(WorkerTime(700));
    fixture.pool.started(&worker("w"), order.task, order.run, fresh, fixture.now);
    fixture.submit(2, vec![step(1)]);
    fixture.advance(1);
    let actions = fixture.poll();
    assert_eq!(polls_of(&actions, &worker("w")), 1, "a poll is under way");
    assert_eq!(Fixture::started_on(actions), [], "which incarnation is there is not known");
}

/// The poll that was under way as the restart showed ends without an answer, after the new incarnation
/// has reported: the worker stays in use and is polled once at a time.
#[test]
fn a_poll_of_the_ended_incarnation_does_not_silence_the_new_one() {
    let (mut fixture, order) = ordered(step(1));
    let sent = fixture.now;
    fixture.advance(500);
    fixture.set_running(&worker("w"), order.task, order.run.0, 0);
    let fresh = Ok(WorkerTime(700));
    fixture.pool.started(&worker("w"), order.task, order.run, fresh, fixture.now);
    fixture.advance(1);
    fixture.poll();
    restart(&mut fixture);
    fixture.poll();
    fixture.pool.held(&worker("w"), sent, Err(lost()), fixture.now);
    assert!(!fixture.pool.workers()[&worker("w")].silent);
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 0, "a poll is under way");
}

/// Clocks lose up to 2%, and an answer may come late: neither shows a restart.
#[test]
fn a_slow_clock_shows_no_restart() {
    let (mut fixture, order) = ordered(step(1));
    let shown = fixture.clock().0;
    fixture.advance(10_000);
    let slow = Ok(WorkerTime(shown));
    fixture.pool.started(&worker("w"), order.task, order.run, slow, fixture.now);
    fixture.submit(2, vec![step(1)]);
    assert_eq!(Fixture::started_on(fixture.poll()), [worker("w")]);
}

/// A successor waited for the usual lease of a worker that it could not reach, whose restart its
/// predecessor had not noticed.
#[test]
fn a_successor_waits_for_the_longest_lease_of_a_young_incarnation_that_does_not_answer() {
    let wait = |started_at| {
        let found = recovered(vec![(1, vec![step(1)])], vec![("w", None)]);
        let mut fixture = Fixture::new(found, vec![listed("w", started_at)]);
        add_other(&mut fixture);
        wait_for_move(&mut fixture)
    };
    let trust = timeouts().trust;
    assert_about(wait(YOUNG_START), Millis(trust.0 + timeouts().grant.0));
    assert_about(wait(FIRST_START), Millis(trust.0 + timeouts().hold.0));
}

/// The end of a worker, known from a list of hosts that was read while it was down, was applied to the
/// run that its next incarnation had got meanwhile.
#[test]
fn the_end_of_a_worker_does_not_end_a_run_that_its_next_incarnation_may_have() {
    let (mut fixture, order) = ordered(step(1));
    fixture.accept(&worker("w"), &order);
    report_end(&mut fixture, worker("w"));
    add_other(&mut fixture);
    assert_about(wait_for_move(&mut fixture), timeouts().grant);
}

/// A host that refused a connection after the start was confirmed, and that has no worker by a list
/// read after that, runs nothing: the task does not wait.
#[test]
fn the_end_of_a_worker_whose_port_was_closed_ends_all_its_runs() {
    let (mut fixture, order) = ordered(step(1));
    fixture.accept(&worker("w"), &order);
    add_other(&mut fixture);
    fixture.advance(STEP);
    fixture.refuse_connection(&worker("w"));
    fixture.advance(STEP);
    report_end(&mut fixture, worker("w"));
    fixture.flush();
    assert_eq!(Fixture::started_on(fixture.poll()), [worker("v")]);
}

/// The lease of an owner that gave its pool back counted the usual lease for a worker that may have
/// restarted unnoticed.
#[test]
fn a_release_tells_of_runs_that_no_report_has_listed() {
    let (mut fixture, order) = ordered(step(1));
    fixture.accept(&worker("w"), &order);
    let left = |fixture: &Fixture| fixture.pool.silent_workers(fixture.now).unwrap();
    assert!(left(&fixture)[&worker("w")] >= timeouts().grant);
    fixture.report(&worker("w"));
    fixture.advance(200);
    assert!(left(&fixture).is_empty());
}

/// Polls of a worker that does not answer prolong no lease there. Each of them delayed the end of the wait
/// again.
#[test]
fn polls_of_a_silent_worker_do_not_prolong_the_wait_for_its_leases() {
    let (mut fixture, order) = ordered(step(1));
    fixture.accept(&worker("w"), &order);
    add_other(&mut fixture);
    let wait = wait_for_move_during(&mut fixture, |fixture| {
        fixture.fail_poll(&worker("w"));
        fixture.advance(STEP);
    });
    assert_about(wait, timeouts().grant);
}

/// A long-running task was started beside a poll that the worker held open for seconds. Lost within
/// these, it waited for the longest lease although the worker had not restarted.
#[test]
fn the_start_of_a_long_running_task_is_followed_by_a_report() {
    let mut fixture = Fixture::ready(vec![listed("w", FIRST_START)]);
    fixture.poll();
    fixture.submit(1, vec![lasting(1)]);
    let (_, order) = fixture.starts().remove(0);
    let held = fixture.now;
    fixture.advance(10);
    fixture.accept(&worker("w"), &order);
    fixture.advance(1);
    let actions = fixture.poll();
    assert_eq!(polls_of(&actions, &worker("w")), 1, "a poll is held open");
    fixture.report(&worker("w"));
    fixture.advance(10);
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 1);
    fixture.advance(10);
    fixture.report_sent(&worker("w"), held);
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 0, "one poll at a time");
    add_other(&mut fixture);
    assert_about(wait_for_move(&mut fixture), timeouts().hold);
}

/// The report of a poll that was overtaken listed a run that had ended since, which was adopted again.
#[test]
fn a_report_that_was_overtaken_brings_no_run_back() {
    let mut fixture = Fixture::ready(vec![listed("w", FIRST_START)]);
    fixture.poll();
    fixture.submit(1, vec![lasting(1)]);
    let (_, order) = fixture.starts().remove(0);
    let held = fixture.now;
    fixture.advance(10);
    fixture.accept(&worker("w"), &order);
    fixture.advance(1);
    fixture.poll();
    let listing = fixture.running.clone();
    fixture.end(&worker("w"), order.task, order.run.0, RunEnd::Failed);
    fixture.report(&worker("w"));
    fixture.running = listing;
    fixture.report_sent(&worker("w"), held);
    assert!(fixture.pool.workers()[&worker("w")].runs.is_empty());
}

/// A successor took the end of a worker, known from a list of hosts that was read while the worker was down,
/// as proof that nothing of its predecessor was left there. The next incarnation, which was not registered
/// yet, had got an order of the predecessor, and could not be reached.
#[test]
fn the_end_of_a_worker_tells_a_successor_nothing_about_its_next_incarnation() {
    let found = recovered(vec![(1, vec![step(1)])], vec![("w", None)]);
    let mut fixture = Fixture::new(found, vec![listed("w", FIRST_START)]);
    report_end(&mut fixture, worker("w"));
    add_other(&mut fixture);
    assert_about(wait_for_move(&mut fixture), Millis(timeouts().trust.0 + timeouts().grant.0));
}
