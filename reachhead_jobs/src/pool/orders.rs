//! What came of orders to workers.

use reachhead_types::{
    id::WorkerId,
    size::{Millis, RunNumber},
};

use crate::{
    clock::{ClockSample, Tick, WorkerTime},
    job::{Phase, Run},
    pool::{Action, DeathEvidence, NoteKind, Pool},
    ports::{Rejection, WorkerError},
    task::TaskId,
};

/// Pause before an order that was not answered is sent again.
const ORDER_PAUSE: Millis = Millis(50);

/// Pause before a run that a worker was told to stop is looked at again.
const STOP_PAUSE: Millis = Millis(1000);

/// Pause before a task that a worker turned away is tried again.
const REJECTED_PAUSE: Millis = Millis(50);

/// How long a worker that had no room is not asked for it again if nothing ends there: it has shrunk, and by then its entry says
/// how much is left.
const FULL_TIME: Millis = Millis(1000);

impl Pool {
    fn run_of(&mut self, id: &WorkerId, task: TaskId, number: RunNumber) -> Option<&mut Run> {
        let run = self.jobs.get_mut(&task.job)?.task(task)?.run(number)?;
        (run.worker == *id).then_some(run)
    }

    fn hear(&mut self, id: &WorkerId, shown: WorkerTime, now: Tick) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.last_contact = now;
            let newer = worker.clock.is_none_or(|sample| sample.worker_time < shown);
            // An answer to an order does not tell of which life it is, and another's clock shows another time.
            if newer && worker.started_at.is_none() {
                worker.clock = Some(ClockSample { worker_time: shown, at: now });
            }
        }
    }

    /// Takes in the result of an order to start a run.
    pub fn started(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        number: RunNumber,
        result: Result<WorkerTime, WorkerError>,
        now: Tick,
    ) {
        if let Ok(shown) = &result {
            self.hear(id, *shown, now);
        }
        let Some(run) = self.run_of(id, task, number) else {
            return;
        };
        run.order_in_flight = false;
        // A run that was confirmed as ordered needs no other order; anything else may.
        let unexpected = result.is_err() || run.phase != Phase::Ordered;
        match result {
            Ok(_) => {
                if run.phase == Phase::Ordered {
                    run.phase = Phase::Working;
                    run.progressed_at = now;
                }
                run.settled_at = run.settled_at.or(Some(now));
            }
            Err(WorkerError::Replaced) => self.worker_died(id, DeathEvidence::Replaced, now),
            Err(WorkerError::Broken(_)) => {
                run.unconfirmed = true;
                run.retry_at = now + ORDER_PAUSE;
            }
            Err(WorkerError::Lost(_)) => {
                run.unconfirmed = true;
                run.retry_at = now + ORDER_PAUSE;
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.record_lost_order(task, number, now);
                }
            }
            Err(WorkerError::Unreachable(_) | WorkerError::PortClosed(_)) if run.unconfirmed => {
                run.retry_at = now + ORDER_PAUSE
            }
            Err(WorkerError::Rejected(Rejection::Fenced)) => {
                run.retry_at = now + ORDER_PAUSE;
                self.actions.push(Action::Fenced);
            }
            // The run is barred there, or it ended: the next report tells.
            Err(WorkerError::Rejected(Rejection::Old)) => run.settled_at = Some(now),
            Err(WorkerError::Rejected(_)) if run.unconfirmed => {
                run.phase = Phase::Stopping;
                run.retry_at = now;
            }
            Err(error) => self.turned_away(id, task, number, &error, now),
        }
        self.review |= unexpected;
    }

    /// A worker certainly did not start the run.
    fn turned_away(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        number: RunNumber,
        error: &WorkerError,
        now: Tick,
    ) {
        self.note(
            NoteKind::RunLost,
            format!("task={task} run={number} worker={id} error=\"{error}\""),
        );
        self.take_run(id, task, number);
        if let Some(task) = self.jobs.get_mut(&task.job).and_then(|job| job.task(task)) {
            task.not_before = now + REJECTED_PAUSE;
        }
        match error {
            WorkerError::Rejected(Rejection::Unhealthy) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.failure_history.suspend(now);
                }
            }
            WorkerError::Rejected(Rejection::Room) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.full_until = now + FULL_TIME;
                }
            }
            WorkerError::Rejected(Rejection::Ticket) => self.advice.refuse(task.step_id(), id),
            WorkerError::Unreachable(_) | WorkerError::PortClosed(_) => {
                if let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.silent) {
                    worker.silent = true;
                    worker.silent_since = now;
                }
            }
            _ => {}
        }
    }

    /// Takes in the result of an order to stop a run.
    pub fn stopped(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        number: RunNumber,
        result: Result<WorkerTime, WorkerError>,
        now: Tick,
    ) {
        if let Ok(shown) = &result {
            self.hear(id, *shown, now);
        }
        if matches!(result, Err(WorkerError::Lost(_)))
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.record_unanswered(now);
        }
        self.review = true;
        if result == Err(WorkerError::Replaced) {
            self.worker_died(id, DeathEvidence::Replaced, now);
            return;
        }
        if result == Err(WorkerError::Rejected(Rejection::Fenced)) {
            self.actions.push(Action::Fenced);
        }
        let Some(run) = self.run_of(id, task, number) else {
            return;
        };
        run.order_in_flight = false;
        match result {
            // Barred for good: once a report lacks it that was asked for later, it is gone. The first time
            // counts, since it is barred again while a poll waits.
            Ok(_) => {
                run.settled_at = run.settled_at.or(Some(now));
                run.unconfirmed = false;
                run.retry_at = now + STOP_PAUSE;
            }
            Err(_) => run.retry_at = now + ORDER_PAUSE,
        }
    }
}
