//! Processing of workers' reports: clock and running tasks.

mod ends;

use reachhead_types::{
    id::WorkerId,
    size::{Millis, RunNumber},
};

use crate::{
    clock::{ClockSample, Tick},
    incarnation::is_newer,
    job::Phase,
    pool::{Action, NoteKind, Pool},
    ports::{EndedEntry, Rejection, RunEnd, RunningEntry, UNLISTED_END, WorkerError, WorkerReport},
    task::TaskId,
    worker::Poll,
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
            // The result of a later poll decides whether the worker is silent.
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
            // A report that was requested later has been applied, so this one is outdated.
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
            self.begin_incarnation(id, sent, &report, now);
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
        worker.recorded = None;
        worker.answered = true;
        worker.last_contact = now;
        worker.failed_calls = 0;
        // A late report of an incarnation that has ended clears no suspect of its crash.
        if !worker.is_judged() {
            worker.crash_suspects.clear();
        }
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
}
