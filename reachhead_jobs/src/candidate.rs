//! Selects the process that should own a pool: the one with the least load for its capacity weight.

use std::{
    cmp::Ordering,
    hash::{Hash, Hasher},
};

use reachhead_types::{
    id::{NodeName, PoolName},
    size::{Millis, Strength},
};
use siphasher::sip::SipHasher13;

/// How many times the load of another candidate, including the pool, an owner must have before it
/// hands the pool over. An ownership change costs some tenths of a second in which the pool makes
/// no progress.
const HANDOVER_FACTOR: u64 = 2;

/// Delay between consecutive candidates, so that usually only one of them writes.
const RANK_DELAY: Millis = Millis(60);

/// Candidates that are delayed one by one. Those further behind, and processes that are not
/// members, come after all of these and within [`SPREAD`]: however many hosts are lost together,
/// the next owner takes over within the same time.
const MAX_RANK: usize = 10;

/// Time over which all other processes are spread.
const SPREAD: Millis = Millis(1000);

/// Additional delay of a process while a candidate of at least twice its capacity weight exists.
/// Processes detect the loss of an owner up to a quarter of a second after each other, so with rank
/// delays alone a weak one might come first. A pool in a burst beyond the owner's capacity is late
/// for as long as it stays there.
const WEAK_DELAY: Millis = Millis(400);

/// Additional delay of a process that could not read the pool's rows: all others come before it, and
/// if none of them takes the pool, it tries again.
pub const UNABLE_DELAY: Millis = Millis(2500);

/// A process that may own pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the process.
    pub node: &'a NodeName,
    /// Capacity weight.
    pub strength: Strength,
    /// Number of pools that it already owns.
    pub owned: usize,
}

impl Candidate<'_> {
    /// Returns whether this process is preferred over `other` as owner of the pool: by relative
    /// load, then by a hash with the pool.
    pub fn precedes(&self, other: &Self, pool: &PoolName) -> bool {
        let by_hash = || hash_of(pool, other.node).cmp(&hash_of(pool, self.node));
        self.compare(other).then_with(by_hash).is_lt()
    }

    /// Compares the relative load that this process and `other` would have with one more pool.
    pub fn compare(&self, other: &Self) -> Ordering {
        self.relative_load(other).cmp(&other.relative_load(self))
    }

    /// Returns whether `other` would have so much less relative load with one more pool that this
    /// process should hand one over.
    pub fn should_hand_over(&self, other: &Self) -> bool {
        let own = self.owned as u64 * u64::from(other.strength.0);
        own > HANDOVER_FACTOR * other.relative_load(self)
    }

    /// Returns whether this process should hand one of its pools over to `other` if its own link is
    /// what limits its pools. They share the link for as long as it owns them, and dispatchers don't
    /// relieve it (docs/design/dispatch.md), so half of the load is worth an ownership change.
    pub fn should_hand_over_for_link(&self, other: &Self) -> bool {
        let own = self.owned as u64 * u64::from(other.strength.0);
        own > 0 && own >= HANDOVER_FACTOR * other.relative_load(self)
    }

    /// Returns whether this process is so much stronger than `other` that `other` should not become
    /// owner instead.
    pub fn is_much_stronger(&self, other: &Self) -> bool {
        u64::from(self.strength.0) >= 2 * u64::from(other.strength.0)
    }

    /// Returns the load with one more pool, on a scale shared with `other`.
    fn relative_load(&self, other: &Self) -> u64 {
        (self.owned as u64 + 1) * u64::from(other.strength.0)
    }
}

/// Returns how many of `others` are preferred over `own` as owner of the pool.
pub fn count_preferred<'a>(
    pool: &PoolName,
    own: &Candidate<'_>,
    others: impl Iterator<Item = Candidate<'a>>,
) -> usize {
    others.filter(|other| other.precedes(own, pool)).count()
}

/// Returns how long `own` waits for others to take a vacant pool. `member` says whether it is a
/// member and so a candidate for others.
pub fn delay<'a>(
    pool: &PoolName,
    own: &Candidate<'_>,
    member: bool,
    others: impl Iterator<Item = Candidate<'a>>,
) -> Millis {
    let others: Vec<Candidate<'a>> = others.collect();
    let is_outmatched =
        others.iter().any(|other| other.precedes(own, pool) && other.is_much_stronger(own));
    let weak = if is_outmatched { WEAK_DELAY } else { Millis(0) };
    let rank = count_preferred(pool, own, others.into_iter());
    let ranked = RANK_DELAY.0 * rank.min(MAX_RANK) as u64;
    if member && rank < MAX_RANK {
        return Millis(ranked + weak.0);
    }
    let last = RANK_DELAY.0 * MAX_RANK as u64;
    Millis(last + hash_of(pool, own.node) % SPREAD.0 + weak.0)
}

/// Returns the rendezvous hash of a process and a pool, equal on all hosts; it spreads pools over
/// equal processes.
pub(crate) fn hash_of(pool: &PoolName, node: &NodeName) -> u64 {
    let mut hasher = SipHasher13::new();
    (pool.as_str(), node.as_str()).hash(&mut hasher);
    hasher.finish()
}
