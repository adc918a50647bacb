//! Tests of the class of a job whose last chance to be in time passes.

use reachhead_jobs::{
    clock::Tick,
    job::Job,
    order::{Class, DurationEstimator},
};
use reachhead_types::{id::JobId, size::Millis};

use crate::fixture::{queue, record, step};

/// Returns the class of a job that would just be in time if all its tasks took the predicted time,
/// after tasks that took these times by turns.
fn class_at_last_chance(times: [u64; 2]) -> Class {
    let queue = queue();
    let step = step(8);
    let mut estimator = DurationEstimator::default();
    for time in times.into_iter().cycle().take(60) {
        estimator.observe_task(&queue.name, step.estimate, Millis(time));
    }
    let record = record(vec![step.clone()], 0);
    let accepted = Tick(10_000);
    let mut job = Job::new(JobId(1), &record, accepted);
    job.add_due_occurrences(Millis(10_000));
    let time = estimator.predict(&queue.name, &step);
    let objective = estimator.objective(&queue, &record.plan);
    let now = Tick(accepted.0 + objective.0 - time.0 - time.0 / 20);
    estimator.rank(&job, now).class
}

/// Guards against jobs that are started as in time although the slowest of their tasks makes them
/// late, ahead of jobs that could still be in time; and against an allowance where tasks take equal
/// times, which would give up jobs that can be in time.
#[test]
fn a_job_whose_slowest_task_makes_it_late_is_not_in_time() {
    assert_eq!(class_at_last_chance([700, 1300]), Class::Late);
    assert_eq!(class_at_last_chance([1000, 1000]), Class::InTime);
}
