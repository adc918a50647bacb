//! Tests of a pool that renews its workers before its stored jobs are known.

use reachhead_jobs::{
    pool::{Action, Lane},
    ports::RunEnd,
    task::TaskId,
};
use reachhead_types::{
    id::JobId,
    size::{Millis, RunNumber},
};

use crate::fixture::{Fixture, info, step, task, timeouts, worker};

const TASK: (u64, u32, u32) = (1, 0, 0);

fn id() -> TaskId {
    task(TASK.0, TASK.1, TASK.2)
}

/// Returns a pool that knows the workers `w` and `v` of its predecessor, and no jobs.
fn recovering() -> Fixture {
    Fixture::recovering(vec![("w", None), ("v", None)], vec![info("w", 4), info("v", 4)])
}

/// Returns a pool one of whose workers has reported a run of job 1; the other one runs nothing.
fn reported() -> Fixture {
    let mut fixture = recovering();
    fixture.poll();
    fixture.set_running(&worker("w"), id(), 3, 50);
    fixture.report(&worker("w"));
    fixture.report(&worker("v"));
    fixture
}

/// Returns how many polls among actions prolong leases, and asserts that there is nothing else.
fn renewals(actions: &[Action]) -> usize {
    let renews = |action: &Action| match action {
        Action::Hold(_, order) => {
            assert_eq!(order.acknowledged, 0, "no end is recorded");
            usize::from(order.deadline.is_some())
        }
        other => panic!("no other order may be given: {other:?}"),
    };
    actions.iter().map(renews).sum()
}

/// Lets seconds pass in which the workers answer.
fn pass(fixture: &mut Fixture, seconds: u64) {
    for _ in 0..10 * seconds {
        fixture.advance(100);
        let actions = fixture.poll();
        renewals(&actions);
        for action in actions {
            if let Action::Hold(target, _) = action {
                fixture.report(&target.id);
            }
        }
    }
}

/// Runs of healthy workers lapsed at each change of the owner whose reads took longer than a lease.
#[test]
fn a_worker_is_renewed_before_the_jobs_are_known() {
    let mut fixture = reported();
    assert_eq!(renewals(&fixture.poll()), 2);
    fixture.report(&worker("w"));
    fixture.report(&worker("v"));
    pass(&mut fixture, 10);
    assert!(fixture.pool.is_recovering());
    assert_eq!(fixture.pool.due(), [], "no shard is fenced, and no worker may be closed");
    let remaining = fixture.pool.workers()[&worker("w")].remaining_lease(fixture.now);
    assert!(remaining >= Millis(timeouts().hold.0 / 2), "{remaining}");
}

/// Guards against polls that take the processor from the reads: a worker answers at once as long as it has
/// ends that are not acknowledged, and none can be.
#[test]
fn a_worker_with_ends_is_polled_a_few_times_in_a_lease_until_the_jobs_are_known() {
    let mut fixture = reported();
    fixture.end(&worker("w"), id(), 3, RunEnd::Done);
    let mut polls = 0;
    for _ in 0..timeouts().hold.0 / 20 {
        fixture.advance(20);
        for action in fixture.poll() {
            if let Action::Hold(target, _) = action {
                polls += usize::from(target.id == worker("w"));
                fixture.report(&target.id);
            }
        }
        let remaining = fixture.pool.workers()[&worker("w")].remaining_lease(fixture.now);
        assert!(remaining >= Millis(timeouts().hold.0 / 2), "{remaining}");
    }
    assert!((3..=5).contains(&polls), "{polls}");
}

/// Guards against lookups of many ended jobs in the moment in which an owner begins to serve.
#[test]
fn jobs_of_kept_ends_that_are_not_stored_are_looked_up_some_seconds_after_recovery() {
    let mut fixture = reported();
    fixture.end(&worker("w"), id(), 3, RunEnd::Done);
    pass(&mut fixture, 8);
    fixture.recover_jobs(vec![], fixture.now);
    let is_lookup = |action: &Action| matches!(action, Action::FindJobs(_));
    assert!(!fixture.poll().iter().any(is_lookup));
    fixture.advance(5000);
    assert!(fixture.poll().iter().any(is_lookup));
}

/// Guards against a second run of a task, and against a stop, while its job is unknown.
#[test]
fn a_run_that_was_reported_before_its_job_is_known_is_adopted() {
    let mut fixture = reported();
    pass(&mut fixture, 6);
    fixture.recover_jobs(vec![(1, vec![step(1)])], fixture.now);
    let actions = fixture.poll();
    let is_order = |action: &&Action| !matches!(action, Action::Hold(..));
    assert_eq!(actions.iter().find(is_order), None);
    let worker = &fixture.pool.workers()[&worker("w")];
    assert_eq!(worker.runs[&id()].run, RunNumber(3));
    assert_eq!(worker.orphans, []);
}

/// Guards against an acknowledgement without a record: the task would start again.
#[test]
fn ends_that_were_reported_before_their_jobs_are_known_count_and_are_kept_until_recorded() {
    let mut fixture = reported();
    fixture.end(&worker("w"), id(), 3, RunEnd::Done);
    fixture.set_running(&worker("v"), task(2, 0, 0), 5, 10);
    fixture.end(&worker("v"), task(2, 0, 0), 5, RunEnd::Lapsed);
    fixture.ended.get_mut(&worker("v")).unwrap()[0].checkpoint = Some("half".to_owned());
    pass(&mut fixture, 6);
    fixture.recover_jobs(vec![(1, vec![step(1), step(1)]), (2, vec![step(1)])], fixture.now);
    fixture.report(&worker("w"));
    fixture.report(&worker("v"));
    let acknowledged = |fixture: &Fixture, name| fixture.pool.workers()[&worker(name)].acknowledged;
    assert_eq!(acknowledged(&fixture, "w"), 0, "the job's progress is not recorded");
    assert_eq!(acknowledged(&fixture, "v"), 1, "an end of a run that lapsed needs no record");
    let starts = fixture.starts();
    fixture.flush();
    assert_eq!(acknowledged(&fixture, "w"), 1);
    let started: Vec<TaskId> = starts.iter().map(|(_, order)| order.task).collect();
    assert!(!started.contains(&id()), "it is done: {started:?}");
    let restarted = starts.iter().find(|(_, order)| order.task == task(2, 0, 0)).unwrap();
    assert_eq!(restarted.1.checkpoint.as_deref(), Some("half"));
}

/// Guards against an end that nobody needs and that its worker keeps for ever.
#[test]
fn an_end_that_does_not_count_of_a_job_that_is_not_stored_is_acknowledged() {
    let mut fixture = reported();
    fixture.end(&worker("w"), id(), 3, RunEnd::Stopped);
    pass(&mut fixture, 1);
    fixture.recover_jobs(vec![], fixture.now);
    fixture.report(&worker("w"));
    assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 1);
}

/// A cancelled job's runs were renewed for as long as the reads took. The job may also have been stored
/// after its shard was read, so the store is asked once more, even if all orders of predecessors have lost their effect.
#[test]
fn a_run_whose_job_is_not_stored_is_stopped_as_soon_as_the_store_has_shown_it() {
    for seconds in [1, 20] {
        let mut fixture = reported();
        let fenced_at = fixture.now;
        pass(&mut fixture, seconds);
        fixture.recover_jobs(vec![], fenced_at);
        let actions = fixture.poll();
        assert!(actions.contains(&Action::FindJobs(vec![JobId(1)])), "{actions:?}");
        fixture.pool.jobs_found(&[JobId(1)], true, fixture.now);
        assert_eq!(fixture.stops(), [(worker("w"), id())], "after {seconds} s");
    }
}

/// Guards against a task that is done and starts again since its worker restarted meanwhile.
#[test]
fn ends_of_a_worker_that_restarted_before_the_jobs_are_known_count() {
    let mut fixture = Fixture::recovering(vec![("w", None)], vec![info("w", 4)]);
    fixture.infos[0].started_at = Some(Millis(10));
    fixture.poll();
    fixture.set_running(&worker("w"), task(2, 0, 0), 5, 10);
    fixture.end(&worker("w"), id(), 3, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.infos[0].started_at = Some(Millis(900));
    fixture.running.clear();
    fixture.ended.clear();
    fixture.list();
    fixture.report(&worker("w"));
    fixture.recover_jobs(vec![(1, vec![step(1)]), (2, vec![step(1)])], fixture.now);
    fixture.poll();
    fixture.flush();
    assert_eq!(fixture.pool.workers()[&worker("w")].orphans, [], "the run ended in the restart");
    assert!(!fixture.pool.jobs().contains_key(&JobId(1)), "its only task is done");
    assert!(fixture.pool.jobs().contains_key(&JobId(2)));
}

/// Guards against a second run: the predecessor's trust may be confirmed until its shards are fenced.
#[test]
fn orders_of_a_predecessor_count_from_when_the_shards_are_fenced() {
    let mut fixture = Fixture::recovering(vec![("w", None), ("v", None)], vec![info("w", 4)]);
    fixture.poll();
    fixture.report(&worker("w"));
    for _ in 0..20 {
        fixture.advance(1000);
        fixture.fail_poll(&worker("v"));
        fixture.report(&worker("w"));
        fixture.poll();
    }
    assert_eq!(fixture.pool.unsettled(), 1, "no time counts before the fences are up");
    let fenced_at = fixture.now;
    let effect = timeouts().takeover_delay();
    // The reads take half of the time for which these orders count.
    fixture.advance(effect.0 / 2);
    fixture.report(&worker("w"));
    fixture.recover_jobs(vec![(1, vec![step(1)])], fenced_at);
    fixture.poll();
    fixture.flush();
    assert_eq!(fixture.starts(), []);
    fixture.advance(effect.0 / 2 - 100);
    fixture.report(&worker("w"));
    assert_eq!(fixture.starts(), [], "the task may run on the worker that does not answer");
    fixture.advance(200);
    fixture.report(&worker("w"));
    assert_eq!(fixture.starts().len(), 1, "the time of the reads counts");
}

/// Guards against a task that stays lost: its worker died after it had reported the run.
#[test]
fn a_run_whose_lease_ended_before_its_job_is_known_starts_again() {
    let mut fixture = reported();
    fixture.poll();
    for _ in 0..12 {
        fixture.advance(1000);
        fixture.fail_poll(&worker("w"));
        fixture.report(&worker("v"));
        fixture.poll();
    }
    fixture.recover_jobs(vec![(1, vec![step(1)])], fixture.now);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, worker("v"));
}

/// Guards against a worker that is closed with a revision that leaves unread jobs out: a successor
/// would not wait for it.
#[test]
fn a_worker_that_falls_silent_is_closed_only_once_the_jobs_are_known() {
    let mut fixture = reported();
    for _ in 0..4 {
        fixture.advance(300);
        fixture.fail_poll(&worker("w"));
        fixture.poll();
    }
    assert_eq!(fixture.pool.due(), []);
    fixture.recover_jobs(vec![(1, vec![step(1)])], fixture.now);
    fixture.poll();
    assert_eq!(fixture.pool.due()[0].lane, Lane::Roster);
    let text = format!("{:?}", fixture.batch().unwrap().txn.writes);
    assert!(text.contains("\"closed\": Number(1)"), "{text}");
}

/// Guards against a job that is known twice or without its progress.
#[test]
fn a_job_that_is_submitted_before_the_stored_jobs_are_known_is_left_to_the_read() {
    let mut fixture = reported();
    fixture.submit(1, vec![step(1)]);
    assert!(fixture.pool.jobs().is_empty());
    fixture.recover_jobs(vec![(1, vec![step(1)])], fixture.now);
    assert_eq!(fixture.pool.jobs().len(), 1);
}
