//! Tests of starting, running and ending tasks.

use std::sync::Arc;

use reachhead_jobs::{
    model::{Plan, Schedule, Step},
    pool::{Action, Cancelled, JobState},
    ports::{Rejection, RunEnd, WorkerError},
    record::Ending,
};
use reachhead_types::{
    id::JobId,
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
