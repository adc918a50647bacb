//! Ordering of expiring jobs in a scheduling round: within their budget of the pool's capacity they
//! come first, and beyond it after jobs that can be in time.

use reachhead_types::id::JobId;

use super::starts::Ranked;
use crate::{
    clock::Tick,
    expiring_budget::ExpiringBudget,
    job::{Job, StepState},
    order::Class,
    pool::Pool,
    task::StepId,
};

impl Pool {
    /// Moves expiring jobs that exceed their budget behind jobs that can be in time.
    pub(super) fn cap_expiring(&self, ranked: Vec<Ranked>, now: Tick) -> Vec<Ranked> {
        if !ranked.iter().any(|job| job.rank.class == Class::Expiring) {
            return ranked;
        }
        let mut budget = ExpiringBudget::new(self.usable_cores(now), self.late_cores());
        let fits = |job: &Ranked| {
            job.rank.class != Class::Expiring || budget.take(self.waiting_cores(job.id))
        };
        let (mut first, after): (Vec<Ranked>, Vec<Ranked>) = ranked.into_iter().partition(fits);
        let before = |job: &Ranked| !job.rank.over_share && job.rank.class <= Class::InTime;
        let place = first.partition_point(before);
        first.splice(place..place, after);
        first
    }

    fn usable_cores(&self, now: Tick) -> u64 {
        let usable = self.workers.values().filter(|worker| worker.accepts(now));
        saturating_sum(usable.map(|worker| worker.info.capacity.cores))
    }

    /// Returns the cores held by runs that were started too late for their jobs to be in time.
    fn late_cores(&self) -> u64 {
        let short = self.jobs.values().filter(|job| !job.plan.is_long_running());
        saturating_sum(short.map(|job| self.late_cores_of(job)))
    }

    fn late_cores_of(&self, job: &Job) -> u64 {
        let limit = job.accepted + self.estimator.objective(&job.queue, &job.plan);
        let of_step = |(id, state): (&StepId, &StepState)| {
            let step = job.step(*id);
            let time = self.estimator.predict(&job.queue.name, step);
            let runs = state.tasks.iter().flat_map(|task| &task.runs);
            let late = runs.filter(|run| run.ordered_at + time > limit).count() as u64;
            step.charge().cores.saturating_mul(late)
        };
        saturating_sum(job.steps.iter().map(of_step))
    }

    /// Returns the cores that a job's ready tasks would take.
    fn waiting_cores(&self, id: JobId) -> u64 {
        let job = &self.jobs[&id];
        let of_step = |(id, state): (&StepId, &StepState)| {
            let waiting = state.tasks.iter().filter(|task| !task.done && task.runs.is_empty());
            job.step(*id).charge().cores.saturating_mul(waiting.count() as u64)
        };
        saturating_sum(job.steps.iter().filter(|(id, _)| job.is_ready(**id)).map(of_step))
    }
}

/// Returns the sum of amounts, which callers and registrations may make as large as a number can be.
fn saturating_sum(amounts: impl Iterator<Item = u64>) -> u64 {
    amounts.fold(0, u64::saturating_add)
}
