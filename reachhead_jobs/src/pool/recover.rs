//! Recovery of a predecessor's jobs, workers and runs after an ownership change.

use std::collections::BTreeMap;

use reachhead_plan::amount::Amount;
use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::Tick,
    job::{Job, Phase, Run},
    pool::{NoteKind, PendingWorker, Pool, StoredJob},
    ports::{RunningEntry, WorkerInfo},
    worker::Worker,
};

impl Pool {
    /// Adds a stored job with its stored progress, and ends it if that shows it as complete or failed.
    pub(super) fn recover_job(&mut self, stored: StoredJob, now: Tick, wall: Millis) {
        if self.is_replaced(&stored.record) {
            return;
        }
        let age = Millis(wall.0.saturating_sub(stored.record.accepted.0));
        self.estimator.observe_job(&stored.record.queue.name, &stored.record.plan);
        self.has_best_effort |= stored.record.plan.has_best_effort();
        let mut job = Job::new(stored.id, &stored.record, now - age);
        job.row = Some(stored.row);
        job.maybe_started = true;
        job.add_due_occurrences(wall);
        if let Some(progress) = stored.progress {
            job.restore(&progress.record);
            job.revision = Some(progress.revision);
        }
        self.jobs.insert(job.id, job);
        self.decide_ending(stored.id);
    }

    /// Creates the workers that the predecessor may have used, as pending. Each has to answer the
    /// new token, or its leases have to expire, before a recovered task that no worker reports is
    /// restarted. These last for `effect` after `base`, or for the time in `silent`.
    pub(super) fn recover_workers(
        &mut self,
        effect: Millis,
        silent: &BTreeMap<WorkerId, Millis>,
        base: Tick,
        now: Tick,
    ) {
        for (id, stored) in self.roster.stored.workers.clone() {
            let until = base + silent.get(&id).copied().unwrap_or(effect);
            let Some(entry) = stored.entry else {
                // Its address is unknown, so it can't be queried before it registers again.
                self.pending.insert(id, PendingWorker { until, closed: None });
                continue;
            };
            let info = WorkerInfo {
                id: entry.worker.clone(),
                started_at: None,
                pool: self.name.clone(),
                address: entry.address,
                zone: unknown_zone(),
                capacity: Amount::default(),
                labels: Vec::new(),
                rack: None,
                draining: true,
            };
            let mut worker = Worker::new(info, now);
            worker.listed = false;
            worker.rostered = entry.closed.is_none();
            self.workers.insert(entry.worker.clone(), worker);
            self.pending.insert(entry.worker, PendingWorker { until, closed: entry.closed });
        }
    }

    /// Returns whether a task of the job that no worker reports may still run on a pending worker.
    pub(super) fn may_run_elsewhere(&self, job: &Job) -> bool {
        job.maybe_started
            && self.pending.values().any(|pending| match (pending.closed, job.row) {
                (Some(closed), Some(row)) => row <= closed,
                _ => true,
            })
    }

    /// Adopts a run that a worker reports and that this owner did not order, or stops it as an
    /// orphan.
    pub(super) fn adopt(&mut self, worker: &WorkerId, entry: &RunningEntry, now: Tick) {
        if !self.jobs.contains_key(&entry.task.job) {
            self.keep_or_stop(worker, entry, now);
        } else if self.add_run(worker, entry, now) {
            self.note(
                NoteKind::RunAdopted,
                format!("task={} run={} worker={worker}", entry.task, entry.run),
            );
        } else {
            self.stop_orphan(worker, entry, now);
        }
    }

    /// Adds a reported run to its task, and returns whether the task can use it.
    pub(super) fn add_run(&mut self, worker: &WorkerId, entry: &RunningEntry, now: Tick) -> bool {
        let Some(job) = self.jobs.get_mut(&entry.task.job) else {
            return false;
        };
        let over = job.ending.is_some();
        let speculative =
            job.plan.steps.get(entry.task.step as usize).is_some_and(|step| step.speculative);
        let charge = job.plan.steps.get(entry.task.step as usize).map(|step| step.charge());
        let (Some(task), Some(charge)) = (job.task(entry.task), charge) else {
            return false;
        };
        let other = task.runs.iter().map(|run| run.number).max();
        let stale = !speculative && other.is_some_and(|other| other > entry.run);
        if task.done || over || stale {
            return false;
        }
        task.last_run = task.last_run.max(entry.run);
        if let Some(checkpoint) = &entry.checkpoint {
            task.checkpoint = Some(checkpoint.clone());
        }
        let known = self.workers.get_mut(worker);
        let deadline =
            known.as_ref().map_or(crate::clock::WorkerTime(0), |known| known.max_deadline);
        task.runs.push(Run {
            number: entry.run,
            worker: worker.clone(),
            phase: Phase::Working,
            ordered_at: now,
            settled_at: Some(now),
            deadline,
            unconfirmed: false,
            order_in_flight: false,
            retry_at: now,
            percent: entry.percent,
            progressed_at: now,
            last_reported: now,
            metric: entry.metric,
            pace_percent: 100,
            ticket: None,
            adopted: true,
            confirmed: true,
            inherited: true,
            barred: false,
        });
        job.started = true;
        if let Some(known) = known {
            known.charge(entry.task, entry.run, charge);
            known.orphans.retain(|orphan| !orphan.matches(entry));
        }
        true
    }
}

/// Returns a placeholder zone. A worker known from the roster alone is never placed on, so its zone
/// does not matter.
fn unknown_zone() -> reachhead_types::id::ZoneName {
    match "unknown".parse() {
        Ok(zone) => zone,
        Err(error) => unreachable!("constant zone name is invalid: {error}"),
    }
}
