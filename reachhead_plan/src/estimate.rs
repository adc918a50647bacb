//! Estimates of the resources that a task of a job needs.
//!
//! Declared sizes are far from real usage, so estimates are based on usage reports, which lag
//! behind.

use std::collections::VecDeque;

use crate::amount::Amount;

/// Usage reports that are kept per job.
pub const MAX_SAMPLES: usize = 64;

/// Fraction of the reports that an estimate covers.
const QUANTILE: f64 = 0.95;

/// Number of reports below which an estimate is at least the declared size.
const MIN_TRUSTED_SAMPLES: usize = 8;

/// Safety margin for a single report, as a fraction; it is divided by the square root of the number
/// of reports.
const SINGLE_SAMPLE_MARGIN: f64 = 0.5;

/// Estimates the size of a task from the latest usage reports of its job.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    reports: VecDeque<Amount>,
}

impl Estimator {
    /// Returns an estimator without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the reported usage of a task.
    pub fn record(&mut self, used: Amount) {
        if self.reports.len() == MAX_SAMPLES {
            self.reports.pop_front();
        }
        self.reports.push_back(used);
    }

    /// Returns the resources to reserve for a task.
    ///
    /// It is an upper quantile of the reports plus a safety margin that shrinks with their number,
    /// and at least the declared size while there are very few reports.
    pub fn estimate(&self, declared: Amount) -> Amount {
        let count = self.reports.len();
        if count == 0 {
            return declared;
        }
        let margin_factor = 1.0 + SINGLE_SAMPLE_MARGIN / (count as f64).sqrt();
        let upper = |get: fn(&Amount) -> u64| {
            let mut values: Vec<u64> = self.reports.iter().map(get).collect();
            let rank = ((count as f64 * QUANTILE).ceil() as usize).clamp(1, count) - 1;
            let (_, value, _) = values.select_nth_unstable(rank);
            (*value as f64 * margin_factor).ceil() as u64
        };
        let estimate = Amount {
            cores: upper(|amount| amount.cores),
            memory: upper(|amount| amount.memory),
            // Accelerators are assigned as whole devices, so the declared number is exact.
            accelerators: declared.accelerators,
        };
        if count < MIN_TRUSTED_SAMPLES { estimate.max(declared) } else { estimate }
    }
}
