//! Tests of the pacing of start orders.

use reachhead_jobs::{clock::Tick, start_pace::StartPacer};
use reachhead_property::properties;
use reachhead_types::size::{ByteRate, Bytes, Millis, Strength};

const START: Tick = Tick(1_000_000);

/// So many cores that only the link limits.
const CORES: f64 = 1000.0;

/// Interval between two rounds, in milliseconds.
const ROUND: u64 = 10;

/// Longest time for which the orders in flight may occupy the link, in milliseconds: the timeout of
/// an order is twice as long.
const MAX_QUEUE: u64 = 100;

/// Sends orders for as long as there is room in each round, and returns the bytes of each round.
fn send_all(bandwidth: ByteRate, payload: &str, rounds: u64) -> Vec<u64> {
    let mut pacer = StartPacer::new(bandwidth, CORES, START);
    let round = |number| {
        let mut budget = pacer.budget(START + Millis(number * ROUND));
        let mut sent = 0;
        while budget.has_room() {
            budget.take(payload);
            sent += payload.len() as u64;
        }
        pacer.record(budget);
        sent
    };
    (0..rounds).map(round).collect()
}

properties! {
    fn a_burst_occupies_the_link_for_less_than_the_timeout_of_an_order(rate: u32, length: u16) -> bool {
        let bandwidth = ByteRate(100_000 + u64::from(rate) % 100_000_000);
        let payload = "x".repeat(usize::from(length) % 4000);
        let mut queue = 0.0;
        send_all(bandwidth, &payload, 200).into_iter().all(|sent| {
            let carried = (bandwidth.0 * ROUND) as f64 / 1000.0;
            queue = f64::max(queue + sent as f64 - carried, 0.0);
            let one = payload.len() as f64;
            queue <= (bandwidth.0 * MAX_QUEUE) as f64 / 1000.0 + one
        })
    }

    fn orders_of_any_size_are_sent_in_the_end(rate: u32, length: u32) -> bool {
        let bandwidth = ByteRate(100_000 + u64::from(rate) % 100_000);
        let payload = "x".repeat(length as usize % 20_000);
        let rounds = 20 + 4 * payload.len() as u64 * 1000 / bandwidth.0 / ROUND;
        send_all(bandwidth, &payload, rounds).into_iter().filter(|sent| *sent > 0).count() >= 2
            || payload.is_empty()
    }
}

#[test]
fn an_idle_link_does_not_save_up_for_a_longer_burst() {
    let mut pacer = StartPacer::new(ByteRate(250_000), CORES, START);
    let first = pacer.budget(START);
    assert_eq!(pacer.budget(START + Millis(60_000)), first);
}

/// Returns the orders a second, with payloads of 500 bytes, that a process sends in ten seconds.
fn orders(cores: f64, dispatchers: Option<Strength>, bandwidth: ByteRate) -> u64 {
    let mut pacer = StartPacer::new(bandwidth, cores, START);
    pacer.set_dispatchers(dispatchers);
    let mut sent = 0;
    for millis in (0..=10_000).step_by(10) {
        let mut budget = pacer.budget(START + Millis(millis));
        while budget.has_room() {
            budget.take(&"x".repeat(500));
            sent += 1;
        }
        pacer.record(budget);
    }
    sent / 10
}

/// With a wide link, an owner on a small host sent more than its processor could: orders timed out
/// and were sent again.
#[test]
fn processor_link_and_dispatchers_each_limit_the_orders() {
    let (wide, narrow) = (ByteRate(25_000_000), ByteRate(250_000));
    let around = |found: u64, expected: u64| {
        assert!((expected..=expected * 102 / 100).contains(&found), "{found} of {expected}");
    };
    around(orders(0.12, None, wide), 1050);
    around(orders(0.12, None, narrow), 104);
    around(orders(0.12, Some(Strength(100_000)), wide), 4200);
    around(orders(0.12, Some(Strength(100_000)), narrow), 1041);
    around(orders(0.12, Some(Strength(2000)), wide), 1200);
    around(orders(0.12, Some(Strength(0)), wide), 1050);
}

/// Payloads that were sent to dispatchers would otherwise fill the link beside the orders. A pool
/// without dispatchers that shares the pacer must not get their cheaper budget, nor refill it.
#[test]
fn payloads_and_the_orders_of_other_pools_use_the_same_link() {
    let mut pacer = StartPacer::new(ByteRate(250_000), CORES, START);
    pacer.set_dispatchers(Some(Strength(5000)));
    assert!(pacer.budget(START).has_room());
    pacer.record_payload(Bytes(9900));
    let mut budget = pacer.budget(START);
    budget.take("");
    pacer.record(budget);
    assert!(!pacer.budget(START).has_room());
    pacer.set_dispatchers(None);
    assert!(!pacer.budget(START).has_room());
    assert!(pacer.budget(START + Millis(1)).has_room());
}

/// Returns the bytes that a process on a link of 2 Mbit/s sends in the last second of `seconds`, if round trips take
/// `round_trip` and tasks always wait.
fn sent_under(round_trip: Option<Millis>, seconds: u64) -> u64 {
    let mut pacer = StartPacer::new(ByteRate(250_000), CORES, START);
    let payload = "x".repeat(500);
    let mut sent = 0;
    for millis in (0..seconds * 1000).step_by(10) {
        let now = START + Millis(millis);
        pacer.adapt(round_trip, now);
        let mut budget = pacer.budget(now);
        while budget.has_room() {
            budget.take(&payload);
            sent += if millis >= (seconds - 1) * 1000 { 1200 } else { 0 };
        }
        pacer.record(budget);
    }
    sent
}

/// A fixed share left a third of the link idle while tasks waited for half a minute, and filled it
/// when transactions and rows needed more than the rest.
#[test]
fn the_share_of_the_link_follows_its_delay() {
    let fixed = sent_under(Some(Millis(80)), 10);
    assert!((120_000..=130_000).contains(&fixed), "half of the link: {fixed}");
    assert!(sent_under(Some(Millis(10)), 10) >= 190_000, "the link has room");
    assert!(sent_under(Some(Millis(300)), 3) <= 100_000, "the link is full");
    assert_eq!(sent_under(None, 10), fixed, "nothing is known about the link");
}

#[test]
fn the_share_does_not_grow_while_tasks_do_not_use_it() {
    let mut pacer = StartPacer::new(ByteRate(250_000), CORES, START);
    let first = pacer.transfer_time(Bytes(100_000));
    for millis in (0..60_000).step_by(100) {
        pacer.adapt(Some(Millis(1)), START + Millis(millis));
    }
    assert_eq!(pacer.transfer_time(Bytes(100_000)), first);
}
