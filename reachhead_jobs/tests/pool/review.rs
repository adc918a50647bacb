//! Tests of faults that a review of placement and of kept ends found.

use reachhead_jobs::{
    incarnation::Incarnation, model::Step, pool::Action, ports::RunEnd, shard::Shard,
};
use reachhead_store::row::Commit;
use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, info, recovered, step, task, worker};

/// Returns a step of long-running tasks that keep apart.
fn lasting() -> Step {
    Step { long_running: true, spread: 1, ..step(1) }
}

/// Returns the jobs of the tasks that start within a second.
fn started(fixture: &mut Fixture) -> Vec<JobId> {
    let mut jobs = Vec::new();
    for _ in 0..10 {
        fixture.advance(100);
        for (id, order) in fixture.starts() {
            fixture.accept(&id, &order);
            jobs.push(order.task.job);
        }
        for info in fixture.infos.clone() {
            fixture.report(&info.id);
        }
    }
    jobs
}

/// The jobs that each round searches first don't take turns. Their search ends after more than twelve
/// steps without a place, so a few jobs with several such steps kept the others from being searched.
#[test]
fn jobs_with_many_unplaced_steps_do_not_hold_back_the_other_jobs_searched_first() {
    let mut fixture = Fixture::ready(vec![info("a", 16), info("b", 16)]);
    let label = Some("missing".parse().unwrap());
    let without_place = Step { label, ..lasting() };
    for id in 1..=5 {
        fixture.submit(id, vec![without_place.clone(); 3]);
    }
    fixture.submit(6, vec![lasting()]);
    assert_eq!(started(&mut fixture), [JobId(6)], "both workers are empty");
}

/// Ends of unknown jobs are kept by number. A worker that has restarted numbers its ends from one, so
/// an end of its previous incarnation must not be taken for one of the new one.
#[test]
fn an_unclaimed_end_of_a_previous_incarnation_does_not_acknowledge_ends_of_the_new_one() {
    let name = worker("a");
    let mut first = info("a", 4);
    first.started_at = Some(Millis(1_000));
    let mut fixture = Fixture::ready(vec![first]);
    for index in 0..4 {
        fixture.end(&name, task(9, 0, index), 1, RunEnd::Stopped);
    }
    fixture.end(&name, task(9, 0, 4), 1, RunEnd::Done);
    fixture.report(&name);
    fixture.infos[0].started_at = Some(Millis(1_000_500));
    fixture.ended.clear();
    fixture.advance(1000);
    fixture.report(&name);
    fixture.submit(9, vec![step(5)]);
    fixture.report(&name);
    let known = &fixture.pool.workers()[&name];
    assert_eq!(known.last_processed, 0);
    assert_eq!(known.acknowledged, 0, "no end of the new incarnation was read");
}

/// As above, for an end whose number is in use: the end of the new incarnation that is not stored
/// yet must not be acknowledged when the older one is stored.
#[test]
fn an_unclaimed_end_of_a_previous_incarnation_does_not_replace_an_end_of_the_new_one() {
    let name = worker("a");
    let mut first = info("a", 4);
    first.started_at = Some(Millis(1_000));
    let mut fixture = Fixture::ready(vec![first]);
    fixture.end(&name, task(9, 0, 0), 1, RunEnd::Done);
    fixture.report(&name);
    fixture.infos[0].started_at = Some(Millis(1_000_500));
    fixture.ended.clear();
    fixture.advance(1000);
    fixture.report(&name);
    fixture.end(&name, task(10, 0, 0), 1, RunEnd::Done);
    fixture.report(&name);
    fixture.submit(9, vec![step(2)]);
    fixture.flush();
    assert_eq!(fixture.pool.workers()[&name].acknowledged, 0, "job 10 is not known yet");
}

/// Ended workers are reported to each successor for twelve seconds. A successor has no answer of any
/// worker at first, so it removed a worker that had restarted under its id, and started the tasks
/// that run there a second time.
#[test]
fn a_late_death_report_does_not_make_a_successor_start_tasks_of_the_new_incarnation_again() {
    let (name, other) = (worker("a"), worker("b"));
    let mut restarted = info("a", 4);
    restarted.started_at = Some(Millis(1_000));
    let found = recovered(vec![(1, vec![step(1)])], vec![("a", None), ("b", None)]);
    let mut fixture = Fixture::new(found, vec![restarted, info("b", 4)]);
    fixture.set_running(&name, task(1, 0, 0), 1, 50);
    fixture.poll();
    let ended = Incarnation::new(name.clone()).with_start(Some(Millis(500)));
    fixture.pool.worker_unhosted(&ended, fixture.now);
    fixture.report(&other);
    fixture.list();
    let mut again = Vec::new();
    for _ in 0..5 {
        fixture.advance(100);
        fixture.flush();
        again.extend(fixture.starts());
        fixture.report(&name);
        fixture.report(&other);
    }
    assert!(again.is_empty(), "the task runs at 50 percent: {again:?}");
}

/// As above, for the worker: it was never listed again, since the dead incarnation was remembered
/// with the start time of the new one.
#[test]
fn a_worker_that_was_reported_as_dead_before_its_first_answer_is_used() {
    let name = worker("a");
    let mut restarted = info("a", 4);
    restarted.started_at = Some(Millis(1_000));
    let mut fixture = Fixture::new(recovered(Vec::new(), Vec::new()), vec![restarted]);
    fixture.poll();
    let ended = Incarnation::new(name.clone()).with_start(Some(Millis(500)));
    fixture.pool.worker_unhosted(&ended, fixture.now);
    fixture.submit(1, vec![step(1)]);
    let mut started = Vec::new();
    for _ in 0..300 {
        fixture.advance(100);
        fixture.list();
        started.extend(fixture.starts());
        fixture.flush();
        fixture.report(&name);
    }
    assert_eq!(started.len(), 1, "the worker answers for thirty seconds");
}

/// A transaction takes the first jobs of its shard by id. While so many of them change all the time,
/// the ends of the others are never stored, and their workers fill up with ends.
#[test]
fn jobs_that_change_all_the_time_do_not_keep_others_from_being_stored() {
    let (name, last) = (worker("a"), worker("b"));
    let mut fixture = Fixture::ready(vec![info("a", 1000), info("b", 1000)]);
    let shard = Shard::of(JobId(1));
    let jobs: Vec<u64> = (1..).filter(|id| Shard::of(JobId(*id)) == shard).take(60).collect();
    for id in &jobs {
        fixture.submit(*id, vec![step(100)]);
    }
    fixture.end(&last, task(jobs[59], 0, 0), 1, RunEnd::Done);
    fixture.report(&last);
    for index in 0..50 {
        fixture.advance(200);
        for id in &jobs[..59] {
            fixture.end(&name, task(*id, 0, index), 1, RunEnd::Done);
        }
        fixture.report(&name);
        let batch = fixture.batch().unwrap();
        let commit = Commit::Done(Revision(1000 + u64::from(index)));
        assert!(fixture.pool.decided(&batch, &commit, fixture.now));
    }
    assert_eq!(fixture.pool.workers()[&last].acknowledged, 1, "50 transactions were stored");
}

/// A best-effort task that was paused beside a latency-sensitive one was never resumed once that
/// one had ended: without a neighbour its pace was not adjusted any more.
#[test]
fn a_paused_best_effort_task_is_resumed_when_its_neighbour_is_gone() {
    let name = worker("a");
    let mut fixture = Fixture::ready(vec![info("a", 4)]);
    fixture.submit_and_start(1, vec![Step { target: Millis(100), ..step(1) }]);
    fixture.submit_and_start(2, vec![Step { long_running: true, best_effort: true, ..step(1) }]);
    let mut pace = 100;
    let mut pass = |fixture: &mut Fixture, rounds: u32| {
        for _ in 0..rounds {
            fixture.advance(400);
            fixture.report(&name);
            fixture.advance(3);
            for action in fixture.poll() {
                if let Action::Pace(_, _, _, percent) = action {
                    pace = percent;
                }
            }
        }
        pace
    };
    for entry in fixture.running.get_mut(&worker("a")).unwrap() {
        entry.percent = 100;
        entry.metric = 200;
    }
    assert_eq!(pass(&mut fixture, 2), 0);
    fixture.end(&worker("a"), task(1, 0, 0), 1, RunEnd::Done);
    assert_eq!(pass(&mut fixture, 100), 100, "nothing is disturbed for forty seconds");
}
