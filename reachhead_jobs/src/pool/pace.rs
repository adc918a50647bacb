//! Pacing of best-effort tasks that share a worker with latency-sensitive tasks.

use crate::{
    clock::Tick,
    job::Phase,
    pool::{Action, Pool},
    task::TaskId,
    worker::Worker,
};

/// Tail latency relative to its target above which best-effort tasks are slowed down.
const HIGH_TAIL_RATIO: f64 = 0.8;

/// Tail latency relative to its target below which best-effort tasks are sped up.
const LOW_TAIL_RATIO: f64 = 0.6;

/// Increase of the pace, in percentage points per report.
const PACE_STEP_PERCENT: u32 = 10;

/// Pace, in percent, below which a best-effort task is paused.
const MIN_PACE_PERCENT: u32 = 10;

/// A latency-sensitive or best-effort run.
struct Neighbour {
    task: TaskId,
    run: crate::job::Run,
    /// Tail latency relative to its target, for a latency-sensitive run.
    tail: Option<f64>,
    best_effort: bool,
}

impl Pool {
    /// Returns whether a worker runs both best-effort and latency-sensitive tasks.
    pub(super) fn has_contention(&self, worker: &Worker) -> bool {
        let neighbours = self.neighbours(worker);
        neighbours.iter().any(|neighbour| neighbour.best_effort)
            && neighbours.iter().any(|neighbour| neighbour.tail.is_some())
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
            found.push(Neighbour {
                task: *task,
                run: run.clone(),
                tail,
                best_effort: step.best_effort,
            });
        }
        found
    }

    /// Adjusts the pace of best-effort tasks after each report.
    pub(super) fn adjust_pace(&mut self, now: Tick) {
        let mut changes = Vec::new();
        let mut checked = Vec::new();
        for worker in self.workers.values() {
            let fresh = worker.clock.is_some_and(|sample| sample.at > worker.paced_at);
            if !fresh || worker.silent {
                continue;
            }
            let neighbours = self.neighbours(worker);
            // A task that was slowed down beside one that is gone gets its pace back.
            let is_slowed =
                |neighbour: &Neighbour| neighbour.best_effort && neighbour.run.pace_percent < 100;
            if !self.has_contention(worker) && !neighbours.iter().any(is_slowed) {
                continue;
            }
            checked.push(worker.info.id.clone());
            let worst =
                neighbours.iter().filter_map(|neighbour| neighbour.tail).fold(0.0, f64::max);
            for neighbour in neighbours.iter().filter(|neighbour| neighbour.best_effort) {
                let pace = next_pace(neighbour.run.pace_percent, worst);
                if pace != neighbour.run.pace_percent {
                    let number = neighbour.run.number;
                    changes.push(Action::Pace(self.target(worker), neighbour.task, number, pace));
                }
            }
        }
        for id in checked {
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

    /// Records that a change of pace was not confirmed. The worker may have any pace, so the next
    /// adjustment sends it again.
    pub fn pace_failed(&mut self, task: TaskId, number: reachhead_types::size::RunNumber) {
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(task));
        if let Some(run) = state.and_then(|state| state.run(number)) {
            run.pace_percent = 99;
        }
    }
}

/// Returns the next pace, given the worst relative tail latency in a report.
fn next_pace(pace: u32, worst: f64) -> u32 {
    if worst > 1.0 {
        return 0;
    }
    if worst > HIGH_TAIL_RATIO {
        let half = pace / 2;
        return if half < MIN_PACE_PERCENT { 0 } else { half };
    }
    if worst < LOW_TAIL_RATIO { (pace + PACE_STEP_PERCENT).min(100) } else { pace }
}
