//! Divides the hosts of a fleet among pools that together could use more than there are.
//!
//! Queues peak in turns, and the pool of the previous peak still works off its backlog when the
//! next one begins. Each claims more hosts than the fleet has, and hosts only leave a pool that has
//! more than it claims. Without a limit the first pool would keep them all, for work that is
//! already too late, and the next one would fall behind as well. So claims are cut to the available
//! hosts before any host moves. docs/DIVISION.md compares the alternatives.

use std::cmp::min;

/// Hosts that a pool could use, by reason; each number includes the ones before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Claim {
    /// For long-running tasks, and the minimum that each pool keeps for its first jobs. These come
    /// first, since without them a pool breaks what its customers were promised.
    pub base: usize,
    /// For work that can be in time. Late work of one pool must not take hosts that another one
    /// needs for it.
    pub timely: usize,
    /// For late work and the margin.
    pub total: usize,
}

/// Levels of a claim, the most urgent first.
const LEVELS: [fn(&Claim) -> usize; 3] =
    [|claim| claim.base, |claim| claim.timely, |claim| claim.total];

/// Returns how many of `hosts` each pool gets, in the order of the claims.
///
/// Levels are served one after the other. A level that does not fit is divided max-min fairly: each
/// pool gets its claim up to a common number. Small claims are met in full and the largest ones
/// bear the shortage, so no customer's burst takes the hosts of another.
pub fn divide(hosts: usize, claims: &[Claim]) -> Vec<usize> {
    let mut shares = vec![0; claims.len()];
    let mut left = hosts;
    for level in LEVELS {
        let caps: Vec<usize> = claims.iter().map(level).collect();
        left -= raise(&mut shares, &caps, left);
    }
    shares
}

/// Raises shares towards `caps` by `left` hosts in total, the smallest first; returns how many were
/// given.
fn raise(shares: &mut [usize], caps: &[usize], left: usize) -> usize {
    let reached = |level: usize| -> usize {
        let after = shares.iter().zip(caps).map(|(share, cap)| min(*cap, level).max(*share));
        after.sum::<usize>() - shares.iter().sum::<usize>()
    };
    let top = caps.iter().copied().max().unwrap_or(0);
    // Find the highest common number that the hosts suffice for.
    let (mut low, mut high) = (0, top);
    while low < high {
        let mid = (low + high).div_ceil(2);
        if reached(mid) <= left { low = mid } else { high = mid - 1 }
    }
    let mut given = reached(low);
    for (share, cap) in shares.iter_mut().zip(caps) {
        *share = min(*cap, low).max(*share);
    }
    // The remainder is less than one host for each pool that could use more.
    for (share, cap) in shares.iter_mut().zip(caps) {
        if given < left && *share == low && *share < *cap {
            *share += 1;
            given += 1;
        }
    }
    given
}
