//! Ends of runs: what they change in their jobs, and which of them have to be recorded before their workers may drop them.

use reachhead_types::{
    id::{JobId, WorkerId},
    size::RunNumber,
};

use crate::{
    clock::Tick,
    job::Run,
    pool::{Note, NoteKind, Pool},
    ports::{EndedEntry, RunEnd, UNLISTED_END},
    record::Ending,
    task::TaskId,
    worker::UnrecordedEnd,
};

impl Pool {
    /// Applies the end of a run.
    pub(in crate::pool) fn apply_end(&mut self, id: &WorkerId, entry: &EndedEntry, now: Tick) {
        if let Some(checkpoint) = &entry.checkpoint {
            self.keep_checkpoint(entry.task, checkpoint);
        }
        let run = self.remove_run(id, entry.task, entry.run);
        if !self.jobs.contains_key(&entry.task.job) {
            self.keep_unclaimed_end(id, entry, now);
        }
        let Some(job) = self.jobs.get_mut(&entry.task.job) else {
            return;
        };
        let Some(step) = job.plan.steps.get(entry.task.step as usize).cloned() else {
            return;
        };
        job.started = true;
        if let Some(task) = job.task(entry.task) {
            task.last_run = task.last_run.max(entry.run);
            // Remaining copies of a finished task, or of a gang that lost a member, have to be
            // stopped.
            self.review |= step.gang || entry.end != RunEnd::Done || !task.runs.is_empty();
        }
        if step.long_running {
            self.notes.push(Note {
                kind: NoteKind::RunLost,
                text: format!(
                    "task={} run={} worker={id} end={:?}",
                    entry.task, entry.run, entry.end
                ),
            });
            if entry.end == RunEnd::Failed
                && let Some(task) = job.task(entry.task)
            {
                task.avoid.push(id.clone());
            }
            return;
        }
        match entry.end {
            RunEnd::Done => {
                let queue = job.queue.name.clone();
                if job.mark_done(entry.task) {
                    self.retain_end(id, entry);
                } else {
                    self.retain_known_end(id, entry);
                }
                if let Some(run) = run.filter(|run| !run.adopted && run.ticket.is_none()) {
                    self.estimator.observe_task(&queue, step.estimate, now.since(run.ordered_at));
                }
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.failure_history.record_success();
                }
            }
            RunEnd::Failed => {
                let counted = if step.gang { entry.task.step_id().task(0) } else { entry.task };
                if let Some(task) = job.task(entry.task) {
                    task.avoid.push(id.clone());
                }
                if job.record_failure(counted, entry.run) {
                    self.retain_end(id, entry);
                } else {
                    self.retain_known_end(id, entry);
                }
                self.count_failure(id, entry, now);
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                let text = format!(
                    "task={} run={} worker={id} end={:?}",
                    entry.task, entry.run, entry.end
                );
                self.note(NoteKind::RunLost, text);
            }
        }
        self.decide_ending(entry.task.job);
    }

    /// Marks an end as to be recorded before the worker may drop it.
    fn retain_end(&mut self, id: &WorkerId, entry: &EndedEntry) {
        if self.jobs.get(&entry.task.job).is_none_or(|job| job.recorded) {
            return;
        }
        self.mark_dirty(entry.task.job);
        if entry.number != UNLISTED_END
            && let Some(worker) = self.workers.get_mut(id)
        {
            let end = UnrecordedEnd { job: entry.task.job, written: false };
            worker.unrecorded.insert(entry.number, end);
        }
    }

    /// Keeps an end that changes nothing in its job until the job's state, which has it already, is
    /// stored: the end of another copy or member of a gang, or one that a worker reports again after
    /// it was removed. A successor may not learn of the first one from its worker.
    fn retain_known_end(&mut self, id: &WorkerId, entry: &EndedEntry) {
        let job = entry.task.job;
        let unsaved = self.jobs.get(&job).filter(|job| !job.recorded).map(|job| job.unsaved);
        let Some(worker) = self.workers.get_mut(id).filter(|_| entry.number != UNLISTED_END) else {
            return;
        };
        match unsaved {
            // Without changes since then, the newest transaction contains the end.
            Some(unsaved) if self.dirty.contains(&job) => {
                worker.unrecorded.insert(entry.number, UnrecordedEnd { job, written: !unsaved });
            }
            _ => {
                worker.unrecorded.remove(&entry.number);
            }
        }
    }

    fn count_failure(&mut self, id: &WorkerId, entry: &EndedEntry, now: Tick) {
        self.note(
            NoteKind::RunLost,
            format!("task={} run={} worker={id} end=Failed", entry.task, entry.run),
        );
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let was_suspended = worker.failure_history.suspended_until > now;
        if worker.failure_history.record_failure(entry.task.job, now) && !was_suspended {
            self.log_suspension(id, "failed-runs", entry.task);
        }
    }

    /// Suspends a worker because of a task there, and logs that unless it was suspended already.
    pub(in crate::pool) fn suspend_worker(
        &mut self,
        id: &WorkerId,
        why: &str,
        task: TaskId,
        now: Tick,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let was_suspended = worker.failure_history.suspended_until > now;
        worker.failure_history.suspend(now);
        if !was_suspended {
            self.log_suspension(id, why, task);
        }
    }

    fn log_suspension(&mut self, id: &WorkerId, why: &str, task: TaskId) {
        let text = format!("worker={id} suspended=true why={why} task={task}");
        self.note(NoteKind::WorkerDoubted, text);
    }

    /// Ends a job that is complete or has failed, by the state of its tasks.
    pub(in crate::pool) fn decide_ending(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.ending.is_none()) else {
            return;
        };
        if job.is_complete() {
            job.ending = Some(Ending::Completed);
        } else if job.has_failed() {
            job.ending = Some(Ending::Failed);
        } else {
            return;
        }
        self.mark_dirty(id);
    }

    /// Removes a run from its task and its worker, and returns it.
    pub(in crate::pool) fn remove_run(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        number: RunNumber,
    ) -> Option<Run> {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.runs.get(&task).is_some_and(|charge| charge.run == number)
        {
            worker.release(task);
        }
        let runs = &mut self.jobs.get_mut(&task.job)?.task(task)?.runs;
        let place = runs.iter().position(|run| run.number == number && run.worker == *id)?;
        Some(runs.remove(place))
    }
}
