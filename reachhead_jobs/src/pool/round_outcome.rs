//! What a round of the owner ordered, and whether only its start budget kept it from ordering more.

use reachhead_plan::amount::Amount;

use crate::{
    clock::Tick,
    pool::{
        Pool,
        starts::{MAX_UNPLACED_STEPS, Ranked},
    },
    task::StepId,
};

/// Start orders of a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoundOutcome {
    /// Start orders, with those that were sent again: they cost the owner the same.
    pub started: u32,
    /// Tasks that may start, and that workers have free capacity for, waited because the start
    /// budget was empty.
    pub limited: bool,
}

impl Pool {
    /// Records a start order in the budget and the outcome of this round.
    pub(super) fn charge_start(&mut self, payload: &str) {
        self.start_budget.take(payload);
        self.round.started += 1;
    }

    /// Returns whether a task of these jobs could start if the budget were not empty.
    ///
    /// The search ends like a round does once as many steps as there found no place; `free` bounds
    /// the free capacity of every worker from above.
    pub(super) fn waits_for_budget(&mut self, jobs: &[Ranked], free: Amount, now: Tick) -> bool {
        let mut searched = 0;
        for job in jobs {
            let steps: Vec<StepId> = self.jobs[&job.id].steps.keys().copied().collect();
            for id in steps {
                let waiting = self.startable_tasks(id, now);
                if waiting.is_empty() || !self.jobs[&id.job].step(id).charge().fits(free) {
                    continue;
                }
                if self.can_place(id, &waiting, now) {
                    return true;
                }
                searched += 1;
                if searched > MAX_UNPLACED_STEPS {
                    return false;
                }
            }
        }
        false
    }

    /// Returns whether one of the waiting tasks of a step has a place, or the whole gang.
    fn can_place(&mut self, id: StepId, waiting: &[u32], now: Tick) -> bool {
        let job = &self.jobs[&id.job];
        let step = job.step(id).clone();
        let allowed = job.queue.advice.is_some().then(|| self.advice.approved(id, now));
        if step.gang {
            return self.is_gang_settled(id, now)
                && self.within_quota(id.job, step.need.times(step.count))
                && self.find_gang(id, &step, allowed.as_ref(), now).is_some();
        }
        let fits = |index: &u32| self.find(id.task(*index), &step, allowed.as_ref(), now).is_some();
        self.within_quota(id.job, step.need) && waiting.iter().any(fits)
    }
}
