//! The boot-time clock that leases use.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{fs, thread, time::Duration};

use reachhead_types::boot_instant::BootInstant;

/// The system's uptime includes the time in which the host was suspended, and so must the clock.
#[test]
fn the_clock_matches_the_system_uptime() {
    let uptime = || -> Duration {
        let text = fs::read_to_string("/proc/uptime").unwrap();
        let seconds = text.split(' ').next().unwrap().parse().unwrap();
        Duration::from_secs_f64(seconds)
    };
    let before = uptime();
    let reading = BootInstant::now().duration_since(BootInstant::default());
    let after = uptime();
    // /proc/uptime is truncated to hundredths of a second.
    let slack = Duration::from_millis(10);
    assert!(
        before <= reading + slack && reading <= after + slack,
        "{before:?} {reading:?} {after:?}"
    );
}

#[test]
fn durations_are_never_negative() {
    let now = BootInstant::now();
    thread::sleep(Duration::from_millis(2));
    assert!(now.elapsed() >= Duration::from_millis(2));
    assert_eq!(now.remaining(), Duration::ZERO);
    assert_eq!(now.duration_since(now + Duration::from_secs(1)), Duration::ZERO);
    assert_eq!((now + Duration::from_secs(1)).duration_since(now), Duration::from_secs(1));
}
