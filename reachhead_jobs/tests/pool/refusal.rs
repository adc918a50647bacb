//! Rows that the store refuses for what they are.

use std::collections::BTreeSet;

use reachhead_jobs::{pool::Batch, ports::RunEnd};
use reachhead_store::row::{Commit, Write};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::Revision,
};

use crate::fixture::{Fixture, info, step, worker};

/// Tries after which everything that can be written has to be written.
const TRIES: usize = 60;

/// Writes what is to be written to a store that refuses each transaction with a row for which `refuses` holds; returns how many
/// were refused.
fn write(fixture: &mut Fixture, refuses: impl Fn(&Write) -> bool) -> usize {
    let mut refused = 0;
    for revision in 0..TRIES as u64 {
        fixture.pass(50);
        fixture.poll();
        let Some(batch): Option<Batch> = fixture.batch() else {
            continue;
        };
        if batch.txn.writes.iter().any(&refuses) {
            fixture.pool.rejected(&batch, fixture.now);
            refused += 1;
        } else {
            let commit = Commit::Done(Revision(1000 + revision));
            assert!(fixture.pool.decided(&batch, &commit, fixture.now));
        }
    }
    refused
}

/// A worker's row was refused: its key was too long. The whole transaction failed with it, again and again, so no worker of the
/// pool was ever entered and nothing was started on any of them.
#[test]
fn a_worker_whose_row_is_refused_keeps_no_other_from_being_used() {
    let names: Vec<String> = (0..100).map(|number| format!("w{number}")).collect();
    let mut fixture = Fixture::ready(vec![info("first", 4)]);
    fixture.infos.extend(names.iter().map(|name| info(name, 4)));
    fixture.list();
    let refused = write(&mut fixture, |write| write.key.0.ends_with("/w77"));
    assert!(refused < 20, "it is tried {refused} times");
    let missing: BTreeSet<WorkerId> = fixture
        .pool
        .workers()
        .values()
        .filter(|known| !known.rostered)
        .map(|known| known.info.id.clone())
        .collect();
    assert_eq!(missing, BTreeSet::from([worker("w77")]));
}

/// The progress of one job was refused, since it was too long. What other jobs of its part had done was never recorded either, and
/// their workers kept all of their ends.
#[test]
fn a_job_whose_progress_is_refused_keeps_no_other_from_being_recorded() {
    let mut fixture = Fixture::ready(vec![info("a", 64)]);
    for id in 1..=16 {
        fixture.begin(id, vec![step(2)]);
    }
    let runs = fixture.running[&worker("a")].clone();
    for run in runs.iter().filter(|run| run.task.index == 0) {
        fixture.end(&worker("a"), run.task, run.run.0, RunEnd::Done);
    }
    fixture.report(&worker("a"));
    let refused = write(&mut fixture, |write| {
        write.key.0.starts_with("progress/") && write.key.0.ends_with("0000000000000005")
    });
    assert!(refused < 20, "it is tried {refused} times");
    let recorded = fixture.pool.jobs().values().filter(|job| job.revision.is_some()).count();
    assert_eq!(recorded, 15);
    // Its end is a short row.
    for run in runs.iter().filter(|run| run.task.job.0 == 5 && run.task.index == 1) {
        fixture.end(&worker("a"), run.task, run.run.0, RunEnd::Done);
    }
    fixture.report(&worker("a"));
    write(&mut fixture, |write| write.key.0.starts_with("progress/") && write.value.is_some());
    assert!(!fixture.pool.jobs().contains_key(&JobId(5)));
}
