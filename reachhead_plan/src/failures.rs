//! Whose fault failures are: a worker's that fails every task, or a job's that fails everywhere.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use reachhead_types::id::{HostId, JobName};

/// Different jobs that must fail on a worker, with no success between, before it is quarantined.
pub const QUARANTINE_MIN_JOBS: usize = 3;

/// Different workers on which a job must fail, with no success between, before it is stopped.
pub const FAILING_MIN_WORKERS: usize = 3;

/// Results that are remembered of a worker or a job.
const RESULT_LIMIT: usize = 32;

/// The failures of every worker and job since its last success.
#[derive(Debug, Clone, Default)]
pub struct FailureTracker {
    /// The jobs that failed on a worker since anything succeeded there.
    workers: BTreeMap<HostId, VecDeque<JobName>>,
    /// The workers on which a job failed since it succeeded anywhere.
    jobs: BTreeMap<JobName, VecDeque<HostId>>,
}

impl FailureTracker {
    /// Returns the health of a fleet without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a task of `job` did its work on `worker`.
    pub fn record_success(&mut self, worker: &HostId, job: &JobName) {
        self.workers.remove(worker);
        self.jobs.remove(job);
    }

    /// Notes that a task of `job` failed on `worker`.
    pub fn record_failure(&mut self, worker: &HostId, job: &JobName) {
        remember(self.workers.entry(worker.clone()).or_default(), job);
        remember(self.jobs.entry(job.clone()).or_default(), worker);
    }

    /// Forgets what a worker did, as after a reboot.
    pub fn forget_worker(&mut self, worker: &HostId) {
        self.workers.remove(worker);
    }

    /// Tells whether a worker fails whatever it is given. Jobs that fail everywhere don't count
    /// against it.
    pub fn is_quarantined(&self, worker: &HostId) -> bool {
        let Some(failed) = self.workers.get(worker) else {
            return false;
        };
        let innocent = |job: &&JobName| self.workers_of(job) < FAILING_MIN_WORKERS;
        failed.iter().filter(innocent).collect::<BTreeSet<_>>().len() >= QUARANTINE_MIN_JOBS
    }

    /// Tells whether a job fails wherever it runs. Workers that fail everything don't count against
    /// it.
    pub fn is_failing(&self, job: &JobName) -> bool {
        let Some(failed) = self.jobs.get(job) else {
            return false;
        };
        let innocent = |worker: &&HostId| !self.is_quarantined(worker);
        failed.iter().filter(innocent).collect::<BTreeSet<_>>().len() >= FAILING_MIN_WORKERS
    }

    fn workers_of(&self, job: &JobName) -> usize {
        let failed = self.jobs.get(job);
        failed.map_or(0, |failed| failed.iter().collect::<BTreeSet<_>>().len())
    }
}

fn remember<T: Clone>(results: &mut VecDeque<T>, result: &T) {
    if results.len() == RESULT_LIMIT {
        results.pop_front();
    }
    results.push_back(result.clone());
}
