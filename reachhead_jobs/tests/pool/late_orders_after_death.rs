//! Tests of workers that are found dead while calls to them may still be carried out, and that come
//! back under their ids. See `docs/design/restarted-workers.md`.

use reachhead_jobs::{
    pool::{Action, DeathEvidence},
    ports::WorkerError,
    task::TaskId,
};
use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, RunNumber},
};

use crate::{
    fixture::{Fixture, step, task, worker},
    restart_fixture::{
        FIRST_START, MAX_CALL_DELAY, SECOND_START, lasting, listed, lose_start, lost, ordered,
        report_end,
    },
};

const EVIDENCE: [DeathEvidence; 3] =
    [DeathEvidence::Unhosted, DeathEvidence::Replaced, DeathEvidence::OffList];

/// Lets the owner find the worker dead.
fn die(fixture: &mut Fixture, evidence: DeathEvidence) {
    let id = worker("w");
    match evidence {
        DeathEvidence::Unhosted => {
            fixture.advance(1);
            fixture.refuse_connection(&id);
            report_end(fixture, id);
        }
        DeathEvidence::Replaced => {
            fixture.pool.held(&id, fixture.now, Err(WorkerError::Replaced), fixture.now);
        }
        DeathEvidence::OffList => {
            fixture.pool.list(Vec::new(), fixture.now);
            fixture.pool.worker_died(&id, evidence, fixture.now);
            fixture.pool.list(Vec::new(), fixture.now);
        }
    }
    assert!(fixture.pool.workers().is_empty());
}

/// Lets the platform list the worker again.
fn list_again(fixture: &mut Fixture, started_at: u64) {
    fixture.running.clear();
    fixture.ended.clear();
    fixture.infos = vec![listed("w", started_at)];
    fixture.list();
}

/// Lets the next incarnation answer and be open in the stored roster.
fn answer(fixture: &mut Fixture) {
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
}

fn stops(fixture: &mut Fixture) -> Vec<(WorkerId, TaskId, RunNumber)> {
    let stop = |action| match action {
        Action::Stop(target, task, run) => Some((target.id, task, run)),
        _ => None,
    };
    fixture.poll().into_iter().filter_map(stop).collect()
}

/// Returns the jobs of which the next rounds start tasks on the worker, which answers.
fn started_jobs(fixture: &mut Fixture) -> Vec<JobId> {
    fixture.advance(50);
    fixture.report(&worker("w"));
    fixture.flush();
    let started = fixture.starts().into_iter().map(|(id, order)| {
        fixture.accept(&id, &order);
        order.task.job
    });
    started.collect()
}

/// Returns for how long the worker gets no task of a job that is submitted now.
fn wait_for_start(fixture: &mut Fixture) -> Millis {
    let begun = fixture.now;
    // A task that may have crashed the worker would be on trial there.
    fixture.pool.cancel(JobId(1));
    fixture.submit(2, vec![step(1)]);
    while !started_jobs(fixture).contains(&JobId(2)) {
        assert!(fixture.now.since(begun) < Millis(30_000), "the task never starts");
    }
    fixture.now.since(begun)
}

/// A start without an answer was carried out seconds late by the next incarnation of a worker that had
/// been found dead, beside the run that had started elsewhere: the order was forgotten with the worker.
#[test]
fn a_lost_order_is_barred_at_the_next_incarnation_of_a_dead_worker() {
    for evidence in EVIDENCE {
        let (mut fixture, order) = ordered(step(1));
        lose_start(&mut fixture, &order);
        die(&mut fixture, evidence);
        fixture.advance(2500);
        list_again(&mut fixture, SECOND_START);
        let expected = (worker("w"), order.task, order.run);
        assert_eq!(stops(&mut fixture), [expected], "before its first report, {evidence:?}");
    }
}

/// The order that bars a lost start is lost as easily as that was, and it was sent only once.
#[test]
fn a_lost_order_is_barred_again_until_the_worker_confirms_it() {
    let (mut fixture, order) = ordered(step(1));
    lose_start(&mut fixture, &order);
    die(&mut fixture, DeathEvidence::Unhosted);
    list_again(&mut fixture, SECOND_START);
    let bar = || (worker("w"), order.task, order.run);
    for _ in 0..3 {
        assert_eq!(stops(&mut fixture), [bar()]);
        assert_eq!(stops(&mut fixture), [], "the answer is outstanding");
        fixture.pool.stopped(
            &worker("w"),
            order.task,
            order.run,
            fixture.now,
            Err(lost()),
            fixture.now,
        );
        fixture.advance(100);
    }
    assert_eq!(stops(&mut fixture), [bar()]);
    let clock = fixture.clock();
    fixture.pool.stopped(&worker("w"), order.task, order.run, fixture.now, Ok(clock), fixture.now);
    fixture.advance(100);
    assert_eq!(stops(&mut fixture), []);
}

/// The incarnation that confirmed the bar restarts: the next one does not know it.
#[test]
fn a_lost_order_is_barred_at_each_incarnation() {
    let (mut fixture, order) = ordered(step(1));
    lose_start(&mut fixture, &order);
    for incarnation in 0..3 {
        die(&mut fixture, DeathEvidence::Replaced);
        list_again(&mut fixture, SECOND_START + incarnation);
        assert_eq!(stops(&mut fixture), [(worker("w"), order.task, order.run)]);
        let clock = fixture.clock();
        fixture.pool.stopped(
            &worker("w"),
            order.task,
            order.run,
            fixture.now,
            Ok(clock),
            fixture.now,
        );
    }
}

/// A call to the dead incarnation could acknowledge ends of the next one that no owner had read.
#[test]
fn late_calls_are_expected_at_the_next_incarnation_of_a_dead_worker() {
    for evidence in EVIDENCE {
        let (mut fixture, order) = ordered(step(1));
        lose_start(&mut fixture, &order);
        let unanswered = fixture.now;
        die(&mut fixture, evidence);
        list_again(&mut fixture, SECOND_START);
        answer(&mut fixture);
        assert!(fixture.pool.workers()[&worker("w")].expects_late_calls(fixture.now));
        wait_for_start(&mut fixture);
        let wait = fixture.now.since(unanswered).0;
        assert!(wait >= MAX_CALL_DELAY, "{evidence:?}: after {wait} ms");
        assert!(wait <= MAX_CALL_DELAY + 500, "{evidence:?}: after {wait} ms");
    }
}

/// A lost start that is carried out late beside a run of the next incarnation exceeded its capacity.
#[test]
fn late_orders_find_room_at_the_next_incarnation_of_a_dead_worker() {
    let (mut fixture, order) = ordered(lasting(3));
    lose_start(&mut fixture, &order);
    die(&mut fixture, DeathEvidence::Unhosted);
    fixture.pool.cancel(JobId(1));
    fixture.flush();
    list_again(&mut fixture, SECOND_START);
    answer(&mut fixture);
    fixture.submit(2, vec![lasting(2)]);
    assert_eq!(started_jobs(&mut fixture), [], "the late order needs the room");
    fixture.submit(3, vec![lasting(1)]);
    assert_eq!(started_jobs(&mut fixture), [JobId(3)]);
    fixture.set_running(&worker("w"), task(3, 0, 0), 1, 100);
    fixture.advance(MAX_CALL_DELAY);
    assert_eq!(started_jobs(&mut fixture), [JobId(2)]);
}

/// A start was under way when its worker was found dead, so its answer was found to be lost only after
/// that, or after the next incarnation was listed.
#[test]
fn an_order_that_is_under_way_at_the_death_of_its_worker_is_barred() {
    for is_listed_first in [false, true] {
        let (mut fixture, order) = ordered(step(1));
        fixture.pool.held(&worker("w"), fixture.now, Err(WorkerError::Replaced), fixture.now);
        if !is_listed_first {
            lose_start(&mut fixture, &order);
        }
        list_again(&mut fixture, SECOND_START);
        assert_eq!(stops(&mut fixture), [(worker("w"), order.task, order.run)]);
        fixture.advance(200);
        if is_listed_first {
            lose_start(&mut fixture, &order);
        }
        answer(&mut fixture);
        let known = &fixture.pool.workers()[&worker("w")];
        assert!(known.expects_late_calls(fixture.now), "listed first: {is_listed_first}");
        assert!(known.late_orders(fixture.now) == order_amount(), "{is_listed_first}");
    }
}

fn order_amount() -> Amount {
    step(1).need
}

/// A poll of the dead incarnation ended without an answer after the worker had been removed. It may
/// still be carried out by the next one.
#[test]
fn a_poll_that_is_lost_after_the_death_of_its_worker_is_a_late_call() {
    let (mut fixture, order) = ordered(step(1));
    let sent = fixture.now;
    let refused = Err(WorkerError::PortClosed("connection refused".to_owned()));
    fixture.pool.started(&worker("w"), order.task, order.run, refused, fixture.now);
    die(&mut fixture, DeathEvidence::Unhosted);
    fixture.advance(500);
    fixture.pool.held(&worker("w"), sent, Err(lost()), fixture.now);
    list_again(&mut fixture, SECOND_START);
    answer(&mut fixture);
    assert!(fixture.pool.workers()[&worker("w")].expects_late_calls(fixture.now));
}

/// A worker that was cut off until it left the list returns as the same incarnation. No call to an
/// earlier one is on its way, so it must not wait for late calls.
#[test]
fn the_same_incarnation_does_not_wait_for_late_calls() {
    let (mut fixture, order) = ordered(step(1));
    lose_start(&mut fixture, &order);
    die(&mut fixture, DeathEvidence::OffList);
    list_again(&mut fixture, FIRST_START);
    answer(&mut fixture);
    assert!(wait_for_start(&mut fixture) <= Millis(500));
}

/// A call is carried out within a bounded time, so the next incarnation must not wait after that.
#[test]
fn a_worker_that_comes_back_late_expects_no_late_calls() {
    let (mut fixture, order) = ordered(step(1));
    lose_start(&mut fixture, &order);
    die(&mut fixture, DeathEvidence::Unhosted);
    fixture.advance(MAX_CALL_DELAY + 100);
    list_again(&mut fixture, SECOND_START);
    assert_eq!(stops(&mut fixture), []);
    answer(&mut fixture);
    assert!(wait_for_start(&mut fixture) <= Millis(500));
}
