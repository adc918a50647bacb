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
    let step = wave.next(&hosts, Tick(0));
    let mut taken = 0;
    for host in &step.to_drain {
        if wave.can_maintain(DrainProgress::Empty, &hosts) {
            wave.record_ordered(host, Tick(0));
            taken += 1;
        }
    }
    assert_eq!(taken, 2, "hosts ordered down count even while the list shows them as up");
}

#[test]
fn a_host_that_is_listed_as_down_counts_against_the_limit() {
    let hosts = hosts(&[PlatformHostState::Maintenance, PlatformHostState::Up]);
    let wave = wave(&hosts, 1);
    assert!(!wave.can_maintain(DrainProgress::Empty, &hosts));
}

#[test]
fn short_tasks_delay_a_host_until_they_are_stopped_and_protected_ones_block_it() {
    let hosts = hosts(&[PlatformHostState::Up]);
    let mut wave = wave(&hosts, 1);
    let host = hosts.keys().next().unwrap().clone();
    wave.next(&hosts, Tick(0));
    assert_eq!(wave.drain_mode(&host, Tick(100)), DrainMode::Graceful);
    assert_eq!(wave.drain_mode(&host, Tick(2600)), DrainMode::Forced);
    assert!(!wave.can_maintain(DrainProgress::Short, &hosts));
    assert!(!wave.can_maintain(DrainProgress::Protected, &hosts));
    assert!(wave.can_maintain(DrainProgress::Empty, &hosts));
}

#[test]
fn late_in_a_wave_short_tasks_are_stopped_at_once() {
    let hosts = hosts(&[PlatformHostState::Up; 2]);
    let mut wave = wave(&hosts, 1);
    wave.next(&hosts, Tick(13_000));
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
    wave.record_begun(&first);
    assert!(!wave.is_done());
    hosts.remove(&second);
    let step = wave.next(&hosts, Tick(0));
    assert_eq!(step.missing, vec![second.clone()]);
    wave.record_begun(&second);
    assert!(wave.is_done());
}
