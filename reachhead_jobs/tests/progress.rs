//! Tests of the persisted progress of jobs.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::sync::Arc;

use reachhead_jobs::{
    clock::Tick,
    job::{Job, StepState},
    model::{Plan, Queue, Schedule, Step},
    progress::ProgressRecord,
    record::{JobRecord, value},
    task::StepId,
};
use reachhead_types::{id::JobId, size::Millis};
use serde_json::json;

/// Size limit of a row in the store, in bytes.
const MAX_ROW_BYTES: usize = 65_536;

/// Maximum number of tasks of a job, over all its occurrences.
const MAX_TASKS: u32 = 20_000;

fn job(counts: &[u32], occurrences: u32) -> Job {
    let queue = Arc::new(Queue {
        name: "q".parse().unwrap(),
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        pool: "p".parse().unwrap(),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        target: Millis(600),
        advice: None,
        allows_anonymous: true,
    });
    let steps = counts.iter().map(|count| Step { count: *count, ..Step::default() }).collect();
    let schedule = (occurrences > 1).then_some(Schedule {
        start: Millis(0),
        interval: Millis(1),
        count: occurrences,
    });
    let plan = Arc::new(Plan { payload: "x".into(), steps, schedule });
    let record = JobRecord { queue, plan, accepted: Millis(0), customer: None, stored_by: None };
    let mut job = Job::new(JobId(1), &record, Tick(0));
    job.add_due_occurrences(Millis(u64::from(occurrences)));
    job
}

/// Marks the tasks as done for which `is_done` holds, given the step and the index.
fn finish(job: &mut Job, is_done: impl Fn(StepId, u32) -> bool) {
    for (id, step) in &mut job.steps {
        for (index, task) in step.tasks.iter_mut().enumerate() {
            if is_done(*id, index as u32) {
                task.done = true;
                step.done += 1;
            }
        }
    }
}

fn done(job: &Job) -> Vec<(StepId, Vec<bool>)> {
    let tasks = |(id, step): (&StepId, &StepState)| {
        (*id, step.tasks.iter().map(|task| task.done).collect())
    };
    job.steps.iter().map(tasks).collect()
}

/// Guards against progress rows above the size limit. Listing done tasks one by one took about six
/// bytes for each task and sixty for each occurrence of a step. From 10,000 tasks or 1,000
/// occurrences on, the store rejected the row. Then no progress of the job was stored, nor of
/// others in the same transaction, and a successor would have started all of it again.
#[test]
fn progress_of_the_largest_jobs_fits_into_a_row_and_survives_a_round_trip() {
    let shapes: [(&[u32], u32); 4] = [
        (&[MAX_TASKS], 1),
        (&[MAX_TASKS / 2, MAX_TASKS / 2], 1),
        (&[1], MAX_TASKS),
        (&[1, 1], MAX_TASKS / 2),
    ];
    for (counts, occurrences) in shapes {
        let last = occurrences - 1;
        let patterns: [&dyn Fn(StepId, u32) -> bool; 4] = [
            &|_, _| true,
            // An occurrence that has just begun, after others that are complete.
            &|id, index| id.occurrence < last || index == 0 && id.step == 0,
            &|id, index| id.occurrence < last || index % 2 == 0,
            &|id, index| id.occurrence < last || index % 3 != 0,
        ];
        for is_done in patterns {
            let mut before = job(counts, occurrences);
            finish(&mut before, is_done);
            let row = value(&before.progress());
            let bytes = row.to_string().len();
            assert!(bytes <= MAX_ROW_BYTES, "{bytes} bytes for {counts:?} x {occurrences}");
            let mut after = job(counts, occurrences);
            after.restore(&serde_json::from_value::<ProgressRecord>(row).unwrap());
            assert_eq!(done(&after), done(&before));
        }
    }
}

/// Rows of an earlier release, which listed the tasks that are done, can still be read.
#[test]
fn progress_of_an_earlier_release_is_read() {
    let row = json!({ "steps": [{ "occurrence": 0, "step": 0, "done": [0, 2, 3], "failed": [] }] });
    let mut job = job(&[4], 1);
    job.restore(&serde_json::from_value::<ProgressRecord>(row).unwrap());
    assert_eq!(done(&job)[0].1, [true, false, true, true]);
}
