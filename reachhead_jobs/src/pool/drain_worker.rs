//! Draining a worker before planned work takes its host, within each step's disruption budget
//! ([`max_unavailable`](crate::model::Step::max_unavailable)).

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::Tick,
    job::{Phase, Run},
    model::Step,
    place::PlacementRequest,
    pool::{Pool, StopReason},
    task::TaskId,
    worker::Worker,
};

/// How long a drain request cordons a worker. Requests are repeated several times a second; when
/// they stop, the worker is used again.
const CORDON_DURATION: Millis = Millis(2500);

/// Slack for a predecessor's stop order that is still in flight.
const STOP_SLACK: Millis = Millis(300);

/// How long a pool requests one extra host after a task that has to move found no place.
const SURGE_DURATION: Millis = Millis(2500);

/// How short tasks on a drained worker are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainMode {
    /// They may finish.
    Graceful,
    /// They are stopped and restarted elsewhere.
    Forced,
}

/// How far a worker is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainProgress {
    /// The pool does not have the worker.
    Unknown,
    /// It can't be taken yet: a protected task there may not be disrupted now, the pool needs the
    /// worker, an end is not recorded, or a new owner does not know yet what runs there.
    Protected,
    /// It has only short tasks.
    Short,
    /// It has no tasks.
    Empty,
}

impl Pool {
    /// Cordons a worker, moves the tasks that may be moved, and returns the progress.
    pub fn drain_worker(&mut self, id: &WorkerId, mode: DrainMode, now: Tick) -> DrainProgress {
        // Until all workers have answered, a new owner does not know where tasks run, and runs that
        // its predecessor stops may still be reported as active. A worker that has reported no runs
        // may be released all the same.
        let stops_done = self.predecessor_stops_end().is_some_and(|since| since <= now);
        let is_known = !self.is_recovering() && self.workers_listed;
        let settled = stops_done && is_known && self.pending.is_empty();
        let until = now + CORDON_DURATION;
        if self.workers.contains_key(id) && self.is_needed(id, now) {
            // Requests one extra host, and keeps this worker for its long-running tasks.
            self.surge_until = now + SURGE_DURATION;
            if let Some(worker) = self.workers.get_mut(id) {
                worker.cordoned_until = Tick(0);
            }
            return DrainProgress::Protected;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            // It may be listed at any moment, and must not get tasks then.
            self.cordons.insert(id.clone(), until);
            return if settled { DrainProgress::Unknown } else { DrainProgress::Protected };
        };
        worker.cordoned_until = until;
        // Only the worker still has ends that are not recorded, should this owner be lost.
        let recorded = worker.acknowledged >= worker.last_processed;
        if worker.is_idle() && recorded {
            return DrainProgress::Empty;
        }
        if !settled || !worker.answered {
            return DrainProgress::Protected;
        }
        let tasks: Vec<TaskId> = worker.runs.keys().copied().collect();
        let mut progress = if recorded { DrainProgress::Empty } else { DrainProgress::Protected };
        for task in tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let step = &job.plan.steps[task.step as usize];
            let short = !step.long_running;
            progress = progress.min_of(if short {
                DrainProgress::Short
            } else {
                DrainProgress::Protected
            });
            let state = &job.steps[&task.step_id()].tasks[task.index as usize];
            let run = state.runs.iter().find(|run| run.worker == *id);
            let Some(run) = run.filter(|run| run.phase == Phase::Working).cloned() else {
                continue;
            };
            if short && mode == DrainMode::Graceful || !short && !self.can_disrupt(task) {
                continue;
            }
            if short || self.can_move(task, now) {
                self.stop_run(task, &run, StopReason::Planned, now);
            } else {
                self.surge_until = now + SURGE_DURATION;
            }
        }
        progress
    }

    /// Returns when every stop that a predecessor ordered has completed.
    fn predecessor_stops_end(&self) -> Option<Tick> {
        self.all_answered_at.map(|at| at + Millis(self.timeouts.stop.0 + STOP_SLACK.0))
    }

    /// Returns whether a worker can't be drained now: no other worker takes tasks, or long-running
    /// tasks are unplaced while this worker has such tasks.
    fn is_needed(&self, id: &WorkerId, now: Tick) -> bool {
        let others = self.workers.values().filter(|other| other.info.id != *id);
        let alone = others.filter(|other| other.accepts(now)).count() == 0;
        let has_long_running = self.jobs.values().any(|job| job.plan.is_long_running());
        if alone && has_long_running {
            return true;
        }
        let is_long_running = |task: &TaskId| {
            self.jobs
                .get(&task.job)
                .is_some_and(|job| job.plan.steps[task.step as usize].long_running)
        };
        self.has_unplaced_long_running() && self.workers[id].runs.keys().any(is_long_running)
    }

    /// Returns whether a long-running task has no run that some worker could take if it were empty.
    fn has_unplaced_long_running(&self) -> bool {
        let mut steps = self
            .jobs
            .values()
            .filter(|job| job.ending.is_none())
            .flat_map(|job| job.steps.iter().map(move |(id, state)| (job.step(*id), state)));
        steps.any(|(step, state)| {
            step.long_running
                && state.tasks.iter().any(|task| task.runs.is_empty())
                && self.workers.values().any(|worker| worker.listed && is_suitable(worker, step))
        })
    }

    /// Returns whether a task that has to move fits on another worker, possibly after evicting
    /// short tasks there.
    fn can_move(&self, task: TaskId, now: Tick) -> bool {
        let job = &self.jobs[&task.job];
        let step = &job.plan.steps[task.step as usize];
        let wanted = PlacementRequest::new(task.step_id(), step).with_task(task);
        self.workers.values().any(|worker| {
            wanted.fits(worker, now)
                || (wanted.is_allowed(worker, now) && self.victims(worker, step, now).is_some())
        })
    }

    /// Returns whether planned work may stop the task's run now. The run's own state does not
    /// matter: a report that shows it as running may be a second old.
    fn can_disrupt(&self, task: TaskId) -> bool {
        let job = &self.jobs[&task.job];
        let step = &job.plan.steps[task.step as usize];
        let stops_end = self.predecessor_stops_end();
        // An earlier report may show a run that the predecessor has stopped meanwhile.
        let is_confirmed = |run: &Run| {
            let worker = self.workers.get(&run.worker).filter(|worker| !worker.silent);
            let sample = worker.and_then(|worker| worker.clock);
            let since = stops_end.filter(|_| run.adopted).unwrap_or_default();
            sample.is_some_and(|sample| sample.at >= since)
        };
        let unavailable = job.steps[&task.step_id()].missing_siblings(task.index, is_confirmed);
        step.max_unavailable == 0 || unavailable < step.max_unavailable
    }
}

/// Returns whether the worker could run a task of the step if it were empty.
fn is_suitable(worker: &Worker, step: &Step) -> bool {
    let has_label = step.label.as_ref().is_none_or(|label| worker.info.labels.contains(label));
    has_label && step.charge().fits(worker.info.capacity)
}

impl DrainProgress {
    fn min_of(self, other: Self) -> Self {
        if (other as u8) < (self as u8) { other } else { self }
    }
}
