//! Tests of runs without progress.

use reachhead_jobs::{clock::Tick, model::Step, pool::Action, ports::RunEnd, worker::Worker};
use reachhead_types::id::WorkerId;

use crate::fixture::{Fixture, info, step, task, worker};

/// A task that is stuck on every worker was stopped after 2.5 s on one worker after the other, and
/// each was taken for faulty and suspended for five seconds: two such tasks left a pool of four
/// without a usable worker for most of the time.
#[test]
fn a_task_that_is_stuck_everywhere_does_not_suspend_one_worker_after_the_other() {
    let names = ["w", "v", "u", "t"];
    let mut fixture = Fixture::ready(names.iter().map(|name| info(name, 4)).collect());
    fixture.submit(1, vec![step(2)]);
    let mut suspended = 0;
    let mut starts = 0;
    for _ in 0..400 {
        fixture.advance(100);
        for action in fixture.poll() {
            match action {
                Action::Start(target, order) => {
                    starts += 1;
                    fixture.accept(&target.id, &order);
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
        for name in names {
            fixture.report(&worker(name));
        }
        let now = fixture.now;
        let out = |worker: &&Worker| worker.failure_history.suspended_until > now;
        suspended += fixture.pool.workers().values().filter(out).count();
    }
    assert!(suspended <= 2 * 50, "workers were suspended for {suspended} tenths of a second");
    assert!(starts <= 2 * 4, "started {starts} times");
}

/// Returns a pool with a long-running task that is starting up on one of two workers, and that worker.
fn starting_up() -> (Fixture, WorkerId) {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit_and_start(1, vec![Step { long_running: true, ..step(1) }]);
    let id = fixture.running.keys().next().unwrap().clone();
    fixture.advance(100);
    fixture.set_running(&id, task(1, 0, 0), 1, 10);
    fixture.report(&id);
    (fixture, id)
}

/// A long poll that was sent late and gets no answer may take longer to fail than a task may stand still.
/// The task of a worker behind a cut link was stopped, and the worker suspended, although it worked on.
#[test]
fn a_run_without_a_report_is_not_taken_for_stuck() {
    let (mut fixture, _) = starting_up();
    fixture.advance(2700);
    assert_eq!(fixture.stops(), []);
}

/// A worker was frozen for three seconds. With its first report after that its tasks, which had made no
/// progress meanwhile, were stopped, and it was suspended.
#[test]
fn time_in_which_a_worker_does_not_answer_does_not_count_as_stuck() {
    let (mut fixture, id) = starting_up();
    fixture.advance(1500);
    fixture.fail_poll(&id);
    fixture.advance(1500);
    fixture.report(&id);
    assert_eq!(fixture.stops(), []);
    assert_eq!(fixture.pool.workers()[&id].failure_history.suspended_until, Tick(0));
    for _ in 0..27 {
        fixture.advance(100);
        fixture.report(&id);
    }
    assert_eq!(fixture.stops(), [(id, task(1, 0, 0))], "it stands still while the worker answers");
}
