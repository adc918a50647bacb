//! Tests of the need for dispatchers.

use reachhead_jobs::{clock::Tick, dispatch::need::NeedDetector};
use reachhead_property::properties;
use reachhead_types::size::{Millis, Strength};

const START: Tick = Tick(1_000_000);

const CAPACITY: u64 = 800;

/// A recorded round.
#[derive(Clone, Copy)]
struct Round {
    at: Tick,
    started: u64,
    limited: bool,
}

/// Returns the starts a second of the last 200 ms up to a round.
fn rate(rounds: &[Round], now: Tick) -> u64 {
    let recent = rounds.iter().filter(|round| now.since(round.at) < Millis(200));
    recent.map(|round| round.started).sum::<u64>() * 5
}

/// Returns the need and the demand after the last of these rounds, from all of them.
fn naive(rounds: &[Round]) -> (bool, Strength) {
    let mut busy: Option<Tick> = None;
    let mut pressed: Vec<Tick> = Vec::new();
    let mut peaks = Vec::new();
    for end in 1..=rounds.len() {
        let (past, now) = (&rounds[..end], rounds[end - 1].at);
        let rate = rate(past, now);
        let limited = past.iter().rev().take(10).filter(|round| round.limited).count();
        let in_use = busy.is_some_and(|at| now.since(at) < Millis(10_000));
        let is_over = |percent: u64| rate > 0 && rate >= CAPACITY * percent / 100;
        if limited >= 3 || is_over(60) {
            if pressed.last().is_some_and(|last| now.since(*last) >= Millis(100)) {
                pressed.clear();
            }
            pressed.push(now);
        }
        let lasts = pressed.last() == Some(&now) && now.since(pressed[0]) >= Millis(600);
        if lasts || (in_use && is_over(25)) {
            busy = Some(now);
        }
        peaks.push((now, rate));
    }
    let now = rounds.last().map_or(START, |round| round.at);
    let recent = peaks.iter().filter(|(at, _)| now.since(*at) < Millis(10_000));
    let demand = recent.map(|(_, rate)| *rate).max().unwrap_or(0);
    let needed = busy.is_some_and(|at| now.since(at) < Millis(10_000));
    (needed, Strength(demand as u32))
}

properties! {
    /// The sliding windows dropped a peak or a limited round too early or kept it too long, so that
    /// dispatch ended within a burst or never.
    fn need_and_demand_are_those_of_all_rounds(rounds: Vec<(u16, u8, bool)>) -> bool {
        let mut detector = NeedDetector::new(Strength(CAPACITY as u32));
        let (mut now, mut past) = (START, Vec::new());
        rounds.into_iter().all(|(gap, started, limited)| {
            // Rounds are some milliseconds apart, and now and then some seconds.
            let gap = if gap % 16 == 0 { gap / 16 } else { gap % 40 };
            now = now + Millis(u64::from(gap));
            let limited = limited && started % 5 == 0;
            // Most rounds keep below all shares of the capacity, so that the others decide.
            let started = if started >= 232 { started % 64 } else { started % 4 };
            past.push(Round { at: now, started: u64::from(started), limited });
            detector.record(u32::from(started), limited, now);
            (detector.is_needed(now), detector.demand(now)) == naive(&past)
        })
    }
}

/// Records rounds 10 ms apart with this rate for a time, and returns the time after them.
fn run(detector: &mut NeedDetector, rate: u32, time: u64, mut now: Tick) -> Tick {
    for _ in 0..time / 10 {
        detector.record(rate / 100, false, now);
        now = now + Millis(10);
    }
    now
}

/// Four queues with bursts in turn began and ended dispatch with each burst.
#[test]
fn dispatch_lasts_over_a_pause_between_bursts_and_ends_after_quiet_time() {
    let mut detector = NeedDetector::new(Strength(CAPACITY as u32));
    let mut now = run(&mut detector, 400, 1000, START);
    assert!(!detector.is_needed(now), "the owner can serve half of its capacity alone");
    now = run(&mut detector, 700, 1000, now);
    assert!(detector.is_needed(now));
    now = run(&mut detector, 100, 9000, now);
    assert!(detector.is_needed(now), "a pause");
    now = run(&mut detector, 700, 200, now);
    now = run(&mut detector, 100, 9000, now);
    assert!(detector.is_needed(now), "another pause");
    assert_eq!(detector.demand(now), Strength(700));
    now = run(&mut detector, 200, 11_000, now);
    assert!(detector.is_needed(now), "a quarter of the capacity");
    now = run(&mut detector, 100, 10_500, now);
    assert!(!detector.is_needed(now));
    assert_eq!(detector.demand(now), Strength(100));
}

/// A burst of starts after a loss of power, which the owner serves alone within half a second, had its reports
/// go through other processes for ten seconds.
#[test]
fn a_short_burst_needs_no_dispatchers() {
    let mut detector = NeedDetector::new(Strength(CAPACITY as u32));
    let now = run(&mut detector, 900, 450, START);
    let now = run(&mut detector, 100, 2000, now);
    assert!(!detector.is_needed(now));
    let now = run(&mut detector, 900, 700, now);
    assert!(detector.is_needed(now));
}

/// An idle process with a capacity of nearly nothing asked for dispatchers.
#[test]
fn an_owner_without_starts_needs_nobody() {
    let mut detector = NeedDetector::new(Strength(0));
    let now = run(&mut detector, 0, 1000, START);
    assert!(!detector.is_needed(now));
}
