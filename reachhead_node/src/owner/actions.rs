//! Executes and logs the actions that the owner of a pool decides on.

use reachhead_jobs::{
    clock::Tick,
    pool::{Action, NoteKind},
    ports::WorkerAgent,
    record::{job_key, lease_key},
};
use reachhead_ops::event::Event;
use reachhead_types::id::PoolName;

use super::Input;
use crate::{dispatch::DispatchedWorkers, node::Node};

/// Executes an action and returns the input for the owner that results from it.
pub(super) async fn perform(
    node: &Node,
    workers: &DispatchedWorkers,
    pool: &PoolName,
    action: Action,
    sent: Tick,
) -> Option<Input> {
    match action {
        Action::Start(target, order) => {
            let (id, task, run) = (target.id.clone(), order.task, order.run);
            let result = workers.start(target, order).await;
            node.metrics.order("start", &result);
            Some(Input::StartAnswered(id, task, run, result))
        }
        Action::Stop(target, task, run) => {
            let id = target.id.clone();
            let result = workers.stop(target, task, run).await;
            node.metrics.order("stop", &result);
            Some(Input::StopAnswered(id, task, run, sent, result))
        }
        Action::Pace(target, task, run, percent) => {
            let result = workers.pace(target, task, run, percent).await;
            node.metrics.order("pace", &result);
            result.is_err().then_some(Input::PaceFailed(task, run))
        }
        Action::Hold(target, order) => {
            let id = target.id.clone();
            let outcome = workers.poll(target, order).await;
            node.metrics.order("hold", &outcome.result);
            Some(Input::PollAnswered(id, sent, outcome))
        }
        Action::FindJobs(ids) => {
            let keys = ids.iter().map(|id| job_key(pool, *id)).collect();
            let rows = node.services.store.read(keys).await;
            node.record_store_result(&rows);
            Some(Input::JobsFound(ids, rows))
        }
        Action::ConfirmLease => {
            let rows = node.services.store.read(vec![lease_key(pool)]).await;
            node.record_store_result(&rows);
            Some(Input::LeaseRead(sent, rows))
        }
        // The event loop carries these out itself.
        Action::Advise(..) | Action::Fenced => None,
    }
}

pub(super) fn event_of(kind: NoteKind) -> Event {
    match kind {
        NoteKind::JobEnded => Event::JobEnded,
        NoteKind::RunLost => Event::RunLost,
        NoteKind::WorkerDoubted => Event::WorkerDoubted,
        NoteKind::WorkerCrashed => Event::WorkerCrashed,
        NoteKind::WorkerOutage => Event::WorkerOutage,
        NoteKind::TaskGivenUp => Event::TaskGivenUp,
        NoteKind::RunStopped => Event::RunStopped,
        NoteKind::RunAdopted => Event::RunAdopted,
        NoteKind::StepPlaced => Event::StepPlaced,
        NoteKind::QuotaReached => Event::QuotaReached,
        NoteKind::TaskUnplaced => Event::TaskUnplaced,
        NoteKind::RowHeld => Event::RowHeld,
    }
}
