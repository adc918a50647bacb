//! Tests of late reports about incarnations of workers that have ended.

use std::sync::Arc;

use reachhead_jobs::{
    incarnation::Incarnation,
    model::{AdvicePolicy, Queue},
    pool::{Action, DeathEvidence, RecoveredState},
    ports::{Approval, RunEnd, WorkerError, WorkerInfo},
    record::JobRecord,
};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, Revision, RunNumber},
};

use crate::fixture::{Fixture, info, queue, record, recovered, step, task, worker};

const FIRST_START: u64 = 1000;
const SECOND_START: u64 = 2000;

fn ended(started_at: Option<u64>) -> Incarnation {
    Incarnation::new(worker("w")).with_start(started_at.map(Millis))
}

fn listed(started_at: u64) -> WorkerInfo {
    WorkerInfo { started_at: Some(Millis(started_at)), ..info("w", 4) }
}

/// A job that a predecessor may have started on a worker, and another worker.
fn predecessors_job() -> RecoveredState {
    recovered(vec![(1, vec![step(1)])], vec![("w", None), ("v", None)])
}

/// Returns how many tasks start while the other worker answers and this one does not.
fn starts_while_silent(fixture: &mut Fixture) -> usize {
    let mut starts = 0;
    for _ in 0..10 {
        fixture.fail_poll(&worker("w"));
        fixture.report(&worker("v"));
        fixture.advance(100);
        starts += fixture.starts().len();
        fixture.flush();
    }
    starts
}

/// A worker restarted under its id, got a task and was cut off. The successor of its pool's owner
/// was notified of the end of the old incarnation, took that for the new one, and started the task
/// elsewhere beside its run.
#[test]
fn a_successor_waits_for_a_silent_worker_whose_earlier_incarnation_has_ended() {
    let mut fixture = Fixture::new(predecessors_job(), vec![listed(SECOND_START), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.pool.worker_unhosted(&ended(Some(FIRST_START)), fixture.now);
    assert_eq!(starts_while_silent(&mut fixture), 0);
}

/// As above, when the notification arrives before the list of workers, which has the new incarnation.
#[test]
fn a_successor_applies_the_end_of_a_worker_only_once_it_knows_the_list() {
    let mut fixture = Fixture::new(predecessors_job(), Vec::new());
    let mut unlisted = Fixture::unlisted(predecessors_job());
    unlisted.pool.worker_unhosted(&ended(Some(FIRST_START)), unlisted.now);
    unlisted.fail_poll(&worker("w"));
    assert!(unlisted.pool.workers().contains_key(&worker("w")), "a later one may be listed");
    fixture.pool.worker_unhosted(&ended(Some(FIRST_START)), fixture.now);
    fixture.fail_poll(&worker("w"));
    assert!(!fixture.pool.workers().contains_key(&worker("w")), "no later one is listed");
}

/// A worker that had refused a connection was reported with the start of the incarnation that
/// registered after that, and the list of hosts could prove the wrong one dead.
#[test]
fn a_refused_connection_says_nothing_about_an_incarnation_that_registers_later() {
    let mut fixture = Fixture::ready(vec![listed(FIRST_START)]);
    fixture.refuse_connection(&worker("w"));
    let deserted = |fixture: &mut Fixture| -> Vec<Incarnation> {
        fixture.pool.load(fixture.now).deserted_incarnations().collect()
    };
    assert_eq!(deserted(&mut fixture), [ended(Some(FIRST_START))]);
    fixture.infos = vec![listed(SECOND_START)];
    fixture.list();
    assert_eq!(deserted(&mut fixture), []);
    fixture.refuse_connection(&worker("w"));
    assert_eq!(deserted(&mut fixture), [ended(Some(SECOND_START))]);
}

/// The notification spares a successor the wait for leases on workers that are gone, which answer
/// nothing.
#[test]
fn a_successor_does_not_wait_for_an_incarnation_that_has_ended() {
    let mut fixture = Fixture::new(predecessors_job(), vec![listed(FIRST_START), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.pool.worker_unhosted(&ended(Some(FIRST_START)), fixture.now);
    assert_eq!(starts_while_silent(&mut fixture), 1);
}

/// A notification that does not say which incarnation has ended may be older than one that is known.
#[test]
fn the_end_of_an_unknown_incarnation_says_nothing_about_a_known_one() {
    let mut fixture = Fixture::new(predecessors_job(), vec![listed(SECOND_START), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.pool.worker_unhosted(&ended(None), fixture.now);
    assert_eq!(starts_while_silent(&mut fixture), 0);
}

/// Returns the workers of the start orders while all listed workers answer and the roster is stored.
fn started_on(fixture: &mut Fixture) -> Vec<WorkerId> {
    let mut started = Vec::new();
    for _ in 0..5 {
        fixture.advance(50);
        started.extend(Fixture::started_on(fixture.poll()));
        fixture.flush();
        for info in fixture.infos.clone() {
            fixture.report(&info.id);
        }
    }
    started
}

/// Workers crashed together with the owner of their pool and came back under their ids. The successor
/// had found the old incarnations dead before any answer, remembered no start time of them, and
/// took the registrations of the new ones for theirs: they were never called again.
#[test]
fn a_worker_that_died_before_it_answered_a_successor_is_used_again_after_its_restart() {
    let mut fixture = Fixture::new(predecessors_job(), vec![listed(FIRST_START)]);
    fixture.poll();
    fixture.flush();
    fixture.refuse_connection(&worker("w"));
    fixture.pool.worker_unhosted(&ended(Some(FIRST_START)), fixture.now);
    fixture.advance(100);
    fixture.list();
    assert!(!fixture.pool.workers().contains_key(&worker("w")), "the old one is still listed");
    fixture.infos = vec![listed(SECOND_START)];
    fixture.list();
    fixture.refuse_connection(&worker("v"));
    fixture.pool.worker_unhosted(&Incarnation::new(worker("v")), fixture.now);
    assert_eq!(started_on(&mut fixture), [worker("w")]);
}

/// As above, when the list of workers arrives after the death. It may still have the old incarnation,
/// which gets nothing since it does not answer.
#[test]
fn a_worker_that_died_before_it_was_listed_is_used_again_after_its_restart() {
    let mut fixture = Fixture::new(predecessors_job(), Vec::new());
    fixture.refuse_connection(&worker("w"));
    fixture.refuse_connection(&worker("v"));
    for id in ["w", "v"] {
        fixture.pool.worker_unhosted(&Incarnation::new(worker(id)), fixture.now);
    }
    fixture.infos = vec![listed(FIRST_START)];
    fixture.list();
    fixture.refuse_connection(&worker("w"));
    assert_eq!(fixture.starts().len(), 0, "the old incarnation is listed");
    fixture.infos = vec![listed(SECOND_START)];
    fixture.list();
    assert_eq!(started_on(&mut fixture), [worker("w")]);
}

/// A worker restarted at another address, and a call to the old address, where another worker answers
/// now, was answered after it had registered: the new incarnation was taken for dead, its tasks were
/// started elsewhere, and its registration was skipped from then on.
#[test]
fn an_answer_from_the_old_address_says_nothing_about_the_new_incarnation() {
    let mut fixture = Fixture::ready(vec![listed(FIRST_START), info("v", 4)]);
    fixture.submit(1, vec![step(1)]);
    let sent = fixture.now;
    fixture.advance(100);
    let moved = "127.0.0.1:2".parse().unwrap();
    fixture.infos[0] = WorkerInfo { address: moved, ..listed(SECOND_START) };
    fixture.list();
    fixture.pool.held(&worker("w"), sent, Err(WorkerError::Replaced), fixture.now);
    assert!(fixture.pool.workers().contains_key(&worker("w")), "a poll");
    for task in [task(1, 0, 0), task(2, 0, 0)] {
        let (run, replaced) = (RunNumber(1), || Err(WorkerError::Replaced));
        fixture.pool.started(&worker("w"), task, run, replaced(), fixture.now);
        fixture.pool.stopped(&worker("w"), task, run, fixture.now, replaced(), fixture.now);
    }
    assert!(fixture.pool.workers().contains_key(&worker("w")), "orders");
    fixture.report(&worker("w"));
    fixture.list();
    assert!(fixture.pool.workers()[&worker("w")].obstacle(fixture.now).is_none());
    fixture.pool.held(&worker("w"), fixture.now, Err(WorkerError::Replaced), fixture.now);
    assert!(!fixture.pool.workers().contains_key(&worker("w")), "an answer from its address");
}

/// An end of an unknown job was reported by an incarnation that has ended since. When the job was
/// found, the number of that end was kept as one of the new incarnation, which was told to forget its
/// own ends up to it before anyone had read them, and their tasks started again.
#[test]
fn ends_of_an_earlier_incarnation_are_not_acknowledged_to_the_next_one() {
    let mut fixture = Fixture::ready(vec![listed(FIRST_START)]);
    for job in 1..=3 {
        fixture.submit_and_start(job, vec![step(1)]);
        let run = fixture.running[&worker("w")][0].run.0;
        fixture.end(&worker("w"), task(job, 0, 0), run, RunEnd::Done);
        fixture.report(&worker("w"));
        fixture.flush();
    }
    fixture.end(&worker("w"), task(9, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.pool.worker_died(&worker("w"), DeathEvidence::Unhosted, fixture.now);
    fixture.infos = vec![listed(SECOND_START)];
    fixture.ended.clear();
    fixture.list();
    fixture.report(&worker("w"));
    fixture.submit(9, vec![step(1)]);
    assert_eq!(fixture.starts().len(), 0, "the task is done");
    for _ in 0..2 {
        fixture.report(&worker("w"));
        assert_eq!(fixture.pool.workers()[&worker("w")].acknowledged, 0, "it has no ends");
        fixture.flush();
    }
}

/// Approvals hold for one incarnation: each start on a worker that had restarted was rejected for
/// want of a ticket.
#[test]
fn a_restarted_worker_is_approved_again_before_it_gets_tasks() {
    let policy =
        AdvicePolicy { decision: Millis(0), per_worker: Millis(0), validity: Millis(9000) };
    let advised = Arc::new(Queue { advice: Some(policy), ..Queue::clone(&queue()) });
    let mut fixture = Fixture::ready(vec![listed(FIRST_START)]);
    let plan = JobRecord { queue: advised, ..record(vec![step(1)], 0) };
    fixture.pool.submit(JobId(1), &plan, Revision(51), fixture.now, Millis(fixture.now.0));
    fixture.poll();
    fixture.infos = vec![listed(SECOND_START)];
    let approve = |fixture: &mut Fixture, sent| {
        let ticket = Approval { worker: worker("w"), ticket: "t".to_owned() };
        let step = task(1, 0, 0).step_id();
        fixture.pool.advised(step, Some(vec![ticket]), sent, fixture.now);
    };
    let sent = fixture.now;
    fixture.advance(10);
    fixture.report(&worker("w"));
    fixture.list();
    approve(&mut fixture, sent);
    let actions = fixture.poll();
    let starts = actions.iter().any(|action| matches!(action, Action::Start(..)));
    assert!(!starts, "the ticket may be of the old incarnation");
    let asks = actions.iter().any(|action| matches!(action, Action::Advise(..)));
    assert!(asks, "the approval does not count");
    let sent = fixture.now;
    approve(&mut fixture, sent);
    assert_eq!(fixture.starts().len(), 1);
}
