//! Placement on generated fleets: time, memory, and how well groups get what they are owed.

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

/// Times that each figure of time is taken; the median counts.
const ROUNDS: usize = 9;

/// Plans until a pool is at rest, at most.
const REST_LIMIT: usize = 50;

/// What is asked of a pool, as a share of what it has: more than there is, so that shares matter.
pub const DEMAND: f64 = 1.2;

/// Bytes of a memory page as Linux counts resident memory.
const PAGE: u64 = 4096;

/// A size of fleet.
pub struct Size {
    /// Its name.
    pub name: &'static str,
    /// Workers in all.
    pub workers: usize,
    /// Pools, of as many workers each.
    pub pools: usize,
    /// Groups with jobs.
    pub groups: usize,
    /// Accelerators in all.
    pub accelerators: usize,
}

pub const SIZES: [Size; 4] = [
    Size { name: "today", workers: 50, pools: 2, groups: 5, accelerators: 0 },
    Size { name: "400 workers", workers: 400, pools: 8, groups: 12, accelerators: 520 },
    Size { name: "1,500 workers", workers: 1500, pools: 30, groups: 25, accelerators: 1960 },
    Size { name: "two years", workers: 4500, pools: 90, groups: 52, accelerators: 5900 },
];

/// Measures every size.
pub fn run() -> Value {
    let figures = SIZES.iter().map(|size| (size.name.to_owned(), measure(size)));
    Value::Object(figures.collect())
}

fn measure(size: &Size) -> Value {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let tree = tree(size.groups);
    let before = resident();
    let mut pools: Vec<Pool> =
        (0..size.pools).map(|number| pool(size, number, DEMAND, &mut rng)).collect();
    let actions = |pools: &[Pool]| -> usize {
        pools.iter().map(|pool| planner::plan(pool, &tree).actions.len()).sum()
    };
    let first = time(|| actions(&pools));
    let naive_pools: Vec<Pool> = pools.iter().map(first_fit).collect();
    let plans: usize = pools.iter_mut().map(|pool| settle(pool, &tree).plans).sum();
    let full = time(|| actions(&pools));
    let memory = resident().saturating_sub(before);
    let tasks: usize = pools.iter().map(|pool| pool.tasks.len()).sum();
    let one = time(|| {
        let mut pool = pools[0].clone();
        let id = pool.workers.keys().next().cloned();
        if let Some(worker) = id.and_then(|id| pool.workers.get_mut(&id)) {
            worker.is_schedulable = false;
        }
        planner::plan(&pool, &tree).actions.len()
    });
    let quality = |pools: &[Pool]| quality(pools, &tree);
    let (ours, naive) = (quality(&pools), quality(&naive_pools));
    let returned = call_back(&mut pools, &tree);
    json!({
        "workers": size.workers,
        "pools": size.pools,
        "tasks": tasks,
        "first_plan_ms": millis(first),
        "full_plan_ms": millis(full),
        "one_changed_worker_ms": millis(one),
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

fn group(number: usize) -> GroupName {
    name(format!("team-{number}"))
}

pub fn tree(groups: usize) -> Tree {
    let row = |number: usize| {
        let settings =
            Overrides { weight: Some(Weight(1 + number as u32 % 3)), ..Overrides::default() };
        (group(number), GroupRow { parent: None, settings })
    };
    Tree::new((0..groups).map(row).collect()).expect("a flat tree has no faults")
}

pub fn pool(size: &Size, number: usize, demand: f64, rng: &mut SmallRng) -> Pool {
    let mut pool = Pool::default();
    let count = size.workers / size.pools;
    let mut accelerators = size.accelerators / size.pools;
    for index in 0..count {
        let own = accelerators.min(8);
        accelerators -= own;
        let worker = Worker {
            zone: name(format!("z{}", index % 3)),
            rack: name(format!("r{}", index / 4)),
            capacity: Amount::new(16_000, 32 * 1024, own as u64),
            is_schedulable: true,
            is_due: false,
        };
        pool.workers.insert(name(format!("w{number}-{index}")), worker);
    }
    let capacity = capacity(&pool);
    let mut asked = Amount::default();
    while asked.dominant_share(capacity) < demand {
        let job = job(rng, size.groups, capacity.accelerators > 0);
        asked = asked.plus(job.size.times(job.tasks));
        pool.jobs.insert(name(format!("j{}", pool.jobs.len())), job);
    }
    pool
}

fn job(rng: &mut SmallRng, groups: usize, has_accelerators: bool) -> Job {
    let wants_accelerators = has_accelerators && rng.random_bool(0.15);
    Job {
        group: group(rng.random_range(0..groups)),
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

fn capacity(pool: &Pool) -> Amount {
    let workers = pool.workers.values();
    workers.fold(Amount::default(), |sum, worker| sum.plus(worker.capacity))
}

/// What it took to bring a pool to rest.
#[derive(Default)]
pub struct Settled {
    /// Plans until nothing changed.
    pub plans: usize,
    /// Tasks that lost their place.
    pub called_back: usize,
    /// Tasks that got one.
    pub started: usize,
}

pub fn settle(pool: &mut Pool, tree: &Tree) -> Settled {
    let mut settled = Settled::default();
    for _ in 0..REST_LIMIT {
        let plan = planner::plan(pool, tree);
        let was_stopping = pool.tasks.values().any(|placed| placed.is_stopping);
        if plan.actions.is_empty() && !was_stopping {
            break;
        }
        settled.plans += 1;
        carry_out(pool, &plan, &mut settled);
    }
    settled
}

fn carry_out(pool: &mut Pool, plan: &Plan, settled: &mut Settled) {
    pool.tasks.retain(|_, placed| !placed.is_stopping);
    for action in &plan.actions {
        match action {
            Action::Start { task, worker } => {
                settled.started += 1;
                let sequence = pool.tasks.len() as u64;
                let placed = PlacedTask { worker: worker.clone(), sequence, is_stopping: false };
                pool.tasks.insert(task.clone(), placed);
            }
            Action::Stop { task, reason, .. } => {
                settled.called_back += usize::from(*reason != StopReason::Cancelled);
                if let Some(placed) = pool.tasks.get_mut(task) {
                    placed.is_stopping = true;
                }
            }
        }
    }
}

/// The naive version: jobs in the order of their names, each task on the first worker with room.
fn first_fit(pool: &Pool) -> Pool {
    let mut pool = pool.clone();
    let mut free: BTreeMap<HostId, Amount> =
        pool.workers.iter().map(|(id, worker)| (id.clone(), worker.capacity)).collect();
    for (name, job) in &pool.jobs {
        for number in 0..job.tasks {
            let Some((id, room)) = free.iter_mut().find(|(_, room)| job.size.fits(**room)) else {
                break;
            };
            *room = room.minus(job.size);
            let placed = PlacedTask { worker: id.clone(), sequence: 0, is_stopping: false };
            pool.tasks.insert(TaskId { job: name.clone(), number }, placed);
        }
    }
    pool
}

/// How full the pools are, and how much of what they are owed the groups have.
fn quality(pools: &[Pool], tree: &Tree) -> Value {
    let mut filled = 0.0;
    let mut satisfied: Vec<f64> = Vec::new();
    for pool in pools {
        let capacity = capacity(pool);
        let used = by_group(pool, |name, job| {
            pool.tasks.keys().filter(|task| task.job == *name && task.number < job.tasks).count()
        });
        let all = used.values().fold(Amount::default(), |sum, used| sum.plus(*used));
        filled += all.dominant_share(capacity) / pools.len() as f64;
        let asked = by_group(pool, |_, job| job.tasks as usize);
        let demands: Shares = asked
            .into_iter()
            .map(|(group, asked)| (group, asked.dominant_share(capacity)))
            .collect();
        for (group, owed) in share::fair_shares(tree, &demands, 1.0) {
            let has = used.get(&group).copied().unwrap_or_default().dominant_share(capacity);
            satisfied.push((has / owed).min(1.0));
        }
    }
    satisfied.sort_by(f64::total_cmp);
    let mean = satisfied.iter().sum::<f64>() / satisfied.len() as f64;
    json!({
        "filled": round(filled),
        "owed_and_given_mean": round(mean),
        "owed_and_given_5th_percentile": round(satisfied[satisfied.len() / 20]),
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

/// A group comes back to each full pool with urgent work for a tenth of it: how much is displaced for
/// each task of it that is started.
fn call_back(pools: &mut [Pool], tree: &Tree) -> Value {
    let (mut started, mut displaced, mut wanted, mut plans) = (0, 0, 0, 0);
    for pool in pools.iter_mut() {
        let tasks = pool.workers.len() as u32 * 16 / 10 / 2;
        let job = Job {
            group: group(0),
            class: Class::Urgent,
            tasks,
            size: Amount::new(2000, 2048, 0),
            spread: Spread::Even,
            has_checkpoint: false,
        };
        let id: reachhead_types::id::JobName = name("returning".to_owned());
        pool.jobs.insert(id.clone(), job);
        let settled = settle(pool, tree);
        wanted += tasks as usize;
        plans = plans.max(settled.plans);
        displaced += settled.called_back;
        started += pool.tasks.keys().filter(|task| task.job == id).count();
    }
    json!({
        "wanted": wanted,
        "started": started,
        "displaced_per_started": round(displaced as f64 / started.max(1) as f64),
        "most_plans": plans,
    })
}

/// Returns the median time of several runs.
fn time<T>(mut run: impl FnMut() -> T) -> Duration {
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
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
