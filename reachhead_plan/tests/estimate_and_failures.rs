//! Size estimates and failure attribution, compared with naive implementations.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::collections::BTreeSet;

use reachhead_plan::{
    amount::Amount,
    estimate::{Estimator, MAX_SAMPLES},
    failures::{FAILING_MIN_WORKERS, FailureTracker, QUARANTINE_MIN_JOBS},
};
use reachhead_property::properties;
use reachhead_types::id::{HostId, JobName};

fn worker(number: u8) -> HostId {
    format!("w{}", number % 5).parse().unwrap()
}

fn job(number: u8) -> JobName {
    format!("j{}", number % 5).parse().unwrap()
}

properties! {
    fn an_estimate_is_the_upper_quantile_with_caution(reports: Vec<u16>, declared: u16) -> bool {
        let declared = Amount::new(u64::from(declared), 0, 3);
        let mut estimator = Estimator::new();
        for report in &reports {
            estimator.record(Amount::new(u64::from(*report), 0, 9));
        }
        let mut latest: Vec<u64> =
            reports.iter().rev().take(MAX_SAMPLES).map(|report| u64::from(*report)).collect();
        latest.sort_unstable();
        let estimate = estimator.estimate(declared);
        let count = latest.len();
        if count == 0 {
            return estimate == declared;
        }
        // The smallest report that is at least as large as 95% of the reports.
        let upper = latest.iter().find(|value| {
            latest.iter().filter(|other| other <= value).count() * 100 >= count * 95
        });
        let padded = (*upper.unwrap() as f64 * (1.0 + 0.5 / (count as f64).sqrt())).ceil() as u64;
        let expected = if count < 8 { padded.max(declared.cores) } else { padded };
        estimate.cores == expected && estimate.accelerators == 3
    }

    fn a_worker_is_quarantined_for_several_jobs_that_run_elsewhere(results: Vec<(u8, u8, bool)>) -> bool {
        let results = &results[..results.len().min(30)];
        let mut tracker = FailureTracker::new();
        for &(at, of, is_good) in results {
            match is_good {
                true => tracker.record_success(&worker(at), &job(of)),
                false => tracker.record_failure(&worker(at), &job(of)),
            }
        }
        // The naive implementation searches all results backwards.
        let failures_since_success = |is_own: &dyn Fn(&(u8, u8, bool)) -> bool| -> Vec<(u8, u8)> {
            let own = results.iter().rev().filter(|result| is_own(result));
            own.take_while(|result| !result.2).map(|result| (result.0 % 5, result.1 % 5)).collect()
        };
        (0..5).all(|number| {
            let failed = failures_since_success(&|result| result.0 % 5 == number);
            let everywhere = |of: u8| {
                let workers = failures_since_success(&|result| result.1 % 5 == of);
                workers.iter().map(|pair| pair.0).collect::<BTreeSet<_>>().len() >= FAILING_MIN_WORKERS
            };
            let jobs: BTreeSet<u8> =
                failed.iter().map(|pair| pair.1).filter(|&of| !everywhere(of)).collect();
            tracker.is_quarantined(&worker(number)) == (jobs.len() >= QUARANTINE_MIN_JOBS)
        })
    }
}

#[test]
fn a_job_that_fails_everywhere_is_to_blame_and_not_its_workers() {
    let mut tracker = FailureTracker::new();
    for number in 0..4 {
        tracker.record_failure(&worker(number), &job(0));
    }
    assert!(tracker.is_failing(&job(0)));
    for number in 1..4 {
        tracker.record_failure(&worker(0), &job(number));
    }
    assert!(tracker.is_quarantined(&worker(0)));
    assert!(!tracker.is_failing(&job(1)), "one worker is no proof");
    tracker.forget_worker(&worker(0));
    assert!(!tracker.is_quarantined(&worker(0)));
    tracker.record_success(&worker(1), &job(0));
    assert!(!tracker.is_failing(&job(0)));
}
