//! The random acts of a schedule.

use reachhead_jobs::{
    clock::Tick,
    incarnation::Incarnation,
    pool::{DrainMode, DrainProgress},
};
use reachhead_types::id::WorkerId;

use super::{DEATH_NOTICE_DELAY, Event, Simulation};

/// Shortest time for which a zone is cut off, in milliseconds: longer than a worker's lease.
const MIN_ZONE_CUT: u64 = 3000;

/// In schedules with outages, one act in this number begins one.
const OUTAGE_PERIOD: u8 = 5;

impl Simulation {
    /// Performs one random act.
    pub fn act(&mut self, (kind, choice, time): (u8, u8, u8)) {
        let span = u64::from(time) * 20;
        if self.slow.is_some() {
            return self.act_with_slow_takeovers(kind, choice, span);
        }
        if self.outages.is_some() && kind % OUTAGE_PERIOD == 0 {
            self.begin_outage(choice, span);
            return self.run(span % 700);
        }
        if self.faults.is_some() {
            return self.act_with_faults(kind, choice, span);
        }
        let is_special = self.ending
            || self.abandoning
            || self.cutting_zones
            || self.fleet.is_some()
            || self.unnoticed.is_some();
        let kind = if is_special && choice % 4 == 0 { 13 } else { kind % 14 };
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
                self.take_over_from(choice % 2 == 0);
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
            // Late calls would reach the next incarnation of a worker, which is another fault.
            9 | 11 if self.unnoticed.is_some() => self.restart_unnoticed(choice / 4, span),
            9 if self.fleet.is_some() => self.crash_for_a_while(choice, span),
            9 => {
                if let Some(id) = self.pick(choice) {
                    self.crash(&id);
                    if self.restarting { self.restart(id) } else { self.add_worker() }
                }
            }
            10 => self.lose_next = choice % 8,
            11 => self.delay_next = choice % 8,
            12 => self.drain_and_take(choice),
            _ if self.unnoticed.is_some() => self.restart_unnoticed(choice / 4, span),
            _ if self.ending => self.end_owners(choice / 4, span),
            _ if self.abandoning => self.abandon_takeovers(choice, span),
            _ if self.cutting_zones => self.cut_zone(choice, span),
            _ if self.fleet.is_some() => self.replace_owner(choice / 4, span),
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

    /// Cuts the owner and one worker off from the store and from all other workers. A process on the
    /// other side takes over, which does not reach this worker.
    fn cut_zone(&mut self, choice: u8, span: u64) {
        let until = self.now + MIN_ZONE_CUT + span;
        let Some(inside) = self.pick(choice / 4) else { return };
        let others = self.workers.keys().filter(|id| **id != inside);
        let cut = others.map(|id| (id.clone(), until)).collect::<Vec<_>>();
        let owner = self.newest();
        owner.store_cut_until = until;
        owner.workers_cut.extend(cut);
        self.run(span / 2);
        self.take_over();
        self.newest().workers_cut.insert(inside, until);
    }

    pub(super) fn crash(&mut self, id: &WorkerId) {
        let started_at = self.workers.get(id).and_then(|incarnation| incarnation.born);
        self.keep_registration(id);
        self.remove_worker(id);
        // A worker that restarts under its id is not reported as dead.
        if self.crashing || self.faults.is_some() && !self.restarting {
            let ended = Incarnation::new(id.clone()).with_start(started_at);
            self.push(DEATH_NOTICE_DELAY, Event::Dead(ended));
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
