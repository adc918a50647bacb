//! Tests of rows that the store rejects for their content.

use std::collections::BTreeSet;

use reachhead_jobs::{pool::Batch, ports::RunEnd};
use reachhead_store::row::{Commit, Write};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::Revision,
};

use crate::fixture::{Fixture, info, step, worker};

/// Number of tries after which everything that can be written has to be written.
const MAX_TRIES: usize = 60;

/// Commits pending transactions to a store that rejects each one with a row for which `rejects`
/// holds, and returns the number of rejections.
fn write_all(fixture: &mut Fixture, rejects: impl Fn(&Write) -> bool) -> usize {
    let mut rejected = 0;
    for revision in 0..MAX_TRIES as u64 {
        fixture.advance(50);
        fixture.poll();
        let Some(batch): Option<Batch> = fixture.batch() else {
            continue;
        };
        if batch.txn.writes.iter().any(&rejects) {
            fixture.pool.rejected(&batch, fixture.now);
            rejected += 1;
        } else {
            let commit = Commit::Done(Revision(1000 + revision));
            assert!(fixture.pool.decided(&batch, &commit, fixture.now));
        }
    }
    rejected
}

/// A worker's row was rejected because its key was too long. The whole transaction failed with it
/// again and again, so no worker of the pool was ever recorded and no task was started on any of
/// them.
#[test]
fn a_worker_whose_row_is_rejected_does_not_block_other_workers() {
    let names: Vec<String> = (0..100).map(|number| format!("w{number}")).collect();
    let mut fixture = Fixture::ready(vec![info("first", 4)]);
    fixture.infos.extend(names.iter().map(|name| info(name, 4)));
    fixture.list();
    let rejected = write_all(&mut fixture, |write| write.key.0.ends_with("/w77"));
    assert!(rejected < 20, "tried {rejected} times");
    let missing: BTreeSet<WorkerId> = fixture
        .pool
        .workers()
        .values()
        .filter(|known| !known.rostered)
        .map(|known| known.info.id.clone())
        .collect();
    assert_eq!(missing, BTreeSet::from([worker("w77")]));
}

/// The progress row of one job was rejected because it was too long. The progress of other jobs in
/// its shard was not recorded either, and their workers kept all their ends.
#[test]
fn a_job_whose_progress_is_rejected_does_not_block_other_jobs() {
    let mut fixture = Fixture::ready(vec![info("a", 64)]);
    for id in 1..=16 {
        fixture.submit_and_start(id, vec![step(2)]);
    }
    let runs = fixture.running[&worker("a")].clone();
    for run in runs.iter().filter(|run| run.task.index == 0) {
        fixture.end(&worker("a"), run.task, run.run.0, RunEnd::Done);
    }
    fixture.report(&worker("a"));
    let rejected = write_all(&mut fixture, |write| {
        write.key.0.starts_with("progress/") && write.key.0.ends_with("0000000000000005")
    });
    assert!(rejected < 20, "tried {rejected} times");
    let recorded = fixture.pool.jobs().values().filter(|job| job.revision.is_some()).count();
    assert_eq!(recorded, 15);
    // Its final record is a short row.
    for run in runs.iter().filter(|run| run.task.job.0 == 5 && run.task.index == 1) {
        fixture.end(&worker("a"), run.task, run.run.0, RunEnd::Done);
    }
    fixture.report(&worker("a"));
    write_all(&mut fixture, |write| write.key.0.starts_with("progress/") && write.value.is_some());
    assert!(!fixture.pool.jobs().contains_key(&JobId(5)));
}
