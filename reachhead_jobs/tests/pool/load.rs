//! How much room a pool asks for.

use reachhead_jobs::{model::Step, ports::RunEnd};
use reachhead_types::size::Millis;

use crate::fixture::{Fixture, info, step, task, worker};

/// Submits jobs of one core-second each, `counts` of them in each tenth of a second, and returns the need
/// for work that arrives. Nothing runs, since no worker has answered.
fn need_after(counts: &[u64]) -> u64 {
    let mut fixture = Fixture::new(Default::default(), vec![info("a", 16)]);
    let mut id = 0;
    for &count in counts {
        for _ in 0..count {
            id += 1;
            fixture.submit(id, vec![step(1)]);
        }
        fixture.pass(100);
    }
    fixture.pool.load(fixture.now).need
}

#[test]
fn a_rate_that_rises_is_expected_to_go_on_rising() {
    let steady = need_after(&[4; 16]);
    let rising = need_after(&[[1; 8], [4; 8]].concat());
    let falling = need_after(&[[8; 8], [4; 8]].concat());
    // A steady 40 core-seconds a second, and 64 jobs wait to begin within a second.
    assert_eq!(steady, 64_000);
    assert!(rising > 90_000, "{rising}");
    assert!(falling <= 96_000, "what waits counts, but no rise: {falling}");
}

#[test]
fn a_first_burst_is_not_taken_for_an_endless_rise() {
    let sudden = need_after(&[[0; 8], [4; 8]].concat());
    // 32 jobs where none were, and as many more for each 0.8 s of the 2.2 s until a host has come.
    assert!((148_000..=152_000).contains(&sudden), "{sudden}");
}

/// A queue of small jobs, two seconds apart, and then one of 50 core-seconds that is done at once.
#[test]
fn one_large_job_is_no_burst() {
    let mut fixture = Fixture::ready(vec![info("a", 64)]);
    for id in 1..=20 {
        fixture.pass(2000);
        let tasks = if id == 20 { 50 } else { 2 };
        fixture.begin(id, vec![step(tasks)]);
        for index in 0..tasks {
            fixture.end(&worker("a"), task(id, 0, index), 1, RunEnd::Done);
        }
        fixture.report(&worker("a"));
        fixture.flush();
    }
    let need = fixture.pool.load(fixture.now).need;
    // One job of 4.4 core-seconds, the mean, in 0.8 s and 3.75 times that ahead; the large one would be 234 cores.
    assert!((1..=21_000).contains(&need), "{need}");
}

/// Callers guess ten seconds for tasks that take one. What a queue's jobs need was averaged over what had been predicted as each came,
/// so the first ones' wrong guesses counted for dozens of later jobs: a new owner fetched several times the hosts that it needed.
#[test]
fn a_wrong_guess_is_not_carried_on_once_tasks_have_ended() {
    let mut fixture = Fixture::ready(vec![info("a", 64)]);
    let guessed = || vec![Step { estimate: Millis(10_000), ..step(1) }];
    for id in 1..=10 {
        fixture.begin(id, guessed());
        fixture.pass(1000);
        fixture.end(&worker("a"), task(id, 0, 0), 1, RunEnd::Done);
        fixture.report(&worker("a"));
        fixture.flush();
    }
    fixture.pass(4000);
    for id in 11..=18 {
        fixture.begin(id, guessed());
        fixture.pass(90);
    }
    let need = fixture.pool.load(fixture.now).need;
    // Eight core-seconds in 0.8 s, and 2.75 times as much again by the rise.
    assert!((30_000..=42_000).contains(&need), "{need}");
}
