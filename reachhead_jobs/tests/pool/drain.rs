//! Zones that operators drain.

use std::collections::BTreeSet;

use reachhead_jobs::{
    model::Step,
    pool::RecoveredState,
    ports::{RunEnd, WorkerError, WorkerInfo},
};
use reachhead_types::id::ZoneName;

use crate::fixture::{Fixture, fences, info, step, task, timeouts, worker};

/// How often the fixture's owner is told what operators want.
const FOLLOW_TIME: u64 = 1000;

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

fn info_in(name: &str, zone: &str) -> WorkerInfo {
    WorkerInfo { zone: zone.parse().unwrap(), ..info(name, 4) }
}

/// Two workers in one zone and one in another.
fn site() -> Fixture {
    Fixture::ready(vec![info_in("a1", "a"), info_in("a2", "a"), info_in("b1", "b")])
}

fn drain(fixture: &mut Fixture, names: &[&str]) {
    let now = fixture.now;
    fixture.pool.drain_zones(&zones(names), now);
}

/// Operators emptied a zone before its power was cut, and tasks were started there all the same: nothing knew of drained zones.
#[test]
fn nothing_starts_in_a_drained_zone_and_what_runs_there_may_finish() {
    let mut fixture = site();
    drain(&mut fixture, &[]);
    fixture.begin(1, vec![step(12)]);
    let there = fixture.running[&worker("a1")][0].clone();
    drain(&mut fixture, &["a"]);
    fixture.submit(2, vec![step(6)]);
    assert!(fixture.starts().is_empty(), "the other zone is full");
    assert!(fixture.stops().is_empty(), "what runs there is left alone");
    fixture.end(&worker("a1"), there.task, there.run.0, RunEnd::Done);
    fixture.report(&worker("a1"));
    assert!(fixture.starts().is_empty(), "room in the zone is no room");
    let freed = fixture.running[&worker("b1")][0].clone();
    fixture.end(&worker("b1"), freed.task, freed.run.0, RunEnd::Done);
    fixture.report(&worker("b1"));
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, worker("b1"));
    drain(&mut fixture, &[]);
    let starts = fixture.starts();
    assert!(starts.iter().any(|(id, _)| *id == worker("a1")), "it is used again: {starts:?}");
}

/// A worker that registers during the drain, and one that a new owner meets, are in the zone like any other.
#[test]
fn a_worker_that_joins_a_drained_zone_gets_nothing() {
    let mut fixture = site();
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

/// An order whose answer was lost was repeated, for seconds, and began in the zone long after the drain. It is barred instead.
#[test]
fn an_order_without_an_answer_is_not_repeated_into_a_drained_zone() {
    let mut fixture = Fixture::ready(vec![info_in("a1", "a")]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    drain(&mut fixture, &["a"]);
    fixture.pass(100);
    assert_eq!(fixture.stops(), [(worker("a1"), task(1, 0, 0))]);
}

/// Tasks that run on, copies, gangs and steps with a spread look for their place as others do.
#[test]
fn all_kinds_of_steps_keep_out_of_a_drained_zone() {
    let lasting = Step { long_running: true, spread: 1, ..step(3) };
    let gang = Step { gang: true, ..step(2) };
    let mut fixture = site();
    drain(&mut fixture, &["a"]);
    for (number, step) in [lasting, gang].into_iter().enumerate() {
        fixture.submit(number as u64 + 1, vec![step]);
        let starts = fixture.starts();
        assert!(!starts.is_empty());
        assert!(starts.iter().all(|(id, _)| *id == worker("b1")), "{starts:?}");
    }
}

/// An owner that the store turns away does not hear of drains. It goes on for less than the time in which one has to be in
/// force, and then starts nothing until it knows.
#[test]
fn an_owner_that_does_not_know_what_is_drained_starts_nothing() {
    let mut fixture = site();
    drain(&mut fixture, &[]);
    fixture.pass(timeouts().drain.0);
    fixture.begin(1, vec![step(1)]);
    assert_eq!(fixture.running.values().flatten().count(), 1);
    fixture.pass(1);
    fixture.submit(2, vec![step(1)]);
    assert!(fixture.starts().is_empty());
    drain(&mut fixture, &[]);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn all_zones_drained_leaves_jobs_waiting_until_one_is_back() {
    let mut fixture = site();
    drain(&mut fixture, &["a", "b"]);
    fixture.submit(1, vec![step(1)]);
    for _ in 0..5 {
        assert!(fixture.starts().is_empty());
        fixture.pass(FOLLOW_TIME);
        drain(&mut fixture, &["a", "b"]);
    }
    drain(&mut fixture, &["a"]);
    assert_eq!(fixture.starts()[0].0, worker("b1"));
}

/// A worker of the predecessor whose zone is not known yet gets nothing before the platform's list names it.
#[test]
fn a_worker_that_only_the_roster_names_gets_nothing() {
    let found =
        RecoveredState { fences: fences(), ..crate::fixture::left(vec![], vec![("a1", None)]) };
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
