//! Renewing the leases of workers, repeating orders, and noticing what stands still.

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::{Tick, WorkerTime},
    job::{Phase, Run},
    model::Step,
    pool::{Action, DeathEvidence, NoteKind, Pool, StopReason},
    ports::{HoldOrder, StartOrder},
    task::TaskId,
    worker::{Poll, Worker},
};

/// How long a task may show no progress, in multiples of the time that a hundredth of it takes,
/// before it is taken to stand still; slow workers are several times slower than they should be.
const STILL_FACTOR: u64 = 25;

/// Shortest time without progress that is taken for standing still: several reports.
const STILL_LEAST: Millis = Millis(2500);

/// How often a task is stopped for standing still; after that it is left where it is.
const STILLS_MOST: u32 = 3;

/// How long a poll waits at a worker on which tasks that fill run beside tasks that serve: a disturbance
/// must be noticed and slowed down well within the seconds that a target may be missed for.
const FILL_WAIT: Millis = Millis(400);

/// How long a poll waits at a worker with short tasks. Such a worker answers several times a second, at each end; if an answer is
/// lost, all ends there are unknown until the poll runs out, and the next steps of their jobs wait for that.
const BUSY_WAIT: Millis = Millis(200);

/// How long a poll waits at a worker that gets nothing else until a task there has begun to work.
const TRIAL_WAIT: Millis = Millis(50);

impl Pool {
    /// Sends the long polls that are due.
    pub(super) fn drive_polls(&mut self, now: Tick) {
        let trusted = self.trusted(now);
        let hold = self.timeouts.hold;
        let mut actions = Vec::new();
        for worker in self.workers.values() {
            let Poll::Due(due) = worker.poll else {
                continue;
            };
            if due > now {
                continue;
            }
            let deadline = worker
                .clock
                .filter(|_| trusted && !worker.silent)
                .map(|sample| WorkerTime(sample.estimate(now).0 + hold.0));
            // One that has started again since must not forget ends that have the numbers of earlier ones.
            let seen = if worker.silent { 0 } else { worker.acknowledged };
            let order = HoldOrder { deadline, acknowledged: seen, wait: self.wait_of(worker) };
            actions.push(Action::Hold(self.target(worker), order));
        }
        for action in &actions {
            if let Action::Hold(target, order) = action
                && let Some(worker) = self.workers.get_mut(&target.id)
            {
                worker.poll = Poll::InFlight;
                worker.max_deadline = worker.max_deadline.max(order.deadline.unwrap_or_default());
            }
        }
        self.actions.append(&mut actions);
    }

    fn wait_of(&self, worker: &Worker) -> Millis {
        if !worker.answered || worker.silent {
            return Millis(0);
        }
        if worker.trial.is_some() {
            return TRIAL_WAIT;
        }
        if self.fills && self.has_fills(worker) {
            return FILL_WAIT;
        }
        if self.has_short(worker) { BUSY_WAIT.min(self.timeouts.wait) } else { self.timeouts.wait }
    }

    /// Tells whether a task is on the worker that ends by itself.
    fn has_short(&self, worker: &Worker) -> bool {
        let ends = |task: &TaskId| {
            let job = self.jobs.get(&task.job);
            job.is_some_and(|job| !job.plan.is_long_running())
        };
        worker.runs.keys().any(ends)
    }

    /// Forgets workers that are gone for good.
    pub(super) fn expire_workers(&mut self, now: Tick) {
        let mut over: Vec<WorkerId> = Vec::new();
        let mut lapsed: Vec<WorkerId> = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.silent) {
            let past = match worker.leases_expire_at() {
                Some(lapse) => lapse <= now,
                None => !self.pending.contains_key(&worker.info.id),
            };
            let inherited = self.pending.contains_key(&worker.info.id);
            if past && !inherited {
                if !worker.runs.is_empty() {
                    lapsed.push(worker.info.id.clone());
                } else if !worker.listed {
                    over.push(worker.info.id.clone());
                }
            }
        }
        for id in lapsed {
            self.lapse(&id);
        }
        for id in over {
            self.worker_died(&id, DeathEvidence::OffList, now);
        }
    }

    /// Everything on a worker that does not answer has surely lapsed.
    fn lapse(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let runs = worker.runs.clone();
        let lapsed = self.involved(worker);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.crash_suspects = lapsed;
        }
        self.note(NoteKind::RunLost, format!("worker={id} lapsed={}", runs.len()));
        for (task, charge) in runs {
            self.take_run(id, task, charge.run);
        }
    }

    /// Repeats orders that were not answered, stops what is not wanted or stands still.
    pub(super) fn drive_runs(&mut self, now: Tick) {
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
                        // One that stood still everywhere is no worker's fault, and no other place helps it.
                        let left_alone = task.stalls >= STILLS_MOST;
                        let decided = self.decide(job, step, run, unwanted, now).filter(|what| {
                            !(left_alone && matches!(what, What::Stop(StopReason::Still)))
                        });
                        if let Some(what) = decided {
                            decisions.push(Decision {
                                task: id.task(index as u32),
                                run: run.clone(),
                                what,
                            });
                        }
                    }
                }
            }
        }
        for decision in decisions {
            self.carry_out(&decision, now);
        }
        self.jobs.retain(|_, job| !job.recorded || job.has_runs());
    }

    fn decide(
        &self,
        job: &crate::job::Job,
        step: &Step,
        run: &Run,
        unwanted: Option<StopReason>,
        now: Tick,
    ) -> Option<What> {
        if !self.workers.contains_key(&run.worker) {
            // A worker is forgotten only once nothing can work there any more.
            return Some(What::Drop);
        }
        match run.phase {
            Phase::Ordered if run.order_in_flight || run.retry_at > now => None,
            // The order may still be carried out: it is barred and not repeated.
            Phase::Ordered if job.recorded => Some(What::Stop(StopReason::Unneeded)),
            Phase::Ordered if unwanted.is_some() => unwanted.map(What::Stop),
            // The worker has it, has barred it, or it is too late for it: the next report tells.
            Phase::Ordered if run.settled_at.is_some() => None,
            // Repeated, the order could begin there long after the drain.
            Phase::Ordered if self.workers.get(&run.worker).is_some_and(|at| at.drained) => {
                Some(What::Stop(StopReason::Drained))
            }
            Phase::Ordered => {
                let worker = self.workers.get(&run.worker)?;
                let past =
                    worker.clock.is_some_and(|sample| sample.surely_past(run.deadline) <= now);
                // After its deadline it can't begin any more, but it may have begun before.
                Some(if past { What::Settle } else { What::Repeat })
            }
            Phase::Working if job.recorded => Some(What::Stop(StopReason::Unneeded)),
            Phase::Working if unwanted.is_some() => unwanted.map(What::Stop),
            Phase::Working if self.stands_still(job, step, run, now) => {
                Some(What::Stop(StopReason::Still))
            }
            Phase::Working => None,
            Phase::Stopping if run.order_in_flight || run.retry_at > now => None,
            Phase::Stopping => Some(What::Order),
        }
    }

    fn stands_still(&self, job: &crate::job::Job, step: &Step, run: &Run, now: Tick) -> bool {
        if step.gang || job.ending.is_some() || run.pace_percent < 100 {
            return false;
        }
        if step.long_running && run.percent >= 100 {
            return false;
        }
        let whole = self.estimator.predict(&job.queue.name, step);
        let limit = (whole.0 * STILL_FACTOR / 100).max(STILL_LEAST.0);
        let heard = self.workers.get(&run.worker).is_some_and(|worker| !worker.silent);
        heard && now.since(run.progressed_at) > Millis(limit)
    }

    fn carry_out(&mut self, decision: &Decision, now: Tick) {
        let Decision { task, run, what } = decision;
        match what {
            What::Drop => {
                let text =
                    format!("task={task} run={} worker={} end=forgotten", run.number, run.worker);
                self.note(NoteKind::RunLost, text);
                self.take_run(&run.worker, *task, run.number);
            }
            What::Settle => {
                let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(*task));
                if let Some(run) = state.and_then(|state| state.run(run.number)) {
                    run.settled_at = Some(now);
                }
            }
            What::Repeat => self.repeat(*task, run),
            What::Stop(why) => self.stop_run(*task, run, *why, now),
            What::Order => self.order_stop(*task, run),
        }
    }

    fn repeat(&mut self, task: TaskId, run: &Run) {
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
        let order = StartOrder {
            task,
            run: run.number,
            payload,
            deadline: run.deadline,
            checkpoint,
            ticket: run.ticket.clone(),
        };
        self.actions.push(Action::Start(self.target(worker), order));
    }

    /// Stops a run; its room is free once the worker lists the end.
    pub(super) fn stop_run(&mut self, task: TaskId, run: &Run, why: StopReason, now: Tick) {
        self.note(
            NoteKind::RunStopped,
            format!("task={task} run={} worker={} why={why:?}", run.number, run.worker),
        );
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(task));
        if let Some(state) = state {
            // A task that stood still elsewhere before says nothing of this worker.
            if why == StopReason::Still
                && state.stalls == 0
                && let Some(worker) = self.workers.get_mut(&run.worker)
            {
                worker.failure_history.suspend(now);
            }
            state.stalls += u32::from(why == StopReason::Still);
            state.avoid.push(run.worker.clone());
            if let Some(run) = state.run(run.number) {
                run.phase = Phase::Stopping;
            }
        }
        self.order_stop(task, run);
    }

    fn order_stop(&mut self, task: TaskId, run: &Run) {
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

/// What is decided of a run.
struct Decision {
    task: TaskId,
    run: Run,
    what: What,
}

enum What {
    /// Its worker is forgotten, so nothing can work there.
    Drop,
    /// It is there or never will be; the next report tells.
    Settle,
    /// The order to start is sent again.
    Repeat,
    /// It is stopped, for this reason.
    Stop(StopReason),
    /// The order to stop is sent.
    Order,
}
