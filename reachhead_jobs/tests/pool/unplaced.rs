//! Tests of long-running tasks that waited although workers had room for them.

use std::{collections::BTreeSet, sync::Arc};

use reachhead_jobs::{
    model::{AdvicePolicy, Queue, Step},
    pool::Action,
    ports::{Approval, Rejection, RunEnd, WorkerError, WorkerInfo},
    record::JobRecord,
    task::TaskId,
};
use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, info, queue, record, step, task, worker};

/// Returns a step of long-running tasks that keep apart.
fn lasting(count: u32) -> Step {
    Step { long_running: true, spread: 1, ..step(count) }
}

fn names(count: u32) -> Vec<String> {
    (0..count).map(|number| format!("w{number:03}")).collect()
}

fn infos(count: u32, cores: u64) -> Vec<WorkerInfo> {
    names(count).iter().map(|name| info(name, cores)).collect()
}

/// Returns a pool of so many workers that their roster takes several transactions.
fn large_pool(count: u32, cores: u64) -> Fixture {
    let mut fixture = Fixture::ready(infos(count, cores));
    for _ in 0..4 {
        fixture.advance(100);
        fixture.poll();
        fixture.flush();
    }
    fixture
}

fn unhealthy() -> WorkerError {
    WorkerError::Rejected(Rejection::Unhealthy)
}

/// Submits a job whose starts are all rejected because the workers are unhealthy.
fn submit_and_reject(fixture: &mut Fixture, id: u64, steps: Vec<Step>) {
    fixture.submit(id, steps);
    for (id, order) in fixture.starts() {
        fixture.pool.started(&id, order.task, order.run, Err(unhealthy()), fixture.now);
    }
}

/// Lets the time pass while workers confirm starts and report all their runs as up; returns the
/// tasks that were started.
fn run(fixture: &mut Fixture, millis: u64) -> BTreeSet<TaskId> {
    let mut started = BTreeSet::new();
    for _ in 0..millis / 100 {
        fixture.advance(100);
        for (id, order) in fixture.starts() {
            started.insert(order.task);
            fixture.accept(&id, &order);
            fixture.set_running(&id, order.task, order.run.0, 100);
        }
        for info in fixture.infos.clone() {
            fixture.report(&info.id);
        }
    }
    started
}

fn tasks(job: u64, count: u32) -> BTreeSet<TaskId> {
    (0..count).map(|index| task(job, 0, index)).collect()
}

/// A worker on probation took one task at a time until a task ended in success. Its first task was a
/// long-running one, which does not end, so it took nothing else while that ran.
#[test]
fn a_long_running_task_that_is_up_ends_its_workers_probation() {
    let mut fixture = Fixture::ready(infos(2, 16));
    submit_and_reject(&mut fixture, 1, vec![lasting(2)]);
    assert_eq!(run(&mut fixture, 7000), tasks(1, 2));
    fixture.submit(2, vec![lasting(2)]);
    assert_eq!(run(&mut fixture, 3000), tasks(2, 2), "both workers have fifteen cores free");
}

/// A worker that was suspended while long-running tasks were up on it took no task at all as long
/// as one of them was there.
#[test]
fn a_suspended_worker_with_long_running_tasks_is_used_again() {
    let mut fixture = Fixture::ready(infos(2, 16));
    fixture.submit(1, vec![lasting(2)]);
    run(&mut fixture, 1000);
    submit_and_reject(&mut fixture, 2, vec![lasting(2)]);
    assert_eq!(run(&mut fixture, 7000), tasks(2, 2));
}

/// Submits a hundred jobs of this step, which has no place, and returns what starts of others.
fn started_behind(step_without_place: &Step) -> BTreeSet<TaskId> {
    let mut fixture = Fixture::ready(infos(2, 16));
    for id in 1..=100 {
        fixture.submit(id, vec![step_without_place.clone()]);
    }
    fixture.submit(101, vec![lasting(1)]);
    fixture.submit(102, vec![step(1)]);
    run(&mut fixture, 1000)
}

/// The steps that come first in rank had no place, and each round ended after 24 of them: one
/// caller's jobs that could never start kept all others from starting.
#[test]
fn steps_without_a_place_do_not_hold_back_others() {
    let expected: BTreeSet<TaskId> = [task(101, 0, 0), task(102, 0, 0)].into();
    let label = Some("missing".parse().unwrap());
    assert_eq!(started_behind(&Step { label, ..lasting(1) }), expected);
    let need = Amount::new(20_000, 100, 0);
    assert_eq!(started_behind(&Step { need, ..lasting(1) }), expected);
}

/// Lets the time pass while runs report no progress until `startup` has passed, and then that they
/// are up; returns the workers that got a start.
fn run_with_startup(fixture: &mut Fixture, millis: u64, startup: Millis) -> BTreeSet<WorkerId> {
    let mut starts = Vec::new();
    for _ in 0..millis / 100 {
        fixture.advance(100);
        for action in fixture.poll() {
            match action {
                Action::Start(target, order) => {
                    fixture.accept(&target.id, &order);
                    starts.push((target.id, order, fixture.now));
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
                    fixture.end(&target.id, task, run.0, RunEnd::Stopped);
                }
                _ => {}
            }
        }
        if let Some((id, order, since)) = starts.last()
            && fixture.now.since(*since) >= startup
        {
            fixture.set_running(id, order.task, order.run.0, 100);
        }
        for info in fixture.infos.clone() {
            fixture.report(&info.id);
        }
    }
    starts.into_iter().map(|(id, ..)| id).collect()
}

/// Each move of a task without progress came ten seconds after the last one, so one whose startup
/// reports no progress for longer than that never came up.
#[test]
fn a_long_running_task_with_a_long_startup_comes_up() {
    let mut fixture = Fixture::ready(infos(6, 16));
    fixture.submit(1, vec![lasting(1)]);
    run_with_startup(&mut fixture, 200_000, Millis(15_000));
    let mut running = fixture.running.values().flatten();
    assert!(running.any(|run| run.task == task(1, 0, 0) && run.percent == 100));
}

/// A long-running task that hung on three workers was left on the fourth, where it hung as well:
/// its starts after that were never reviewed, however long it did not come up.
#[test]
fn a_long_running_task_that_does_not_come_up_is_moved_again() {
    let mut fixture = Fixture::ready(infos(6, 16));
    fixture.submit(1, vec![lasting(1)]);
    let used = run_with_startup(&mut fixture, 60_000, Millis(u64::MAX));
    assert!(used.len() > 4, "it hung on {used:?}");
}

/// Submits a job of a queue whose placement another service approves, with this validity.
fn submit_advised(fixture: &mut Fixture, id: u64, steps: Vec<Step>, validity: Millis) {
    let policy = AdvicePolicy { decision: Millis(10), per_worker: Millis(1), validity };
    let job = JobRecord {
        queue: Arc::new(Queue { advice: Some(policy), ..(*queue()).clone() }),
        ..record(steps, fixture.now.0)
    };
    let wall = Millis(fixture.now.0);
    fixture.pool.submit(JobId(id), &job, Revision(50 + id), fixture.now, wall);
}

/// Lets the time pass while a service approves the workers that `is_approved` names; returns the
/// tasks that were started.
fn run_advised(
    fixture: &mut Fixture,
    millis: u64,
    is_approved: impl Fn(&WorkerId) -> bool,
) -> BTreeSet<TaskId> {
    let mut started = BTreeSet::new();
    for _ in 0..millis / 100 {
        fixture.advance(100);
        for action in fixture.poll() {
            match action {
                Action::Start(target, order) => {
                    started.insert(order.task);
                    fixture.accept(&target.id, &order);
                    fixture.set_running(&target.id, order.task, order.run.0, 100);
                }
                Action::Advise(step, asked, _) => {
                    assert!(asked.len() <= 100, "more workers than a call may name");
                    let approved = asked.into_iter().filter(&is_approved);
                    let approval = |worker| Approval { worker, ticket: "t".to_owned() };
                    let approvals = Some(approved.map(approval).collect());
                    fixture.pool.advised(step, approvals, fixture.now, fixture.now);
                }
                _ => {}
            }
        }
        for info in fixture.infos.clone() {
            fixture.report(&info.id);
        }
    }
    started
}

/// Approval was requested for the first hundred workers by id, whether or not they had room, so
/// tasks waited although every other worker was free.
#[test]
fn workers_beyond_the_first_hundred_are_proposed_for_approval() {
    let mut fixture = large_pool(130, 1);
    for info in fixture.infos.iter_mut().take(100) {
        info.labels = vec!["first".parse().unwrap()];
    }
    fixture.list();
    fixture.submit(1, vec![Step { label: Some("first".parse().unwrap()), ..lasting(100) }]);
    assert_eq!(run(&mut fixture, 1000).len(), 100);
    submit_advised(&mut fixture, 2, vec![lasting(4)], Millis(2000));
    assert_eq!(run_advised(&mut fixture, 3000, |_| true), tasks(2, 4));
}

/// Workers that the service does not approve were proposed in each call, and others in none.
#[test]
fn other_workers_are_proposed_after_those_that_were_not_approved() {
    let mut fixture = large_pool(130, 16);
    submit_advised(&mut fixture, 1, vec![lasting(4)], Millis(2000));
    let last = worker("w110");
    assert_eq!(run_advised(&mut fixture, 3000, |worker| *worker >= last), tasks(1, 4));
}

/// Approved workers without room held a step for as long as their approvals were valid, also after
/// another worker had joined.
#[test]
fn a_worker_that_joined_is_proposed_while_approved_ones_are_full() {
    let mut fixture = Fixture::ready(infos(2, 1));
    submit_advised(&mut fixture, 1, vec![lasting(3)], Millis(2000));
    assert_eq!(run_advised(&mut fixture, 500, |_| true).len(), 2);
    fixture.infos.push(info("x", 1));
    fixture.list();
    fixture.report(&worker("x"));
    fixture.poll();
    fixture.flush();
    assert_eq!(run_advised(&mut fixture, 600, |_| true), [task(1, 0, 2)].into());
}

/// A step that waited for capacity on its approved worker reserved another one, which it could not
/// use. It did so again whenever the reservation ended, and no other step got a place there.
#[test]
fn a_step_reserves_no_worker_that_is_not_approved_for_it() {
    let mut fixture = Fixture::ready(infos(3, 16));
    let is_approved = |id: &WorkerId| *id == worker("w000");
    submit_advised(&mut fixture, 1, vec![lasting(2)], Millis(60_000));
    assert_eq!(run_advised(&mut fixture, 1000, is_approved), tasks(1, 1));
    fixture.submit(2, vec![lasting(3)]);
    let started = run_advised(&mut fixture, 7000, is_approved);
    assert_eq!(started, tasks(2, 3), "all workers have fifteen cores free");
}
