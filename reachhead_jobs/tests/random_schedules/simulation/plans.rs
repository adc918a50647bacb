//! Jobs that clients submit in a schedule.

use std::sync::Arc;

use reachhead_jobs::model::{AdvicePolicy, Plan, Queue, Step};
use reachhead_plan::amount::Amount;
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

/// Returns a job whose tasks last for this time.
pub(super) fn lasting_plan(count: u32, time: Millis) -> Arc<Plan> {
    let step = Step { count, need: need(), estimate: time, ..Step::default() };
    Arc::new(Plan { payload: "x".into(), steps: vec![step], schedule: None })
}

/// Label of some workers.
pub(super) const LABEL: &str = "fast";

/// Validity of the approvals of the advised queue, in milliseconds.
const VALIDITY: u64 = 2000;

/// A queue whose steps need approvals of their workers.
pub(super) fn advised_queue() -> Arc<Queue> {
    let advice =
        AdvicePolicy { decision: Millis(50), per_worker: Millis(1), validity: Millis(VALIDITY) };
    let queue =
        Queue { name: "advised".parse().unwrap(), advice: Some(advice), ..(*queue()).clone() };
    Arc::new(queue)
}

/// Returns a job of one long-running step whose tasks keep apart.
pub(super) fn wide_plan(kind: u8, workers: u32) -> Arc<Plan> {
    let count = 2 + u32::from(kind / 4) % workers.max(2);
    let label = (kind % 4 == 0).then(|| LABEL.parse().unwrap());
    let step = Step {
        count,
        need: Amount::new(500 + 500 * u64::from(kind % 3), 100, 0),
        estimate: Millis(700),
        label,
        spread: 1,
        long_running: true,
        max_unavailable: 1,
        ..Step::default()
    };
    Arc::new(Plan { payload: "x".into(), steps: vec![step], schedule: None })
}
