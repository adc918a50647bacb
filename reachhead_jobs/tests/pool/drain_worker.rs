//! Tests of draining workers for planned work.

use reachhead_jobs::{
    model::Step,
    pool::{DeathEvidence, DrainMode, DrainProgress},
    ports::RunEnd,
};
use reachhead_plan::amount::Amount;
use reachhead_types::id::{JobId, WorkerId};

use crate::fixture::{Fixture, info, recovered, step, task, worker};

fn long_running(count: u32) -> Vec<Step> {
    vec![Step { long_running: true, max_unavailable: 1, spread: 1, ..step(count) }]
}

/// Returns a pool in which each of three long-running tasks runs on a worker of its own, and those
/// workers.
fn with_running_tasks() -> (Fixture, Vec<WorkerId>) {
    let mut fixture = Fixture::ready(vec![info("a", 2), info("b", 2), info("c", 2), info("d", 2)]);
    fixture.submit(1, long_running(3));
    let mut used = Vec::new();
    for (id, order) in fixture.starts() {
        fixture.accept(&id, &order);
        fixture.set_running(&id, order.task, order.run.0, 100);
        fixture.report(&id);
        used.push(id);
    }
    fixture.advance(2000);
    (fixture, used)
}

#[test]
fn one_task_of_a_step_is_disrupted_at_a_time() {
    let (mut fixture, used) = with_running_tasks();
    assert_eq!(
        fixture.pool.drain_worker(&used[0], DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
    assert_eq!(
        fixture.pool.drain_worker(&used[1], DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
    let stops = fixture.stops();
    assert_eq!(stops.len(), 1, "{stops:?}");
    assert_eq!(stops[0].0, used[0]);
}

#[test]
fn a_task_on_an_unreachable_worker_counts_as_unavailable() {
    let (mut fixture, used) = with_running_tasks();
    fixture.fail_poll(&used[1]);
    fixture.pool.drain_worker(&used[0], DrainMode::Graceful, fixture.now);
    assert!(fixture.stops().is_empty());
}

#[test]
fn a_new_owner_reports_a_drained_worker_only_after_all_have_answered() {
    let found = recovered(vec![(1, long_running(1))], vec![("a", None), ("b", None)]);
    let mut fixture = Fixture::new(found, vec![info("a", 2), info("b", 2)]);
    fixture.poll();
    fixture.flush();
    assert_eq!(
        fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
    assert_eq!(
        fixture.pool.drain_worker(&worker("unknown"), DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
}

#[test]
fn a_new_owner_disrupts_no_task_while_its_predecessors_stops_may_be_in_flight() {
    let found = recovered(vec![(1, long_running(2))], vec![("a", None), ("b", None)]);
    let mut fixture = Fixture::new(found, vec![info("a", 2), info("b", 2), info("c", 2)]);
    fixture.poll();
    fixture.flush();
    for (name, index) in [("a", 0), ("b", 1)] {
        fixture.set_running(&worker(name), task(1, 0, index), 1, 100);
        fixture.report(&worker(name));
    }
    fixture.report(&worker("c"));
    fixture.poll();
    fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now);
    assert!(
        fixture.stops().is_empty(),
        "the other task may be stopping by the predecessor's order"
    );
    fixture.advance(1000);
    fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now);
    assert!(
        fixture.stops().is_empty(),
        "the other worker's last report precedes the end of the stops"
    );
    fixture.report(&worker("b"));
    fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now);
    assert_eq!(fixture.stops().len(), 1);
}

#[test]
fn a_task_is_not_disrupted_while_it_has_no_other_place() {
    let mut fixture = Fixture::ready(vec![info("a", 2), info("b", 2)]);
    fixture.submit(1, long_running(2));
    for (id, order) in fixture.starts() {
        fixture.accept(&id, &order);
        fixture.set_running(&id, order.task, order.run.0, 100);
        fixture.report(&id);
    }
    fixture.advance(2000);
    assert_eq!(
        fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
    assert!(fixture.stops().is_empty());
    assert_eq!(fixture.pool.load(fixture.now).extra, 1, "one extra host is requested");
}

#[test]
fn not_all_workers_of_a_pool_are_drained_at_once() {
    let mut fixture = Fixture::ready(vec![info("a", 4), info("b", 4), info("c", 4)]);
    fixture.submit(1, vec![Step { long_running: true, max_unavailable: 1, ..step(2) }]);
    for (id, order) in fixture.starts() {
        fixture.accept(&id, &order);
        fixture.set_running(&id, order.task, order.run.0, 100);
        fixture.report(&id);
    }
    fixture.advance(2000);
    for name in ["a", "b", "c"] {
        fixture.pool.drain_worker(&worker(name), DrainMode::Graceful, fixture.now);
    }
    assert_eq!(fixture.pool.load(fixture.now).extra, 1);
    let (id, task) = fixture.stops().remove(0);
    fixture.end(&id, task, 1, RunEnd::Stopped);
    fixture.report(&id);
    assert_eq!(fixture.starts().len(), 1, "the disrupted task finds a place");
}

#[test]
fn a_cordon_applies_to_a_worker_that_is_listed_later() {
    let mut fixture = Fixture::ready(vec![info("a", 2)]);
    fixture.poll();
    fixture.advance(1000);
    fixture.poll();
    assert_eq!(
        fixture.pool.drain_worker(&worker("b"), DrainMode::Graceful, fixture.now),
        DrainProgress::Unknown
    );
    fixture.infos = vec![info("b", 8)];
    fixture.list();
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("b"));
    fixture.submit(1, vec![step(1)]);
    assert!(fixture.starts().is_empty());
}

#[test]
fn a_worker_that_is_being_drained_gets_no_new_tasks() {
    let mut fixture = Fixture::ready(vec![info("a", 2)]);
    fixture.poll();
    fixture.advance(1000);
    fixture.poll();
    assert_eq!(
        fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now),
        DrainProgress::Empty
    );
    fixture.submit(1, vec![step(1)]);
    assert!(fixture.starts().is_empty());
    fixture.advance(3000);
    fixture.report(&worker("a"));
    assert_eq!(fixture.starts().len(), 1, "the cordon has expired");
}

#[test]
fn a_worker_with_unrecorded_ends_is_not_drained() {
    let mut fixture = Fixture::ready(vec![info("a", 4), info("b", 4)]);
    fixture.submit(1, vec![step(2)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    fixture.advance(1000);
    fixture.poll();
    fixture.set_running(&id, reachhead_jobs::task::TaskId { index: 1, ..order.task }, 1, 50);
    fixture.end(&id, order.task, 1, RunEnd::Done);
    fixture.end(&id, reachhead_jobs::task::TaskId { index: 1, ..order.task }, 1, RunEnd::Stopped);
    fixture.report(&id);
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Graceful, fixture.now),
        DrainProgress::Protected,
        "only the worker has the end"
    );
    fixture.flush();
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Graceful, fixture.now),
        DrainProgress::Empty
    );
}

#[test]
fn a_forced_drain_stops_short_tasks_and_completes_once_their_ends_are_recorded() {
    let mut fixture = Fixture::ready(vec![info("a", 4)]);
    fixture.submit_and_start(1, vec![step(2)]);
    let id = worker("a");
    fixture.advance(1000);
    fixture.poll();
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Graceful, fixture.now),
        DrainProgress::Short
    );
    assert!(fixture.stops().is_empty());
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Forced, fixture.now),
        DrainProgress::Short
    );
    assert_eq!(fixture.stops().len(), 2);
    // One ends as done before the order arrives.
    fixture.end(&id, task(1, 0, 0), 1, RunEnd::Done);
    fixture.end(&id, task(1, 0, 1), 1, RunEnd::Stopped);
    fixture.report(&id);
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Forced, fixture.now),
        DrainProgress::Protected
    );
    fixture.flush();
    assert_eq!(
        fixture.pool.drain_worker(&id, DrainMode::Forced, fixture.now),
        DrainProgress::Empty
    );
}

#[test]
fn a_report_that_arrives_after_its_worker_died_still_counts_ends() {
    let mut fixture = Fixture::ready(vec![info("a", 4), info("b", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    fixture.end(&id, order.task, 1, RunEnd::Done);
    // The worker reported the end in an answer that is still in flight.
    fixture.pool.worker_died(&id, DeathEvidence::Unhosted, fixture.now);
    fixture.report(&id);
    assert!(fixture.starts().is_empty(), "the task is done");
    fixture.flush();
    fixture.poll();
    assert!(fixture.pool.jobs().is_empty());
}

#[test]
fn an_idle_worker_that_answered_a_new_owner_is_drained_before_all_have_answered() {
    let found = recovered(vec![(1, long_running(1))], vec![("a", None), ("b", None), ("c", None)]);
    let mut fixture = Fixture::new(found, vec![info("a", 2), info("b", 2), info("c", 2)]);
    fixture.poll();
    fixture.flush();
    fixture.set_running(&worker("b"), task(1, 0, 0), 1, 100);
    fixture.report(&worker("a"));
    fixture.report(&worker("b"));
    assert_eq!(
        fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now),
        DrainProgress::Empty
    );
    assert_eq!(
        fixture.pool.drain_worker(&worker("b"), DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
    assert_eq!(
        fixture.pool.drain_worker(&worker("c"), DrainMode::Graceful, fixture.now),
        DrainProgress::Protected
    );
}

/// A long-running task that no worker can take, for its label or its size, kept every worker with
/// long-running tasks from being drained, so that planned work never ended.
#[test]
fn a_task_that_no_worker_can_take_does_not_hold_up_a_drain() {
    for (label, cores) in [(Some("missing"), 1000), (None, 9000)] {
        let (mut fixture, used) = with_running_tasks();
        let label = label.map(|label| label.parse().unwrap());
        let need = Amount::new(cores, 100, 0);
        fixture.submit(2, vec![Step { label, need, long_running: true, ..step(1) }]);
        assert!(fixture.starts().is_empty());
        fixture.pool.drain_worker(&used[0], DrainMode::Graceful, fixture.now);
        assert_eq!(fixture.stops().len(), 1, "its task may move");
    }
}

/// Hosts that were switched off are found gone later than their cordons last. Guards against taking
/// these ends for an outage, in which a task that may crash its worker does not start.
#[test]
fn planned_ends_that_are_noticed_late_are_no_outage() {
    let mut fixture = Fixture::ready(["a", "b", "c", "d", "e"].map(|name| info(name, 2)).into());
    fixture.submit_and_start(1, long_running(1));
    let crashed = fixture.running.keys().next().unwrap().clone();
    fixture.pool.worker_died(&crashed, DeathEvidence::Unhosted, fixture.now);
    fixture.infos.retain(|info| info.id != crashed);
    let leaving: Vec<WorkerId> = fixture.infos.iter().take(3).map(|info| info.id.clone()).collect();
    for id in &leaving {
        let progress = fixture.pool.drain_worker(id, DrainMode::Graceful, fixture.now);
        assert_eq!(progress, DrainProgress::Empty);
    }
    fixture.infos.retain(|info| !leaving.contains(&info.id));
    fixture.advance(2700);
    for id in &leaving {
        fixture.pool.worker_died(id, DeathEvidence::Unhosted, fixture.now);
    }
    fixture.list();
    fixture.flush();
    fixture.report(&fixture.infos[0].id.clone());
    assert_eq!(fixture.starts().len(), 1);
}

/// A host that was switched off was found gone after its worker's cordon, and a task had been ordered
/// there meanwhile. Guards against counting the planned end against the task.
#[test]
fn a_planned_end_that_is_noticed_late_is_no_crash() {
    let mut fixture = Fixture::ready(vec![info("a", 2)]);
    fixture.pool.drain_worker(&worker("a"), DrainMode::Graceful, fixture.now);
    fixture.advance(2700);
    fixture.submit(1, long_running(1));
    assert_eq!(fixture.starts().len(), 1, "the cordon is over");
    fixture.pool.worker_died(&worker("a"), DeathEvidence::Unhosted, fixture.now);
    let state = &fixture.pool.jobs()[&JobId(1)].steps[&task(1, 0, 0).step_id()].tasks[0];
    assert!(state.crashes.is_empty());
}
