//! Simulation of owners of pools, ledgers and the network between them, driven by a seed.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_jobs::{
    clock::Tick,
    customer::{Customer, Customers, Quota},
    quota::{Allotment, CustomerLimits, Demand, Ledger, UsageReport},
};
use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{CustomerName, PoolName},
    size::{FencingToken, Millis, Weight},
};

/// Number of pools.
pub const POOLS: usize = 4;

/// How long a pool may still use what it was allotted: the time an owner works on without knowing
/// of a new ledger, the expiry of its limits, and the duration of a task.
const MAX_ORPHAN_TIME: Millis = Millis(9000);

/// How long an owner continues without a read of the leases, in milliseconds.
const MAX_LEASE_AGE: u64 = 4000;

/// Longest duration of a task, in milliseconds.
const MAX_TASK_TIME: u64 = 2500;

pub fn pool(index: usize) -> PoolName {
    format!("p{index}").parse().unwrap()
}

pub fn customer() -> CustomerName {
    "one".parse().unwrap()
}

pub fn customers(quota: u64) -> Customers {
    let quota = Quota(Amount::new(quota, 0, 0));
    Customers::new().with_customer(Customer { name: customer(), weight: Weight(1), quota }, [])
}

fn cores(cores: u64) -> Amount {
    Amount::new(cores, 0, 0)
}

/// A task that runs in a pool.
#[derive(Debug, Clone, Copy)]
struct Task {
    cores: u64,
    ends: u64,
}

/// The owner of a pool.
struct Owner {
    token: FencingToken,
    limits: CustomerLimits,
    rejected_need: u64,
    /// When it last read the leases.
    leases_read: u64,
}

impl Owner {
    fn new(token: u64, quota: u64, leases_read: u64) -> Self {
        let mut limits = CustomerLimits::new();
        limits.configure(&Arc::new(customers(quota)));
        Self { token: FencingToken(token), limits, rejected_need: 0, leases_read }
    }
}

/// A message of a ledger in flight.
struct Message {
    pool: usize,
    allotment: Allotment,
}

struct Running {
    ledger: Ledger,
    token: u64,
}

/// State of the simulation.
pub struct Simulation {
    seed: u64,
    now: u64,
    quota: u64,
    /// Recent quotas, which may still be in force somewhere.
    quotas: Vec<(u64, u64)>,
    tokens: u64,
    owners: Vec<Owner>,
    tasks: Vec<Vec<Task>>,
    /// Ledgers, the newest last; earlier ones may not know that they were replaced.
    ledgers: Vec<Running>,
    delayed: Vec<Message>,
    faults: bool,
    /// Number of tasks started.
    pub started: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut simulation = Self {
            seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) + 1,
            now: 1000,
            quota: 10_000,
            quotas: vec![(0, 10_000)],
            tokens: 10,
            owners: Vec::new(),
            tasks: vec![Vec::new(); POOLS],
            ledgers: Vec::new(),
            delayed: Vec::new(),
            faults: true,
            started: 0,
        };
        for _ in 0..POOLS {
            simulation.tokens += 1;
            simulation.owners.push(Owner::new(simulation.tokens, simulation.quota, 1000));
        }
        simulation.replace_ledger();
        simulation
    }

    fn draw(&mut self, below: u64) -> u64 {
        // xorshift: small, and equal on all platforms.
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % below
    }

    fn replace_ledger(&mut self) {
        self.tokens += 1;
        let ledger = Ledger::new(FencingToken(self.tokens), MAX_ORPHAN_TIME, Tick(self.now));
        self.ledgers.push(Running { ledger, token: self.tokens });
        if self.ledgers.len() > 2 {
            self.ledgers.remove(0);
        }
    }

    /// Performs one random step.
    pub fn step(&mut self) {
        self.now += self.draw(60);
        for tasks in &mut self.tasks {
            tasks.retain(|task| task.ends > self.now);
        }
        let index = self.draw(POOLS as u64) as usize;
        match self.draw(100) {
            0 if self.faults => self.replace_ledger(),
            1 if self.faults => self.replace_owner(index),
            2 if self.faults => self.change_quota(),
            3..=45 => self.start(index),
            46..=60 if self.faults => self.deliver_delayed(),
            _ => {
                let all = self.ledgers.len() as u64;
                let ledger = if self.faults { self.draw(all) } else { all - 1 };
                self.round(ledger as usize);
            }
        }
        self.read_leases();
    }

    fn change_quota(&mut self) {
        self.quota = [2000, 5000, 10_000, 20_000][self.draw(4) as usize];
        self.quotas.push((self.now, self.quota));
        for owner in &mut self.owners {
            owner.limits.configure(&Arc::new(customers(self.quota)));
        }
    }

    /// Replaces an owner by one that knows what runs, or may run, of the jobs that it finds.
    fn replace_owner(&mut self, index: usize) {
        self.tokens += 1;
        let mut owner = Owner::new(self.tokens, self.quota, self.now);
        // It has seen the leases as they were when it wrote its own.
        let newest = self.ledgers[self.ledgers.len() - 1].token;
        owner.limits.observe_ledger(FencingToken(newest), Tick(self.now));
        self.owners[index] = owner;
    }

    /// Lets owners read the leases now and then, at the latest when the last read is too old.
    fn read_leases(&mut self) {
        let newest = self.ledgers[self.ledgers.len() - 1].token;
        for index in 0..POOLS {
            let due =
                self.draw(20) == 0 || self.now - self.owners[index].leases_read > MAX_LEASE_AGE / 2;
            if due {
                self.owners[index].leases_read = self.now;
                self.owners[index].limits.observe_ledger(FencingToken(newest), Tick(self.now));
            }
        }
    }

    fn used(&self, index: usize) -> u64 {
        self.tasks[index].iter().map(|task| task.cores).sum()
    }

    fn start(&mut self, index: usize) {
        let need = 300 + 100 * self.draw(20);
        self.start_task(index, need);
    }

    fn start_task(&mut self, index: usize, need: u64) {
        let used = self.used(index);
        let owner = &mut self.owners[index];
        owner.limits.expire(Tick(self.now));
        if !owner.limits.allows(&customer(), cores(used), cores(need)) {
            owner.rejected_need = need;
            return;
        }
        owner.rejected_need = 0;
        let ends = self.now + 100 + self.draw(MAX_TASK_TIME - 100);
        let already_used: u64 = (0..POOLS).map(|pool| self.used(pool)).sum();
        self.tasks[index].push(Task { cores: need, ends });
        self.started += 1;
        let recent = self.quotas.iter().rev().scan(false, |over, (at, quota)| {
            let counts = !*over;
            *over = self.now - at > MAX_TASK_TIME;
            counts.then_some(*quota)
        });
        let max_quota = recent.max().unwrap();
        assert!(
            already_used + need <= max_quota || already_used == 0,
            "{need} start in pool {index} at {} beside {already_used} of {max_quota}",
            self.now
        );
    }

    fn answer(&mut self, message: &Message) -> UsageReport {
        let used = cores(self.used(message.pool));
        let owner = &mut self.owners[message.pool];
        owner.limits.apply(&message.allotment, owner.token);
        let token = owner.token;
        let demand =
            Demand { used, wanted: cores(owner.rejected_need), next: cores(owner.rejected_need) };
        owner.limits.answer(&message.allotment, token, &BTreeMap::from([(customer(), demand)]))
    }

    fn round(&mut self, ledger: usize) {
        let pools: Vec<PoolName> = (0..POOLS).map(pool).collect();
        let customers = customers(self.quota);
        let now = Tick(self.now);
        let messages = self.ledgers[ledger].ledger.round(pools.iter(), &customers, now);
        let mut reports = Vec::new();
        for (index, (name, allotment)) in messages.into_iter().enumerate() {
            let message = Message { pool: index, allotment };
            match if self.faults { self.draw(10) } else { 9 } {
                // The message and its answer are lost, or the message is delayed.
                0 => {}
                1 => self.delayed.push(message),
                // The answer is lost, and the message may be delivered again.
                2 => {
                    self.answer(&message);
                    self.delayed.push(message);
                }
                _ => {
                    let report = self.answer(&message);
                    reports.push((name, message.allotment, report));
                }
            }
        }
        for (name, sent, report) in reports {
            self.ledgers[ledger].ledger.process_report(&name, &sent, report, now);
        }
    }

    fn deliver_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let count = self.delayed.len() as u64;
            let index = self.draw(count) as usize;
            let message = self.delayed.swap_remove(index);
            self.answer(&message);
        }
    }

    /// Disables faults and runs until all earlier ones have lost their effect.
    pub fn recover(&mut self) {
        self.faults = false;
        let end = self.now + 2 * MAX_ORPHAN_TIME.0;
        while self.now < end {
            self.step();
        }
    }

    /// Returns whether a task starts in a pool within a few rounds while the customer uses next to
    /// nothing.
    pub fn starts_soon(&mut self, index: usize) -> bool {
        self.tasks = vec![Vec::new(); POOLS];
        for owner in &mut self.owners {
            owner.rejected_need = 0;
        }
        let started = self.started;
        for _ in 0..4 {
            self.start_task(index, self.quota / 2);
            if self.started > started {
                return true;
            }
            let newest = self.ledgers.len() - 1;
            self.round(newest);
        }
        false
    }
}
