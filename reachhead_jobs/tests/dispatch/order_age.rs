//! Tests of the age of orders at a dispatcher.

use reachhead_jobs::{
    clock::Tick,
    dispatch::order_age::{MAX_ORDER_AGE, OrderAge},
};
use reachhead_property::properties;
use reachhead_types::size::Millis;

properties! {
    /// Clocks of hosts begin at any time; the age must be that relative to the fastest message.
    fn an_order_is_as_old_as_its_delay_beyond_the_fastest(
        owner: u64, own: u64, messages: Vec<(u8, u16)>
    ) -> bool {
        let (owner, own) = (owner >> 8, own >> 8);
        let mut ages = OrderAge::new();
        let (mut elapsed, mut fastest) = (0, u64::MAX);
        messages.into_iter().all(|(gap, delay)| {
            elapsed += u64::from(gap % 4);
            let delay = u64::from(delay);
            fastest = fastest.min(delay);
            let age = ages.age(Millis(owner + elapsed), Tick(own + elapsed + delay));
            // The allowance for clocks that run differently: one in a thousand of the time, which
            // the messages and their delays take here.
            let allowance = (elapsed + u64::from(u16::MAX)) / 1000 + 1;
            let expected = delay - fastest;
            age.0 <= expected && age.0 + allowance >= expected
        })
    }
}

/// A dispatcher sent its orders to workers after it had been suspended, although the owner had long
/// sent them itself.
#[test]
fn what_is_read_after_a_suspension_is_too_old() {
    let mut ages = OrderAge::new();
    assert_eq!(ages.age(Millis(100), Tick(70_000)), Millis(0));
    assert_eq!(ages.age(Millis(200), Tick(70_103)), Millis(3));
    let after_suspension = ages.age(Millis(300), Tick(70_200 + 60_000));
    assert!(after_suspension > MAX_ORDER_AGE, "{after_suspension}");
    assert!(ages.age(Millis(60_500), Tick(70_000 + 60_400)) <= Millis(3));
}

/// In a session of hours, clocks that differ by a few parts in ten thousand made all orders old.
#[test]
fn clocks_that_run_differently_do_not_age_orders() {
    let mut ages = OrderAge::new();
    for second in 0..36_000 {
        let age = ages.age(Millis(1000 * second), Tick(1000 * second + second / 2));
        assert!(age <= Millis(1), "{age} after {second} s");
    }
}
