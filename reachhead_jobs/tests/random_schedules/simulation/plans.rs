//! Jobs that clients submit in a schedule.

use std::sync::Arc;

use reachhead_jobs::model::{Plan, Queue, Step};
use reachhead_types::size::Millis;

use super::{need, pool_name};

pub(super) fn queue() -> Arc<Queue> {
    Arc::new(Queue {
        name: "q".parse().unwrap(),
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        pool: pool_name(),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        target: Millis(600),
        advice: None,
        allows_anonymous: true,
    })
}

pub(super) fn plan(kind: u8) -> Arc<Plan> {
    let step = |count, after| Step {
        count,
        need: need(),
        estimate: Millis(700),
        after,
        ..Step::default()
    };
    let steps = match kind % 3 {
        0 => vec![step(2, vec![])],
        1 => vec![step(1, vec![]), step(2, vec![0])],
        _ => vec![Step { long_running: true, max_unavailable: 1, ..step(2, vec![]) }],
    };
    Arc::new(Plan { payload: "x".into(), steps, schedule: None })
}
