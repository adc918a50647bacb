//! Tests of restarted workers to which calls for the previous incarnation may still arrive.

use reachhead_jobs::ports::WorkerError;
use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};

use crate::{
    fixture::{Fixture, info, step, task, timeouts, worker},
    restart_fixture::{MAX_CALL_DELAY, lasting},
};

/// Returns a pool whose workers report their start times.
fn pool_of(names: &[&str]) -> Fixture {
    let mut fixture = Fixture::ready(names.iter().map(|name| info(name, 4)).collect());
    for info in &mut fixture.infos {
        info.started_at = Some(Millis(1000));
    }
    fixture.list();
    for name in names {
        fixture.report(&worker(name));
    }
    fixture
}

/// Restarts a worker under its id.
fn restart(fixture: &mut Fixture, name: &str) {
    let id = worker(name);
    let info = fixture.infos.iter_mut().find(|info| info.id == id).unwrap();
    info.started_at = info.started_at.map(|started| Millis(started.0 + 1000));
    fixture.running.remove(&id);
    fixture.ended.remove(&id);
    fixture.report(&id);
    fixture.list();
}

/// Restarts a worker under its id after a call without an answer.
fn restart_after_lost_call(fixture: &mut Fixture, name: &str) {
    fixture.fail_poll(&worker(name));
    restart(fixture, name);
}

/// Returns the workers on which the next round starts tasks, and confirms the orders.
fn start_all(fixture: &mut Fixture) -> Vec<WorkerId> {
    let accepted = fixture.starts().into_iter().map(|(id, order)| {
        fixture.accept(&id, &order);
        id
    });
    accepted.collect()
}

/// All workers of a pool came back under their ids after an outage: a long-running task waited for
/// 15 s beside free workers.
#[test]
fn a_long_running_task_does_not_wait_for_late_calls() {
    let mut fixture = pool_of(&["w1", "w2"]);
    restart_after_lost_call(&mut fixture, "w1");
    restart_after_lost_call(&mut fixture, "w2");
    fixture.submit(1, vec![lasting(1)]);
    assert_eq!(start_all(&mut fixture).len(), 1);
}

/// A worker that expects late calls holds what it runs for longer if it is lost, so others come
/// first.
#[test]
fn a_long_running_task_prefers_workers_without_late_calls() {
    let mut fixture = pool_of(&["w1", "w2"]);
    restart_after_lost_call(&mut fixture, "w1");
    // Tasks gather on w1 otherwise, which has less free.
    fixture.submit(1, vec![lasting(1)]);
    fixture.submit(2, vec![lasting(1)]);
    assert_eq!(start_all(&mut fixture), [worker("w2"), worker("w2")]);
}

/// A late call to the previous incarnation prolongs the leases at the new one for as long as a worker
/// grants. A task that is started elsewhere before these have ended runs twice.
#[test]
fn a_task_is_not_moved_before_leases_by_late_calls_have_ended() {
    let mut fixture = pool_of(&["w1"]);
    restart_after_lost_call(&mut fixture, "w1");
    let unanswered = fixture.now;
    fixture.submit(1, vec![lasting(1)]);
    assert_eq!(start_all(&mut fixture), [worker("w1")]);
    while fixture.now.since(unanswered) < Millis(MAX_CALL_DELAY - 1500) {
        fixture.advance(500);
        fixture.poll();
        fixture.report(&worker("w1"));
    }
    fixture.infos.push(info("w2", 4));
    fixture.list();
    fixture.poll();
    fixture.flush();
    let mut moved = None;
    while moved.is_none() && fixture.now.since(unanswered) < Millis(40_000) {
        fixture.advance(200);
        fixture.fail_poll(&worker("w1"));
        fixture.report(&worker("w2"));
        moved = (!start_all(&mut fixture).is_empty()).then(|| fixture.now.since(unanswered));
    }
    let least = MAX_CALL_DELAY + timeouts().grant.0;
    assert!(moved >= Some(Millis(least)), "moved after {moved:?}");
    assert!(moved <= Some(Millis(least + 1000)), "moved after {moved:?}");
}

/// A start order without an answer, whose run was stopped meanwhile, may be carried out by the new
/// incarnation. Together with a run that was started there it would exceed the capacity.
#[test]
fn late_orders_find_room() {
    let mut fixture = pool_of(&["w"]);
    fixture.submit(1, vec![lasting(3)]);
    let (id, order) = fixture.starts().remove(0);
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    fixture.pool.cancel(JobId(1));
    fixture.flush();
    fixture.advance(200);
    assert_eq!(fixture.stops(), [(id.clone(), task(1, 0, 0))]);
    let clock = fixture.clock();
    fixture.pool.stopped(&id, order.task, order.run, fixture.now, Ok(clock), fixture.now);
    fixture.advance(100);
    fixture.report(&id);
    restart(&mut fixture, "w");
    fixture.submit(2, vec![lasting(2)]);
    assert!(start_all(&mut fixture).is_empty(), "the late order needs the room");
    fixture.submit(3, vec![lasting(1)]);
    assert_eq!(start_all(&mut fixture).len(), 1);
    fixture.set_running(&id, task(3, 0, 0), 1, 100);
    fixture.report(&id);
    fixture.advance(MAX_CALL_DELAY + 200);
    fixture.report(&id);
    assert_eq!(start_all(&mut fixture).len(), 1);
}

/// A dispatcher gave no result of a poll, which the owner repeated. The worker answered that and restarted; the
/// dispatcher's poll could still make the new incarnation forget ends that no owner had read.
#[test]
fn a_poll_that_a_dispatcher_may_still_send_is_a_late_call() {
    let mut fixture = pool_of(&["w"]);
    let id = worker("w");
    let sent = fixture.now;
    fixture.poll();
    fixture.advance(500);
    fixture.pool.poll_repeated(&id, sent, fixture.now);
    let repeated = fixture.now;
    fixture.report_sent(&id, sent);
    restart(&mut fixture, "w");
    fixture.submit(1, vec![step(1)]);
    while start_all(&mut fixture).is_empty() {
        assert!(fixture.now.since(repeated) < Millis(30_000), "the task never starts");
        fixture.advance(100);
        fixture.report(&id);
        fixture.flush();
    }
    let wait = fixture.now.since(repeated).0;
    assert!(wait >= MAX_CALL_DELAY, "started after {wait} ms");
    assert!(wait <= MAX_CALL_DELAY + 500, "started after {wait} ms");
}

/// The same where the restart is noticed by the repeated poll itself, or before that ends.
#[test]
fn a_repeated_poll_is_a_late_call_when_the_restart_is_noticed_first() {
    for is_removed in [false, true] {
        let mut fixture = pool_of(&["w"]);
        let id = worker("w");
        let sent = fixture.now;
        fixture.poll();
        fixture.advance(500);
        if is_removed {
            fixture.pool.held(&id, fixture.now, Err(WorkerError::Replaced), fixture.now);
        }
        fixture.infos[0].started_at = Some(Millis(2000));
        fixture.pool.poll_repeated(&id, sent, fixture.now);
        if is_removed {
            fixture.list();
        }
        fixture.report_sent(&id, sent);
        fixture.list();
        let known = &fixture.pool.workers()[&id];
        assert!(known.expects_late_calls(fixture.now), "removed: {is_removed}");
    }
}
