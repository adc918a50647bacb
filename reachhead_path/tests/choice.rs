//! Choosing a minion, ejection, retry budget.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use rand::{SeedableRng, rngs::SmallRng};
use reachhead_path::{
    eject::{Ejection, FAILURE_LIMIT, FIRST_TERM, LAST_TERM, Step},
    pick::{Candidate, choose},
    retry::{RETRY_RESERVE, RETRY_SHARE, RetryBudget},
};
use reachhead_property::properties;
use reachhead_types::boot_instant::BootInstant;

#[derive(Debug, Clone)]
struct Any(Candidate);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Candidate {
            running: u32::arbitrary(g) % 4,
            limit: u32::arbitrary(g) % 4,
            is_local: bool::arbitrary(g),
            is_open: bool::arbitrary(g),
            was_tried: bool::arbitrary(g),
        })
    }
}

/// The naive version: the best rank among the free ones.
fn best_rank(candidates: &[Candidate]) -> Option<(bool, bool)> {
    let free = candidates.iter().filter(|c| c.is_open && c.running < c.limit);
    free.map(|c| (c.was_tried, !c.is_local)).min()
}

properties! {
    fn the_choice_is_free_and_of_the_best_rank(candidates: Vec<Any>, seed: u64) -> bool {
        let candidates: Vec<Candidate> = candidates.into_iter().map(|any| any.0).collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        match choose(candidates.iter().copied(), &mut rng) {
            None => best_rank(&candidates).is_none(),
            Some(index) => {
                let chosen = candidates[index];
                chosen.is_open
                    && chosen.running < chosen.limit
                    && best_rank(&candidates) == Some((chosen.was_tried, !chosen.is_local))
            }
        }
    }

    fn retries_never_exceed_their_share(results: Vec<bool>) -> bool {
        let mut budget = RetryBudget::new();
        let mut successes = 0.0;
        let mut retries = 0.0;
        for is_success in results {
            if is_success {
                budget.succeed();
                successes += 1.0;
            } else if budget.take() {
                retries += 1.0;
            }
        }
        retries <= RETRY_RESERVE + successes * RETRY_SHARE + 1e-6
    }
}

#[test]
fn an_ejected_minion_comes_back_and_is_ejected_longer_each_time() {
    let mut now = BootInstant::now();
    let mut ejection = Ejection::new();
    for _ in 1..FAILURE_LIMIT {
        assert_eq!(ejection.fail(now), Step::Same);
    }
    assert_eq!(ejection.fail(now), Step::Ejected);
    let mut term = FIRST_TERM;
    for _ in 0..10 {
        assert!(ejection.is_ejected(now + term - Duration::from_millis(1)));
        now += term;
        assert!(!ejection.is_ejected(now));
        // On probation one failure is enough.
        assert_eq!(ejection.fail(now), Step::Ejected);
        term = (term * 2).min(LAST_TERM);
    }
    assert_eq!(ejection.succeed(), Step::Restored);
    assert_eq!(ejection.fail(now), Step::Same);
}
