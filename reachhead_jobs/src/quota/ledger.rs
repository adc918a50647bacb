//! What each pool has been allotted of each customer's quota.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{CustomerName, PoolName},
    size::{FencingToken, Millis},
};

use super::{Allotment, Standing, Statement};
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
    stated: BTreeMap<CustomerName, Standing>,
    heard: u64,
    /// Since when a customer's next task there has found no room in the limit.
    short: BTreeMap<CustomerName, Tick>,
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
    pub fn is_moving(&self) -> bool {
        self.changed || self.books.values().any(|book| book.owner.is_none())
    }

    /// Tells whether a customer's tasks wait for room in its quota.
    pub fn is_short(&self) -> bool {
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
            heard: self.books[pool].heard,
        };
        pools.into_iter().map(|pool| (pool.clone(), message(pool))).collect()
    }

    /// Takes in what the owner of a pool answered to `sent`; tells whether the pool has a new owner, which has no limits yet.
    pub fn stated(
        &mut self,
        pool: &PoolName,
        sent: &Allotment,
        statement: Statement,
        now: Tick,
    ) -> bool {
        let Some(book) = self.books.get_mut(pool) else {
            return false;
        };
        let news = book.owner != Some(statement.owner);
        if sent.round != self.round && !news {
            // It may be from before a later message was delivered.
            return false;
        }
        if news && !statement.whole {
            return false;
        }
        book.owner = Some(statement.owner);
        book.heard = sent.round;
        if statement.whole {
            book.stated = statement.customers;
        } else {
            book.stated.extend(statement.customers);
        }
        book.stated.retain(|_, standing| *standing != Standing::default());
        let held = book.stated.iter().map(|(name, standing)| (name.clone(), standing.held()));
        book.held = held.collect();
        book.short.retain(|name, _| book.stated.get(name).is_some_and(Standing::is_short));
        for (name, _) in book.stated.iter().filter(|(_, standing)| standing.is_short()) {
            book.short.entry(name.clone()).or_insert(now);
        }
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
        let known: Vec<PoolName> = self
            .books
            .iter()
            .filter(|(_, book)| book.owner.is_some())
            .map(|(pool, _)| pool.clone())
            .collect();
        // What a pool has whose owner has not answered is not known: until it has surely ended, nothing is raised.
        let complete = known.len() == self.books.len() || now.since(self.begun) >= self.effect;
        let short = self.books.values().any(|book| book.short.contains_key(customer));
        if self.divided.get(customer) == Some(&quota) && !short {
            return Vec::new();
        }
        let wanted = self.wanted(customer, quota, &known);
        let held_of =
            |book: &Book| book.held.get(customer).copied().unwrap_or_default().only(quota.0);
        let sum = |books: &BTreeMap<PoolName, Book>| {
            books.values().map(held_of).fold(Amount::default(), Amount::plus)
        };
        let mut free = if complete { quota.0.minus(sum(&self.books)) } else { Amount::default() };
        let mut changed = Vec::new();
        for (pool, wanted) in known.into_iter().zip(wanted) {
            let all = sum(&self.books);
            let Some(book) = self.books.get_mut(&pool) else {
                continue;
            };
            let held = held_of(book);
            // Only a pool beside which no other holds anything may have more than the quota, for one large task.
            let alone = all == held && complete;
            let wanted = if alone { wanted } else { wanted.least(quota.0) };
            let raise = if alone { wanted.minus(held) } else { wanted.minus(held).least(free) };
            free = free.minus(raise);
            let stated = book.stated.get(customer).map(|standing| standing.limit);
            let stated = stated.unwrap_or_default().only(quota.0);
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

    /// Returns what each of the pools should be allotted, which together is the quota at most.
    fn wanted(&self, customer: &CustomerName, quota: Quota, pools: &[PoolName]) -> Vec<Amount> {
        let standing =
            |pool: &PoolName| self.books[pool].stated.get(customer).copied().unwrap_or_default();
        let standings: Vec<Standing> = pools.iter().map(standing).collect();
        let used = |place: usize| standings[place].used.only(quota.0);
        let in_use: Vec<Amount> = (0..pools.len()).map(used).collect();
        let sum = in_use.iter().copied().fold(Amount::default(), Amount::plus);
        // Where more is in use than a lowered quota has, nothing that ends is replaced anywhere until that has passed.
        let kept = quota.0.plus(Amount::new(1, 1, 1)).minus(sum);
        let mut shares: Vec<Amount> = in_use.iter().map(|used| used.only(kept)).collect();
        let mut left = quota.0.minus(sum);
        // Whole tasks first: a quota of which each pool has a part too small for a task would be of use to nobody.
        let mut order: Vec<usize> = (0..pools.len()).collect();
        order.sort_by_key(|&place| self.books[&pools[place]].short.get(customer).copied());
        let mut empty = in_use.iter().all(|used| *used == Amount::default());
        for place in order {
            let next = standings[place].next.only(quota.0);
            if next == Amount::default() {
                continue;
            }
            // A task larger than the whole quota may run alone.
            if next.fits(left) || empty {
                shares[place] = shares[place].plus(next);
                left = left.minus(next);
                empty = false;
            }
        }
        // Then what waits, to a common level where that is more than there is; what is left is spread over all, so that a
        // pool in which the customer's jobs arrive next need not ask first.
        let asked = |place: usize| used(place).plus(standings[place].wanted.only(quota.0));
        let asked: Vec<Amount> = (0..pools.len()).map(asked).collect();
        left = raise(&mut shares, &asked, left);
        spread(&mut shares, left);
        shares
    }
}

/// Raises shares towards `most` by `left` altogether, each resource to a common level; returns what is left.
fn raise(shares: &mut [Amount], most: &[Amount], left: Amount) -> Amount {
    let level =
        |of: fn(&Amount) -> u64, left: u64, set: fn(&mut Amount, u64), shares: &mut [Amount]| {
            let mut low = 0;
            let mut high = most.iter().map(of).max().unwrap_or(0);
            let given = |level: u64, shares: &[Amount]| -> u64 {
                let each = shares.iter().zip(most);
                each.map(|(share, most)| of(most).min(level).saturating_sub(of(share))).sum()
            };
            while low < high {
                let middle = low + (high - low).div_ceil(2);
                if given(middle, shares) <= left { low = middle } else { high = middle - 1 }
            }
            let spent = given(low, shares);
            for (share, most) in shares.iter_mut().zip(most) {
                let raised = of(most).min(low).max(of(share));
                set(share, raised);
            }
            left - spent
        };
    Amount {
        cores: level(|a| a.cores, left.cores, |a, to| a.cores = to, shares),
        memory: level(|a| a.memory, left.memory, |a, to| a.memory = to, shares),
        accelerators: level(
            |a| a.accelerators,
            left.accelerators,
            |a, to| a.accelerators = to,
            shares,
        ),
    }
}

/// Gives each share an equal part of what is left.
fn spread(shares: &mut [Amount], left: Amount) {
    let count = shares.len().max(1) as u64;
    let part = Amount::new(left.cores / count, left.memory / count, left.accelerators / count);
    for share in shares {
        *share = share.plus(part);
    }
}
