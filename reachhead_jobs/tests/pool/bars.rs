//! Tests of the orders that bar runs whose start orders may still be carried out, when a worker restarts
//! once more: a later incarnation does not know what an earlier one has confirmed. See
//! `docs/design/restarted-workers.md`.

use reachhead_jobs::{
    clock::Tick,
    incarnation::Incarnation,
    pool::Action,
    ports::{Rejection, StartOrder, WorkerError, WorkerInfo},
    task::TaskId,
};
use reachhead_types::{
    id::WorkerId,
    size::{Millis, RunNumber},
};

use crate::fixture::{Fixture, info, step, worker};

/// Start times of the incarnations of the worker.
const STARTS: [u64; 3] = [1000, 2000, 3000];

const STEP: u64 = 100;

fn listed(name: &str, started_at: u64) -> WorkerInfo {
    WorkerInfo { started_at: Some(Millis(started_at)), ..info(name, 4) }
}

/// Returns a pool with a worker `w`, and an order to start a task there whose answer was lost. Another
/// worker `v` is free.
fn lose_start() -> (Fixture, StartOrder) {
    let mut fixture = Fixture::ready(vec![listed("w", STARTS[0])]);
    fixture.submit(1, vec![step(1)]);
    let (_, order) = fixture.starts().remove(0);
    fail_start(&mut fixture, &order);
    fixture.infos.push(listed("v", STARTS[0]));
    fixture.list();
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("v"));
    fixture.advance(STEP);
    (fixture, order)
}

fn fail_start(fixture: &mut Fixture, order: &StartOrder) {
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&worker("w"), order.task, order.run, lost, fixture.now);
}

/// Lets an incarnation of `w` register and answer a poll.
fn restart(fixture: &mut Fixture, incarnation: usize) {
    fixture.infos[0].started_at = Some(Millis(STARTS[incarnation]));
    fixture.report(&worker("w"));
    fixture.list();
    fixture.advance(STEP);
}

/// Lets `w` report that it runs nothing, by a poll that is sent now.
fn report_nothing(fixture: &mut Fixture) {
    fixture.advance(STEP);
    fixture.report(&worker("w"));
    fixture.advance(STEP);
}

/// Lets an incarnation of `w` answer a stop order that was sent at `sent`.
fn confirm_stop(fixture: &mut Fixture, order: &StartOrder, sent: Tick) {
    let clock = fixture.clock();
    fixture.pool.stopped(&worker("w"), order.task, order.run, sent, Ok(clock), fixture.now);
}

/// What a round orders about the task.
#[derive(Debug, PartialEq, Eq, Default)]
struct Ordered {
    stops: Vec<(WorkerId, TaskId, RunNumber)>,
    starts: Vec<WorkerId>,
}

impl Ordered {
    /// The run is to be barred at `w`.
    fn bar(order: &StartOrder) -> Self {
        Self { stops: vec![(worker("w"), order.task, order.run)], ..Self::default() }
    }

    /// The task starts at `v`.
    fn move_to_other() -> Self {
        Self { starts: vec![worker("v")], ..Self::default() }
    }
}

/// Returns what the next round orders, where `v` has just answered and the store has all changes, so that the
/// task could start there.
fn round(fixture: &mut Fixture) -> Ordered {
    fixture.flush();
    if fixture.infos.len() > 1 {
        fixture.report(&worker("v"));
    }
    let mut ordered = Ordered::default();
    for action in fixture.poll() {
        match action {
            Action::Stop(target, task, run) => ordered.stops.push((target.id, task, run)),
            Action::Start(target, _) => ordered.starts.push(target.id),
            _ => {}
        }
    }
    ordered
}

/// Asserts that the present incarnation gets the bar, and that the task starts elsewhere only once a report
/// that was requested after its answer lacks the run.
fn assert_barred_before_the_move(fixture: &mut Fixture, order: &StartOrder) {
    assert_eq!(
        round(fixture),
        Ordered::bar(order),
        "the present incarnation does not know the bar"
    );
    let sent = fixture.now;
    report_nothing(fixture);
    assert_eq!(round(fixture), Ordered::default(), "the lost order may still arrive");
    confirm_stop(fixture, order, sent);
    report_nothing(fixture);
    assert_eq!(round(fixture), Ordered::move_to_other());
}

/// The worker restarted again while the order that bars the run was under way. The answer of the incarnation
/// that had ended counted for the next one, where the lost order could run beside the run elsewhere.
#[test]
fn an_answer_of_an_ended_incarnation_bars_no_run_at_the_next() {
    let (mut fixture, order) = lose_start();
    restart(&mut fixture, 1);
    assert_eq!(round(&mut fixture), Ordered::bar(&order));
    let sent = fixture.now;
    restart(&mut fixture, 2);
    confirm_stop(&mut fixture, &order, sent);
    assert_barred_before_the_move(&mut fixture, &order);
}

/// The run had been barred when the next restart was noticed, before a report that lacks it: it was removed
/// as one that had ended with its worker, and the task started elsewhere at once.
#[test]
fn a_run_that_an_ended_incarnation_has_barred_is_barred_at_the_next() {
    let (mut fixture, order) = lose_start();
    restart(&mut fixture, 1);
    assert_eq!(round(&mut fixture), Ordered::bar(&order));
    let sent = fixture.now;
    confirm_stop(&mut fixture, &order, sent);
    restart(&mut fixture, 2);
    assert_barred_before_the_move(&mut fixture, &order);
}

/// The answer to a repeated start came after the restart had been noticed. It settled the run, although the
/// first order had been lost and could still run at the incarnation that is there now.
#[test]
fn an_answer_to_a_start_of_an_ended_incarnation_bars_no_run() {
    let clock = |fixture: &Fixture| Ok(fixture.clock());
    let old = |_: &Fixture| Err(WorkerError::Rejected(Rejection::Old));
    let answers: [fn(&Fixture) -> _; 2] = [clock, old];
    for answer in answers {
        let (mut fixture, order) = lose_start();
        assert_eq!(round(&mut fixture).starts, [worker("w")], "the order is repeated");
        restart(&mut fixture, 1);
        let answer = answer(&fixture);
        fixture.pool.started(&worker("w"), order.task, order.run, answer, fixture.now);
        report_nothing(&mut fixture);
        assert_barred_before_the_move(&mut fixture, &order);
    }
}

/// A worker was found dead and listed again twice. The bar that the first of these incarnations had confirmed
/// counted for the second one, which got none.
#[test]
fn a_bar_of_a_listed_incarnation_does_not_count_at_the_next() {
    let (mut fixture, order) = lose_start();
    let dead = fixture.now;
    fixture.pool.held(&worker("w"), dead, Err(WorkerError::Replaced), dead);
    assert_eq!(round(&mut fixture), Ordered::move_to_other());
    fixture.infos[0].started_at = Some(Millis(STARTS[1]));
    fixture.list();
    assert_eq!(round(&mut fixture), Ordered::bar(&order));
    let sent = fixture.now;
    fixture.advance(STEP);
    restart(&mut fixture, 2);
    confirm_stop(&mut fixture, &order, sent);
    assert_eq!(round(&mut fixture), Ordered::bar(&order));
}

/// The same when the first one is found dead as well, and its answer comes after the second one is listed.
#[test]
fn an_answer_that_outlives_two_deaths_is_no_bar() {
    let (mut fixture, order) = lose_start();
    let mut sent = fixture.now;
    for incarnation in 1..STARTS.len() {
        let ended = Incarnation::new(worker("w"));
        let ended = ended.with_start(Some(Millis(STARTS[incarnation - 1])));
        fixture.refuse_connection(&worker("w"));
        fixture.pool.worker_unhosted(&ended, fixture.now);
        assert!(!fixture.pool.workers().contains_key(&worker("w")));
        fixture.infos[0].started_at = Some(Millis(STARTS[incarnation]));
        fixture.advance(STEP);
        fixture.list();
        if incarnation == 1 {
            assert_eq!(round(&mut fixture).stops, Ordered::bar(&order).stops);
            sent = fixture.now;
            fixture.advance(STEP);
        }
    }
    confirm_stop(&mut fixture, &order, sent);
    assert_eq!(round(&mut fixture).stops, Ordered::bar(&order).stops);
}

/// A start was under way when a restart was noticed, and was found to be lost only after the next incarnation had
/// died as well. The one after that got no bar.
#[test]
fn a_start_that_is_under_way_over_two_restarts_is_barred() {
    let mut fixture = Fixture::ready(vec![listed("w", STARTS[0])]);
    fixture.submit(1, vec![step(1)]);
    let (_, order) = fixture.starts().remove(0);
    restart(&mut fixture, 1);
    fixture.pool.held(&worker("w"), fixture.now, Err(WorkerError::Replaced), fixture.now);
    fail_start(&mut fixture, &order);
    fixture.infos[0].started_at = Some(Millis(STARTS[2]));
    fixture.list();
    assert_eq!(round(&mut fixture), Ordered::bar(&order));
}

/// Guards against a repeated start that is under way when its worker is found dead, and is not barred at the next
/// incarnation since a report had listed the run by then: the first order had started it.
#[test]
fn a_repeated_start_of_a_reported_run_is_barred_after_the_death() {
    let mut fixture = Fixture::ready(vec![listed("w", STARTS[0])]);
    fixture.submit(1, vec![step(1)]);
    let (_, order) = fixture.starts().remove(0);
    let broken = Err(WorkerError::Broken("reset".to_owned()));
    fixture.pool.started(&worker("w"), order.task, order.run, broken, fixture.now);
    fixture.advance(STEP);
    assert_eq!(round(&mut fixture).starts, [worker("w")], "the order is repeated");
    fixture.set_running(&worker("w"), order.task, order.run.0, 10);
    fixture.report(&worker("w"));
    fixture.advance(STEP);
    fixture.pool.held(&worker("w"), fixture.now, Err(WorkerError::Replaced), fixture.now);
    fail_start(&mut fixture, &order);
    fixture.infos[0].started_at = Some(Millis(STARTS[1]));
    fixture.list();
    assert_eq!(round(&mut fixture).stops, Ordered::bar(&order).stops);
}
