//! Timeouts for store calls that adapt to the observed latency.
//!
//! The store may execute calls and lose their answers for seconds at a time, while callers wait for
//! jobs to be stored and for their ends to be recorded. A short timeout lets such a call be retried
//! soon; the retry finds that it was already done. A store that is only slow must not receive every
//! call twice, so the timeout grows with the latency.

use std::{collections::BTreeMap, time::Duration};

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
/// latency of other calls, and theirs nothing about a scan. Transactions wait for each other, and
/// reads do not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read of some rows.
    Read,
    /// A transaction.
    Commit,
    /// A scan of all rows of a partition.
    Scan,
    /// One page of a scan. Quick scans of small partitions say nothing about it, nor does it about
    /// them.
    Page,
}

impl CallKind {
    /// Returns whether the call is short: one that times out shows a fault of its partition.
    pub const fn is_short(self) -> bool {
        matches!(self, Self::Read | Self::Commit)
    }
}

/// The timeouts of one partition, or the latencies of all of them.
#[derive(Debug, Clone, Copy, Default)]
struct KindTimeouts {
    read: AdaptiveTimeout,
    commit: AdaptiveTimeout,
    scan: AdaptiveTimeout,
    page: AdaptiveTimeout,
}

impl KindTimeouts {
    fn for_kind(&mut self, kind: CallKind) -> &mut AdaptiveTimeout {
        match kind {
            CallKind::Read => &mut self.read,
            CallKind::Commit => &mut self.commit,
            CallKind::Scan => &mut self.scan,
            CallKind::Page => &mut self.page,
        }
    }
}

/// The adaptive timeouts of all calls.
///
/// The latency over all partitions is a lower bound for each: a slow store is mostly slow for all. A
/// partition that is slow alone has a longer timeout, which quick answers of others can't shorten.
#[derive(Debug, Clone, Default)]
pub struct AdaptiveTimeouts {
    shared: KindTimeouts,
    partitions: BTreeMap<String, KindTimeouts>,
}

impl AdaptiveTimeouts {
    /// Returns the timeout of the next call.
    pub fn current(&mut self, partition: &str, kind: CallKind) -> Duration {
        let shared = self.shared.for_kind(kind).current();
        self.partition(partition).for_kind(kind).current().max(shared)
    }

    /// Records that an answer arrived in time, after `latency`.
    pub fn record_answer(&mut self, partition: &str, kind: CallKind, latency: Duration) {
        self.shared.for_kind(kind).record_answer(latency);
        self.partition(partition).for_kind(kind).record_answer(latency);
    }

    /// Records that a call timed out.
    pub fn record_timeout(&mut self, kind: CallKind) {
        self.shared.for_kind(kind).record_timeout();
    }

    /// Records that the answer to a call that had timed out arrived after `latency`.
    pub fn record_late_answer(&mut self, partition: &str, kind: CallKind, latency: Duration) {
        self.partition(partition).for_kind(kind).record_answer(latency);
    }

    fn partition(&mut self, partition: &str) -> &mut KindTimeouts {
        if !self.partitions.contains_key(partition) {
            self.partitions.insert(partition.to_owned(), KindTimeouts::default());
        }
        self.partitions.get_mut(partition).unwrap_or_else(|| unreachable!("inserted above"))
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
