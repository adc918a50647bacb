//! What a task of a job really needs, from lagged reports: declared sizes are far from the truth.

use std::collections::VecDeque;

use crate::amount::Amount;

/// Reports that are kept of a job.
pub const MAX_SAMPLES: usize = 64;

/// Share of the reports that an estimate covers.
const QUANTILE: f64 = 0.95;

/// Reports before which the declared size counts as well.
const TRUST_COUNT: usize = 8;

/// Extra room for a single report, as a share; it shrinks with the square root of their number.
const CAUTION: f64 = 0.5;

/// The latest reports of the tasks of one job.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    reports: VecDeque<Amount>,
}

impl Estimator {
    /// Returns an estimator without a report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes what a task was reported to use.
    pub fn record(&mut self, used: Amount) {
        if self.reports.len() == MAX_SAMPLES {
            self.reports.pop_front();
        }
        self.reports.push_back(used);
    }

    /// Returns what a task should be given room for: an upper quantile of the reports with more
    /// caution the fewer they are, and at least what was declared while they are very few.
    pub fn estimate(&self, declared: Amount) -> Amount {
        let count = self.reports.len();
        if count == 0 {
            return declared;
        }
        let caution = 1.0 + CAUTION / (count as f64).sqrt();
        let upper = |get: fn(&Amount) -> u64| {
            let mut values: Vec<u64> = self.reports.iter().map(get).collect();
            let rank = ((count as f64 * QUANTILE).ceil() as usize).clamp(1, count) - 1;
            let (_, value, _) = values.select_nth_unstable(rank);
            (*value as f64 * caution).ceil() as u64
        };
        let estimate = Amount {
            cores: upper(|amount| amount.cores),
            memory: upper(|amount| amount.memory),
            // Accelerators are handed out whole, so the declared number is the truth.
            accelerators: declared.accelerators,
        };
        if count < TRUST_COUNT { estimate.max(declared) } else { estimate }
    }
}
