//! Hosts divided over pools that could use more than there are.

use quickcheck::{Arbitrary, Gen};
use reachhead_jobs::division::{Claim, divide};
use reachhead_property::properties;

/// Claims of a few pools, of sizes at which levels overlap.
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

/// The naive version: one host after the other, to whoever has least of those that lack at the level.
fn naive(hosts: usize, claims: &[Claim]) -> Vec<usize> {
    let mut shares = vec![0; claims.len()];
    let mut left = hosts;
    for level in [0, 1, 2] {
        let most = |claim: &Claim| [claim.base, claim.timely, claim.total][level];
        while left > 0 {
            let lacks = (0..claims.len()).filter(|&pool| shares[pool] < most(&claims[pool]));
            let Some(pool) = lacks.min_by_key(|&pool| shares[pool]) else {
                break;
            };
            shares[pool] += 1;
            left -= 1;
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
        let asked: usize = claims.0.iter().map(|claim| claim.total).sum();
        let bounded = shares.iter().zip(&claims.0).all(|(share, claim)| *share <= claim.total);
        bounded && shares.iter().sum::<usize>() == asked.min(hosts)
    }
}

#[test]
fn late_work_holds_no_host_that_another_pool_lacks_for_work_in_time() {
    let behind = Claim { base: 3, timely: 20, total: 80 };
    let rising = Claim { base: 3, timely: 30, total: 34 };
    assert_eq!(divide(54, &[behind, rising]), [24, 30]);
}

#[test]
fn a_small_claim_is_met_whole_beside_large_ones() {
    let small = Claim { base: 3, timely: 10, total: 12 };
    let large = Claim { base: 5, timely: 60, total: 70 };
    assert_eq!(divide(90, &[large, small, large]), [40, 10, 40]);
}
