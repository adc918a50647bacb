//! Results of start and stop orders to workers.

use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, RunNumber},
};

use crate::{
    clock::{ClockSample, Tick, WorkerTime},
    job::{Phase, Run},
    pool::{Action, NoteKind, Pool},
    ports::{Rejection, WorkerError},
    task::TaskId,
    worker::MAX_ORDER_DELAY,
};

/// Pause before an unanswered order is resent.
pub(super) const ORDER_RETRY_PAUSE: Millis = Millis(50);

/// Pause before a stopped run is checked again.
pub(super) const STOP_RECHECK_PAUSE: Millis = Millis(1000);

/// Pause before a task whose start was rejected is placed again.
const REJECTION_PAUSE: Millis = Millis(50);

/// How long a worker that rejected a run for lack of capacity gets no tasks if none ends there: its
/// capacity has shrunk, and by then its registration shows how much is left.
const FULL_DURATION: Millis = Millis(1000);

impl Pool {
    fn run_of(&mut self, id: &WorkerId, task: TaskId, number: RunNumber) -> Option<&mut Run> {
        let run = self.jobs.get_mut(&task.job)?.task(task)?.run(number)?;
        (run.worker == *id).then_some(run)
    }

    /// Records the result of a start order that was sent at `sent` or later. Its answer does not name the
    /// incarnation, but its clock reading may rule out the known one.
    fn record_start(
        &mut self,
        id: &WorkerId,
        sent: Tick,
        result: &Result<WorkerTime, WorkerError>,
        now: Tick,
    ) {
        let grant = self.timeouts.grant;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !is_refused(result) {
            worker.record_unidentified(now, matches!(result, Err(WorkerError::Lost(_))));
            worker.record_earlier_call(sent, now, grant);
        }
        let sample = worker.clock;
        if let Ok(shown) = result
            && worker.notice_restart(*shown, sent, now)
        {
            let expected = sample.map(|sample| sample.estimate(now).0);
            let born = worker.started_at;
            let text = format!(
                "worker={id} born={born:?} shown={} expected={expected:?} why=\"an answer shows \
                 another clock\"",
                shown.0
            );
            self.note(NoteKind::WorkerDoubted, text);
        }
    }

    fn record_contact(&mut self, id: &WorkerId, shown: WorkerTime, now: Tick) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.last_contact = now;
            let newer = worker.clock.is_none_or(|sample| sample.worker_time < shown);
            // An answer to an order does not identify its incarnation, whose clock may differ.
            if newer && worker.started_at.is_none() {
                worker.clock = Some(ClockSample { worker_time: shown, at: now });
            }
        }
    }

    /// Records that a worker has rejected an order, which shows that it is alive.
    fn record_rejection(&mut self, id: &WorkerId, now: Tick) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.last_contact = now;
        }
    }

    /// Records that a worker has confirmed a run of the job.
    pub(super) fn mark_started(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.started = true;
        }
    }

    /// Applies the result of a start order.
    pub fn started(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        number: RunNumber,
        result: Result<WorkerTime, WorkerError>,
        now: Tick,
    ) {
        match &result {
            Ok(shown) => self.record_contact(id, *shown, now),
            Err(WorkerError::Rejected(_)) => self.record_rejection(id, now),
            Err(_) => {}
        }
        // If the run was removed meanwhile, the time of the order is unknown, and zero is a lower bound.
        let sent = self.run_of(id, task, number).map(|run| run.ordered_at).unwrap_or_default();
        self.record_start(id, sent, &result, now);
        let is_current = self.is_past_restart(id, sent);
        let Some(run) = self.run_of(id, task, number) else {
            if matches!(result, Err(WorkerError::Lost(_))) {
                self.record_late_start(id, task, number, now);
            }
            return;
        };
        run.order_in_flight = false;
        // An earlier order may have started the run that a report has listed, and this one another on a
        // later incarnation.
        run.reported &= !run.unconfirmed || is_refused(&result);
        // A confirmed run needs no further order; any other result may.
        let unexpected = result.is_err() || run.phase != Phase::Ordered;
        match result {
            Ok(_) => {
                run.confirmed = true;
                if run.phase == Phase::Ordered {
                    run.phase = Phase::Working;
                    run.progressed_at = now;
                }
                // A lost copy of the order may still start the run on a later incarnation than the one
                // that has confirmed it.
                if is_current {
                    run.settled_at = run.settled_at.or(Some(now));
                }
                self.mark_started(task.job);
                if let Some(worker) = self.workers.get(id)
                    && self.awaits_report(worker)
                    && let Some(worker) = self.workers.get_mut(id)
                {
                    worker.request_report(now);
                }
            }
            Err(error @ WorkerError::Replaced) => {
                // The incarnation that died never had the run: its successor refused the only order.
                if run.unconfirmed {
                    run.retry_at = now + ORDER_RETRY_PAUSE;
                } else {
                    self.drop_unstarted(id, task, number, &error);
                }
                self.worker_replaced(id, now - MAX_ORDER_DELAY, now);
            }
            Err(WorkerError::Broken(_)) => {
                run.unconfirmed = true;
                run.retry_at = now + ORDER_RETRY_PAUSE;
            }
            Err(WorkerError::Lost(_)) => {
                run.unconfirmed = true;
                run.retry_at = now + ORDER_RETRY_PAUSE;
                let sent = run.ordered_at;
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.record_lost_order(task, number, sent, now, self.timeouts.grant);
                }
            }
            Err(WorkerError::Unreachable(_) | WorkerError::PortClosed(_)) if run.unconfirmed => {
                run.retry_at = now + ORDER_RETRY_PAUSE
            }
            Err(WorkerError::Rejected(Rejection::Fenced)) => {
                run.retry_at = now + ORDER_RETRY_PAUSE;
                self.actions.push(Action::Fenced);
            }
            // The run is barred there or has ended; the next report shows which.
            Err(WorkerError::Rejected(Rejection::Old)) if is_current => run.settled_at = Some(now),
            Err(WorkerError::Rejected(Rejection::Old)) => run.retry_at = now,
            Err(WorkerError::Rejected(_)) if run.unconfirmed => {
                run.phase = Phase::Stopping;
                run.retry_at = now;
            }
            Err(error) => self.start_rejected(id, task, number, &error, now),
        }
        self.review |= unexpected;
    }

    /// Removes a run that its worker certainly did not start, and logs why.
    fn drop_unstarted(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        number: RunNumber,
        error: &WorkerError,
    ) {
        self.note(
            NoteKind::RunLost,
            format!("task={task} run={number} worker={id} error=\"{error}\""),
        );
        self.remove_run(id, task, number);
    }

    /// Removes a run whose start its worker rejected or did not receive, and lets the task wait for a
    /// moment.
    fn start_rejected(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        number: RunNumber,
        error: &WorkerError,
        now: Tick,
    ) {
        self.drop_unstarted(id, task, number, error);
        if let Some(task) = self.jobs.get_mut(&task.job).and_then(|job| job.task(task)) {
            task.not_before = now + REJECTION_PAUSE;
        }
        match error {
            WorkerError::Rejected(Rejection::Unhealthy) => {
                self.suspend_worker(id, "rejected-start", task, now);
            }
            WorkerError::Rejected(Rejection::Room) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.full_until = now + FULL_DURATION;
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

    /// Returns whether a call that was sent at `sent` has certainly not reached an incarnation before the
    /// present one of a known worker.
    fn is_past_restart(&self, id: &WorkerId, sent: Tick) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.is_past_restart(sent))
    }

    /// Applies the result of a stop order that was sent at `sent`.
    pub fn stopped(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        number: RunNumber,
        sent: Tick,
        result: Result<WorkerTime, WorkerError>,
        now: Tick,
    ) {
        if let Ok(shown) = &result {
            self.record_contact(id, *shown, now);
        }
        // A late stop order bars a run that is over; it prolongs no lease and acknowledges no end.
        self.review = true;
        if result == Err(WorkerError::Replaced) {
            self.worker_replaced(id, now - MAX_ORDER_DELAY, now);
        }
        if result == Err(WorkerError::Rejected(Rejection::Fenced)) {
            self.actions.push(Action::Fenced);
        }
        let is_current = self.is_past_restart(id, sent);
        let Some(run) = self.run_of(id, task, number) else {
            self.orphan_stopped(id, task, number, result.is_ok(), now);
            self.bar_answered(id, task, number, sent, result.is_ok(), now);
            return;
        };
        run.order_in_flight = false;
        match result {
            // The run is barred permanently: it is gone once a report requested after this time
            // lacks it. The first confirmation counts, since the run is barred again while a poll
            // is in flight.
            Ok(_) if is_current => {
                run.settled_at = run.settled_at.or(Some(now));
                run.unconfirmed = false;
                run.retry_at = now + STOP_RECHECK_PAUSE;
            }
            // An earlier incarnation may have confirmed it, of which the present one knows nothing.
            Ok(_) => run.retry_at = now,
            Err(_) => run.retry_at = now + ORDER_RETRY_PAUSE,
        }
    }
}

/// Returns whether an order has certainly not reached its worker.
fn is_refused(result: &Result<WorkerTime, WorkerError>) -> bool {
    matches!(
        result,
        Err(WorkerError::Unreachable(_) | WorkerError::PortClosed(_) | WorkerError::Replaced)
    )
}
