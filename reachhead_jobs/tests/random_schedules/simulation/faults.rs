//! Schedules with wide long-running steps on larger pools, and workers that reject, fail or hang
//! what they start, or leave.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_jobs::{
    clock::Tick,
    pool::{DrainMode, DrainProgress},
    ports::{Approval, Rejection, StartOrder, WorkerReport},
    task::{StepId, TaskId},
};
use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{Label, WorkerId, ZoneName},
    size::RunNumber,
};

use super::{
    Owner, STEP, Simulation, TASK_TIME, TaskBehavior,
    plans::{LABEL, advised_queue, plan, queue, wide_plan},
};

/// Shortest duration of a worker's fault, in milliseconds.
const MIN_FAULT_TIME: u64 = 1000;

/// Time until a worker that fails what it starts reports the failure, in milliseconds.
const FAILURE_TIME: u64 = 100;

/// Maximum number of long-running jobs that are open at once; more of them would leave no capacity.
const MAX_WIDE_JOBS: usize = 8;

/// Time in which nothing happens, in milliseconds. It is longer than the time for which the rule
/// for waiting tasks needs calm.
const CALM_TIME: u64 = 7500;

/// Period of drain requests for a worker that planned work is about to take, in milliseconds.
const DRAIN_PERIOD: u64 = 300;

/// Number of zones of the workers.
const ZONES: u32 = 4;

/// Choices from here on make the fault of a worker last several times as long.
const FIRST_LONG_CHOICE: u8 = 128;

/// Returns the sum of the bytes of a worker's id, which decides on its zone, label and approvals.
fn digest(id: &WorkerId) -> u32 {
    id.to_string().bytes().map(u32::from).sum()
}

/// What is wrong with a worker that still answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkerFault {
    /// It rejects starts since it is unhealthy.
    Unhealthy,
    /// It rejects starts for lack of room.
    Full,
    /// What it starts fails.
    Failing,
    /// It confirms starts, and the runs make no progress.
    Hanging,
    /// It is registered as draining, and is gone at the end.
    Leaving,
    /// Planned work waits until it has no protected task, and takes it.
    Planned,
}

/// Workers with faults.
#[derive(Default)]
pub(super) struct WorkerFaults {
    /// The fault of each worker, and its end.
    active: BTreeMap<WorkerId, (WorkerFault, u64)>,
    /// Runs that were started on a worker that hangs; they resume when that ends.
    hung: BTreeSet<(TaskId, RunNumber)>,
    /// The zone that operators drain, and until when.
    drained: Option<(ZoneName, u64)>,
}

fn zone(number: u32) -> ZoneName {
    format!("z{}", number % ZONES).parse().unwrap()
}

impl Owner {
    /// Returns whether the process runs and reaches the store.
    fn is_up(&self, now: u64) -> bool {
        self.alive && self.paused_until <= now && self.store_cut_until <= now
    }
}

impl Simulation {
    /// Lets long-running steps be wide and keep apart, on this many larger workers more, which
    /// reject, fail and hang what they start for a while.
    pub fn with_wide_steps(mut self, workers: u8) -> Self {
        self.faults = Some(WorkerFaults::default());
        for _ in 0..workers {
            self.add_worker();
        }
        self.run(400);
        self
    }

    /// Performs a random act of a schedule with wide steps.
    pub(super) fn act_with_faults(&mut self, kind: u8, choice: u8, span: u64) {
        match kind % 28 {
            10 => self.lose_next = choice,
            kind @ 4..=13 => self.perform(kind, choice, span),
            14..=16 => self.begin_fault(choice, span),
            17 => self.begin_leaving(choice, span),
            25 => self.begin_planned_work(choice, span),
            26 => self.drain_zone(choice, span),
            18..=19 | 27 => self.run(CALM_TIME + span),
            _ => self.submit_wide(choice),
        }
        self.run(span % 700);
    }

    pub(super) fn submit_wide(&mut self, choice: u8) {
        let is_open = |id| !self.cancelled.contains(id);
        let open = self.jobs.iter().filter(|(id, plan)| is_open(*id) && plan.is_long_running());
        let (is_wide, kind) = (choice % 2 == 0 && open.count() < MAX_WIDE_JOBS, choice / 2);
        let workers = self.workers.len() as u32;
        let plan = if is_wide { wide_plan(kind, workers) } else { plan(kind % 2) };
        // The rule for waiting tasks knows of approvals only while an owner knows the job.
        let is_advised = kind % 5 == 0 && self.slow.is_none();
        let queue = if is_advised { advised_queue() } else { queue() };
        self.submit_plan(choice, queue, plan);
    }

    /// Begins a fault of one worker, of a few, or of all.
    fn begin_fault(&mut self, choice: u8, span: u64) {
        let fault = match choice % 5 {
            0 | 1 => WorkerFault::Unhealthy,
            2 => WorkerFault::Full,
            3 => WorkerFault::Failing,
            _ => WorkerFault::Hanging,
        };
        let count = match choice / 5 % 4 {
            0 => self.workers.len(),
            count => usize::from(count * count),
        };
        let first = usize::from(choice) % self.workers.len().max(1);
        let ids = self.workers.keys().cycle().skip(first).take(count).cloned();
        let ids: Vec<WorkerId> = ids.collect();
        let length = if choice >= FIRST_LONG_CHOICE { 4 * span } else { span };
        let until = self.now + MIN_FAULT_TIME + length;
        let Some(faults) = &mut self.faults else { return };
        for id in ids {
            faults.active.entry(id).or_insert((fault, until));
        }
        self.disturb();
    }

    fn begin_leaving(&mut self, choice: u8, span: u64) {
        let Some(id) = self.pick(choice) else { return };
        let until = self.now + MIN_FAULT_TIME + span;
        if let Some(faults) = &mut self.faults {
            faults.active.insert(id.clone(), (WorkerFault::Leaving, until));
        }
        self.draining.insert(id);
        self.disturb();
        self.list();
    }

    fn begin_planned_work(&mut self, choice: u8, span: u64) {
        let Some(id) = self.pick(choice) else { return };
        let until = self.now + MIN_FAULT_TIME + 4 * span;
        if let Some(faults) = &mut self.faults {
            faults.active.entry(id).or_insert((WorkerFault::Planned, until));
        }
        self.disturb();
    }

    /// Repeats the drain requests, and takes the workers that are drained.
    fn request_drains(&mut self) {
        let now = self.now;
        if now % DRAIN_PERIOD >= STEP || self.owners.last().is_none_or(|owner| !owner.is_up(now)) {
            return;
        }
        let faults = self.faults.iter().flat_map(|faults| &faults.active);
        let planned = faults.filter(|(_, (fault, _))| *fault == WorkerFault::Planned);
        let planned: Vec<WorkerId> = planned.map(|(id, _)| id.clone()).collect();
        for id in planned {
            let progress = self.newest().pool.drain_worker(&id, DrainMode::Graceful, Tick(now));
            if matches!(progress, DrainProgress::Empty | DrainProgress::Unknown) {
                if let Some(faults) = &mut self.faults {
                    faults.active.remove(&id);
                }
                if self.workers.contains_key(&id) {
                    self.crash(&id);
                    self.add_worker();
                }
            }
        }
    }

    fn drain_zone(&mut self, choice: u8, span: u64) {
        let zone = zone(u32::from(choice));
        let until = self.now + MIN_FAULT_TIME + 2 * span;
        if let Some(faults) = &mut self.faults {
            faults.drained = Some((zone, until));
        }
        self.disturb();
    }

    /// Lets the newest owner read the drained zones.
    fn read_zones(&mut self) {
        let now = self.now;
        let Some(faults) = &mut self.faults else { return };
        let has_ended = faults.drained.take_if(|(_, until)| *until <= now).is_some();
        let zones = faults.drained.iter().map(|(zone, _)| zone.clone()).collect();
        if let Some(owner) = self.owners.last_mut().filter(|owner| owner.is_up(now)) {
            owner.pool.drain_zones(&zones, Tick(now));
        }
        if has_ended {
            self.disturb();
        }
    }

    /// Ends the faults whose time has passed.
    pub(super) fn expire_faults(&mut self) {
        self.request_drains();
        self.read_zones();
        let now = self.now;
        let Some(faults) = &mut self.faults else { return };
        let active = std::mem::take(&mut faults.active);
        let (ended, active) = active.into_iter().partition(|(_, (_, until))| *until <= now);
        faults.active = active;
        let ended: BTreeMap<WorkerId, (WorkerFault, u64)> = ended;
        if !ended.is_empty() {
            self.disturb();
        }
        for (id, (fault, _)) in ended {
            if fault == WorkerFault::Hanging {
                self.resume(&id);
            }
            if fault == WorkerFault::Leaving && self.workers.contains_key(&id) {
                self.crash(&id);
                self.add_worker();
            }
        }
    }

    /// Lets the runs of a worker that hung make progress.
    fn resume(&mut self, id: &WorkerId) {
        let now = self.now;
        let lasting: BTreeSet<TaskId> = self
            .workers
            .get(id)
            .into_iter()
            .flat_map(|worker| worker.running.keys())
            .copied()
            .filter(|task| self.is_long_running(task))
            .collect();
        let Some(faults) = &mut self.faults else { return };
        let Some(worker) = self.workers.get_mut(id) else { return };
        for (task, run) in &mut worker.running {
            if faults.hung.remove(&(*task, run.run)) && !lasting.contains(task) {
                run.behavior.time = Some(now - run.started_at + TASK_TIME);
            }
        }
    }

    /// Ends all faults now.
    pub(super) fn end_faults(&mut self) {
        let now = self.now;
        if let Some(faults) = &mut self.faults {
            faults.active.values_mut().for_each(|(_, until)| *until = now);
            faults.drained = None;
        }
        self.expire_faults();
    }

    fn fault_of(&self, id: &WorkerId) -> Option<WorkerFault> {
        self.faults.as_ref()?.active.get(id).map(|(fault, _)| *fault)
    }

    /// Returns whether the worker has a fault, or its zone is drained.
    pub(super) fn is_faulty(&self, id: &WorkerId) -> bool {
        let drained = self.faults.as_ref().and_then(|faults| faults.drained.as_ref());
        self.fault_of(id).is_some() || drained.is_some_and(|(zone, _)| *zone == self.zone(id))
    }

    /// Returns the zone of a worker.
    pub(super) fn zone(&self, id: &WorkerId) -> ZoneName {
        if self.faults.is_some() { zone(digest(id)) } else { "z".parse().unwrap() }
    }

    /// Returns why the worker rejects every start now.
    pub(super) fn rejection(&self, id: &WorkerId) -> Option<Rejection> {
        match self.fault_of(id)? {
            WorkerFault::Unhealthy => Some(Rejection::Unhealthy),
            WorkerFault::Full => Some(Rejection::Room),
            _ => None,
        }
    }

    /// Returns how a run behaves that the worker starts now.
    pub(super) fn behavior(&mut self, id: &WorkerId, order: &StartOrder) -> TaskBehavior {
        let time = (!self.is_long_running(&order.task)).then(|| self.duration(&order.task));
        let healthy = TaskBehavior { time, fails: false, crashes: false };
        match self.fault_of(id) {
            Some(WorkerFault::Failing) => {
                TaskBehavior { time: Some(FAILURE_TIME), fails: true, ..healthy }
            }
            Some(WorkerFault::Hanging) => {
                if let Some(faults) = &mut self.faults {
                    faults.hung.insert((order.task, order.run));
                }
                TaskBehavior { time: None, ..healthy }
            }
            _ => healthy,
        }
    }

    fn duration(&self, task: &TaskId) -> u64 {
        let plan = self.jobs.get(&task.job);
        plan.map_or(TASK_TIME, |plan| plan.steps[task.step as usize].estimate.0)
    }

    /// Removes the progress of hung runs from a report.
    pub(super) fn hide_progress(&self, report: &mut WorkerReport) {
        let Some(faults) = &self.faults else { return };
        for entry in &mut report.running {
            if faults.hung.contains(&(entry.task, entry.run)) {
                entry.percent = 0;
            }
        }
    }

    /// Returns whether the service that decides on placements approves the worker for the step.
    pub(super) fn is_approved(step: StepId, worker: &WorkerId) -> bool {
        (u64::from(digest(worker)) + step.job.0) % 4 != 0
    }

    pub(super) fn approvals(&self, step: StepId, workers: &[WorkerId]) -> Vec<Approval> {
        let approved = workers.iter().filter(|worker| Self::is_approved(step, worker));
        let approval =
            |worker: &WorkerId| Approval { worker: worker.clone(), ticket: "t".to_owned() };
        approved.map(approval).collect()
    }

    /// Returns the capacity of the worker that joins next.
    pub(super) fn next_capacity(&self) -> Amount {
        match &self.faults {
            Some(_) => Amount::new(4000 * (1 + self.incarnations % 4), 4000, 0),
            None => Amount::new(2000, 4000, 0),
        }
    }

    /// Returns the labels of a worker: one in three has [`LABEL`].
    pub(super) fn labels(&self, id: &WorkerId) -> Vec<Label> {
        let is_labelled = self.faults.is_some() && digest(id) % 3 == 0;
        is_labelled.then(|| LABEL.parse().unwrap()).into_iter().collect()
    }
}
