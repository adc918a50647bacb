//! Tests of the pacing of start orders by the link.

use reachhead_jobs::{clock::Tick, start_pace::StartPacer};
use reachhead_property::properties;
use reachhead_types::size::{ByteRate, Millis};

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
