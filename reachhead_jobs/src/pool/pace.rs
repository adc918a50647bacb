//! Slowing down tasks that fill where they disturb tasks that serve.

use crate::{
    clock::Tick,
    job::Phase,
    pool::{Action, Pool},
    task::TaskId,
    worker::Worker,
};

/// Tail, as a share of its target, above which what fills beside a task is slowed down.
const HIGH_TAIL: f64 = 0.8;

/// Tail, as a share of its target, below which what fills beside a task is let work faster.
const LOW_TAIL: f64 = 0.6;

/// Step by which the pace rises, in percent points a report.
const PACE_STEP: u32 = 10;

/// Pace, in percent, below which the fill is stopped altogether.
const PACE_LEAST: u32 = 10;

/// A run that serves or fills.
struct Neighbour {
    task: TaskId,
    run: crate::job::Run,
    /// Tail over target of a run that serves.
    tail: Option<f64>,
    fills: bool,
}

impl Pool {
    /// Tells whether tasks that fill run beside tasks that serve.
    pub(super) fn has_fills(&self, worker: &Worker) -> bool {
        let neighbours = self.neighbours(worker);
        neighbours.iter().any(|one| one.fills) && neighbours.iter().any(|one| one.tail.is_some())
    }

    fn neighbours(&self, worker: &Worker) -> Vec<Neighbour> {
        let mut found = Vec::new();
        for task in worker.runs.keys() {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let step = &job.plan.steps[task.step as usize];
            if !step.best_effort && !step.is_latency_sensitive() {
                continue;
            }
            let state = &job.steps[&task.step_id()].tasks[task.index as usize];
            let run = state.runs.iter().find(|run| run.worker == worker.info.id);
            let Some(run) = run.filter(|run| run.phase == Phase::Working) else {
                continue;
            };
            let serves = step.is_latency_sensitive() && run.percent >= 100;
            let tail = serves.then(|| run.metric as f64 / step.target.0 as f64);
            found.push(Neighbour { task: *task, run: run.clone(), tail, fills: step.best_effort });
        }
        found
    }

    /// Adjusts the pace of what fills after each report.
    pub(super) fn drive_pace(&mut self, now: Tick) {
        let mut changes = Vec::new();
        let mut looked = Vec::new();
        for worker in self.workers.values() {
            let fresh = worker.clock.is_some_and(|sample| sample.at > worker.paced_at);
            if !fresh || worker.silent || !self.has_fills(worker) {
                continue;
            }
            looked.push(worker.info.id.clone());
            let neighbours = self.neighbours(worker);
            let worst = neighbours.iter().filter_map(|one| one.tail).fold(0.0, f64::max);
            for one in neighbours.iter().filter(|one| one.fills) {
                let pace = next_pace(one.run.pace_percent, worst);
                if pace != one.run.pace_percent {
                    let number = one.run.number;
                    changes.push(Action::Pace(self.target(worker), one.task, number, pace));
                }
            }
        }
        for id in looked {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.paced_at = now;
            }
        }
        for change in changes {
            if let Action::Pace(_, task, number, pace) = &change {
                let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(*task));
                if let Some(run) = state.and_then(|state| state.run(*number)) {
                    run.pace_percent = *pace;
                }
            }
            self.actions.push(change);
        }
    }

    /// A change of pace was not confirmed: the worker may have any pace, so it is set anew.
    pub fn pace_failed(&mut self, task: TaskId, number: reachhead_types::size::RunNumber) {
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(task));
        if let Some(run) = state.and_then(|state| state.run(number)) {
            run.pace_percent = 99;
        }
    }
}

/// Returns the pace after a report with this worst tail.
fn next_pace(pace: u32, worst: f64) -> u32 {
    if worst > 1.0 {
        return 0;
    }
    if worst > HIGH_TAIL {
        let half = pace / 2;
        return if half < PACE_LEAST { 0 } else { half };
    }
    if worst < LOW_TAIL { (pace + PACE_STEP).min(100) } else { pace }
}
