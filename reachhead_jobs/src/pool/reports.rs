//! Processing of workers' reports: clock, running tasks and ended runs.

use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, RunNumber},
};

use crate::{
    clock::{ClockSample, Tick},
    incarnation::is_newer,
    job::{Phase, Run},
    pool::{Action, Note, NoteKind, Pool},
    ports::{EndedEntry, Rejection, RunEnd, RunningEntry, UNLISTED_END, WorkerError, WorkerReport},
    record::Ending,
    task::TaskId,
    worker::{Poll, UnrecordedEnd},
};

/// First pause after a failed poll, doubled up to [`MAX_POLL_BACKOFF`].
const MIN_POLL_BACKOFF: Millis = Millis(100);

/// Longest pause between polls of a worker that does not answer.
const MAX_POLL_BACKOFF: Millis = Millis(800);

/// Number of polls in a lease of a worker with ends that can't be recorded yet, since the stored jobs are
/// being read. Thousands of workers that answer at once would take the processor from that.
const RECOVERY_POLLS_PER_LEASE: u64 = 4;

/// Shortest time between two reports from which a worker's speed is derived, since progress is
/// reported in whole percent.
const MIN_SPEED_SPAN: Millis = Millis(150);

/// Pause before the next long poll while ends wait to be recorded; the worker would answer it at
/// once with the same ends.
const RECORD_PAUSE: Millis = Millis(150);

/// Uptime of a long-running task after which its earlier crashes are cleared. Otherwise occasional
/// host failures would add up against it over weeks.
const CRASH_RESET_TIME: Millis = Millis(60_000);

impl Pool {
    /// Applies the result of a long poll that was sent at `sent`.
    pub fn held(
        &mut self,
        id: &WorkerId,
        sent: Tick,
        result: Result<WorkerReport, WorkerError>,
        now: Tick,
    ) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_poll_end(sent);
        }
        match result {
            Ok(report) => self.apply_report(id, sent, report, now),
            Err(WorkerError::Replaced) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.end_poll(sent, now);
                }
                self.worker_replaced(id, sent, now);
            }
            Err(error) => {
                if error == WorkerError::Rejected(Rejection::Fenced) {
                    self.actions.push(Action::Fenced);
                }
                self.poll_failed(id, &error, sent, now);
            }
        }
    }

    fn poll_failed(&mut self, id: &WorkerId, error: &WorkerError, sent: Tick, now: Tick) {
        let is_lost = matches!(error, WorkerError::Lost(_));
        let Some(worker) = self.workers.get_mut(id) else {
            if is_lost {
                self.record_late_call(id, None, now);
            }
            return;
        };
        let is_superseded = worker.is_superseded(sent);
        if (worker.renewing || is_superseded)
            && (is_lost || matches!(error, WorkerError::Broken(_)))
        {
            worker.record_unidentified(now, is_lost);
            worker.record_earlier_call(sent, now, self.timeouts.grant);
        }
        if is_superseded {
            // A later poll has told, or will tell, what became of the worker.
            if is_lost {
                worker.record_unanswered(sent, now, self.timeouts.grant);
            }
            worker.end_poll(sent, now);
            return;
        }
        let pause = MIN_POLL_BACKOFF.0 << worker.failed_calls.min(8);
        worker.failed_calls += 1;
        worker.poll = Poll::Due(now + Millis(pause.min(MAX_POLL_BACKOFF.0)));
        let first = !worker.silent;
        if first {
            worker.silent_since = now;
        }
        worker.silent = true;
        worker.port_closed = matches!(error, WorkerError::PortClosed(_));
        if worker.port_closed {
            worker.record_closed_port(sent);
        }
        if matches!(error, WorkerError::Lost(_)) {
            worker.record_unanswered(sent, now, self.timeouts.grant);
        }
        // A worker that has answered may have restarted, and a call to it may be lost.
        let is_gone = worker.port_closed || matches!(error, WorkerError::Unreachable(_));
        let unhosted = worker.is_unhosted() && (is_gone || !worker.answered);
        if first {
            let text = format!("worker={id} runs={} error=\"{error}\"", worker.runs.len());
            self.note(NoteKind::WorkerDoubted, text);
        }
        if unhosted && self.is_listing_known(id) {
            self.end_unhosted(id, now);
        }
    }

    fn apply_report(&mut self, id: &WorkerId, sent: Tick, report: WorkerReport, now: Tick) {
        let Some(worker) = self.workers.get_mut(id) else {
            // The incarnation was removed before the answer came, but the ends that it reports are
            // valid.
            for entry in &report.ended {
                self.apply_end(id, entry, now);
            }
            return;
        };
        if sent < worker.report_sent {
            // A poll that was sent later has been answered, and shows what came after this report.
            worker.record_earlier_call(sent, now, self.timeouts.grant);
            worker.end_poll(sent, now);
            return;
        }
        if is_newer(worker.started_at, report.started_at) {
            // This is the late answer of a dead incarnation. The ends that it lists were never
            // acknowledged, and count as lost with it.
            worker.end_poll(sent, now);
            return;
        }
        if is_newer(report.started_at, worker.started_at) {
            self.begin_incarnation(id, &report, now);
        } else {
            worker.started_at = report.started_at.or(worker.started_at);
            self.apply_first_report(id, &report, now);
        }
        self.excuse_silence(id, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.report_sent = sent;
        worker.clock = Some(ClockSample { worker_time: report.clock, at: now });
        worker.silent = false;
        worker.port_closed = false;
        worker.unhosted = None;
        worker.ended = false;
        worker.answered = true;
        worker.last_contact = now;
        worker.failed_calls = 0;
        worker.crash_suspects.clear();
        let processed = worker.last_processed;
        let is_complete = report.is_complete();
        worker.partial = !is_complete;
        if is_complete {
            self.pending.remove(id);
        } else if let Some(pending) = self.pending.get_mut(id) {
            // An end that the report does not list may be one of a recovered task.
            pending.answer_until = now + self.timeouts.hold;
        }
        for entry in &report.ended {
            if entry.number > processed {
                self.apply_end(id, entry, now);
            }
        }
        for entry in &report.running {
            self.apply_running(id, entry, now);
        }
        self.drop_ended_orphans(id, &report);
        if is_complete {
            self.drop_missing_runs(id, sent, &report);
        }
        let record_pause = match self.is_recovering() {
            true => Millis(self.timeouts.hold.0 / RECOVERY_POLLS_PER_LEASE),
            false => RECORD_PAUSE,
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let last = report.ended.iter().map(|entry| entry.number).max().unwrap_or(0);
        worker.last_processed = worker.last_processed.max(last);
        worker.advance_acknowledged();
        let pause =
            if worker.acknowledged < worker.last_processed { record_pause } else { Millis(0) };
        worker.end_poll(sent, now + pause);
    }

    /// Updates the worker's speed estimate from a run's progress.
    fn observe_speed(&mut self, id: &WorkerId, entry: &RunningEntry, now: Tick) {
        let Some(job) = self.jobs.get(&entry.task.job) else {
            return;
        };
        let Some(step) = job.plan.steps.get(entry.task.step as usize) else {
            return;
        };
        let Some(state) = job.steps.get(&entry.task.step_id()) else {
            return;
        };
        let task = state.tasks.get(entry.task.index as usize);
        let run = task.and_then(|task| task.runs.iter().find(|run| run.number == entry.run));
        let Some(run) = run.filter(|run| run.phase == Phase::Working) else {
            return;
        };
        let span = now.since(run.last_reported).0 as f64;
        if step.long_running || step.gang || span < MIN_SPEED_SPAN.0 as f64 {
            return;
        }
        let usual = self.estimator.predict(&job.queue.name, step).0 as f64 / 100.0;
        let share = f64::from(entry.percent.saturating_sub(run.percent)) * usual / span;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.speed.observe(share, now);
        }
    }

    fn apply_running(&mut self, id: &WorkerId, entry: &RunningEntry, now: Tick) {
        self.observe_speed(id, entry, now);
        let job = self.jobs.get_mut(&entry.task.job);
        let run = job.and_then(|job| job.task(entry.task)).and_then(|task| task.run(entry.run));
        let Some(run) = run.filter(|run| run.worker == *id) else {
            self.review = true;
            self.adopt(id, entry, now);
            return;
        };
        run.confirmed = true;
        run.reported = true;
        // An order to stop a run may be the answer to a lost order to start it.
        let is_first_sign = run.phase != Phase::Working;
        if run.phase == Phase::Ordered {
            run.phase = Phase::Working;
            run.settled_at = Some(now);
            run.progressed_at = now;
        }
        if entry.percent != run.percent {
            run.percent = entry.percent;
            run.progressed_at = now;
        }
        run.last_reported = now;
        run.metric = entry.metric;
        let worked = run.has_worked();
        let up = run.at_work();
        let age = now.since(run.ordered_at);
        let settled = up && now.since(run.progressed_at) >= CRASH_RESET_TIME;
        if is_first_sign {
            self.mark_started(entry.task.job);
        }
        if worked {
            self.clear_trial(id, entry, age);
        }
        if settled {
            self.clear_crashes(entry.task);
        }
        if up
            && self.is_long_running(entry.task)
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.failure_history.record_up(entry.task);
        }
        if let Some(checkpoint) = &entry.checkpoint {
            self.keep_checkpoint(entry.task, checkpoint);
        }
    }

    /// Excludes the time in which a worker did not answer from the time without progress of its runs:
    /// its process may have been frozen, and is not at fault any more.
    fn excuse_silence(&mut self, id: &WorkerId, now: Tick) {
        let Some(worker) = self.workers.get(id).filter(|worker| worker.silent) else {
            return;
        };
        let silence = now.since(worker.last_contact);
        for (id, charge) in &worker.runs {
            let task = self.jobs.get_mut(&id.job).and_then(|job| job.task(*id));
            if let Some(run) = task.and_then(|task| task.run(charge.run)) {
                run.progressed_at = run.progressed_at + silence;
            }
        }
    }

    fn keep_checkpoint(&mut self, id: TaskId, checkpoint: &str) {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task(id));
        if let Some(task) = task.filter(|task| task.checkpoint.as_deref() != Some(checkpoint)) {
            task.checkpoint = Some(checkpoint.to_owned());
        }
    }

    /// Drops runs that the worker had confirmed or barred before the report was requested, and that
    /// the report does not list.
    fn drop_missing_runs(&mut self, id: &WorkerId, sent: Tick, report: &WorkerReport) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let absent = |task: &TaskId, run: RunNumber| {
            !report.running.iter().any(|entry| entry.task == *task && entry.run == run)
        };
        let mut gone = Vec::new();
        for (task, charge) in &worker.runs {
            if absent(task, charge.run) {
                gone.push(EndedEntry {
                    number: UNLISTED_END,
                    task: *task,
                    run: charge.run,
                    end: RunEnd::Lapsed,
                    checkpoint: None,
                });
            }
        }
        for entry in gone {
            let job = self.jobs.get_mut(&entry.task.job);
            let run = job.and_then(|job| job.task(entry.task)).and_then(|task| task.run(entry.run));
            let settled =
                run.is_none_or(|run| run.settled_at.is_some_and(|settled| settled < sent));
            if settled {
                self.note(
                    NoteKind::RunLost,
                    format!("task={} run={} worker={id} end=vanished", entry.task, entry.run),
                );
                self.remove_run(id, entry.task, entry.run);
            }
        }
    }

    /// Applies the end of a run.
    pub(super) fn apply_end(&mut self, id: &WorkerId, entry: &EndedEntry, now: Tick) {
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
    pub(super) fn suspend_worker(&mut self, id: &WorkerId, why: &str, task: TaskId, now: Tick) {
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
    pub(super) fn decide_ending(&mut self, id: JobId) {
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
    pub(super) fn remove_run(
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
