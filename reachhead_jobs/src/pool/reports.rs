//! What workers report: their clock, what runs there and what ended.

use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, RunNumber},
};

use crate::{
    clock::{ClockSample, Tick},
    job::{Phase, Run},
    pool::{Action, DeathEvidence, Note, NoteKind, Orphan, Pool, rebirth::is_newer},
    ports::{EndedEntry, Rejection, RunEnd, RunningEntry, WorkerError, WorkerReport},
    record::Ending,
    task::TaskId,
    worker::{Poll, UnrecordedEnd},
};

/// First pause after a call to a worker that failed, doubled up to [`RETRY_MOST`].
const RETRY_FIRST: Millis = Millis(100);

/// Longest pause between calls to a worker that does not answer.
const RETRY_MOST: Millis = Millis(800);

/// Shortest time between two reports from which a worker's speed is told; its percents are whole.
const GAUGE_SPAN: Millis = Millis(150);

/// Pause before a long poll goes on while ends wait to be recorded; the worker would answer it at
/// once with the same ends.
const RECORD_PAUSE: Millis = Millis(150);

/// How long a task that runs on is at work until crashes before that say nothing of it any more: otherwise hosts that go
/// down now and then would add up against it over its life of weeks.
const FORGIVE_TIME: Millis = Millis(60_000);

/// How long an end of a job that is not known is kept: all stored jobs are read twice in that time.
const ORPHAN_TIME: Millis = Millis(5000);

impl Pool {
    /// Takes in the result of a long poll that was sent at `sent`.
    pub fn held(
        &mut self,
        id: &WorkerId,
        sent: Tick,
        result: Result<WorkerReport, WorkerError>,
        now: Tick,
    ) {
        match result {
            Ok(report) => self.report(id, sent, report, now),
            Err(WorkerError::Replaced) => self.worker_died(id, DeathEvidence::Replaced, now),
            Err(error) => {
                if error == WorkerError::Rejected(Rejection::Fenced) {
                    self.actions.push(Action::Fenced);
                }
                self.missed(id, &error, now);
            }
        }
    }

    fn missed(&mut self, id: &WorkerId, error: &WorkerError, now: Tick) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let pause = RETRY_FIRST.0 << worker.failed_calls.min(8);
        worker.failed_calls += 1;
        worker.poll = Poll::Due(now + Millis(pause.min(RETRY_MOST.0)));
        let first = !worker.silent;
        if first {
            worker.silent_since = now;
        }
        worker.silent = true;
        worker.port_closed = matches!(error, WorkerError::PortClosed(_));
        if matches!(error, WorkerError::Lost(_)) {
            worker.record_unanswered(now);
        }
        if first {
            let text = format!("worker={id} runs={} error=\"{error}\"", worker.runs.len());
            self.note(NoteKind::WorkerDoubted, text);
        }
    }

    fn report(&mut self, id: &WorkerId, sent: Tick, report: WorkerReport, now: Tick) {
        let Some(worker) = self.workers.get_mut(id) else {
            // Its life was over before the answer came; what it says of ends is true all the same.
            for entry in &report.ended {
                self.end(id, entry, now);
            }
            return;
        };
        if is_newer(worker.started_at, report.started_at) {
            // The answer of a life that is over came late. What it lists was never acknowledged, and counts as lost with it.
            worker.poll = Poll::Due(now);
            return;
        }
        if is_newer(report.started_at, worker.started_at) {
            self.begin_life(id, &report, now);
        } else {
            worker.started_at = report.started_at.or(worker.started_at);
            self.meet(id, &report, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.clock = Some(ClockSample { worker_time: report.clock, at: now });
        worker.silent = false;
        worker.port_closed = false;
        worker.answered = true;
        worker.last_contact = now;
        worker.failed_calls = 0;
        worker.crash_suspects.clear();
        let noted = worker.last_processed;
        self.pending.remove(id);
        for entry in &report.ended {
            if entry.number > noted {
                self.end(id, entry, now);
            }
        }
        for entry in &report.running {
            self.see(id, entry, now);
        }
        self.count_strays(id, &report);
        self.drop_vanished(id, sent, &report);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let last = report.ended.iter().map(|entry| entry.number).max().unwrap_or(0);
        worker.last_processed = worker.last_processed.max(last);
        worker.advance_acknowledged();
        let pause =
            if worker.acknowledged < worker.last_processed { RECORD_PAUSE } else { Millis(0) };
        worker.poll = Poll::Due(now + pause);
    }

    fn count_strays(&mut self, id: &WorkerId, report: &WorkerReport) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let known = |entry: &&RunningEntry| {
            worker.runs.get(&entry.task).is_some_and(|charge| charge.run == entry.run)
        };
        let orphan_runs = report.running.iter().filter(|entry| !known(entry)).count();
        worker.orphan_runs = orphan_runs as u32;
    }

    /// Learns from a run's progress how fast its worker is.
    fn gauge(&mut self, id: &WorkerId, entry: &RunningEntry, now: Tick) {
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
        if step.long_running || step.gang || span < GAUGE_SPAN.0 as f64 {
            return;
        }
        let usual = self.estimator.predict(&job.queue.name, step).0 as f64 / 100.0;
        let share = f64::from(entry.percent.saturating_sub(run.percent)) * usual / span;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.speed.observe(share, now);
        }
    }

    fn see(&mut self, id: &WorkerId, entry: &RunningEntry, now: Tick) {
        self.gauge(id, entry, now);
        let job = self.jobs.get_mut(&entry.task.job);
        let run = job.and_then(|job| job.task(entry.task)).and_then(|task| task.run(entry.run));
        let Some(run) = run.filter(|run| run.worker == *id) else {
            self.review = true;
            self.adopt(id, entry, now);
            return;
        };
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
        let age = now.since(run.ordered_at);
        let settled = run.at_work() && now.since(run.progressed_at) >= FORGIVE_TIME;
        if worked {
            self.clear_trial(id, entry, age);
        }
        if settled {
            self.forgive(entry.task);
        }
        if let Some(checkpoint) = &entry.checkpoint {
            self.keep_checkpoint(entry.task, checkpoint);
        }
    }

    fn keep_checkpoint(&mut self, id: TaskId, checkpoint: &str) {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task(id));
        if let Some(task) = task.filter(|task| task.checkpoint.as_deref() != Some(checkpoint)) {
            task.checkpoint = Some(checkpoint.to_owned());
        }
    }

    /// Drops runs that the worker had confirmed, or barred, before the report was asked for, and
    /// that the report does not have.
    fn drop_vanished(&mut self, id: &WorkerId, sent: Tick, report: &WorkerReport) {
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
                    number: 0,
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
                self.take_run(id, entry.task, entry.run);
            }
        }
    }

    /// Takes in the end of a run.
    fn end(&mut self, id: &WorkerId, entry: &EndedEntry, now: Tick) {
        if let Some(checkpoint) = &entry.checkpoint {
            self.keep_checkpoint(entry.task, checkpoint);
        }
        let run = self.take_run(id, entry.task, entry.run);
        if !self.jobs.contains_key(&entry.task.job) {
            self.keep_orphan(id, entry, now);
        }
        let Some(job) = self.jobs.get_mut(&entry.task.job) else {
            return;
        };
        let Some(step) = job.plan.steps.get(entry.task.step as usize).cloned() else {
            return;
        };
        if let Some(task) = job.task(entry.task) {
            task.last_run = task.last_run.max(entry.run);
            // Copies of a task that is done, or members of a gang that lost one, have to be stopped.
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
                    job.started = true;
                    self.mark_end(id, entry);
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
                    job.started = true;
                    self.mark_end(id, entry);
                }
                self.blame(id, entry, now);
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                let text = format!(
                    "task={} run={} worker={id} end={:?}",
                    entry.task, entry.run, entry.end
                );
                self.note(NoteKind::RunLost, text);
            }
        }
        self.settle(entry.task.job);
    }

    /// Keeps an end of a job that is not known, and lets its worker not forget it.
    fn keep_orphan(&mut self, id: &WorkerId, entry: &EndedEntry, now: Tick) {
        let counts = matches!(entry.end, RunEnd::Done | RunEnd::Failed);
        if !counts || self.closed.contains_key(&entry.task.job) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            let end = UnrecordedEnd { job: entry.task.job, written: false };
            worker.unrecorded.insert(entry.number, end);
        }
        self.orphans.push(Orphan { worker: id.clone(), entry: entry.clone(), since: now });
    }

    /// Takes in the ends of a job that came before the job.
    pub(super) fn claim_orphans(&mut self, id: JobId, now: Tick) {
        let (own, others) = self.orphans.drain(..).partition(|orphan| orphan.entry.task.job == id);
        self.orphans = others;
        let own: Vec<Orphan> = own;
        for orphan in own {
            self.end(&orphan.worker, &orphan.entry, now);
        }
    }

    /// Forgets ends of jobs of which nobody has told meanwhile.
    pub(super) fn expire_orphans(&mut self, now: Tick) {
        let old = |orphan: &Orphan| now.since(orphan.since) >= ORPHAN_TIME;
        let (over, left) = self.orphans.drain(..).partition(old);
        self.orphans = left;
        let over: Vec<Orphan> = over;
        for orphan in over {
            let job = orphan.entry.task.job;
            self.note(
                NoteKind::RunLost,
                format!("task={} worker={} end=unknown-job", orphan.entry.task, orphan.worker),
            );
            if let Some(worker) = self.workers.get_mut(&orphan.worker) {
                worker.mark_written(job);
                worker.mark_recorded(job);
            }
        }
    }

    /// Notes that an end has to be recorded before the worker may forget it.
    fn mark_end(&mut self, id: &WorkerId, entry: &EndedEntry) {
        if self.jobs.get(&entry.task.job).is_none_or(|job| job.recorded) {
            return;
        }
        self.mark(entry.task.job);
        if let Some(worker) = self.workers.get_mut(id) {
            let end = UnrecordedEnd { job: entry.task.job, written: false };
            worker.unrecorded.insert(entry.number, end);
        }
    }

    fn blame(&mut self, id: &WorkerId, entry: &EndedEntry, now: Tick) {
        self.note(
            NoteKind::RunLost,
            format!("task={} run={} worker={id} end=Failed", entry.task, entry.run),
        );
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.failure_history.record_failure(entry.task.job, now) {
            self.note(NoteKind::WorkerDoubted, format!("worker={id} suspended=true"));
        }
    }

    /// Decides whether a job is over by what its tasks did.
    pub(super) fn settle(&mut self, id: JobId) {
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
        self.mark(id);
    }

    /// Removes a run from its task and its worker, and returns it.
    pub(super) fn take_run(
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
