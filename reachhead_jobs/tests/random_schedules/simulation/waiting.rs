//! The rule for long-running tasks that wait: after a time without disturbance none waits while two
//! workers have room for it. See docs/incidents/bmthpt-reach-grown-lost.md.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    env,
};

use reachhead_jobs::{
    clock::Tick,
    model::Step,
    place::PlacementRequest,
    pool::Note,
    task::{StepId, TaskId},
};
use reachhead_plan::amount::Amount;
use reachhead_property::SEED_VARIABLE;
use reachhead_types::id::{JobId, WorkerId};

use super::{Simulation, WorkerIncarnation};

/// Time without disturbance before the wait of a task counts, in milliseconds.
const MIN_CALM_TIME: u64 = 4000;

/// Time for which a task may wait in calm while workers have room for it, in milliseconds.
const MAX_WAIT: u64 = 3000;

/// Time after its last run, or its submission, for which a task may wait, in milliseconds.
const MIN_IDLE_TIME: u64 = 6000;

/// Period of the check, in milliseconds. Checks at every step would take half of the test's time.
const CHECK_PERIOD: u64 = 100;

/// Number of workers that must have room for a task.
const MIN_ROOMY_WORKERS: usize = 2;

/// Number of the owners' notes that are kept for the report of a violation.
const MAX_NOTES: usize = 400;

/// Long-running tasks that wait, and what disturbed the pool.
#[derive(Default)]
pub(super) struct WaitingTasks {
    /// When the pool was last disturbed.
    disturbed: u64,
    /// Since when each waiting task has had no run.
    idle: BTreeMap<TaskId, u64>,
    /// Since when each waiting task has had room, in calm.
    roomy: BTreeMap<TaskId, u64>,
    /// Tasks of which a violation was reported.
    reported: BTreeSet<TaskId>,
    /// Recent notes of the owners.
    notes: VecDeque<String>,
}

impl WaitingTasks {
    /// Returns when the pool was last disturbed.
    pub(super) const fn disturbed(&self) -> u64 {
        self.disturbed
    }

    /// Sets when the pool was last disturbed.
    pub(super) const fn set_disturbed(&mut self, disturbed: u64) {
        self.disturbed = disturbed;
    }

    pub(super) fn keep_notes(&mut self, now: u64, notes: Vec<Note>) {
        for Note { kind, text } in notes {
            if self.notes.len() >= MAX_NOTES {
                self.notes.pop_front();
            }
            self.notes.push_back(format!("{now} {kind:?} {text}"));
        }
    }
}

impl Simulation {
    /// Records a disturbance: a change of ownership, the begin or end of a worker's fault or of a
    /// cut, a crash, a drain or a cancellation. A restart of a worker counts as a crash.
    pub(super) fn disturb(&mut self) {
        self.waiting.disturbed = self.now;
    }

    /// Checks the rule.
    pub(super) fn check_waiting_tasks(&mut self) {
        if self.faults.is_none() {
            return;
        }
        self.expire_faults();
        self.check_fences();
        let now = self.now;
        if now % CHECK_PERIOD != 0 {
            return;
        }
        let is_calm = self.is_undisturbed_since(now.saturating_sub(MIN_CALM_TIME));
        let running: BTreeSet<TaskId> =
            self.workers.values().flat_map(|worker| worker.running.keys().copied()).collect();
        for task in self.long_running_tasks() {
            if running.contains(&task) {
                self.waiting.idle.remove(&task);
                self.waiting.roomy.remove(&task);
                continue;
            }
            let idle = *self.waiting.idle.entry(task).or_insert(now);
            if !is_calm || self.roomy_workers(task) < MIN_ROOMY_WORKERS {
                self.waiting.roomy.remove(&task);
                continue;
            }
            let roomy = *self.waiting.roomy.entry(task).or_insert(now);
            let is_overdue = now >= idle + MIN_IDLE_TIME && now >= roomy + MAX_WAIT;
            if is_overdue && self.waiting.reported.insert(task) {
                let violation = self.describe(task, idle);
                self.violations.push(violation);
            }
        }
    }

    /// Returns whether tasks of the job have waited against the rule.
    pub(super) fn has_overdue_tasks(&self, id: JobId) -> bool {
        self.waiting.reported.iter().any(|task| task.job == id)
    }

    /// Returns whether a worker has room for a task of the job.
    pub(super) fn has_room_for_job(&self, id: JobId) -> bool {
        let first = |step| StepId { job: id, occurrence: 0, step }.task(0);
        (0..self.jobs[&id].steps.len() as u32).any(|step| self.roomy_workers(first(step)) > 0)
    }

    /// Returns whether nothing has disturbed the newest owner since then.
    fn is_undisturbed_since(&self, then: u64) -> bool {
        let Some(owner) = self.owners.last() else { return false };
        let ended = |until: u64| until <= then || until > self.now;
        // A slow takeover is part of the wait that the rule limits.
        (owner.alive || self.slow.is_some())
            && self.waiting.disturbed <= then
            && self.slow.as_ref().is_none_or(|slow| slow.is_calm_since(then, self.now))
            && owner.paused_until <= then
            && owner.store_cut_until <= then
            && owner.workers_cut.values().all(|until| ended(*until))
    }

    fn long_running_tasks(&self) -> Vec<TaskId> {
        let is_open = |id| !self.cancelled.contains(id);
        let open = self.jobs.iter().filter(|(id, _)| is_open(*id));
        let steps = open.flat_map(|(id, plan)| {
            let step_id = |step| StepId { job: *id, occurrence: 0, step };
            (0..).map(step_id).zip(&plan.steps)
        });
        let lasting = steps.filter(|(_, step)| step.long_running);
        lasting.flat_map(|(id, step)| (0..step.count).map(move |index| id.task(index))).collect()
    }

    /// Returns the number of workers with room for the task.
    fn roomy_workers(&self, task: TaskId) -> usize {
        self.workers.iter().filter(|(id, worker)| self.has_room(id, worker, task)).count()
    }

    /// Returns whether a worker is up and has room for the task, by what really runs there.
    fn has_room(&self, id: &WorkerId, worker: &WorkerIncarnation, task: TaskId) -> bool {
        let Some(owner) = self.owners.last() else { return false };
        let is_cut = owner.workers_cut.get(id).is_some_and(|until| *until > self.now);
        let step = self.specification(task);
        let has_label = step.label.as_ref().is_none_or(|label| self.labels(id).contains(label));
        let siblings = worker.running.keys().filter(|other| other.step_id() == task.step_id());
        let is_apart = step.spread == 0 || (siblings.count() as u32) < step.spread;
        let used = worker.running.keys().map(|other| self.specification(*other).charge());
        let used = used.fold(Amount::default(), Amount::plus);
        let is_advised =
            owner.pool.jobs().get(&task.job).is_some_and(|job| job.queue.advice.is_some());
        !is_cut
            && !self.is_faulty(id)
            && !self.is_silent(id)
            && !self.draining.contains(id)
            && has_label
            && is_apart
            && step.charge().fits(worker.capacity.minus(used))
            && (!is_advised || Self::is_approved(task.step_id(), id))
    }

    fn specification(&self, task: TaskId) -> &Step {
        &self.jobs[&task.job].steps[task.step as usize]
    }

    /// Describes a task that waits against the rule, with the obstacle of each worker.
    fn describe(&self, task: TaskId, idle: u64) -> String {
        let now = Tick(self.now);
        let seed = env::var(SEED_VARIABLE).unwrap_or_else(|_| "0".to_owned());
        let Some(owner) = self.owners.last() else { return String::new() };
        let state = owner.pool.jobs().get(&task.job);
        let state = state.and_then(|job| job.steps.get(&task.step_id()));
        let state = state.and_then(|step| step.tasks.get(task.index as usize));
        let request = PlacementRequest {
            step_id: task.step_id(),
            task: Some(task),
            step: self.specification(task),
            avoid: &[],
            rack: None,
            long_running_workers: None,
            trial: false,
        };
        let mut text = format!(
            "seed {seed}, at {now}: {task} waits since {idle}, undisturbed since {}, pending {}\n\
             state: {state:?}\n",
            self.waiting.disturbed,
            owner.pool.unsettled(),
            now = self.now,
        );
        for (id, worker) in owner.pool.workers() {
            let incarnation = self.workers.get(id);
            let room = incarnation.is_some_and(|worker| self.has_room(id, worker, task));
            let obstacle = request.obstacle(worker, now);
            let obstacle = obstacle.map_or("none", |obstacle| obstacle.name());
            text += &format!("{id}: room={room} obstacle={obstacle}");
            if let Some(reservation) = worker.reserved {
                text += &format!(" step={:?}", reservation.step);
            }
            text.push('\n');
        }
        let marks = [format!("task={task} "), "why=Still".to_owned(), "suspended".to_owned()];
        for note in &self.waiting.notes {
            if marks.iter().any(|mark| note.contains(mark)) {
                text += &format!("{note}\n");
            }
        }
        text
    }
}
