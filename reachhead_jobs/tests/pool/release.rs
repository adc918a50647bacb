//! Workers whose hosts are to leave their pool.

use std::collections::BTreeSet;

use reachhead_jobs::{
    model::Step,
    pool::{Allotment, PoolLoad},
    ports::RunEnd,
};
use reachhead_types::id::WorkerId;

use crate::fixture::{Fixture, info, step, task, worker};

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// The end of a turn: each of four workers of four cores has one short task left, of one job.
fn thinned_out() -> Fixture {
    let mut fixture = Fixture::ready(NAMES.iter().map(|name| info(name, 4)).collect());
    fixture.begin(1, vec![step(16)]);
    let runs: Vec<_> =
        fixture.running.iter().map(|(id, runs)| (id.clone(), runs.clone())).collect();
    for (id, runs) in runs {
        for entry in &runs[1..] {
            fixture.end(&id, entry.task, entry.run.0, RunEnd::Done);
        }
        fixture.report(&id);
    }
    fixture.flush();
    fixture
}

fn load(fixture: &mut Fixture) -> PoolLoad {
    fixture.pool.load(fixture.now)
}

fn used(load: &PoolLoad) -> BTreeSet<WorkerId> {
    load.workers.iter().filter(|load| load.used > 0).map(|load| load.worker.clone()).collect()
}

/// Short jobs go on arriving; returns the workers that get their tasks.
fn arrive(fixture: &mut Fixture, id: u64, count: u32) -> BTreeSet<WorkerId> {
    fixture.submit(id, vec![step(count)]);
    fixture.starts().into_iter().map(|(id, _)| id).collect()
}

#[test]
fn hosts_that_others_lack_get_empty_though_work_goes_on_arriving() {
    let mut fixture = thinned_out();
    assert_eq!(used(&load(&mut fixture)).len(), 4);
    fixture.pool.release(Allotment { hosts: 2, urgent: true }, fixture.now);
    let first = arrive(&mut fixture, 2, 8);
    assert_eq!(first.len(), 2, "{first:?}");
    // The decision is the same two hosts again, whatever has ended meanwhile.
    fixture.pass(100);
    fixture.pool.release(Allotment { hosts: 2, urgent: true }, fixture.now);
    let left = arrive(&mut fixture, 3, 4);
    assert!(left.is_subset(&first), "{left:?} beside {first:?}");
}

#[test]
fn hosts_that_nobody_else_lacks_are_used_last() {
    let mut fixture = thinned_out();
    fixture.pool.release(Allotment { hosts: 2, urgent: false }, fixture.now);
    assert_eq!(arrive(&mut fixture, 2, 6).len(), 2);
    assert_eq!(arrive(&mut fixture, 3, 3).len(), 1, "they are used before work waits");
}

#[test]
fn a_pool_uses_all_its_hosts_again_once_nobody_decides_any_more() {
    let mut fixture = thinned_out();
    fixture.pool.release(Allotment { hosts: 2, urgent: true }, fixture.now);
    fixture.pass(400);
    assert_eq!(arrive(&mut fixture, 2, 12).len(), 4);
}

#[test]
fn hosts_with_tasks_that_run_on_are_not_chosen() {
    let mut fixture = Fixture::ready(NAMES.iter().map(|name| info(name, 4)).collect());
    fixture.begin(1, vec![Step { long_running: true, spread: 1, ..step(2) }]);
    fixture.pool.release(Allotment { hosts: 2, urgent: true }, fixture.now);
    let settled: BTreeSet<WorkerId> = [worker("a"), worker("b")].into();
    assert_eq!(arrive(&mut fixture, 2, 6), settled);
    assert!(arrive(&mut fixture, 3, 1).is_empty(), "{:?}", task(3, 0, 0));
}
