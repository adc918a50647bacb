//! A burst of equal jobs on a simulated pool.

use std::{collections::BTreeMap, sync::Arc};

use rand::{Rng, rngs::SmallRng};
use reachhead_jobs::{
    clock::Tick,
    model::{Plan, Step},
    record::JobRecord,
};
use reachhead_plan::amount::Amount;
use reachhead_types::{id::JobId, size::Millis};

use crate::jobs::{
    Outcome, Scenario,
    dispatch::{self, LimitedOwner},
    site::{LONG_RUNNING, MEAN_TASK_MS, START, Site, queue},
};

/// Simulated pool with callers that submit jobs at an even rate.
pub struct Simulation {
    scenario: Scenario,
    site: Site,
    next_arrival: Tick,
    deadlines: BTreeMap<JobId, Tick>,
    outcome: Outcome,
}

impl Simulation {
    /// Returns a simulation at its start.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            site: Site::new(seed),
            next_arrival: START + Millis(500),
            deadlines: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// Sets the limits of the owner's host.
    pub fn with_owner(mut self, owner: Option<LimitedOwner>) -> Self {
        self.site.owner = owner;
        self
    }

    /// Runs the simulation: jobs arrive for `arrival_period` and have `completion_time` more to complete.
    pub fn run(mut self, arrival_period: Millis, completion_time: Millis) -> Outcome {
        self.site.grow(self.scenario.workers);
        self.submit_long_running();
        let (last, end) =
            (START + Millis(500) + arrival_period, START + arrival_period + completion_time);
        while self.site.now < end {
            self.site.step();
            while self.next_arrival <= self.site.now && self.next_arrival < last {
                let (rate, share) = self.arrival_rate();
                if share >= 1.0 || self.site.rng.random_bool(share) {
                    self.submit_random_job();
                }
                let draw = self.site.rng.random::<f64>().max(1e-9);
                let gap = -draw.ln() * 1000.0 / rate;
                self.next_arrival = self.site.now + Millis(gap as u64);
            }
            self.count_completed();
        }
        self.outcome.costs = self.site.costs;
        self.outcome
    }

    /// Returns the highest rate of arrivals, and the present one as a share of it.
    fn arrival_rate(&self) -> (f64, f64) {
        match self.scenario.owner {
            Some(host) => {
                let factor = dispatch::rate_factor(host.turn, self.site.now.since(START));
                let rate = dispatch::BURST_FACTOR * self.scenario.rate;
                (rate, factor / dispatch::BURST_FACTOR)
            }
            None => (self.scenario.rate, 1.0),
        }
    }

    fn submit_long_running(&mut self) {
        let step = Step {
            count: self.scenario.long_running,
            need: Amount::new(1300, 3000, 0),
            estimate: Millis(900),
            long_running: true,
            spread: 1,
            max_unavailable: 2,
            ..Step::default()
        };
        self.submit(LONG_RUNNING, vec![step]);
    }

    fn submit(&mut self, id: JobId, steps: Vec<Step>) {
        let plan = Arc::new(Plan { payload: "x".repeat(300).into(), steps, schedule: None });
        let accepted = Millis(self.site.now.0);
        let record =
            JobRecord { queue: queue("q"), plan, accepted, customer: None, stored_by: None };
        let row = self.site.next_row();
        self.site.submit(id, &record, row);
    }

    /// Submits a random job of one or two steps with 3 to 13 tasks each, as on grown sites.
    fn submit_random_job(&mut self) {
        let rng = &mut self.site.rng;
        let id = JobId(rng.random());
        let steps = rng.random_range(1..=2_u32);
        let step = |index: u32, rng: &mut SmallRng| Step {
            count: rng.random_range(3..=13),
            need: Amount::new(rng.random_range(700..2300), rng.random_range(400..2800), 0),
            estimate: Millis((MEAN_TASK_MS * rng.random_range(0.4..2.5)) as u64),
            after: (index > 0).then(|| index - 1).into_iter().collect(),
            ..Step::default()
        };
        let steps: Vec<Step> = (0..steps).map(|index| step(index, rng)).collect();
        let objective_ms = 600.0 + 1.6 * MEAN_TASK_MS * steps.len() as f64;
        self.deadlines.insert(id, self.site.now + Millis(objective_ms as u64));
        self.outcome.jobs += 1;
        self.submit(id, steps);
    }

    fn count_completed(&mut self) {
        let site = &self.site;
        let completed: Vec<JobId> =
            self.deadlines.keys().copied().filter(|id| site.is_completed(*id)).collect();
        for id in completed {
            let deadline = self.deadlines.remove(&id).unwrap_or_default();
            self.outcome.completed += 1;
            self.outcome.in_time += u64::from(self.site.now <= deadline);
        }
    }
}
