//! Emptying a worker before planned work takes its host, inside what each step may miss.

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::Tick,
    job::{Phase, Run},
    place::PlacementRequest,
    pool::{Pool, StopReason},
    task::TaskId,
};

/// How long a worker gets nothing new after it was asked to be emptied. The asker asks again several
/// times a second; if it is gone, the worker is used again.
const CORDON_TIME: Millis = Millis(2500);

/// Slack for a predecessor's order to stop that is still under way.
const STOP_SLACK: Millis = Millis(300);

/// How long a pool asks for one more host after a task that has to leave found no place.
const SURGE_TIME: Millis = Millis(2500);

/// What becomes of short tasks on a worker that is emptied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainMode {
    /// They may finish.
    Graceful,
    /// They are stopped, and go on elsewhere.
    Forced,
}

/// How far a worker is emptied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainProgress {
    /// The pool does not have the worker.
    Unknown,
    /// Something protected is there, and may not be taken away yet.
    Protected,
    /// Only short tasks are there.
    Short,
    /// Nothing is there.
    Empty,
}

impl Pool {
    /// Gives a worker nothing new, moves away what may be moved, and tells how far that is.
    pub fn drain_worker(&mut self, id: &WorkerId, mode: DrainMode, now: Tick) -> DrainProgress {
        // Until all workers have answered a new owner it does not know what is where, and what its
        // predecessor stops may still be reported as at work for a while. A worker that has answered that
        // it runs nothing may go all the same.
        let quiet = self.quiet_since().is_some_and(|since| since <= now);
        let settled = quiet && self.listed && self.pending.is_empty();
        let until = now + CORDON_TIME;
        if self.workers.contains_key(id) && self.is_needed(id, now) {
            // One more host is asked for, and the worker is kept for tasks that must be at work.
            self.surge_until = now + SURGE_TIME;
            if let Some(worker) = self.workers.get_mut(id) {
                worker.cordoned_until = Tick(0);
            }
            return DrainProgress::Protected;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            // It may be listed any moment, and must get nothing then.
            self.cordons.insert(id.clone(), until);
            return if settled { DrainProgress::Unknown } else { DrainProgress::Protected };
        };
        worker.cordoned_until = until;
        // Ends that are not recorded are known to the worker alone if this owner is lost.
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
            if short && mode == DrainMode::Graceful || !short && !self.may_take(task) {
                continue;
            }
            if short || self.has_place(task, now) {
                self.stop_run(task, &run, StopReason::Planned, now);
            } else {
                self.surge_until = now + SURGE_TIME;
            }
        }
        progress
    }

    /// Returns when every stop that a predecessor ordered is over.
    fn quiet_since(&self) -> Option<Tick> {
        self.settled_at.map(|at| at + Millis(self.timeouts.stop.0 + STOP_SLACK.0))
    }

    /// Tells whether a worker can't be emptied now: no other takes tasks, or tasks that must be at work
    /// wait for a place and this one has such tasks anyway.
    fn is_needed(&self, id: &WorkerId, now: Tick) -> bool {
        let others = self.workers.values().filter(|other| other.info.id != *id);
        let alone = others.filter(|other| other.accepts(now)).count() == 0;
        let has_lasting = self.jobs.values().any(|job| job.plan.is_long_running());
        if alone && has_lasting {
            return true;
        }
        let lasts = |task: &TaskId| {
            self.jobs
                .get(&task.job)
                .is_some_and(|job| job.plan.steps[task.step as usize].long_running)
        };
        self.homeless() && self.workers[id].runs.keys().any(lasts)
    }

    /// Tells whether a task that must be at work waits for a place.
    fn homeless(&self) -> bool {
        self.jobs.values().filter(|job| job.ending.is_none()).any(|job| {
            job.steps.iter().any(|(id, state)| {
                job.step(*id).long_running && state.tasks.iter().any(|task| task.runs.is_empty())
            })
        })
    }

    /// Tells whether a task that has to leave its worker can go on elsewhere, be it in the place of
    /// short tasks.
    fn has_place(&self, task: TaskId, now: Tick) -> bool {
        let job = &self.jobs[&task.job];
        let step = &job.plan.steps[task.step as usize];
        let wanted = PlacementRequest {
            step_id: task.step_id(),
            task: Some(task),
            step,
            avoid: &[],
            rack: None,
            long_running_workers: None,
            trial: false,
        };
        self.workers.values().any(|worker| {
            wanted.fits(worker, now)
                || (wanted.is_allowed(worker, now) && self.victims(worker, step).is_some())
        })
    }

    /// Tells whether planned work may end the task's run now. Whether it is at work does not matter:
    /// the report that says so may be a second old.
    fn may_take(&self, task: TaskId) -> bool {
        let job = &self.jobs[&task.job];
        let step = &job.plan.steps[task.step as usize];
        let quiet = self.quiet_since();
        // A report from before that may have a predecessor's run that the predecessor has stopped.
        let certain = |run: &Run| {
            let worker = self.workers.get(&run.worker).filter(|worker| !worker.silent);
            let sample = worker.and_then(|worker| worker.clock);
            let since = quiet.filter(|_| run.adopted).unwrap_or_default();
            sample.is_some_and(|sample| sample.at >= since)
        };
        let away = job.steps[&task.step_id()].missing_siblings(task.index, certain);
        step.max_unavailable == 0 || away < step.max_unavailable
    }
}

impl DrainProgress {
    fn min_of(self, other: Self) -> Self {
        if (other as u8) < (self as u8) { other } else { self }
    }
}
