//! Restarted workers: a new incarnation of a worker under the same id.
//!
//! Workers crash and are back within a second or two, often before the crash is noticed. The new
//! incarnation has no runs, and its clock and the numbers of its ends start over: mistaken for the
//! old one, it would be allowed to drop ends that have not been read.

use reachhead_types::{
    id::WorkerId,
    size::{Millis, RunNumber},
};

use crate::{
    clock::{Tick, WorkerTime},
    job::{Phase, Run},
    pool::{Action, NoteKind, Pool, PoolTimeouts, orders::ORDER_RETRY_PAUSE},
    ports::{WorkerReport, WorkerTarget},
    task::TaskId,
    worker::{Bar, Charge, FailureHistory, LostOrder, Speed, Worker},
};

/// Age up to which an incarnation may have received orders meant for the previous one, from a
/// process that had not noticed the restart.
pub(super) const YOUNG_INCARNATION_AGE: Millis = Millis(20_000);

impl Pool {
    /// Replaces the known incarnation of a worker by the one that answered a poll, which was sent at
    /// `sent`, with `report`. The runs of the old one have ended as in a crash. Unanswered orders may
    /// still reach the new one, and those answered since the poll was sent may have reached it after
    /// the report, so they are barred there.
    pub(super) fn begin_incarnation(
        &mut self,
        id: &WorkerId,
        sent: Tick,
        report: &WorkerReport,
        now: Tick,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let known = worker.started_at;
        // What the new incarnation runs, from an order for the old one, did not crash that.
        let is_running = |task: TaskId, run: RunNumber| {
            report.running.iter().any(|entry| entry.task == task && entry.run == run)
        };
        let mut worker = worker.clone();
        let kept: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(task, charge)| is_running(**task, charge.run))
            .map(|(task, _)| *task)
            .collect();
        for task in &kept {
            worker.release(*task);
        }
        let runs = worker.runs.clone();
        let mut suspects = self.judge_crash(&worker, now);
        suspects.retain(|suspect| !kept.contains(&suspect.task));
        for (task, charge) in runs {
            if !self.bar_run(task, id, sent, now) {
                self.remove_run(id, task, charge.run);
            }
        }
        // The stored jobs that are still being read may need the ends of the old one.
        if !self.is_recovering() {
            self.unclaimed_ends.drop_worker(id);
        }
        self.advice.drop_worker(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.started_at = report.started_at;
            worker.last_processed = 0;
            worker.acknowledged = 0;
            worker.unrecorded.clear();
            // The answered call had a deadline by the old clock, for which a worker grants its
            // longest lease.
            worker.max_deadline = WorkerTime(report.clock.0 + self.timeouts.grant.0);
            worker.speed = Speed::new(now);
            worker.failure_history = FailureHistory::default();
            worker.begin_incarnation(now, self.timeouts.grant);
        }
        self.review = true;
        // The start is recorded at once: a successor may read the registration of the old one.
        self.roster.next = now;
        self.note(
            NoteKind::WorkerDoubted,
            format!(
                "worker={id} born={:?} before={known:?} why=\"it has started again\"",
                report.started_at
            ),
        );
        for suspect in suspects {
            self.count_crash(suspect, now);
        }
    }

    /// Processes a worker's first report. What runs there has a lease of a predecessor. A
    /// predecessor may also have mistaken a young incarnation for the previous one, and have extended
    /// its lease by the old clock.
    pub(super) fn apply_first_report(&mut self, id: &WorkerId, report: &WorkerReport, now: Tick) {
        let PoolTimeouts { hold, grant, .. } = self.timeouts;
        let wall_offset = self.wall_offset;
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.answered) else {
            return;
        };
        if !report.running.is_empty() {
            worker.max_deadline = worker.max_deadline.max(WorkerTime(report.clock.0 + hold.0));
        }
        let age = report
            .started_at
            .map(|started| Millis((wall_offset.0 + now.0).saturating_sub(started.0)));
        if age.is_some_and(|age| age < YOUNG_INCARNATION_AGE) {
            worker.max_deadline = worker.max_deadline.max(WorkerTime(report.clock.0 + grant.0));
        }
    }

    /// Sends the due orders to bar runs that are over and whose start orders may still arrive, since a
    /// new incarnation does not know them. A worker that does not answer gets them once it does.
    pub(super) fn send_bars(&mut self, now: Tick) {
        let mut due: Vec<(WorkerTarget, TaskId, RunNumber)> = Vec::new();
        for worker in self.workers.values().filter(|worker| !worker.silent) {
            let target = self.target(worker);
            due.extend(worker.due_bars(now).map(|lost| (target.clone(), lost.task, lost.run)));
        }
        for (target, task, run) in due {
            if let Some(worker) = self.workers.get_mut(&target.id) {
                worker.set_bar(task, run, Bar::InFlight);
            }
            self.actions.push(Action::Stop(target, task, run));
        }
    }

    /// Applies the answer to an order that bars a run which is over, and that was sent at `sent`. An earlier
    /// incarnation may have answered if that was before the restart; the present one gets an order of its
    /// own.
    pub(super) fn bar_answered(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        run: RunNumber,
        sent: Tick,
        confirmed: bool,
        now: Tick,
    ) {
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.is_past_restart(sent))
        {
            let retry = Bar::Due(now + ORDER_RETRY_PAUSE);
            worker.set_bar(task, run, if confirmed { Bar::Confirmed } else { retry });
        }
    }

    /// Keeps the calls that may be carried out by the next incarnation of a dead worker.
    pub(super) fn keep_late_calls(&mut self, worker: &Worker, now: Tick) {
        let under_way = worker.runs.iter().filter(|(task, _)| {
            let run = self.run_on(worker, **task);
            // A report may have listed the run while its start was repeated, and the start of a barred run
            // may have been under way since before an earlier restart.
            run.is_some_and(|run| {
                run.order_in_flight && (run.phase != Phase::Stopping || run.barred)
            })
        });
        let under_way = under_way.map(|(task, charge)| {
            let Charge { run, amount } = *charge;
            LostOrder { task: *task, run, amount, at: now, bar: Bar::Unneeded }
        });
        let calls = worker.late_calls(under_way.collect(), now);
        self.late_calls.insert(worker.info.id.clone(), calls);
    }

    /// Records that the answer to a start order was lost after its worker was found dead.
    pub(super) fn record_late_start(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        run: RunNumber,
        now: Tick,
    ) {
        match self.workers.get_mut(id) {
            Some(worker) => worker.renew_lost_order(task, run, now, self.timeouts.grant),
            None => self.record_late_call(id, Some((task, run)), now),
        }
    }

    /// Records that a call to a worker ended without an answer after the worker was found dead.
    pub(super) fn record_late_call(
        &mut self,
        id: &WorkerId,
        order: Option<(TaskId, RunNumber)>,
        now: Tick,
    ) {
        if let Some(calls) = self.late_calls.get_mut(id) {
            calls.record_unanswered(order, now);
        }
    }

    /// Records that a poll which was sent at `sent` was repeated without knowing what had become of it: it
    /// may still be carried out, by whatever incarnation is there by then. The result of the repetition
    /// follows.
    pub fn poll_repeated(&mut self, id: &WorkerId, sent: Tick, now: Tick) {
        match self.workers.get_mut(id) {
            Some(worker) => worker.record_lost_poll(sent, now, self.timeouts.grant),
            None => self.record_late_call(id, None, now),
        }
    }

    /// Bars a run whose start order may still arrive, or was answered at `since` or later, and returns
    /// whether there was one. What the previous incarnation has barred may still start on the next one.
    fn bar_run(&mut self, id: TaskId, worker: &WorkerId, since: Tick, now: Tick) -> bool {
        let known = self.workers.get(worker);
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task(id));
        let run = task.and_then(|task| task.runs.iter_mut().find(|run| run.worker == *worker));
        let may_arrive = |run: &Run| {
            run.settled_at.is_none_or(|settled| settled >= since)
                || run.unconfirmed
                || known.is_some_and(|known| known.may_start_late(id, run.number, now))
        };
        let Some(run) = run.filter(|run| may_arrive(run)) else {
            return false;
        };
        run.barred = true;
        run.settled_at = None;
        run.phase = Phase::Stopping;
        run.retry_at = Tick(0);
        true
    }
}
