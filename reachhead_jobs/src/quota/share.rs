//! How a customer's quota is divided over pools.

use reachhead_plan::amount::Amount;

use crate::{clock::Tick, customer::Quota};

/// What a customer has and could use in a pool, of the resources that its quota limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Claim {
    /// What its tasks have.
    pub used: Amount,
    /// What tasks would have that could start now.
    pub wanted: Amount,
    /// What the next of these needs.
    pub next: Amount,
    /// Since when that has found no room.
    pub short: Option<Tick>,
}

/// Returns what each pool should be allotted, which together is the quota at most, but for one task that is larger than it.
///
/// What runs comes first, then whole tasks, then what else waits, then what nobody needs: it is spread over all, so that a pool
/// in which the customer's jobs arrive next need not ask first.
pub(super) fn shares(quota: Quota, claims: &[Claim]) -> Vec<Amount> {
    let sum = claims.iter().map(|claim| claim.used).fold(Amount::default(), Amount::plus);
    // Where more is in use than a lowered quota has, nothing that ends is replaced anywhere until that has passed.
    let kept = quota.0.plus(Amount::new(1, 1, 1)).minus(sum);
    let mut shares: Vec<Amount> = claims.iter().map(|claim| claim.used.masked_by(kept)).collect();
    let left = give_tasks(&mut shares, claims, quota.0.minus(sum));
    let asked: Vec<Amount> = claims.iter().map(|claim| claim.used.plus(claim.wanted)).collect();
    let left = raise(&mut shares, &asked, left);
    spread(&mut shares, left);
    shares
}

/// Gives whole tasks, first to whom has waited longest, as a quota of which each pool has a part too small for a task would be of
/// use to nobody; returns what is left.
fn give_tasks(shares: &mut [Amount], claims: &[Claim], left: Amount) -> Amount {
    let mut left = left;
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|&place| claims[place].short);
    let mut empty = claims.iter().all(|claim| claim.used == Amount::default());
    for place in order {
        let next = claims[place].next;
        if next == Amount::default() {
            continue;
        }
        // A task larger than the whole quota may run alone.
        if next.fits(left) || empty {
            shares[place] = shares[place].plus(next);
            left = left.minus(next);
            empty = false;
        }
    }
    left
}

/// Raises shares towards `most` by `left` altogether, each resource to a common level; returns what is left.
fn raise(shares: &mut [Amount], most: &[Amount], left: Amount) -> Amount {
    let level =
        |of: fn(&Amount) -> u64, left: u64, set: fn(&mut Amount, u64), shares: &mut [Amount]| {
            let mut low = 0;
            let mut high = most.iter().map(of).max().unwrap_or(0);
            let given = |level: u64, shares: &[Amount]| -> u64 {
                let each = shares.iter().zip(most);
                each.map(|(share, most)| of(most).min(level).saturating_sub(of(share))).sum()
            };
            while low < high {
                let middle = low + (high - low).div_ceil(2);
                if given(middle, shares) <= left { low = middle } else { high = middle - 1 }
            }
            let spent = given(low, shares);
            for (share, most) in shares.iter_mut().zip(most) {
                let raised = of(most).min(low).max(of(share));
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

/// Gives each share an equal part of what is left.
fn spread(shares: &mut [Amount], left: Amount) {
    let count = shares.len().max(1) as u64;
    let part = Amount::new(left.cores / count, left.memory / count, left.accelerators / count);
    for share in shares {
        *share = share.plus(part);
    }
}
