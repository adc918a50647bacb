//! Dead workers, and attribution of their crashes to the tasks that ran there.

use std::fmt::{self, Display, Formatter};

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::Tick,
    crashes::{CrashRole, Crashes},
    incarnation::Incarnation,
    job::Run,
    obstacle::Obstacle,
    outage::OUTAGE_WINDOW,
    pool::{NoteKind, Pool},
    ports::RunningEntry,
    task::TaskId,
    worker::{CrashSuspect, Worker},
};

/// Maximum number of tasks named in one log line; a worker may have dozens.
const MAX_NAMED_TASKS: usize = 8;

/// Longest trial of a task that may crash its worker late in its run. Nothing else is started on
/// the worker during the trial, and a task that takes hours must not block a worker for that long.
const MAX_LATE_TRIAL: Millis = Millis(20_000);

/// Longest time since a worker's last answer for which it counts as alive. It limits the time in which
/// the worker may have died of another cause before a task reached it.
const MAX_CONTACT_AGE: Millis = Millis(250);

/// Returns whether the worker had answered within [`MAX_CONTACT_AGE`] before `at`, or has since.
fn is_recent(worker: &Worker, at: Tick) -> bool {
    at.since(worker.last_contact) <= MAX_CONTACT_AGE
}

/// A crash that was counted against a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CountedCrash {
    at: Tick,
    suspect: CrashSuspect,
}

/// Evidence that a worker incarnation is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeathEvidence {
    /// Another incarnation answers at its address.
    Replaced,
    /// Its host refuses connections, and the platform has no host with this worker.
    Unhosted,
    /// It does not answer, is not on the platform's list, and all its leases have expired.
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
    /// Processes a report that the platform has no host with a worker's incarnation. The report may
    /// be late, and says nothing about an incarnation that started after it. Unless the last call has
    /// failed, the worker is removed only if the next one does.
    pub fn worker_unhosted(&mut self, ended: &Incarnation, now: Tick) {
        let id = &ended.worker;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let latest = worker.unhosted.as_ref().and_then(|known| known.started_at);
        worker.unhosted = Some(ended.clone().with_start(ended.started_at.max(latest)));
        let is_unhosted = worker.is_unhosted();
        let silent = worker.silent;
        let text = format!(
            "worker={id} unhosted={ended} applies={is_unhosted} silent={silent} answered={} born={:?} \
             listed={:?}",
            worker.answered, worker.started_at, worker.info.started_at
        );
        self.note(NoteKind::WorkerDoubted, text);
        if is_unhosted && silent && self.is_listing_known(id) {
            self.end_unhosted(id, now);
        }
    }

    /// Removes a worker that has no host, according to the platform. A run that no report has listed may be
    /// on an incarnation that has started since: unless the port was found closed after the last call that may
    /// have reached that incarnation, the run counts until its longest lease has expired.
    pub(super) fn end_unhosted(&mut self, id: &WorkerId, now: Tick) {
        let may_run_unnoticed = self.workers.get(id).is_some_and(|worker| {
            let is_on_its_way =
                |task: &TaskId| self.run_on(worker, *task).is_some_and(Run::is_start_in_flight);
            let tasks = self.unreported_tasks(worker);
            let is_over = worker.closed && !tasks.iter().any(is_on_its_way);
            worker.started_at.is_some() && !is_over && !tasks.is_empty()
        });
        if may_run_unnoticed {
            self.end_reported_runs(id, now);
        } else {
            self.worker_died(id, DeathEvidence::Unhosted, now);
        }
    }

    /// Processes an answer that another worker is at the address of a call, which was sent at `sent` or
    /// later. If the worker may have restarted at another address since, only the next call tells
    /// whether it is there.
    pub(super) fn worker_replaced(&mut self, id: &WorkerId, sent: Tick, now: Tick) {
        if self.workers.get(id).is_some_and(|worker| !worker.has_moved_since(sent)) {
            self.worker_died(id, DeathEvidence::Replaced, now);
        }
    }

    /// Returns whether a later incarnation of the worker would be known if it was used: its start is
    /// known, or the platform's list of workers, which does not have it, is.
    pub(super) fn is_listing_known(&self, id: &WorkerId) -> bool {
        let is_known = self.workers.get(id).is_some_and(|worker| worker.newest_start().is_some());
        is_known || self.workers_listed
    }

    /// Removes the runs of a worker's known incarnation, which has ended. One of the others may have caused
    /// its end, so the crash is judged by all of them. It counts against those once they are over, unless
    /// a later incarnation reports them.
    fn end_reported_runs(&mut self, id: &WorkerId, now: Tick) {
        let Some(worker) = self.workers.get(id).cloned() else {
            return;
        };
        let unreported = self.unreported_tasks(&worker);
        let mut suspects = Vec::new();
        if !worker.is_judged() {
            suspects = self.judge_crash(&worker, now);
        }
        let (later, now_over): (Vec<_>, Vec<_>) =
            suspects.into_iter().partition(|suspect| unreported.contains(&suspect.task));
        if let Some(known) = self.workers.get_mut(id) {
            known.ended = true;
            if !worker.is_judged() {
                known.judged = Some(Incarnation::new(id.clone()).with_start(known.newest_start()));
                known.crash_suspects = later;
            }
        }
        for (task, charge) in &worker.runs {
            if !unreported.contains(task) {
                self.remove_run(id, *task, charge.run);
            }
        }
        for suspect in now_over {
            self.count_crash(suspect, now);
        }
        self.review = true;
    }

    /// Logs the crash of a worker, records its death, and returns the tasks that may have caused it. If its
    /// end has been judged before, these are the suspects that were left then.
    pub(super) fn judge_crash(&mut self, worker: &Worker, now: Tick) -> Vec<CrashSuspect> {
        if worker.is_judged() {
            return worker.crash_suspects.clone();
        }
        self.log_crash(worker, now);
        self.suspects_of_death(worker, now)
    }

    /// Returns the worker's tasks that no report has listed.
    pub(super) fn unreported_tasks(&self, worker: &Worker) -> Vec<TaskId> {
        let is_unreported =
            |task: &TaskId| self.run_on(worker, *task).is_some_and(|run| !run.reported);
        worker.runs.keys().copied().filter(is_unreported).collect()
    }

    /// Removes a dead worker incarnation and all its runs.
    pub fn worker_died(&mut self, id: &WorkerId, evidence: DeathEvidence, now: Tick) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.pending.remove(id);
        self.advice.drop_worker(id);
        self.review = true;
        let dead = worker.latest_ended();
        self.dead_incarnations.insert(id.clone(), dead);
        self.keep_late_calls(&worker, now);
        self.note(
            NoteKind::WorkerDoubted,
            format!(
                "worker={id} over=true why=\"{evidence}\" runs={} born={:?} listed={:?}",
                worker.runs.len(),
                worker.started_at,
                worker.info.started_at
            ),
        );
        let suspects = match evidence {
            // A worker that is merely unreachable did not crash because of its tasks.
            DeathEvidence::OffList => {
                self.log_crash(&worker, now);
                Vec::new()
            }
            DeathEvidence::Replaced | DeathEvidence::Unhosted => self.judge_crash(&worker, now),
        };
        for (task, charge) in &worker.runs {
            self.remove_run(id, *task, charge.run);
        }
        // A crashed worker reports no ends, so its tasks would restart without any record of the
        // crash.
        for suspect in suspects {
            self.count_crash(suspect, now);
        }
    }

    /// Returns the tasks that may have caused the death of a worker, and recognizes outages. A worker
    /// that ends by planned work was not crashed by its tasks.
    fn suspects_of_death(&mut self, worker: &Worker, now: Tick) -> Vec<CrashSuspect> {
        // A planned end may be noticed long after the cordon, but the worker has not answered since.
        if worker.info.draining || worker.cordoned_until > worker.last_contact {
            return Vec::new();
        }
        let mut suspects = self.crash_suspects(worker);
        let is_explained =
            |suspect: &CrashSuspect| matches!(suspect.role, CrashRole::Own | CrashRole::Fresh);
        // A worker that never answered this owner may have left long before: its host has moved to
        // another pool, and it is still listed or in the roster.
        let is_unexplained = worker.answered && !suspects.iter().any(is_explained);
        if is_unexplained && self.outage.record_death(&worker.info.id, now) {
            self.note(NoteKind::WorkerOutage, format!("workers={}", self.workers.len()));
            self.retract_crashes(now);
        }
        if self.outage.is_active(now) {
            suspects.retain(|suspect| suspect.role != CrashRole::Bystander);
            suspects.iter_mut().for_each(|suspect| suspect.role = CrashRole::Unproven);
        }
        suspects.extend(worker.crash_suspects.iter().copied());
        suspects
    }

    /// Returns the tasks that may have caused a crash if the worker crashed now. Those that it may
    /// never have had are no proven cause, and don't exclude that another one is.
    fn crash_suspects(&self, worker: &Worker) -> Vec<CrashSuspect> {
        let fresh = self.starting_tasks(worker);
        let (known, possible): (Vec<TaskId>, Vec<TaskId>) =
            fresh.into_iter().partition(|task| self.has_reached(worker, *task));
        let role = match (known.as_slice(), possible.as_slice()) {
            ([_], []) => CrashRole::Own,
            _ => CrashRole::Fresh,
        };
        let known = known.into_iter().map(|task| CrashSuspect { task, role });
        let role = CrashRole::Unproven;
        let possible = possible.into_iter().map(|task| CrashSuspect { task, role });
        let fresh: Vec<CrashSuspect> = known.chain(possible).collect();
        if !fresh.is_empty() {
            return fresh;
        }
        // A long-running task that is up is best served by a restart, however often hosts fail.
        let is_counted =
            |task: &&TaskId| !self.is_long_running(**task) && !self.is_barred(worker, **task);
        let role = CrashRole::Bystander;
        worker
            .runs
            .keys()
            .filter(is_counted)
            .map(|task| CrashSuspect { task: *task, role })
            .collect()
    }

    /// Returns whether a run counts as having reached the worker before that died: the worker has
    /// confirmed it, or was alive just before the order. A worker in a long poll may be dead for more
    /// than a second before a call shows it.
    fn has_reached(&self, worker: &Worker, task: TaskId) -> bool {
        self.run_on(worker, task)
            .is_some_and(|run| run.confirmed || is_recent(worker, run.ordered_at))
    }

    /// Returns why a task with these crashes is not started on this worker now. On a worker that has
    /// answered just before, the next crash is evidence even if the start is never confirmed. The
    /// members of a gang start together, and seldom have all their workers answered just before.
    pub(super) fn trial_obstacle(
        &self,
        worker: &Worker,
        crashes: Crashes,
        gang: bool,
        now: Tick,
    ) -> Option<Obstacle> {
        if crashes.needs_trial() && !self.starting_tasks(worker).is_empty() {
            Some(Obstacle::Starting)
        } else if crashes.is_suspect() && !gang && !is_recent(worker, now) {
            Some(Obstacle::NotRecent)
        } else {
            None
        }
    }

    /// Takes back the crashes that were counted just before an outage was recognized: their workers were
    /// the first ones of it to be found dead.
    fn retract_crashes(&mut self, now: Tick) {
        for CountedCrash { at, suspect } in std::mem::take(&mut self.counted_crashes) {
            let job = self.jobs.get_mut(&suspect.task.job).filter(|job| job.ending.is_none());
            let task = job.and_then(|job| job.task(suspect.task)).filter(|task| !task.done);
            if let Some(task) = task
                && now.since(at) < OUTAGE_WINDOW
            {
                task.crashes.retract(suspect.role);
                self.mark_dirty(suspect.task.job);
            }
        }
    }

    /// Counts a crash against a task, and gives the task up if the crashes prove it to be the
    /// cause.
    pub(super) fn count_crash(&mut self, suspect: CrashSuspect, now: Tick) {
        self.counted_crashes.retain(|crash| now.since(crash.at) < OUTAGE_WINDOW);
        self.counted_crashes.push(CountedCrash { at: now, suspect });
        let CrashSuspect { task: id, role } = suspect;
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| job.ending.is_none()) else {
            return;
        };
        let Some(task) = job.task(id).filter(|task| !task.done) else {
            return;
        };
        task.crashes.record(role);
        let Crashes { total, own, unproven, .. } = task.crashes;
        if task.crashes.is_conclusive() {
            self.note(
                NoteKind::TaskGivenUp,
                format!("task={id} crashes={total} own={own} unproven={unproven}"),
            );
            self.decide_ending(id.job);
        } else if task.crashes.is_suspect() {
            self.mark_dirty(id.job);
        }
    }

    /// Ends the trial of a task that has begun to work, and forgets its unproven crashes. A task that
    /// may crash its worker late stays on trial until it reports 100 percent (a long-running task is
    /// then up) or [`MAX_LATE_TRIAL`] has passed.
    pub(super) fn clear_trial(&mut self, id: &WorkerId, entry: &RunningEntry, age: Millis) {
        let task = self.jobs.get_mut(&entry.task.job).and_then(|job| job.task(entry.task));
        let is_late = task.is_some_and(|task| {
            task.crashes.unproven = 0;
            task.crashes.is_late()
        });
        let is_over = !is_late || entry.percent >= 100 || age >= MAX_LATE_TRIAL;
        if is_over && let Some(worker) = self.workers.get_mut(id) {
            worker.end_trial(entry.task);
        }
    }

    /// Resets the crash count of a task that has been up for long.
    pub(super) fn clear_crashes(&mut self, id: TaskId) {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task(id));
        if let Some(task) = task.filter(|task| !task.crashes.is_empty()) {
            task.crashes = Crashes::default();
            self.mark_dirty(id.job);
        }
    }

    /// Logs a crash with the runs that were still starting, since starting one of them may have
    /// caused it.
    fn log_crash(&mut self, worker: &Worker, now: Tick) {
        if worker.runs.is_empty() {
            return;
        }
        let fresh = self.starting_tasks(worker);
        let named: Vec<String> = fresh
            .iter()
            .take(MAX_NAMED_TASKS)
            .map(|task| self.describe_run(worker, *task))
            .collect();
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

    /// Returns the worker's tasks that no report has shown as making progress.
    pub(super) fn starting_tasks(&self, worker: &Worker) -> Vec<TaskId> {
        let is_fresh = |task: &TaskId| {
            self.run_on(worker, *task).is_some_and(|run| !run.has_worked() && !run.barred)
        };
        worker.runs.keys().copied().filter(is_fresh).collect()
    }

    /// Returns a task with the time from its order to the worker's last answer, which is negative if
    /// the worker has not answered since.
    fn describe_run(&self, worker: &Worker, task: TaskId) -> String {
        let Some(run) = self.run_on(worker, task) else {
            return format!("{task}@none");
        };
        let age = worker.last_contact.0 as i64 - run.ordered_at.0 as i64;
        let state = if run.confirmed { "confirmed" } else { "unconfirmed" };
        format!("{task}@{age}ms:{state}")
    }

    /// Returns whether the worker's incarnation never had the run, which is only barred there.
    fn is_barred(&self, worker: &Worker, task: TaskId) -> bool {
        self.run_on(worker, task).is_some_and(|run| run.barred)
    }

    pub(super) fn run_on(&self, worker: &Worker, id: TaskId) -> Option<&Run> {
        let step = self.jobs.get(&id.job)?.steps.get(&id.step_id())?;
        let task = step.tasks.get(id.index as usize)?;
        task.runs.iter().find(|run| run.worker == worker.info.id)
    }
}
