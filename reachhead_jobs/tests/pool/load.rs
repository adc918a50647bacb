//! How much room a pool asks for.

use crate::desk::{Desk, info, step};

/// Submits jobs of one core-second each, `counts` of them in each tenth of a second, and returns the need
/// for work that arrives. Nothing runs, since no worker has answered.
fn need_after(counts: &[u64]) -> u64 {
    let mut desk = Desk::new(Default::default(), vec![info("a", 16)]);
    let mut id = 0;
    for &count in counts {
        for _ in 0..count {
            id += 1;
            desk.submit(id, vec![step(1)]);
        }
        desk.pass(100);
    }
    desk.pool.load(desk.now).need
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
    assert!(sudden <= 3 * 40_000, "{sudden}");
}
