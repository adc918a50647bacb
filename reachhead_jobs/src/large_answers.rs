//! Limits the large answers that a process sends at the same time.
//!
//! After a loss of power hundreds of processes read the same table from few members. If a member
//! with a narrow link answered all of them at once, each would get so little of the link that none
//! finished, and the heartbeats of the member would be late. Those beyond the limit are told to ask
//! the store (docs/design/large-reads.md).

use std::collections::VecDeque;

use reachhead_types::size::{ByteRate, Millis};

use crate::clock::Tick;

/// Size from which an answer is large, in bytes: a narrow link carries it in a quarter of a second.
pub const MIN_LARGE_BYTES: usize = 64 << 10;

/// Maximum number of large answers at a time. Two, so that a reader that is cut off does not keep
/// all others waiting.
const MAX_ANSWERS: usize = 2;

/// The large answers that are being sent, by when the process's own link has carried them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LargeAnswers {
    bandwidth: ByteRate,
    /// When each answer has been sent, in rising order.
    ends: VecDeque<Tick>,
}

impl LargeAnswers {
    /// Returns the state of a process that sends nothing on a link with this bandwidth.
    pub fn new(bandwidth: ByteRate) -> Self {
        Self { bandwidth, ends: VecDeque::new() }
    }

    /// Returns whether no further large answer may begin now.
    pub fn is_full(&mut self, now: Tick) -> bool {
        while self.ends.front().is_some_and(|end| *end <= now) {
            self.ends.pop_front();
        }
        self.ends.len() >= MAX_ANSWERS
    }

    /// Records an answer of `bytes` bytes and returns true if it may be sent now.
    pub fn admit(&mut self, bytes: usize, now: Tick) -> bool {
        if bytes < MIN_LARGE_BYTES {
            return true;
        }
        if self.is_full(now) {
            return false;
        }
        let begin = self.ends.back().copied().unwrap_or(now);
        let time = Millis((bytes as u64).saturating_mul(1000) / self.bandwidth.0.max(1));
        self.ends.push_back(begin + time);
        true
    }
}
