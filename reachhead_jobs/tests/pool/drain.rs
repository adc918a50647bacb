//! Tests of zones drained by operators.

use std::collections::BTreeSet;

use reachhead_jobs::{
    model::Step,
    pool::RecoveredState,
    ports::{RunEnd, WorkerError, WorkerInfo},
};
use reachhead_types::id::{WorkerId, ZoneName};

use crate::fixture::{Fixture, fences, info, step, task, timeouts, worker};

/// Period at which the owner reads the drained zones, in milliseconds.
const DRAIN_READ_PERIOD_MS: u64 = 1000;

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

fn info_in(name: &str, zone: &str) -> WorkerInfo {
    WorkerInfo { zone: zone.parse().unwrap(), ..info(name, 4) }
}

/// Returns a pool with two workers in zone a and one in zone b.
fn three_workers() -> Fixture {
    Fixture::ready(vec![info_in("a1", "a"), info_in("a2", "a"), info_in("b1", "b")])
}

fn drain(fixture: &mut Fixture, names: &[&str]) {
    let now = fixture.now;
    fixture.pool.drain_zones(&zones(names), now);
}

/// Operators drained a zone before its power was cut, but tasks were still started there because
/// owners did not know about drained zones.
#[test]
fn no_task_starts_in_a_drained_zone_and_running_tasks_may_finish() {
    let mut fixture = three_workers();
    drain(&mut fixture, &[]);
    fixture.submit_and_start(1, vec![step(12)]);
    let run = fixture.running[&worker("a1")][0].clone();
    drain(&mut fixture, &["a"]);
    fixture.submit(2, vec![step(6)]);
    assert!(fixture.starts().is_empty(), "the other zone is full");
    assert!(fixture.stops().is_empty(), "running tasks are not stopped");
    fixture.end(&worker("a1"), run.task, run.run.0, RunEnd::Done);
    fixture.report(&worker("a1"));
    assert!(fixture.starts().is_empty(), "free capacity in a drained zone is not used");
    let freed = fixture.running[&worker("b1")][0].clone();
    fixture.end(&worker("b1"), freed.task, freed.run.0, RunEnd::Done);
    fixture.report(&worker("b1"));
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, worker("b1"));
    drain(&mut fixture, &[]);
    let starts = fixture.starts();
    assert!(
        starts.iter().any(|(id, _)| *id == worker("a1")),
        "workers of the zone are used again: {starts:?}"
    );
}

/// A worker that registers during the drain, or that a new owner contacts first, is treated as any
/// other in the zone.
#[test]
fn a_worker_that_joins_a_drained_zone_gets_no_tasks() {
    let mut fixture = three_workers();
    drain(&mut fixture, &["a"]);
    fixture.infos.push(info_in("a3", "a"));
    fixture.list();
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("a3"));
    fixture.submit(1, vec![step(8)]);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|(id, _)| *id == worker("b1")));
}

/// An order whose answer was lost was resent for seconds, and its run began in the zone long after
/// the drain. It is barred instead.
#[test]
fn an_unanswered_order_is_not_resent_into_a_drained_zone() {
    let mut fixture = Fixture::ready(vec![info_in("a1", "a")]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    drain(&mut fixture, &["a"]);
    fixture.advance(100);
    assert_eq!(fixture.stops(), [(worker("a1"), task(1, 0, 0))]);
}

/// Long-running tasks, copies, gangs and spread steps are placed under the same rule as others.
#[test]
fn steps_of_all_kinds_avoid_a_drained_zone() {
    let long_running = Step { long_running: true, spread: 1, ..step(3) };
    let gang = Step { gang: true, ..step(2) };
    let mut fixture = three_workers();
    drain(&mut fixture, &["a"]);
    for (number, step) in [long_running, gang].into_iter().enumerate() {
        fixture.submit(number as u64 + 1, vec![step]);
        let starts = fixture.starts();
        assert!(!starts.is_empty());
        assert!(starts.iter().all(|(id, _)| *id == worker("b1")), "{starts:?}");
    }
}

/// An owner that can't reach the store does not learn of drains. It continues for less than the
/// time within which a drain has to take effect, and then starts nothing until it knows again.
#[test]
fn an_owner_without_current_drains_starts_no_tasks() {
    let mut fixture = three_workers();
    drain(&mut fixture, &[]);
    fixture.advance(timeouts().drain.0);
    fixture.submit_and_start(1, vec![step(1)]);
    assert_eq!(fixture.running.values().flatten().count(), 1);
    fixture.advance(1);
    fixture.submit(2, vec![step(1)]);
    assert!(fixture.starts().is_empty());
    drain(&mut fixture, &[]);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn jobs_wait_while_all_zones_are_drained() {
    let mut fixture = three_workers();
    drain(&mut fixture, &["a", "b"]);
    fixture.submit(1, vec![step(1)]);
    for _ in 0..5 {
        assert!(fixture.starts().is_empty());
        fixture.advance(DRAIN_READ_PERIOD_MS);
        drain(&mut fixture, &["a", "b"]);
    }
    drain(&mut fixture, &["a"]);
    assert_eq!(fixture.starts()[0].0, worker("b1"));
}

/// Guards against a drain that replaces another instead of being added to it, and against jobs that wait although one zone is
/// left. A second zone is drained while the first one is.
#[test]
fn two_zones_are_drained_at_once_and_restored_one_by_one() {
    let infos = vec![info_in("a1", "a"), info_in("b1", "b"), info_in("c1", "c")];
    let mut fixture = Fixture::ready(infos);
    for drained in [&["a"][..], &["a", "b"]] {
        drain(&mut fixture, drained);
        fixture.poll();
    }
    fixture.submit(1, vec![step(12)]);
    let workers_of = |fixture: &mut Fixture| {
        let starts = fixture.starts();
        for (id, order) in &starts {
            fixture.accept(id, order);
        }
        starts.into_iter().map(|(id, _)| id).collect::<Vec<WorkerId>>()
    };
    assert_eq!(workers_of(&mut fixture), vec![worker("c1"); 4]);
    drain(&mut fixture, &["b"]);
    assert_eq!(workers_of(&mut fixture), vec![worker("a1"); 4]);
    drain(&mut fixture, &[]);
    assert_eq!(workers_of(&mut fixture), vec![worker("b1"); 4]);
}

/// Guards against a start in a zone whose drain the owner does not know: after a lost answer, an order was sent again for
/// the whole lease of its run, also by an owner that no longer knew which zones are drained.
#[test]
fn an_unanswered_order_is_not_resent_without_current_drains() {
    let mut fixture = three_workers();
    drain(&mut fixture, &[]);
    fixture.advance(timeouts().drain.0 - 100);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = || Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost(), fixture.now);
    fixture.advance(60);
    assert_eq!(fixture.starts().len(), 1, "the drains are still current");
    fixture.pool.started(&id, order.task, order.run, lost(), fixture.now);
    fixture.advance(60);
    assert!(fixture.starts().is_empty(), "the order is sent again without current drains");
    drain(&mut fixture, &[]);
    fixture.advance(60);
    assert_eq!(fixture.starts().len(), 1, "the order is sent again once they are known");
}

/// Guards against a job that waits for good: an order that may not be sent again is over with its lease, also if the drains
/// stay unknown.
#[test]
fn an_order_that_is_not_resent_is_settled_by_its_deadline() {
    let mut fixture = three_workers();
    drain(&mut fixture, &[]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    fixture.advance(2 * timeouts().drain.0);
    assert!(fixture.starts().is_empty());
    fixture.advance(1);
    fixture.report(&id);
    drain(&mut fixture, &[]);
    let (_, again) = fixture.starts().remove(0);
    assert!(again.task == order.task && again.run > order.run, "{again:?}");
}

/// Guards against a restored zone that stays unused because its workers are slow at first, and against its use before
/// workers of the usual speed.
#[test]
fn slow_workers_of_a_restored_zone_get_what_others_have_no_room_for() {
    let mut fixture = Fixture::ready(vec![info_in("a1", "a"), info_in("b1", "b")]);
    drain(&mut fixture, &["b"]);
    fixture.submit_and_start(1, vec![step(4)]);
    drain(&mut fixture, &["a"]);
    report_slow_progress(&mut fixture, "a1", 6);
    drain(&mut fixture, &[]);
    for index in 0..4 {
        fixture.end(&worker("a1"), task(1, 0, index), 1, RunEnd::Done);
    }
    fixture.report(&worker("a1"));
    fixture.submit_and_start(2, vec![step(3)]);
    assert_eq!(fixture.running[&worker("b1")].len(), 3, "the usual speed comes first");
    fixture.submit_and_start(3, vec![step(3)]);
    assert_eq!(fixture.running[&worker("b1")].len(), 4);
    assert_eq!(fixture.running[&worker("a1")].len(), 2, "slow workers get the rest");
    for entry in fixture.running.get_mut(&worker("a1")).unwrap() {
        entry.percent = 0;
    }
    report_slow_progress(&mut fixture, "a1", 6);
    assert!(fixture.stops().is_empty(), "runs that progress slowly go on");
}

/// Reports the runs of a worker at a tenth of the usual speed for this number of reports.
fn report_slow_progress(fixture: &mut Fixture, name: &str, reports: u32) {
    for _ in 0..reports {
        fixture.advance(200);
        for entry in fixture.running.get_mut(&worker(name)).unwrap() {
            entry.percent += 2;
        }
        fixture.report(&worker(name));
    }
}

/// A worker of the predecessor whose zone is still unknown gets no tasks before the platform lists
/// it.
#[test]
fn a_worker_known_only_from_the_roster_gets_no_tasks() {
    let found = RecoveredState {
        fences: fences(),
        ..crate::fixture::recovered(vec![], vec![("a1", None)])
    };
    let mut fixture = Fixture::new(found, vec![]);
    drain(&mut fixture, &["a"]);
    fixture.report(&worker("a1"));
    fixture.submit(1, vec![step(1)]);
    assert!(fixture.starts().is_empty());
    fixture.infos.push(info_in("a1", "a"));
    fixture.list();
    assert!(fixture.starts().is_empty());
    assert_eq!(
        fixture.pool.load(fixture.now).workers.iter().filter(|load| load.drained).count(),
        1
    );
}
