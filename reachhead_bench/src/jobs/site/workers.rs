//! The simulated workers: they carry out orders and report.

use std::hash::{Hash, Hasher};

use rand::Rng;
use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    pool::Action,
    ports::{EndedEntry, HoldOrder, RunEnd, RunningEntry, StartOrder, WorkerReport},
    task::TaskId,
};
use reachhead_types::{
    id::WorkerId,
    size::{Millis, RunNumber},
};
use siphasher::sip::SipHasher13;

use super::{Event, LONG_RUNNING, LongPoll, MEAN_TASK_MS, MESSAGE_DELAY, Site};

impl Site {
    /// Ends a run on a worker, and answers the long poll that waits for it.
    pub(super) fn end_run(&mut self, id: &WorkerId, task: TaskId, run: RunNumber, end: RunEnd) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.running.get(&task) != Some(&run) {
            return;
        }
        worker.running.remove(&task);
        worker.end_count += 1;
        let number = worker.end_count;
        worker.ended.push(EndedEntry { number, task, run, end, checkpoint: None });
        if let Some(poll) = worker.poll.take() {
            self.push(MESSAGE_DELAY, Event::Report(id.clone(), poll.sent));
        }
    }

    /// Sends the report of a worker to the pool.
    pub(super) fn send_report(&mut self, id: &WorkerId, sent: Tick) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let running = worker.running.iter().map(|(task, run)| RunningEntry {
            task: *task,
            run: *run,
            checkpoint: None,
            percent: 100,
            metric: 0,
        });
        let report = WorkerReport {
            started_at: None,
            clock: WorkerTime(self.now.0),
            running: running.collect(),
            ended: worker.ended.clone(),
        };
        self.process_message(|pool, now| pool.held(id, sent, Ok(report), now));
    }

    /// Carries out an action of the owner.
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Start(target, order) => self.start(target.id, &order),
            Action::Stop(target, task, run) => {
                self.end_run(&target.id, task, run, RunEnd::Stopped);
                self.push(Millis(2 * MESSAGE_DELAY.0), Event::StopConfirmed(target.id, task, run));
            }
            Action::Hold(target, order) => self.hold(target.id, &order),
            Action::Pace(..)
            | Action::FindJobs(_)
            | Action::Advise(..)
            | Action::ConfirmLease
            | Action::Fenced => {}
        }
    }

    fn start(&mut self, id: WorkerId, order: &StartOrder) {
        self.costs.starts += 1;
        let delay = self.owner.as_mut().map_or(0, |owner| owner.send(&id, order).0);
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.running.insert(order.task, order.run);
        }
        let time = self.task_time(order.task);
        if let Some(time) = time {
            let done = Event::RunDone(id.clone(), order.task, order.run);
            self.push(Millis(delay + MESSAGE_DELAY.0 + time.0), done);
        }
        let confirmed = Event::StartConfirmed(id, order.task, order.run);
        self.push(Millis(2 * (delay + MESSAGE_DELAY.0)), confirmed);
    }

    /// Returns how long a run of the task takes; `None` if it is long-running. A job with task times of
    /// its own has the same ones however the owner decides, so that two codes can be compared.
    fn task_time(&mut self, task: TaskId) -> Option<Millis> {
        if task.job == LONG_RUNNING {
            return None;
        }
        let Some(times) = self.task_times.get(&task.job) else {
            return Some(Millis((MEAN_TASK_MS * self.rng.random_range(0.5..1.5)) as u64));
        };
        let mean = times.get(task.step as usize).copied().unwrap_or_default();
        let mut hasher = SipHasher13::new();
        (task.job.0, task.step, task.index).hash(&mut hasher);
        Some(Millis(mean.0 * (750 + hasher.finish() % 500) / 1000))
    }

    /// Answers a poll at once if runs have ended or it must not wait; waits otherwise.
    fn hold(&mut self, id: WorkerId, order: &HoldOrder) {
        let (sent, number) = (self.now, self.count);
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.acknowledged = worker.acknowledged.max(order.acknowledged);
        let acknowledged = worker.acknowledged;
        worker.ended.retain(|entry| entry.number > acknowledged);
        if order.wait.0 == 0 || !worker.ended.is_empty() {
            self.push(Millis(2 * MESSAGE_DELAY.0), Event::Report(id, sent));
            return;
        }
        worker.poll = Some(LongPoll { number, sent });
        self.push(order.wait, Event::PollExpired(id, number));
    }
}
