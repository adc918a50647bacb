//! Tests of the recognition of outages.

use reachhead_jobs::{clock::Tick, outage::OutageDetector};

fn detector(deaths: &[u64]) -> OutageDetector {
    let mut detector = OutageDetector::new();
    for at in deaths {
        detector.record_death(Tick(*at));
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
    let again = [&deaths[..], &[40_000, 40_100, 40_200]].concat();
    assert!(detector(&again).is_active(Tick(40_200)));
}
