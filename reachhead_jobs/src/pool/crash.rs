//! Workers whose lives are over, and what that says of the tasks that were there.

use std::fmt::{self, Display, Formatter};

use reachhead_types::id::WorkerId;

use crate::{
    clock::Tick,
    job::Run,
    pool::{NoteKind, Pool},
    task::TaskId,
    worker::Worker,
};

/// Tasks that a line of the log names at most; one worker may have dozens.
const NAMED_TASKS: usize = 8;

/// On whose word a worker's life is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerEnd {
    /// Another life answers at its address.
    Replaced,
    /// Its host answers that nobody listens, and the platform has no host with it.
    Unhosted,
    /// It does not answer, is off the platform's list, and every lease there has lapsed.
    OffList,
}

impl Display for WorkerEnd {
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
    pub fn worker_over(&mut self, id: &WorkerId, end: WorkerEnd, now: Tick) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.pending.remove(id);
        self.review = true;
        self.over.insert(id.clone());
        self.note(
            NoteKind::WorkerDoubted,
            format!("worker={id} over=true why=\"{end}\" runs={}", worker.runs.len()),
        );
        if !worker.runs.is_empty() {
            self.note_crash(&worker, now);
        }
        for (task, charge) in &worker.runs {
            self.take_run(id, *task, charge.run);
        }
    }

    /// Names the runs that had not begun to work: starting one of them may be what the worker crashed by.
    fn note_crash(&mut self, worker: &Worker, now: Tick) {
        let fresh: Vec<TaskId> = worker
            .runs
            .keys()
            .copied()
            .filter(|task| self.run_on(worker, *task).is_some_and(|run| !run.has_worked()))
            .collect();
        let named: Vec<String> =
            fresh.iter().take(NAMED_TASKS).map(|task| self.describe(worker, *task)).collect();
        let text = format!(
            "worker={} runs={} heard={}ms fresh={} tasks={}",
            worker.info.id,
            worker.runs.len(),
            now.since(worker.heard),
            fresh.len(),
            named.join(",")
        );
        self.note(NoteKind::WorkerCrashed, text);
    }

    fn describe(&self, worker: &Worker, task: TaskId) -> String {
        let age = self.run_on(worker, task).map(|run| worker.heard.since(run.since));
        format!("{task}@{}ms", age.unwrap_or_default())
    }

    fn run_on(&self, worker: &Worker, id: TaskId) -> Option<&Run> {
        let step = self.jobs.get(&id.job)?.steps.get(&id.step_id())?;
        let task = step.tasks.get(id.index as usize)?;
        task.runs.iter().find(|run| run.worker == worker.info.id)
    }
}
