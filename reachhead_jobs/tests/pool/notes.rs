//! Tests of what operators are told about long-running tasks without a run and suspended workers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use reachhead_jobs::{
    customer::{Customer, Customers, Quota},
    model::{AdvicePolicy, Queue, Step},
    obstacle::Obstacle,
    pool::{DeathEvidence, NoteKind, WaitReason},
    ports::{Approval, Rejection, RunEnd, WorkerError},
    record::JobRecord,
    start_pace::StartPacer,
};
use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::JobId,
    size::{ByteRate, Millis, Revision, Weight},
};

use crate::fixture::{Fixture, info, queue, record, recovered, step, task, worker};

fn lasting(count: u32) -> Step {
    Step { long_running: true, spread: 1, ..step(count) }
}

fn two_workers() -> Fixture {
    Fixture::ready(vec![info("w1", 16), info("w2", 16)])
}

fn submit_record(fixture: &mut Fixture, id: u64, record: JobRecord) {
    let record = JobRecord { accepted: Millis(fixture.now.0), ..record };
    fixture.pool.submit(JobId(id), &record, Revision(50 + id), fixture.now, Millis(fixture.now.0));
}

/// Starts what fits, and lets it be up.
fn start(fixture: &mut Fixture) {
    for (id, order) in fixture.starts() {
        fixture.accept(&id, &order);
        fixture.set_running(&id, order.task, order.run.0, 100);
    }
}

fn texts(fixture: &mut Fixture, kind: NoteKind) -> Vec<String> {
    let notes = fixture.pool.take_notes();
    notes.into_iter().filter(|note| note.kind == kind).map(|note| note.text).collect()
}

/// Lets the time pass in rounds of 100 ms after which all workers report, and returns the lines
/// about tasks without a run, with the time of each.
fn watch(fixture: &mut Fixture, millis: u64) -> Vec<(u64, String)> {
    let mut lines = Vec::new();
    for _ in 0..millis / 100 {
        fixture.now = fixture.now + Millis(100);
        fixture.pool.poll(fixture.now, Millis(fixture.now.0));
        let now = fixture.now.0;
        lines.extend(texts(fixture, NoteKind::TaskUnplaced).into_iter().map(|line| (now, line)));
        for info in fixture.infos.clone() {
            fixture.report(&info.id);
        }
    }
    lines
}

/// Asserts the end of the first line.
#[track_caller]
fn assert_told(fixture: &mut Fixture, end: &str) {
    let lines = watch(fixture, 2500);
    assert!(lines.first().is_some_and(|(_, line)| line.ends_with(end)), "{end}: {lines:?}");
}

/// A long-running task waited and no line said so; short tasks that wait must not fill the log.
#[test]
fn a_step_that_waits_is_logged_every_three_seconds_if_it_is_long_running() {
    let mut fixture = two_workers();
    fixture.submit(1, vec![lasting(3)]);
    start(&mut fixture);
    fixture.submit(2, vec![step(99)]);
    start(&mut fixture);
    fixture.pool.verify(fixture.now + Millis(8000));
    let lines = watch(&mut fixture, 8000);
    let ages: Vec<u64> = lines.iter().map(|(at, _)| at - lines[0].0).collect();
    assert!(matches!(*ages, [0, 3000..3600, 6000..7200]), "{lines:?}");
    let (_, first) = &lines[0];
    assert!(first.starts_with("job=0000000000000001 step=0.0 tasks=1 waited=1"), "{first}");
    assert!(
        first.ends_with("why=no-place compared=2 fitting=0 workers=spread:2"),
        "the capacity is not reached by then: {first}"
    );
    let summary = fixture.pool.unplaced(fixture.now);
    assert_eq!(summary.tasks, 1);
    assert_eq!(summary.reasons, BTreeMap::from([(WaitReason::NoPlace, 1)]));
    assert_eq!(summary.obstacles, BTreeMap::from([(Obstacle::Spread, 2)]));
    assert!(summary.oldest >= Millis(7500), "{}", summary.oldest);
    fixture.pool.cancel_for(JobId(1), None);
    watch(&mut fixture, 600);
    assert_eq!(fixture.pool.unplaced(fixture.now).tasks, 0, "an ended job waits for nothing");
}

/// With many waiting steps the log would have been full of them, or always of the same four.
#[test]
fn a_check_logs_four_steps_and_all_get_their_turn() {
    let mut fixture = two_workers();
    let nowhere = Step { label: Some("nowhere".parse().unwrap()), ..lasting(1) };
    (1..=20).for_each(|id| fixture.submit(id, vec![nowhere.clone()]));
    let lines = watch(&mut fixture, 5000);
    let mut checks: BTreeMap<u64, u32> = BTreeMap::new();
    lines.iter().for_each(|(at, _)| *checks.entry(*at).or_default() += 1);
    assert!(checks.values().all(|lines| *lines <= 4), "{checks:?}");
    let jobs: BTreeSet<&str> = lines.iter().filter_map(|(_, line)| line.get(..20)).collect();
    assert_eq!(jobs.len(), 20, "{lines:?}");
}

/// Lines that said only "no place" hid that nothing was looked for at all.
#[test]
fn the_reason_names_what_holds_the_whole_step() {
    let mut fixture = two_workers();
    fixture.submit(1, vec![lasting(1)]);
    fixture.pool.verify(fixture.now);
    fixture.now = fixture.now + Millis(4100);
    assert_told(&mut fixture, "why=lease-unconfirmed compared=0 fitting=2 workers=none");

    let mut fixture = two_workers();
    fixture.pool.drain_zones(&BTreeSet::new(), fixture.now);
    fixture.advance(4100);
    fixture.pool.verify(fixture.now + Millis(9000));
    fixture.submit(1, vec![lasting(1)]);
    assert_told(&mut fixture, "why=drains-unknown compared=0 fitting=2 workers=none");

    let found = recovered(vec![(1, vec![lasting(1)])], vec![("lost", None)]);
    let mut fixture = Fixture::new(found, vec![info("w1", 16)]);
    assert_told(
        &mut fixture,
        "why=predecessor-workers compared=0 fitting=0 workers=unlisted:1,unrostered:1 \
         awaited=lost others=0 left=6466ms",
    );

    let mut fixture = two_workers();
    fixture.submit(1, vec![lasting(1)]);
    start(&mut fixture);
    fixture.pool.worker_died(&worker("w1"), DeathEvidence::Replaced, fixture.now);
    fixture.pool.worker_died(&worker("w2"), DeathEvidence::Replaced, fixture.now);
    assert_told(&mut fixture, "why=crash-unrecorded compared=0 fitting=0 workers=none");

    let mut fixture = two_workers();
    fixture.advance(470);
    fixture.submit(1, vec![lasting(1)]);
    for (id, order) in fixture.starts() {
        let error = Err(WorkerError::Rejected(Rejection::Room));
        fixture.pool.started(&id, order.task, order.run, error, fixture.now);
    }
    fixture.advance(30);
    fixture.poll();
    let reasons = fixture.pool.unplaced(fixture.now).reasons;
    assert_eq!(reasons, BTreeMap::from([(WaitReason::RetryPause, 1)]));

    let mut fixture = two_workers();
    let quota = Quota(Amount::new(1000, 0, 0));
    let limited = Customer { name: "one".parse().unwrap(), weight: Weight(1), quota };
    let name = limited.name.clone();
    fixture.pool.configure(&Arc::new(Customers::new().with_customer(limited, [])));
    let held = JobRecord { customer: Some(name), ..record(vec![lasting(1)], 0) };
    submit_record(&mut fixture, 1, held);
    assert_told(&mut fixture, "why=quota compared=0 fitting=2 workers=none");
}

/// A step held to the approved workers looked like one for which no worker has room.
#[test]
fn workers_without_approval_are_told_from_workers_without_room() {
    let mut fixture = two_workers();
    let policy =
        AdvicePolicy { decision: Millis(0), per_worker: Millis(0), validity: Millis(9000) };
    let advised = Arc::new(Queue { advice: Some(policy), ..Queue::clone(&queue()) });
    let plan = record(vec![lasting(2)], 0);
    submit_record(&mut fixture, 1, JobRecord { queue: advised, ..plan });
    assert_told(&mut fixture, "why=awaiting-approval compared=0 fitting=0 workers=unapproved:2");
    let ticket = Approval { worker: worker("w1"), ticket: "t".to_owned() };
    let now = fixture.now;
    fixture.pool.advised(task(1, 0, 0).step_id(), Some(vec![ticket]), now, now);
    start(&mut fixture);
    assert_told(&mut fixture, "why=no-place compared=1 fitting=0 workers=spread:1,unapproved:1");
}

/// A task that may crash its worker waited for one that starts nothing else, which fits by all checks of
/// workers.
#[test]
fn a_worker_that_starts_another_task_is_no_place_for_a_suspect() {
    let mut fixture = two_workers();
    fixture.submit_and_start(1, vec![Step { spread: 0, ..lasting(2) }]);
    fixture.pool.worker_died(&worker("w1"), DeathEvidence::Replaced, fixture.now);
    fixture.flush();
    assert_told(&mut fixture, "fitting=0 workers=starting:1");
}

/// A task that the round did not get to, or for which it had no budget, looked like one without a
/// place.
#[test]
fn a_task_that_fits_a_worker_is_never_told_to_have_no_place() {
    let mut fixture = two_workers();
    fixture.submit(1, vec![lasting(1)]);
    for _ in 0..25 {
        fixture.advance(100);
        let mut pacer = StartPacer::new(ByteRate(0), 0.0, fixture.now);
        fixture.pool.set_start_budget(pacer.budget(fixture.now));
        fixture.poll();
    }
    let reasons = fixture.pool.unplaced(fixture.now).reasons;
    assert_eq!(reasons, BTreeMap::from([(WaitReason::StartBudget, 1)]));

    let mut fixture = two_workers();
    let nowhere = Step { label: Some("nowhere".parse().unwrap()), ..lasting(1) };
    (1..=30).for_each(|id| fixture.submit(id, vec![nowhere.clone()]));
    fixture.advance(600);
    fixture.submit(31, vec![lasting(1)]);
    let is_started = !fixture.starts().is_empty();
    let mut reasons = fixture.pool.unplaced(fixture.now).reasons;
    assert_eq!(reasons.remove(&WaitReason::NoPlace), Some(30));
    assert!(is_started || reasons.remove(&WaitReason::NotReached) == Some(1), "{reasons:?}");
}

/// Workers were suspended for rejected starts and stuck runs without any line, and for failed runs with
/// one a run.
#[test]
fn each_suspension_is_logged_once_with_its_cause() {
    let mut fixture = Fixture::ready(vec![info("w1", 16)]);
    fixture.submit(1, vec![step(2)]);
    for (id, order) in fixture.starts() {
        let error = Err(WorkerError::Rejected(Rejection::Unhealthy));
        fixture.pool.started(&id, order.task, order.run, error, fixture.now);
    }
    let rejected = "worker=w1 suspended=true why=rejected-start task=0000000000000001.0.0.0";
    assert_eq!(texts(&mut fixture, NoteKind::WorkerDoubted), [rejected]);

    let mut fixture = Fixture::ready(vec![info("w1", 16)]);
    let lasting = Step { long_running: true, ..step(1) };
    fixture.submit_and_start(1, vec![lasting.clone(), lasting]);
    for _ in 0..30 {
        fixture.advance(100);
        fixture.poll();
        fixture.report(&worker("w1"));
    }
    let stuck = "worker=w1 suspended=true why=stuck-run task=0000000000000001.0.0.0";
    assert_eq!(texts(&mut fixture, NoteKind::WorkerDoubted), [stuck]);

    let mut fixture = Fixture::ready(vec![info("w1", 16)]);
    (1..=6).for_each(|id| fixture.submit_and_start(id, vec![step(1)]));
    for entry in fixture.running[&worker("w1")].clone() {
        fixture.end(&worker("w1"), entry.task, entry.run.0, RunEnd::Failed);
    }
    fixture.report(&worker("w1"));
    let failed = "worker=w1 suspended=true why=failed-runs task=0000000000000003.0.0.0";
    assert_eq!(texts(&mut fixture, NoteKind::WorkerDoubted), [failed]);
}

/// A worker that was not used, since the registered incarnation counted as dead, was no worker at all by
/// the log of a task without a place.
#[test]
fn registered_workers_whose_incarnations_have_ended_are_counted() {
    let mut fixture = two_workers();
    fixture.pool.worker_died(&worker("w1"), DeathEvidence::Unhosted, fixture.now);
    fixture.list();
    fixture.pool.held(&worker("w2"), fixture.now, Err(WorkerError::Replaced), fixture.now);
    assert_eq!(fixture.pool.unplaced(fixture.now).ended, 1);
    fixture.list();
    fixture.submit(1, vec![lasting(1)]);
    assert_told(&mut fixture, "why=no-place compared=0 fitting=0 workers=ended:2");
    assert_eq!(fixture.pool.unplaced(fixture.now).ended, 2);
    fixture.infos.clear();
    fixture.list();
    assert_eq!(fixture.pool.unplaced(fixture.now).ended, 0);
}
