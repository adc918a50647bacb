//! Divides a customer's quota among pools.

use reachhead_plan::amount::Amount;

use crate::{clock::Tick, customer::Quota};

/// Usage and demand of a customer in a pool, in the resources that its quota limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Claim {
    /// Resources in use.
    pub used: Amount,
    /// Resources of the tasks that could start now.
    pub wanted: Amount,
    /// Resources of the next such task.
    pub next: Amount,
    /// Since when the limit has not sufficed for that task.
    pub waiting_since: Option<Tick>,
}

/// Returns the share of each pool. Together they are at most the quota, except for one task that is
/// larger than the quota.
///
/// Shares cover first what runs, then whole tasks, then other waiting tasks. The rest is spread
/// over all pools, so that a pool in which the customer's next jobs arrive need not ask first.
pub(super) fn shares(quota: Quota, claims: &[Claim]) -> Vec<Amount> {
    let sum = claims.iter().map(|claim| claim.used).fold(Amount::default(), Amount::plus);
    // While usage exceeds a lowered quota, nothing that ends is replaced anywhere.
    let usable = quota.0.plus(Amount::new(1, 1, 1)).minus(sum);
    let mut shares: Vec<Amount> = claims.iter().map(|claim| claim.used.masked_by(usable)).collect();
    let left = give_tasks(&mut shares, claims, quota.0.minus(sum));
    let demands: Vec<Amount> = claims.iter().map(|claim| claim.used.plus(claim.wanted)).collect();
    let left = raise(&mut shares, &demands, left);
    spread(&mut shares, left);
    shares
}

/// Adds quota for whole tasks, to the pool that has waited longest first, and returns what is left.
/// A quota divided into parts that are each too small for a task would be of no use to anyone.
fn give_tasks(shares: &mut [Amount], claims: &[Claim], left: Amount) -> Amount {
    let mut left = left;
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|&index| claims[index].waiting_since);
    let mut is_idle = claims.iter().all(|claim| claim.used == Amount::default());
    for index in order {
        let next = claims[index].next;
        if next == Amount::default() {
            continue;
        }
        // A task larger than the whole quota may run alone.
        if next.fits(left) || is_idle {
            shares[index] = shares[index].plus(next);
            left = left.minus(next);
            is_idle = false;
        }
    }
    left
}

/// Raises shares towards `caps` by `left` in total, each resource to a common level (max-min fair);
/// returns what is left.
fn raise(shares: &mut [Amount], caps: &[Amount], left: Amount) -> Amount {
    let level =
        |of: fn(&Amount) -> u64, left: u64, set: fn(&mut Amount, u64), shares: &mut [Amount]| {
            let mut low = 0;
            let mut high = caps.iter().map(of).max().unwrap_or(0);
            let given = |level: u64, shares: &[Amount]| -> u64 {
                let each = shares.iter().zip(caps);
                each.map(|(share, cap)| of(cap).min(level).saturating_sub(of(share))).sum()
            };
            while low < high {
                let mid = low + (high - low).div_ceil(2);
                if given(mid, shares) <= left { low = mid } else { high = mid - 1 }
            }
            let spent = given(low, shares);
            for (share, cap) in shares.iter_mut().zip(caps) {
                let raised = of(cap).min(low).max(of(share));
                set(share, raised);
            }
            left - spent
        };
    Amount {
        cores: level(|a| a.cores, left.cores, |a, to| a.cores = to, shares),
        memory: level(|a| a.memory, left.memory, |a, to| a.memory = to, shares),
        accelerators: level(
            |a| a.accelerators,
            left.accelerators,
            |a, to| a.accelerators = to,
            shares,
        ),
    }
}

/// Adds an equal part of `left` to each share.
fn spread(shares: &mut [Amount], left: Amount) {
    let count = shares.len().max(1) as u64;
    let part = Amount::new(left.cores / count, left.memory / count, left.accelerators / count);
    for share in shares {
        *share = share.plus(part);
    }
}
