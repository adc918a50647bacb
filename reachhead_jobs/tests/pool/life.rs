//! Starts, runs and ends.

use std::sync::Arc;

use reachhead_jobs::{
    model::{Plan, Schedule, Step},
    pool::{Action, Cancelled, JobState},
    ports::{Rejection, RunEnd, WorkerError},
    record::Ending,
    worker::Worker,
};
use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, info, record, step, task, timeouts, worker};

#[test]
fn a_job_runs_its_steps_in_order_and_is_told_as_completed_once_that_is_stored() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1), Step { after: vec![0], ..step(1) }]);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    fixture.accept(&worker("w"), &starts[0].1);
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Running));
    fixture.pass(1000);
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

/// Runs are looked at by what happens and now and then, not in each of the rounds that are 4 ms apart in a burst.
#[test]
fn an_order_that_is_due_again_is_sent_soon_though_nothing_happens() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    assert!(fixture.starts().is_empty(), "it is not due yet");
    let mut waited = 0;
    while fixture.starts().is_empty() {
        fixture.pass(4);
        waited += 4;
    }
    assert!((50..=75).contains(&waited), "{waited} ms");
}

#[test]
fn a_start_without_an_answer_is_repeated_there_with_the_same_deadline() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = || Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost(), fixture.now);
    fixture.pass(200);
    let (again, repeated) = fixture.starts().remove(0);
    assert_eq!((again, &repeated), (id.clone(), &order));
    // Turned away now, but the first copy may still come: it is barred before the task goes on.
    let room = Err(WorkerError::Rejected(Rejection::Room));
    fixture.pool.started(&id, order.task, order.run, room, fixture.now);
    let actions = fixture.poll();
    assert!(actions.iter().any(|action| matches!(action, Action::Stop(..))), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Start(..))), "{actions:?}");
    let clock = fixture.clock();
    fixture.pool.stopped(&id, order.task, order.run, Ok(clock), fixture.now);
    fixture.pass(5);
    fixture.report(&id);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_run_that_was_barred_is_gone_though_it_is_barred_again_while_the_worker_is_polled() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    fixture.pass(200);
    fixture.starts();
    let late = Err(WorkerError::Rejected(Rejection::Late));
    fixture.pool.started(&id, order.task, order.run, late, fixture.now);
    // A poll waits longer than it takes until the run is barred again.
    let bar = |fixture: &mut Fixture| {
        assert_eq!(fixture.stops().len(), 1);
        let clock = fixture.clock();
        fixture.pool.stopped(&id, order.task, order.run, Ok(clock), fixture.now);
    };
    bar(&mut fixture);
    fixture.pass(500);
    let sent = fixture.now;
    fixture.pass(600);
    bar(&mut fixture);
    fixture.pass(400);
    fixture.report_sent(&id, sent);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn a_task_on_a_silent_worker_starts_again_only_after_its_lease_has_surely_lapsed() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    fixture.miss(&id);
    fixture.infos.push(info("v", 4));
    fixture.list();
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("v"));
    for _ in 0..39 {
        fixture.pass(100);
        fixture.miss(&id);
        fixture.report(&worker("v"));
        assert!(fixture.starts().is_empty(), "its lease may hold");
    }
    fixture.pass(400);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, worker("v"));
    assert!(starts[0].1.run > order.run);
}

#[test]
fn runs_that_nobody_knows_are_stopped_and_keep_a_worker_from_new_tasks() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.runs(&worker("w"), task(99, 0, 0), 5, 40);
    fixture.report(&worker("w"));
    assert_eq!(fixture.stops(), vec![(worker("w"), task(99, 0, 0))]);
    fixture.submit(1, vec![step(1)]);
    assert!(fixture.starts().is_empty(), "what the unknown run takes is not known");
    fixture.end(&worker("w"), task(99, 0, 0), 5, RunEnd::Stopped);
    fixture.report(&worker("w"));
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn what_is_being_stopped_still_takes_room() {
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
fn a_gang_starts_whole_or_not_at_all_and_one_end_stands_for_all() {
    let mut fixture = Fixture::ready(vec![info("w", 2), info("v", 1)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    fixture.submit(2, vec![Step { gang: true, ..step(3) }]);
    assert!(fixture.starts().is_empty(), "one of three has no room");
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
fn an_owner_that_nobody_confirms_gives_no_orders_and_prolongs_nothing() {
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
fn a_task_that_must_be_at_work_takes_the_room_of_short_ones() {
    let mut fixture = Fixture::ready(vec![info("w", 2)]);
    fixture.begin(1, vec![step(2)]);
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
fn labels_spread_and_draining_are_kept() {
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
fn a_worker_on_which_tasks_hardly_progress_is_chosen_last() {
    let mut fixture = Fixture::ready(vec![info("w", 8), info("v", 4)]);
    fixture.submit(1, vec![step(4)]);
    let starts = fixture.starts();
    assert!(starts.iter().all(|(id, _)| *id == worker("v")), "they stand close");
    for (id, order) in &starts {
        fixture.accept(id, order);
    }
    for round in 1..=6 {
        fixture.pass(200);
        for (_, order) in &starts {
            fixture.runs(&worker("v"), order.task, 1, round);
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
fn a_speculative_task_on_a_silent_worker_gets_a_second_run_and_the_first_to_finish_counts() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![Step { speculative: true, ..step(1) }]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    assert!(fixture.starts().is_empty());
    fixture.miss(&id);
    let (other, copy) = fixture.starts().remove(0);
    assert_ne!(other, id);
    assert!(copy.run > order.run);
    fixture.accept(&other, &copy);
    assert!(fixture.starts().is_empty(), "two are enough");
    fixture.end(&other, copy.task, copy.run.0, RunEnd::Done);
    fixture.report(&other);
    fixture.report(&id);
    assert_eq!(fixture.stops(), vec![(id, order.task)]);
    fixture.flush();
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Over(Ending::Completed)));
}

#[test]
fn a_second_run_never_goes_to_the_worker_of_the_first() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![Step { speculative: true, ..step(1) }]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    for _ in 0..12 {
        fixture.pass(250);
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
    fixture.pass(900);
    fixture.report(&worker("w"));
    assert!(fixture.starts().is_empty(), "it is not due");
    for occurrence in 0..2 {
        fixture.pass(if occurrence == 0 { 100 } else { 500 });
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
fn a_gang_that_lost_a_member_is_stopped_at_once_and_starts_whole_again() {
    let mut fixture = Fixture::ready(vec![info("w", 1), info("v", 1)]);
    fixture.submit(1, vec![Step { gang: true, ..step(2) }]);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 2);
    let ((kept, order), (lost, other)) = (&starts[0], &starts[1]);
    fixture.accept(kept, order);
    let unhealthy = Err(WorkerError::Rejected(Rejection::Unhealthy));
    fixture.pool.started(lost, other.task, other.run, unhealthy, fixture.now);
    assert_eq!(fixture.stops(), vec![(kept.clone(), order.task)], "it would wait in vain");
    fixture.end(kept, order.task, order.run.0, RunEnd::Stopped);
    fixture.report(kept);
    assert!(fixture.starts().is_empty(), "one worker is suspended");
    fixture.pass(6000);
    fixture.report(kept);
    fixture.report(lost);
    let again = fixture.starts();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|(_, start)| start.run > order.run));
}

#[test]
fn a_second_run_without_an_answer_is_barred_and_not_repeated_once_the_task_is_done() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![Step { speculative: true, ..step(1) }, step(1)]);
    let first: Vec<_> = fixture.starts().into_iter().filter(|(_, o)| o.task.step == 0).collect();
    let (id, order) = first[0].clone();
    fixture.accept(&id, &order);
    fixture.miss(&id);
    let (other, copy) =
        fixture.starts().into_iter().find(|(_, start)| start.task == order.task).unwrap();
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&other, copy.task, copy.run, lost, fixture.now);
    fixture.end(&id, order.task, order.run.0, RunEnd::Done);
    fixture.report(&id);
    fixture.pass(200);
    let actions = fixture.poll();
    let again = |action: &Action| matches!(action, Action::Start(_, o) if o.task == order.task);
    assert!(!actions.iter().any(again), "{actions:?}");
    let barred = |action: &Action| matches!(action, Action::Stop(_, task, run) if *task == order.task && *run == copy.run);
    assert!(actions.iter().any(barred), "{actions:?}");
}

#[test]
fn a_queue_of_higher_priority_comes_first_and_a_job_that_is_too_late_last() {
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
fn a_start_that_was_never_answered_is_given_up_only_by_a_report_from_after_its_deadline() {
    let mut fixture = Fixture::ready(vec![info("w", 4), info("v", 4)]);
    fixture.submit(1, vec![step(2)]);
    let starts = fixture.starts();
    for (id, order) in &starts {
        let lost = Err(WorkerError::Lost("no answer".to_owned()));
        fixture.pool.started(id, order.task, order.run, lost, fixture.now);
    }
    let id = starts[0].0.clone();
    // The owner is slow: no answer and no report is taken in for longer than the orders are valid. One of
    // them has begun just before that, and the worker's lease is prolonged by other calls.
    let early = fixture.now;
    fixture.pass(5000);
    assert!(fixture.starts().is_empty(), "either may have begun");
    fixture.report_sent(&id, early);
    assert!(fixture.starts().is_empty(), "the report was asked for too early to tell");
    fixture.runs(&id, task(1, 0, 0), 1, 30);
    fixture.pass(10);
    fixture.report(&id);
    let again = fixture.starts();
    assert_eq!(again.len(), 1, "{again:?}");
    assert_eq!(again[0].1.task, task(1, 0, 1));
}

/// Tasks that run on keep their hosts in the pool. In a burst the fullest workers are anywhere, and each call of
/// such a job would keep others.
#[test]
fn a_task_that_runs_on_goes_where_others_are_that_do() {
    let mut fixture = Fixture::ready(vec![info("a", 4), info("b", 4)]);
    let lasting = || vec![Step { long_running: true, ..step(1) }];
    fixture.begin(1, lasting());
    fixture.begin(2, vec![step(3)]);
    fixture.begin(3, vec![step(3)]);
    for index in 0..2 {
        fixture.end(&worker("a"), task(2, 0, index), 1, RunEnd::Done);
    }
    fixture.report(&worker("a"));
    fixture.submit(4, lasting());
    let starts = fixture.starts();
    assert_eq!(starts[0].0, worker("a"), "there is more room than on b, and a task that runs on");
}

/// Returns how long the next poll of a worker waits.
fn poll_wait(fixture: &mut Fixture) -> Option<Millis> {
    fixture.poll().into_iter().find_map(|action| match action {
        Action::Hold(_, order) => Some(order.wait),
        _ => None,
    })
}

#[test]
fn a_poll_of_a_worker_with_short_tasks_waits_so_briefly_that_a_lost_answer_holds_nobody_up() {
    let mut fixture = Fixture::ready(vec![info("w1", 4)]);
    assert_eq!(poll_wait(&mut fixture), Some(timeouts().wait));
    fixture.begin(1, vec![Step { long_running: true, ..step(1) }]);
    fixture.report(&worker("w1"));
    assert_eq!(poll_wait(&mut fixture), Some(timeouts().wait), "what runs on ends seldom");
    fixture.begin(2, vec![step(1)]);
    fixture.report(&worker("w1"));
    assert!(poll_wait(&mut fixture) <= Some(Millis(200)), "its job's next step waits for its end");
}

/// A task that stands still wherever it runs was stopped after 2.5 s on one worker after the other, and each was taken for faulty and
/// got nothing for five seconds: two such tasks kept a pool of four without a usable worker for most of the time.
#[test]
fn a_task_that_stands_still_everywhere_does_not_take_one_worker_after_the_other_out_of_use() {
    let names = ["w", "v", "u", "t"];
    let mut fixture = Fixture::ready(names.iter().map(|name| info(name, 4)).collect());
    fixture.submit(1, vec![step(2)]);
    let mut suspended = 0;
    let mut starts = 0;
    for _ in 0..400 {
        fixture.pass(100);
        for action in fixture.poll() {
            match action {
                Action::Start(target, order) => {
                    starts += 1;
                    fixture.accept(&target.id, &order);
                }
                Action::Stop(target, task, run) => {
                    let clock = fixture.clock();
                    fixture.pool.stopped(&target.id, task, run, Ok(clock), fixture.now);
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
    assert!(suspended <= 2 * 50, "{suspended} tenths of a second without use");
    assert!(starts <= 2 * 4, "started {starts} times");
}
