//! Tests of workers with more unacknowledged ends than a report lists. A run whose end was not
//! listed was taken for lost, and its task ran again.

use reachhead_jobs::{
    model::Step,
    ports::{MAX_REPORTED_ENDS, RunEnd},
};
use reachhead_plan::amount::Amount;
use reachhead_types::id::JobId;

use crate::fixture::{Fixture, info, recovered, step, task, worker};

const MANY: u32 = MAX_REPORTED_ENDS as u32;

/// Ends the run of task `index` of job `id`.
fn end(fixture: &mut Fixture, id: u64, index: u32) {
    fixture.end(&worker("w"), task(id, 0, index), 1, RunEnd::Done);
}

/// Reports all ends but the first `forgotten`, as many as a report lists.
fn report_after(fixture: &mut Fixture, forgotten: usize) {
    let all = fixture.ended.get(&worker("w")).cloned().unwrap_or_default();
    let listed = all.iter().skip(forgotten).take(MAX_REPORTED_ENDS).cloned();
    fixture.ended.insert(worker("w"), listed.collect());
    fixture.report(&worker("w"));
    fixture.ended.insert(worker("w"), all);
}

/// While the store takes no writes, a worker gets no more tasks than a report can list the ends of.
#[test]
fn a_worker_gets_no_tasks_whose_ends_a_report_could_not_list() {
    let mut fixture = Fixture::ready(vec![info("w", 2000)]);
    let need = Amount::new(1000, 1, 0);
    fixture.submit_and_start(1, vec![Step { need, ..step(MANY + 100) }]);
    assert_eq!(fixture.running[&worker("w")].len(), MAX_REPORTED_ENDS);
    for index in 0..MANY {
        end(&mut fixture, 1, index);
    }
    report_after(&mut fixture, 0);
    fixture.advance(100);
    assert!(fixture.starts().is_empty(), "no end is recorded");
    fixture.flush();
    report_after(&mut fixture, MAX_REPORTED_ENDS);
    assert_eq!(fixture.starts().len(), 100);
}

#[test]
fn a_run_that_a_full_report_does_not_list_is_not_lost() {
    let mut fixture = Fixture::ready(vec![info("w", 2000)]);
    fixture.submit_and_start(1, vec![step(1)]);
    // Orders of a predecessor end there as well.
    for index in 0..MANY {
        end(&mut fixture, 2, index);
    }
    end(&mut fixture, 1, 0);
    fixture.advance(100);
    report_after(&mut fixture, 0);
    assert!(fixture.starts().is_empty(), "its end may be one of those that are not listed");
    report_after(&mut fixture, MAX_REPORTED_ENDS);
    fixture.flush();
    assert!(
        !fixture.pool.jobs().contains_key(&JobId(1)) || fixture.pool.jobs()[&JobId(1)].recorded
    );
}

#[test]
fn a_recovered_task_waits_for_the_ends_that_a_full_report_does_not_list() {
    let jobs = vec![(1, vec![step(MANY)]), (2, vec![step(1)])];
    let mut fixture = Fixture::new(recovered(jobs, vec![("w", None)]), vec![info("w", 2000)]);
    fixture.poll();
    fixture.flush();
    for index in 0..MANY {
        end(&mut fixture, 1, index);
    }
    end(&mut fixture, 2, 0);
    for _ in 0..100 {
        report_after(&mut fixture, 0);
        assert!(fixture.starts().is_empty(), "its end may be one of those that are not listed");
        fixture.advance(100);
    }
    fixture.flush();
    report_after(&mut fixture, MAX_REPORTED_ENDS);
    fixture.flush();
    assert!(fixture.starts().is_empty(), "both jobs are done");
}
