//! Restarted workers: a new incarnation of a worker under the same id.
//!
//! Workers crash and are back within a second or two, often before the crash is noticed. The new
//! incarnation has no runs, and its clock and the numbers of its ends start over: mistaken for the
//! old one, it would be allowed to drop ends that have not been read.

use reachhead_types::{
    id::WorkerId,
    size::{Millis, RunNumber},
};

use crate::{
    clock::{Tick, WorkerTime},
    job::Phase,
    pool::{Action, NoteKind, Pool, PoolTimeouts},
    ports::WorkerReport,
    task::TaskId,
    worker::{FailureHistory, LostOrder, Speed},
};

/// Age up to which an incarnation may have received orders meant for the previous one, from a
/// process that had not noticed the restart.
pub(super) const YOUNG_INCARNATION_AGE: Millis = Millis(20_000);

impl Pool {
    /// Replaces the known incarnation of a worker by the one that sent `report`. The runs of the
    /// old one have ended as in a crash. Unanswered orders may still reach the new one, so they are
    /// barred there.
    pub(super) fn begin_incarnation(&mut self, id: &WorkerId, report: &WorkerReport, now: Tick) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let known = worker.started_at;
        // What the new incarnation runs, from an order for the old one, did not crash that.
        let is_running = |task: TaskId, run: RunNumber| {
            report.running.iter().any(|entry| entry.task == task && entry.run == run)
        };
        let mut worker = worker.clone();
        let kept: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(task, charge)| is_running(**task, charge.run))
            .map(|(task, _)| *task)
            .collect();
        for task in kept {
            worker.release(task);
        }
        if !worker.runs.is_empty() {
            self.log_crash(&worker, now);
        }
        let runs = worker.runs.clone();
        let suspects = self.suspects_of_death(&worker, now);
        for (task, charge) in runs {
            if !self.bar_run(task, id) {
                self.remove_run(id, task, charge.run);
            }
        }
        self.bar_lost_orders(id);
        // The stored jobs that are still being read may need the ends of the old one.
        if !self.is_recovering() {
            self.unclaimed_ends.drop_worker(id);
        }
        self.advice.drop_worker(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.started_at = report.started_at;
            worker.last_processed = 0;
            worker.acknowledged = 0;
            worker.unrecorded.clear();
            // The answered call had a deadline by the old clock, for which a worker grants its
            // longest lease.
            worker.max_deadline = WorkerTime(report.clock.0 + self.timeouts.grant.0);
            worker.speed = Speed::new(now);
            worker.failure_history = FailureHistory::default();
            worker.begin_incarnation(now, self.timeouts.grant);
        }
        self.review = true;
        self.note(
            NoteKind::WorkerDoubted,
            format!(
                "worker={id} born={:?} before={known:?} why=\"it has started again\"",
                report.started_at
            ),
        );
        for suspect in suspects {
            self.count_crash(suspect, now);
        }
    }

    /// Processes a worker's first report. What runs there has a lease of a predecessor. A
    /// predecessor may also have mistaken a young incarnation for the previous one, and have extended
    /// its lease by the old clock.
    pub(super) fn apply_first_report(&mut self, id: &WorkerId, report: &WorkerReport, now: Tick) {
        let PoolTimeouts { hold, grant, .. } = self.timeouts;
        let wall_offset = self.wall_offset;
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.answered) else {
            return;
        };
        if !report.running.is_empty() {
            worker.max_deadline = worker.max_deadline.max(WorkerTime(report.clock.0 + hold.0));
        }
        let age = report
            .started_at
            .map(|started| Millis((wall_offset.0 + now.0).saturating_sub(started.0)));
        if age.is_some_and(|age| age < YOUNG_INCARNATION_AGE) {
            worker.max_deadline = worker.max_deadline.max(WorkerTime(report.clock.0 + grant.0));
        }
    }

    /// Bars ended runs whose start orders may still arrive, since the new incarnation does not know
    /// them.
    fn bar_lost_orders(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let over = |lost: &&LostOrder| {
            worker.runs.get(&lost.task).is_none_or(|charge| charge.run != lost.run)
        };
        let lost: Vec<LostOrder> = worker.lost_orders.iter().filter(over).copied().collect();
        let target = self.target(worker);
        for LostOrder { task, run, .. } in lost {
            self.actions.push(Action::Stop(target.clone(), task, run));
        }
    }

    /// Bars a run whose start order may still arrive, and returns whether there was one.
    fn bar_run(&mut self, id: TaskId, worker: &WorkerId) -> bool {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task(id));
        let run = task.and_then(|task| task.runs.iter_mut().find(|run| run.worker == *worker));
        let Some(run) = run.filter(|run| run.settled_at.is_none() || run.unconfirmed) else {
            return false;
        };
        run.barred = true;
        run.settled_at = None;
        run.phase = Phase::Stopping;
        run.retry_at = Tick(0);
        true
    }
}
