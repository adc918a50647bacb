//! Tests of ends whose jobs the owner does not know.

use reachhead_jobs::{pool::Action, ports::RunEnd, record::JobRecord};
use reachhead_types::{
    id::JobId,
    size::{FencingToken, Millis, Revision},
};

use crate::fixture::{Fixture, info, record, step, task, worker};

const JOB: JobId = JobId(9);

/// Returns a pool whose worker reports an end of an unknown job.
fn reported() -> Fixture {
    let mut fixture = Fixture::ready(vec![info("a", 4)]);
    fixture.end(&worker("a"), task(JOB.0, 0, 0), 1, RunEnd::Done);
    fixture.report(&worker("a"));
    fixture
}

/// Lets seconds pass, in which the store answers lookups or does not. Returns the looked-up jobs.
fn pass(fixture: &mut Fixture, seconds: u64, answered: bool) -> Vec<JobId> {
    let mut found = Vec::new();
    for _ in 0..seconds {
        fixture.advance(1000);
        fixture.report(&worker("a"));
        for action in fixture.poll() {
            if let Action::FindJobs(jobs) = action {
                fixture.pool.jobs_found(&jobs, answered, fixture.now);
                found.extend(jobs);
            }
        }
    }
    found
}

fn acknowledged(fixture: &Fixture) -> u64 {
    fixture.pool.workers()[&worker("a")].acknowledged
}

#[test]
fn an_end_of_a_job_that_the_store_does_not_have_is_dropped_after_a_timeout() {
    let mut fixture = reported();
    assert_eq!(pass(&mut fixture, 4, true), []);
    assert_eq!(acknowledged(&fixture), 0, "the job may still be submitted");
    assert_eq!(pass(&mut fixture, 3, true), [JOB]);
    assert_eq!(acknowledged(&fixture), 1);
}

/// Ends of unknown jobs were acknowledged after five seconds, though the store had rejected all reads
/// of the process. It found the job later and started the task again.
#[test]
fn an_end_of_an_unknown_job_is_kept_until_the_store_shows_that_the_job_is_over() {
    let mut fixture = reported();
    let lookups = pass(&mut fixture, 16, false);
    assert_eq!(acknowledged(&fixture), 0, "no stored row holds the end");
    assert!(lookups.len() > 5, "the lookup is repeated");
    fixture.submit(JOB.0, vec![step(1)]);
    assert!(fixture.starts().is_empty(), "its task is done");
    fixture.flush();
    assert_eq!(acknowledged(&fixture), 1);
    assert_eq!(pass(&mut fixture, 6, true), [], "the job is known");
}

/// The lookup finds a job that a later owner stored, so this owner has lost the pool. It must not
/// take the job for one that is not stored.
#[test]
fn an_end_of_a_job_of_a_later_owner_is_not_acknowledged() {
    let mut fixture = reported();
    pass(&mut fixture, 4, true);
    fixture.advance(1500);
    let stored = JobRecord { stored_by: Some(FencingToken(8)), ..record(vec![step(1)], 0) };
    let now = fixture.now;
    assert!(fixture.poll().contains(&Action::FindJobs(vec![JOB])));
    fixture.pool.submit(JOB, &stored, Revision(60), now, Millis(now.0));
    fixture.pool.jobs_found(&[JOB], true, now);
    assert!(fixture.poll().contains(&Action::Fenced));
    assert_eq!(acknowledged(&fixture), 0);
}
