//! Long polls that renew workers' leases, resending of orders, and detection of stuck runs.

use reachhead_types::{
    id::WorkerId,
    size::{Millis, RunNumber},
};

use crate::{
    clock::{Tick, WorkerTime},
    crashes::CrashRole,
    job::{Phase, Run},
    model::Step,
    poll_pace::{MAX_POLL_DELAY, MAX_REPEATED_POLL_DELAY},
    pool::{Action, DeathEvidence, NoteKind, Pool, StopReason},
    ports::{HoldOrder, StartOrder},
    task::TaskId,
    worker::{CrashSuspect, Poll, Worker},
};

/// Time without progress after which a run is stuck, in multiples of the time that one percent of
/// the task takes. Slow workers are several times slower than they should be.
const STUCK_FACTOR: u64 = 25;

/// Shortest time without progress after which a run is stuck: several reports.
const MIN_STUCK_TIME: Millis = Millis(2500);

/// How often a task is stopped for being stuck; after that it is left where it is, or for
/// [`LONG_RUNNING_RETRY`] if it is long-running.
const MAX_STUCK_STOPS: u32 = 3;

/// Time without progress after which a long-running task is moved once more, doubled with each such
/// move. It has no other end, so left on a worker that hangs it would never run; a startup without
/// progress that takes long must fit into one of these times.
const LONG_RUNNING_RETRY: Millis = Millis(10_000);

/// Number of doublings of [`LONG_RUNNING_RETRY`].
const MAX_RETRY_DOUBLINGS: u32 = 6;

/// Poll wait at a worker where best-effort tasks run beside latency-sensitive tasks. Interference
/// has to be noticed and reduced well within the few seconds for which a target may be missed.
const BEST_EFFORT_POLL_WAIT: Millis = Millis(400);

/// Poll wait at a worker with short tasks. Such a worker answers several times a second, at each
/// end of a task; if an answer is lost, all ends there stay unknown until the poll times out, and
/// the next steps of their jobs wait for them.
const SHORT_TASK_POLL_WAIT: Millis = Millis(200);

/// Poll wait at a worker that has not answered several polls. Unlike a poll that does not wait, it
/// has the timeout of a long poll: on a narrow link a report with many ends takes longer than the
/// timeout of an order, and each attempt would fail before the report has arrived.
const UNANSWERED_POLL_WAIT: Millis = Millis(1);

/// Number of unanswered polls after which the next ones have a longer timeout. Until then a lost
/// message costs little time.
const MIN_UNANSWERED_POLLS: u32 = 2;

/// Poll wait at a worker that gets no other task until a task on trial has made progress.
const TRIAL_POLL_WAIT: Millis = Millis(50);

impl Pool {
    /// Sends the long polls that are due.
    pub(super) fn send_polls(&mut self, now: Tick) {
        let can_order = self.can_order(now);
        let hold = self.timeouts.hold;
        let mut actions = Vec::new();
        let due_at = |worker: &Worker| match worker.poll {
            Poll::Due(due) if due <= now => Some(due),
            _ => None,
        };
        let mut due: Vec<(Tick, &Worker)> =
            self.workers.values().filter_map(|worker| Some((due_at(worker)?, worker))).collect();
        due.sort_by_key(|(due, _)| *due);
        for (due, worker) in due {
            let ends = worker.repeated_ends();
            let may_wait = ends > 0 && worker.remaining_lease(now) >= Millis(hold.0 / 2);
            let max_delay = if may_wait { MAX_REPEATED_POLL_DELAY } else { MAX_POLL_DELAY };
            // The lease of a worker that has not answered expires soon, and so does one of a predecessor.
            let is_unknown = worker.silent || !worker.answered;
            let has_runs = !worker.runs.is_empty() || !worker.orphans.is_empty();
            let is_due = (has_runs && !worker.renewed) || now.since(due) >= max_delay;
            let is_urgent = is_unknown || is_due;
            if !self.poll_budget.has_room() && !is_urgent {
                continue;
            }
            self.poll_budget.take(worker.runs.len() + worker.orphans.len() + ends);
            let deadline = worker
                .clock
                .filter(|_| can_order && !worker.silent)
                .map(|sample| WorkerTime(sample.estimate(now).0 + hold.0));
            // A restarted worker must not drop ends that reuse the numbers of earlier ones.
            let acknowledged = if worker.silent { 0 } else { worker.acknowledged };
            let order = HoldOrder { deadline, acknowledged, wait: self.poll_wait(worker) };
            actions.push(Action::Hold(self.target(worker), order));
        }
        for action in &actions {
            if let Action::Hold(target, order) = action
                && let Some(worker) = self.workers.get_mut(&target.id)
            {
                worker.poll = Poll::InFlight;
                worker.polls += 1;
                worker.max_deadline = worker.max_deadline.max(order.deadline.unwrap_or_default());
                worker.renewed |= order.deadline.is_some();
                worker.renewing = order.deadline.is_some();
                worker.poll_wait = order.wait;
            }
        }
        self.actions.append(&mut actions);
    }

    fn poll_wait(&self, worker: &Worker) -> Millis {
        if !worker.answered || worker.silent {
            let is_slow = worker.failed_calls >= MIN_UNANSWERED_POLLS && !worker.port_closed;
            return if is_slow { UNANSWERED_POLL_WAIT } else { Millis(0) };
        }
        if self.awaits_report(worker) {
            return Millis(0);
        }
        if worker.trial.is_some() {
            return TRIAL_POLL_WAIT;
        }
        if self.has_best_effort && self.has_contention(worker) {
            return BEST_EFFORT_POLL_WAIT;
        }
        if self.has_short_tasks(worker) {
            SHORT_TASK_POLL_WAIT.min(self.timeouts.wait)
        } else {
            self.timeouts.wait
        }
    }

    /// Returns whether the worker has confirmed the start of a long-running task that no report has
    /// listed. If it were lost before one did, the task would wait for the longest lease.
    pub(super) fn awaits_report(&self, worker: &Worker) -> bool {
        let is_unreported = |task: &TaskId| {
            self.is_long_running(*task)
                && self.run_on(worker, *task).is_some_and(|run| run.confirmed && !run.reported)
        };
        worker.started_at.is_some() && worker.runs.keys().any(is_unreported)
    }

    /// Returns whether the worker has a short task.
    fn has_short_tasks(&self, worker: &Worker) -> bool {
        let is_short = |task: &TaskId| {
            let job = self.jobs.get(&task.job);
            job.is_some_and(|job| !job.plan.is_long_running())
        };
        worker.runs.keys().any(is_short)
    }

    /// Expires the runs of unreachable workers whose leases have certainly ended, and removes workers
    /// that are gone.
    pub(super) fn expire_workers(&mut self, now: Tick) {
        let mut gone: Vec<WorkerId> = Vec::new();
        let mut ended: Vec<WorkerId> = Vec::new();
        let mut expired: Vec<(WorkerId, Vec<TaskId>)> = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.silent) {
            let has_expired = worker.leases_expire_at().is_none_or(|expiry| self.has_ended(expiry));
            let is_pending = self.pending.contains_key(&worker.info.id);
            if has_expired && !is_pending {
                if !worker.runs.is_empty() {
                    let tasks = self.expired_tasks(worker);
                    if worker.ended && worker.is_unhosted() {
                        // All its runs are removed together, so that the crash is recorded as their cause.
                        if tasks.len() == worker.runs.len() {
                            ended.push(worker.info.id.clone());
                        }
                    } else if !tasks.is_empty() {
                        expired.push((worker.info.id.clone(), tasks));
                    }
                } else if !worker.listed {
                    gone.push(worker.info.id.clone());
                }
            }
        }
        for (id, tasks) in expired {
            self.expire_runs(&id, &tasks, now);
        }
        for id in ended {
            self.worker_died(&id, DeathEvidence::Unhosted, now);
        }
        for id in gone {
            self.worker_died(&id, DeathEvidence::OffList, now);
        }
    }

    /// Returns the tasks of an unreachable worker whose leases have certainly ended, where those given
    /// to its known incarnation have. A run that no report has listed may be on a later incarnation.
    fn expired_tasks(&self, worker: &Worker) -> Vec<TaskId> {
        let expiry = worker.unreported_expire_at(self.timeouts.grant);
        let has_expired = expiry.is_none_or(|expiry| self.has_ended(expiry));
        let is_over = |task: &TaskId| {
            self.run_on(worker, *task)
                .is_none_or(|run| run.reported || has_expired && !run.is_start_in_flight())
        };
        worker.runs.keys().copied().filter(is_over).collect()
    }

    /// Removes runs of an unreachable worker, whose leases have expired.
    fn expire_runs(&mut self, id: &WorkerId, tasks: &[TaskId], now: Tick) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        // The runs ended with the leases, so a crash that is noticed later may have come after them.
        let starting = self.starting_tasks(worker).into_iter().filter(|task| tasks.contains(task));
        let suspects: Vec<CrashSuspect> =
            starting.map(|task| CrashSuspect { task, role: CrashRole::Unproven }).collect();
        let runs: Vec<(TaskId, RunNumber)> =
            tasks.iter().map(|task| (*task, worker.runs[task].run)).collect();
        let kept = worker.runs.len() - runs.len();
        let heard = now.since(worker.last_contact);
        let born = worker.started_at;
        let text =
            format!("worker={id} lapsed={} kept={kept} heard={heard}ms born={born:?}", runs.len());
        if let Some(worker) = self.workers.get_mut(id) {
            worker.crash_suspects.extend(suspects);
        }
        self.note(NoteKind::RunLost, text);
        for (task, run) in runs {
            self.remove_run(id, task, run);
        }
    }

    /// Resends unanswered orders, and stops runs that are not needed or stuck.
    pub(super) fn review_runs(&mut self, now: Tick) {
        let mut decisions = Vec::new();
        for job in self.jobs.values() {
            for (id, state) in &job.steps {
                let step = job.step(*id);
                let incomplete = step.gang && !state.is_fully_placed();
                for (index, task) in state.tasks.iter().enumerate() {
                    for run in &task.runs {
                        let unwanted = if task.done && !step.gang {
                            Some(StopReason::Unneeded)
                        } else {
                            incomplete.then_some(StopReason::Incomplete)
                        };
                        // A task that was stuck on several workers is not their fault, and moving
                        // it again does not help.
                        let is_due = step.long_running
                            && now.since(run.progressed_at) >= long_running_retry(task.stalls);
                        let is_exempt = task.stalls >= MAX_STUCK_STOPS && !is_due;
                        let decided =
                            self.decide_run(job, step, run, unwanted, now).filter(|action| {
                                !(is_exempt && matches!(action, RunAction::Stop(StopReason::Still)))
                            });
                        if let Some(action) = decided {
                            decisions.push(Decision {
                                task: id.task(index as u32),
                                run: run.clone(),
                                action,
                            });
                        }
                    }
                }
            }
        }
        for decision in decisions {
            self.apply_decision(&decision, now);
        }
        self.jobs.retain(|_, job| !job.recorded || job.has_runs());
    }

    fn decide_run(
        &self,
        job: &crate::job::Job,
        step: &Step,
        run: &Run,
        unwanted: Option<StopReason>,
        now: Tick,
    ) -> Option<RunAction> {
        if !self.workers.contains_key(&run.worker) {
            // A worker is removed only once nothing can run there any more.
            return Some(RunAction::Drop);
        }
        match run.phase {
            Phase::Ordered if run.order_in_flight || run.retry_at > now => None,
            // The order may still be carried out, so it is barred and not resent.
            Phase::Ordered if job.recorded => Some(RunAction::Stop(StopReason::Unneeded)),
            Phase::Ordered if unwanted.is_some() => unwanted.map(RunAction::Stop),
            // The worker runs it or has barred it, or its deadline has passed; the next report
            // shows which.
            Phase::Ordered if run.settled_at.is_some() => None,
            // If the order were resent, the run could start long after the drain.
            Phase::Ordered if self.workers.get(&run.worker).is_some_and(|at| at.drained) => {
                Some(RunAction::Stop(StopReason::Drained))
            }
            Phase::Ordered => {
                let worker = self.workers.get(&run.worker)?;
                let expired_now =
                    worker.clock.is_some_and(|sample| sample.surely_past(run.deadline) <= now);
                if expired_now {
                    // It can't start after its deadline, but it may have started before.
                    Some(RunAction::Settle)
                } else {
                    // Without the current drains the run could start in a zone that is drained. If the
                    // worker has restarted, the run could start there, with a lease by another
                    // clock, and outlast the one that this owner counts with.
                    let may_have_restarted = worker.silent && worker.started_at.is_some();
                    let is_safe = self.drained.is_current(now) && !may_have_restarted;
                    is_safe.then_some(RunAction::ResendStart)
                }
            }
            Phase::Working if job.recorded => Some(RunAction::Stop(StopReason::Unneeded)),
            Phase::Working if unwanted.is_some() => unwanted.map(RunAction::Stop),
            Phase::Working if self.is_stuck(job, step, run) => {
                Some(RunAction::Stop(StopReason::Still))
            }
            Phase::Working => None,
            Phase::Stopping if run.order_in_flight || run.retry_at > now => None,
            Phase::Stopping => Some(RunAction::ResendStop),
        }
    }

    fn is_stuck(&self, job: &crate::job::Job, step: &Step, run: &Run) -> bool {
        if step.gang || job.ending.is_some() || run.pace_percent < 100 {
            return false;
        }
        if step.long_running && run.percent >= 100 {
            return false;
        }
        let predicted = self.estimator.predict(&job.queue.name, step);
        let limit = (predicted.0 * STUCK_FACTOR / 100).max(MIN_STUCK_TIME.0);
        let is_reachable = self.workers.get(&run.worker).is_some_and(|worker| !worker.silent);
        // What a run does while its worker's report is under way is unknown.
        is_reachable && run.last_reported.since(run.progressed_at) > Millis(limit)
    }

    fn apply_decision(&mut self, decision: &Decision, now: Tick) {
        let Decision { task, run, action } = decision;
        match action {
            RunAction::Drop => {
                let text =
                    format!("task={task} run={} worker={} end=forgotten", run.number, run.worker);
                self.note(NoteKind::RunLost, text);
                self.remove_run(&run.worker, *task, run.number);
            }
            RunAction::Settle => {
                let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(*task));
                if let Some(run) = state.and_then(|state| state.run(run.number)) {
                    run.settled_at = Some(now);
                }
            }
            // Orders that are lost on a full link would fill it if they were all sent again at once.
            RunAction::ResendStart if !self.start_budget.has_room() => {}
            RunAction::ResendStart => self.resend_start(*task, run),
            RunAction::Stop(why) => self.stop_run(*task, run, *why, now),
            RunAction::ResendStop => self.send_stop(*task, run),
        }
    }

    fn resend_start(&mut self, task: TaskId, run: &Run) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let payload = std::sync::Arc::clone(&job.plan.payload);
        let Some(state) = job.task(task) else {
            return;
        };
        let checkpoint = state.checkpoint.clone();
        if let Some(run) = state.run(run.number) {
            run.order_in_flight = true;
        }
        let Some(worker) = self.workers.get(&run.worker) else {
            return;
        };
        let target = self.target(worker);
        self.charge_start(&payload);
        let order = StartOrder {
            task,
            run: run.number,
            payload,
            deadline: run.deadline,
            checkpoint,
            ticket: run.ticket.clone(),
        };
        self.actions.push(Action::Start(target, order));
    }

    /// Stops a run. Its capacity is free once the worker reports the end.
    pub(super) fn stop_run(&mut self, task: TaskId, run: &Run, why: StopReason, now: Tick) {
        self.note(
            NoteKind::RunStopped,
            format!("task={task} run={} worker={} why={why:?}", run.number, run.worker),
        );
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(task));
        if let Some(state) = state {
            // A task that was stuck elsewhere before says nothing about this worker.
            let is_workers_fault = why == StopReason::Still && state.stalls == 0;
            state.stalls += u32::from(why == StopReason::Still);
            if !state.avoid.contains(&run.worker) {
                state.avoid.push(run.worker.clone());
            }
            if let Some(run) = state.run(run.number) {
                run.phase = Phase::Stopping;
            }
            if is_workers_fault {
                self.suspend_worker(&run.worker, "stuck-run", task, now);
            }
        }
        self.send_stop(task, run);
    }

    fn send_stop(&mut self, task: TaskId, run: &Run) {
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(task));
        if let Some(run) = state.and_then(|state| state.run(run.number)) {
            run.order_in_flight = true;
            run.phase = Phase::Stopping;
        }
        if let Some(worker) = self.workers.get(&run.worker) {
            self.actions.push(Action::Stop(self.target(worker), task, run.number));
        }
    }
}

/// Returns the time without progress after which a long-running task with so many stalls is moved.
fn long_running_retry(stalls: u32) -> Millis {
    let doublings = stalls.saturating_sub(MAX_STUCK_STOPS).min(MAX_RETRY_DOUBLINGS);
    Millis(LONG_RUNNING_RETRY.0 << doublings)
}

/// A run and the action decided for it.
struct Decision {
    task: TaskId,
    run: Run,
    action: RunAction,
}

enum RunAction {
    /// Remove the run, since its worker was removed and nothing can run there.
    Drop,
    /// Treat the order as settled: the run exists or never will, as the next report shows.
    Settle,
    /// Resend the start order.
    ResendStart,
    /// Stop the run for this reason.
    Stop(StopReason),
    /// Send the stop order again.
    ResendStop,
}
