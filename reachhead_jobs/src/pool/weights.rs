//! Customer weights in a pool: jobs beyond a customer's weight are scheduled after all others.
//!
//! When one customer sends many times its share, ordering by value alone would mix its jobs with
//! those of others, which would then be late although their customers sent no more than usual.

use std::collections::{BTreeMap, VecDeque};

use reachhead_types::{
    id::CustomerName,
    size::{Millis, Weight},
};

use crate::{clock::Tick, pool::Pool};

/// Window in which a customer is owed as many jobs as its weight.
const WEIGHT_TIME: Millis = Millis(1000);

/// Arrival times of the jobs that were within their customers' weights.
#[derive(Debug, Clone, Default)]
pub(super) struct CustomerArrivals {
    within: BTreeMap<CustomerName, VecDeque<Tick>>,
}

impl CustomerArrivals {
    /// Records a job's arrival, and returns whether its customer exceeded its weight in the last
    /// window.
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
    /// Returns whether a job that arrives now exceeds its customer's weight. Weights apply to all
    /// pools together, so a job beyond the whole weight in one pool certainly exceeds it.
    pub(super) fn is_beyond_weight(&mut self, customer: Option<&CustomerName>, now: Tick) -> bool {
        let Some(customer) = customer else {
            return false;
        };
        match self.quotas.weight(customer) {
            Some(weight) => self.customer_arrivals.is_beyond(customer, weight, now),
            None => false,
        }
    }
}
