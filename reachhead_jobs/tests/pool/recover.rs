//! Tests of recovering a pool after an ownership change.

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

use crate::fixture::{Fixture, info, pool_name, recovered, step, task, timeouts, worker};

#[test]
fn a_reported_run_is_adopted_and_not_started_again() {
    let mut fixture =
        Fixture::new(recovered(vec![(1, vec![step(1)])], vec![("w", None)]), vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.set_running(&worker("w"), task(1, 0, 0), 3, 50);
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
fn a_recovered_task_waits_for_unanswered_workers_until_the_predecessors_orders_expire() {
    let found = recovered(vec![(1, vec![step(1)])], vec![("w", None), ("v", None)]);
    let mut fixture = Fixture::new(found, vec![info("w", 4), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    for _ in 0..80 {
        assert!(fixture.starts().is_empty(), "the unreachable worker may run it");
        fixture.advance(100);
        fixture.fail_poll(&worker("v"));
        fixture.report(&worker("w"));
    }
    fixture.advance(1000);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_job_newer_than_the_closing_of_an_unreachable_worker_does_not_wait_for_it() {
    let found = recovered(
        vec![(10, vec![step(1)]), (30, vec![step(1)])],
        vec![("w", None), ("v", Some(20))],
    );
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task.job, JobId(30));
}

#[test]
fn an_unreachable_worker_with_expired_leases_leaves_the_roster() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.fail_poll(&worker("v"));
    fixture.advance(600);
    fixture.fail_poll(&worker("v"));
    fixture.poll();
    let batch = fixture.batch().unwrap();
    let writes: Vec<_> =
        batch.txn.writes.iter().filter(|write| write.key.0.starts_with("roster/")).collect();
    assert_eq!(writes.len(), 1, "{writes:?}");
    assert_eq!(writes[0].key, roster_key(&pool_name(), &worker("v")));
    assert_eq!(writes[0].value, None, "no lease was granted there");
    fixture.flush();
    fixture.report(&worker("v"));
    fixture.advance(50);
    fixture.poll();
    assert!(
        fixture.batch().is_some(),
        "the worker is recorded again before a task is started there"
    );
}

#[test]
fn runs_have_higher_numbers_than_those_of_a_predecessor() {
    let found = recovered(vec![(1, vec![step(1)])], vec![]);
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    let first = fixture.starts().remove(0).1.run;
    let mut next = Fixture::new(recovered(vec![(1, vec![step(1)])], vec![]), vec![info("w", 4)]);
    next.pool = reachhead_jobs::pool::Pool::new(
        crate::fixture::pool_name(),
        reachhead_types::size::FencingToken(9),
        1,
        crate::fixture::timeouts(),
        recovered(vec![(1, vec![step(1)])], vec![]),
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
    let long_running = Step { long_running: true, ..step(1) };
    let found = recovered(vec![(1, vec![long_running])], vec![("w", None), ("v", None)]);
    let mut fixture = Fixture::new(found, vec![info("w", 4), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.set_running(&worker("w"), task(1, 0, 0), 9, 100);
    fixture.report(&worker("w"));
    fixture.set_running(&worker("v"), task(1, 0, 0), 4, 100);
    fixture.report(&worker("v"));
    assert_eq!(fixture.stops(), vec![(worker("v"), task(1, 0, 0))]);
}

#[test]
fn a_late_submission_of_a_job_that_ended_before_this_owner_is_ignored() {
    // The owner's token is 7: it has read every earlier row that still existed.
    let mut fixture = Fixture::ready(vec![info("a", 4)]);
    let early = crate::fixture::record(vec![step(1)], fixture.now.0);
    fixture.pool.submit(JobId(3), &early, Revision(6), fixture.now, Millis(fixture.now.0));
    assert!(fixture.starts().is_empty(), "its row did not exist at recovery");
    fixture.pool.submit(JobId(4), &early, Revision(8), fixture.now, Millis(fixture.now.0));
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn an_end_of_an_unknown_job_counts_once_the_job_is_submitted() {
    let mut fixture = Fixture::ready(vec![info("a", 4)]);
    let id = worker("a");
    // A predecessor that had lost its lease started the task before the worker saw the new token.
    fixture.end(&id, task(9, 0, 0), 1, RunEnd::Done);
    fixture.report(&id);
    fixture.flush();
    assert_eq!(fixture.pool.workers()[&id].acknowledged, 0, "the job may still be submitted");
    fixture.advance(1000);
    fixture.submit(9, vec![step(1)]);
    assert!(fixture.starts().is_empty(), "its task is done");
    fixture.flush();
    fixture.poll();
    assert_eq!(fixture.pool.workers()[&id].acknowledged, 1);
    assert!(fixture.pool.jobs().is_empty());
}

/// Hosts were moved and all processes lost power before the roster was updated, so the successor
/// polls workers that are gone.
#[test]
fn a_worker_that_refuses_connections_blocks_recovery_only_until_its_host_is_gone() {
    let found = recovered(vec![(1, vec![step(1)])], vec![("w", None), ("v", None)]);
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    fixture.fail_poll(&worker("v"));
    assert!(
        fixture.pool.load(fixture.now).deserted.is_empty(),
        "a missing answer alone proves nothing"
    );
    fixture.refuse_connection(&worker("v"));
    assert!(
        fixture.starts().is_empty(),
        "the task may run there while the platform lists the worker"
    );
    let unreachable: Vec<UnreachableWorker> = fixture
        .pool
        .load(fixture.now)
        .deserted_incarnations()
        .map(|incarnation| UnreachableWorker { pool: pool_name(), incarnation })
        .collect();
    let host = |id: &str| PlatformHost {
        host: "m".parse().unwrap(),
        pool: pool_name(),
        zone: None,
        state: PlatformHostState::Up,
        worker: Some(worker(id)),
    };
    let hosts = |id: &str| BTreeMap::from([("m".parse().unwrap(), host(id))]);
    assert_eq!(
        dead_workers::dead_workers(&unreachable, &hosts("v")).count(),
        0,
        "its host still has it"
    );
    let dead: Vec<&UnreachableWorker> =
        dead_workers::dead_workers(&unreachable, &hosts("another")).collect();
    assert_eq!(dead.len(), 1);
    fixture.pool.worker_died(&dead[0].incarnation.worker, DeathEvidence::Unhosted, fixture.now);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_worker_that_answers_again_is_no_longer_reported_as_deserted() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.refuse_connection(&worker("w"));
    assert_eq!(fixture.pool.load(fixture.now).deserted, [worker("w")]);
    fixture.fail_poll(&worker("w"));
    assert!(
        fixture.pool.load(fixture.now).deserted.is_empty(),
        "the worker may be alive without answering"
    );
    fixture.refuse_connection(&worker("w"));
    fixture.report(&worker("w"));
    assert!(fixture.pool.load(fixture.now).deserted.is_empty());
}

/// Processes were stopped in turn, three seconds apart, and each one that took a pool over waited
/// for a vanished worker from the beginning: for as long as an owner that may be alive could give
/// it orders. A long-running task was down for 12.7 s, though none of the previous owners was
/// alive.
#[test]
fn a_successor_after_a_release_waits_no_longer_than_the_previous_owner() {
    let found = recovered(vec![(1, vec![step(1)])], vec![("gone", None)]);
    let full_delay = found.effect.longest(found.verified);
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    assert_eq!(fixture.pool.remaining_takeover_delay(fixture.now), full_delay);
    fixture.advance(3000);
    fixture.poll();
    let remaining = fixture.pool.remaining_takeover_delay(fixture.now);
    assert_eq!(remaining, Millis(full_delay.0 - 3000));
    let record = |settled, unsettled_for| LeaseRecord {
        owner: None,
        address: None,
        term: 1,
        settled,
        unsettled_for,
        abandoned: 0,
        knows_storer: false,
        silent: None,
        earlier: None,
    };
    assert_eq!(timeouts().after_release(&record(false, Some(remaining))), remaining);
    let abandoned = record(true, Some(Millis(0))).abandoned(remaining, None);
    assert_eq!(timeouts().after_release(&abandoned), remaining, "an earlier owner may be alive");
    let leases = timeouts().after_release(&record(true, Some(Millis(0))));
    assert!(leases < remaining);
    assert_eq!(
        timeouts().after_release(&record(false, Some(Millis(10)))),
        leases,
        "its own orders remain effective"
    );
    assert_eq!(
        timeouts().after_release(&record(false, None)),
        full_delay,
        "an earlier release does not record it"
    );
    fixture.advance(full_delay.0);
    fixture.poll();
    assert_eq!(fixture.pool.remaining_takeover_delay(fixture.now), Millis(0));
}

/// An owner that can't confirm its own lease renews none, so its orders don't show how long a run of
/// its predecessor may go on.
#[test]
fn a_run_of_a_worker_that_is_silent_after_its_first_report_lasts_for_the_predecessors_lease() {
    let found = recovered(vec![(1, vec![step(1)])], vec![("w", None), ("v", None)]);
    let mut fixture = Fixture::new(found, vec![info("w", 4), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.now = fixture.now + Millis(timeouts().trust.0 + 100);
    fixture.set_running(&worker("w"), task(1, 0, 0), 3, 10);
    fixture.report(&worker("w"));
    fixture.report(&worker("v"));
    fixture.pool.poll(fixture.now, Millis(fixture.now.0));
    for _ in 0..timeouts().hold.0 / 500 {
        fixture.fail_poll(&worker("w"));
        assert!(fixture.starts().is_empty(), "it runs on the silent worker");
        fixture.advance(500);
        fixture.report(&worker("v"));
    }
    fixture.advance(500);
    fixture.report(&worker("v"));
    assert_eq!(fixture.starts().len(), 1);
}
