//! Quotas of customers across pools.
//!
//! A customer's jobs come to several pools, each with an owner of its own, and together they could
//! run more than the customer's quota. Owners change, are paused or partitioned, and orders to
//! workers are carried out late. The invariant is that no start ever brings a customer's running
//! tasks above its quota.
//!
//! The quota is divided. One process keeps a [`Ledger`] of what it has allotted to each pool, and
//! the owner of a pool starts nothing beyond its [`CustomerLimits`]. An allotment is raised only by
//! what no pool holds, and counts as held until its owner has confirmed a lower one. docs/QUOTAS.md
//! describes the guarantees under failures.

mod allowance;
mod ledger;
mod share;

use std::collections::BTreeMap;

use reachhead_plan::amount::Amount;
use reachhead_types::{id::CustomerName, size::FencingToken};
use serde::{Deserialize, Serialize};

pub use self::{
    allowance::{CustomerLimits, Demand, LIMIT_EXPIRY},
    ledger::{Ledger, max_orphan_time},
};

/// Limits of the customers in a pool, sent by the ledger to the pool's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Token of the ledger's process; an owner that knows a higher one ignores the limits.
    pub ledger: FencingToken,
    /// Increases with each message, so that a delayed one does not overwrite a later one.
    pub round: u64,
    /// Token of the owner that the limits are for; `None` until the ledger knows it.
    pub owner: Option<FencingToken>,
    /// Limits that change.
    pub limits: BTreeMap<CustomerName, Amount>,
    /// Round of this owner's newest report that the ledger has; only changes since then need to be
    /// reported.
    #[serde(rename = "heard")]
    pub last_report: u64,
}

/// Answer of a pool's owner to an [`Allotment`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Token of the owner.
    pub owner: FencingToken,
    /// The report is complete; otherwise it holds the changes since the last report of the ledger.
    pub whole: bool,
    /// Usage of the customers with a quota that use or used anything in the pool.
    pub customers: BTreeMap<CustomerName, CustomerUsage>,
}

/// Limit, usage and demand of a customer in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// Resources that its tasks may use.
    pub limit: Amount,
    /// Resources that its tasks use, including tasks of which the owner does not know yet.
    pub used: Amount,
    /// Resources of the tasks that could start now.
    pub wanted: Amount,
    /// Resources of the next such task.
    pub next: Amount,
}

impl CustomerUsage {
    /// Returns what no other pool may be given.
    pub fn held(&self) -> Amount {
        self.limit.max(self.used)
    }

    /// Returns whether a task waits because the limit does not suffice for it.
    pub fn is_throttled(&self) -> bool {
        self.next != Amount::default() && !self.used.plus(self.next).fits(self.limit)
    }
}
