//! Tests of the quota ledger and the owners of pools over a network that loses, repeats and delays
//! messages, while owners and the ledger's process are replaced.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

mod simulation;

use std::{collections::BTreeMap, sync::Arc};

use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    pool::PoolTimeouts,
    ports::StartOrder,
    quota::{
        Allotment, CustomerLimits, CustomerUsage, LIMIT_EXPIRY, Ledger, UsageReport,
        max_orphan_time,
    },
    task::TaskId,
};
use reachhead_plan::amount::Amount;
use reachhead_site::incarnation::{TaskBehavior, WorkerIncarnation};
use reachhead_types::{
    id::JobId,
    size::{FencingToken, Millis, RunNumber},
};

use self::simulation::{POOLS, Simulation, customer, customers, pool};

/// Number of random schedules.
const SCHEDULES: u64 = 400;

/// Number of steps in a schedule.
const STEPS: u32 = 600;

#[test]
fn no_start_exceeds_a_quota_under_failures() {
    for seed in 0..SCHEDULES {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        assert!(simulation.started > 0, "seed {seed}: nothing ever started");
    }
}

#[test]
fn a_customer_below_its_quota_starts_tasks_soon_after_recovery() {
    for seed in 0..SCHEDULES {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        simulation.recover();
        for pool in 0..POOLS {
            assert!(simulation.starts_soon(pool), "seed {seed}: pool {pool} starts nothing");
        }
    }
}

fn cores(cores: u64) -> Amount {
    Amount::new(cores, 0, 0)
}

fn usage(limit: u64, used: u64, next: u64) -> CustomerUsage {
    CustomerUsage { limit: cores(limit), used: cores(used), wanted: cores(next), next: cores(next) }
}

/// Runs a round in which every owner applies its limits and wants to start one more task of `next`
/// cores.
fn round(ledger: &mut Ledger, quota: u64, limits: &mut BTreeMap<usize, u64>, next: u64) {
    let pools: Vec<_> = (0..POOLS).map(pool).collect();
    for (name, message) in ledger.round(pools.iter(), &customers(quota), Tick(1)) {
        let place = pools.iter().position(|pool| *pool == name).unwrap();
        let limit = limits.entry(place).or_default();
        if message.owner.is_some() {
            *limit = message.limits.get(&customer()).map_or(*limit, |limit| limit.cores);
        }
        let customers = BTreeMap::from([(customer(), usage(*limit, 0, next))]);
        let report = UsageReport { owner: FencingToken(9), whole: true, customers };
        ledger.process_report(&name, &message, report, Tick(1));
    }
}

#[test]
fn a_quota_too_small_for_a_task_in_each_pool_goes_to_whole_tasks() {
    let mut ledger = Ledger::new(FencingToken(1), Millis(0), Tick(0));
    let mut limits = BTreeMap::new();
    for _ in 0..4 {
        round(&mut ledger, 8000, &mut limits, 3300);
    }
    let able = limits.values().filter(|limit| **limit >= 3300).count();
    assert_eq!(able, 2, "{limits:?}");
    assert!(limits.values().sum::<u64>() <= 8000, "{limits:?}");
}

#[test]
fn a_task_larger_than_the_whole_quota_may_run_alone() {
    let mut ledger = Ledger::new(FencingToken(1), Millis(0), Tick(0));
    let mut limits = BTreeMap::new();
    for _ in 0..4 {
        round(&mut ledger, 2000, &mut limits, 3300);
    }
    assert_eq!(limits.values().filter(|limit| **limit >= 3300).count(), 1, "{limits:?}");
    assert_eq!(limits.values().sum::<u64>(), 3300, "{limits:?}");
}

#[test]
fn an_unused_quota_is_spread_over_all_pools() {
    let mut ledger = Ledger::new(FencingToken(1), Millis(0), Tick(0));
    let mut limits = BTreeMap::new();
    for _ in 0..3 {
        round(&mut ledger, 8000, &mut limits, 0);
    }
    assert_eq!(limits.values().copied().collect::<Vec<_>>(), vec![2000; POOLS], "{limits:?}");
}

#[test]
fn an_unanswered_owner_keeps_a_new_ledger_from_raising_limits() {
    let mut ledger = Ledger::new(FencingToken(1), Millis(10_000), Tick(0));
    let pools: Vec<_> = (0..POOLS).map(pool).collect();
    for time in [1, 100, 9000] {
        for (name, message) in ledger.round(pools.iter(), &customers(8000), Tick(time)) {
            assert!(message.limits.is_empty(), "raised at {time} ms: {message:?}");
            if name != pool(0) {
                let customers = BTreeMap::from([(customer(), usage(0, 0, 1000))]);
                let report = UsageReport { owner: FencingToken(9), whole: true, customers };
                ledger.process_report(&name, &message, report, Tick(time));
            }
        }
    }
    // Whatever the previous owner let that pool start has certainly ended.
    let messages = ledger.round(pools.iter(), &customers(8000), Tick(10_000));
    assert!(messages.iter().any(|(_, message)| !message.limits.is_empty()));
}

/// Returns the timeouts of a deployment whose workers grant a longer lease than owners order.
fn timeouts() -> PoolTimeouts {
    PoolTimeouts {
        hold: Millis(4500),
        trust: Millis(4000),
        wait: Millis(1000),
        notice: Millis(4500),
        gang: Millis(3000),
        stop: Millis(400),
        grant: Millis(10_000),
        drain: Millis(4000),
    }
}

/// Returns whether a round of the ledger raises a limit, where the owners of all pools but the first one
/// answer and have tasks that wait.
fn raises(ledger: &mut Ledger, quota: u64, now: Tick) -> bool {
    let pools: Vec<_> = (0..POOLS).map(pool).collect();
    let messages = ledger.round(pools.iter(), &customers(quota), now);
    let has_raised = messages.iter().any(|(_, message)| !message.limits.is_empty());
    for (name, message) in messages.into_iter().filter(|(name, _)| *name != pool(0)) {
        let customers = BTreeMap::from([(customer(), usage(0, 0, quota))]);
        let report = UsageReport { owner: FencingToken(9), whole: true, customers };
        ledger.process_report(&name, &message, report, now);
    }
    has_raised
}

/// An owner and the ledger were lost together. The owner had started a task as its limits expired, on a worker
/// that had restarted unnoticed and held the run for the longest lease. The new ledger counted the usual lease,
/// and gave the whole quota to other pools beside that run.
#[test]
fn a_new_ledger_raises_nothing_beside_a_run_of_an_unnoticed_incarnation() {
    let (quota, timeouts, begun) = (8000, timeouts(), Tick(1000));
    let mut limits = CustomerLimits::new();
    limits.configure(&Arc::new(customers(quota)));
    let earlier = Allotment {
        ledger: FencingToken(1),
        round: 1,
        owner: Some(FencingToken(5)),
        limits: BTreeMap::from([(customer(), cores(quota))]),
        last_report: 0,
    };
    limits.apply(&earlier, FencingToken(5));
    // It reads the leases as late as it trusts its own.
    let noticed = begun + timeouts.trust;
    limits.observe_ledger(FencingToken(2), noticed);
    let last = noticed + LIMIT_EXPIRY;
    limits.expire(last);
    assert!(limits.allows(&customer(), cores(0), cores(quota)), "the last moment of the limits");
    let order = StartOrder {
        task: TaskId { job: JobId(1), occurrence: 0, step: 0, index: 0 },
        run: RunNumber(1),
        payload: "x".into(),
        // By the clock of the incarnation that the owner knows, which had run for long.
        deadline: WorkerTime(1_000_000 + timeouts.hold.0),
        checkpoint: None,
        ticket: None,
    };
    let behavior = TaskBehavior { time: None, fails: false, crashes: false };
    let mut incarnation = WorkerIncarnation::new(0, cores(quota)).with_max_lease(timeouts.grant.0);
    incarnation.start(FencingToken(5), &order, behavior, last.0).unwrap();
    let mut ledger = Ledger::new(FencingToken(2), max_orphan_time(&timeouts), begun);
    let end = last + timeouts.grant + Millis(1000);
    for now in (begun.0..end.0).step_by(50).map(Tick) {
        incarnation.advance(now.0);
        let is_running = now < last || !incarnation.running.is_empty();
        if raises(&mut ledger, quota, now) {
            assert!(!is_running, "raised {} after the start", now.since(last));
            return;
        }
    }
    panic!("the ledger waits for too long");
}
