//! How the hosts of a fleet are divided when its pools together could use more than there are.
//!
//! Load: queues rise by turns, and the pool of the last turn still works off what it could not do at once when the next
//! one rises. Each asks for more hosts than the fleet has, and hosts only leave a pool that has more than it asks for: whoever
//! was first would keep them all, for work that is too late already, and the next pool would fall behind in turn. So what
//! pools ask for is cut to what there is before any host moves. docs/DIVISION.md has the ways that were weighed.

use std::cmp::min;

/// How many hosts a pool could use, for one reason after the other; each figure includes the ones before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Claim {
    /// For tasks that must be at work all the time, and the few hosts that each pool keeps for its first jobs. Without
    /// these a pool breaks what its group was promised, so they come first.
    pub base: usize,
    /// For work that can be in time. Late work of one pool must not hold a host that another lacks for it.
    pub timely: usize,
    /// For late work, and a margin.
    pub total: usize,
}

/// The levels of a claim, the most urgent first.
const LEVELS: [fn(&Claim) -> usize; 3] =
    [|claim| claim.base, |claim| claim.timely, |claim| claim.total];

/// Returns how many of `hosts` each pool is to have, in the order of the claims.
///
/// The levels are served one after the other. Where a level does not fit, pools are levelled: each gets what it claims up to a
/// common number. A pool that asks for little gets all of it, and what is missing is missing at those that ask for most,
/// so no group's burst takes the hosts of another one's.
pub fn divide(hosts: usize, claims: &[Claim]) -> Vec<usize> {
    let mut shares = vec![0; claims.len()];
    let mut left = hosts;
    for level in LEVELS {
        let most: Vec<usize> = claims.iter().map(level).collect();
        left -= raise(&mut shares, &most, left);
    }
    shares
}

/// Raises shares towards `most`, the smallest first, by `left` hosts altogether; returns how many were given.
fn raise(shares: &mut [usize], most: &[usize], left: usize) -> usize {
    let reached = |level: usize| -> usize {
        let after = shares.iter().zip(most).map(|(share, most)| min(*most, level).max(*share));
        after.sum::<usize>() - shares.iter().sum::<usize>()
    };
    let top = most.iter().copied().max().unwrap_or(0);
    // The highest common number that the hosts suffice for.
    let (mut low, mut high) = (0, top);
    while low < high {
        let middle = (low + high).div_ceil(2);
        if reached(middle) <= left { low = middle } else { high = middle - 1 }
    }
    let mut given = reached(low);
    for (share, most) in shares.iter_mut().zip(most) {
        *share = min(*most, low).max(*share);
    }
    // What is left is less than one for each that could use more.
    for (share, most) in shares.iter_mut().zip(most) {
        if given < left && *share == low && *share < *most {
            *share += 1;
            given += 1;
        }
    }
    given
}
