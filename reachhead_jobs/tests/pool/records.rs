//! What is recorded, and which ends a worker may forget.

use reachhead_jobs::{
    pool::{Action, Cancelled, JobState},
    ports::RunEnd,
};
use reachhead_store::row::{Commit, Conflict};
use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, info, step, task, worker};

/// An owner's host was suspended between the store's answer to a transaction and the moment in which the owner read it. It took the
/// lease for confirmed when it read, and gave orders for as long as a fresh owner, though a successor may have been in charge.
#[test]
fn an_answer_of_the_store_that_is_read_late_confirms_no_lease() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.begin(1, vec![step(1)]);
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
    fixture.begin(1, vec![step(2)]);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 0);
    fixture.flush();
    assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 1);
}

#[test]
fn an_end_that_comes_while_a_record_is_under_way_is_not_acknowledged_by_it() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.begin(1, vec![step(3)]);
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
fn a_late_transaction_can_not_undo_a_later_one() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.begin(1, vec![step(3)]);
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
    assert_eq!(checked(&second), Some(Revision(200)), "so the first one fails if it comes again");
}

#[test]
fn a_conflict_on_an_own_row_is_corrected_and_one_on_the_lease_ends_the_ownership() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.begin(1, vec![step(2)]);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let batch = fixture.batch().unwrap();
    let own = batch.txn.checks.iter().find(|check| check.key.0.starts_with("progress/")).unwrap();
    let conflict = Conflict { key: own.key.clone(), row: None };
    assert!(fixture.pool.decided(&batch, &Commit::Conflict(vec![conflict]), fixture.now));
    let lease = batch.txn.checks.iter().find(|check| check.key.0.starts_with("fence/")).unwrap();
    let conflict = Conflict { key: lease.key.clone(), row: None };
    assert!(!fixture.pool.decided(&batch, &Commit::Conflict(vec![conflict]), fixture.now));
    assert!(fixture.poll().contains(&Action::Fenced));
}

#[test]
fn a_failure_that_is_told_twice_counts_once() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    for run in 1..=2 {
        let (id, order) = fixture.starts().remove(0);
        fixture.accept(&id, &order);
        fixture.end(&id, order.task, run, RunEnd::Failed);
        fixture.report(&id);
        fixture.report(&id);
        fixture.pass(6000);
        fixture.report(&id);
    }
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Running));
    let job = &fixture.pool.jobs()[&JobId(1)];
    assert_eq!(job.steps.values().next().unwrap().tasks[0].failed.len(), 2);
}

#[test]
fn a_worker_forgets_its_first_ends_while_later_ones_wait_for_their_record() {
    let mut fixture = Fixture::ready(vec![info("w", 8)]);
    // Jobs of two parts of the store, whose transactions go on beside each other.
    fixture.submit(1, vec![step(2)]);
    fixture.begin(2, vec![step(2)]);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.end(&worker("w"), task(2, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let due = fixture.pool.due();
    assert_eq!(due.len(), 2);
    let batches: Vec<_> = due
        .iter()
        .map(|due| fixture.pool.batch(due.lane, Millis(fixture.now.0)).unwrap())
        .collect();
    let seen = |fixture: &Fixture| fixture.pool.workers()[&worker("w")].acknowledged;
    fixture.pool.decided(&batches[1], &Commit::Done(Revision(200)), fixture.now);
    assert_eq!(seen(&fixture), 0, "the first end is not recorded");
    fixture.pool.decided(&batches[0], &Commit::Done(Revision(201)), fixture.now);
    assert_eq!(seen(&fixture), 2);
    fixture.end(&worker("w"), task(2, 0, 1), 1, RunEnd::Done);
    fixture.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let lane = fixture.pool.due().into_iter().find(|due| due.lane == batches[1].lane).unwrap().lane;
    let batch = fixture.pool.batch(lane, Millis(fixture.now.0)).unwrap();
    fixture.pool.decided(&batch, &Commit::Done(Revision(202)), fixture.now);
    assert_eq!(seen(&fixture), 3, "the one before the first that waits");
}

#[test]
fn an_end_of_a_job_that_is_over_needs_no_record_and_holds_no_worker() {
    let mut fixture = Fixture::ready(vec![info("w", 8)]);
    fixture.begin(1, vec![step(2)]);
    assert_eq!(fixture.pool.cancel(JobId(1)), Cancelled::Pending);
    fixture.flush();
    // The runs of the cancelled job are being stopped, and one is done before that.
    fixture.poll();
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Failed);
    fixture.report(&worker("w"));
    fixture.poll();
    assert!(fixture.pool.due().is_empty(), "{:?}", fixture.pool.due());
    assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 2);
}

#[test]
fn an_end_that_is_told_while_its_job_is_being_ended_is_forgotten_with_the_job() {
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
