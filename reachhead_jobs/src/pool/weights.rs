//! Customers' weights in a pool: which jobs come after those of all others.
//!
//! Load: one customer sends many times what it is owed. In the order by worth alone its jobs stand among all others, which are
//! late then though their customers sent no more than usual.

use std::collections::{BTreeMap, VecDeque};

use reachhead_types::{
    id::CustomerName,
    size::{Millis, Weight},
};

use crate::{clock::Tick, pool::Pool};

/// The time in which a customer is owed as many jobs as its weight says.
const WEIGHT_TIME: Millis = Millis(1000);

/// When the jobs came that were within their customers' weights.
#[derive(Debug, Clone, Default)]
pub(super) struct Arrived {
    within: BTreeMap<CustomerName, VecDeque<Tick>>,
}

impl Arrived {
    /// Notes a job; tells whether its customer has sent more than its weight within the last second.
    fn is_beyond(&mut self, customer: &CustomerName, weight: Weight, now: Tick) -> bool {
        let arrived = self.within.entry(customer.clone()).or_default();
        while arrived.front().is_some_and(|at| now.since(*at) >= WEIGHT_TIME) {
            arrived.pop_front();
        }
        let beyond = arrived.len() >= weight.0 as usize;
        if !beyond {
            arrived.push_back(now);
        }
        beyond
    }
}

impl Pool {
    /// Tells whether a job that comes now is more than its customer is owed. Weights count for all pools together; what is
    /// beyond the whole weight in one of them is so for certain.
    pub(super) fn is_beyond_weight(&mut self, customer: Option<&CustomerName>, now: Tick) -> bool {
        let Some(customer) = customer else {
            return false;
        };
        match self.quotas.weight(customer) {
            Some(weight) => self.arrived.is_beyond(customer, weight, now),
            None => false,
        }
    }
}
