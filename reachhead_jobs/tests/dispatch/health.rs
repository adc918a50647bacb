//! Tests of the exclusion of dispatchers.

use reachhead_jobs::{clock::Tick, dispatch::health::DispatcherHealth};
use reachhead_types::{
    id::{NodeName, WorkerId},
    size::Millis,
};

const START: Tick = Tick(1_000_000);

fn node(name: &str) -> NodeName {
    name.parse().unwrap()
}

fn worker(number: u64) -> WorkerId {
    format!("w{number}").parse().unwrap()
}

/// A dead process was tried again every three seconds, and each time orders waited for it.
#[test]
fn exclusions_double_up_to_a_limit_and_the_first_one_returns_after_a_minute() {
    let mut health = DispatcherHealth::new();
    let mut now = START;
    let mut exclusions = Vec::new();
    for _ in 0..5 {
        let exclusion = health.record_failure(&node("a"), now).unwrap();
        assert!(!health.is_usable(&node("a"), now + Millis(exclusion.0 - 1)));
        assert!(health.is_usable(&node("b"), now));
        now = now + exclusion;
        assert!(health.is_usable(&node("a"), now));
        exclusions.push(exclusion.0);
    }
    assert_eq!(exclusions, [3000, 6000, 12_000, 24_000, 24_000]);
    assert_eq!(health.record_failure(&node("a"), now + Millis(60_000)), Some(Millis(3000)));
}

/// Several messages to a process are under way when it dies. If each counted, one failure excluded
/// it for as long as many.
#[test]
fn failures_of_an_excluded_process_are_not_further_ones() {
    let mut health = DispatcherHealth::new();
    assert_eq!(health.record_failure(&node("a"), START), Some(Millis(3000)));
    for millis in 1..20 {
        assert_eq!(health.record_failure(&node("a"), START + Millis(millis)), None);
        let error = health.record_worker_error(&node("a"), &worker(millis), START + Millis(millis));
        assert_eq!(error, None);
    }
    assert!(health.is_usable(&node("a"), START + Millis(3000)));
    let again = health.record_failure(&node("a"), START + Millis(3000));
    assert_eq!(again, Some(Millis(6000)));
}

/// Reports errors of these workers 900 ms apart, and returns whether the process was excluded.
fn is_excluded(workers: &[u64], answer_after: Option<usize>) -> bool {
    let mut health = DispatcherHealth::new();
    let mut excluded = false;
    for (place, number) in workers.iter().enumerate() {
        let now = START + Millis(900 * place as u64);
        excluded |= health.record_worker_error(&node("a"), &worker(*number), now).is_some();
        assert_eq!(health.is_usable(&node("a"), now), !excluded);
        if answer_after == Some(place) {
            health.record_answer(&node("a"), &worker(9), now);
        }
    }
    excluded
}

/// A process that is cut off from workers kept all of its own silent; a worker that is down, or a
/// whole rack over some time, excluded healthy processes.
#[test]
fn only_a_process_that_reaches_no_worker_is_excluded() {
    assert!(is_excluded(&[1, 2, 3], None));
    assert!(!is_excluded(&[1, 2, 1, 2, 1], None), "two workers are down");
    assert!(!is_excluded(&[1, 2, 3], Some(1)), "another worker answered in between");
    assert!(!is_excluded(&[1, 2, 2, 3], None), "the first error is too old");
    let mut health = DispatcherHealth::new();
    for number in 0..3 {
        health.record_worker_error(&node("a"), &worker(number), START);
    }
    assert!(!health.is_usable(&node("a"), START + Millis(9999)));
    assert!(health.is_usable(&node("a"), START + Millis(10_000)));
}
