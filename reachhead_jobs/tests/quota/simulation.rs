//! Owners of pools, ledgers and what lies between them, moved by a seed.

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

/// Pools of the site.
pub const POOLS: usize = 4;

/// How long an owner may work on without hearing of a new ledger, with its limits' time and a task's.
const EFFECT: Millis = Millis(9000);

/// How long an owner goes on without the store's word.
const TRUST: u64 = 4000;

/// Longest time that a task runs.
const TASK_TIME: u64 = 2500;

pub fn pool(place: usize) -> PoolName {
    format!("p{place}").parse().unwrap()
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
    allowances: CustomerLimits,
    denied: u64,
    /// When it reads the leases next.
    leases: u64,
}

impl Owner {
    fn new(token: u64, quota: u64, leases: u64) -> Self {
        let mut allowances = CustomerLimits::new();
        allowances.configure(&Arc::new(customers(quota)));
        Self { token: FencingToken(token), allowances, denied: 0, leases }
    }
}

/// A message of a ledger that is on its way.
struct Letter {
    pool: usize,
    allotment: Allotment,
}

struct Running {
    ledger: Ledger,
    token: u64,
}

/// The whole site.
pub struct Site {
    seed: u64,
    now: u64,
    quota: u64,
    /// The highest quota of the last seconds, which may still be in force somewhere.
    highest: Vec<(u64, u64)>,
    tokens: u64,
    owners: Vec<Owner>,
    tasks: Vec<Vec<Task>>,
    /// The newest last; others may not know that they are replaced.
    ledgers: Vec<Running>,
    late: Vec<Letter>,
    faults: bool,
    /// Tasks that were started.
    pub started: u64,
}

impl Site {
    pub fn new(seed: u64) -> Self {
        let mut site = Self {
            seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) + 1,
            now: 1000,
            quota: 10_000,
            highest: vec![(0, 10_000)],
            tokens: 10,
            owners: Vec::new(),
            tasks: vec![Vec::new(); POOLS],
            ledgers: Vec::new(),
            late: Vec::new(),
            faults: true,
            started: 0,
        };
        for _ in 0..POOLS {
            site.tokens += 1;
            site.owners.push(Owner::new(site.tokens, site.quota, 1000));
        }
        site.replace_ledger();
        site
    }

    fn draw(&mut self, below: u64) -> u64 {
        // xorshift: small, and the same everywhere.
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % below
    }

    fn replace_ledger(&mut self) {
        self.tokens += 1;
        let ledger = Ledger::new(FencingToken(self.tokens), EFFECT, Tick(self.now));
        self.ledgers.push(Running { ledger, token: self.tokens });
        if self.ledgers.len() > 2 {
            self.ledgers.remove(0);
        }
    }

    /// Something happens.
    pub fn step(&mut self) {
        self.now += self.draw(60);
        for tasks in &mut self.tasks {
            tasks.retain(|task| task.ends > self.now);
        }
        let place = self.draw(POOLS as u64) as usize;
        match self.draw(100) {
            0 if self.faults => self.replace_ledger(),
            1 if self.faults => self.replace_owner(place),
            2 if self.faults => self.change_quota(),
            3..=45 => self.start(place),
            46..=60 if self.faults => self.deliver_late(),
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
        self.highest.push((self.now, self.quota));
        for owner in &mut self.owners {
            owner.allowances.configure(&Arc::new(customers(self.quota)));
        }
    }

    /// A successor knows what runs, or what may run of the jobs that it finds.
    fn replace_owner(&mut self, place: usize) {
        self.tokens += 1;
        let mut owner = Owner::new(self.tokens, self.quota, self.now);
        // It has seen the leases as they were when it wrote its own.
        let newest = self.ledgers[self.ledgers.len() - 1].token;
        owner.allowances.observe_ledger(FencingToken(newest), Tick(self.now));
        self.owners[place] = owner;
    }

    /// Each owner reads the leases now and then, and starts nothing if it has not done so for long.
    fn read_leases(&mut self) {
        let newest = self.ledgers[self.ledgers.len() - 1].token;
        for place in 0..POOLS {
            let due = self.draw(20) == 0 || self.now - self.owners[place].leases > TRUST / 2;
            if due {
                self.owners[place].leases = self.now;
                self.owners[place].allowances.observe_ledger(FencingToken(newest), Tick(self.now));
            }
        }
    }

    fn used(&self, place: usize) -> u64 {
        self.tasks[place].iter().map(|task| task.cores).sum()
    }

    fn start(&mut self, place: usize) {
        let need = 300 + 100 * self.draw(20);
        self.start_task(place, need);
    }

    fn start_task(&mut self, place: usize, need: u64) {
        let used = self.used(place);
        let owner = &mut self.owners[place];
        owner.allowances.expire(Tick(self.now));
        if !owner.allowances.allows(&customer(), cores(used), cores(need)) {
            owner.denied = need;
            return;
        }
        owner.denied = 0;
        let ends = self.now + 100 + self.draw(TASK_TIME - 100);
        let before: u64 = (0..POOLS).map(|pool| self.used(pool)).sum();
        self.tasks[place].push(Task { cores: need, ends });
        self.started += 1;
        let recent = self.highest.iter().rev().scan(false, |over, (at, quota)| {
            let counts = !*over;
            *over = self.now - at > TASK_TIME;
            counts.then_some(*quota)
        });
        let most = recent.max().unwrap();
        assert!(
            before + need <= most || before == 0,
            "{need} start in pool {place} at {} beside {before} of {most}",
            self.now
        );
    }

    fn answer(&mut self, letter: &Letter) -> UsageReport {
        let used = cores(self.used(letter.pool));
        let owner = &mut self.owners[letter.pool];
        owner.allowances.apply(&letter.allotment, owner.token);
        let token = owner.token;
        let demand = Demand { used, wanted: cores(owner.denied), next: cores(owner.denied) };
        owner.allowances.answer(&letter.allotment, token, &BTreeMap::from([(customer(), demand)]))
    }

    fn round(&mut self, ledger: usize) {
        let pools: Vec<PoolName> = (0..POOLS).map(pool).collect();
        let customers = customers(self.quota);
        let now = Tick(self.now);
        let messages = self.ledgers[ledger].ledger.round(pools.iter(), &customers, now);
        let mut statements = Vec::new();
        for (place, (name, allotment)) in messages.into_iter().enumerate() {
            let letter = Letter { pool: place, allotment };
            match if self.faults { self.draw(10) } else { 9 } {
                // Neither the message nor its answer arrives, or the message does late.
                0 => {}
                1 => self.late.push(letter),
                // The answer is lost, and the message may come once more.
                2 => {
                    self.answer(&letter);
                    self.late.push(letter);
                }
                _ => {
                    let report = self.answer(&letter);
                    statements.push((name, letter.allotment, report));
                }
            }
        }
        for (name, sent, report) in statements {
            self.ledgers[ledger].ledger.process_report(&name, &sent, report, now);
        }
    }

    fn deliver_late(&mut self) {
        if !self.late.is_empty() {
            let count = self.late.len() as u64;
            let place = self.draw(count) as usize;
            let letter = self.late.swap_remove(place);
            self.answer(&letter);
        }
    }

    /// Nothing fails any more, for longer than anything takes effect.
    pub fn calm(&mut self) {
        self.faults = false;
        let end = self.now + 2 * EFFECT.0;
        while self.now < end {
            self.step();
        }
    }

    /// Tells whether a task starts in a pool within a few rounds while the customer has next to nothing running.
    pub fn starts_soon(&mut self, place: usize) -> bool {
        self.tasks = vec![Vec::new(); POOLS];
        for owner in &mut self.owners {
            owner.denied = 0;
        }
        let started = self.started;
        for _ in 0..4 {
            self.start_task(place, self.quota / 2);
            if self.started > started {
                return true;
            }
            let newest = self.ledgers.len() - 1;
            self.round(newest);
        }
        false
    }
}
