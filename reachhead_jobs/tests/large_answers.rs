//! The limit on large answers that are sent at the same time.

use reachhead_jobs::{clock::Tick, large_answers::LargeAnswers};
use reachhead_types::size::ByteRate;

/// Guards against a member whose narrow link is shared by so many readers that none of them finishes.
#[test]
fn answers_beyond_what_the_link_carries_are_refused_until_one_is_sent() {
    let mut answers = LargeAnswers::new(ByteRate(250_000));
    assert!(answers.admit(250_000, Tick(1000)));
    assert!(answers.admit(250_000, Tick(1000)));
    assert!(!answers.admit(250_000, Tick(1000)), "the link is occupied");
    assert!(answers.admit(2_000, Tick(1000)), "small answers are not limited");
    assert!(answers.is_full(Tick(1999)));
    assert!(answers.admit(250_000, Tick(2000)), "the first one has been sent");
    assert!(!answers.admit(250_000, Tick(2999)), "the second one ends at 3000");
    assert!(!answers.is_full(Tick(3000)));
}
