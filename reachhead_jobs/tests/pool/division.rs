//! Tests of dividing hosts among pools that could use more than there are.

use quickcheck::{Arbitrary, Gen};
use reachhead_jobs::division::{Claim, divide};
use reachhead_property::properties;

/// Claims of a few pools, with sizes at which the levels overlap.
#[derive(Debug, Clone)]
struct Claims(Vec<Claim>);

impl Arbitrary for Claims {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = u8::arbitrary(g) % 6;
        let part = |g: &mut Gen| usize::from(u8::arbitrary(g) % 24);
        let claim = |_| {
            let base = part(g) / 4;
            let timely = base + part(g);
            Claim { base, timely, total: timely + part(g) }
        };
        Self((0..count).map(claim).collect())
    }
}

/// Reference implementation: gives one host at a time to the pool with the fewest of those below
/// their claim at the current level.
fn naive(hosts: usize, claims: &[Claim]) -> Vec<usize> {
    let mut shares = vec![0; claims.len()];
    let mut free = hosts;
    for level in [0, 1, 2] {
        let limit = |claim: &Claim| [claim.base, claim.timely, claim.total][level];
        while free > 0 {
            let wanting = (0..claims.len()).filter(|&pool| shares[pool] < limit(&claims[pool]));
            let Some(pool) = wanting.min_by_key(|&pool| shares[pool]) else {
                break;
            };
            shares[pool] += 1;
            free -= 1;
        }
    }
    shares
}

properties! {
    fn shares_are_those_of_the_naive_version(claims: Claims, hosts: u8) -> bool {
        let hosts = usize::from(hosts);
        divide(hosts, &claims.0) == naive(hosts, &claims.0)
    }

    fn nobody_gets_more_than_it_could_use_and_nothing_is_kept_back(claims: Claims, hosts: u8) -> bool {
        let hosts = usize::from(hosts);
        let shares = divide(hosts, &claims.0);
        let requested: usize = claims.0.iter().map(|claim| claim.total).sum();
        let within_claims = shares.iter().zip(&claims.0).all(|(share, claim)| *share <= claim.total);
        within_claims && shares.iter().sum::<usize>() == requested.min(hosts)
    }
}

#[test]
fn late_work_keeps_no_host_that_another_pool_needs_for_timely_work() {
    let behind = Claim { base: 3, timely: 20, total: 80 };
    let rising = Claim { base: 3, timely: 30, total: 34 };
    assert_eq!(divide(54, &[behind, rising]), [24, 30]);
}

#[test]
fn a_small_claim_is_met_in_full_beside_large_ones() {
    let small = Claim { base: 3, timely: 10, total: 12 };
    let large = Claim { base: 5, timely: 60, total: 70 };
    assert_eq!(divide(90, &[large, small, large]), [40, 10, 40]);
}
