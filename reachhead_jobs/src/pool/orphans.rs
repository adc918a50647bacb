//! Runs of a predecessor whose job this owner does not know.
//!
//! A job may be stored after a takeover has read its shard, and be started by a predecessor that has
//! not noticed the takeover. Such a run is kept until the store tells whether its job is stored. A
//! run that was ordered to stop is remembered until its worker reports the end, so that its task
//! does not start elsewhere before that. While the stored jobs are still being read, all runs are
//! kept. See [Platform](../../../docs/PLATFORM.md).

use std::{cmp::Reverse, collections::BTreeMap};

use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, RunNumber},
};

use crate::{
    clock::Tick,
    job::Phase,
    order_effect::OrderEffect,
    orphan::{Orphan, StopOrder},
    pool::{
        Action, NoteKind, Pool,
        orders::{ORDER_RETRY_PAUSE, STOP_RECHECK_PAUSE},
    },
    ports::{RunningEntry, WorkerReport},
    record::JobRecord,
    task::TaskId,
    worker::Worker,
};

/// How long a run whose job can't be looked up is kept: a cancelled job has to be stopped soon.
const LOOKUP_TIMEOUT: Millis = Millis(1000);

/// Pause before a failed lookup is repeated.
const LOOKUP_RETRY_PAUSE: Millis = Millis(150);

/// Maximum number of jobs in one lookup: that many keys are read in one call.
const MAX_LOOKUP_JOBS: usize = 50;

/// State of a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LookupState {
    /// The lookup is due at this time.
    Due(Tick),
    /// The store is being read.
    InFlight,
    /// The job is not stored, or could not be looked up in time.
    Absent,
}

/// The lookup of a job of which a worker reports a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lookup {
    since: Tick,
    state: LookupState,
}

/// What an owner can't know about the orders of its predecessors, and the lookups of unknown jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PredecessorOrders {
    /// From when on this owner has called workers.
    since: Tick,
    /// Until when orders of predecessors can have effect.
    effect: OrderEffect,
    /// Until when runs of unknown jobs are kept at least.
    kept_until: Tick,
    lookups: BTreeMap<JobId, Lookup>,
}

impl PredecessorOrders {
    /// Returns the state of an owner that called workers from `since` on.
    pub(super) fn new(effect: OrderEffect, since: Tick) -> Self {
        Self { since, effect, kept_until: Tick(0), lookups: BTreeMap::new() }
    }

    /// Records that all shards were fenced by `at`.
    pub(super) fn fence(&mut self, at: Tick) {
        self.effect.fence(at);
    }

    /// Replaces what is known of the orders of predecessors.
    pub(super) fn know_effect(&mut self, effect: OrderEffect) {
        self.effect = effect;
    }

    /// Returns whether a predecessor may start tasks of a job that is stored now.
    pub(super) fn may_be_given(&self, now: Tick) -> bool {
        self.effect.given_until().is_none_or(|until| now < until)
    }

    /// Returns whether a run by a predecessor may be active of a job that a read of the store has found.
    pub(super) fn may_be_started(&self, now: Tick) -> bool {
        self.effect.started_until().is_none_or(|until| now < until)
    }

    /// Returns from when on this owner has called workers.
    pub(super) fn since(&self) -> Tick {
        self.since
    }

    /// Returns until when orders of predecessors can have effect.
    pub(super) fn effect(&self) -> &OrderEffect {
        &self.effect
    }

    /// Returns whether runs of unknown jobs are kept.
    fn is_keeping_runs(&self, now: Tick) -> bool {
        now < self.kept_until || self.effect.until().is_none_or(|until| now < until)
    }

    /// Keeps runs of unknown jobs at least until `until`, for the time of a lookup.
    fn keep_runs_until(&mut self, until: Tick) {
        self.kept_until = until;
    }

    /// Returns whether a run of the job is to be kept while the job is looked up.
    fn keeps_runs(&self, job: JobId, now: Tick) -> bool {
        self.is_keeping_runs(now)
            && self.lookups.get(&job).is_none_or(|lookup| lookup.state != LookupState::Absent)
    }

    fn request(&mut self, job: JobId, now: Tick) {
        self.lookups.entry(job).or_insert(Lookup { since: now, state: LookupState::Due(now) });
    }

    /// Returns the jobs to look up now.
    fn take_due(&mut self, now: Tick) -> Vec<JobId> {
        let is_due = |lookup: &Lookup| matches!(lookup.state, LookupState::Due(at) if at <= now);
        let due = self.lookups.iter_mut().filter(|(_, lookup)| is_due(lookup));
        let taken = due.take(MAX_LOOKUP_JOBS).map(|(job, lookup)| {
            lookup.state = LookupState::InFlight;
            *job
        });
        taken.collect()
    }

    /// Records that a job is not known after a lookup, and returns whether it counts as over.
    fn record(&mut self, job: JobId, answered: bool, now: Tick) -> bool {
        let Some(lookup) = self.lookups.get_mut(&job) else {
            return false;
        };
        let is_over = answered || now.since(lookup.since) >= LOOKUP_TIMEOUT;
        lookup.state =
            if is_over { LookupState::Absent } else { LookupState::Due(now + LOOKUP_RETRY_PAUSE) };
        is_over
    }

    /// Drops the lookups that no run needs any more.
    pub(super) fn expire(&mut self, now: Tick) {
        if !self.is_keeping_runs(now) {
            self.lookups.clear();
        }
    }
}

impl Pool {
    /// Returns whether a job was stored by a later owner, and gives the pool up if so. That owner
    /// counts on it that no earlier one starts the job.
    pub(super) fn is_replaced(&mut self, record: &JobRecord) -> bool {
        let replaced = record.stored_by.is_some_and(|storer| storer > self.token);
        if replaced {
            self.actions.push(Action::Fenced);
        }
        replaced
    }

    /// Returns whether this owner stored a job, so that no predecessor starts its tasks, however it
    /// learns of the job.
    pub(super) fn is_own_job(&self, record: &JobRecord) -> bool {
        self.predecessors_know_storer && record.stored_by == Some(self.token)
    }

    /// Keeps a reported run of an unknown job and looks the job up, or stops the run if a job that
    /// is unknown by now has ended. While the stored jobs are being read, it is only kept.
    pub(super) fn keep_or_stop(&mut self, id: &WorkerId, entry: &RunningEntry, now: Tick) {
        if self.is_recovering() {
            self.note_orphan(id, entry);
            return;
        }
        let job = entry.task.job;
        if self.closed.contains_key(&job) || !self.predecessor.keeps_runs(job, now) {
            self.stop_orphan(id, entry, now);
            return;
        }
        self.predecessor.request(job, now);
        self.note_orphan(id, entry);
    }

    /// Requests the lookups that are due.
    pub(super) fn look_up_jobs(&mut self, now: Tick) {
        if self.is_recovering() {
            return;
        }
        let mut jobs = self.predecessor.take_due(now);
        for job in self.unclaimed_ends.take_due(now) {
            if !jobs.contains(&job) {
                jobs.push(job);
            }
        }
        if !jobs.is_empty() {
            self.actions.push(Action::FindJobs(jobs));
        }
    }

    /// Processes the end of a lookup, after the stored jobs were submitted. Runs of the others are
    /// stopped if the store `answered`, or has not for a while. Their ends are kept until it has.
    pub fn jobs_found(&mut self, jobs: &[JobId], answered: bool, now: Tick) {
        // A job that a later owner stored was not submitted; its ends are for that owner.
        let is_replaced = self.actions.contains(&Action::Fenced);
        for job in jobs {
            if self.jobs.contains_key(job) {
                continue;
            }
            self.resolve_unclaimed_ends(*job, answered && !is_replaced, now);
            if !self.predecessor.record(*job, answered, now) {
                continue;
            }
            for (worker, orphan) in self.orphans_of(*job) {
                self.stop_orphan(&worker, &orphan.entry, now);
            }
        }
    }

    /// Applies the reported runs of a job that has just become known.
    pub(super) fn claim_runs(&mut self, job: JobId, now: Tick) {
        for (worker, orphan) in self.orphans_of(job) {
            match orphan.stop {
                StopOrder::NotOrdered => self.adopt(&worker, &orphan.entry, now),
                _ => self.await_end(&worker, &orphan, now),
            }
        }
    }

    /// Applies all runs that were reported while the stored jobs were read. A job that was not read
    /// has ended, or it was stored after its shard was read and a predecessor has started it. A report
    /// that came before the read of its shard does not show which, so these jobs are looked up.
    pub(super) fn claim_all_runs(&mut self, now: Tick) {
        let of_worker = |worker: &Worker| {
            let id = worker.info.id.clone();
            worker.orphans.iter().map(move |orphan| (id.clone(), orphan.entry.clone())).collect()
        };
        let mut reported: Vec<(WorkerId, RunningEntry)> =
            self.workers.values().flat_map::<Vec<_>, _>(of_worker).collect();
        // Of several runs of a task the newest one is kept.
        reported.sort_by_key(|(_, entry)| Reverse(entry.run));
        if reported.iter().any(|(_, entry)| !self.jobs.contains_key(&entry.task.job)) {
            self.predecessor.keep_runs_until(now + LOOKUP_TIMEOUT);
        }
        for (worker, entry) in reported {
            self.adopt(&worker, &entry, now);
        }
    }

    fn orphans_of(&self, job: JobId) -> Vec<(WorkerId, Orphan)> {
        let of_worker = |(id, orphans): (&WorkerId, &[Orphan])| {
            let own = orphans.iter().filter(|orphan| orphan.entry.task.job == job);
            own.map(|orphan| (id.clone(), orphan.clone())).collect::<Vec<_>>()
        };
        let workers = self.workers.values();
        workers
            .map(|worker| (&worker.info.id, worker.orphans.as_slice()))
            .flat_map(of_worker)
            .collect()
    }

    /// Makes an orphan that was ordered to stop a run of its task, which does not start again before
    /// that run has ended.
    fn await_end(&mut self, id: &WorkerId, orphan: &Orphan, now: Tick) {
        if !self.add_run(id, &orphan.entry, now) {
            return;
        }
        let task = orphan.entry.task;
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(task));
        let Some(run) = state.and_then(|state| state.run(orphan.entry.run)) else {
            return;
        };
        run.phase = Phase::Stopping;
        run.settled_at = None;
        match orphan.stop {
            StopOrder::NotOrdered => {}
            StopOrder::InFlight => run.order_in_flight = true,
            StopOrder::Confirmed { at } => {
                run.settled_at = Some(at);
                run.retry_at = at + STOP_RECHECK_PAUSE;
            }
            StopOrder::Failed { retry_at } => run.retry_at = retry_at,
        }
    }

    fn note_orphan(&mut self, id: &WorkerId, entry: &RunningEntry) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match worker.orphans.iter_mut().find(|orphan| orphan.matches(entry)) {
            Some(orphan) => orphan.entry = entry.clone(),
            None => worker.orphans.push(Orphan::new(entry.clone())),
        }
    }

    /// Stops a reported run that belongs to no task that should run, unless that was ordered.
    pub(super) fn stop_orphan(&mut self, id: &WorkerId, entry: &RunningEntry, now: Tick) {
        self.note_orphan(id, entry);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(orphan) = worker.orphans.iter_mut().find(|orphan| orphan.matches(entry)) else {
            return;
        };
        let is_due = match orphan.stop {
            StopOrder::NotOrdered => true,
            StopOrder::InFlight => false,
            StopOrder::Confirmed { at } => at + STOP_RECHECK_PAUSE <= now,
            StopOrder::Failed { retry_at } => retry_at <= now,
        };
        if !is_due {
            return;
        }
        orphan.stop = StopOrder::InFlight;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let target = self.target(worker);
        self.actions.push(Action::Stop(target, entry.task, entry.run));
        self.note(
            NoteKind::RunStopped,
            format!(
                "task={} run={} worker={id} why=\"nothing waits for it\"",
                entry.task, entry.run
            ),
        );
    }

    /// Applies the result of the order to stop an orphan.
    pub(super) fn orphan_stopped(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        number: RunNumber,
        confirmed: bool,
        now: Tick,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_stopped =
            |orphan: &&mut Orphan| orphan.entry.task == task && orphan.entry.run == number;
        if let Some(orphan) = worker.orphans.iter_mut().find(is_stopped) {
            orphan.stop = if confirmed {
                StopOrder::Confirmed { at: now }
            } else {
                StopOrder::Failed { retry_at: now + ORDER_RETRY_PAUSE }
            };
        }
    }

    /// Drops the orphans that a report does not list any more, and those that have become runs of
    /// their tasks.
    pub(super) fn drop_ended_orphans(&mut self, id: &WorkerId, report: &WorkerReport) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let runs = &worker.runs;
        worker.orphans.retain(|orphan| {
            let RunningEntry { task, run, .. } = &orphan.entry;
            let is_charged = runs.get(task).is_some_and(|charge| charge.run == *run);
            !is_charged && report.running.iter().any(|entry| orphan.matches(entry))
        });
    }
}
