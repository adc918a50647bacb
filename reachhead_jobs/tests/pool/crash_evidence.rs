//! Tests of which crashes count against a task: those of workers that are known to have had it.

use reachhead_jobs::{model::Step, pool::JobState, ports::WorkerError, record::Ending};
use reachhead_types::id::{JobId, WorkerId};

use crate::fixture::{Fixture, info, step};

/// Time since the last contact with a worker that is in a long poll.
const POLL_AGE: u64 = 1400;

fn long_running(count: u32) -> Step {
    Step { long_running: true, max_unavailable: 1, ..step(count) }
}

fn workers(count: u32) -> Fixture {
    Fixture::ready((0..count).map(|number| info(&format!("w{number}"), 4)).collect())
}

/// Answers each start order of the next round with `error`, and returns the workers.
fn fail_starts(fixture: &mut Fixture, error: &WorkerError) -> Vec<WorkerId> {
    let starts = fixture.starts();
    for (id, order) in &starts {
        fixture.advance(5);
        fixture.pool.started(id, order.task, order.run, Err(error.clone()), fixture.now);
    }
    starts.into_iter().map(|(id, _)| id).collect()
}

/// Guards against the loss of an accepted job whose task was ordered to three workers that had been
/// replaced before.
#[test]
fn a_task_whose_orders_reach_only_replaced_workers_is_not_given_up() {
    let mut fixture = workers(6);
    fixture.advance(POLL_AGE);
    fixture.submit(1, vec![long_running(1)]);
    for _ in 0..5 {
        let tried = fail_starts(&mut fixture, &WorkerError::Replaced);
        assert_eq!(tried.len(), 1, "the task is started again at once");
        fixture.flush();
        fixture.advance(60);
    }
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Queued));
}

/// The same for orders without an answer to workers that had crashed before they were sent.
#[test]
fn a_task_whose_orders_are_unanswered_by_dead_workers_is_not_given_up() {
    let mut fixture = workers(6);
    fixture.submit(1, vec![long_running(1)]);
    for _ in 0..5 {
        for id in fixture.infos.iter().map(|info| info.id.clone()).collect::<Vec<_>>() {
            fixture.report(&id);
        }
        fixture.advance(POLL_AGE);
        let tried = fail_starts(&mut fixture, &WorkerError::Lost("no answer".to_owned()));
        fixture.advance(900);
        for id in tried {
            fixture.pool.held(&id, fixture.now, Err(WorkerError::Replaced), fixture.now);
            fixture.infos.retain(|info| info.id != id);
        }
        fixture.list();
        fixture.flush();
    }
    assert_ne!(fixture.pool.state(JobId(1)), Some(JobState::Over(Ending::Failed)));
}
