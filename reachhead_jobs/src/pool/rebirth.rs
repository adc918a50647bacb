//! Workers that start again under the id that they had.
//!
//! Load: workers crash and are back within a second or two, often before anybody has noticed. The new life holds nothing, and its
//! clock and the numbers of its ends begin anew: taken for the old one it would be told to forget ends that nobody has read.

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::{Tick, WorkerTime},
    job::Phase,
    pool::{Action, NoteKind, Pool},
    ports::WorkerReport,
    task::TaskId,
    worker::{LostOrder, Speed},
};

/// How long after its beginning a life may have been given orders that were meant for the one before, by whoever had not noticed.
const YOUNG_TIME: Millis = Millis(20_000);

/// Tells whether a life that began at `life` is newer than one that began at `known`; lives that do not say when they began
/// are one.
pub(super) fn is_newer(life: Option<Millis>, known: Option<Millis>) -> bool {
    matches!((life, known), (Some(life), Some(known)) if life > known)
}

impl Pool {
    /// Takes in that a report is of another life of the worker than what is known of it. What ran in the old one is over as after
    /// a crash. Orders that were not answered may still come to the new one, so they are barred there.
    pub(super) fn begin_life(&mut self, id: &WorkerId, report: &WorkerReport, now: Tick) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let known = worker.started_at;
        let mut involved = self.involved(worker);
        involved.extend(worker.crash_suspects.iter().copied());
        let worker = worker.clone();
        if !worker.runs.is_empty() {
            self.note_crash(&worker, now);
        }
        let runs = worker.runs.clone();
        let planned = worker.info.draining || worker.cordoned_until > now;
        for (task, charge) in runs {
            let kept =
                report.running.iter().any(|entry| entry.task == task && entry.run == charge.run);
            if !kept && !self.bar(task, id) {
                self.take_run(id, task, charge.run);
            }
        }
        self.bar_lost(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.started_at = report.started_at;
            worker.last_processed = 0;
            worker.acknowledged = 0;
            worker.unrecorded.clear();
            // The call that was answered had a deadline by the old clock, for which the longest lease is granted that there is.
            worker.max_deadline = WorkerTime(report.clock.0 + self.timeouts.grant.0);
            worker.speed = Speed::new(now);
            worker.begin_incarnation(now);
        }
        self.review = true;
        self.note(
            NoteKind::WorkerDoubted,
            format!(
                "worker={id} born={:?} before={known:?} why=\"it has started again\"",
                report.started_at
            ),
        );
        if !planned {
            for involved in involved {
                self.blame_task(involved);
            }
        }
    }

    /// Takes in the first report of a worker. In a young life a predecessor may have taken it for the one before, and have prolonged
    /// its lease by that one's clock.
    pub(super) fn meet(&mut self, id: &WorkerId, report: &WorkerReport, now: Tick) {
        let (epoch, grant) = (self.epoch, self.timeouts.grant);
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.answered) else {
            return;
        };
        let age = report.started_at.map(|born| Millis((epoch.0 + now.0).saturating_sub(born.0)));
        if age.is_some_and(|age| age < YOUNG_TIME) {
            worker.max_deadline = worker.max_deadline.max(WorkerTime(report.clock.0 + grant.0));
        }
    }

    /// Bars runs that are over, of which an order may still come: the new life does not know that.
    fn bar_lost(&mut self, id: &WorkerId) {
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

    /// Bars a run of which an order may still come; tells whether that was so.
    fn bar(&mut self, id: TaskId, worker: &WorkerId) -> bool {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task(id));
        let run = task.and_then(|task| task.runs.iter_mut().find(|run| run.worker == *worker));
        let Some(run) = run.filter(|run| run.settled_at.is_none() || run.unconfirmed) else {
            return false;
        };
        run.settled_at = None;
        run.phase = Phase::Stopping;
        run.retry_at = Tick(0);
        true
    }
}
