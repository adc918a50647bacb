//! Taking charge of a pool.

use std::collections::BTreeMap;

use reachhead_jobs::{
    dead_workers::{self, UnreachableWorker},
    model::Step,
    pool::DeathEvidence,
    ports::{PlatformHost, PlatformHostState, RunEnd},
    record::{LeaseRecord, roster_key},
};
use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, info, left, pool_name, step, task, timeouts, worker};

#[test]
fn a_run_that_a_worker_reports_is_taken_over_and_not_started_again() {
    let mut fixture =
        Fixture::new(left(vec![(1, vec![step(1)])], vec![("w", None)]), vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.runs(&worker("w"), task(1, 0, 0), 3, 50);
    fixture.report(&worker("w"));
    assert!(fixture.starts().is_empty());
    fixture.end(&worker("w"), task(1, 0, 0), 3, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.flush();
    assert!(
        !fixture.pool.jobs().contains_key(&JobId(1)) || fixture.pool.jobs()[&JobId(1)].recorded
    );
}

#[test]
fn an_inherited_task_waits_for_a_worker_that_may_run_it_until_the_predecessors_orders_are_over() {
    let found = left(vec![(1, vec![step(1)])], vec![("w", None), ("v", None)]);
    let mut fixture = Fixture::new(found, vec![info("w", 4), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    for _ in 0..80 {
        assert!(fixture.starts().is_empty(), "the silent worker may run it");
        fixture.pass(100);
        fixture.miss(&worker("v"));
        fixture.report(&worker("w"));
    }
    fixture.pass(1000);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_job_that_is_newer_than_the_closing_of_a_silent_worker_does_not_wait_for_it() {
    let found =
        left(vec![(10, vec![step(1)]), (30, vec![step(1)])], vec![("w", None), ("v", Some(20))]);
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task.job, JobId(30));
}

#[test]
fn a_worker_that_is_silent_and_spent_leaves_the_roster() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.miss(&worker("v"));
    fixture.pass(600);
    fixture.miss(&worker("v"));
    fixture.poll();
    let batch = fixture.batch().unwrap();
    let writes: Vec<_> =
        batch.txn.writes.iter().filter(|write| write.key.0.starts_with("roster/")).collect();
    assert_eq!(writes.len(), 1, "{writes:?}");
    assert_eq!(writes[0].key, roster_key(&pool_name(), &worker("v")));
    assert_eq!(writes[0].value, None, "nothing was granted there");
    fixture.flush();
    fixture.report(&worker("v"));
    fixture.pass(50);
    fixture.poll();
    assert!(fixture.batch().is_some(), "it is entered again before anything is started there");
}

#[test]
fn runs_have_higher_numbers_than_those_of_a_predecessor() {
    let found = left(vec![(1, vec![step(1)])], vec![]);
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    let first = fixture.starts().remove(0).1.run;
    let mut next = Fixture::new(left(vec![(1, vec![step(1)])], vec![]), vec![info("w", 4)]);
    next.pool = reachhead_jobs::pool::Pool::new(
        crate::fixture::pool_name(),
        reachhead_types::size::FencingToken(9),
        1,
        crate::fixture::timeouts(),
        left(vec![(1, vec![step(1)])], vec![]),
        next.now,
        reachhead_types::size::Millis(next.now.0),
    );
    next.list();
    next.poll();
    next.flush();
    next.report(&worker("w"));
    assert!(next.starts().remove(0).1.run.0 > first.0 + 1000);
}

#[test]
fn an_older_run_of_a_task_that_already_has_a_newer_one_is_stopped() {
    let lasting = Step { long_running: true, ..step(1) };
    let found = left(vec![(1, vec![lasting])], vec![("w", None), ("v", None)]);
    let mut fixture = Fixture::new(found, vec![info("w", 4), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.runs(&worker("w"), task(1, 0, 0), 9, 100);
    fixture.report(&worker("w"));
    fixture.runs(&worker("v"), task(1, 0, 0), 4, 100);
    fixture.report(&worker("v"));
    assert_eq!(fixture.stops(), vec![(worker("v"), task(1, 0, 0))]);
}

#[test]
fn a_job_that_is_told_of_late_and_was_over_before_this_owner_came_does_not_run_again() {
    // The owner's token is 7: whatever was stored before that and is still open was read by it.
    let mut fixture = Fixture::ready(vec![info("a", 4)]);
    let early = crate::fixture::record(vec![step(1)], fixture.now.0);
    fixture.pool.submit(JobId(3), &early, Revision(6), fixture.now, Millis(fixture.now.0));
    assert!(fixture.starts().is_empty(), "its row was gone when the rows were read");
    fixture.pool.submit(JobId(4), &early, Revision(8), fixture.now, Millis(fixture.now.0));
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn an_end_of_a_job_that_is_not_known_yet_counts_once_the_job_is() {
    let mut fixture = Fixture::ready(vec![info("a", 4)]);
    let id = worker("a");
    // A predecessor that had lost its lease started the task before the worker saw the new token.
    fixture.end(&id, task(9, 0, 0), 1, RunEnd::Done);
    fixture.report(&id);
    fixture.flush();
    assert_eq!(fixture.pool.workers()[&id].acknowledged, 0, "the job may be told of yet");
    fixture.pass(1000);
    fixture.submit(9, vec![step(1)]);
    assert!(fixture.starts().is_empty(), "its task is done");
    fixture.flush();
    fixture.poll();
    assert_eq!(fixture.pool.workers()[&id].acknowledged, 1);
    assert!(fixture.pool.jobs().is_empty());
}

#[test]
fn an_end_of_a_job_that_nobody_tells_of_is_forgotten_after_a_while() {
    let mut fixture = Fixture::ready(vec![info("a", 4)]);
    let id = worker("a");
    fixture.end(&id, task(9, 0, 0), 1, RunEnd::Done);
    fixture.report(&id);
    for _ in 0..7 {
        fixture.pass(1000);
        fixture.report(&id);
        fixture.poll();
    }
    assert_eq!(fixture.pool.workers()[&id].acknowledged, 1);
}

/// Hosts moved and all processes lost power before the roster said so: the successor asks workers that are gone.
#[test]
fn a_worker_that_nobody_answers_for_holds_the_pool_up_only_until_the_platform_lacks_it() {
    let found = left(vec![(1, vec![step(1)])], vec![("w", None), ("v", None)]);
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    fixture.miss(&worker("v"));
    assert!(fixture.pool.load(fixture.now).deserted.is_empty(), "silence alone proves nothing");
    fixture.desert(&worker("v"));
    assert!(fixture.starts().is_empty(), "it may run there until the platform says otherwise");
    let told: Vec<UnreachableWorker> = fixture
        .pool
        .load(fixture.now)
        .deserted
        .into_iter()
        .map(|worker| UnreachableWorker { pool: pool_name(), worker })
        .collect();
    let host = |id: &str| PlatformHost {
        host: "m".parse().unwrap(),
        pool: pool_name(),
        zone: None,
        state: PlatformHostState::Up,
        worker: Some(worker(id)),
    };
    let machines = |id: &str| BTreeMap::from([("m".parse().unwrap(), host(id))]);
    assert_eq!(
        dead_workers::dead_workers(&told, &machines("v")).count(),
        0,
        "its host still has it"
    );
    let over: Vec<&UnreachableWorker> =
        dead_workers::dead_workers(&told, &machines("another")).collect();
    assert_eq!(over.len(), 1);
    fixture.pool.worker_died(&over[0].worker, DeathEvidence::Unhosted, fixture.now);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_worker_that_answers_again_is_not_deserted() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.desert(&worker("w"));
    assert_eq!(fixture.pool.load(fixture.now).deserted, [worker("w")]);
    fixture.miss(&worker("w"));
    assert!(fixture.pool.load(fixture.now).deserted.is_empty(), "it may be there and not answer");
    fixture.desert(&worker("w"));
    fixture.report(&worker("w"));
    assert!(fixture.pool.load(fixture.now).deserted.is_empty());
}

/// Processes were stopped in turn, three seconds apart, and each that took a pool over waited anew for a worker that was gone: for as
/// long as an owner that may be alive could order it. A task that runs on stood still for 12.7 s, though none of them was alive.
#[test]
fn a_successor_of_one_that_gave_the_pool_back_waits_no_longer_than_that_one_had_to() {
    let found = left(vec![(1, vec![step(1)])], vec![("gone", None)]);
    let whole = found.effect;
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    assert_eq!(fixture.pool.open_time(fixture.now), whole);
    fixture.pass(3000);
    fixture.poll();
    let open = fixture.pool.open_time(fixture.now);
    assert_eq!(open, Millis(whole.0 - 3000));
    let record = |settled, open| LeaseRecord {
        owner: None,
        address: None,
        term: 1,
        settled,
        unsettled_for: open,
    };
    assert_eq!(timeouts().after_release(&record(false, Some(open))), open);
    let leases = timeouts().after_release(&record(true, Some(Millis(0))));
    assert!(leases < open);
    assert_eq!(
        timeouts().after_release(&record(false, Some(Millis(10)))),
        leases,
        "its own orders count"
    );
    assert_eq!(
        timeouts().after_release(&record(false, None)),
        whole,
        "an earlier release does not say"
    );
    fixture.pass(whole.0);
    fixture.poll();
    assert_eq!(fixture.pool.open_time(fixture.now), Millis(0));
}
