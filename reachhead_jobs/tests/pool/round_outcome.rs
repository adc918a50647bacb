//! Tests of what a round reports to the detector of the need for dispatchers.

use std::sync::Arc;

use reachhead_jobs::{
    customer::{Customer, Customers, Quota},
    model::Step,
    record::JobRecord,
    start_pace::{StartBudget, StartPacer},
};
use reachhead_plan::amount::Amount;
use reachhead_property::properties;
use reachhead_types::{
    id::{CustomerName, JobId},
    size::{ByteRate, Millis, Revision, Weight},
};

use crate::fixture::{Fixture, info, record, step};

/// Returns a budget for so many orders.
fn budget(fixture: &Fixture, orders: u32) -> StartBudget {
    let mut budget = StartPacer::new(ByteRate(1 << 40), 10.0, fixture.now).budget(fixture.now);
    let whole = (0..).take_while(|_| {
        let had_room = budget.has_room();
        budget.take("");
        had_room
    });
    let surplus = whole.count() as u32 - orders;
    let mut budget = StartPacer::new(ByteRate(1 << 40), 10.0, fixture.now).budget(fixture.now);
    (0..surplus).for_each(|_| budget.take(""));
    budget
}

fn customer() -> CustomerName {
    "one".parse().unwrap()
}

/// A pool with a customer who has not been allotted anything yet, so that none of its tasks may start.
fn pool(cores: &[u64]) -> Fixture {
    let infos = cores.iter().enumerate().map(|(number, cores)| info(&format!("w{number}"), *cores));
    let mut fixture = Fixture::ready(infos.collect());
    let quota = Quota(Amount::new(1000, 0, 0));
    let held = Customer { name: customer(), weight: Weight(1), quota };
    fixture.pool.configure(&Arc::new(Customers::new().with_customer(held, [])));
    fixture
}

fn submit(fixture: &mut Fixture, id: u64, steps: Vec<Step>, held: bool) {
    let record = JobRecord { customer: held.then(customer), ..record(steps, fixture.now.0) };
    let now = fixture.now;
    fixture.pool.submit(JobId(id), &record, Revision(50 + id), now, Millis(now.0));
}

properties! {
    /// Dispatch began for pools that could not have started more: their workers were full, quotas
    /// held tasks back, or nothing waited. The naive version starts what it can without a budget.
    fn a_round_is_limited_if_it_would_start_more_without_a_budget(
        workers: Vec<u8>,
        jobs: Vec<(u8, u8, bool, bool)>,
        orders: u8
    ) -> bool {
        let cores: Vec<u64> = workers.iter().take(3).map(|cores| u64::from(cores % 8)).collect();
        let mut fixture = pool(&cores);
        for (id, (count, need, gang, held)) in (1..).zip(jobs.into_iter().take(8)) {
            let first = Step {
                need: Amount::new(1000 * u64::from(need % 4 + 1), 100, 0),
                gang,
                ..step(u32::from(count % 4 + 1))
            };
            let second = Step { after: vec![0], ..step(1) };
            submit(&mut fixture, id, vec![first, second], held);
        }
        let budget = budget(&fixture, u32::from(orders % 16));
        fixture.pool.set_start_budget(budget);
        let started = fixture.starts().len();
        let outcome = fixture.pool.round_outcome();
        fixture.pool.set_start_budget(StartBudget::unlimited());
        let more = !fixture.starts().is_empty();
        outcome.started as usize == started && outcome.limited == more
    }
}

/// A round without starts must not repeat the outcome of the one before it.
#[test]
fn the_outcome_is_that_of_the_last_round() {
    let mut fixture = pool(&[8]);
    submit(&mut fixture, 1, vec![step(4)], false);
    let limited = budget(&fixture, 2);
    fixture.pool.set_start_budget(limited);
    let orders = fixture.starts();
    let outcome = fixture.pool.round_outcome();
    assert_eq!((orders.len(), outcome.started, outcome.limited), (2, 2, true));
    fixture.pool.set_start_budget(StartBudget::unlimited());
    fixture.starts();
    fixture.starts();
    assert_eq!(fixture.pool.round_outcome(), Default::default());
}
