//! Workers whose lives are over, and what that says of the tasks that were there.

use std::fmt::{self, Display, Formatter};

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::Tick,
    crashes::{CrashRole, Crashes},
    job::Run,
    pool::{NoteKind, Pool},
    ports::RunningEntry,
    task::TaskId,
    worker::{CrashSuspect, Worker},
};

/// Tasks that a line of the log names at most; one worker may have dozens.
const NAMED_TASKS: usize = 8;

/// How long nothing is started beside a task that may crash its worker late in its run; one that takes hours must not have a worker
/// to itself for them.
const LATE_TIME: Millis = Millis(20_000);

/// On whose word a worker's life is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeathEvidence {
    /// Another life answers at its address.
    Replaced,
    /// Its host answers that nobody listens, and the platform has no host with it.
    Unhosted,
    /// It does not answer, is off the platform's list, and every lease there has lapsed.
    OffList,
}

impl Display for DeathEvidence {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Replaced => "another life answers there",
            Self::Unhosted => "the platform has no host with it",
            Self::OffList => "it is off the list and everything there has lapsed",
        })
    }
}

impl Pool {
    /// A life of a worker is over, and with it everything that ran there.
    pub fn worker_died(&mut self, id: &WorkerId, end: DeathEvidence, now: Tick) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.pending.remove(id);
        self.review = true;
        self.over.insert(id.clone(), worker.started_at);
        self.note(
            NoteKind::WorkerDoubted,
            format!("worker={id} over=true why=\"{end}\" runs={}", worker.runs.len()),
        );
        if !worker.runs.is_empty() {
            self.note_crash(&worker, now);
        }
        let involved = self.involved(&worker);
        for (task, charge) in &worker.runs {
            self.take_run(id, *task, charge.run);
        }
        // A worker that crashed reports no ends, so its tasks would start again as if they had never been there. What planned work
        // ends, or a worker that only is out of reach, has not crashed by its tasks.
        let planned = worker.info.draining || worker.cordoned_until > now;
        if end != DeathEvidence::OffList && !planned {
            for involved in involved.into_iter().chain(worker.crash_suspects) {
                self.blame_task(involved);
            }
        }
    }

    /// Returns the tasks that may be what a worker crashes by if it does so now.
    pub(super) fn involved(&self, worker: &Worker) -> Vec<CrashSuspect> {
        let fresh = self.fresh_on(worker);
        if let [task] = fresh.as_slice() {
            return vec![CrashSuspect { task: *task, role: CrashRole::Own }];
        }
        if !fresh.is_empty() {
            let role = CrashRole::Fresh;
            return fresh.into_iter().map(|task| CrashSuspect { task, role }).collect();
        }
        // A task that runs on and is at work serves its users best by another start, however often hosts go down.
        let ends = |task: &&TaskId| !self.is_lasting(**task);
        let role = CrashRole::Bystander;
        worker.runs.keys().filter(ends).map(|task| CrashSuspect { task: *task, role }).collect()
    }

    /// Notes that a worker crashed under a task, and gives the task up if it is the cause.
    pub(super) fn blame_task(&mut self, CrashSuspect { task: id, role }: CrashSuspect) {
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| job.ending.is_none()) else {
            return;
        };
        let Some(task) = job.task(id).filter(|task| !task.done) else {
            return;
        };
        task.crashes.record(role);
        let Crashes { total, own, .. } = task.crashes;
        if task.crashes.is_conclusive() {
            self.note(NoteKind::TaskGivenUp, format!("task={id} crashes={total} own={own}"));
            self.settle(id.job);
        } else if task.crashes.is_suspect() {
            self.mark(id.job);
        }
    }

    /// Ends the trial of a task that has begun to work, unless it may be one that crashes workers later: that is tried until it
    /// is at work, or has worked for a while.
    pub(super) fn clear_trial(&mut self, id: &WorkerId, entry: &RunningEntry, age: Millis) {
        let job = self.jobs.get_mut(&entry.task.job);
        let late =
            job.and_then(|job| job.task(entry.task)).is_some_and(|task| task.crashes.is_late());
        let over = !late || entry.percent >= 100 || age >= LATE_TIME;
        if over && let Some(worker) = self.workers.get_mut(id) {
            worker.end_trial(entry.task);
        }
    }

    /// Forgets the crashes under a task that has been at work for long.
    pub(super) fn forgive(&mut self, id: TaskId) {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task(id));
        if let Some(task) = task.filter(|task| !task.crashes.is_empty()) {
            task.crashes = Crashes::default();
            self.mark(id.job);
        }
    }

    /// Names the runs that had not begun to work: starting one of them may be what the worker crashed by.
    pub(super) fn note_crash(&mut self, worker: &Worker, now: Tick) {
        let fresh = self.fresh_on(worker);
        let named: Vec<String> =
            fresh.iter().take(NAMED_TASKS).map(|task| self.describe(worker, *task)).collect();
        let text = format!(
            "worker={} runs={} heard={}ms fresh={} tasks={}",
            worker.info.id,
            worker.runs.len(),
            now.since(worker.last_contact),
            fresh.len(),
            named.join(",")
        );
        self.note(NoteKind::WorkerCrashed, text);
    }

    /// Returns the tasks on a worker that no report has shown at work.
    pub(super) fn fresh_on(&self, worker: &Worker) -> Vec<TaskId> {
        let is_fresh =
            |task: &TaskId| self.run_on(worker, *task).is_some_and(|run| !run.has_worked());
        worker.runs.keys().copied().filter(is_fresh).collect()
    }

    fn describe(&self, worker: &Worker, task: TaskId) -> String {
        let age = self.run_on(worker, task).map(|run| worker.last_contact.since(run.ordered_at));
        format!("{task}@{}ms", age.unwrap_or_default())
    }

    fn run_on(&self, worker: &Worker, id: TaskId) -> Option<&Run> {
        let step = self.jobs.get(&id.job)?.steps.get(&id.step_id())?;
        let task = step.tasks.get(id.index as usize)?;
        task.runs.iter().find(|run| run.worker == worker.info.id)
    }
}
