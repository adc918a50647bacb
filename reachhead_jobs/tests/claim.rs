//! Tests of the bounds on claims to pools that are not served.

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen};
use reachhead_jobs::{
    candidate::UNABLE_DELAY,
    claim::{TakeoverProgress, is_serving, is_write_stalled, patience, probe_pause},
    clock::Tick,
    liveness::StoreAnswers,
};
use reachhead_property::properties;
use reachhead_types::size::Millis;

/// Step of simulated time.
const STEP: Millis = Millis(50);

/// Delay between consecutive candidates.
const RANK_DELAY: u64 = 60;

/// Interval between two answers of the store.
const ANSWER_PERIOD: u64 = 500;

/// Answers of a store that is away in the given stretches of time.
fn answers(now: Tick, outages: &[(u64, u64)]) -> StoreAnswers {
    let mut answers = StoreAnswers::default();
    let times = (0..now.0 / ANSWER_PERIOD).map(|number| number * ANSWER_PERIOD).chain([now.0]);
    let is_away = |time: &u64| outages.iter().any(|(start, end)| (start..end).contains(&time));
    times.filter(|time| !is_away(time)).for_each(|time| answers.record(Tick(time)));
    answers
}

/// Answers of a store that is there all the time.
fn steady(now: Tick) -> StoreAnswers {
    answers(now, &[])
}

const fn takeover(started: u64, progressed: u64, abandoned: u32) -> TakeoverProgress {
    let (started, progressed) = (Tick(started), Tick(progressed));
    TakeoverProgress { started, progressed, unanswered: Millis(0), abandoned, outmatched: true }
}

#[test]
fn takeover_without_progress_is_given_up_and_one_with_progress_is_not() {
    let now = Tick(10_000);
    assert!(takeover(5000, 5000, 0).is_stuck(&steady(now), now));
    assert!(!takeover(5000, 9000, 0).is_stuck(&steady(now), now));
    assert!(!takeover(5000, 5000, 1).is_stuck(&steady(now), now), "the second waits longer");
}

#[test]
fn takeover_that_reads_for_very_long_is_given_up() {
    let now = Tick(60_000);
    assert!(takeover(45_000, 59_900, 0).is_stuck(&steady(now), now));
    assert!(!takeover(45_000, 59_900, 1).is_stuck(&steady(now), now), "the second has longer");
    let unmatched = TakeoverProgress { outmatched: false, ..takeover(45_000, 59_900, 0) };
    assert!(!unmatched.is_stuck(&steady(now), now), "no other process would be faster");
}

#[test]
fn outage_of_the_whole_store_changes_no_owner() {
    let now = Tick(20_000);
    let away = answers(now, &[(12_500, 20_001)]);
    assert!(!takeover(10_000, 10_000, 0).is_stuck(&away, now), "the store does not answer");
    let back = answers(now, &[(10_500, 19_000)]);
    assert!(!takeover(10_000, 10_000, 0).is_stuck(&back, now), "it has only just come back");
}

#[test]
fn time_in_which_the_store_does_not_answer_tests_does_not_count() {
    let now = Tick(20_000);
    let progress = takeover(16_500, 16_500, 0);
    assert!(progress.is_stuck(&steady(now), now));
    let excused = TakeoverProgress { unanswered: Millis(1000), ..progress };
    assert!(!excused.is_stuck(&steady(now), now), "a poll from before the outage was answered");
}

#[test]
fn takeover_without_progress_is_given_up_although_the_store_is_away_now_and_then() {
    let now = Tick(40_000);
    let outages: Vec<(u64, u64)> =
        (0..20).map(|number| (number * 4000 + 500, number * 4000 + 3000)).collect();
    assert!(takeover(20_000, 20_000, 0).is_stuck(&answers(now, &outages), now));
}

#[test]
fn owner_that_stands_still_is_not_serving_unless_the_whole_process_was_paused() {
    let now = Tick(20_000);
    assert!(is_serving(Tick(19_000), Tick(0), now));
    assert!(!is_serving(Tick(15_000), Tick(0), now));
    assert!(is_serving(Tick(15_000), Tick(19_900), now));
}

/// When each of some processes can read the pool's rows: from a time on, or never.
#[derive(Debug, Clone)]
struct Readers(Vec<Option<u64>>);

impl Arbitrary for Readers {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + usize::from(u8::arbitrary(g) % 6);
        let reader = |g: &mut Gen| bool::arbitrary(g).then(|| u64::arbitrary(g) % 60_000);
        Self((0..count).map(|_| reader(g)).collect())
    }
}

/// A process that could not read the pool's rows and probes them.
#[derive(Debug, Default)]
struct Unable {
    failures: u32,
    next_probe: Tick,
}

impl Unable {
    fn record_failure(&mut self, now: Tick) {
        self.next_probe = now + probe_pause(self.failures);
        self.failures += 1;
    }

    /// Probes if it is time, and returns whether the rows can be read.
    fn can_read(&mut self, readable_from: Option<u64>, now: Tick) -> bool {
        if now < self.next_probe {
            return false;
        }
        let readable = readable_from.is_some_and(|from| from <= now.0);
        if !readable {
            self.record_failure(now);
        }
        readable
    }
}

/// The outcome of a vacant pool.
struct Outcome {
    /// When the pool was served, if it was before the end.
    served_at: Option<u64>,
    ownership_changes: u64,
}

/// Lets processes take the pool in their order until one can read its rows.
fn elect(readers: &[Option<u64>], end: u64) -> Outcome {
    let (mut now, mut abandoned, mut ownership_changes) = (Tick(0), 0, 0);
    let mut unable: BTreeMap<usize, Unable> = BTreeMap::new();
    while now.0 < end {
        let delay = |index: &usize| {
            let last = if unable.contains_key(index) { UNABLE_DELAY.0 } else { 0 };
            last + RANK_DELAY * *index as u64
        };
        let Some(taker) = (0..readers.len()).min_by_key(delay) else { unreachable!("not empty") };
        now = now + Millis(delay(&taker));
        ownership_changes += 1;
        let progress = takeover(now.0, now.0, abandoned);
        while !progress.is_stuck(&steady(now), now) {
            if readers[taker].is_some_and(|from| from <= now.0) {
                return Outcome { served_at: Some(now.0), ownership_changes };
            }
            now = now + STEP;
            unable.retain(|index, unable| !unable.can_read(readers[*index], now));
        }
        abandoned += 1;
        unable.entry(taker).or_default().record_failure(now);
    }
    Outcome { served_at: None, ownership_changes }
}

/// Upper bound of the time of one takeover that is given up, with the delay before the next.
fn longest_turn(processes: usize) -> u64 {
    patience(u32::MAX).0 + UNABLE_DELAY.0 + RANK_DELAY * processes as u64 + 2 * STEP.0
}

properties! {
    fn pool_is_served_soon_after_one_process_can_read_it(readers: Readers) -> bool {
        let Some(first) = readers.0.iter().flatten().min().copied() else { return true };
        let bound = first + probe_pause(u32::MAX).0 + 2 * longest_turn(readers.0.len());
        elect(&readers.0, bound + 1).served_at.is_some_and(|at| at <= bound)
    }

    fn pool_that_no_process_can_read_changes_its_owner_seldom(count: u8, seconds: u8) -> bool {
        let readers = vec![None; 1 + usize::from(count % 40)];
        let end = 1000 * u64::from(seconds);
        let changes = elect(&readers, end).ownership_changes;
        changes <= 3 + end / patience(u32::MAX).0
    }

    fn probes_become_rarer_up_to_a_limit(failures: u32) -> bool {
        let (pause, next) = (probe_pause(failures), probe_pause(failures.saturating_add(1)));
        pause <= next && next <= Millis(16_000)
    }
}

/// An owner answered heartbeats and read the store while none of its transactions got an answer, and
/// kept its pools without end.
#[test]
fn an_owner_whose_transactions_alone_get_no_answer_is_write_stalled() {
    let start = Tick(1_000_000);
    let mut answers = StoreAnswers::default();
    let mut stalled_at = None;
    for time in 0..60 {
        let now = start + Millis(time * 100);
        answers.record(now);
        if is_write_stalled(Some(start), &answers, now) {
            stalled_at.get_or_insert(now.since(start));
        }
        assert!(!is_write_stalled(None, &answers, now));
    }
    assert_eq!(stalled_at, Some(Millis(3100)));
}

#[test]
fn an_outage_of_the_whole_store_makes_no_owner_write_stalled() {
    let start = Tick(1_000_000);
    let mut answers = StoreAnswers::default();
    answers.record(start);
    let end = start + Millis(20_000);
    assert!(!is_write_stalled(Some(start), &answers, end), "the store answers nothing");
    answers.record(end);
    assert!(
        !is_write_stalled(Some(start), &answers, end + Millis(500)),
        "it has only just come back"
    );
}
