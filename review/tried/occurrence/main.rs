use reachhead_jobs::{
    clock::Tick,
    job::Job,
    model::{Plan, Queue, Schedule, Step},
    progress::ProgressRecord,
    record::JobRecord,
    task::StepId,
};
use reachhead_types::{id::JobId, size::Millis};
use std::sync::Arc;
fn main() {
    let queue = Arc::new(Queue {
        name: "q".parse().unwrap(),
        host: "h".into(),
        prefix: "/q/".into(),
        pool: "p".parse().unwrap(),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        target: Millis(600),
        advice: None,
        allows_anonymous: true,
    });
    let plan = Arc::new(Plan {
        payload: "x".into(),
        steps: vec![Step { count: 2, ..Step::default() }],
        schedule: Some(Schedule { start: Millis(1000), interval: Millis(1000), count: 3 }),
    });
    let record = JobRecord { queue, plan, accepted: Millis(0), customer: None, stored_by: None };
    let mut progress = ProgressRecord::default();
    progress.complete(0, 0);
    progress.complete(0, 1);
    for (name, wall) in [("same clock", 2100), ("clock 0.2 s behind", 1900)] {
        let mut job = Job::new(JobId(1), &record, Tick(0));
        job.add_due_occurrences(Millis(wall));
        job.restore(&progress);
        job.add_due_occurrences(Millis(wall + 300));
        let state = &job.steps[&StepId { job: JobId(1), occurrence: 1, step: 0 }];
        println!(
            "{name}: occurrence 1, recorded as done, is done for the successor: {}",
            state.is_done()
        );
    }
}
