//! Tests of what calls that were sent before a restart was noticed do to the new incarnation. See
//! `docs/design/restarted-workers.md`.

use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    pool::JobState,
    ports::{StartOrder, WorkerError},
    record::Ending,
};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};

use crate::{
    fixture::{Fixture, START, step, timeouts, worker},
    restart_fixture::{
        FIRST_START, SECOND_START, STEP, add_other, assert_about, broken, listed, lose_start, lost,
        ordered, polls_of, report_end, restart, wait_for_move,
    },
};

/// Returns the pool and the order of [`ordered`], with the time at which the poll was sent that is under way.
fn ordered_during_poll() -> (Fixture, Tick, StartOrder) {
    let (fixture, order) = ordered(step(1));
    let sent = fixture.now;
    (fixture, sent, order)
}

/// Lets the answer to the start order show the clock of a worker that has just started.
fn show_restart(fixture: &mut Fixture, order: &StartOrder) {
    fixture.set_running(&worker("w"), order.task, order.run.0, 0);
    let fresh = Ok(WorkerTime(700));
    fixture.pool.started(&worker("w"), order.task, order.run, fresh, fixture.now);
}

/// Asserts that the task waits for the longest lease before it starts on `v`, while no poll of `w` is sent.
fn assert_longest_lease(fixture: &mut Fixture) {
    assert_about(wait_for_move(fixture), timeouts().grant);
}

/// A poll was sent in the same millisecond as the answer to a start showed a restart, and was taken for the
/// next one, which did not wait for it: from then on the worker was always polled twice at a time.
#[test]
fn a_poll_sent_just_before_a_restart_is_noticed_is_not_the_next_one() {
    let (mut fixture, sent, order) = ordered_during_poll();
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
    let (mut fixture, sent, order) = ordered_during_poll();
    show_restart(&mut fixture, &order);
    fixture.infos[0].started_at = Some(Millis(SECOND_START));
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
    let (mut fixture, sent, order) = ordered_during_poll();
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

/// A start that was sent before a restart was noticed arrived after the report that showed it. It
/// prolonged, by the old clock, the lease of a run that the report had listed, and that task started
/// elsewhere before the end of the lease.
#[test]
fn a_start_sent_before_a_noticed_restart_counts_as_a_lease_of_reported_runs() {
    let (mut fixture, sent, order) = ordered_during_poll();
    fixture.accept(&worker("w"), &order);
    fixture.submit(2, vec![step(1)]);
    let (_, late) = fixture.starts().remove(0);
    fixture.infos[0].started_at = Some(Millis(SECOND_START));
    fixture.report_sent(&worker("w"), sent);
    fixture.list();
    fixture.advance(1500);
    fixture.pool.started(&worker("w"), late.task, late.run, Err(broken()), fixture.now);
    add_other(&mut fixture);
    assert_longest_lease(&mut fixture);
}

/// The same for a poll that the new incarnation answered after the one that did not wait for it.
#[test]
fn a_poll_sent_before_a_noticed_restart_counts_as_a_lease_of_reported_runs() {
    let (mut fixture, sent, order) = ordered_during_poll();
    fixture.advance(500);
    show_restart(&mut fixture, &order);
    fixture.advance(STEP);
    fixture.poll();
    restart(&mut fixture);
    fixture.advance(1500);
    fixture.report_sent(&worker("w"), sent);
    add_other(&mut fixture);
    assert_longest_lease(&mut fixture);
}

/// The port of a worker was closed while it was down, and an order that was under way reached its next
/// incarnation. The end of the worker was applied to that run, and the task started elsewhere beside it.
#[test]
fn a_closed_port_does_not_end_a_run_whose_order_is_under_way() {
    let (mut fixture, order) = ordered(step(1));
    add_other(&mut fixture);
    fixture.advance(STEP);
    fixture.refuse_connection(&worker("w"));
    fixture.advance(STEP);
    report_end(&mut fixture, worker("w"));
    fixture.flush();
    assert_eq!(Fixture::started_on(fixture.poll()), [], "the order is under way");
    fixture.pool.started(&worker("w"), order.task, order.run, Err(broken()), fixture.now);
    assert_longest_lease(&mut fixture);
}

/// The same order finds the port closed as well: it has reached no incarnation, and the task does not wait.
#[test]
fn an_order_that_finds_the_port_closed_ends_the_wait_for_it() {
    let (mut fixture, order) = ordered(step(1));
    add_other(&mut fixture);
    fixture.advance(STEP);
    fixture.refuse_connection(&worker("w"));
    report_end(&mut fixture, worker("w"));
    let refused = Err(WorkerError::PortClosed("connection refused".to_owned()));
    fixture.pool.started(&worker("w"), order.task, order.run, refused, fixture.now);
    fixture.advance(STEP);
    fixture.flush();
    assert_eq!(Fixture::started_on(fixture.poll()), [worker("v")]);
    fixture.refuse_connection(&worker("w"));
    assert!(!fixture.pool.workers().contains_key(&worker("w")), "the worker has ended");
}

/// A task crashed each of its workers before a report had listed it, and their hosts took no connection.
/// The crashes were not counted against it, and it crashed one worker after the other.
#[test]
fn a_task_whose_workers_end_before_they_report_it_is_given_up() {
    let infos = (0..8).map(|number| listed(&format!("w{number}"), FIRST_START)).collect();
    let mut fixture = Fixture::ready(infos);
    fixture.submit(1, vec![step(1)]);
    let mut tried = 0;
    while fixture.pool.state(JobId(1)) != Some(JobState::Over(Ending::Failed)) {
        assert!(fixture.now.since(START) < Millis(60_000), "the task is not given up");
        for (id, order) in fixture.starts() {
            tried += 1;
            fixture.accept(&id, &order);
            fixture.infos.retain(|info| info.id != id);
            fixture.running.remove(&id);
            report_end(&mut fixture, id);
        }
        fixture.list();
        fixture.advance(STEP);
        let silent: Vec<WorkerId> = fixture.pool.workers().keys().cloned().collect();
        for id in silent {
            if fixture.infos.iter().any(|info| info.id == id) {
                fixture.report(&id);
            } else {
                let error = WorkerError::Unreachable("no connection".to_owned());
                fixture.pool.held(&id, fixture.now, Err(error), fixture.now);
            }
        }
        fixture.flush();
    }
    assert!(tried <= 3, "the task takes down one worker after the other: {tried}");
}

/// The answer to a repeated start came after a report that had listed the run: the first order may have
/// started it on the incarnation that sent the report, and the second one on the next.
#[test]
fn a_repeated_start_may_have_reached_another_incarnation_than_the_reported_one() {
    let (mut fixture, sent, order) = ordered_during_poll();
    lose_start(&mut fixture, &order);
    fixture.advance(STEP);
    assert_eq!(fixture.starts().len(), 1, "the order is repeated");
    fixture.set_running(&worker("w"), order.task, order.run.0, 0);
    fixture.report_sent(&worker("w"), sent);
    let clock = fixture.clock();
    fixture.pool.started(&worker("w"), order.task, order.run, Ok(clock), fixture.now);
    add_other(&mut fixture);
    assert_longest_lease(&mut fixture);
}

/// A worker was found dead by the answer to a start while a poll was under way, and was listed again. The
/// end of that poll made the next incarnation count as silent, and it was polled twice at a time.
#[test]
fn a_poll_of_an_ended_worker_says_nothing_about_the_next_incarnation() {
    let (mut fixture, sent, order) = ordered_during_poll();
    fixture.advance(STEP);
    fixture.pool.started(
        &worker("w"),
        order.task,
        order.run,
        Err(WorkerError::Replaced),
        fixture.now,
    );
    assert!(!fixture.pool.workers().contains_key(&worker("w")));
    fixture.infos[0].started_at = Some(Millis(SECOND_START));
    fixture.list();
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 1);
    fixture.advance(STEP);
    fixture.pool.held(&worker("w"), sent, Err(lost()), fixture.now);
    assert!(!fixture.pool.workers()[&worker("w")].silent);
    fixture.advance(STEP);
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 0, "a poll is under way");
}

/// An answer showed the restart while another start was under way. The report that was requested then was made before the new
/// incarnation carried that start out, and arrived after its answer: the run counted as one of the ended incarnation, and the task
/// started elsewhere.
#[test]
fn a_start_confirmed_after_a_report_was_requested_is_not_ended_by_that_report() {
    let mut fixture = Fixture::ready(vec![listed("w", FIRST_START)]);
    fixture.submit(1, vec![step(2)]);
    let orders: Vec<StartOrder> = fixture.starts().into_iter().map(|(_, order)| order).collect();
    fixture.advance(STEP);
    show_restart(&mut fixture, &orders[0]);
    fixture.advance(1);
    assert_eq!(polls_of(&fixture.poll(), &worker("w")), 1, "a report is requested");
    let requested = fixture.now;
    fixture.advance(1);
    let confirmed = Ok(WorkerTime(702));
    let StartOrder { task, run, .. } = orders[1];
    fixture.pool.started(&worker("w"), task, run, confirmed, fixture.now);
    fixture.infos[0].started_at = Some(Millis(SECOND_START));
    fixture.report_sent(&worker("w"), requested);
    add_other(&mut fixture);
    assert_longest_lease(&mut fixture);
}
