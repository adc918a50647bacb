//! The random acts of a schedule.

use reachhead_jobs::{
    clock::Tick,
    pool::{DrainMode, DrainProgress},
};
use reachhead_types::id::WorkerId;

use super::{DEATH_NOTICE_DELAY, Event, Simulation};

/// In schedules with outages, one act in this number begins one.
const OUTAGE_PERIOD: u8 = 5;

impl Simulation {
    /// Performs one random act.
    pub fn act(&mut self, (kind, choice, time): (u8, u8, u8)) {
        let span = u64::from(time) * 20;
        if self.outages.is_some() && kind % OUTAGE_PERIOD == 0 {
            self.begin_outage(choice, span);
            return self.run(span % 700);
        }
        if self.faults.is_some() {
            return self.act_with_faults(kind, choice, span);
        }
        let kind = if self.abandoning && choice % 4 == 0 { 13 } else { kind % 14 };
        self.perform(kind, choice, span);
        self.run(span % 700);
    }

    pub(super) fn perform(&mut self, kind: u8, choice: u8, span: u64) {
        match kind {
            0..=3 => self.submit(choice),
            4 => self.cancel(choice),
            5 => {
                self.newest().alive = false;
                self.run(span / 4);
                self.take_over();
            }
            6 => {
                let until = self.now + span;
                self.newest().paused_until = until;
                self.run(span / 2);
                self.take_over();
            }
            7 if self.rejecting => self.reject_owners(choice, span),
            7 => {
                let until = self.now + span;
                self.newest().store_cut_until = until;
                self.run(span / 2);
                self.take_over();
                if self.late_notices {
                    self.cut_worker(choice, until);
                }
            }
            8 => self.cut_worker(choice, self.now + span),
            9 => {
                if let Some(id) = self.pick(choice) {
                    self.crash(&id);
                    if self.restarting { self.restart(id) } else { self.add_worker() }
                }
            }
            10 => self.lose_next = choice % 8,
            11 => self.delay_next = choice % 8,
            12 => self.drain_and_take(choice),
            _ if self.abandoning => self.abandon_takeovers(choice, span),
            _ => self.take_over_partially(usize::from(choice % 4), 40 + span / 4),
        }
    }

    pub(super) fn pick(&self, choice: u8) -> Option<WorkerId> {
        let ids: Vec<&WorkerId> = self.workers.keys().collect();
        ids.get(choice as usize % ids.len().max(1)).map(|id| (*id).clone())
    }

    pub(super) fn cut_worker(&mut self, choice: u8, until: u64) {
        if let Some(id) = self.pick(choice) {
            self.newest().workers_cut.insert(id, until);
        }
    }

    pub(super) fn crash(&mut self, id: &WorkerId) {
        self.remove_worker(id);
        // A worker that restarts under its id is not reported as dead.
        if self.crashing || self.faults.is_some() && !self.restarting {
            self.push(DEATH_NOTICE_DELAY, Event::Dead(id.clone()));
        }
        self.list();
    }

    /// Removes a worker with its runs.
    pub(super) fn remove_worker(&mut self, id: &WorkerId) {
        self.workers.remove(id);
        self.disturb();
        for observed in self.tasks.values_mut() {
            observed.running.remove(id);
        }
    }

    /// Takes a worker for planned work if the owner reports that nothing protected is there.
    pub(super) fn drain_and_take(&mut self, choice: u8) {
        let Some(id) = self.pick(choice) else { return };
        let now = Tick(self.now);
        let owner = self.newest();
        if owner.alive && owner.paused_until <= now.0 {
            let progress = owner.pool.drain_worker(&id, DrainMode::Graceful, now);
            self.disturb();
            if matches!(progress, DrainProgress::Empty | DrainProgress::Unknown) {
                if self.workers[&id].running.keys().any(|task| self.is_long_running(task)) {
                    self.violations
                        .push(format!("{id} is reported as drained but has a protected task"));
                }
                self.crash(&id);
                self.add_worker();
            }
        }
    }
}
