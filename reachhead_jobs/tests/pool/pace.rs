//! Tests of pacing best-effort tasks beside latency-sensitive tasks.

use reachhead_jobs::{model::Step, pool::Action};
use reachhead_types::size::Millis;

use crate::fixture::{Fixture, info, step, task, worker};

/// Returns a pool with one worker that runs a latency-sensitive and a best-effort task.
fn shared_worker() -> Fixture {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    let latency_sensitive = Step { long_running: true, target: Millis(100), ..step(1) };
    let best_effort = Step { long_running: true, best_effort: true, ..step(1) };
    fixture.submit(1, vec![latency_sensitive]);
    fixture.submit(2, vec![best_effort]);
    for (id, order) in fixture.starts() {
        fixture.accept(&id, &order);
    }
    fixture
}

/// Returns the pace that the owner sets after a report with this tail latency, if it sets one.
fn pace_after(fixture: &mut Fixture, tail: u64) -> Option<u32> {
    fixture.advance(400);
    for entry in fixture.running.get_mut(&worker("w")).unwrap() {
        entry.percent = 100;
        entry.metric = if entry.task == task(1, 0, 0) { tail } else { 500 };
    }
    fixture.report(&worker("w"));
    // The round comes some milliseconds after the report.
    fixture.advance(3);
    fixture.poll().into_iter().find_map(|action| match action {
        Action::Pace(_, paced, _, percent) => {
            assert_eq!(paced, task(2, 0, 0), "only the best-effort task is slowed down");
            Some(percent)
        }
        _ => None,
    })
}

#[test]
fn best_effort_tasks_slow_down_near_the_target_pause_above_it_and_speed_up_below() {
    let mut fixture = shared_worker();
    assert_eq!(pace_after(&mut fixture, 40), None);
    assert_eq!(pace_after(&mut fixture, 90), Some(50));
    assert_eq!(pace_after(&mut fixture, 120), Some(0));
    assert_eq!(pace_after(&mut fixture, 70), None);
    assert_eq!(pace_after(&mut fixture, 50), Some(10));
    assert_eq!(pace_after(&mut fixture, 50), Some(20));
}

#[test]
fn one_report_changes_the_pace_once() {
    let mut fixture = shared_worker();
    assert_eq!(pace_after(&mut fixture, 90), Some(50));
    fixture.advance(5);
    assert!(!fixture.poll().iter().any(|action| matches!(action, Action::Pace(..))));
}
