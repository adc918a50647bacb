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

use crate::desk::{Desk, info, step, task, worker};

#[test]
fn an_end_is_acknowledged_only_after_it_is_recorded() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.begin(1, vec![step(2)]);
    desk.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    desk.report(&worker("w"));
    assert_eq!(desk.pool.workers()[&worker("w")].seen, 0);
    desk.flush();
    assert_eq!(desk.pool.workers()[&worker("w")].seen, 1);
}

#[test]
fn an_end_that_comes_while_a_record_is_under_way_is_not_acknowledged_by_it() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.begin(1, vec![step(3)]);
    desk.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    desk.report(&worker("w"));
    let batch = desk.batch().unwrap();
    desk.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Done);
    desk.report(&worker("w"));
    desk.pool.decided(&batch, &Commit::Done(Revision(200)), desk.now);
    assert_eq!(desk.pool.workers()[&worker("w")].seen, 1);
    assert!(!desk.pool.due().is_empty(), "the second end is still to be written");
}

#[test]
fn a_late_transaction_can_not_undo_a_later_one() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.begin(1, vec![step(3)]);
    desk.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    desk.report(&worker("w"));
    let first = desk.batch().unwrap();
    desk.pool.decided(&first, &Commit::Done(Revision(200)), desk.now);
    desk.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Done);
    desk.report(&worker("w"));
    let second = desk.batch().unwrap();
    let checked = |batch: &reachhead_jobs::pool::Batch| {
        let check = batch.txn.checks.iter().find(|check| check.key.0.starts_with("progress/"));
        check.unwrap().revision
    };
    assert_eq!(checked(&first), None);
    assert_eq!(checked(&second), Some(Revision(200)), "so the first one fails if it comes again");
}

#[test]
fn a_conflict_on_an_own_row_is_corrected_and_one_on_the_lease_ends_the_ownership() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.begin(1, vec![step(2)]);
    desk.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    desk.report(&worker("w"));
    let batch = desk.batch().unwrap();
    let own = batch.txn.checks.iter().find(|check| check.key.0.starts_with("progress/")).unwrap();
    let conflict = Conflict { key: own.key.clone(), row: None };
    assert!(desk.pool.decided(&batch, &Commit::Conflict(vec![conflict]), desk.now));
    let lease = batch.txn.checks.iter().find(|check| check.key.0.starts_with("fence/")).unwrap();
    let conflict = Conflict { key: lease.key.clone(), row: None };
    assert!(!desk.pool.decided(&batch, &Commit::Conflict(vec![conflict]), desk.now));
    assert!(desk.poll().contains(&Action::Fenced));
}

#[test]
fn a_failure_that_is_told_twice_counts_once() {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    desk.submit(1, vec![step(1)]);
    for run in 1..=2 {
        let (id, order) = desk.starts().remove(0);
        desk.accept(&id, &order);
        desk.end(&id, order.task, run, RunEnd::Failed);
        desk.report(&id);
        desk.report(&id);
        desk.pass(6000);
        desk.report(&id);
    }
    assert_eq!(desk.pool.state(JobId(1)), Some(JobState::Running));
    let job = &desk.pool.jobs()[&JobId(1)];
    assert_eq!(job.steps.values().next().unwrap().tasks[0].failed.len(), 2);
}

#[test]
fn a_worker_forgets_its_first_ends_while_later_ones_wait_for_their_record() {
    let mut desk = Desk::ready(vec![info("w", 8)]);
    // Jobs of two parts of the store, whose transactions go on beside each other.
    desk.submit(1, vec![step(2)]);
    desk.begin(2, vec![step(2)]);
    desk.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    desk.end(&worker("w"), task(2, 0, 0), 1, RunEnd::Done);
    desk.report(&worker("w"));
    let due = desk.pool.due();
    assert_eq!(due.len(), 2);
    let batches: Vec<_> =
        due.iter().map(|due| desk.pool.batch(due.lane, Millis(desk.now.0)).unwrap()).collect();
    let seen = |desk: &Desk| desk.pool.workers()[&worker("w")].seen;
    desk.pool.decided(&batches[1], &Commit::Done(Revision(200)), desk.now);
    assert_eq!(seen(&desk), 0, "the first end is not recorded");
    desk.pool.decided(&batches[0], &Commit::Done(Revision(201)), desk.now);
    assert_eq!(seen(&desk), 2);
    desk.end(&worker("w"), task(2, 0, 1), 1, RunEnd::Done);
    desk.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Done);
    desk.report(&worker("w"));
    let lane = desk.pool.due().into_iter().find(|due| due.lane == batches[1].lane).unwrap().lane;
    let batch = desk.pool.batch(lane, Millis(desk.now.0)).unwrap();
    desk.pool.decided(&batch, &Commit::Done(Revision(202)), desk.now);
    assert_eq!(seen(&desk), 3, "the one before the first that waits");
}

#[test]
fn an_end_of_a_job_that_is_over_needs_no_record_and_holds_no_worker() {
    let mut desk = Desk::ready(vec![info("w", 8)]);
    desk.begin(1, vec![step(2)]);
    assert_eq!(desk.pool.cancel(JobId(1)), Cancelled::Pending);
    desk.flush();
    // The runs of the cancelled job are being stopped, and one is done before that.
    desk.poll();
    desk.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    desk.end(&worker("w"), task(1, 0, 1), 1, RunEnd::Failed);
    desk.report(&worker("w"));
    desk.poll();
    assert!(desk.pool.due().is_empty(), "{:?}", desk.pool.due());
    assert_eq!(desk.pool.workers()[&worker("w")].seen, 2);
}

#[test]
fn an_end_that_is_told_while_its_job_is_being_ended_is_forgotten_with_the_job() {
    let mut desk = Desk::ready(vec![info("w", 8)]);
    desk.submit(1, vec![step(1)]);
    let (id, order) = desk.starts().remove(0);
    desk.accept(&id, &order);
    desk.pool.cancel(JobId(1));
    let batch = desk.batch().unwrap();
    desk.end(&id, order.task, 1, RunEnd::Done);
    desk.report(&id);
    desk.pool.decided(&batch, &Commit::Done(Revision(200)), desk.now);
    desk.poll();
    desk.flush();
    assert!(desk.pool.due().is_empty());
    assert_eq!(desk.pool.workers()[&id].seen, 1);
    assert!(desk.pool.jobs().is_empty());
}
