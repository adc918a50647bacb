//! Slowing down what fills beside tasks that serve.

use reachhead_jobs::{model::Step, pool::Action};
use reachhead_types::size::Millis;

use crate::desk::{Desk, info, step, task, worker};

/// A pool with one worker on which a task serves and another fills beside it.
fn beside() -> Desk {
    let mut desk = Desk::ready(vec![info("w", 4)]);
    let serves = Step { long_running: true, target: Millis(100), ..step(1) };
    let fills = Step { long_running: true, fills: true, ..step(1) };
    desk.submit(1, vec![serves]);
    desk.submit(2, vec![fills]);
    for (id, order) in desk.starts() {
        desk.accept(&id, &order);
    }
    desk
}

/// Returns the pace that the owner asks for after a report with this tail, if it asks for one.
fn pace_after(desk: &mut Desk, tail: u64) -> Option<u32> {
    desk.pass(400);
    for entry in desk.running.get_mut(&worker("w")).unwrap() {
        entry.percent = 100;
        entry.figure = if entry.task == task(1, 0, 0) { tail } else { 500 };
    }
    desk.report(&worker("w"));
    // The round comes some milliseconds after the report.
    desk.pass(3);
    desk.poll().into_iter().find_map(|action| match action {
        Action::Pace(_, paced, _, percent) => {
            assert_eq!(paced, task(2, 0, 0), "only what fills is slowed down");
            Some(percent)
        }
        _ => None,
    })
}

#[test]
fn what_fills_is_slowed_down_near_the_target_stopped_above_it_and_let_go_below() {
    let mut desk = beside();
    assert_eq!(pace_after(&mut desk, 40), None);
    assert_eq!(pace_after(&mut desk, 90), Some(50));
    assert_eq!(pace_after(&mut desk, 120), Some(0));
    assert_eq!(pace_after(&mut desk, 70), None);
    assert_eq!(pace_after(&mut desk, 50), Some(10));
    assert_eq!(pace_after(&mut desk, 50), Some(20));
}

#[test]
fn one_report_changes_the_pace_once() {
    let mut desk = beside();
    assert_eq!(pace_after(&mut desk, 90), Some(50));
    desk.pass(5);
    assert!(!desk.poll().iter().any(|action| matches!(action, Action::Pace(..))));
}
