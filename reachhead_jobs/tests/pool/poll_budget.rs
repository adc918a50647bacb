//! Polls of a pool's workers within the budget of a narrow link.

use reachhead_jobs::{poll_pace::PollPacer, pool::Action};
use reachhead_types::{id::WorkerId, size::ByteRate};

use crate::fixture::{Fixture, info, worker};

/// Guards against polls that fill a narrow link, against workers that are never polled because others come
/// first, and against workers without an answer whose leases expire while their polls wait.
#[test]
fn polls_beyond_the_budget_wait_unless_they_are_urgent() {
    let names: Vec<String> = (0..20).map(|number| format!("w{number:02}")).collect();
    let mut fixture = Fixture::ready(names.iter().map(|name| info(name, 4)).collect());
    fixture.poll();
    for name in &names {
        fixture.report(&worker(name));
    }
    fixture.fail_poll(&worker("w19"));
    fixture.advance(200);
    let mut pacer = PollPacer::new(ByteRate(50_000), fixture.now);
    fixture.pool.set_poll_budget(pacer.budget(fixture.now));
    let polled = |actions: Vec<Action>| -> Vec<WorkerId> {
        let polls = actions.into_iter().filter_map(|action| match action {
            Action::Hold(target, _) => Some(target.id),
            _ => None,
        });
        polls.collect()
    };
    let first = polled(fixture.poll());
    assert_eq!(
        first.len(),
        5,
        "four polls of 600 bytes, and the worker without an answer: {first:?}"
    );
    assert!(first.contains(&worker("w19")));
    fixture.advance(600);
    let second = polled(fixture.poll());
    assert_eq!(second.len(), 15, "all others are urgent by now: {second:?}");
    assert!(second.iter().all(|id| !first.contains(id)));
}
