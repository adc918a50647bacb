//! Tests of what an owner records of a restart that the worker's registration does not show yet. Guards
//! against a successor that takes a restarted worker for the earlier incarnation, and counts the usual lease
//! where the worker can't be reached. See `docs/design/restarted-workers.md`.

use reachhead_jobs::{
    incarnation::Incarnation,
    pool::{Action, RecoveredState, StoredRoster},
    ports::WorkerInfo,
    record::{RosterEntry, roster_key},
};
use reachhead_store::row::{Commit, Row};
use reachhead_types::{
    id::WorkerId,
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, START, info, pool_name, recovered, step, timeouts, worker};

/// Start time of the registered incarnation.
const OLD_START: u64 = 1000;

/// Start time of the next incarnation, which has been up for five seconds when the tests begin.
const YOUNG_START: u64 = START.0 - 5000;

/// Bound on the time after which a task may start elsewhere, beyond the lease: the drift of the
/// worker's clock, and the step of the tests.
const SLACK: u64 = 500;

const STEP: u64 = 100;

fn listed(name: &str, started_at: u64) -> WorkerInfo {
    WorkerInfo { started_at: Some(Millis(started_at)), ..info(name, 4) }
}

/// Lets `w` report as an incarnation, while the platform's list still has the earlier one.
fn report_as(fixture: &mut Fixture, started_at: u64) {
    let infos = std::mem::replace(&mut fixture.infos, vec![listed("w", started_at)]);
    fixture.report(&worker("w"));
    fixture.infos = infos;
}

/// Commits all pending transactions, and returns the roster rows that they wrote.
fn write_roster(fixture: &mut Fixture) -> Vec<RosterEntry> {
    let mut entries = Vec::new();
    fixture.poll();
    while let Some(batch) = fixture.batch() {
        let revision = Revision(200);
        for write in &batch.txn.writes {
            let Some(value) = write.value.clone().filter(|_| is_roster_key(&write.key.0)) else {
                continue;
            };
            let row = Row { key: write.key.clone(), value, revision };
            entries.push(row.parse::<RosterEntry>().unwrap());
        }
        assert!(fixture.pool.decided(&batch, &Commit::Done(revision), fixture.now));
        fixture.poll();
    }
    entries
}

fn is_roster_key(key: &str) -> bool {
    key == roster_key(&pool_name(), &worker("w")).0
}

/// Returns what a successor finds of a job that may run on `w`, whose restart its predecessor recorded.
fn found(started_at: u64) -> RecoveredState {
    let found = recovered(vec![(1, vec![step(1)])], vec![("w", None)]);
    let mut roster: StoredRoster = found.roster;
    let stored = roster.workers.get_mut(&worker("w")).unwrap();
    stored.entry.as_mut().unwrap().started_at = Some(Millis(started_at));
    RecoveredState { roster, ..found }
}

/// Returns for how long the task waits before it starts on `v`, while no poll of `w` is answered.
fn wait_for_start(fixture: &mut Fixture) -> Millis {
    fixture.infos.push(listed("v", OLD_START));
    fixture.list();
    let begun = fixture.now;
    loop {
        let started: Vec<WorkerId> = Fixture::started_on(fixture.poll());
        if !started.is_empty() {
            assert_eq!(started, [worker("v")]);
            return fixture.now.since(begun);
        }
        assert!(fixture.now.since(begun) < Millis(60_000), "the task never starts");
        fixture.advance(STEP);
        fixture.fail_poll(&worker("w"));
        fixture.report(&worker("v"));
        fixture.flush();
    }
}

fn assert_about(wait: Millis, expected: Millis) {
    assert!(wait >= expected, "{wait} is less than the lease of {expected}");
    assert!(wait.0 <= expected.0 + SLACK, "{wait} is longer than the lease of {expected}");
}

#[test]
fn a_restart_that_is_not_registered_yet_is_recorded_once() {
    let mut fixture = Fixture::ready(vec![listed("w", OLD_START)]);
    report_as(&mut fixture, YOUNG_START);
    let written = write_roster(&mut fixture);
    let starts: Vec<_> = written.iter().map(|entry| entry.started_at).collect();
    assert_eq!(starts, [Some(Millis(YOUNG_START))]);
    fixture.infos = vec![listed("w", YOUNG_START)];
    for _ in 0..3 {
        fixture.advance(STEP);
        fixture.list();
        fixture.report(&worker("w"));
        assert!(write_roster(&mut fixture).is_empty(), "the row is up to date");
    }
}

/// A zone that restarts would cost a write for each of its workers, which successors don't need where they
/// read the new registrations.
#[test]
fn a_restart_that_is_registered_is_not_recorded() {
    let mut fixture = Fixture::ready(vec![listed("w", OLD_START)]);
    fixture.infos = vec![listed("w", YOUNG_START)];
    fixture.list();
    fixture.report(&worker("w"));
    assert!(write_roster(&mut fixture).is_empty());
}

/// The worker is cut off soon after the restart, and a closed row must not lose its start.
#[test]
fn a_recorded_restart_is_kept_while_the_worker_does_not_answer() {
    let mut fixture = Fixture::ready(vec![listed("w", OLD_START)]);
    report_as(&mut fixture, YOUNG_START);
    write_roster(&mut fixture);
    fixture.fail_poll(&worker("w"));
    fixture.advance(1000);
    let written = write_roster(&mut fixture);
    assert!(written.iter().all(|entry| entry.closed.is_some()), "{written:?}");
    let starts: Vec<_> = written.iter().map(|entry| entry.started_at).collect();
    assert_eq!(starts, [Some(Millis(YOUNG_START))]);
}

#[test]
fn a_successor_waits_for_the_longest_lease_of_a_young_incarnation_that_is_not_registered() {
    let wait =
        |started_at| wait_for_start(&mut Fixture::new(found(started_at), vec![listed("w", 500)]));
    let trust = timeouts().trust;
    assert_about(wait(YOUNG_START), Millis(trust.0 + timeouts().grant.0));
    assert_about(wait(OLD_START), Millis(trust.0 + timeouts().hold.0));
}

/// The end of the registered incarnation was taken for the end of the one that its predecessor had used.
#[test]
fn the_end_of_the_registered_incarnation_does_not_end_a_recorded_one() {
    let mut fixture = Fixture::new(found(YOUNG_START), vec![listed("w", OLD_START)]);
    let ended = Incarnation::new(worker("w")).with_start(Some(Millis(OLD_START)));
    fixture.pool.worker_unhosted(&ended, fixture.now);
    let expected = Millis(timeouts().trust.0 + timeouts().grant.0);
    assert_about(wait_for_start(&mut fixture), expected);
}

/// The same where the successor learns of the end of the recorded incarnation: nothing is left there.
#[test]
fn the_end_of_the_recorded_incarnation_ends_the_wait() {
    let mut fixture = Fixture::new(found(YOUNG_START), vec![listed("w", OLD_START)]);
    let ended = Incarnation::new(worker("w")).with_start(Some(Millis(YOUNG_START)));
    fixture.fail_poll(&worker("w"));
    fixture.pool.worker_unhosted(&ended, fixture.now);
    assert!(wait_for_start(&mut fixture) <= Millis(SLACK));
}

/// A worker whose incarnation was recorded gets tasks once it answers and is registered, and its row stays.
#[test]
fn a_successor_uses_a_recorded_incarnation_once_it_is_registered() {
    let mut fixture = Fixture::new(found(YOUNG_START), vec![listed("w", YOUNG_START)]);
    fixture.poll();
    fixture.report(&worker("w"));
    assert!(write_roster(&mut fixture).is_empty());
    assert_eq!(fixture.pool.workers()[&worker("w")].runs.len(), 1);
}

/// Guards against a successor that takes the end of a recorded incarnation, read before the platform's list of
/// workers, for the end of a later one that was registered before it was noticed and so is not in the row.
#[test]
fn the_end_of_a_recorded_incarnation_waits_for_the_list() {
    let mut fixture = Fixture::unlisted(found(OLD_START + 500));
    let ended = Incarnation::new(worker("w")).with_start(Some(Millis(OLD_START + 500)));
    fixture.pool.worker_unhosted(&ended, fixture.now);
    fixture.fail_poll(&worker("w"));
    assert!(fixture.pool.workers().contains_key(&worker("w")), "a later one may be listed");
}

/// The same with what a caller sees: the task starts elsewhere while the later incarnation may run it.
#[test]
fn a_task_on_a_later_incarnation_than_the_recorded_one_is_not_moved_at_once() {
    let mut fixture = Fixture::unlisted(found(OLD_START + 500));
    let ended = Incarnation::new(worker("w")).with_start(Some(Millis(OLD_START + 500)));
    fixture.fail_poll(&worker("w"));
    fixture.pool.worker_unhosted(&ended, fixture.now);
    fixture.infos = vec![listed("w", OLD_START + 900)];
    let wait = wait_for_start(&mut fixture);
    assert!(wait >= Millis(timeouts().hold.0), "moved after {wait}");
}

/// Guards against taking an old incarnation that a stale row does not name for one that has just restarted: it
/// gets nothing for 15 s if one poll at the takeover was lost.
#[test]
fn a_stale_row_makes_no_restart_of_a_takeover() {
    for recorded in [None, Some(OLD_START)] {
        let mut state = found(OLD_START);
        let stored = state.roster.workers.get_mut(&worker("w")).unwrap();
        stored.entry.as_mut().unwrap().started_at = recorded.map(Millis);
        let mut fixture = Fixture::new(state, vec![listed("w", OLD_START + 900)]);
        fixture.poll();
        fixture.fail_poll(&worker("w"));
        fixture.advance(200);
        fixture.poll();
        fixture.report(&worker("w"));
        let known = &fixture.pool.workers()[&worker("w")];
        assert!(!known.expects_late_calls(fixture.now), "recorded={recorded:?}");
        assert_eq!(known.restarted_at, None, "recorded={recorded:?}");
    }
}

/// Guards against polls without a pause of a worker whose clock was set back between two incarnations, and that
/// is registered: each of its reports is taken for that of an ended one.
#[test]
fn a_worker_that_started_before_the_recorded_start_is_not_polled_without_a_pause() {
    let mut fixture = Fixture::new(found(OLD_START + 900), vec![listed("w", OLD_START)]);
    let mut polls = 0;
    for _ in 0..1000 {
        let is_poll = |action: &Action| {
            matches!(action, Action::Hold(target, order)
                if target.id == worker("w") && order.wait == Millis(0))
        };
        if fixture.poll().iter().any(is_poll) {
            polls += 1;
            fixture.report(&worker("w"));
        }
        fixture.advance(9);
        fixture.list();
        fixture.flush();
    }
    let known = &fixture.pool.workers()[&worker("w")];
    assert!(polls < 100, "{polls} polls in 10 s, obstacle={:?}", known.obstacle(fixture.now));
}

/// The same worker is of use at some time.
#[test]
fn a_worker_that_started_before_the_recorded_start_is_used_at_last() {
    let mut fixture = Fixture::new(found(OLD_START + 900), vec![listed("w", OLD_START)]);
    for _ in 0..600 {
        fixture.poll();
        fixture.report(&worker("w"));
        fixture.advance(100);
        fixture.list();
        fixture.flush();
    }
    let known = &fixture.pool.workers()[&worker("w")];
    assert_eq!(known.obstacle(fixture.now), None);
}

/// Guards against a worker of whose kind nothing is known for as long as its registration is that of the earlier
/// incarnation: its zone, and that it is not shutting down, were known from that before.
#[test]
fn a_recorded_incarnation_that_never_registers_is_named_as_that() {
    let mut fixture = Fixture::new(found(YOUNG_START), vec![listed("w", OLD_START)]);
    report_as(&mut fixture, YOUNG_START);
    fixture.list();
    write_roster(&mut fixture);
    let known = &fixture.pool.workers()[&worker("w")];
    assert_eq!(known.obstacle(fixture.now).map(|obstacle| obstacle.name()), Some("unregistered"));
    assert_eq!(known.info.zone, info("w", 4).zone);
}
