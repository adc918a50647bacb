//! Maintenance rounds on generated fleets: batches against the bound that budgets set, and tasks that are
//! displaced more than once.

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

/// Services with minions on each host, on average.
const DENSITY: usize = 3;

/// What the tasks ask of a pool: it must leave room for a batch.
const DEMAND: f64 = 0.75;

/// Hosts of a pool that are drained at once in the simulation of tasks.
const BATCH: usize = 4;

/// Measures every size.
pub fn run() -> Value {
    let figures = SIZES.iter().map(|size| {
        let figure = json!({ "roll_out": roll_out(size), "moves": moves(size) });
        (size.name.to_owned(), figure)
    });
    Value::Object(figures.collect())
}

/// Batches until every host of the fleet has been drained once, each batch as large as the budgets of
/// services allow, with limits of 1 and 2.
fn roll_out(size: &Size) -> Value {
    let figure = |limit: usize| {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let mut batches = 0;
        let mut bound = 0;
        for number in 0..size.pools {
            let fleet = services(size.workers / size.pools, number, limit, &mut rng);
            batches = batches.max(count_batches(&fleet));
            bound = bound.max(lower_bound(&fleet, limit));
        }
        // Pools are maintained at the same time; one host of the fleet at a time is the naive way.
        json!({
            "batches": batches,
            "lower_bound": bound,
            "ratio": round(batches as f64 / bound as f64),
            "one_at_a_time": size.workers,
        })
    };
    json!({ "max_unavailable_1": figure(1), "max_unavailable_2": figure(2) })
}

/// The hosts of a pool with the services that have minions there.
struct Site {
    hosts: Vec<HostId>,
    services: Vec<ServiceName>,
    loads: MinionPlacements,
    minions: BTreeMap<ServiceName, BTreeSet<HostId>>,
}

fn services(hosts: usize, number: usize, limit: usize, rng: &mut SmallRng) -> Site {
    let host = |index: usize| format!("w{number}-{index:03}");
    let count = (hosts * DENSITY).div_ceil(MINIONS);
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
    Site {
        hosts: (0..hosts).map(|index| parse(&host(index))).collect(),
        services: minions.keys().cloned().collect(),
        loads: MinionPlacements::new(&fleet),
        minions,
    }
}

fn parse<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("generated names are names")
}

/// Lets hosts set out in the order in which owners of pools do, until all have been through.
fn count_batches(site: &Site) -> usize {
    let mut left = site.hosts.clone();
    let mut batches = 0;
    while !left.is_empty() {
        let empty = |service: &ServiceName| (service.clone(), BudgetRow::default());
        let mut budgets: Budgets = site.services.iter().map(empty).collect();
        let undone: BTreeSet<HostId> = left.iter().cloned().collect();
        left.sort_by_cached_key(|host| Reverse(site.loads.priority(host, &undone)));
        left.retain(|host| {
            let is_held = site.loads.drain_blocker(host, &budgets, &BTreeSet::new()).is_some();
            if !is_held {
                for service in site.loads.services_on(host) {
                    budgets.entry(service.clone()).or_default().held.insert(host.clone());
                }
            }
            is_held
        });
        batches += 1;
    }
    batches
}

/// Each service needs as many batches as its minions fill its budget; so does no schedule fewer.
fn lower_bound(site: &Site, limit: usize) -> usize {
    site.minions.values().map(|hosts| hosts.len().div_ceil(limit)).max().unwrap_or(1)
}

/// Tasks that are displaced in a round over every host, for each task that had to move at all.
fn moves(size: &Size) -> Value {
    let tree = plan::tree(size.groups);
    let figure = |knows_wave: bool| {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let (mut displaced, mut called_back, mut moved) = (0, 0, 0);
        for number in 0..size.pools {
            let mut pool = plan::pool(size, number, DEMAND, &mut rng);
            plan::settle(&mut pool, &tree);
            let round = maintain(&mut pool, &tree, knows_wave);
            displaced += round.displaced;
            called_back += round.called_back;
            moved += round.moved.len();
        }
        let share = |count: usize| round(count as f64 / moved.max(1) as f64);
        json!({ "displaced_per_moved": share(displaced + called_back), "called_back": share(called_back) })
    };
    json!({ "ours": figure(true), "naive": figure(false), "batch": BATCH })
}

#[derive(Default)]
struct Maintained {
    displaced: usize,
    called_back: usize,
    moved: BTreeSet<TaskId>,
}

/// Drains the hosts of a pool batch by batch, and lets the planner find other places.
fn maintain(pool: &mut Pool, tree: &Tree, knows_wave: bool) -> Maintained {
    let mut done = Maintained::default();
    let mut left: Vec<HostId> = pool.workers.keys().cloned().collect();
    for worker in pool.workers.values_mut() {
        worker.is_due = knows_wave;
    }
    while !left.is_empty() {
        if knows_wave {
            // What is displaced first is displaced twice, so the emptiest go first.
            left.sort_by_cached_key(|host| tasks_on(pool, host));
        }
        let rest = left.split_off(BATCH.min(left.len()));
        let batch = std::mem::replace(&mut left, rest);
        for host in &batch {
            set_open(pool, host, false);
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
            done.displaced += 1;
            done.moved.insert(task);
        }
        done.called_back += plan::settle(pool, tree).called_back;
        for host in &batch {
            set_open(pool, host, true);
            if let Some(worker) = pool.workers.get_mut(host) {
                worker.is_due = false;
            }
        }
        plan::settle(pool, tree);
    }
    done
}

fn tasks_on(pool: &Pool, host: &HostId) -> usize {
    pool.tasks.values().filter(|placed| placed.worker == *host).count()
}

fn set_open(pool: &mut Pool, host: &HostId, is_open: bool) {
    if let Some(worker) = pool.workers.get_mut(host) {
        worker.is_schedulable = is_open;
    }
}
