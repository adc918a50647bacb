//! Chooses the worker for a task.

use std::collections::BTreeSet;

use reachhead_types::{
    id::{Label, WorkerId},
    size::Millis,
};

use crate::{
    clock::Tick,
    model::Step,
    obstacle::Obstacle,
    task::{StepId, TaskId},
    worker::Worker,
};

/// How long a worker counts as newly joined.
const NEWLY_JOINED_TIME: Millis = Millis(10_000);

/// A task to be placed on a worker.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The task's step.
    pub step_id: StepId,
    /// The task, if it is a particular one: a worker never has two runs of the same task.
    pub task: Option<TaskId>,
    /// The step's specification.
    pub step: &'a Step,
    /// Workers on which the task failed or made no progress.
    pub avoid: &'a [WorkerId],
    /// Rack of the other tasks of the step, where they should be close together.
    pub rack: Option<&'a Label>,
    /// Workers that already have long-running tasks, if this task is long-running too. Their hosts
    /// can't leave the pool anyway; each additional one is a host kept in the pool for as long as
    /// the task runs.
    pub long_running_workers: Option<&'a BTreeSet<WorkerId>>,
    /// The task may crash its worker and is placed where that does the least harm.
    pub trial: bool,
}

impl<'a> PlacementRequest<'a> {
    /// Returns a request for any task of a step.
    pub fn new(step_id: StepId, step: &'a Step) -> Self {
        Self {
            step_id,
            task: None,
            step,
            avoid: &[],
            rack: None,
            long_running_workers: None,
            trial: false,
        }
    }

    /// Sets the task that is to be placed.
    pub fn with_task(mut self, task: TaskId) -> Self {
        self.task = Some(task);
        self
    }

    /// Returns whether the worker may run the task, apart from its free capacity.
    pub fn is_allowed(&self, worker: &Worker, now: Tick) -> bool {
        self.ban(worker, now).is_none()
    }

    /// Returns whether the worker may run the task and has the capacity for it.
    pub fn fits(&self, worker: &Worker, now: Tick) -> bool {
        self.obstacle(worker, now).is_none()
    }

    /// Returns why the worker can't run the task now; `None` if it can.
    pub fn obstacle(&self, worker: &Worker, now: Tick) -> Option<Obstacle> {
        let reserved = worker
            .reserved
            .is_some_and(|reservation| reservation.until > now && reservation.step != self.step_id);
        let duplicate = self.task.is_some_and(|task| worker.runs.contains_key(&task));
        self.ban(worker, now)
            .or_else(|| reserved.then_some(Obstacle::Reserved))
            .or_else(|| duplicate.then_some(Obstacle::Duplicate))
            .or_else(|| (!self.has_capacity(worker, now)).then_some(Obstacle::Capacity))
    }

    fn has_capacity(&self, worker: &Worker, now: Tick) -> bool {
        self.step.charge().fits(worker.free().minus(worker.late_orders(now)))
    }

    /// Returns why the worker may not run the task, whatever capacity it has free.
    fn ban(&self, worker: &Worker, now: Tick) -> Option<Obstacle> {
        let has_label =
            self.step.label.as_ref().is_none_or(|label| worker.info.labels.contains(label));
        worker
            .obstacle(now)
            .or_else(|| self.is_in_danger(worker, now).then_some(Obstacle::LateCalls))
            .or_else(|| (!has_label).then_some(Obstacle::Label))
            .or_else(|| (!self.is_within_spread(worker)).then_some(Obstacle::Spread))
    }

    /// Returns whether a late call could make the worker forget that the task is done. A
    /// long-running task is never done, and without its end it starts again.
    fn is_in_danger(&self, worker: &Worker, now: Tick) -> bool {
        !self.step.long_running && worker.expects_late_calls(now)
    }

    fn is_within_spread(&self, worker: &Worker) -> bool {
        self.step.spread == 0 || self.siblings(worker) < self.step.spread
    }

    fn siblings(&self, worker: &Worker) -> u32 {
        let siblings = worker.runs.keys().filter(|task| task.step_id() == self.step_id);
        siblings.count() as u32
    }

    /// Returns the cost of placing the task on the worker; the smallest is best.
    fn cost(&self, worker: &Worker, now: Tick) -> Cost {
        let is_far = |rack: Option<&Label>| rack.is_some() && rack != worker.info.rack.as_ref();
        Cost {
            late_calls: worker.expects_late_calls(now),
            failed_before: self.avoid.contains(&worker.info.id),
            slow: worker.speed.is_slow(now),
            is_far: is_far(self.step.rack.as_ref()) || is_far(self.rack),
            siblings: if self.step.long_running { self.siblings(worker) } else { 0 },
            newly_joined: self.trial && now.since(worker.joined) < NEWLY_JOINED_TIME,
            first_long_running: self
                .long_running_workers
                .is_some_and(|workers| !workers.contains(&worker.info.id)),
            packing: if self.trial || self.step.is_latency_sensitive() {
                worker.used.cores
            } else {
                worker.free().cores
            },
        }
    }
}

/// Cost of a placement, compared field by field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// Calls to a previous incarnation may prolong the leases there, so that the task would wait for
    /// long if the worker were lost.
    late_calls: bool,
    /// The task failed there before.
    failed_before: bool,
    /// Tasks take several times as long there.
    slow: bool,
    /// Away from the rack of the task's data or siblings, where the task is slower.
    is_far: bool,
    /// Tasks of the same step that would be lost together with the worker.
    siblings: u32,
    /// Joined recently, for a task that may crash it. A worker that keeps restarting must not be
    /// taken for the task's victim.
    newly_joined: bool,
    /// No long-running task runs there yet.
    first_long_running: bool,
    /// Used capacity for a latency-sensitive task, which others disturb, or for one that may crash
    /// the worker. Otherwise free capacity (best fit), so that other workers stay empty.
    packing: u64,
}

/// Returns the worker with the lowest cost among those that fit.
pub fn choose_worker<'a>(
    request: &PlacementRequest<'_>,
    workers: impl Iterator<Item = &'a Worker>,
    now: Tick,
) -> Option<&'a Worker> {
    workers
        .filter(|worker| request.fits(worker, now))
        .min_by_key(|worker| request.cost(worker, now))
}
