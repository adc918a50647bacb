//! Start orders that a pool still has to send.

use std::fmt::{self, Display, Formatter};

use reachhead_types::size::Bytes;

use crate::{job::Job, pool::Pool, start_pace::order_size};

/// Tasks without a run, and the size of their start orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StartBacklog {
    /// Number of the tasks.
    pub tasks: u32,
    /// Bytes of their orders on the owner's link.
    pub size: Bytes,
}

impl Display for StartBacklog {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "tasks={} bytes={}", self.tasks, self.size)
    }
}

impl Pool {
    /// Returns the start orders that the jobs of this pool still need, with those of steps that
    /// depend on others. Tasks of which a run may be active are not counted.
    pub fn start_backlog(&self) -> StartBacklog {
        let mut backlog = StartBacklog::default();
        for job in self.jobs.values().filter(|job| job.ending.is_none()) {
            let tasks = waiting_tasks(job);
            backlog.tasks += tasks;
            backlog.size.0 += u64::from(tasks) * order_size(&job.plan.payload).0;
        }
        backlog
    }
}

fn waiting_tasks(job: &Job) -> u32 {
    let tasks = job.steps.values().flat_map(|step| &step.tasks);
    tasks.filter(|task| !task.done && task.runs.is_empty()).count() as u32
}
