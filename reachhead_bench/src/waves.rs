//! Maintenance waves on generated fleets: number of batches compared with the lower bound that budgets
//! set, and number of tasks that are displaced more than once.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use reachhead_plan::pool::{Pool, TaskId};
use reachhead_pool::budget::{Budgets, MinionPlacements};
use reachhead_types::{
    fleet::{Fleet, RowKey},
    id::{HostId, ServiceName},
    pool::BudgetRow,
    size::Version,
    tree::Tree,
};
use serde_json::{Value, json};

use crate::plan::{self, SEED, SIZES, Size, round};

/// Minions of a service.
const MINIONS: usize = 10;

/// Average number of services that have minions on a host.
const SERVICES_PER_HOST: usize = 3;

/// Demand on a pool as a share of its capacity; it must leave free capacity for a batch.
const DEMAND: f64 = 0.75;

/// Number of hosts of a pool that are drained at once when displaced tasks are counted.
const BATCH: usize = 4;

/// Measures all sizes.
pub fn run() -> Value {
    let figures = SIZES.iter().map(|size| {
        let figure =
            json!({ "roll_out": measure_batches(size), "moves": measure_displacements(size) });
        (size.name.to_owned(), figure)
    });
    Value::Object(figures.collect())
}

/// Counts the batches until every host of the fleet has been drained once, each as large as the budgets
/// of the services allow, with limits of 1 and 2.
fn measure_batches(size: &Size) -> Value {
    let figure = |limit: usize| {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let mut batches = 0;
        let mut bound = 0;
        for number in 0..size.pools {
            let fleet = generate_services(size.workers / size.pools, number, limit, &mut rng);
            batches = batches.max(count_batches(&fleet));
            bound = bound.max(lower_bound(&fleet, limit));
        }
        // Pools are maintained in parallel; the naive schedule drains one host of the fleet at a time.
        json!({
            "batches": batches,
            "lower_bound": bound,
            "ratio": round(batches as f64 / bound as f64),
            "one_at_a_time": size.workers,
        })
    };
    json!({ "max_unavailable_1": figure(1), "max_unavailable_2": figure(2) })
}

/// Hosts of a pool, and the services that have minions on them.
struct PoolServices {
    hosts: Vec<HostId>,
    services: Vec<ServiceName>,
    placements: MinionPlacements,
    minions: BTreeMap<ServiceName, BTreeSet<HostId>>,
}

fn generate_services(
    hosts: usize,
    number: usize,
    limit: usize,
    rng: &mut SmallRng,
) -> PoolServices {
    let host = |index: usize| format!("w{number}-{index:03}");
    let count = (hosts * SERVICES_PER_HOST).div_ceil(MINIONS);
    let mut rows =
        vec![("group/top".to_owned(), json!({})), ("pool/p".to_owned(), json!({ "group": "top" }))];
    let mut minions: BTreeMap<ServiceName, BTreeSet<HostId>> = BTreeMap::new();
    for service in 0..count {
        let name = format!("s{service}");
        let row = json!({ "group": "top", "pool": "p", "max_unavailable": limit });
        rows.push((format!("service/{name}"), row));
        let mut places: Vec<usize> = (0..hosts).collect();
        places.shuffle(rng);
        for (index, place) in places.into_iter().take(MINIONS).enumerate() {
            let row = json!({ "address": "127.0.0.1:1", "zone": "z", "host": host(place) });
            rows.push((format!("minion/{name}/m{index}"), row));
            minions.entry(parse(&name)).or_default().insert(parse(&host(place)));
        }
    }
    let rows: BTreeMap<RowKey, Value> =
        rows.into_iter().map(|(key, value)| (parse(&key), value)).collect();
    let fleet = Fleet::from_rows(Version(1), &rows).expect("generated rows have no faults");
    PoolServices {
        hosts: (0..hosts).map(|index| parse(&host(index))).collect(),
        services: minions.keys().cloned().collect(),
        placements: MinionPlacements::new(&fleet),
        minions,
    }
}

fn parse<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("generated names are names")
}

/// Drains all hosts in the order that pool owners use, and returns the number of batches.
fn count_batches(pool_services: &PoolServices) -> usize {
    let mut remaining = pool_services.hosts.clone();
    let mut batches = 0;
    while !remaining.is_empty() {
        let empty = |service: &ServiceName| (service.clone(), BudgetRow::default());
        let mut budgets: Budgets = pool_services.services.iter().map(empty).collect();
        let due: BTreeSet<HostId> = remaining.iter().cloned().collect();
        remaining.sort_by_cached_key(|host| Reverse(pool_services.placements.priority(host, &due)));
        remaining.retain(|host| {
            let is_blocked =
                pool_services.placements.drain_blocker(host, &budgets, &BTreeSet::new()).is_some();
            if !is_blocked {
                for service in pool_services.placements.services_on(host) {
                    budgets.entry(service.clone()).or_default().held.insert(host.clone());
                }
            }
            is_blocked
        });
        batches += 1;
    }
    batches
}

/// Returns the lower bound of batches for any schedule.
///
/// Each service needs as many batches as its number of minions divided by its limit, rounded up.
fn lower_bound(pool_services: &PoolServices, limit: usize) -> usize {
    pool_services.minions.values().map(|hosts| hosts.len().div_ceil(limit)).max().unwrap_or(1)
}

/// Measures displacements in a wave over every host, per task that had to move at all.
fn measure_displacements(size: &Size) -> Value {
    let tree = plan::generate_tree(size.groups);
    let figure = |knows_wave: bool| {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let (mut displaced, mut stopped, mut moved) = (0, 0, 0);
        for number in 0..size.pools {
            let mut pool = plan::generate_pool(size, number, DEMAND, &mut rng);
            plan::settle(&mut pool, &tree);
            let round = maintain(&mut pool, &tree, knows_wave);
            displaced += round.displaced;
            stopped += round.stopped;
            moved += round.moved.len();
        }
        let per_moved = |count: usize| round(count as f64 / moved.max(1) as f64);
        json!({ "displaced_per_moved": per_moved(displaced + stopped), "called_back": per_moved(stopped) })
    };
    json!({ "ours": figure(true), "naive": figure(false), "batch": BATCH })
}

/// Results of a wave over one pool.
#[derive(Default)]
struct WaveOutcome {
    displaced: usize,
    stopped: usize,
    moved: BTreeSet<TaskId>,
}

/// Drains the hosts of a pool batch by batch while the planner places the displaced tasks again.
///
/// With `knows_wave`, the planner knows the hosts that are still due, and the emptiest are drained first.
fn maintain(pool: &mut Pool, tree: &Tree, knows_wave: bool) -> WaveOutcome {
    let mut outcome = WaveOutcome::default();
    let mut remaining: Vec<HostId> = pool.workers.keys().cloned().collect();
    for worker in pool.workers.values_mut() {
        worker.is_due = knows_wave;
    }
    while !remaining.is_empty() {
        if knows_wave {
            // Tasks displaced early may be displaced again, so the emptiest hosts are drained first.
            remaining.sort_by_cached_key(|host| tasks_on(pool, host));
        }
        let rest = remaining.split_off(BATCH.min(remaining.len()));
        let batch = std::mem::replace(&mut remaining, rest);
        for host in &batch {
            set_schedulable(pool, host, false);
        }
        let on_batch = |host: &HostId| batch.contains(host);
        let leaving: Vec<TaskId> = pool
            .tasks
            .iter()
            .filter(|(_, placed)| on_batch(&placed.worker))
            .map(|(task, _)| task.clone())
            .collect();
        for task in leaving {
            pool.tasks.remove(&task);
            outcome.displaced += 1;
            outcome.moved.insert(task);
        }
        outcome.stopped += plan::settle(pool, tree).stopped;
        for host in &batch {
            set_schedulable(pool, host, true);
            if let Some(worker) = pool.workers.get_mut(host) {
                worker.is_due = false;
            }
        }
        plan::settle(pool, tree);
    }
    outcome
}

fn tasks_on(pool: &Pool, host: &HostId) -> usize {
    pool.tasks.values().filter(|placed| placed.worker == *host).count()
}

fn set_schedulable(pool: &mut Pool, host: &HostId, is_schedulable: bool) {
    if let Some(worker) = pool.workers.get_mut(host) {
        worker.is_schedulable = is_schedulable;
    }
}
