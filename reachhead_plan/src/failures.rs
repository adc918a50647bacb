//! Attribution of task failures to faulty workers, which fail every task, or to faulty jobs, which
//! fail on every worker.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use reachhead_types::id::{HostId, JobName};

/// Distinct jobs that must fail on a worker, without a success there in between, before it is
/// quarantined.
pub const QUARANTINE_MIN_JOBS: usize = 3;

/// Distinct workers on which a job must fail, without a success in between, before it is stopped
/// as failing.
pub const FAILING_MIN_WORKERS: usize = 3;

/// Failures that are kept per worker and per job.
const MAX_KEPT_FAILURES: usize = 32;

/// The failures of each worker and each job since its last success.
#[derive(Debug, Clone, Default)]
pub struct FailureTracker {
    /// Jobs that failed on a worker since the last success of any job there.
    workers: BTreeMap<HostId, VecDeque<JobName>>,
    /// Workers on which a job failed since its last success on any worker.
    jobs: BTreeMap<JobName, VecDeque<HostId>>,
}

impl FailureTracker {
    /// Returns a tracker without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a task of `job` succeeded on `worker`.
    pub fn record_success(&mut self, worker: &HostId, job: &JobName) {
        self.workers.remove(worker);
        self.jobs.remove(job);
    }

    /// Records that a task of `job` failed on `worker`.
    pub fn record_failure(&mut self, worker: &HostId, job: &JobName) {
        push_bounded(self.workers.entry(worker.clone()).or_default(), job);
        push_bounded(self.jobs.entry(job.clone()).or_default(), worker);
    }

    /// Drops the failures of a worker, for example after a reboot.
    pub fn forget_worker(&mut self, worker: &HostId) {
        self.workers.remove(worker);
    }

    /// Returns whether a worker fails every task. Jobs that fail on many workers don't count
    /// against it.
    pub fn is_quarantined(&self, worker: &HostId) -> bool {
        let Some(failed) = self.workers.get(worker) else {
            return false;
        };
        let counts = |job: &&JobName| self.count_failed_workers(job) < FAILING_MIN_WORKERS;
        failed.iter().filter(counts).collect::<BTreeSet<_>>().len() >= QUARANTINE_MIN_JOBS
    }

    /// Returns whether a job fails on every worker. Quarantined workers don't count against it.
    pub fn is_failing(&self, job: &JobName) -> bool {
        let Some(failed) = self.jobs.get(job) else {
            return false;
        };
        let counts = |worker: &&HostId| !self.is_quarantined(worker);
        failed.iter().filter(counts).collect::<BTreeSet<_>>().len() >= FAILING_MIN_WORKERS
    }

    fn count_failed_workers(&self, job: &JobName) -> usize {
        let failed = self.jobs.get(job);
        failed.map_or(0, |failed| failed.iter().collect::<BTreeSet<_>>().len())
    }
}

fn push_bounded<T: Clone>(failures: &mut VecDeque<T>, failure: &T) {
    if failures.len() == MAX_KEPT_FAILURES {
        failures.pop_front();
    }
    failures.push_back(failure.clone());
}
