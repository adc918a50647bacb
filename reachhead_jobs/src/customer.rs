//! Customers: whom callers' keys stand for, and what each of them is owed.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_plan::amount::Amount;
use reachhead_types::{id::CustomerName, size::Weight, token::KeyDigest};

/// A customer as the configuration has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: CustomerName,
    /// The jobs a second that it is owed, which is its share as well when everything is in use.
    pub weight: Weight,
    /// What its tasks may have of all workers together.
    pub quota: Quota,
}

/// The most that a customer's running tasks may have of each resource; 0 for no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Quota(pub Amount);

impl Quota {
    /// Tells whether any resource is limited.
    pub fn is_limited(self) -> bool {
        self.0 != Amount::default()
    }

    /// Tells whether `used` is within the quota.
    pub fn allows(self, used: Amount) -> bool {
        used.masked_by(self.0).fits(self.0)
    }
}

/// The customers of a configuration and their keys.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Customers {
    /// By name.
    pub by_name: BTreeMap<CustomerName, Arc<Customer>>,
    by_key: BTreeMap<KeyDigest, CustomerName>,
}

impl Customers {
    /// Returns no customers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a customer with its keys.
    #[must_use]
    pub fn with_customer(
        mut self,
        customer: Customer,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Self {
        self.by_key.extend(keys.into_iter().map(|key| (key, customer.name.clone())));
        self.by_name.insert(customer.name.clone(), Arc::new(customer));
        self
    }

    /// Tells whether any customer has a quota.
    pub fn has_quotas(&self) -> bool {
        self.by_name.values().any(|customer| customer.quota.is_limited())
    }

    /// Returns whose key this is.
    pub fn customer_of_key(&self, key: &KeyDigest) -> Option<&CustomerName> {
        self.by_key.get(key)
    }

    /// Returns what a customer may have at once; `None` where nothing limits it.
    pub fn quota(&self, customer: &CustomerName) -> Option<Quota> {
        self.by_name.get(customer).map(|customer| customer.quota).filter(|quota| quota.is_limited())
    }
}
