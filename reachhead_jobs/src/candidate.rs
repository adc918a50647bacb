//! Which process should be in charge of a pool: the strongest for what it already bears.

use std::{
    cmp::Ordering,
    hash::{Hash, Hasher},
};

use reachhead_types::{
    id::{NodeName, PoolName},
    size::{Millis, Strength},
};
use siphasher::sip::SipHasher13;

/// How many times as much an owner must bear as another process would with its pool, before it hands
/// the pool over: a change of hands costs some tenths of a second in which the pool stands still.
const RELIEF_FACTOR: u64 = 2;

/// Delay between one candidate and the next, so that mostly one of them writes.
const RANK_DELAY: Millis = Millis(60);

/// Candidates that wait for each other one by one. Those behind them, and processes that are no members, come after all of these
/// and within [`SPREAD`]: however many hosts are lost together, the next owner comes within the same time.
const RANKS_MOST: usize = 10;

/// The time over which all others are spread.
const SPREAD: Millis = Millis(1000);

/// How much longer a process waits while there is one of at least twice its strength. Processes notice that an owner is gone
/// up to a quarter of a second after each other, so the delays between ranks alone let a weak one be first; a pool in its
/// burst that it can't bear is late for as long as it keeps it.
const WEAK_DELAY: Millis = Millis(400);

/// A process that may be in charge of pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The process.
    pub node: &'a NodeName,
    /// What it bears.
    pub strength: Strength,
    /// The pools that it is in charge of already.
    pub owned: usize,
}

impl Candidate<'_> {
    /// Tells whether this process should take the pool rather than `other`: it would bear less for its
    /// strength, or the same and the pool's hash decides.
    pub fn precedes(&self, other: &Self, pool: &PoolName) -> bool {
        let by_weight = || weight(pool, other.node).cmp(&weight(pool, self.node));
        self.compare(other).then_with(by_weight).is_lt()
    }

    /// Compares what this process and `other` would bear for their strength with one more pool.
    pub fn compare(&self, other: &Self) -> Ordering {
        self.burden_after(other).cmp(&other.burden_after(self))
    }

    /// Tells whether `other` would bear so much less with one more pool that this process should hand one
    /// over.
    pub fn should_hand_over(&self, other: &Self) -> bool {
        let own = self.owned as u64 * u64::from(other.strength.0);
        own > RELIEF_FACTOR * other.burden_after(self)
    }

    /// Tells whether this process is so much stronger than `other` that `other` should not be in charge in its stead.
    fn outmatches(&self, other: &Self) -> bool {
        u64::from(self.strength.0) >= 2 * u64::from(other.strength.0)
    }

    /// Returns the burden with one more pool, on a scale that it shares with `other`'s.
    fn burden_after(&self, other: &Self) -> u64 {
        (self.owned as u64 + 1) * u64::from(other.strength.0)
    }
}

/// Returns how many of `others` should take the pool rather than `own`.
pub fn count_preferred<'a>(
    pool: &PoolName,
    own: &Candidate<'_>,
    others: impl Iterator<Item = Candidate<'a>>,
) -> usize {
    others.filter(|other| other.precedes(own, pool)).count()
}

/// Returns for how long `own` lets others take a vacant pool first; `member` tells whether others count on it as a candidate.
pub fn delay<'a>(
    pool: &PoolName,
    own: &Candidate<'_>,
    member: bool,
    others: impl Iterator<Item = Candidate<'a>>,
) -> Millis {
    let others: Vec<Candidate<'a>> = others.collect();
    let outmatched = others.iter().any(|other| other.precedes(own, pool) && other.outmatches(own));
    let weak = if outmatched { WEAK_DELAY } else { Millis(0) };
    let rank = count_preferred(pool, own, others.into_iter());
    let ranked = RANK_DELAY.0 * rank.min(RANKS_MOST) as u64;
    if member && rank < RANKS_MOST {
        return Millis(ranked + weak.0);
    }
    let last = RANK_DELAY.0 * RANKS_MOST as u64;
    Millis(last + weight(pool, own.node) % SPREAD.0 + weak.0)
}

/// Returns a process's weight for a pool, the same on every host; it spreads pools over processes that
/// are alike.
fn weight(pool: &PoolName, node: &NodeName) -> u64 {
    let mut hasher = SipHasher13::new();
    (pool.as_str(), node.as_str()).hash(&mut hasher);
    hasher.finish()
}
