//! Tests of writing job progress, and of acknowledging ends to workers.

use reachhead_jobs::{
    model::Step,
    pool::{Action, Cancelled, DeathEvidence, JobState},
    ports::RunEnd,
};
use reachhead_store::row::{Commit, Conflict};
use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, info, step, task, worker};

/// An owner's host was suspended between the store's answer to a transaction and the moment at
/// which the owner read it. The owner took the lease as confirmed at that moment, and gave orders
/// for as long as a fresh owner, though a successor may already have owned the pool.
#[test]
fn a_store_answer_that_is_read_late_confirms_no_lease() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit_and_start(1, vec![step(1)]);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let batch = fixture.batch().unwrap();
    let late = fixture.now + Millis(5000);
    fixture.submit(2, vec![step(1)]);
    fixture.pool.decided(&batch, &Commit::Done(Revision(200)), late);
    let actions = fixture.pool.poll(late, Millis(late.0));
    let starts = actions.iter().filter(|action| matches!(action, Action::Start(..))).count();
    assert_eq!(starts, 0, "the lease was last confirmed five seconds ago");
}

#[test]
fn an_end_is_acknowledged_only_after_it_is_recorded() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit_and_start(1, vec![step(2)]);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 0);
    fixture.flush();
    assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 1);
}

#[test]
fn an_end_reported_during_a_write_is_not_acknowledged_by_it() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit_and_start(1, vec![step(3)]);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let batch = fixture.batch().unwrap();
    fixture.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.pool.decided(&batch, &Commit::Done(Revision(200)), fixture.now);
    assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 1);
    assert!(!fixture.pool.due().is_empty(), "the second end is still to be written");
}

#[test]
fn a_late_transaction_cannot_undo_a_later_one() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit_and_start(1, vec![step(3)]);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let first = fixture.batch().unwrap();
    fixture.pool.decided(&first, &Commit::Done(Revision(200)), fixture.now);
    fixture.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let second = fixture.batch().unwrap();
    let checked = |batch: &reachhead_jobs::pool::Batch| {
        let check = batch.txn.checks.iter().find(|check| check.key.0.starts_with("progress/"));
        check.unwrap().revision
    };
    assert_eq!(checked(&first), None);
    assert_eq!(checked(&second), Some(Revision(200)), "so the first one fails if it is repeated");
}

#[test]
fn a_conflict_on_an_own_row_is_corrected_and_one_on_a_fence_ends_the_ownership() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit_and_start(1, vec![step(2)]);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let batch = fixture.batch().unwrap();
    let own = batch.txn.checks.iter().find(|check| check.key.0.starts_with("progress/")).unwrap();
    let conflict = Conflict { key: own.key.clone(), row: None };
    assert!(fixture.pool.decided(&batch, &Commit::Conflict(vec![conflict]), fixture.now));
    let fence = batch.txn.checks.iter().find(|check| check.key.0.starts_with("fence/")).unwrap();
    let conflict = Conflict { key: fence.key.clone(), row: None };
    assert!(!fixture.pool.decided(&batch, &Commit::Conflict(vec![conflict]), fixture.now));
    assert!(fixture.poll().contains(&Action::Fenced));
}

#[test]
fn a_failure_that_is_reported_twice_counts_once() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    for run in 1..=2 {
        let (id, order) = fixture.starts().remove(0);
        fixture.accept(&id, &order);
        fixture.end(&id, order.task, run, RunEnd::Failed);
        fixture.report(&id);
        fixture.report(&id);
        fixture.advance(6000);
        fixture.report(&id);
    }
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Running));
    let job = &fixture.pool.jobs()[&JobId(1)];
    assert_eq!(job.steps.values().next().unwrap().tasks[0].failed.len(), 2);
}

#[test]
fn ends_are_acknowledged_up_to_the_first_unrecorded_one() {
    let mut fixture = Fixture::ready(vec![info("w", 8)]);
    // Jobs of two shards, whose transactions proceed in parallel.
    fixture.submit(1, vec![step(2)]);
    fixture.submit_and_start(2, vec![step(2)]);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.end(&worker("w"), task(2, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let due = fixture.pool.due();
    assert_eq!(due.len(), 2);
    let batches: Vec<_> = due
        .iter()
        .map(|due| fixture.pool.batch(due.lane, Millis(fixture.now.0)).unwrap())
        .collect();
    let acknowledged = |fixture: &Fixture| fixture.pool.workers()[&worker("w")].acknowledged;
    fixture.pool.decided(&batches[1], &Commit::Done(Revision(200)), fixture.now);
    assert_eq!(acknowledged(&fixture), 0, "the first end is not recorded");
    fixture.pool.decided(&batches[0], &Commit::Done(Revision(201)), fixture.now);
    assert_eq!(acknowledged(&fixture), 2);
    fixture.end(&worker("w"), task(2, 0, 1), 1, RunEnd::Done);
    fixture.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let lane = fixture.pool.due().into_iter().find(|due| due.lane == batches[1].lane).unwrap().lane;
    let batch = fixture.pool.batch(lane, Millis(fixture.now.0)).unwrap();
    fixture.pool.decided(&batch, &Commit::Done(Revision(202)), fixture.now);
    assert_eq!(acknowledged(&fixture), 3, "up to the first unrecorded end");
}

#[test]
fn an_end_of_an_ended_job_needs_no_record_before_it_is_acknowledged() {
    let mut fixture = Fixture::ready(vec![info("w", 8)]);
    fixture.submit_and_start(1, vec![step(2)]);
    assert_eq!(fixture.pool.cancel(JobId(1)), Cancelled::Pending);
    fixture.flush();
    // The runs of the cancelled job are being stopped, and one ends as done before that.
    fixture.poll();
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Failed);
    fixture.report(&worker("w"));
    fixture.poll();
    assert!(fixture.pool.due().is_empty(), "{:?}", fixture.pool.due());
    assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 2);
}

#[test]
fn an_end_reported_while_its_job_is_being_ended_is_acknowledged_with_the_job() {
    let mut fixture = Fixture::ready(vec![info("w", 8)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    fixture.pool.cancel(JobId(1));
    let batch = fixture.batch().unwrap();
    fixture.end(&id, order.task, 1, RunEnd::Done);
    fixture.report(&id);
    fixture.pool.decided(&batch, &Commit::Done(Revision(200)), fixture.now);
    fixture.poll();
    fixture.flush();
    assert!(fixture.pool.due().is_empty());
    assert_eq!(fixture.pool.workers()[&id].acknowledged, 1);
    assert!(fixture.pool.jobs().is_empty());
}

/// Removes a worker and lists it again, as after its entry was missing for a while.
fn list_again(fixture: &mut Fixture, name: &str) {
    fixture.pool.worker_died(&worker(name), DeathEvidence::OffList, fixture.now);
    let infos = std::mem::take(&mut fixture.infos);
    fixture.list();
    fixture.infos = infos;
    fixture.list();
}

/// An owner that the store rejected removed a worker and listed it again. The worker's ends, which it
/// had read before, changed nothing any more, so it acknowledged them although no row had them. A
/// successor started their tasks again.
#[test]
fn an_end_that_is_reported_again_is_acknowledged_only_after_it_is_recorded() {
    for end in [RunEnd::Done, RunEnd::Failed] {
        let mut fixture = Fixture::ready(vec![info("w", 4)]);
        fixture.submit_and_start(1, vec![step(2)]);
        fixture.end(&worker("w"), task(1, 0, 0), 1, end);
        fixture.report(&worker("w"));
        list_again(&mut fixture, "w");
        fixture.report(&worker("w"));
        assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 0, "{end:?}");
        fixture.flush();
        assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 1, "{end:?}");
    }
}

#[test]
fn a_recorded_end_that_is_reported_again_needs_no_further_record() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit_and_start(1, vec![step(2)]);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.flush();
    list_again(&mut fixture, "w");
    fixture.report(&worker("w"));
    assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 1);
}

/// The end of a second member changes nothing in its job, and was acknowledged before the first was
/// recorded. If the first worker was lost, a successor started the gang again.
#[test]
fn ends_of_all_members_of_a_gang_are_acknowledged_only_after_one_is_recorded() {
    let mut fixture = Fixture::ready(vec![info("v", 1), info("w", 1)]);
    fixture.submit_and_start(1, vec![Step { gang: true, ..step(2) }]);
    for name in ["v", "w"] {
        let running = fixture.running[&worker(name)].clone();
        let [entry] = running.as_slice() else { panic!("one member a worker") };
        fixture.end(&worker(name), entry.task, entry.run.0, RunEnd::Done);
        fixture.report(&worker(name));
    }
    let acknowledged = |fixture: &Fixture| {
        ["v", "w"].map(|name| fixture.pool.workers()[&worker(name)].acknowledged)
    };
    assert_eq!(acknowledged(&fixture), [0, 0]);
    fixture.flush();
    assert_eq!(acknowledged(&fixture), [1, 1]);
}
