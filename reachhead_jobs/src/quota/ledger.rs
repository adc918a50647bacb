//! What each pool has been allotted of each customer's quota.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{CustomerName, PoolName},
    size::{FencingToken, Millis},
};

use super::{
    Allotment, CustomerUsage, UsageReport,
    share::{Claim, shares},
};
use crate::{
    clock::Tick,
    customer::{Customers, Quota},
};

/// What is known of a pool.
#[derive(Debug, Clone, Default)]
struct Book {
    /// Its owner, once that has answered this ledger.
    owner: Option<FencingToken>,
    /// What the pool may have running, however the messages that are under way are delivered.
    held: BTreeMap<CustomerName, Amount>,
    /// What its owner stated last, and in answer to which round.
    stated: BTreeMap<CustomerName, CustomerUsage>,
    heard: u64,
    /// Since when a customer's next task there has found no room in the limit.
    short: BTreeMap<CustomerName, Tick>,
}

impl Book {
    fn held(&self, customer: &CustomerName, quota: Quota) -> Amount {
        self.held.get(customer).copied().unwrap_or_default().masked_by(quota.0)
    }

    /// Takes in what the owner stated in answer to this round.
    fn take(&mut self, round: u64, report: UsageReport, now: Tick) {
        self.owner = Some(report.owner);
        self.heard = round;
        if report.whole {
            self.stated = report.customers;
        } else {
            self.stated.extend(report.customers);
        }
        self.stated.retain(|_, usage| *usage != CustomerUsage::default());
        let held = self.stated.iter().map(|(name, usage)| (name.clone(), usage.held()));
        self.held = held.collect();
        let is_short =
            |name: &CustomerName| self.stated.get(name).is_some_and(CustomerUsage::is_throttled);
        self.short.retain(|name, _| is_short(name));
        for name in self.stated.keys().filter(|name| is_short(name)) {
            self.short.entry(name.clone()).or_insert(now);
        }
    }
}

/// The allotments of all pools, as the one process keeps them that is in charge of that.
#[derive(Debug, Clone)]
pub struct Ledger {
    token: FencingToken,
    begun: Tick,
    /// How long a pool without an owner may still have running what it was allotted before.
    effect: Millis,
    round: u64,
    books: BTreeMap<PoolName, Book>,
    /// The quotas that are divided as they should be for as long as no customer's task waits for room.
    divided: BTreeMap<CustomerName, Quota>,
    /// The last round changed a limit.
    changed: bool,
}

impl Ledger {
    /// Returns a ledger that knows of no allotments yet. What a pool has running whose owner does not answer has
    /// surely ended `effect` after that owner was lost.
    pub fn new(token: FencingToken, effect: Millis, now: Tick) -> Self {
        Self {
            token,
            begun: now,
            effect,
            round: 0,
            books: BTreeMap::new(),
            divided: BTreeMap::new(),
            changed: false,
        }
    }

    /// Tells whether the next round should come soon: limits are on their way up or down, or an owner has not answered yet.
    pub fn is_converging(&self) -> bool {
        self.changed || self.books.values().any(|book| book.owner.is_none())
    }

    /// Tells whether a customer's tasks wait for room in its quota.
    pub fn is_throttled(&self) -> bool {
        self.books.values().any(|book| !book.short.is_empty())
    }

    /// Returns the messages of a round, one for each pool.
    pub fn round<'a>(
        &mut self,
        pools: impl Iterator<Item = &'a PoolName>,
        customers: &Customers,
        now: Tick,
    ) -> Vec<(PoolName, Allotment)> {
        let pools: BTreeSet<&PoolName> = pools.collect();
        for pool in &pools {
            self.books.entry((*pool).clone()).or_default();
        }
        let mut limits: BTreeMap<PoolName, BTreeMap<CustomerName, Amount>> = BTreeMap::new();
        for customer in customers.by_name.values().filter(|customer| customer.quota.is_limited()) {
            for (pool, limit) in self.divide(&customer.name, customer.quota, now) {
                limits.entry(pool).or_default().insert(customer.name.clone(), limit);
            }
        }
        self.changed = !limits.is_empty();
        self.round += 1;
        let message = |pool: &PoolName| Allotment {
            ledger: self.token,
            round: self.round,
            owner: self.books[pool].owner,
            limits: limits.get(pool).cloned().unwrap_or_default(),
            last_report: self.books[pool].heard,
        };
        pools.into_iter().map(|pool| (pool.clone(), message(pool))).collect()
    }

    /// Takes in what the owner of a pool answered to `sent`; tells whether the pool has a new owner, which has no limits yet.
    pub fn process_report(
        &mut self,
        pool: &PoolName,
        sent: &Allotment,
        report: UsageReport,
        now: Tick,
    ) -> bool {
        let Some(book) = self.books.get_mut(pool) else {
            return false;
        };
        let news = book.owner != Some(report.owner);
        // What answers an earlier round may be from before a later message was delivered; of a new owner everything is news.
        let usable = if news { report.whole } else { sent.round == self.round };
        if !usable {
            return false;
        }
        book.take(sent.round, report, now);
        if news {
            self.divided.clear();
        }
        news
    }

    /// Returns the limits of a customer that change, and notes them as held.
    fn divide(
        &mut self,
        customer: &CustomerName,
        quota: Quota,
        now: Tick,
    ) -> Vec<(PoolName, Amount)> {
        let short = self.books.values().any(|book| book.short.contains_key(customer));
        if self.divided.get(customer) == Some(&quota) && !short {
            return Vec::new();
        }
        let known = self.known();
        // What a pool has whose owner has not answered is not known: until it has surely ended, nothing is raised.
        let complete = known.len() == self.books.len() || now.since(self.begun) >= self.effect;
        let wanted = self.shares(customer, quota, &known);
        let all = self.held(customer, quota);
        let mut free = if complete { quota.0.minus(all) } else { Amount::default() };
        let mut changed = Vec::new();
        for (pool, wanted) in known.into_iter().zip(wanted) {
            let all = self.held(customer, quota);
            let Some(book) = self.books.get_mut(&pool) else {
                continue;
            };
            let held = book.held(customer, quota);
            // Only a pool beside which no other holds anything may have more than the quota, for one large task.
            let alone = all == held && complete;
            let wanted = if alone { wanted } else { wanted.least(quota.0) };
            let raise = if alone { wanted.minus(held) } else { wanted.minus(held).least(free) };
            free = free.minus(raise);
            let stated = book.stated.get(customer).map(|usage| usage.limit);
            let stated = stated.unwrap_or_default().masked_by(quota.0);
            // While more is held than a lowered quota has, no limit rises, not even to what the pool has running.
            let most = if all.fits(quota.0) || alone { held.plus(raise) } else { stated };
            let limit = wanted.least(most);
            if stated != limit {
                book.held.insert(customer.clone(), held.max(limit));
                changed.push((pool, limit));
            }
        }
        if complete && changed.is_empty() {
            self.divided.insert(customer.clone(), quota);
        }
        changed
    }

    /// Returns the pools whose owners have answered.
    fn known(&self) -> Vec<PoolName> {
        let known = self.books.iter().filter(|(_, book)| book.owner.is_some());
        known.map(|(pool, _)| pool.clone()).collect()
    }

    /// Returns what all pools together may have running for a customer.
    fn held(&self, customer: &CustomerName, quota: Quota) -> Amount {
        let held = self.books.values().map(|book| book.held(customer, quota));
        held.fold(Amount::default(), Amount::plus)
    }

    /// Returns how a customer's quota should be divided over these pools.
    fn shares(&self, customer: &CustomerName, quota: Quota, pools: &[PoolName]) -> Vec<Amount> {
        let claim = |pool: &PoolName| {
            let book = &self.books[pool];
            let usage = book.stated.get(customer).copied().unwrap_or_default();
            Claim {
                used: usage.used.masked_by(quota.0),
                wanted: usage.wanted.masked_by(quota.0),
                next: usage.next.masked_by(quota.0),
                short: book.short.get(customer).copied(),
            }
        };
        let claims: Vec<Claim> = pools.iter().map(claim).collect();
        shares(quota, &claims)
    }
}
