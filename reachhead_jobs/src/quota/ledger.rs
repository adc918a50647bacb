//! The ledger of quotas: what each pool has been allotted of each customer's quota.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{CustomerName, PoolName},
    size::{FencingToken, Millis},
};

use super::{
    Allotment, CustomerUsage, LIMIT_EXPIRY, UsageReport,
    share::{Claim, shares},
};
use crate::{
    clock::{Tick, with_drift},
    customer::{Customers, Quota},
    pool::PoolTimeouts,
};

/// Allotments and usage of one pool.
#[derive(Debug, Clone, Default)]
struct PoolAccount {
    /// Token of the owner, once it has answered this ledger.
    owner: Option<FencingToken>,
    /// Resources that the pool may have in use, in whatever order pending messages arrive.
    held: BTreeMap<CustomerName, Amount>,
    /// Last reported usage, and the round that it answered.
    reported: BTreeMap<CustomerName, CustomerUsage>,
    last_round: u64,
    /// Since when the limit of a customer there has not sufficed for its next task.
    waiting: BTreeMap<CustomerName, Tick>,
}

impl PoolAccount {
    fn held(&self, customer: &CustomerName, quota: Quota) -> Amount {
        self.held.get(customer).copied().unwrap_or_default().masked_by(quota.0)
    }

    /// Applies the owner's report for a round.
    fn take(&mut self, round: u64, report: UsageReport, now: Tick) {
        self.owner = Some(report.owner);
        self.last_round = round;
        if report.whole {
            self.reported = report.customers;
        } else {
            self.reported.extend(report.customers);
        }
        self.reported.retain(|_, usage| *usage != CustomerUsage::default());
        let held = self.reported.iter().map(|(name, usage)| (name.clone(), usage.held()));
        self.held = held.collect();
        let is_throttled =
            |name: &CustomerName| self.reported.get(name).is_some_and(CustomerUsage::is_throttled);
        self.waiting.retain(|name, _| is_throttled(name));
        for name in self.reported.keys().filter(|name| is_throttled(name)) {
            self.waiting.entry(name.clone()).or_insert(now);
        }
    }
}

/// Returns for how long a pool whose owner does not answer a new ledger may use what it was allotted
/// before. The owner learns of the ledger within the time for which it trusts its own lease, and starts
/// tasks until its limits have expired. A worker that had restarted unnoticed reads the deadlines of these
/// orders by another clock, and holds the runs for the longest lease that it grants.
pub fn max_orphan_time(timeouts: &PoolTimeouts) -> Millis {
    Millis(timeouts.trust.0 + LIMIT_EXPIRY.0 + with_drift(timeouts.grant).0)
}

/// Allotments of all pools, kept by the one process that owns the ledger.
#[derive(Debug, Clone)]
pub struct Ledger {
    token: FencingToken,
    started_at: Tick,
    /// How long a pool without an owner may still use what it was allotted before.
    max_orphan_time: Millis,
    round: u64,
    accounts: BTreeMap<PoolName, PoolAccount>,
    /// Quotas that stay divided as they are for as long as no customer's task waits.
    settled: BTreeMap<CustomerName, Quota>,
    /// Whether the last round changed a limit.
    changed: bool,
}

impl Ledger {
    /// Creates a ledger without allotments. What a pool uses whose owner does not answer has
    /// certainly ended `max_orphan_time` after that owner was lost.
    pub fn new(token: FencingToken, max_orphan_time: Millis, now: Tick) -> Self {
        Self {
            token,
            started_at: now,
            max_orphan_time,
            round: 0,
            accounts: BTreeMap::new(),
            settled: BTreeMap::new(),
            changed: false,
        }
    }

    /// Returns whether the next round should come soon: limits are changing, or an owner has not
    /// answered yet.
    pub fn is_converging(&self) -> bool {
        self.changed || self.accounts.values().any(|account| account.owner.is_none())
    }

    /// Returns whether any customer's tasks wait because of its quota.
    pub fn is_throttled(&self) -> bool {
        self.accounts.values().any(|account| !account.waiting.is_empty())
    }

    /// Returns the messages of the next round, one for each pool.
    pub fn round<'a>(
        &mut self,
        pools: impl Iterator<Item = &'a PoolName>,
        customers: &Customers,
        now: Tick,
    ) -> Vec<(PoolName, Allotment)> {
        let pools: BTreeSet<&PoolName> = pools.collect();
        for pool in &pools {
            self.accounts.entry((*pool).clone()).or_default();
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
            owner: self.accounts[pool].owner,
            limits: limits.get(pool).cloned().unwrap_or_default(),
            last_report: self.accounts[pool].last_round,
        };
        pools.into_iter().map(|pool| (pool.clone(), message(pool))).collect()
    }

    /// Applies the report of a pool's owner in answer to `sent`. Returns whether the pool has a new
    /// owner, which has no limits yet.
    pub fn process_report(
        &mut self,
        pool: &PoolName,
        sent: &Allotment,
        report: UsageReport,
        now: Tick,
    ) -> bool {
        let Some(account) = self.accounts.get_mut(pool) else {
            return false;
        };
        let is_new_owner = account.owner != Some(report.owner);
        // A report on an earlier round may predate the delivery of a later message. Of a new owner
        // a full report is always usable.
        let usable = if is_new_owner { report.whole } else { sent.round == self.round };
        if !usable {
            return false;
        }
        account.take(sent.round, report, now);
        if is_new_owner {
            self.settled.clear();
        }
        is_new_owner
    }

    /// Returns the limits of a customer that change, and counts them as held.
    fn divide(
        &mut self,
        customer: &CustomerName,
        quota: Quota,
        now: Tick,
    ) -> Vec<(PoolName, Amount)> {
        let is_waiting =
            self.accounts.values().any(|account| account.waiting.contains_key(customer));
        if self.settled.get(customer) == Some(&quota) && !is_waiting {
            return Vec::new();
        }
        let known = self.known();
        // Usage in pools whose owners have not answered is unknown; until it has certainly ended,
        // no limit is raised.
        let complete = known.len() == self.accounts.len()
            || now.since(self.started_at) >= self.max_orphan_time;
        let wanted = self.shares(customer, quota, &known);
        let all = self.held(customer, quota);
        let mut free = if complete { quota.0.minus(all) } else { Amount::default() };
        let mut changed = Vec::new();
        for (pool, wanted) in known.into_iter().zip(wanted) {
            let all = self.held(customer, quota);
            let Some(account) = self.accounts.get_mut(&pool) else {
                continue;
            };
            let held = account.held(customer, quota);
            // Only if no other pool holds anything may a limit exceed the quota, for one large
            // task.
            let is_only_holder = all == held && complete;
            let wanted = if is_only_holder { wanted } else { wanted.least(quota.0) };
            let raise =
                if is_only_holder { wanted.minus(held) } else { wanted.minus(held).least(free) };
            free = free.minus(raise);
            let reported = account.reported.get(customer).map(|usage| usage.limit);
            let reported = reported.unwrap_or_default().masked_by(quota.0);
            // While more is held than a lowered quota allows, no limit rises, not even to a pool's
            // current usage.
            let max_limit =
                if all.fits(quota.0) || is_only_holder { held.plus(raise) } else { reported };
            let limit = wanted.least(max_limit);
            if reported != limit {
                account.held.insert(customer.clone(), held.max(limit));
                changed.push((pool, limit));
            }
        }
        if complete && changed.is_empty() {
            self.settled.insert(customer.clone(), quota);
        }
        changed
    }

    /// Returns the pools whose owners have answered.
    fn known(&self) -> Vec<PoolName> {
        let known = self.accounts.iter().filter(|(_, account)| account.owner.is_some());
        known.map(|(pool, _)| pool.clone()).collect()
    }

    /// Returns what all pools together may have in use for a customer.
    fn held(&self, customer: &CustomerName, quota: Quota) -> Amount {
        let held = self.accounts.values().map(|account| account.held(customer, quota));
        held.fold(Amount::default(), Amount::plus)
    }

    /// Returns how a customer's quota should be divided among these pools.
    fn shares(&self, customer: &CustomerName, quota: Quota, pools: &[PoolName]) -> Vec<Amount> {
        let claim = |pool: &PoolName| {
            let account = &self.accounts[pool];
            let usage = account.reported.get(customer).copied().unwrap_or_default();
            Claim {
                used: usage.used.masked_by(quota.0),
                wanted: usage.wanted.masked_by(quota.0),
                next: usage.next.masked_by(quota.0),
                waiting_since: account.waiting.get(customer).copied(),
            }
        };
        let claims: Vec<Claim> = pools.iter().map(claim).collect();
        shares(quota, &claims)
    }
}
