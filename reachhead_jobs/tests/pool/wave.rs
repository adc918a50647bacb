//! Tests of maintenance waves.

use std::collections::BTreeMap;

use reachhead_jobs::{
    clock::Tick,
    pool::{DrainMode, DrainProgress},
    ports::{PlatformHost, PlatformHostState},
    wave::{Wave, WaveOrder, WaveRecord},
};
use reachhead_types::{id::HostId, size::Millis};

fn hosts(states: &[PlatformHostState]) -> BTreeMap<HostId, PlatformHost> {
    let platform_host = |(number, state): (usize, &PlatformHostState)| {
        let host: HostId = format!("m-{number}").parse().unwrap();
        let platform_host = PlatformHost {
            host: host.clone(),
            pool: "p".parse().unwrap(),
            zone: None,
            state: *state,
            worker: Some(format!("w-{number}").parse().unwrap()),
        };
        (host, platform_host)
    };
    states.iter().enumerate().map(platform_host).collect()
}

fn wave(hosts: &BTreeMap<HostId, PlatformHost>, max_down: u32) -> Wave {
    let order = WaveOrder {
        name: "1".parse().unwrap(),
        hosts: hosts.keys().cloned().collect(),
        within: Millis(20_000),
        max_down,
    };
    Wave::new(order, WaveRecord::default(), Tick(0))
}

#[test]
fn no_more_hosts_are_down_than_the_wave_allows() {
    let hosts = hosts(&[PlatformHostState::Up; 4]);
    let mut wave = wave(&hosts, 2);
    let step = wave.next(&hosts, Tick(0), Tick(0));
    let reserve = |host: &&HostId| wave.reserve(host, DrainProgress::Empty, &hosts);
    let taken = step.to_drain.iter().filter(reserve).count();
    assert_eq!(taken, 2, "hosts ordered down count even while the list shows them as up");
}

#[test]
fn a_host_that_is_listed_as_down_counts_against_the_limit() {
    let hosts = hosts(&[PlatformHostState::Maintenance, PlatformHostState::Up]);
    let mut wave = wave(&hosts, 1);
    assert!(!wave.reserve(hosts.keys().nth(1).unwrap(), DrainProgress::Empty, &hosts));
}

#[test]
fn short_tasks_delay_a_host_until_they_are_stopped_and_protected_ones_block_it() {
    let hosts = hosts(&[PlatformHostState::Up]);
    let mut wave = wave(&hosts, 1);
    let host = hosts.keys().next().unwrap().clone();
    wave.next(&hosts, Tick(0), Tick(0));
    assert_eq!(wave.drain_mode(&host, Tick(100)), DrainMode::Graceful);
    assert_eq!(wave.drain_mode(&host, Tick(2600)), DrainMode::Forced);
    assert!(!wave.reserve(&host, DrainProgress::Short, &hosts));
    assert!(!wave.reserve(&host, DrainProgress::Protected, &hosts));
    assert!(wave.reserve(&host, DrainProgress::Empty, &hosts));
}

#[test]
fn late_in_a_wave_short_tasks_are_stopped_at_once() {
    let hosts = hosts(&[PlatformHostState::Up; 2]);
    let mut wave = wave(&hosts, 1);
    wave.next(&hosts, Tick(13_000), Tick(13_000));
    for host in hosts.keys() {
        assert_eq!(wave.drain_mode(host, Tick(13_000)), DrainMode::Forced);
    }
}

#[test]
fn a_wave_is_done_once_every_remaining_host_has_started() {
    let mut hosts = hosts(&[PlatformHostState::Up; 2]);
    let mut wave = wave(&hosts, 2);
    let first = hosts.keys().next().unwrap().clone();
    let second = hosts.keys().nth(1).unwrap().clone();
    wave.record_begun(&first, Tick(0));
    assert!(!wave.is_done());
    hosts.remove(&second);
    let step = wave.next(&hosts, Tick(0), Tick(0));
    assert_eq!(step.missing, vec![second.clone()]);
    wave.record_gone(&second);
    assert!(wave.is_done());
}

/// Guards against a limit that forgets an order without an answer: the platform listed the host as up, carried the order out later,
/// and another host was down by then.
#[test]
fn a_host_keeps_its_slot_until_its_order_is_answered() {
    let hosts = hosts(&[PlatformHostState::Up; 2]);
    let (first, second) = (hosts.keys().next().unwrap(), hosts.keys().nth(1).unwrap());
    let mut wave = wave(&hosts, 1);
    wave.next(&hosts, Tick(0), Tick(0));
    assert!(wave.reserve(first, DrainProgress::Empty, &hosts));
    wave.record_lost(first);
    let step = wave.next(&hosts, Tick(60_000), Tick(60_000));
    assert_eq!(step.to_drain.first(), Some(first), "the open order is repeated first");
    assert!(!wave.reserve(second, DrainProgress::Empty, &hosts));
    wave.record_not_taken(first);
    assert!(
        !wave.reserve(second, DrainProgress::Empty, &hosts),
        "a repeated order that has no effect proves nothing about the first"
    );
    wave.record_begun(first, Tick(60_000));
    wave.next(&hosts, Tick(60_100), Tick(61_000));
    assert!(
        !wave.reserve(second, DrainProgress::Empty, &hosts),
        "the list was requested right after the answer"
    );
    wave.next(&hosts, Tick(60_500), Tick(61_000));
    assert!(wave.reserve(second, DrainProgress::Empty, &hosts));
}

/// Guards against a successor that does not know of its predecessor's orders.
#[test]
fn a_successor_counts_the_stored_slots_and_repeats_their_orders() {
    let hosts = hosts(&[PlatformHostState::Up; 3]);
    let names: Vec<HostId> = hosts.keys().cloned().collect();
    let mut before = wave(&hosts, 2);
    before.reserve(&names[1], DrainProgress::Empty, &hosts);
    before.reserve(&names[2], DrainProgress::Empty, &hosts);
    before.record_begun(&names[2], Tick(0));
    let mut after = Wave::new(before.order.clone(), before.to_record(), Tick(9000));
    assert!(after.is_open(&names[1]) && !after.is_open(&names[2]));
    assert!(!after.reserve(&names[0], DrainProgress::Empty, &hosts));
    assert!(after.reserve(&names[1], DrainProgress::Empty, &hosts));
    let step = after.next(&hosts, Tick(9400), Tick(9400));
    assert_eq!(step.to_drain, [names[1].clone(), names[0].clone()]);
}

#[test]
fn an_open_order_for_a_host_that_is_not_listed_is_repeated() {
    let mut hosts = hosts(&[PlatformHostState::Up; 2]);
    let first = hosts.keys().next().unwrap().clone();
    let mut wave = wave(&hosts, 1);
    wave.reserve(&first, DrainProgress::Empty, &hosts);
    wave.record_lost(&first);
    hosts.remove(&first);
    let step = wave.next(&hosts, Tick(5000), Tick(5000));
    assert!(step.to_drain.contains(&first) && step.missing.is_empty());
    wave.record_gone(&first);
    assert!(!wave.is_due(&first));
    assert_eq!(wave.taken_slots(), 0);
}

#[test]
fn a_wave_may_have_the_longest_time_that_can_be_written() {
    let hosts = hosts(&[PlatformHostState::Up]);
    let mut wave = wave(&hosts, u32::MAX);
    wave.order.within = Millis(u64::MAX);
    wave.next(&hosts, Tick(0), Tick(0));
    let host = hosts.keys().next().unwrap();
    assert_eq!(wave.drain_mode(host, Tick(100)), DrainMode::Graceful);
}
