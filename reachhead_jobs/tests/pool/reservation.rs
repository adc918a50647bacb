//! Tests of capacity that is reserved for long-running tasks.

use std::{collections::BTreeSet, sync::Arc};

use reachhead_jobs::{
    model::{AdvicePolicy, Queue, Step},
    pool::Action,
    ports::Approval,
    record::JobRecord,
    task::TaskId,
};
use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, info, queue, record, step, task, worker};

/// Returns a step of long-running tasks that keep apart.
fn lasting(count: u32) -> Step {
    Step { long_running: true, spread: 1, ..step(count) }
}

/// Submits a job of a queue whose steps need approvals of their workers.
fn submit_advised(fixture: &mut Fixture, id: u64, steps: Vec<Step>) {
    let advice =
        AdvicePolicy { decision: Millis(1), per_worker: Millis(1), validity: Millis(60_000) };
    let queue = Queue { advice: Some(advice), ..(*queue()).clone() };
    let record = JobRecord { queue: Arc::new(queue), ..record(steps, fixture.now.0) };
    let wall = Millis(fixture.now.0);
    fixture.pool.submit(JobId(id), &record, Revision(50 + id), fixture.now, wall);
}

/// Lets the time pass while workers confirm starts and only the first one is approved; returns the
/// tasks that were started.
fn run(fixture: &mut Fixture, millis: u64) -> BTreeSet<TaskId> {
    let mut started = BTreeSet::new();
    for _ in 0..millis / 100 {
        fixture.advance(100);
        for action in fixture.poll() {
            match action {
                Action::Start(target, order) => {
                    started.insert(order.task);
                    fixture.accept(&target.id, &order);
                }
                Action::Advise(step, _) => {
                    let approval = Approval { worker: worker("w0"), ticket: "t".to_owned() };
                    let now = fixture.now;
                    fixture.pool.advised(step, Some(vec![approval]), now, now);
                }
                _ => {}
            }
        }
        for info in fixture.infos.clone() {
            fixture.report(&info.id);
        }
    }
    started
}

/// A step that waited for capacity on its approved worker reserved another one, which it could not
/// use. It did so again whenever the reservation ended, and no other step got a place there.
#[test]
fn a_step_reserves_no_worker_that_is_not_approved_for_it() {
    let mut fixture = Fixture::ready((0..3).map(|id| info(&format!("w{id}"), 16)).collect());
    submit_advised(&mut fixture, 1, vec![lasting(2)]);
    assert_eq!(run(&mut fixture, 1000), BTreeSet::from([task(1, 0, 0)]));
    fixture.submit(2, vec![lasting(3)]);
    let expected = (0..3).map(|index| task(2, 0, index)).collect();
    assert_eq!(run(&mut fixture, 7000), expected, "all workers have fifteen cores free");
}
