//! Tests of customer quotas in a pool.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_jobs::{
    customer::{Customer, Customers, Quota},
    model::Step,
    ports::RunEnd,
    quota::{Allotment, UsageReport},
    record::JobRecord,
    task::TaskId,
};
use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{CustomerName, JobId, WorkerId},
    size::{FencingToken, Millis, Revision, Weight},
};

use crate::fixture::{Fixture, info, record, recovered, step, task, worker};

fn one() -> CustomerName {
    "one".parse().unwrap()
}

fn customers(cores: u64) -> Arc<Customers> {
    let quota = Quota(Amount::new(cores * 1000, 0, 0));
    Arc::new(Customers::new().with_customer(Customer { name: one(), weight: Weight(9), quota }, []))
}

/// Fencing token of the fixture's owner.
const OWNER: FencingToken = FencingToken(7);

fn allot(fixture: &mut Fixture, round: u64, cores: u64) -> UsageReport {
    let limits = BTreeMap::from([(one(), Amount::new(cores * 1000, 0, 0))]);
    let message =
        Allotment { ledger: FencingToken(1), round, owner: Some(OWNER), limits, last_report: 0 };
    fixture.pool.allot(&message)
}

fn submit(fixture: &mut Fixture, id: u64, customer: Option<CustomerName>, steps: Vec<Step>) {
    let record = JobRecord { customer, ..record(steps, fixture.now.0) };
    let now = fixture.now;
    fixture.pool.submit(JobId(id), &record, Revision(50 + id), now, Millis(now.0));
}

fn limited(cores: u64) -> Fixture {
    let mut fixture = Fixture::ready(vec![info("w1", 16), info("w2", 16)]);
    fixture.pool.configure(&customers(cores));
    fixture
}

/// Accepts all start orders of the next round, and returns the started tasks with their workers.
fn start_all(fixture: &mut Fixture) -> Vec<(WorkerId, TaskId)> {
    let starts = fixture.starts();
    for (worker, order) in &starts {
        fixture.accept(worker, order);
    }
    starts.into_iter().map(|(worker, order)| (worker, order.task)).collect()
}

#[test]
fn a_customer_with_a_quota_starts_no_tasks_before_the_first_allotment() {
    let mut fixture = limited(8);
    submit(&mut fixture, 1, Some(one()), vec![step(4)]);
    submit(&mut fixture, 2, None, vec![step(2)]);
    let started = start_all(&mut fixture);
    assert!(started.iter().all(|(_, task)| task.job == JobId(2)), "{started:?}");
    assert_eq!(started.len(), 2, "a job without a quota does not wait");
    allot(&mut fixture, 1, 4);
    assert_eq!(start_all(&mut fixture).len(), 4);
}

#[test]
fn a_step_wider_than_the_limit_runs_in_parts() {
    let mut fixture = limited(8);
    submit(&mut fixture, 1, Some(one()), vec![step(7)]);
    allot(&mut fixture, 1, 3);
    let mut left = 7;
    while left > 0 {
        let started = start_all(&mut fixture);
        assert!(!started.is_empty() && started.len() <= 3, "{started:?}");
        assert_eq!(start_all(&mut fixture), [], "the limit is reached");
        left -= started.len();
        for (name, task) in &started {
            fixture.end(name, *task, 1, RunEnd::Done);
        }
        for name in ["w1", "w2"] {
            fixture.report(&worker(name));
        }
    }
}

#[test]
fn a_lower_limit_stops_starts_at_once_and_running_tasks_still_count() {
    let mut fixture = limited(8);
    allot(&mut fixture, 1, 8);
    submit(&mut fixture, 1, Some(one()), vec![step(4)]);
    assert_eq!(start_all(&mut fixture).len(), 4);
    let report = allot(&mut fixture, 2, 2);
    assert_eq!(report.customers[&one()].held().cores, 4000, "running tasks count as held");
    submit(&mut fixture, 2, Some(one()), vec![step(4)]);
    assert_eq!(start_all(&mut fixture), []);
    let report = allot(&mut fixture, 3, 2);
    assert_eq!(
        report.customers[&one()].next.cores,
        1000,
        "waiting tasks are reported to the ledger"
    );
}

#[test]
fn a_lowered_quota_applies_before_the_ledger_has_divided_it() {
    let mut fixture = limited(8);
    allot(&mut fixture, 1, 8);
    submit(&mut fixture, 1, Some(one()), vec![step(2)]);
    assert_eq!(start_all(&mut fixture).len(), 2);
    fixture.pool.configure(&customers(3));
    submit(&mut fixture, 2, Some(one()), vec![step(4)]);
    assert_eq!(start_all(&mut fixture).len(), 1);
}

#[test]
fn an_allotment_for_another_owner_or_from_an_earlier_ledger_is_ignored() {
    let mut fixture = limited(8);
    submit(&mut fixture, 1, Some(one()), vec![step(4)]);
    let limits = BTreeMap::from([(one(), Amount::new(8000, 0, 0))]);
    let message = Allotment {
        ledger: FencingToken(5),
        round: 3,
        owner: Some(FencingToken(6)),
        limits,
        last_report: 0,
    };
    fixture.pool.allot(&message);
    assert_eq!(start_all(&mut fixture), [], "the allotment is for the predecessor");
    let late = Allotment { ledger: FencingToken(4), owner: Some(OWNER), ..message };
    fixture.pool.allot(&late);
    assert_eq!(start_all(&mut fixture), [], "a newer ledger has been seen");
}

#[test]
fn limits_expire_seconds_after_the_ledger_changes_hands() {
    let mut fixture = limited(8);
    allot(&mut fixture, 1, 8);
    fixture.pool.follow_ledger(FencingToken(2), fixture.now);
    submit(&mut fixture, 1, Some(one()), vec![step(1)]);
    assert_eq!(start_all(&mut fixture).len(), 1, "limits stay valid at first");
    fixture.advance(2100);
    submit(&mut fixture, 2, Some(one()), vec![step(1)]);
    assert_eq!(start_all(&mut fixture), []);
    assert_eq!(
        allot(&mut fixture, 9, 8).customers[&one()].limit.cores,
        0,
        "an allotment of the old ledger is ignored"
    );
}

#[test]
fn tasks_a_predecessor_may_have_started_on_unanswered_workers_count_as_usage() {
    let mut found = recovered(vec![(1, vec![step(5)])], vec![("w1", None), ("w2", None)]);
    for job in &mut found.jobs {
        job.record.customer = Some(one());
    }
    let mut fixture = Fixture::new(found, vec![info("w1", 2), info("w2", 2)]);
    fixture.pool.configure(&customers(8));
    fixture.poll();
    let report = allot(&mut fixture, 1, 0);
    assert_eq!(
        report.customers[&one()].held().cores,
        4000,
        "no more than the capacity of the two workers"
    );
    fixture.set_running(&worker("w1"), task(1, 0, 0), 1, 10);
    fixture.report(&worker("w1"));
    let report = allot(&mut fixture, 2, 0);
    assert_eq!(
        report.customers[&one()].held().cores,
        3000,
        "one runs, and two may run on the other worker"
    );
    fixture.report(&worker("w2"));
    let report = allot(&mut fixture, 3, 0);
    assert_eq!(report.customers[&one()].held().cores, 1000);
}

#[test]
fn work_held_back_by_a_quota_requests_no_hosts() {
    let mut fixture = limited(8);
    allot(&mut fixture, 1, 2);
    submit(&mut fixture, 1, Some(one()), vec![Step { estimate: Millis(4000), ..step(2) }]);
    assert_eq!(start_all(&mut fixture).len(), 2);
    fixture.advance(2000);
    let before = fixture.pool.load(fixture.now);
    fixture.poll();
    submit(&mut fixture, 2, Some(one()), vec![Step { estimate: Millis(4000), ..step(30) }]);
    assert_eq!(start_all(&mut fixture), []);
    let load = fixture.pool.load(fixture.now);
    assert_eq!((load.need, load.timely), (before.need, before.timely), "{load:?}");
}

#[test]
fn the_excess_of_one_customer_comes_after_what_others_are_owed() {
    let two: CustomerName = "two".parse().unwrap();
    let customer = |name: &CustomerName, weight| Customer {
        name: name.clone(),
        weight: Weight(weight),
        quota: Quota::default(),
    };
    let customers = Customers::new()
        .with_customer(customer(&one(), 3), [])
        .with_customer(customer(&two, 3), []);
    let mut fixture = Fixture::ready(vec![info("w1", 4)]);
    fixture.pool.configure(&Arc::new(customers));
    for id in 1..=40 {
        submit(&mut fixture, id, Some(one()), vec![step(1)]);
    }
    for id in 41..=43 {
        submit(&mut fixture, id, Some(two.clone()), vec![step(1)]);
    }
    let started: Vec<u64> = start_all(&mut fixture).iter().map(|(_, task)| task.job.0).collect();
    assert_eq!(started.len(), 4, "as many as the worker has capacity for");
    let owed = |id: &u64| *id <= 3 || *id > 40;
    assert!(started.iter().all(owed), "{started:?}");
    // What is owed is served completely before the rest, whatever the rank of the rest.
    for id in &started {
        fixture.end(&worker("w1"), task(*id, 0, 0), 1, RunEnd::Done);
    }
    fixture.report(&worker("w1"));
    let next: Vec<u64> = start_all(&mut fixture).iter().map(|(_, task)| task.job.0).collect();
    assert_eq!(next.iter().filter(|id| owed(id)).count(), 2, "{next:?}");
    assert_eq!(next.len(), 4, "the excess takes the rest");
}
