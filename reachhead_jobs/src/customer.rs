//! Customers with their keys, weights and quotas.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_plan::amount::Amount;
use reachhead_types::{id::CustomerName, size::Weight, token::KeyDigest};

/// A customer of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerName,
    /// Jobs a second that it is entitled to; also its fair share when all capacity is in use.
    pub weight: Weight,
    /// Quota of its tasks on all workers together.
    pub quota: Quota,
}

/// Maximum of each resource for a customer's running tasks; 0 for no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Quota(pub Amount);

impl Quota {
    /// Returns whether any resource is limited.
    pub fn is_limited(self) -> bool {
        self.0 != Amount::default()
    }

    /// Returns whether `used` is within the quota.
    pub fn allows(self, used: Amount) -> bool {
        used.masked_by(self.0).fits(self.0)
    }
}

/// The customers of a configuration and their keys.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Customers {
    /// Customers by name.
    pub by_name: BTreeMap<CustomerName, Arc<Customer>>,
    by_key: BTreeMap<KeyDigest, CustomerName>,
}

impl Customers {
    /// Creates an empty set.
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

    /// Returns whether any customer has a quota.
    pub fn has_quotas(&self) -> bool {
        self.by_name.values().any(|customer| customer.quota.is_limited())
    }

    /// Returns the customer that a key belongs to.
    pub fn customer_of_key(&self, key: &KeyDigest) -> Option<&CustomerName> {
        self.by_key.get(key)
    }

    /// Returns the quota of a customer; `None` if it has none.
    pub fn quota(&self, customer: &CustomerName) -> Option<Quota> {
        self.by_name.get(customer).map(|customer| customer.quota).filter(|quota| quota.is_limited())
    }
}
