//! Tests of the recognition of outages.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use reachhead_jobs::{clock::Tick, outage::OutageDetector};

fn detector(deaths: &[u64]) -> OutageDetector {
    let mut detector = OutageDetector::new();
    for (number, at) in deaths.iter().enumerate() {
        detector.record_death(&format!("w{number}").parse().unwrap(), Tick(*at));
    }
    detector
}

#[test]
fn three_deaths_within_two_seconds_are_an_outage_until_two_seconds_later() {
    assert!(!detector(&[1000, 2900]).is_active(Tick(2900)));
    assert!(!detector(&[1000, 2900, 3100]).is_active(Tick(3100)));
    let detector = detector(&[1000, 2000, 2900]);
    assert!(detector.is_active(Tick(4899)));
    assert!(!detector.is_active(Tick(4900)));
}

/// Tasks that crash workers late in their runs cause deaths without a visible cause for as long as
/// they are not counted.
#[test]
fn deaths_without_end_are_an_outage_for_five_seconds_only() {
    let deaths: Vec<u64> = (0..100).map(|number| 1000 + 300 * number).collect();
    let until = |end: u64| deaths.iter().copied().filter(|at| *at < end).collect::<Vec<_>>();
    assert!(detector(&until(6500)).is_active(Tick(6500)));
    assert!(!detector(&until(6600)).is_active(Tick(6600)));
    assert!(!detector(&deaths).is_active(Tick(deaths[99])));
    // Once single deaths are all that is left, a new outage is recognized.
    let singles: Vec<u64> = (0..5).map(|number| 32_000 + 1900 * number).collect();
    let again = [&deaths[..], &singles, &[41_000, 41_100, 41_200]].concat();
    assert!(detector(&again).is_active(Tick(41_200)));
    let again = [&deaths[..], &[40_000, 40_100, 40_200]].concat();
    assert!(detector(&again).is_active(Tick(40_200)));
}

#[test]
fn a_worker_that_restarts_again_and_again_is_no_outage() {
    let mut detector = OutageDetector::new();
    for at in 0..5 {
        assert!(!detector.record_death(&"w".parse().unwrap(), Tick(1000 + 100 * at)));
    }
    assert!(!detector.is_active(Tick(1400)));
}
