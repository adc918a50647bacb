//! Limits of calls that follow the delay of the process's own link.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::time::Duration;

use reachhead_ops::link_delay::{CallLimit, LinkDelay};
use tokio::time::Instant;

const BASE: Duration = Duration::from_millis(200);
const LONGEST: Duration = Duration::from_millis(600);

#[test]
fn limit_grows_with_the_delay_up_to_its_bound() {
    let limit = CallLimit::new(BASE).with_longest(LONGEST);
    let under = |millis| limit.under(Some(Duration::from_millis(millis)));
    assert_eq!(under(0), BASE);
    assert!(under(20) > under(5) && under(5) > BASE);
    assert_eq!(under(1000), LONGEST);
    assert_eq!(limit.under(None), LONGEST, "no call is answered");
    assert_eq!(CallLimit::new(BASE).under(None), BASE);
}

#[test]
fn delay_follows_the_latest_round_trips_and_is_forgotten_without_any() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut delay = LinkDelay::new();
    assert_eq!(delay.mean(start), None);
    for millis in 0..100 {
        delay.record(Duration::from_millis(2), at(millis));
    }
    for millis in 100..130 {
        delay.record(Duration::from_millis(100), at(millis));
    }
    let mean = delay.mean(at(130)).unwrap();
    assert!(mean > Duration::from_millis(80) && mean < Duration::from_millis(100), "{mean:?}");
    assert_eq!(delay.mean(at(1500)), None);
    delay.record(Duration::from_millis(3), at(1600));
    assert_eq!(delay.mean(at(1600)), Some(Duration::from_millis(3)), "the old mean does not count");
}
