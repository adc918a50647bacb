//! Timeouts for store calls that adapt to the observed latency.
//!
//! The store may execute calls and lose their answers for seconds at a time, while callers wait for
//! jobs to be stored and for their ends to be recorded. A short timeout lets such a call be retried
//! soon; the retry finds that it was already done. A store that is only slow must not receive every
//! call twice, so the timeout grows with the latency.

use std::time::Duration;

/// Lower bound of a timeout: a healthy store answers within some milliseconds, and one that has
/// just become slow mostly within this time.
const MIN_TIMEOUT: Duration = Duration::from_millis(350);

/// Upper bound of a timeout; the deadline of the call itself expires earlier.
const MAX_TIMEOUT: Duration = Duration::from_secs(4);

/// Ratio of a timeout to the mean latency.
const TIMEOUT_FACTOR: u32 = 6;

/// Weight of the newest sample in the moving average of the latency, in eighths.
const SAMPLE_WEIGHT_EIGHTHS: u32 = 1;

/// The kind of a call, which decides whose latency its timeout follows.
///
/// A scan of a partition takes longer the more rows it reads, so its latency says nothing about the
/// latency of other calls, and theirs nothing about a scan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read of some rows, or a transaction.
    Short,
    /// A scan of all rows of a partition.
    Scan,
    /// One page of a scan. Quick scans of small partitions say nothing about it, nor does it about
    /// them.
    Page,
}

/// The adaptive timeouts of all call kinds.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdaptiveTimeouts {
    short: AdaptiveTimeout,
    scan: AdaptiveTimeout,
    page: AdaptiveTimeout,
}

impl AdaptiveTimeouts {
    /// Returns the timeout of calls of `kind`.
    pub fn for_kind(&mut self, kind: CallKind) -> &mut AdaptiveTimeout {
        match kind {
            CallKind::Short => &mut self.short,
            CallKind::Scan => &mut self.scan,
            CallKind::Page => &mut self.page,
        }
    }
}

/// A timeout that follows the moving average of the latency and doubles after each expiry.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdaptiveTimeout {
    mean_latency: Duration,
    /// Timeouts since the last answer that arrived in time.
    consecutive_timeouts: u32,
}

impl AdaptiveTimeout {
    /// Returns the timeout of the next call.
    pub fn current(self) -> Duration {
        let base = (self.mean_latency * TIMEOUT_FACTOR).max(MIN_TIMEOUT);
        (base * (1 << self.consecutive_timeouts.min(4))).min(MAX_TIMEOUT)
    }

    /// Records that an answer arrived after `latency`.
    pub fn record_answer(&mut self, latency: Duration) {
        self.mean_latency =
            (self.mean_latency * (8 - SAMPLE_WEIGHT_EIGHTHS) + latency * SAMPLE_WEIGHT_EIGHTHS) / 8;
        self.consecutive_timeouts = 0;
    }

    /// Records that a call timed out.
    ///
    /// Its answer is lost or the store has become slow; in the second case the next call needs a
    /// longer timeout.
    pub fn record_timeout(&mut self) {
        self.consecutive_timeouts += 1;
    }
}
