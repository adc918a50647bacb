//! Task placement: which tasks start now, and where.

use std::{cmp::Reverse, collections::BTreeSet, sync::Arc};

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{JobId, Label, WorkerId},
    size::{Millis, RunNumber},
};

use crate::{
    clock::{Tick, WorkerTime},
    job::{Job, Phase, Run, Task},
    model::Step,
    order::{Class, Rank},
    place::{self, PlacementRequest},
    pool::{Action, NoteKind, Pool, RUNS_PER_TERM, StopReason},
    ports::StartOrder,
    task::{StepId, TaskId},
    worker::{Reservation, Worker},
};

/// How long capacity is reserved for a long-running task while short tasks are stopped there.
const RESERVATION_DURATION: Millis = Millis(1500);

/// Number of short jobs' steps with an unplaced task beyond which a scheduling round ends.
pub(super) const MAX_UNPLACED_STEPS: usize = 24;

/// The same for long-running jobs. The search begins with the first ones, and goes on where that of
/// the last round ended: those that can't be placed at present must not keep the others from being
/// searched.
const MAX_UNPLACED_LONG_RUNNING: usize = 12;

/// A job and its rank in the scheduling order.
pub(super) struct Ranked {
    pub(super) id: JobId,
    pub(super) rank: Rank,
}

/// What a scheduling round searched.
struct Searched {
    jobs: usize,
    /// Steps with a task that found no place.
    unplaced: usize,
}

/// Short tasks to evict from a worker.
struct Eviction {
    worker: WorkerId,
    tasks: Vec<TaskId>,
}

/// A running short task.
struct ShortRun {
    since: Tick,
    task: TaskId,
}

impl Pool {
    /// Starts tasks in rank order.
    pub(super) fn place_tasks(&mut self, now: Tick) {
        self.begin_quota_round(now);
        self.advice.begin_round();
        let mut ranked: Vec<Ranked> = self
            .jobs
            .values()
            .filter(|job| job.ending.is_none() && has_waiting_tasks(job))
            .filter(|job| !self.may_run_elsewhere(job))
            .map(|job| Ranked { id: job.id, rank: self.estimator.rank(job, now) })
            .collect();
        ranked.sort_by(|a, b| a.rank.compare(b.rank).then(a.id.cmp(&b.id)));
        let ranked = self.cap_expiring(ranked, now);
        let lasting = ranked.partition_point(|job| job.rank.class == Class::LongRunning);
        let mut free = self.largest_free(now);
        let most = MAX_UNPLACED_LONG_RUNNING;
        let first = self.place_jobs(&ranked[..lasting], most, &mut free, now);
        // The last job searched, which is the first of which the budget may have left tasks behind.
        let mut last = first.jobs.saturating_sub(1);
        let from = if self.search_from < lasting { self.search_from } else { 0 };
        let from = from.max(first.jobs);
        let turn = self.place_jobs(&ranked[from..lasting], most, &mut free, now);
        if turn.jobs > 0 {
            last = from + turn.jobs - 1;
            self.search_from = from + turn.jobs;
        }
        let short = self.place_jobs(&ranked[lasting..], MAX_UNPLACED_STEPS, &mut free, now);
        if short.jobs > 0 {
            last = lasting + short.jobs - 1;
        }
        if !self.start_budget.has_room() && short.unplaced <= MAX_UNPLACED_STEPS {
            self.round.limited = self.waits_for_budget(&ranked[last..], free, now);
        }
        self.log_quotas(now);
    }

    /// Starts tasks of jobs in this order, until the budget is empty or more than `most` steps have
    /// found no place.
    fn place_jobs(
        &mut self,
        jobs: &[Ranked],
        most: usize,
        free: &mut Amount,
        now: Tick,
    ) -> Searched {
        let mut searched = Searched { jobs: 0, unplaced: 0 };
        for job in jobs {
            if !self.start_budget.has_room() || searched.unplaced > most {
                break;
            }
            searched.jobs += 1;
            let steps: Vec<StepId> = self.jobs[&job.id].steps.keys().copied().collect();
            for step in steps {
                if !self.place_step(step, job.rank.class, free, now) {
                    searched.unplaced += 1;
                }
            }
        }
        searched
    }

    /// Returns the largest free amount of each resource on any usable worker.
    fn largest_free(&self, now: Tick) -> Amount {
        let usable = self.workers.values().filter(|worker| worker.obstacle(now).is_none());
        usable.fold(Amount::default(), |most, worker| most.max(worker.free()))
    }

    /// Places tasks of a step, and returns whether every task that may start found a place.
    ///
    /// `free` bounds the free capacity of every worker from above: tasks that need more are not
    /// searched for.
    fn place_step(&mut self, id: StepId, class: Class, free: &mut Amount, now: Tick) -> bool {
        let waiting = self.startable_tasks(id, now);
        if waiting.is_empty() {
            return true;
        }
        let job = &self.jobs[&id.job];
        let advised = job.queue.advice.is_some();
        let step = job.step(id).clone();
        let allowed = advised.then(|| self.advice.approved(id, now));
        if allowed.as_ref().is_some_and(BTreeSet::is_empty) {
            self.request_advice(id, now);
            return true;
        }
        if step.gang {
            let placed = self.place_gang(id, &step, allowed.as_ref(), now);
            if advised && !placed {
                self.extend_advice(id, now);
            }
            return placed;
        }
        let remaining = waiting.len();
        let mut started = Vec::new();
        for index in waiting {
            if !self.start_budget.has_room() {
                self.log_placed(id, class, &started, remaining);
                return true;
            }
            let possible = step.charge().fits(*free);
            if possible && !self.within_quota(id.job, step.need) {
                self.hold_back(id.job, step.need, (remaining - started.len()) as u32);
                break;
            }
            let placed = possible.then(|| self.find(id.task(index), &step, allowed.as_ref(), now));
            let placed = placed.flatten();
            if placed.is_none() && self.waits_for_trial(id.task(index), &step, now) {
                continue;
            }
            let Some(worker) = placed else {
                if possible {
                    *free = self.largest_free(now);
                }
                if advised {
                    self.extend_advice(id, now);
                }
                if class == Class::LongRunning {
                    self.preempt_short_tasks(id, &step, allowed.as_ref(), now);
                }
                self.log_placed(id, class, &started, remaining);
                return false;
            };
            let number = self.next_run(id, index);
            started.push(format!("{index}@{worker}"));
            self.start_run(id.task(index), &step, worker, number, now);
        }
        self.log_placed(id, class, &started, remaining);
        true
    }

    /// Returns the tasks of a step that may start now, if they find a place.
    pub(super) fn startable_tasks(&self, id: StepId, now: Tick) -> Vec<u32> {
        let job = &self.jobs[&id.job];
        let state = &job.steps[&id];
        if state.is_done() || !job.is_ready(id) {
            return Vec::new();
        }
        let speculative = job.step(id).speculative;
        let unrecorded = self.dirty.contains(&id.job);
        let in_outage = self.outage.is_active(now);
        (0..)
            .zip(&state.tasks)
            .filter(|(_, task)| {
                is_waiting(task, now) || (speculative && self.needs_copy(id, task, now))
            })
            // A successor must know about the crashes before the task can cause another.
            .filter(|(_, task)| !(unrecorded && task.crashes.is_suspect()))
            // During an outage another crash would prove nothing.
            .filter(|(_, task)| !(in_outage && task.crashes.is_repeated()))
            .map(|(index, _)| index)
            .collect()
    }

    fn log_placed(&mut self, id: StepId, class: Class, started: &[String], waited: usize) {
        if !started.is_empty() {
            let text = format!(
                "job={} step={}.{} class={class:?} token={} tasks={} waited={waited}",
                id.job,
                id.occurrence,
                id.step,
                self.token,
                started.join(",")
            );
            self.note(NoteKind::StepPlaced, text);
        }
    }

    /// Returns whether a task should get a speculative copy of its only run: the worker does not
    /// answer, or is slow and the task is overdue.
    fn needs_copy(&self, id: StepId, task: &Task, now: Tick) -> bool {
        let [run] = task.runs.as_slice() else {
            return false;
        };
        let Some(worker) = self.workers.get(&run.worker) else {
            return false;
        };
        let job = &self.jobs[&id.job];
        let usual = self.estimator.predict(&job.queue.name, job.step(id));
        let overdue = now.since(run.ordered_at) > usual;
        // A second worker must not be put at risk before it is known whether the first one crashed.
        !task.done
            && task.crashes.is_empty()
            && (worker.silent || (overdue && worker.speed.is_slow(now)))
    }

    pub(super) fn find(
        &self,
        id: TaskId,
        step: &Step,
        allowed: Option<&BTreeSet<WorkerId>>,
        now: Tick,
    ) -> Option<WorkerId> {
        let state = &self.jobs[&id.job].steps[&id.step_id()];
        let rack = if step.same_rack { self.rack_of(&state.tasks) } else { None };
        let long_running = step.long_running.then(|| self.long_running_workers());
        let crashes = state.tasks[id.index as usize].crashes;
        let wanted = PlacementRequest {
            step_id: id.step_id(),
            task: Some(id),
            step,
            avoid: &state.tasks[id.index as usize].avoid,
            rack: rack.as_ref(),
            long_running_workers: long_running.as_ref(),
            trial: crashes.needs_trial(),
        };
        let workers = self
            .workers
            .values()
            .filter(|worker| allowed.is_none_or(|allowed| allowed.contains(&worker.info.id)))
            .filter(|worker| self.trial_obstacle(worker, crashes, step.gang, now).is_none());
        place::choose_worker(&wanted, workers, now).map(|worker| worker.info.id.clone())
    }

    /// Returns whether a task on trial fits, and only waits for a worker on which no other task is
    /// starting.
    fn waits_for_trial(&self, id: TaskId, step: &Step, now: Tick) -> bool {
        let state = &self.jobs[&id.job].steps[&id.step_id()];
        let wanted = PlacementRequest::new(id.step_id(), step).with_task(id);
        let suspect = state.tasks[id.index as usize].crashes.is_suspect();
        suspect && self.workers.values().any(|worker| wanted.fits(worker, now))
    }

    /// Returns the workers with long-running tasks.
    fn long_running_workers(&self) -> BTreeSet<WorkerId> {
        let jobs = self.jobs.values().filter(|job| job.plan.is_long_running());
        let tasks = jobs.flat_map(|job| job.steps.values()).flat_map(|step| &step.tasks);
        tasks.flat_map(|task| &task.runs).map(|run| run.worker.clone()).collect()
    }

    fn rack_of(&self, tasks: &[Task]) -> Option<Label> {
        let run = tasks.iter().flat_map(|task| &task.runs).next()?;
        self.workers.get(&run.worker)?.info.rack.clone()
    }

    pub(super) fn next_run(&self, id: StepId, index: u32) -> RunNumber {
        let task = &self.jobs[&id.job].steps[&id].tasks[index as usize];
        RunNumber(task.last_run.0.max(self.term * RUNS_PER_TERM) + 1)
    }

    pub(super) fn start_run(
        &mut self,
        id: TaskId,
        step: &Step,
        worker: WorkerId,
        number: RunNumber,
        now: Tick,
    ) {
        let hold = self.timeouts.hold;
        let Some(known) = self.workers.get_mut(&worker) else {
            return;
        };
        let Some(sample) = known.clock else {
            return;
        };
        let deadline = WorkerTime(sample.estimate(now).0 + hold.0);
        known.max_deadline = known.max_deadline.max(deadline);
        known.charge(id, number, step.charge());
        self.charge_quota(id.job, step.need);
        let ticket = self.advice.ticket(id.step_id(), &worker, now).cloned();
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let payload = Arc::clone(&job.plan.payload);
        let Some(task) = job.task(id) else {
            return;
        };
        task.last_run = number;
        let trial = task.crashes.needs_trial();
        let checkpoint = task.checkpoint.clone();
        task.runs.push(Run {
            number,
            worker: worker.clone(),
            phase: Phase::Ordered,
            ordered_at: now,
            settled_at: None,
            deadline,
            unconfirmed: false,
            order_in_flight: true,
            retry_at: now,
            percent: 0,
            progressed_at: now,
            last_reported: now,
            metric: 0,
            pace_percent: 100,
            ticket: ticket.clone(),
            adopted: checkpoint.is_some(),
            confirmed: false,
            reported: false,
            inherited: false,
            barred: false,
        });
        self.charge_start(&payload);
        let order = StartOrder { task: id, run: number, payload, deadline, checkpoint, ticket };
        if let Some(known) = self.workers.get_mut(&worker)
            && trial
        {
            known.trial = Some(id);
        }
        let target = self.target(&self.workers[&worker]);
        self.actions.push(Action::Start(target, order));
    }

    /// Frees capacity for a long-running task by evicting short tasks, on the worker where the
    /// fewest have to stop. A worker that is not among the `allowed` ones would be reserved for
    /// nothing, again and again, and lost to every other step.
    fn preempt_short_tasks(
        &mut self,
        id: StepId,
        step: &Step,
        allowed: Option<&BTreeSet<WorkerId>>,
        now: Tick,
    ) {
        let reserved = |worker: &Worker| {
            worker.reserved.is_some_and(|kept| kept.until > now && kept.step == id)
        };
        if self.workers.values().any(reserved) {
            return;
        }
        let wanted = PlacementRequest::new(id, step);
        let is_allowed = |id| allowed.is_none_or(|allowed| allowed.contains(id));
        let usable = self.workers.values().filter(|worker| {
            is_allowed(&worker.info.id)
                && worker.reserved.is_none_or(|kept| kept.until <= now)
                && wanted.is_allowed(worker, now)
        });
        let found = usable.filter_map(|worker| {
            let tasks = self.victims(worker, step, now)?;
            Some(Eviction { worker: worker.info.id.clone(), tasks })
        });
        let Some(Eviction { worker, tasks }) = found.min_by_key(|found| found.tasks.len()) else {
            return;
        };
        if let Some(known) = self.workers.get_mut(&worker) {
            known.reserved = Some(Reservation { step: id, until: now + RESERVATION_DURATION });
        }
        for task in tasks {
            let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(task));
            let run = state.and_then(|state| state.runs.iter().find(|run| run.worker == worker));
            if let Some(run) = run.cloned() {
                self.stop_run(task, &run, StopReason::Displaced, now);
            }
        }
    }

    /// Returns the short tasks to evict from a worker so that a task of the step fits, the youngest
    /// first; `None` if that is not enough.
    pub(super) fn victims(&self, worker: &Worker, step: &Step, now: Tick) -> Option<Vec<TaskId>> {
        let mut short: Vec<ShortRun> = Vec::new();
        for task in worker.runs.keys() {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let own = &job.plan.steps[task.step as usize];
            let state = &job.steps[&task.step_id()].tasks[task.index as usize];
            let run = state.runs.iter().find(|run| run.worker == worker.info.id);
            if let Some(run) = run.filter(|run| run.phase == Phase::Working)
                && !own.long_running
            {
                short.push(ShortRun { since: run.ordered_at, task: *task });
            }
        }
        short.sort_by_key(|short| Reverse((short.since, short.task)));
        // The used amount is counted and not the free one: a worker whose capacity has shrunk may
        // use more than its capacity.
        let capacity = worker.info.capacity;
        let mut used = worker.used.plus(worker.late_orders(now)).plus(step.charge());
        let mut tasks = Vec::new();
        for ShortRun { task, .. } in short {
            if used.fits(capacity) {
                break;
            }
            used = used.minus(worker.runs[&task].amount);
            tasks.push(task);
        }
        used.fits(capacity).then_some(tasks)
    }
}

fn has_waiting_tasks(job: &Job) -> bool {
    job.steps.iter().any(|(id, state)| {
        let speculative = job.step(*id).speculative;
        let is_waiting = |task: &Task| !task.done && (task.runs.is_empty() || speculative);
        !state.is_done() && state.tasks.iter().any(is_waiting)
    })
}

pub(super) fn is_waiting(task: &Task, now: Tick) -> bool {
    !task.done && task.runs.is_empty() && task.not_before <= now
}
