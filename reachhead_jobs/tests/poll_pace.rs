//! Reports of workers are paced by the link.

use reachhead_jobs::{clock::Tick, poll_pace::PollPacer};
use reachhead_types::size::{ByteRate, Millis};

/// Guards against polls of a burst that together fill a narrow link, and against a budget that is saved
/// up without limit.
#[test]
fn reports_take_at_most_their_share_of_a_narrow_link() {
    let mut pacer = PollPacer::new(ByteRate(250_000), Tick(0));
    let mut polls = 0;
    for now in (0..=2000).step_by(10) {
        let mut budget = pacer.budget(Tick(now));
        while budget.has_room() {
            budget.take(10);
            polls += 1;
        }
        pacer.record(budget);
    }
    assert!((160..=185).contains(&polls), "{polls} reports of 1,200 bytes in two seconds");
    let mut budget = pacer.budget(Tick(3_600_000));
    let burst = std::iter::from_fn(|| budget.has_room().then(|| budget.take(10))).count();
    assert!(burst <= 10, "{burst}");
    assert!(pacer.budget(Tick(3_600_000) + Millis(10)).has_room());
}
