//! Tests of starting, running and ending tasks.

use std::sync::Arc;

use reachhead_jobs::{
    clock::Tick,
    model::{Plan, Schedule, Step},
    pool::{Action, Cancelled, JobState},
    ports::{Rejection, RunEnd, WorkerError},
    record::Ending,
    worker::Worker,
};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, info, record, step, task, timeouts, worker};

#[test]
fn a_job_runs_its_steps_in_order_and_is_completed_once_that_is_stored() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1), Step { after: vec![0], ..step(1) }]);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    fixture.accept(&worker("w"), &starts[0].1);
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Running));
    fixture.advance(1000);
    fixture.end(&worker("w"), task(1, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    let starts = fixture.starts();
    assert_eq!(starts[0].1.task, task(1, 1, 0));
    fixture.accept(&worker("w"), &starts[0].1);
    fixture.end(&worker("w"), task(1, 1, 0), 1, RunEnd::Done);
    fixture.report(&worker("w"));
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Running), "it is not stored yet");
    fixture.flush();
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Over(Ending::Completed)));
}

/// Guards against states that rest on orders without an answer: callers were told that their jobs ran
/// while no worker had them.
#[test]
fn a_job_counts_as_waiting_until_a_worker_confirms_one_of_its_runs() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let expect = |fixture: &Fixture, state, waiting| {
        assert_eq!(fixture.pool.state(JobId(1)), Some(state));
        assert_eq!(fixture.pool.waiting(&"q".parse().unwrap()), waiting);
    };
    expect(&fixture, JobState::Queued, 1);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    expect(&fixture, JobState::Queued, 1);
    fixture.advance(200);
    let (id, order) = fixture.starts().remove(0);
    let unreachable = Err(WorkerError::Unreachable("no connection".to_owned()));
    fixture.pool.started(&id, order.task, order.run, unreachable, fixture.now);
    expect(&fixture, JobState::Queued, 1);
    // The first order had arrived.
    fixture.set_running(&id, order.task, order.run.0, 0);
    fixture.report(&id);
    expect(&fixture, JobState::Running, 0);
}

/// The run is not wanted any more when the first sign of it comes, but the job has begun.
#[test]
fn a_report_confirms_a_run_that_is_being_stopped() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    let room = Err(WorkerError::Rejected(Rejection::Room));
    fixture.pool.started(&id, order.task, order.run, room, fixture.now);
    assert_eq!(fixture.stops().len(), 1);
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Queued));
    fixture.set_running(&id, order.task, order.run.0, 0);
    fixture.report(&id);
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Running));
}

#[test]
fn a_reported_end_confirms_a_run_whose_order_was_not_answered() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    fixture.end(&id, order.task, order.run.0, RunEnd::Lapsed);
    fixture.report(&id);
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Running));
}

/// Runs are reviewed after events and periodically, not in each of the rounds that are 4 ms apart
/// in a burst.
#[test]
fn an_unanswered_order_is_resent_on_time_without_any_event() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    assert!(fixture.starts().is_empty(), "it is not due yet");
    let mut waited = 0;
    while fixture.starts().is_empty() {
        fixture.advance(4);
        waited += 4;
    }
    assert!((50..=75).contains(&waited), "{waited} ms");
}

#[test]
fn an_unanswered_start_is_resent_to_the_same_worker_with_the_same_deadline() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = || Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost(), fixture.now);
    fixture.advance(200);
    let (again, repeated) = fixture.starts().remove(0);
    assert_eq!((again, &repeated), (id.clone(), &order));
    // The order is rejected now, but its first copy may still arrive: it is barred before the task
    // continues.
    let room = Err(WorkerError::Rejected(Rejection::Room));
    fixture.pool.started(&id, order.task, order.run, room, fixture.now);
    let actions = fixture.poll();
    assert!(actions.iter().any(|action| matches!(action, Action::Stop(..))), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Start(..))), "{actions:?}");
    let clock = fixture.clock();
    fixture.pool.stopped(&id, order.task, order.run, fixture.now, Ok(clock), fixture.now);
    fixture.advance(5);
    fixture.report(&id);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_barred_run_is_removed_even_if_it_is_barred_again_during_a_poll() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    fixture.advance(200);
    fixture.starts();
    let late = Err(WorkerError::Rejected(Rejection::Late));
    fixture.pool.started(&id, order.task, order.run, late, fixture.now);
    // The poll is in flight for longer than it takes until the run is barred again.
    let bar = |fixture: &mut Fixture| {
        assert_eq!(fixture.stops().len(), 1);
        let clock = fixture.clock();
        fixture.pool.stopped(&id, order.task, order.run, fixture.now, Ok(clock), fixture.now);
    };
    bar(&mut fixture);
    fixture.advance(500);
    let sent = fixture.now;
    fixture.advance(600);
    bar(&mut fixture);
    fixture.advance(400);
    fixture.report_sent(&id, sent);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_task_on_an_unreachable_worker_restarts_only_after_its_lease_has_expired() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    fixture.fail_poll(&id);
    fixture.infos.push(info("v", 4));
    fixture.list();
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("v"));
    for _ in 0..39 {
        fixture.advance(100);
        fixture.fail_poll(&id);
        fixture.report(&worker("v"));
        assert!(fixture.starts().is_empty(), "its lease may still be valid");
    }
    fixture.advance(400);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, worker("v"));
    assert!(starts[0].1.run > order.run);
}

#[test]
fn orphan_runs_are_stopped_and_keep_a_worker_from_new_tasks() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.set_running(&worker("w"), task(99, 0, 0), 5, 40);
    fixture.report(&worker("w"));
    assert_eq!(fixture.stops(), vec![(worker("w"), task(99, 0, 0))]);
    fixture.submit(1, vec![step(1)]);
    assert!(fixture.starts().is_empty(), "the capacity that the orphan run takes is unknown");
    fixture.end(&worker("w"), task(99, 0, 0), 5, RunEnd::Stopped);
    fixture.report(&worker("w"));
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_run_that_is_being_stopped_still_takes_capacity() {
    let mut fixture = Fixture::ready(vec![info("w", 1)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    assert_eq!(fixture.pool.cancel(JobId(1)), Cancelled::Pending);
    fixture.flush();
    assert_eq!(fixture.stops().len(), 1);
    fixture.submit(2, vec![step(1)]);
    fixture.report(&id);
    assert!(fixture.starts().is_empty());
    fixture.end(&id, order.task, 1, RunEnd::Stopped);
    fixture.report(&id);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_gang_starts_whole_or_not_at_all_and_ends_with_one_member() {
    let mut fixture = Fixture::ready(vec![info("w", 2), info("v", 1)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    fixture.submit(2, vec![Step { gang: true, ..step(3) }]);
    assert!(fixture.starts().is_empty(), "one of three does not fit");
    fixture.end(&id, order.task, 1, RunEnd::Done);
    fixture.report(&id);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|(_, start)| start.run == starts[0].1.run));
    for (id, order) in &starts {
        fixture.accept(id, order);
    }
    let (id, order) = &starts[0];
    fixture.end(id, order.task, order.run.0, RunEnd::Done);
    fixture.report(id);
    fixture.flush();
    assert_eq!(fixture.pool.state(JobId(2)), Some(JobState::Over(Ending::Completed)));
}

#[test]
fn an_owner_without_a_confirmed_lease_gives_no_orders_and_renews_no_leases() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    fixture.now = fixture.now + reachhead_types::size::Millis(4500);
    let actions = fixture.pool.poll(fixture.now, reachhead_types::size::Millis(fixture.now.0));
    for action in actions {
        match action {
            Action::Hold(_, order) => assert_eq!(order.deadline, None),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_long_running_task_evicts_short_tasks() {
    let mut fixture = Fixture::ready(vec![info("w", 2)]);
    fixture.submit_and_start(1, vec![step(2)]);
    fixture.report(&worker("w"));
    fixture.submit(2, vec![Step { long_running: true, ..step(1) }]);
    let stopped = fixture.stops();
    assert_eq!(stopped.len(), 1);
    fixture.end(&worker("w"), stopped[0].1, 1, RunEnd::Stopped);
    fixture.report(&worker("w"));
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task.job, JobId(2));
}

#[test]
fn placement_respects_labels_spread_and_draining() {
    let mut labelled = info("w", 8);
    labelled.labels = vec!["ssd".parse().unwrap()];
    let mut leaving = info("v", 8);
    leaving.draining = true;
    leaving.labels = labelled.labels.clone();
    let mut fixture = Fixture::ready(vec![labelled, leaving, info("u", 8)]);
    let label = Some("ssd".parse().unwrap());
    fixture.submit(1, vec![Step { label, spread: 2, ..step(4) }]);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(id, _)| *id == worker("w")));
}

#[test]
fn a_slow_worker_is_chosen_last_for_new_tasks() {
    let mut fixture = Fixture::ready(vec![info("w", 8), info("v", 4)]);
    fixture.submit(1, vec![step(4)]);
    let starts = fixture.starts();
    assert!(starts.iter().all(|(id, _)| *id == worker("v")), "they are packed together");
    for (id, order) in &starts {
        fixture.accept(id, order);
    }
    for round in 1..=6 {
        fixture.advance(200);
        for (_, order) in &starts {
            fixture.set_running(&worker("v"), order.task, 1, round);
        }
        fixture.report(&worker("v"));
    }
    for (_, order) in &starts[..2] {
        fixture.end(&worker("v"), order.task, 1, RunEnd::Done);
    }
    fixture.report(&worker("v"));
    fixture.submit(2, vec![step(1)]);
    assert_eq!(fixture.starts()[0].0, worker("w"));
}

#[test]
fn a_speculative_task_on_an_unreachable_worker_gets_a_copy_and_the_first_to_finish_counts() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![Step { speculative: true, ..step(1) }]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    assert!(fixture.starts().is_empty());
    fixture.fail_poll(&id);
    let (other, copy) = fixture.starts().remove(0);
    assert_ne!(other, id);
    assert!(copy.run > order.run);
    fixture.accept(&other, &copy);
    assert!(fixture.starts().is_empty(), "there is one copy at most");
    fixture.end(&other, copy.task, copy.run.0, RunEnd::Done);
    fixture.report(&other);
    fixture.report(&id);
    assert_eq!(fixture.stops(), vec![(id, order.task)]);
    fixture.flush();
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Over(Ending::Completed)));
}

#[test]
fn a_speculative_copy_is_never_placed_on_the_worker_of_the_original() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![Step { speculative: true, ..step(1) }]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    for _ in 0..12 {
        fixture.advance(250);
        fixture.report(&id);
        assert!(fixture.starts().is_empty(), "it is slow there, and there is no other worker");
    }
}

#[test]
fn each_occurrence_of_a_scheduled_job_starts_when_it_is_due_and_the_job_ends_with_the_last() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    let mut record = crate::fixture::record(vec![step(1)], fixture.now.0);
    let schedule =
        Schedule { start: Millis(fixture.now.0 + 1000), interval: Millis(500), count: 2 };
    record.plan = Arc::new(Plan { schedule: Some(schedule), ..(*record.plan).clone() });
    fixture.pool.submit(JobId(1), &record, Revision(60), fixture.now, Millis(fixture.now.0));
    fixture.advance(900);
    fixture.report(&worker("w"));
    assert!(fixture.starts().is_empty(), "it is not due");
    for occurrence in 0..2 {
        fixture.advance(if occurrence == 0 { 100 } else { 500 });
        fixture.report(&worker("w"));
        let (id, order) = fixture.starts().remove(0);
        assert_eq!(order.task.occurrence, occurrence);
        fixture.accept(&id, &order);
        assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Running));
        fixture.end(&id, order.task, 1, RunEnd::Done);
        fixture.report(&id);
        fixture.flush();
    }
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Over(Ending::Completed)));
}

#[test]
fn a_gang_that_lost_a_member_is_stopped_at_once_and_restarted_whole() {
    let mut fixture = Fixture::ready(vec![info("w", 1), info("v", 1)]);
    fixture.submit(1, vec![Step { gang: true, ..step(2) }]);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 2);
    let ((kept, order), (lost, other)) = (&starts[0], &starts[1]);
    fixture.accept(kept, order);
    let unhealthy = Err(WorkerError::Rejected(Rejection::Unhealthy));
    fixture.pool.started(lost, other.task, other.run, unhealthy, fixture.now);
    assert_eq!(fixture.stops(), vec![(kept.clone(), order.task)], "it can't make progress alone");
    fixture.end(kept, order.task, order.run.0, RunEnd::Stopped);
    fixture.report(kept);
    assert!(fixture.starts().is_empty(), "one worker is suspended");
    fixture.advance(6000);
    fixture.report(kept);
    fixture.report(lost);
    let again = fixture.starts();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|(_, start)| start.run > order.run));
}

#[test]
fn an_unanswered_copy_is_barred_and_not_resent_once_the_task_is_done() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![Step { speculative: true, ..step(1) }, step(1)]);
    let first: Vec<_> = fixture.starts().into_iter().filter(|(_, o)| o.task.step == 0).collect();
    let (id, order) = first[0].clone();
    fixture.accept(&id, &order);
    fixture.fail_poll(&id);
    let (other, copy) =
        fixture.starts().into_iter().find(|(_, start)| start.task == order.task).unwrap();
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&other, copy.task, copy.run, lost, fixture.now);
    fixture.end(&id, order.task, order.run.0, RunEnd::Done);
    fixture.report(&id);
    fixture.advance(200);
    let actions = fixture.poll();
    let again = |action: &Action| matches!(action, Action::Start(_, o) if o.task == order.task);
    assert!(!actions.iter().any(again), "{actions:?}");
    let barred = |action: &Action| matches!(action, Action::Stop(_, task, run) if *task == order.task && *run == copy.run);
    assert!(actions.iter().any(barred), "{actions:?}");
}

#[test]
fn a_queue_of_higher_priority_comes_first_and_a_missed_job_last() {
    let mut fixture = Fixture::ready(vec![info("a", 1)]);
    let submit = |fixture: &mut Fixture, id: u64, priority: u32, accepted: u64| {
        let mut record = record(vec![step(1)], accepted);
        Arc::make_mut(&mut record.queue).priority = priority;
        fixture.pool.submit(
            JobId(id),
            &record,
            Revision(50 + id),
            fixture.now,
            Millis(fixture.now.0),
        );
    };
    let now = fixture.now.0;
    submit(&mut fixture, 1, 1, now);
    submit(&mut fixture, 2, 0, now);
    submit(&mut fixture, 3, 0, now - 60_000);
    let mut order = Vec::new();
    for number in 1..=3 {
        let (id, start) = fixture.starts().remove(0);
        order.push(start.task.job.0);
        fixture.accept(&id, &start);
        fixture.end(&id, start.task, start.run.0, RunEnd::Done);
        fixture.report(&id);
        fixture.flush();
        assert_eq!(order.len(), number);
    }
    assert_eq!(order, [2, 1, 3]);
}

#[test]
fn an_unanswered_start_is_given_up_only_after_a_report_requested_past_its_deadline() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![step(2)]);
    let starts = fixture.starts();
    for (id, order) in &starts {
        let lost = Err(WorkerError::Lost("no answer".to_owned()));
        fixture.pool.started(id, order.task, order.run, lost, fixture.now);
    }
    let id = starts[0].0.clone();
    // The owner is slow: it processes no answer and no report for longer than the orders are valid.
    // One of the runs has begun just before that, and the worker's lease is renewed by other calls.
    let early = fixture.now;
    fixture.advance(5000);
    assert!(fixture.starts().is_empty(), "either may have started");
    fixture.report_sent(&id, early);
    assert!(fixture.starts().is_empty(), "the report was requested before the deadline");
    fixture.set_running(&id, task(1, 0, 0), 1, 30);
    fixture.advance(10);
    fixture.report(&id);
    let again = fixture.starts();
    assert_eq!(again.len(), 1, "{again:?}");
    assert_eq!(again[0].1.task, task(1, 0, 1));
}

/// Long-running tasks keep their hosts in the pool. In a burst the fullest workers may be any, and
/// each long-running task placed by that rule would keep another host.
#[test]
fn long_running_tasks_are_placed_together() {
    let mut fixture = Fixture::ready(vec![info("a", 4), info("b", 4)]);
    let long_running = || vec![Step { long_running: true, ..step(1) }];
    fixture.submit_and_start(1, long_running());
    fixture.submit_and_start(2, vec![step(3)]);
    fixture.submit_and_start(3, vec![step(3)]);
    for index in 0..2 {
        fixture.end(&worker("a"), task(2, 0, index), 1, RunEnd::Done);
    }
    fixture.report(&worker("a"));
    fixture.submit(4, long_running());
    let starts = fixture.starts();
    assert_eq!(
        starts[0].0,
        worker("a"),
        "a has more free capacity than b, and a long-running task"
    );
}

/// Returns the wait of the next poll.
fn poll_wait(fixture: &mut Fixture) -> Option<Millis> {
    fixture.poll().into_iter().find_map(|action| match action {
        Action::Hold(_, order) => Some(order.wait),
        _ => None,
    })
}

#[test]
fn polls_of_a_worker_with_short_tasks_time_out_soon_after_a_lost_answer() {
    let mut fixture = Fixture::ready(vec![info("w1", 4)]);
    assert_eq!(poll_wait(&mut fixture), Some(timeouts().wait));
    fixture.submit_and_start(1, vec![Step { long_running: true, ..step(1) }]);
    fixture.report(&worker("w1"));
    assert_eq!(poll_wait(&mut fixture), Some(timeouts().wait), "long-running tasks end seldom");
    fixture.submit_and_start(2, vec![step(1)]);
    fixture.report(&worker("w1"));
    assert!(
        poll_wait(&mut fixture) <= Some(Millis(200)),
        "the next step of the job waits for the end"
    );
}

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
