//! Limits by which the owner of a pool starts tasks of each customer.

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

/// How long limits stay valid after the ledger that gave them was replaced. The new ledger contacts
/// every owner within some milliseconds; an owner that it can't reach must soon stop starting tasks
/// on quota that others may have been given since.
pub const LIMIT_EXPIRY: Millis = Millis(2000);

/// Steps into which a quota is divided for reports of usage.
const REPORT_STEPS: u64 = 16;

/// Usage and demand of a customer in a pool, as its owner counts them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Demand {
    /// Resources that its tasks use or may use.
    pub used: Amount,
    /// Resources of the tasks that could start now.
    pub wanted: Amount,
    /// Resources of the next such task.
    pub next: Amount,
}

impl Demand {
    /// Returns the usage to report to the ledger. It is rounded up to steps, since it changes with
    /// each task but should be reported some times a second only.
    fn usage(self, limit: Amount, quota: Quota) -> CustomerUsage {
        let rounded = self.used.round_up_to_steps(quota.0, REPORT_STEPS);
        let used = if self.used.fits(limit) { rounded.least(limit) } else { rounded };
        let wanted = self.wanted.round_up_to_steps(quota.0, REPORT_STEPS);
        CustomerUsage { limit, used: used.max(self.used.least(limit)), wanted, next: self.next }
    }
}

/// Limits of a pool's customers.
#[derive(Debug, Clone, Default)]
pub struct CustomerLimits {
    customers: Arc<Customers>,
    ledger: FencingToken,
    round: u64,
    limits: BTreeMap<CustomerName, Amount>,
    /// A newer ledger that has not sent limits yet.
    successor: Option<Successor>,
    /// Last report, with the ledger and round that it answered.
    last_usage: BTreeMap<CustomerName, CustomerUsage>,
    last_answered: (FencingToken, u64),
}

/// A ledger that replaces the one whose limits are known.
#[derive(Debug, Clone, Copy)]
struct Successor {
    ledger: FencingToken,
    since: Tick,
}

impl CustomerLimits {
    /// Creates limits that allow no starts for customers with a quota, since a predecessor may have
    /// used all of it.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the customers of a configuration.
    pub fn configure(&mut self, customers: &Arc<Customers>) {
        self.customers = Arc::clone(customers);
    }

    /// Returns the weight of a customer in jobs a second, or `None` if it has none.
    pub fn weight(&self, customer: &CustomerName) -> Option<Weight> {
        self.customers.by_name.get(customer).map(|known| known.weight).filter(|weight| weight.0 > 0)
    }

    /// Returns whether any customer has a quota.
    pub fn has_quotas(&self) -> bool {
        self.customers.has_quotas()
    }

    /// Applies limits, unless they are for another owner or older than the known ones.
    pub fn apply(&mut self, allotment: &Allotment, owner: FencingToken) {
        let is_newer = (allotment.ledger, allotment.round) > (self.ledger, self.round);
        let is_replaced =
            self.successor.is_some_and(|successor| successor.ledger > allotment.ledger);
        if !is_newer || is_replaced {
            return;
        }
        (self.ledger, self.round) = (allotment.ledger, allotment.round);
        if self.successor.is_some_and(|successor| successor.ledger <= self.ledger) {
            self.successor = None;
        }
        if allotment.owner == Some(owner) {
            let limits = allotment.limits.iter().map(|(name, limit)| (name.clone(), *limit));
            self.limits.extend(limits);
        }
    }

    /// Records the current ledger according to the store. Limits of an earlier one stay valid for a
    /// while, until the new ledger has asked for them; if it can't reach this owner, they have to
    /// expire.
    pub fn observe_ledger(&mut self, ledger: FencingToken, now: Tick) {
        if ledger > self.ledger {
            let successor = self.successor.get_or_insert(Successor { ledger, since: now });
            successor.ledger = successor.ledger.max(ledger);
        }
    }

    /// Drops the limits if the ledger that gave them was replaced longer than [`LIMIT_EXPIRY`] ago.
    pub fn expire(&mut self, now: Tick) {
        if self.successor.is_some_and(|successor| now.since(successor.since) > LIMIT_EXPIRY) {
            self.limits.clear();
        }
    }

    /// Returns whether a customer that uses `used` here may start a task that needs `need`.
    pub fn allows(&self, customer: &CustomerName, used: Amount, need: Amount) -> bool {
        let Some(quota) = self.customers.quota(customer) else {
            return true;
        };
        let limit = self.limits.get(customer).copied().unwrap_or_default();
        let after = used.plus(need);
        // A lowered quota applies at once, before the ledger has divided it. A task larger than the
        // whole quota may run alone.
        let within_lowered = quota.allows(after) || used == Amount::default();
        within(quota, after, limit) && within_lowered
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

    /// Returns the report that answers a message: the changes if the ledger has the last report,
    /// all customers otherwise.
    pub fn answer(
        &mut self,
        allotment: &Allotment,
        owner: FencingToken,
        demand: &BTreeMap<CustomerName, Demand>,
    ) -> UsageReport {
        let mut report = self.report(owner, demand);
        let message = (allotment.ledger, allotment.round);
        if message != (self.ledger, self.round) || message == self.last_answered {
            // The message is late or a duplicate: its answer is discarded, and the ledger has
            // another report.
            return report;
        }
        let last_usage = std::mem::replace(&mut self.last_usage, report.customers.clone());
        let last_answered = std::mem::replace(&mut self.last_answered, message);
        if allotment.owner == Some(owner)
            && last_answered == (allotment.ledger, allotment.last_report)
        {
            report.whole = false;
            report.customers.retain(|name, usage| last_usage.get(name) != Some(usage));
            let gone = last_usage.into_keys().filter(|name| !self.last_usage.contains_key(name));
            report.customers.extend(gone.map(|name| (name, CustomerUsage::default())));
        }
        report
    }

    /// Returns the usage of all customers.
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

/// Returns whether `amount` is within `limit` in every resource that the quota limits.
fn within(quota: Quota, amount: Amount, limit: Amount) -> bool {
    amount.masked_by(quota.0).fits(limit)
}
