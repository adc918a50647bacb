//! The breaker: rate, bursts, an outage and its end.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::time::{Duration, Instant};

use reachhead_property::properties;
use reachhead_store::breaker::{Breaker, FAILURE_LIMIT, Gate, LAST_PAUSE};

properties! {
    /// Over any pattern of calls no more get through than the rate and one burst allow.
    fn the_rate_holds(gaps: Vec<u8>, rate: u8) -> bool {
        let rate = u32::from(rate) + 1;
        let start = Instant::now();
        let mut breaker = Breaker::new(rate, start);
        let mut now = start;
        let mut passed = 0;
        for gap in gaps {
            now += Duration::from_millis(u64::from(gap) / 8);
            passed += u32::from(matches!(breaker.gate(now), Gate::Go | Gate::Wait(_)));
        }
        let seconds = now.duration_since(start).as_secs_f64() + 0.25;
        f64::from(passed) <= f64::from(rate) * (seconds + 1.0) + 1.0
    }
}

#[test]
fn an_outage_fails_calls_at_once_but_for_a_probe_now_and_then() {
    let start = Instant::now();
    let mut breaker = Breaker::new(100, start);
    for _ in 0..FAILURE_LIMIT {
        assert!(matches!(breaker.gate(start), Gate::Go));
        breaker.fail(start, 1.0);
    }
    assert!(breaker.is_down());
    let mut probes = 0;
    for step in 0..60_000 {
        let now = start + Duration::from_millis(step);
        if breaker.gate(now) != Gate::Down {
            probes += 1;
            breaker.fail(now, 1.0);
        }
    }
    assert!((28..=40).contains(&probes), "{probes} probes in a minute");
    let later = start + Duration::from_secs(60) + LAST_PAUSE;
    assert_eq!(breaker.gate(later), Gate::Go);
    breaker.succeed(later);
    assert!(!breaker.is_down());
    assert_eq!(breaker.gate(later), Gate::Go);
}

#[test]
fn a_store_that_answers_nothing_stalls_calls_before_they_time_out() {
    let start = Instant::now();
    let mut breaker = Breaker::new(100, start);
    let at = |millis| start + Duration::from_millis(millis);
    let first = breaker.begin(at(0));
    assert_eq!(breaker.gate(at(800)), Gate::Go);
    let second = breaker.begin(at(800));
    assert_eq!(breaker.gate(at(1000)), Gate::Down);
    // The first times out; the second still waits, and nobody else has to.
    breaker.end(first);
    breaker.fail(at(1800), 1.0);
    assert_eq!(breaker.gate(at(1850)), Gate::Down);
    // One call at a time looks whether the store is back.
    breaker.end(second);
    assert_eq!(breaker.gate(at(2600)), Gate::Go);
    let probe = breaker.begin(at(2600));
    assert_eq!(breaker.gate(at(2610)), Gate::Down);
    breaker.end(probe);
    breaker.succeed(at(2620));
    assert_eq!(breaker.gate(at(2630)), Gate::Go);
}

#[test]
fn a_store_that_answers_other_calls_is_slow_and_not_stalled() {
    let start = Instant::now();
    let mut breaker = Breaker::new(100, start);
    let at = |millis| start + Duration::from_millis(millis);
    breaker.begin(at(0));
    for step in 1..8 {
        breaker.begin(at(step * 400 - 200));
        breaker.succeed(at(step * 400));
        assert_eq!(breaker.gate(at(step * 400 + 300)), Gate::Go);
    }
}

#[test]
fn calls_that_are_given_up_one_after_the_other_show_a_stall_as_one_that_is_waited_for_does() {
    let start = Instant::now();
    let mut breaker = Breaker::new(100, start);
    let at = |millis| start + Duration::from_millis(millis);
    for step in 0..3 {
        let call = breaker.begin(at(step * 350));
        assert_eq!(breaker.gate(at(step * 350 + 1)), Gate::Go);
        breaker.end(call);
    }
    breaker.begin(at(1050));
    assert_eq!(breaker.gate(at(1060)), Gate::Down, "nothing was answered for a second");
}
