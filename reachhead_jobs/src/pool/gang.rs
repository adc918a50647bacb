//! Placement of gangs, whose members start together or not at all.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::{id::WorkerId, size::RunNumber};

use crate::{
    clock::Tick,
    model::Step,
    pool::{Pool, starts::is_waiting},
    task::StepId,
};

impl Pool {
    /// Starts all members of a gang together, or none.
    pub(super) fn place_gang(
        &mut self,
        id: StepId,
        step: &Step,
        allowed: Option<&BTreeSet<WorkerId>>,
        now: Tick,
    ) -> bool {
        if !self.is_gang_settled(id, now) {
            return true;
        }
        let whole = step.need.times(step.count);
        if !self.within_quota(id.job, whole) {
            self.hold_back(id.job, whole, 1);
            return true;
        }
        let Some(chosen) = self.find_gang(id, step, allowed, now) else {
            return false;
        };
        let number = (0..step.count).map(|index| self.next_run(id, index)).max();
        let number = number.unwrap_or(RunNumber(1));
        let checkpoint =
            self.jobs[&id.job].steps[&id].tasks.iter().find_map(|task| task.checkpoint.clone());
        for (index, worker) in chosen {
            if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task(id.task(index)))
            {
                task.checkpoint.clone_from(&checkpoint);
            }
            self.start_run(id.task(index), step, worker, number, now);
        }
        true
    }

    /// Returns whether all members of a gang wait to be started.
    pub(super) fn is_gang_settled(&self, id: StepId, now: Tick) -> bool {
        let tasks = &self.jobs[&id.job].steps[&id].tasks;
        let suspect = tasks.iter().any(|task| task.crashes.is_suspect());
        let unrecorded = suspect && self.dirty.contains(&id.job);
        tasks.iter().all(|task| is_waiting(task, now)) && !unrecorded
    }

    /// Finds workers for all members of a gang.
    pub(super) fn find_gang(
        &mut self,
        id: StepId,
        step: &Step,
        allowed: Option<&BTreeSet<WorkerId>>,
        now: Tick,
    ) -> Option<BTreeMap<u32, WorkerId>> {
        let mut chosen: BTreeMap<u32, WorkerId> = BTreeMap::new();
        for index in 0..step.count {
            let Some(worker) = self.find(id.task(index), step, allowed, now) else {
                break;
            };
            // The capacity is taken at once, so that the next member does not count on it.
            if let Some(known) = self.workers.get_mut(&worker) {
                known.charge(id.task(index), RunNumber(0), step.charge());
            }
            chosen.insert(index, worker);
        }
        for (index, worker) in &chosen {
            if let Some(known) = self.workers.get_mut(worker) {
                known.release(id.task(*index));
            }
        }
        (chosen.len() == step.count as usize).then_some(chosen)
    }
}
