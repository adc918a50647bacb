//! Quotas of customers across pools.
//!
//! Load: a customer's jobs come to several pools, each with an owner of its own, and together they could run more than the
//! customer's quota. Owners change, are paused or cut off, and orders to workers are carried out late. What must hold is that
//! no start ever brings what a customer has running above its quota.
//!
//! The quota is divided. One process keeps a [`Ledger`] of what it has allotted to each pool; the owner of a pool starts
//! nothing beyond its [`CustomerLimits`]. An allotment is raised only by what no pool holds, and counts as held until its owner
//! has confirmed a lower one. docs/QUOTAS.md tells what holds whoever fails.

mod allowance;
mod ledger;
mod share;

use std::collections::BTreeMap;

use reachhead_plan::amount::Amount;
use reachhead_types::{id::CustomerName, size::FencingToken};
use serde::{Deserialize, Serialize};

pub use self::{
    allowance::{CustomerLimits, Demand, LIMIT_EXPIRY},
    ledger::Ledger,
};

/// What a pool may have running for customers, from the ledger to the pool's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// The token of the process that keeps the ledger; an owner that has heard a higher one ignores the limits.
    pub ledger: FencingToken,
    /// Rises with each message, so that one that was held up on its way undoes no later one.
    pub round: u64,
    /// The owner that the limits are for; `None` before the ledger has heard who that is.
    pub owner: Option<FencingToken>,
    /// The limits that change.
    pub limits: BTreeMap<CustomerName, Amount>,
    /// The round of the newest statement of this owner that the ledger has; only what changed since has to be told.
    #[serde(rename = "heard")]
    pub last_report: u64,
}

/// What the owner of a pool answers to an [`Allotment`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Its token.
    pub owner: FencingToken,
    /// It is all that there is to say, and not only what changed since the statement that the ledger has.
    pub whole: bool,
    /// The customers with a quota of which the pool has anything, or had when it was last said.
    pub customers: BTreeMap<CustomerName, CustomerUsage>,
}

/// Where a customer stands in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// What its tasks may have.
    pub limit: Amount,
    /// What its tasks have, and what tasks of which the owner does not know yet may have.
    pub used: Amount,
    /// What tasks would have that could start now.
    pub wanted: Amount,
    /// What the next of these needs.
    pub next: Amount,
}

impl CustomerUsage {
    /// Returns what nobody else may be given.
    pub fn held(&self) -> Amount {
        self.limit.max(self.used)
    }

    /// Tells whether a task waits for which the limit leaves no room.
    pub fn is_throttled(&self) -> bool {
        self.next != Amount::default() && !self.used.plus(self.next).fits(self.limit)
    }
}
