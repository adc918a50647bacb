//! The circuit breaker: rate limit, bursts, outages and stalls.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::time::{Duration, Instant};

use reachhead_property::properties;
use reachhead_store::breaker::{Admission, Breaker, MAX_FAILURES, MAX_PROBE_PAUSE};

properties! {
    /// For any pattern of calls, no more are admitted than the rate and one burst allow.
    fn the_rate_holds(gaps: Vec<u8>, rate: u8) -> bool {
        let rate = u32::from(rate) + 1;
        let start = Instant::now();
        let mut breaker = Breaker::new(rate, start);
        let mut now = start;
        let mut admitted = 0;
        for gap in gaps {
            now += Duration::from_millis(u64::from(gap) / 8);
            admitted += u32::from(matches!(breaker.admit(now), Admission::Proceed | Admission::Wait(_)));
        }
        let seconds = now.duration_since(start).as_secs_f64() + 0.25;
        f64::from(admitted) <= f64::from(rate) * (seconds + 1.0) + 1.0
    }
}

#[test]
fn calls_fail_at_once_during_an_outage_except_for_probes() {
    let start = Instant::now();
    let mut breaker = Breaker::new(100, start);
    for _ in 0..MAX_FAILURES {
        assert!(matches!(breaker.admit(start), Admission::Proceed));
        breaker.record_failure(start, 1.0);
    }
    assert!(breaker.is_down());
    let mut probes = 0;
    for step in 0..60_000 {
        let now = start + Duration::from_millis(step);
        if breaker.admit(now) != Admission::Down {
            probes += 1;
            breaker.record_failure(now, 1.0);
        }
    }
    assert!((28..=40).contains(&probes), "{probes} probes in a minute");
    let later = start + Duration::from_secs(60) + MAX_PROBE_PAUSE;
    assert_eq!(breaker.admit(later), Admission::Proceed);
    breaker.record_success(later);
    assert!(!breaker.is_down());
    assert_eq!(breaker.admit(later), Admission::Proceed);
}

#[test]
fn a_store_without_answers_is_stalled_before_calls_time_out() {
    let start = Instant::now();
    let mut breaker = Breaker::new(100, start);
    let at = |millis| start + Duration::from_millis(millis);
    let first = breaker.start_call(at(0));
    assert_eq!(breaker.admit(at(800)), Admission::Proceed);
    let second = breaker.start_call(at(800));
    assert_eq!(breaker.admit(at(1000)), Admission::Down);
    // The first call times out; the second still waits, and further calls fail at once.
    breaker.end_call(first);
    breaker.record_failure(at(1800), 1.0);
    assert_eq!(breaker.admit(at(1850)), Admission::Down);
    // One call at a time probes the store.
    breaker.end_call(second);
    assert_eq!(breaker.admit(at(2600)), Admission::Proceed);
    let probe = breaker.start_call(at(2600));
    assert_eq!(breaker.admit(at(2610)), Admission::Down);
    breaker.end_call(probe);
    breaker.record_success(at(2620));
    assert_eq!(breaker.admit(at(2630)), Admission::Proceed);
}

#[test]
fn a_slow_store_that_answers_other_calls_is_not_stalled() {
    let start = Instant::now();
    let mut breaker = Breaker::new(100, start);
    let at = |millis| start + Duration::from_millis(millis);
    breaker.start_call(at(0));
    for step in 1..8 {
        breaker.start_call(at(step * 400 - 200));
        breaker.record_success(at(step * 400));
        assert_eq!(breaker.admit(at(step * 400 + 300)), Admission::Proceed);
    }
}

#[test]
fn abandoned_calls_count_towards_a_stall() {
    let start = Instant::now();
    let mut breaker = Breaker::new(100, start);
    let at = |millis| start + Duration::from_millis(millis);
    for step in 0..3 {
        let call = breaker.start_call(at(step * 350));
        assert_eq!(breaker.admit(at(step * 350 + 1)), Admission::Proceed);
        breaker.end_call(call);
    }
    breaker.start_call(at(1050));
    assert_eq!(breaker.admit(at(1060)), Admission::Down, "nothing was answered for a second");
}
