//! Load balancing, outlier ejection and the retry budget.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use rand::{SeedableRng, rngs::SmallRng};
use reachhead_path::{
    eject::{Ejection, EjectionChange, MAX_EJECTION_TIME, MAX_FAILURES, MIN_EJECTION_TIME},
    pick::{Candidate, choose},
    retry::{MAX_RETRY_TOKENS, RETRIES_PER_SUCCESS, RetryBudget},
};
use reachhead_property::properties;
use reachhead_types::boot_instant::BootInstant;

#[derive(Debug, Clone)]
struct AnyCandidate(Candidate);

impl Arbitrary for AnyCandidate {
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

/// The naive implementation: the best rank among the minions with free slots.
fn best_rank(candidates: &[Candidate]) -> Option<(bool, bool)> {
    let free = candidates.iter().filter(|c| c.is_open && c.running < c.limit);
    free.map(|c| (c.was_tried, !c.is_local)).min()
}

properties! {
    fn the_choice_is_free_and_of_the_best_rank(candidates: Vec<AnyCandidate>, seed: u64) -> bool {
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
                budget.record_success();
                successes += 1.0;
            } else if budget.take() {
                retries += 1.0;
            }
        }
        retries <= MAX_RETRY_TOKENS + successes * RETRIES_PER_SUCCESS + 1e-6
    }
}

#[test]
fn consecutive_ejections_double_in_duration_until_a_success() {
    let mut now = BootInstant::now();
    let mut ejection = Ejection::new();
    for _ in 1..MAX_FAILURES {
        assert_eq!(ejection.record_failure(now), EjectionChange::Unchanged);
    }
    assert_eq!(ejection.record_failure(now), EjectionChange::Ejected);
    let mut duration = MIN_EJECTION_TIME;
    for _ in 0..10 {
        assert!(ejection.is_ejected(now + duration - Duration::from_millis(1)));
        now += duration;
        assert!(!ejection.is_ejected(now));
        // On probation, a single failure ejects the minion again.
        assert_eq!(ejection.record_failure(now), EjectionChange::Ejected);
        duration = (duration * 2).min(MAX_EJECTION_TIME);
    }
    assert_eq!(ejection.record_success(), EjectionChange::Restored);
    assert_eq!(ejection.record_failure(now), EjectionChange::Unchanged);
}
