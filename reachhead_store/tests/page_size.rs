//! Sizes of pages on quick and on narrow links.

use std::time::Duration;

use reachhead_property::properties;
use reachhead_store::page_size::PageSize;

const MILLIS: fn(u64) -> Duration = Duration::from_millis;

/// Shortest timeout of a call, in milliseconds.
const TIMEOUT_MS: u64 = 350;

#[test]
fn pages_that_fail_together_shrink_the_next_one_once() {
    let mut size = PageSize::default();
    let rows = size.rows();
    for _ in 0..8 {
        size.record_failure(rows);
    }
    assert_eq!(size.rows(), rows / 4);
}

#[test]
fn quick_answers_restore_the_size_after_an_outage() {
    let mut size = PageSize::default();
    let full = size.rows();
    for _ in 0..20 {
        size.record_failure(size.rows());
    }
    assert_eq!(size.rows(), 1);
    for _ in 0..10 {
        size.record_answer(size.rows() as usize, MILLIS(5));
    }
    assert_eq!(size.rows(), full);
}

#[test]
fn pages_that_are_not_full_do_not_restore_the_size() {
    let mut size = PageSize::default();
    size.record_failure(size.rows());
    let rows = size.rows();
    size.record_answer(0, MILLIS(5));
    size.record_answer(rows as usize - 1, MILLIS(5));
    assert_eq!(size.rows(), rows);
}

properties! {
    fn no_page_fails_after_the_first_that_arrived(row: u16) -> bool {
        let latency_of = |rows: u32| (5 + u64::from(row) % 300) * u64::from(rows);
        let mut size = PageSize::default();
        let mut calls = 0;
        while latency_of(size.rows()) > TIMEOUT_MS {
            size.record_failure(size.rows());
            calls += 1;
        }
        let rest = (0..100).all(|_| {
            let latency = latency_of(size.rows());
            size.record_answer(size.rows() as usize, MILLIS(latency));
            latency <= TIMEOUT_MS
        });
        calls <= 5 && rest
    }
}
