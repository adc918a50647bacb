//! Callers of a pattern: each wants one job done, has few attempts, and counts from the first one.

use std::{collections::BTreeMap, sync::Arc};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use reachhead_jobs::{
    clock::Tick,
    customer::{Customer, Customers, Quota},
    model::{Plan, Queue, Step},
    pool::StoredJob,
    record::JobRecord,
};
use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{CustomerName, JobId},
    size::{Millis, Weight},
};

use super::{
    Pattern, Stream,
    outcome::{Kind, Outcome, Shares},
};
use crate::jobs::site::{START, Site, queue};

/// Time in which callers come.
const ARRIVAL_PERIOD: Millis = Millis(12_000);

/// Time after the last arrival in which jobs may still end.
const COMPLETION_TIME: Millis = Millis(14_000);

/// Customers; the first one floods.
const CUSTOMERS: u32 = 10;

/// Jobs a second that each customer is owed.
const WEIGHT: Weight = Weight(6);

/// Attempts of a caller after its first one.
const MAX_RETRIES: u32 = 4;

/// Time between two attempts of a caller that gets no answer.
const RETRY_PAUSE: Millis = Millis(1000);

/// Part of the burst's rate that arrives before and after it.
const QUIET_PART: f64 = 0.05;

/// A caller with the job that it wants done.
struct Caller {
    queue: Arc<Queue>,
    kind: Kind,
    customer: CustomerName,
    plan: Arc<Plan>,
    times: Vec<Millis>,
    first: Tick,
    objective: Millis,
    refusals: u32,
    ended: Option<Tick>,
}

/// The callers of a pattern, and the site that they call.
pub struct Callers {
    pattern: Pattern,
    customers: Arc<Customers>,
    site: Site,
    callers: BTreeMap<JobId, Caller>,
    /// Attempts to come, with the number of those made before.
    attempts: BTreeMap<(Tick, JobId), u32>,
    /// Jobs that are stored and have not ended.
    stored: BTreeMap<JobId, StoredJob>,
}

fn customer(number: u32) -> CustomerName {
    match format!("c{number}").parse() {
        Ok(name) => name,
        Err(error) => unreachable!("a constant name: {error}"),
    }
}

fn customers() -> Arc<Customers> {
    let add = |all: Customers, number| {
        let name = customer(number);
        all.with_customer(Customer { name, weight: WEIGHT, quota: Quota::default() }, [])
    };
    Arc::new((0..CUSTOMERS).fold(Customers::new(), add))
}

impl Callers {
    /// Returns the callers of a pattern. They are the same for the same seed, whatever the owner
    /// decides.
    pub fn new(pattern: Pattern, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut callers = BTreeMap::new();
        for stream in pattern.streams {
            let queue = queue(stream.queue);
            for number in 0..CUSTOMERS {
                let rate = if number == 0 { stream.flood } else { stream.rate };
                let mut at = Millis(0);
                while at < ARRIVAL_PERIOD {
                    let busy = at >= stream.begins && at < stream.ends;
                    let part = if busy { 1.0 } else { QUIET_PART };
                    // Steps of 10 ms keep a rise from being skipped by one long gap.
                    if rng.random_bool((rate * part / 100.0).min(1.0)) {
                        let caller = random_caller(&stream, &queue, number, at, &mut rng);
                        callers.insert(JobId(rng.random()), caller);
                    }
                    at = Millis(at.0 + 10);
                }
            }
        }
        let attempts = callers.iter().map(|(id, caller)| ((caller.first, *id), 0)).collect();
        let mut site = Site::new(seed);
        let customers = customers();
        site.pool.configure(&customers);
        Self { pattern, customers, site, callers, attempts, stored: BTreeMap::new() }
    }

    /// Runs the pattern.
    pub fn run(mut self) -> Outcome {
        let end = START + Millis(ARRIVAL_PERIOD.0 + COMPLETION_TIME.0);
        let mut workers = 0;
        let mut powered = true;
        while self.site.now < end {
            let time = self.site.now.since(START);
            let target = self.pattern.workers.iter().filter(|(at, _)| *at <= time).map(|at| at.1);
            let target = target.max().unwrap_or_default();
            if target > workers {
                workers = target;
                self.site.grow(workers);
            }
            let outage = self.pattern.outage.filter(|out| out.begins <= time && time < out.ends);
            if powered && outage.is_some() {
                self.site.lose_power();
            }
            if !powered && outage.is_none() {
                let stored = self.stored.values().cloned().collect();
                self.site.recover(stored, &self.customers);
            }
            powered = outage.is_none();
            if powered {
                self.site.step()
            } else {
                self.site.pause()
            }
            self.make_attempts(powered, outage.is_none_or(|out| out.stores));
            if powered {
                self.note_ended();
            }
        }
        self.outcome()
    }

    fn make_attempts(&mut self, owned: bool, stores: bool) {
        while let Some(entry) = self.attempts.first_entry() {
            let (at, id) = *entry.key();
            if at > self.site.now {
                return;
            }
            let before = entry.remove();
            if stores {
                self.store(id, owned);
            } else if before < MAX_RETRIES {
                self.attempts.insert((at + RETRY_PAUSE, id), before + 1);
            }
        }
    }

    fn store(&mut self, id: JobId, owned: bool) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let record = JobRecord {
            queue: Arc::clone(&caller.queue),
            plan: Arc::clone(&caller.plan),
            accepted: Millis(self.site.now.0),
            customer: Some(caller.customer.clone()),
            stored_by: None,
        };
        self.site.set_task_times(id, caller.times.clone());
        let row = self.site.next_row();
        if owned {
            self.site.submit(id, &record, row);
        }
        self.stored.insert(id, StoredJob { id, record, row, progress: None });
    }

    fn note_ended(&mut self) {
        let site = &self.site;
        let ended: Vec<JobId> =
            self.stored.keys().copied().filter(|id| site.is_completed(*id)).collect();
        for id in ended {
            self.stored.remove(&id);
            if let Some(caller) = self.callers.get_mut(&id) {
                caller.ended = Some(self.site.now);
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let mut outcome = Outcome::default();
        for caller in self.callers.values() {
            let took = caller.ended.map(|ended| ended.since(caller.first));
            let timely = took.is_some_and(|took| took <= caller.objective);
            let waited = took.is_some_and(|took| took.0 <= 3 * caller.objective.0);
            let shares = Shares {
                jobs: 1,
                timely: u64::from(timely),
                overdue: u64::from(waited && !timely),
                refusals: u64::from(caller.refusals),
            };
            outcome.count(caller.kind, shares);
        }
        outcome
    }
}

fn random_caller(
    stream: &Stream,
    queue: &Arc<Queue>,
    number: u32,
    at: Millis,
    rng: &mut SmallRng,
) -> Caller {
    let count = rng.random_range(stream.steps - 1..=stream.steps);
    let time = Millis((stream.time.0 as f64 * rng.random_range(0.8..1.2)) as u64);
    let step = |index: u32, rng: &mut SmallRng| Step {
        count: rng.random_range(stream.tasks / 2..=stream.tasks * 3 / 2),
        need: Amount::new(rng.random_range(700..2300), rng.random_range(400..2800), 0),
        estimate: Millis((time.0 as f64 * rng.random_range(0.5..2.0)) as u64),
        after: (index > 0).then(|| index - 1).into_iter().collect(),
        ..Step::default()
    };
    let steps = (0..count).map(|index| step(index, rng)).collect();
    Caller {
        queue: Arc::clone(queue),
        kind: Kind { queue: stream.queue, floods: number == 0, second: at.0 / 1000 },
        customer: customer(number),
        plan: Arc::new(Plan { payload: "x".repeat(300).into(), steps, schedule: None }),
        times: vec![time; count as usize],
        first: START + at,
        objective: Millis(600 + u64::from(count) * time.0 * 8 / 5),
        refusals: 0,
        ended: None,
    }
}
