//! Placement on generated fleets: planning time, memory, and how close groups come to their fair share.

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use reachhead_plan::{
    amount::Amount,
    planner,
    pool::{Action, Job, PlacedTask, Plan, Pool, Spread, StopReason, TaskId, Worker},
    share::{self, Shares},
};
use reachhead_types::{
    fleet::{Class, GroupRow},
    id::{GroupName, HostId},
    size::Weight,
    tree::{Overrides, Tree},
};
use serde_json::{Value, json};

/// Seed of the generated fleets.
pub const SEED: u64 = 17;

/// Number of runs of each time measurement, of which the median is taken.
const ROUNDS: usize = 9;

/// Maximum number of plans until a pool is settled.
const MAX_PLANS: usize = 50;

/// Demand on a pool as a share of its capacity; above 1, so that the fair shares matter.
pub const DEMAND: f64 = 1.2;

/// Size in bytes of the pages in which Linux counts resident memory.
const PAGE_SIZE: u64 = 4096;

/// Size of a generated fleet.
pub struct Size {
    /// Name in the printed results.
    pub name: &'static str,
    /// Total number of workers.
    pub workers: usize,
    /// Number of pools; the workers are split equally among them.
    pub pools: usize,
    /// Groups with jobs.
    pub groups: usize,
    /// Total number of accelerators.
    pub accelerators: usize,
}

/// Fleet sizes that are measured.
pub const SIZES: [Size; 4] = [
    Size { name: "today", workers: 50, pools: 2, groups: 5, accelerators: 0 },
    Size { name: "400 workers", workers: 400, pools: 8, groups: 12, accelerators: 520 },
    Size { name: "1,500 workers", workers: 1500, pools: 30, groups: 25, accelerators: 1960 },
    Size { name: "two years", workers: 4500, pools: 90, groups: 52, accelerators: 5900 },
];

/// Measures all sizes.
pub fn run() -> Value {
    let figures = SIZES.iter().map(|size| (size.name.to_owned(), measure(size)));
    Value::Object(figures.collect())
}

fn measure(size: &Size) -> Value {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let tree = generate_tree(size.groups);
    let before = resident_bytes();
    let mut pools: Vec<Pool> =
        (0..size.pools).map(|number| generate_pool(size, number, DEMAND, &mut rng)).collect();
    let actions = |pools: &[Pool]| -> usize {
        pools.iter().map(|pool| planner::plan(pool, &tree).actions.len()).sum()
    };
    let first = median_time(|| actions(&pools));
    let first_fit_pools: Vec<Pool> = pools.iter().map(first_fit).collect();
    let plans: usize = pools.iter_mut().map(|pool| settle(pool, &tree).plans).sum();
    let full = median_time(|| actions(&pools));
    let memory = resident_bytes().saturating_sub(before);
    let tasks: usize = pools.iter().map(|pool| pool.tasks.len()).sum();
    let one_changed = median_time(|| {
        let mut pool = pools[0].clone();
        let id = pool.workers.keys().next().cloned();
        if let Some(worker) = id.and_then(|id| pool.workers.get_mut(&id)) {
            worker.is_schedulable = false;
        }
        planner::plan(&pool, &tree).actions.len()
    });
    let quality = |pools: &[Pool]| measure_quality(pools, &tree);
    let (ours, naive) = (quality(&pools), quality(&first_fit_pools));
    let returned = measure_return(&mut pools, &tree);
    json!({
        "workers": size.workers,
        "pools": size.pools,
        "tasks": tasks,
        "first_plan_ms": millis(first),
        "full_plan_ms": millis(full),
        "one_changed_worker_ms": millis(one_changed),
        "memory_mb": memory as f64 / 1e6,
        "plans_to_rest": plans as f64 / size.pools as f64,
        "ours": ours,
        "first_fit": naive,
        "call_back": returned,
    })
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: String) -> T {
    text.parse().expect("generated names are names")
}

fn group_name(number: usize) -> GroupName {
    name(format!("team-{number}"))
}

/// Returns a flat tree of `groups` groups with weights from 1 to 3.
pub fn generate_tree(groups: usize) -> Tree {
    let row = |number: usize| {
        let settings =
            Overrides { weight: Some(Weight(1 + number as u32 % 3)), ..Overrides::default() };
        (group_name(number), GroupRow { parent: None, settings })
    };
    Tree::new((0..groups).map(row).collect()).expect("a flat tree has no faults")
}

/// Generates pool `number` of a fleet, with jobs until their dominant share reaches `demand`.
pub fn generate_pool(size: &Size, number: usize, demand: f64, rng: &mut SmallRng) -> Pool {
    let mut pool = Pool::default();
    let count = size.workers / size.pools;
    let mut accelerators = size.accelerators / size.pools;
    for index in 0..count {
        let worker_accelerators = accelerators.min(8);
        accelerators -= worker_accelerators;
        let worker = Worker {
            zone: name(format!("z{}", index % 3)),
            rack: name(format!("r{}", index / 4)),
            capacity: Amount::new(16_000, 32 * 1024, worker_accelerators as u64),
            is_schedulable: true,
            is_due: false,
        };
        pool.workers.insert(name(format!("w{number}-{index}")), worker);
    }
    let capacity = total_capacity(&pool);
    let mut requested = Amount::default();
    while requested.dominant_share(capacity) < demand {
        let job = generate_job(rng, size.groups, capacity.accelerators > 0);
        requested = requested.plus(job.size.times(job.tasks));
        pool.jobs.insert(name(format!("j{}", pool.jobs.len())), job);
    }
    pool
}

fn generate_job(rng: &mut SmallRng, groups: usize, has_accelerators: bool) -> Job {
    let wants_accelerators = has_accelerators && rng.random_bool(0.15);
    Job {
        group: group_name(rng.random_range(0..groups)),
        class: Class::ALL[rng.random_range(0..Class::ALL.len())],
        tasks: rng.random_range(1..=20),
        size: Amount::new(
            rng.random_range(500..=6000),
            rng.random_range(512..=12 * 1024),
            if wants_accelerators { rng.random_range(1..=4) } else { 0 },
        ),
        spread: if rng.random_bool(0.1) { Spread::Rack } else { Spread::Even },
        has_checkpoint: rng.random_bool(0.5),
    }
}

fn total_capacity(pool: &Pool) -> Amount {
    let workers = pool.workers.values();
    workers.fold(Amount::default(), |sum, worker| sum.plus(worker.capacity))
}

/// Cost of settling a pool.
#[derive(Default)]
pub struct SettleCost {
    /// Number of plans until nothing changed.
    pub plans: usize,
    /// Tasks that the planner stopped, cancelled ones not counted.
    pub stopped: usize,
    /// Tasks that were started.
    pub started: usize,
}

/// Plans and applies actions until there are none left, at most [`MAX_PLANS`] times.
pub fn settle(pool: &mut Pool, tree: &Tree) -> SettleCost {
    let mut cost = SettleCost::default();
    for _ in 0..MAX_PLANS {
        let plan = planner::plan(pool, tree);
        let was_stopping = pool.tasks.values().any(|placed| placed.is_stopping);
        if plan.actions.is_empty() && !was_stopping {
            break;
        }
        cost.plans += 1;
        apply_plan(pool, &plan, &mut cost);
    }
    cost
}

/// Applies a plan to the pool; stopped tasks leave with the next plan.
fn apply_plan(pool: &mut Pool, plan: &Plan, cost: &mut SettleCost) {
    pool.tasks.retain(|_, placed| !placed.is_stopping);
    for action in &plan.actions {
        match action {
            Action::Start { task, worker } => {
                cost.started += 1;
                let sequence = pool.tasks.len() as u64;
                let placed = PlacedTask { worker: worker.clone(), sequence, is_stopping: false };
                pool.tasks.insert(task.clone(), placed);
            }
            Action::Stop { task, reason, .. } => {
                cost.stopped += usize::from(*reason != StopReason::Cancelled);
                if let Some(placed) = pool.tasks.get_mut(task) {
                    placed.is_stopping = true;
                }
            }
        }
    }
}

/// Returns the pool with naive placement.
///
/// Jobs are placed in the order of their names, each task on the first worker with enough free capacity.
fn first_fit(pool: &Pool) -> Pool {
    let mut pool = pool.clone();
    let mut free: BTreeMap<HostId, Amount> =
        pool.workers.iter().map(|(id, worker)| (id.clone(), worker.capacity)).collect();
    for (name, job) in &pool.jobs {
        for number in 0..job.tasks {
            let Some((id, available)) =
                free.iter_mut().find(|(_, available)| job.size.fits(**available))
            else {
                break;
            };
            *available = available.minus(job.size);
            let placed = PlacedTask { worker: id.clone(), sequence: 0, is_stopping: false };
            pool.tasks.insert(TaskId { job: name.clone(), number }, placed);
        }
    }
    pool
}

/// Returns the utilization of the pools, and how much of their fair shares the groups have.
fn measure_quality(pools: &[Pool], tree: &Tree) -> Value {
    let mut utilization = 0.0;
    let mut fulfilled: Vec<f64> = Vec::new();
    for pool in pools {
        let capacity = total_capacity(pool);
        let used = by_group(pool, |name, job| {
            pool.tasks.keys().filter(|task| task.job == *name && task.number < job.tasks).count()
        });
        let all = used.values().fold(Amount::default(), |sum, used| sum.plus(*used));
        utilization += all.dominant_share(capacity) / pools.len() as f64;
        let requested = by_group(pool, |_, job| job.tasks as usize);
        let demands: Shares = requested
            .into_iter()
            .map(|(group, requested)| (group, requested.dominant_share(capacity)))
            .collect();
        for (group, fair_share) in share::fair_shares(tree, &demands, 1.0) {
            let has = used.get(&group).copied().unwrap_or_default().dominant_share(capacity);
            fulfilled.push((has / fair_share).min(1.0));
        }
    }
    fulfilled.sort_by(f64::total_cmp);
    let mean = fulfilled.iter().sum::<f64>() / fulfilled.len() as f64;
    json!({
        "filled": round(utilization),
        "owed_and_given_mean": round(mean),
        "owed_and_given_5th_percentile": round(fulfilled[fulfilled.len() / 20]),
    })
}

fn by_group(
    pool: &Pool,
    count: impl Fn(&reachhead_types::id::JobName, &Job) -> usize,
) -> BTreeMap<GroupName, Amount> {
    let mut amounts: BTreeMap<GroupName, Amount> = BTreeMap::new();
    for (name, job) in &pool.jobs {
        let amount = amounts.entry(job.group.clone()).or_default();
        *amount = amount.plus(job.size.times(count(name, job) as u32));
    }
    amounts
}

/// Submits urgent work for a tenth of each full pool, of a group that returns, and measures how many
/// tasks are displaced for each task of it that starts.
fn measure_return(pools: &mut [Pool], tree: &Tree) -> Value {
    let (mut started, mut displaced, mut requested, mut max_plans) = (0, 0, 0, 0);
    for pool in pools.iter_mut() {
        let tasks = pool.workers.len() as u32 * 16 / 10 / 2;
        let job = Job {
            group: group_name(0),
            class: Class::Urgent,
            tasks,
            size: Amount::new(2000, 2048, 0),
            spread: Spread::Even,
            has_checkpoint: false,
        };
        let id: reachhead_types::id::JobName = name("returning".to_owned());
        pool.jobs.insert(id.clone(), job);
        let cost = settle(pool, tree);
        requested += tasks as usize;
        max_plans = max_plans.max(cost.plans);
        displaced += cost.stopped;
        started += pool.tasks.keys().filter(|task| task.job == id).count();
    }
    json!({
        "wanted": requested,
        "started": started,
        "displaced_per_started": round(displaced as f64 / started.max(1) as f64),
        "most_plans": max_plans,
    })
}

/// Returns the median time of [`ROUNDS`] runs.
fn median_time<T>(mut run: impl FnMut() -> T) -> Duration {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            std::hint::black_box(run());
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

fn millis(time: Duration) -> f64 {
    round(time.as_secs_f64() * 1000.0)
}

pub fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// Returns this process's resident memory in bytes.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_SIZE
}
