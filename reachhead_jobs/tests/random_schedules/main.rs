//! Random walks over the real owner of a pool: owners that are killed, frozen, blind or cut off from
//! workers, workers that crash, orders and transactions that are lost or carried out much later.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

mod simulation;

use reachhead_property::check;

use crate::simulation::Site;

/// Walks; a mistake that needs a late order and a change of hands is met in some tens of them.
const WALKS: u64 = 300;

/// Acts of one walk at most; a longer list only repeats.
const ACTS: usize = 40;

/// Lets a site go through the acts; tells whether it came to rest with every promise kept.
fn holds(mut site: Site, acts: Vec<(u8, u8, u8)>) -> bool {
    for act in acts.into_iter().take(ACTS) {
        site.act(act);
    }
    let settled = site.settle();
    if !settled || !site.wrong.is_empty() {
        eprintln!("settled: {settled}, wrong: {:?}", site.wrong);
    }
    settled && site.wrong.is_empty()
}

#[test]
fn no_task_runs_twice_or_is_lost_whatever_happens_to_owners_and_workers() {
    fn walk(acts: Vec<(u8, u8, u8)>) -> bool {
        holds(Site::new(), acts)
    }
    check("jobs", WALKS, walk as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Walks with tasks that crash whoever starts them: they are given up soon, though owners come and go and know nothing of what their
/// predecessors had not stored, and no job beside them is.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_and_no_other_whatever_happens_to_owners() {
    fn walk(acts: Vec<(u8, u8, u8)>) -> bool {
        holds(Site::new().with_crashes(), acts)
    }
    check("crashes", WALKS, walk as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Workers that crash start again under the ids that they had, and orders that were sent to the old life come to the new one. A
/// new life was taken for the old one: it was told to forget ends that nobody had read, and its first ends counted as known.
#[test]
fn nothing_runs_twice_or_is_lost_though_workers_start_again_under_their_ids() {
    fn walk(acts: Vec<(u8, u8, u8)>) -> bool {
        holds(Site::new().with_restarts(), acts)
    }
    check("restarts", WALKS, walk as fn(Vec<(u8, u8, u8)>) -> bool);
}
