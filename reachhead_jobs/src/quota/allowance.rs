//! What the owner of a pool may start for each customer.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::CustomerName,
    size::{FencingToken, Millis, Weight},
};

use super::{Allotment, CustomerUsage, UsageReport};
use crate::{
    clock::Tick,
    customer::{Customers, Quota},
};

/// How long limits count after the ledger that gave them was replaced. The new one asks every owner within some
/// milliseconds; an owner that it can't reach must not start anything for long on what others may have been given since.
pub const LIMIT_EXPIRY: Millis = Millis(2000);

/// Steps of a quota in which what runs and waits is told.
const STEPS: u64 = 16;

/// What a customer has and could use in a pool, as its owner counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Demand {
    /// What its tasks have or may have.
    pub used: Amount,
    /// What tasks would have that could start now.
    pub wanted: Amount,
    /// What the next of these needs.
    pub next: Amount,
}

impl Demand {
    /// Returns what the ledger is told. What runs and waits changes with each task, so it is told in steps, rounded up: a
    /// customer's standing is told some times a second and not at each start.
    fn usage(self, limit: Amount, quota: Quota) -> CustomerUsage {
        let rounded = self.used.round_up_to_steps(quota.0, STEPS);
        let used = if self.used.fits(limit) { rounded.least(limit) } else { rounded };
        let wanted = self.wanted.round_up_to_steps(quota.0, STEPS);
        CustomerUsage { limit, used: used.max(self.used.least(limit)), wanted, next: self.next }
    }
}

/// The limits of a pool's customers.
#[derive(Debug, Clone, Default)]
pub struct CustomerLimits {
    customers: Arc<Customers>,
    ledger: FencingToken,
    round: u64,
    limits: BTreeMap<CustomerName, Amount>,
    /// A later ledger that has not been heard.
    heir: Option<Heir>,
    /// The last statement, and the ledger and round that it answered.
    told: BTreeMap<CustomerName, CustomerUsage>,
    answered: (FencingToken, u64),
}

/// A ledger that replaces the one whose limits are known.
#[derive(Debug, Clone, Copy)]
struct Heir {
    ledger: FencingToken,
    since: Tick,
}

impl CustomerLimits {
    /// Returns limits by which no customer with a quota may start anything: a predecessor may have used all of it.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the customers of a configuration.
    pub fn configure(&mut self, customers: &Arc<Customers>) {
        self.customers = Arc::clone(customers);
    }

    /// Returns the jobs a second that a customer is owed; `None` where that is not said.
    pub fn weight(&self, customer: &CustomerName) -> Option<Weight> {
        self.customers.by_name.get(customer).map(|known| known.weight).filter(|weight| weight.0 > 0)
    }

    /// Tells whether any customer has a quota.
    pub fn has_quotas(&self) -> bool {
        self.customers.has_quotas()
    }

    /// Takes in limits, unless they are for another owner or older than what is known.
    pub fn apply(&mut self, allotment: &Allotment, owner: FencingToken) {
        let newer = (allotment.ledger, allotment.round) > (self.ledger, self.round);
        let replaced = self.heir.is_some_and(|heir| heir.ledger > allotment.ledger);
        if !newer || replaced {
            return;
        }
        (self.ledger, self.round) = (allotment.ledger, allotment.round);
        if self.heir.is_some_and(|heir| heir.ledger <= self.ledger) {
            self.heir = None;
        }
        if allotment.owner == Some(owner) {
            let limits = allotment.limits.iter().map(|(name, limit)| (name.clone(), *limit));
            self.limits.extend(limits);
        }
    }

    /// Notes whose ledger counts by the store's word. Limits of an earlier one are kept for a while, as the new ledger asks
    /// for them; one that can't reach this owner has to know when they are void.
    pub fn observe_ledger(&mut self, ledger: FencingToken, now: Tick) {
        if ledger > self.ledger {
            let heir = self.heir.get_or_insert(Heir { ledger, since: now });
            heir.ledger = heir.ledger.max(ledger);
        }
    }

    /// Drops the limits if the ledger that gave them has long been replaced.
    pub fn expire(&mut self, now: Tick) {
        if self.heir.is_some_and(|heir| now.since(heir.since) > LIMIT_EXPIRY) {
            self.limits.clear();
        }
    }

    /// Tells whether a customer that has `used` here may start a task that takes `need`.
    pub fn allows(&self, customer: &CustomerName, used: Amount, need: Amount) -> bool {
        let Some(quota) = self.customers.quota(customer) else {
            return true;
        };
        let limit = self.limits.get(customer).copied().unwrap_or_default();
        let after = used.plus(need);
        // A lowered quota counts at once, before the ledger has divided it. A task larger than the whole quota may run alone.
        let lowered = quota.allows(after) || used == Amount::default();
        within(quota, after, limit) && lowered
    }

    /// Returns what a customer may still start, in thousandths of a core.
    pub fn headroom(&self, customer: &CustomerName, used: Amount) -> u64 {
        match self.customers.quota(customer) {
            Some(quota) if quota.0.cores > 0 => {
                let limit = self.limits.get(customer).map_or(0, |limit| limit.cores);
                limit.saturating_sub(used.cores)
            }
            _ => u64::MAX,
        }
    }

    /// Returns what the ledger is told in answer to a message: all, or what changed if it has the last statement.
    pub fn answer(
        &mut self,
        allotment: &Allotment,
        owner: FencingToken,
        demand: &BTreeMap<CustomerName, Demand>,
    ) -> UsageReport {
        let mut report = self.report(owner, demand);
        let message = (allotment.ledger, allotment.round);
        if message != (self.ledger, self.round) || message == self.answered {
            // It is late, or came twice: nobody waits for this answer, and what the ledger has is another one.
            return report;
        }
        let told = std::mem::replace(&mut self.told, report.customers.clone());
        let answered = std::mem::replace(&mut self.answered, message);
        if allotment.owner == Some(owner) && answered == (allotment.ledger, allotment.last_report) {
            report.whole = false;
            report.customers.retain(|name, usage| told.get(name) != Some(usage));
            let gone = told.into_keys().filter(|name| !self.told.contains_key(name));
            report.customers.extend(gone.map(|name| (name, CustomerUsage::default())));
        }
        report
    }

    /// Returns where all customers stand.
    pub fn report(
        &self,
        owner: FencingToken,
        demand: &BTreeMap<CustomerName, Demand>,
    ) -> UsageReport {
        let limited =
            self.customers.by_name.keys().filter(|name| self.customers.quota(name).is_some());
        let usage = |name: &CustomerName| {
            let demand = demand.get(name).copied().unwrap_or_default();
            let limit = self.limits.get(name).copied().unwrap_or_default();
            let quota = self.customers.quota(name).unwrap_or_default();
            demand.usage(limit, quota)
        };
        let customers = limited.map(|name| (name.clone(), usage(name)));
        let customers = customers.filter(|(_, usage)| *usage != CustomerUsage::default());
        UsageReport { owner, whole: true, customers: customers.collect() }
    }
}

/// Tells whether `amount` is within `limit` in every resource that the quota limits.
fn within(quota: Quota, amount: Amount, limit: Amount) -> bool {
    amount.masked_by(quota.0).fits(limit)
}
