//! Tests of a pool's capacity demand.

use reachhead_jobs::{model::Step, ports::RunEnd, start_pace::StartPacer};
use reachhead_types::size::{ByteRate, Millis};

use crate::fixture::{Fixture, info, step, task, worker};

/// Submits jobs of one core-second each, `counts` of them in each tenth of a second, and returns
/// the demand. Nothing runs, since no worker has answered.
fn need_after(counts: &[u64]) -> u64 {
    let mut fixture = Fixture::new(crate::fixture::unowned(), vec![info("a", 16)]);
    let mut id = 0;
    for &count in counts {
        for _ in 0..count {
            id += 1;
            fixture.submit(id, vec![step(1)]);
        }
        fixture.advance(100);
    }
    fixture.pool.load(fixture.now).need
}

#[test]
fn a_rising_rate_is_extrapolated() {
    let steady = need_after(&[4; 16]);
    let rising = need_after(&[[1; 8], [4; 8]].concat());
    let falling = need_after(&[[8; 8], [4; 8]].concat());
    // A steady 40 core-seconds per second, and 64 jobs are queued to start within a second.
    assert_eq!(steady, 64_000);
    assert!(rising > 90_000, "{rising}");
    assert!(falling <= 96_000, "queued work counts, but nothing is extrapolated: {falling}");
}

#[test]
fn the_extrapolation_of_a_first_burst_is_bounded() {
    let sudden = need_after(&[[0; 8], [4; 8]].concat());
    // 32 jobs after none, and as many more for each 0.8 s of the 2.2 s until a host has come.
    assert!((148_000..=152_000).contains(&sudden), "{sudden}");
}

/// A queue of small jobs, two seconds apart, and then one of 50 core-seconds that is done at once.
#[test]
fn one_large_job_is_not_a_burst() {
    let mut fixture = Fixture::ready(vec![info("a", 64)]);
    for id in 1..=20 {
        fixture.advance(2000);
        let tasks = if id == 20 { 50 } else { 2 };
        fixture.submit_and_start(id, vec![step(tasks)]);
        for index in 0..tasks {
            fixture.end(&worker("a"), task(id, 0, index), 1, RunEnd::Done);
        }
        fixture.report(&worker("a"));
        fixture.flush();
    }
    let need = fixture.pool.load(fixture.now).need;
    // One job of 4.4 core-seconds, the mean, in 0.8 s and 3.75 times that by extrapolation; the
    // large one would be 234 cores.
    assert!((1..=21_000).contains(&need), "{need}");
}

/// Callers estimate ten seconds for tasks that take one. The mean size of a queue's jobs was
/// averaged over the predictions made as each arrived, so the first wrong estimates counted for
/// dozens of later jobs, and a new owner fetched several times the hosts that it needed.
#[test]
fn a_wrong_estimate_is_corrected_once_tasks_have_ended() {
    let mut fixture = Fixture::ready(vec![info("a", 64)]);
    let wrongly_estimated = || vec![Step { estimate: Millis(10_000), ..step(1) }];
    for id in 1..=10 {
        fixture.submit_and_start(id, wrongly_estimated());
        fixture.advance(1000);
        fixture.end(&worker("a"), task(id, 0, 0), 1, RunEnd::Done);
        fixture.report(&worker("a"));
        fixture.flush();
    }
    fixture.advance(4000);
    for id in 11..=18 {
        fixture.submit_and_start(id, wrongly_estimated());
        fixture.advance(90);
    }
    let need = fixture.pool.load(fixture.now).need;
    // Eight core-seconds in 0.8 s, and 2.75 times as much again by extrapolation.
    assert!((30_000..=42_000).contains(&need), "{need}");
}

/// All tasks of a burst were started at once; on a narrow link most of the orders timed out behind
/// the first ones and were sent again elsewhere.
#[test]
fn a_burst_starts_no_more_tasks_in_a_round_than_the_link_carries() {
    let mut fixture = Fixture::ready(vec![info("w", 100), info("v", 100)]);
    let bandwidth = ByteRate(250_000);
    let mut pacer = StartPacer::new(bandwidth, 1.0, fixture.now);
    fixture.submit(1, vec![step(40)]);
    fixture.submit(2, vec![step(40)]);
    let mut rounds = Vec::new();
    for _ in 0..40 {
        fixture.pool.set_start_budget(pacer.budget(fixture.now));
        let starts = fixture.starts();
        pacer.record(fixture.pool.start_budget());
        for (id, order) in &starts {
            fixture.accept(id, order);
        }
        rounds.push(starts.len());
        fixture.advance(20);
    }
    assert_eq!(rounds.iter().sum::<usize>(), 80, "{rounds:?}");
    assert!(rounds.iter().all(|starts| *starts < 20), "{rounds:?}");
}
