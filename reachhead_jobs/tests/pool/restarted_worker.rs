//! Tests of workers that restart under the same id.

use reachhead_jobs::{
    clock::WorkerTime,
    incarnation::Incarnation,
    model::Step,
    pool::Action,
    ports::{HoldOrder, Rejection, RunEnd, WorkerError, WorkerReport},
};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};

use crate::fixture::{Fixture, info, step, task, worker};

const FIRST_START: u64 = 1000;
const SECOND_START: u64 = 2000;

/// Returns a pool with one worker that reports its start time.
fn one_worker() -> Fixture {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    set_started_at(&mut fixture, FIRST_START);
    fixture.list();
    fixture.report(&worker("w"));
    fixture
}

fn set_started_at(fixture: &mut Fixture, started_at: u64) {
    fixture.infos[0].started_at = Some(Millis(started_at));
}

/// Returns the incarnation of the worker that started then.
fn ended(started_at: u64) -> Incarnation {
    Incarnation::new(worker("w")).with_start(Some(Millis(started_at)))
}

/// Restarts the worker before its crash is noticed.
fn restart(fixture: &mut Fixture) {
    set_started_at(fixture, SECOND_START);
    fixture.running.clear();
    fixture.ended.clear();
}

/// Reports progress of all runs.
fn report_progress(fixture: &mut Fixture) {
    for entry in fixture.running.values_mut().flatten() {
        entry.percent = 50;
    }
    fixture.report(&worker("w"));
}

fn holds(fixture: &mut Fixture) -> Vec<HoldOrder> {
    let hold = |action| match action {
        Action::Hold(_, order) => Some(order),
        _ => None,
    };
    fixture.poll().into_iter().filter_map(hold).collect()
}

fn starts_on(fixture: &mut Fixture) -> Vec<WorkerId> {
    fixture.starts().into_iter().map(|(id, _)| id).collect()
}

/// A worker had reported forty ends, crashed, and restarted under its id. Its new ends have small
/// numbers again: they were taken for known ones, and their tasks stayed running forever in the
/// owner's view.
#[test]
fn the_first_ends_of_a_new_incarnation_count() {
    let mut fixture = one_worker();
    for job in 1..=3 {
        fixture.submit_and_start(job, vec![step(1)]);
        let run = fixture.running[&worker("w")][0].run.0;
        fixture.end(&worker("w"), task(job, 0, 0), run, RunEnd::Done);
        fixture.report(&worker("w"));
        fixture.flush();
    }
    restart(&mut fixture);
    fixture.report(&worker("w"));
    fixture.list();
    fixture.submit_and_start(4, vec![step(1)]);
    let run = fixture.running[&worker("w")][0].run.0;
    fixture.end(&worker("w"), task(4, 0, 0), run, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.flush();
    assert!(fixture.pool.jobs().is_empty(), "the fourth job has ended");
}

/// A worker that does not answer may be a new incarnation by now. When the ends of the old one were
/// acknowledged to it, the new one dropped ends that had not been read, and their tasks ran again.
#[test]
fn an_unreachable_worker_gets_no_acknowledgement_of_ends() {
    let mut fixture = one_worker();
    fixture.submit_and_start(1, vec![step(1)]);
    let run = fixture.running[&worker("w")][0].run.0;
    fixture.end(&worker("w"), task(1, 0, 0), run, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.flush();
    assert_eq!(holds(&mut fixture)[0].acknowledged, 1);
    fixture.fail_poll(&worker("w"));
    fixture.advance(200);
    assert_eq!(holds(&mut fixture)[0].acknowledged, 0);
}

#[test]
fn runs_of_the_old_incarnation_are_restarted() {
    let mut fixture = one_worker();
    fixture.submit_and_start(1, vec![step(2)]);
    report_progress(&mut fixture);
    restart(&mut fixture);
    fixture.advance(50);
    fixture.report(&worker("w"));
    fixture.list();
    assert_eq!(starts_on(&mut fixture).len(), 2);
}

/// An unanswered order to the old incarnation may reach the new one, which has the same id. It is
/// barred there before the task is restarted.
#[test]
fn a_late_order_is_barred_at_the_new_incarnation() {
    let mut fixture = one_worker();
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    restart(&mut fixture);
    fixture.report(&id);
    fixture.list();
    assert!(starts_on(&mut fixture).is_empty());
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    fixture.advance(100);
    assert_eq!(fixture.stops(), [(id.clone(), order.task)]);
    let clock = fixture.clock();
    fixture.pool.stopped(&id, order.task, order.run, fixture.now, Ok(clock), fixture.now);
    fixture.advance(50);
    assert!(starts_on(&mut fixture).is_empty(), "no report has shown that it is gone");
    fixture.report(&id);
    // The crash is recorded before the task may cause another.
    fixture.flush();
    assert!(starts_on(&mut fixture).is_empty(), "earlier calls may still arrive");
    fixture.advance(15_000);
    fixture.report(&id);
    assert_eq!(starts_on(&mut fixture), [id]);
}

/// An order without an answer was sent again to a worker that did not answer. The worker had
/// restarted, and started the run with a lease by its new clock. The owner counted with the lease by
/// the old clock, and started the task elsewhere while the run was still there.
#[test]
fn an_order_is_not_sent_again_to_a_worker_that_may_have_restarted() {
    let mut fixture = one_worker();
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = || Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost(), fixture.now);
    fixture.fail_poll(&id);
    for _ in 0..10 {
        fixture.advance(100);
        assert_eq!(starts_on(&mut fixture), []);
    }
    fixture.report(&id);
    fixture.advance(100);
    assert_eq!(starts_on(&mut fixture), [id], "the same incarnation answers");
}

/// A long poll of the old incarnation was answered after the new one had reported.
#[test]
fn a_late_report_of_the_old_incarnation_is_ignored() {
    let mut fixture = one_worker();
    fixture.submit_and_start(1, vec![step(1)]);
    report_progress(&mut fixture);
    let old = fixture.running[&worker("w")].clone();
    restart(&mut fixture);
    fixture.advance(50);
    fixture.report(&worker("w"));
    fixture.list();
    fixture.running.clear();
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    let late = WorkerReport {
        started_at: Some(Millis(FIRST_START)),
        clock: WorkerTime(9_000_000),
        running: old,
        ended: Vec::new(),
    };
    fixture.pool.held(&worker("w"), fixture.now, Ok(late), fixture.now);
    assert!(fixture.stops().is_empty());
    let known = &fixture.pool.workers()[&worker("w")];
    assert_eq!(known.runs.len(), 1);
    assert!(known.clock.unwrap().worker_time < WorkerTime(9_000_000));
}

/// The platform's list showed the new incarnation first: no task is started there before it has
/// answered, and an outdated list does not bring the old one back.
#[test]
fn a_new_listed_incarnation_gets_no_tasks_before_it_answers() {
    let mut fixture = one_worker();
    restart(&mut fixture);
    fixture.list();
    fixture.submit(1, vec![step(1)]);
    assert!(starts_on(&mut fixture).is_empty());
    fixture.report(&worker("w"));
    set_started_at(&mut fixture, FIRST_START);
    fixture.list();
    assert_eq!(starts_on(&mut fixture).len(), 1);
}

/// A dead worker was never used again under its id, because the id stayed among those of dead
/// workers.
#[test]
fn a_dead_worker_is_used_again_once_it_has_a_new_incarnation() {
    let mut fixture = one_worker();
    fixture.pool.held(&worker("w"), fixture.now, Err(WorkerError::Replaced), fixture.now);
    fixture.list();
    assert!(fixture.pool.workers().is_empty(), "the list still has the old incarnation");
    restart(&mut fixture);
    fixture.list();
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    fixture.submit(1, vec![step(1)]);
    assert_eq!(starts_on(&mut fixture).len(), 1);
}

/// A task that crashes its worker was started there again and again: each new incarnation has the
/// same id, so no crash was ever detected.
#[test]
fn crashes_of_workers_that_restart_under_the_same_id_count() {
    let mut fixture = one_worker();
    fixture.submit(1, vec![step(1)]);
    let mut starts = 0;
    for incarnation in 0..20 {
        for action in fixture.poll() {
            match action {
                Action::Start(target, order) => {
                    starts += 1;
                    let reset = || WorkerError::Broken("reset".to_owned());
                    let (id, now) = (&target.id, fixture.now);
                    fixture.pool.started(id, order.task, order.run, Err(reset()), now);
                    fixture.pool.held(id, now, Err(reset()), now);
                    set_started_at(&mut fixture, SECOND_START + incarnation);
                }
                Action::Stop(target, task, run) => {
                    let clock = fixture.clock();
                    fixture.pool.stopped(
                        &target.id,
                        task,
                        run,
                        fixture.now,
                        Ok(clock),
                        fixture.now,
                    );
                }
                _ => {}
            }
        }
        fixture.flush();
        fixture.advance(300);
        fixture.report(&worker("w"));
        fixture.list();
    }
    fixture.flush();
    assert!(fixture.pool.jobs().is_empty(), "the job is given up");
    assert!(starts <= 5, "{starts} starts");
}

/// A rejected start shortened the time in which late calls to the previous incarnation may arrive:
/// the worker got tasks while such a call could still make it drop ends that no owner had read.
#[test]
fn a_suspension_does_not_shorten_the_wait_for_late_calls() {
    let mut fixture = one_worker();
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.fail_poll(&id);
    let unanswered = fixture.now;
    restart(&mut fixture);
    fixture.report(&id);
    fixture.list();
    let rejected = Err(WorkerError::Rejected(Rejection::Unhealthy));
    fixture.pool.started(&id, order.task, order.run, rejected, fixture.now);
    while fixture.now.since(unanswered) < Millis(14_800) {
        fixture.advance(100);
        fixture.report(&id);
        fixture.flush();
        assert!(starts_on(&mut fixture).is_empty(), "after {}", fixture.now.since(unanswered));
    }
    fixture.advance(300);
    fixture.report(&id);
    assert_eq!(starts_on(&mut fixture), [id]);
}

/// The report that the platform has no host with a worker arrived after the worker had restarted
/// under its id: the new incarnation was removed, and what ran there was started elsewhere as well.
#[test]
fn a_late_death_report_does_not_remove_the_new_incarnation() {
    let mut fixture = one_worker();
    restart(&mut fixture);
    fixture.report(&worker("w"));
    fixture.list();
    fixture.submit_and_start(1, vec![step(1)]);
    fixture.pool.worker_unhosted(&ended(FIRST_START), fixture.now);
    report_progress(&mut fixture);
    assert_eq!(fixture.pool.workers()[&worker("w")].runs.len(), 1);
    fixture.refuse_connection(&worker("w"));
    assert!(fixture.pool.workers().contains_key(&worker("w")), "its answer refuted the report");
    fixture.pool.worker_unhosted(&ended(FIRST_START), fixture.now);
    assert!(fixture.pool.workers().contains_key(&worker("w")), "the report is of the old one");
    fixture.pool.worker_unhosted(&ended(SECOND_START), fixture.now);
    assert!(!fixture.pool.workers().contains_key(&worker("w")));
}

/// A worker whose long poll is under way when its host is reported as gone is removed once a call
/// finds that nothing listens there, without a wait for its leases. A lost call proves nothing.
#[test]
fn a_worker_without_a_host_is_removed_when_nothing_listens_there() {
    let mut fixture = one_worker();
    fixture.submit_and_start(1, vec![step(1)]);
    fixture.pool.worker_unhosted(&ended(FIRST_START), fixture.now);
    fixture.fail_poll(&worker("w"));
    assert!(fixture.pool.workers().contains_key(&worker("w")));
    fixture.refuse_connection(&worker("w"));
    assert!(!fixture.pool.workers().contains_key(&worker("w")));
}

/// A run was counted against its task at each restart of its worker for as long as the order to bar it
/// was unanswered: the job was given up after one start.
#[test]
fn a_run_counts_for_the_crash_of_one_incarnation() {
    let mut fixture = one_worker();
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    for incarnation in 0..4 {
        set_started_at(&mut fixture, SECOND_START + incarnation);
        fixture.report(&id);
        fixture.flush();
        fixture.advance(500);
    }
    let state = &fixture.pool.jobs()[&JobId(1)].steps[&order.task.step_id()].tasks[0];
    assert_eq!(state.crashes.total, 1);
}

/// Tasks of several jobs failed on a worker, which then restarted. The new incarnation got nothing for
/// five seconds, and one task at a time for ten more, for failures of the old one.
#[test]
fn a_new_incarnation_is_not_suspended_for_failures_of_the_old_one() {
    let mut fixture = one_worker();
    (1..=3).for_each(|job| fixture.submit_and_start(job, vec![step(1)]));
    for entry in fixture.running[&worker("w")].clone() {
        fixture.end(&worker("w"), entry.task, entry.run.0, RunEnd::Failed);
    }
    fixture.report(&worker("w"));
    fixture.flush();
    assert!(starts_on(&mut fixture).is_empty(), "the old incarnation is suspended");
    restart(&mut fixture);
    fixture.report(&worker("w"));
    fixture.list();
    assert_eq!(starts_on(&mut fixture).len(), 3);
}

/// A worker was back under its id as one of another kind, and its new registration came later: it got
/// tasks that require the old kind.
#[test]
fn a_new_incarnation_gets_no_tasks_by_the_registration_of_the_old_one() {
    let mut fixture = one_worker();
    fixture.infos[0].labels = vec!["old".parse().unwrap()];
    fixture.list();
    let old = fixture.infos.clone();
    restart(&mut fixture);
    fixture.infos[0].labels = vec!["new".parse().unwrap()];
    fixture.report(&worker("w"));
    for (id, label) in [(1, "old"), (2, "new")] {
        let label = Some(label.parse().unwrap());
        fixture.submit(id, vec![Step { label, ..step(1) }]);
    }
    assert_eq!(starts_on(&mut fixture), [], "the answer is newer than the registration");
    fixture.pool.list(old, fixture.now);
    assert_eq!(starts_on(&mut fixture), [], "the list is still the old one");
    fixture.list();
    fixture.report(&worker("w"));
    let jobs: Vec<JobId> = fixture.starts().iter().map(|(_, order)| order.task.job).collect();
    assert_eq!(jobs, [JobId(2)]);
}
