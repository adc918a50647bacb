//! Tests of the detection of silent owners by processes that are late themselves.

use reachhead_jobs::{
    clock::Tick,
    silence::{MissedHeartbeats, OWNER_TIMEOUT, RunningTime, is_owners_fault, is_silent},
};
use reachhead_property::properties;
use reachhead_types::size::Millis;

const START: Tick = Tick(1_000_000);

/// Interval between two checks of a process that is not late.
const CHECK_PERIOD: u64 = 50;

const HEARTBEAT_PERIOD: Millis = Millis(250);

const HEARTBEAT_TIMEOUT: Millis = Millis(400);

/// Running time after which an owner that never answers is found silent: the timeout, and what the
/// process takes to send two heartbeats and wait for their answers.
const DETECTION_LIMIT: Millis = Millis(2000);

/// A heartbeat that the process waits for.
struct Heartbeat {
    sent: Tick,
    /// When the answer arrives.
    arrival: Option<Tick>,
}

/// A process that watches one owner, and does all that is due at each step.
struct Judge {
    running: RunningTime,
    missed: MissedHeartbeats,
    heard: Tick,
    next_heartbeat: Tick,
    pending: Vec<Heartbeat>,
    now: Tick,
}

impl Judge {
    fn new() -> Self {
        Self {
            running: RunningTime::new(START),
            missed: MissedHeartbeats::default(),
            heard: START,
            next_heartbeat: START + HEARTBEAT_PERIOD,
            pending: Vec::new(),
            now: START,
        }
    }

    /// Runs again after `gap`; the owner answers a heartbeat of this step after `latency`, if at
    /// all. Returns whether the owner was silent at a check, which may come before the answers that
    /// have arrived are read.
    fn step(&mut self, gap: Millis, latency: Option<Millis>) -> bool {
        self.check(gap) || {
            self.read();
            self.send(latency);
            self.finds_silence()
        }
    }

    fn check(&mut self, gap: Millis) -> bool {
        self.now = self.now + gap;
        self.running.check(self.now);
        self.finds_silence()
    }

    /// Reads the answers that have arrived.
    fn read(&mut self) {
        for heartbeat in std::mem::take(&mut self.pending) {
            if heartbeat.arrival.is_some_and(|arrival| arrival <= self.now) {
                self.heard = self.now;
            } else if self.now.since(heartbeat.sent) >= HEARTBEAT_TIMEOUT {
                self.missed.record(heartbeat.sent);
            } else {
                self.pending.push(heartbeat);
            }
        }
    }

    /// Sends a heartbeat if it is due.
    fn send(&mut self, latency: Option<Millis>) {
        if self.now >= self.next_heartbeat {
            self.next_heartbeat = self.now + HEARTBEAT_PERIOD;
            let arrival = latency.map(|latency| self.now + latency);
            self.pending.push(Heartbeat { sent: self.now, arrival });
        }
    }

    fn finds_silence(&self) -> bool {
        is_silent(&self.running, Some(self.missed), self.heard, self.now)
    }
}

/// Returns a gap between two checks: mostly regular, and up to three seconds.
fn gap_of(step: u16) -> Millis {
    let delay = if step % 4 == 0 { u64::from(step) % 3000 } else { 0 };
    Millis(CHECK_PERIOD + delay)
}

#[test]
fn a_delay_is_no_evidence_but_the_time_before_it_is() {
    let mut running = RunningTime::new(START);
    let mut now = START;
    for gap in [50, 50, 5000, 50] {
        now = now + Millis(gap);
        running.check(now);
    }
    assert_eq!(running.between(START, now), Millis(200));
    assert_eq!(running.between(START + Millis(50), now), Millis(150));
    assert_eq!(running.between(now, now), Millis(0));
}

#[test]
fn a_slow_check_counts_in_full() {
    let mut running = RunningTime::new(START);
    assert_eq!(running.check(START + Millis(200)), None);
    assert_eq!(running.check(START + Millis(500)), Some(Millis(300)));
    assert_eq!(running.between(START, START + Millis(500)), Millis(250));
}

#[test]
fn an_owner_is_alive_until_two_heartbeats_are_missed() {
    let running = RunningTime::new(START);
    let now = START + OWNER_TIMEOUT + Millis(1);
    let mut missed = MissedHeartbeats::default();
    for sent in [START, START + Millis(250)] {
        missed.record(sent);
        assert!(!is_silent(&running, Some(missed), START, now));
    }
    missed.record(START + Millis(500));
    assert!(is_silent(&running, Some(missed), START, now));
    assert!(!is_silent(&running, Some(missed), START, START + OWNER_TIMEOUT));
    assert!(!is_silent(&running, Some(missed), START + Millis(400), now + Millis(400)));
}

#[test]
fn heartbeats_that_time_out_in_another_order_count_alike() {
    let mut missed = MissedHeartbeats::default();
    missed.record(START + Millis(500));
    missed.record(START + Millis(250));
    let now = START + OWNER_TIMEOUT + Millis(1);
    assert!(is_silent(&RunningTime::new(START), Some(missed), START, now));
}

#[test]
fn an_owner_without_a_known_address_is_judged_by_time() {
    let running = RunningTime::new(START);
    assert!(!is_silent(&running, None, START, START + OWNER_TIMEOUT));
    assert!(is_silent(&running, None, START, START + OWNER_TIMEOUT + Millis(1)));
}

#[test]
fn a_silent_owner_is_found_by_a_process_that_is_late_once_a_second() {
    let mut judge = Judge::new();
    let mut steps = (1..=15).map(|number| if number == 15 { 300 } else { CHECK_PERIOD }).cycle();
    while !judge.step(Millis(steps.next().unwrap_or_default()), None) {
        assert!(judge.now.since(START) < Millis(3000), "the owner is never found silent");
    }
}

#[test]
fn a_silent_owner_is_found_by_a_process_that_is_late_at_every_check() {
    let mut judge = Judge::new();
    let checks = (1..100).find(|_| judge.step(Millis(400), None));
    assert!(checks.is_some_and(|checks| checks <= 30), "{checks:?}");
}

properties! {
    fn an_owner_that_answers_is_never_silent_however_late_the_process_is(
        steps: Vec<(u16, u16)>
    ) -> bool {
        let mut judge = Judge::new();
        !steps.into_iter().any(|(step, latency)| {
            let latency = Millis(u64::from(latency) % HEARTBEAT_TIMEOUT.0);
            judge.step(gap_of(step), Some(latency))
        })
    }

    fn an_owner_that_answers_is_never_silent_though_only_checks_are_in_time(
        phases: Vec<(u16, u8, bool, bool)>
    ) -> bool {
        let mut judge = Judge::new();
        !phases.into_iter().any(|(step, checks, reads, sends)| {
            (0..checks % 64).any(|_| {
                let is_silent = judge.check(gap_of(step));
                if reads {
                    judge.read();
                }
                if sends {
                    judge.send(Some(Millis(1)));
                }
                is_silent
            })
        })
    }

    fn an_owner_that_loses_single_heartbeats_is_never_silent(steps: Vec<(u16, bool)>) -> bool {
        let mut judge = Judge::new();
        let mut answers = true;
        !steps.into_iter().any(|(step, lost)| {
            // Each heartbeat after a lost one is answered.
            let sent = judge.now + gap_of(step) >= judge.next_heartbeat;
            if sent {
                answers = !(answers && lost);
            }
            judge.step(gap_of(step), answers.then_some(Millis(1)))
        })
    }

    fn an_owner_that_never_answers_is_silent_after_bounded_running_time(steps: Vec<u16>) -> bool {
        let mut judge = Judge::new();
        let mut ran = Millis(0);
        for step in steps.into_iter().cycle().take(1000) {
            let gap = gap_of(step);
            ran = Millis(ran.0 + if gap < Millis(250) { gap.0 } else { CHECK_PERIOD });
            if judge.step(gap, None) {
                break;
            }
        }
        ran <= DETECTION_LIMIT
    }
}

fn missed_at(first: u64, second: u64) -> Option<MissedHeartbeats> {
    let mut missed = MissedHeartbeats::default();
    missed.record(START + Millis(first));
    missed.record(START + Millis(second));
    Some(missed)
}

/// A process that read a pool's rows over a narrow link found all owners silent at the same moment,
/// and took their pools.
#[test]
fn a_process_whose_own_link_delays_all_answers_does_not_find_owners_silent() {
    let running = RunningTime::new(START);
    let missed = missed_at(300, 550);
    let now = START + Millis(OWNER_TIMEOUT.0 + 100);
    assert!(is_silent(&running, missed, START, now));
    let is_fault = |quick| is_owners_fault(&running, missed, START, quick, now);
    assert!(!is_fault(None));
    assert!(!is_fault(Some(START + Millis(200))), "the link may have filled up since");
    assert!(is_fault(Some(START + Millis(400))), "the link delivered while heartbeats were missed");
}

#[test]
fn a_dead_owner_is_found_in_the_end_where_no_answer_is_quick() {
    let running = RunningTime::new(START);
    let missed = missed_at(300, 550);
    let late = START + Millis(5 * OWNER_TIMEOUT.0);
    assert!(is_owners_fault(&running, missed, START, None, late));
}

#[test]
fn an_owner_without_an_address_is_not_excused_by_this_processs_link() {
    let running = RunningTime::new(START);
    let now = START + Millis(OWNER_TIMEOUT.0 + 100);
    assert!(is_owners_fault(&running, None, START, None, now));
}

/// Guards against owners that are found silent by a process whose own link is filled by a large answer, and against an owner that
/// is never found dead because such answers came before and after it died.
#[test]
fn time_in_which_a_large_answer_fills_the_link_is_no_evidence() {
    let mut running = RunningTime::new(START);
    let checks = |running: &mut RunningTime, from: u64, to: u64, filled: bool| {
        for at in (from..=to).step_by(CHECK_PERIOD as usize).map(|at| START + Millis(at)) {
            if filled {
                running.record_filled_link(at);
            }
            // A check that is late within such a stretch doesn't count twice.
            assert_eq!(running.check(at), None);
        }
    };
    checks(&mut running, 50, 200, false);
    checks(&mut running, 250, 6000, true);
    let missed = missed_at(300, 550);
    assert!(!is_silent(&running, missed, START, START + Millis(6000)));
    checks(&mut running, 6050, 7200, false);
    assert!(is_silent(&running, missed, START, START + Millis(7200)));
}

/// Returns a process that checks until `last` after the start, some of whose calls, sent at these times, are answered quickly. The
/// first part of a large answer arrives at `begun`, and the other parts after the last check.
fn reader(quick: &[u64], begun: u64, last: u64) -> RunningTime {
    let mut running = RunningTime::new(START);
    for at in (CHECK_PERIOD..=last).step_by(CHECK_PERIOD as usize) {
        let now = START + Millis(at);
        if let Some(sent) = quick.iter().filter(|sent| **sent < at).max() {
            running.record_quick_answer(START + Millis(*sent));
        }
        if at >= begun {
            running.record_large_answer(START + Millis(begun), now);
        }
        assert_eq!(running.check(now), None);
    }
    running
}

/// Guards against owners that are found silent at the beginning of a read: the first part of a large answer comes up to a second
/// after it has begun to fill the link, and a call that is sent right before that part may be answered quickly.
#[test]
fn time_before_the_first_part_of_a_large_answer_is_no_evidence() {
    let missed = missed_at(200, 450);
    let now = START + Millis(1150);
    for quick in [&[0][..], &[0, 880]] {
        assert!(is_silent(&reader(quick, 2000, 1150), missed, START, now));
        assert!(!is_silent(&reader(quick, 900, 1150), missed, START, now));
    }
}

/// Guards against a dead owner that is left alone because an answer fills the link for a moment: calls that are answered quickly
/// show that the link was free.
#[test]
fn owner_that_dies_before_a_large_answer_is_found_while_others_answer() {
    let quick = [0, 250, 500, 750, 1000];
    let now = START + Millis(1150);
    assert!(is_silent(&reader(&quick, 900, 1150), missed_at(200, 450), START, now));
}

/// Guards against a process without other calls, none of which is answered quickly therefore, that does not find a dead owner for
/// as long as it was idle before a large answer.
#[test]
fn quiet_time_counts_as_filled_only_shortly_before_a_large_answer() {
    let running = |quick: &[u64], begun: u64| reader(quick, begun, 6000);
    let now = START + Millis(6000);
    assert!(running(&[0], 5900).between(START, now) >= Millis(4700));
    assert_eq!(
        running(&[0, 3000, 3300, 3600, 3900, 4200], 4400).between(START, START + Millis(4200)),
        Millis(4200)
    );
}
