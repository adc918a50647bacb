//! Capacity demand of a pool, as input to balancing hosts between pools.

use std::collections::{BTreeMap, VecDeque};

use reachhead_types::{
    id::{CustomerName, RouteName, WorkerId},
    size::Millis,
};
use serde::{Deserialize, Serialize};

use crate::{
    clock::Tick,
    incarnation::Incarnation,
    job::{Job, Phase},
    order::Class,
    pool::Pool,
    worker::Worker,
};

/// Window over which arriving work is averaged: long enough for a few jobs of a queue of large
/// ones, short enough to notice a burst within its first second.
const RATE_WINDOW: Millis = Millis(800);

/// How far a rising arrival rate is extrapolated, in milliseconds: until a host requested now takes
/// work, 1.5 s for its move and up to 0.7 s for the order, its registration and its first answer.
/// With less, callers wait for hosts during a rise; with more, hosts are fetched for a rise that
/// has ended.
const TREND_HORIZON_MS: u64 = 2200;

/// Upper bound of an extrapolated rate, as a multiple of the current one.
const MAX_TREND_FACTOR: f64 = 4.0;

/// Time within which queued work should start, in milliseconds.
const BACKLOG_TARGET_MS: u64 = 1000;

/// A worker's capacity and use, as reported to the balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLoad {
    /// The worker.
    pub worker: WorkerId,
    /// Its capacity, in thousandths of a core.
    pub cores: u64,
    /// Allocated capacity, in thousandths of a core.
    pub used: u64,
    /// It has a long-running task.
    pub pinned: bool,
    /// Its zone is drained, so it offers no capacity.
    #[serde(default)]
    pub drained: bool,
}

/// A pool's capacity and demand, in thousandths of a core.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Demand of running, queued and arriving work.
    pub need: u64,
    /// The part of `need` that is not for late queued work.
    #[serde(default)]
    pub timely: u64,
    /// Demand of long-running tasks.
    pub lasting: u64,
    /// Minimum number of workers, whatever their size, because long-running tasks are spread.
    pub least: u32,
    /// Extra workers that the pool needs for a while, because tasks that have to move find no
    /// place.
    pub extra: u32,
    /// The workers that can be used.
    pub workers: Vec<WorkerLoad>,
    /// The owner has seen short jobs arrive, so an idle period is meaningful.
    #[serde(default)]
    pub begun: bool,
    /// Workers whose hosts refuse connections. The platform's list of hosts shows whether they are
    /// dead, which ends the wait for runs there.
    #[serde(default)]
    pub deserted: Vec<WorkerId>,
    /// When the newest known incarnations of `deserted` started; earlier releases did not send it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub starts: BTreeMap<WorkerId, Millis>,
    /// The owner is new and does not know yet where tasks run.
    pub unsettled: bool,
}

impl PoolLoad {
    /// Returns the incarnations at whose addresses nothing listens.
    pub fn deserted_incarnations(&self) -> impl Iterator<Item = Incarnation> {
        let incarnation = |worker: &WorkerId| {
            Incarnation::new(worker.clone()).with_start(self.starts.get(worker).copied())
        };
        self.deserted.iter().map(incarnation)
    }
}

/// Recent arrival times of jobs, by queue.
#[derive(Debug, Clone, Default)]
pub(super) struct QueueArrivals {
    queues: BTreeMap<RouteName, VecDeque<Tick>>,
}

impl QueueArrivals {
    /// Records the arrival of a job.
    pub(super) fn record(&mut self, queue: &RouteName, at: Tick) {
        self.queues.entry(queue.clone()).or_default().push_back(at);
    }

    /// Returns whether any job has arrived.
    fn has_arrivals(&self) -> bool {
        !self.queues.is_empty()
    }

    /// Returns the work expected to arrive per millisecond when a host requested now takes work.
    /// Each job counts with the mean size of its queue, so that one large job is no burst.
    fn forecast(&mut self, now: Tick, mean: impl Fn(&RouteName) -> f64) -> u64 {
        let sum: f64 = self
            .queues
            .iter_mut()
            .map(|(queue, arrived)| expected_jobs(arrived, now) * mean(queue))
            .sum();
        (sum / RATE_WINDOW.0 as f64) as u64
    }
}

/// Returns the number of jobs expected in one window when a host requested now takes work: as many
/// as in the latest window, extrapolated if the window before it had fewer.
fn expected_jobs(arrived: &mut VecDeque<Tick>, now: Tick) -> f64 {
    while arrived.front().is_some_and(|at| now.since(*at) > Millis(2 * RATE_WINDOW.0)) {
        arrived.pop_front();
    }
    let latest = arrived.iter().filter(|at| now.since(**at) <= RATE_WINDOW).count() as f64;
    let before = arrived.len() as f64 - latest;
    let rise = (latest - before).max(0.0);
    let ahead = TREND_HORIZON_MS as f64 / RATE_WINDOW.0 as f64;
    (latest + rise * ahead).min(MAX_TREND_FACTOR * latest)
}

/// Takes a task's cores from its customer's headroom, and returns whether there were enough.
fn take_headroom(headrooms: &mut BTreeMap<CustomerName, u64>, job: &Job, cores: u64) -> bool {
    let Some(headroom) = job.customer.as_ref().and_then(|customer| headrooms.get_mut(customer))
    else {
        return true;
    };
    let enough = *headroom >= cores;
    if enough {
        *headroom -= cores;
    }
    enough
}

impl Pool {
    /// Returns the pool's capacity and demand.
    pub fn load(&mut self, now: Tick) -> PoolLoad {
        let mut lasting = 0;
        let mut running = 0;
        let mut waiting = 0;
        let mut late = 0;
        let mut least = 0;
        let mut headrooms = self.headrooms();
        for job in self.jobs.values().filter(|job| job.ending.is_none()) {
            let class = self.estimator.rank(job, now).class;
            for (id, state) in &job.steps {
                let step = job.step(*id);
                let cores = step.charge().cores;
                if step.long_running {
                    lasting = cores.saturating_mul(u64::from(step.count)).saturating_add(lasting);
                    if step.spread > 0 {
                        least = least.max(step.count.div_ceil(step.spread));
                    }
                    continue;
                }
                let time = self.estimator.predict(&job.queue.name, step).0;
                // Requested amounts are unbounded, so sums saturate.
                let work = cores.saturating_mul(time);
                for task in state.tasks.iter().filter(|task| !task.done) {
                    if !task.runs.is_empty() {
                        running = cores.saturating_add(running);
                    } else if job.is_ready(*id) && take_headroom(&mut headrooms, job, cores) {
                        match class {
                            Class::Missed => {}
                            // Work beyond its customer's weight requests hosts as late work does:
                            // after what others are owed.
                            _ if job.over_share => late = work.saturating_add(late),
                            Class::Late | Class::Expiring => late = work.saturating_add(late),
                            Class::LongRunning | Class::InTime => {
                                waiting = work.saturating_add(waiting)
                            }
                        }
                    }
                }
            }
        }
        let timely = running.saturating_add(waiting / BACKLOG_TARGET_MS);
        let whole = running.saturating_add(waiting.saturating_add(late) / BACKLOG_TARGET_MS);
        let rate = self.queue_arrivals.forecast(now, |queue| self.estimator.mean_work(queue));
        PoolLoad {
            need: whole.max(rate).saturating_add(lasting),
            timely: timely.max(rate).saturating_add(lasting),
            lasting,
            least,
            extra: u32::from(self.surge_until > now),
            workers: self.worker_loads(now),
            begun: self.queue_arrivals.has_arrivals(),
            deserted: self.deserted_workers().map(|worker| worker.info.id.clone()).collect(),
            starts: self
                .deserted_workers()
                .filter_map(|worker| Some((worker.info.id.clone(), worker.newest_start()?)))
                .collect(),
            unsettled: self.is_recovering() || !self.workers_listed || !self.pending.is_empty(),
        }
    }

    fn worker_loads(&self, now: Tick) -> Vec<WorkerLoad> {
        let usable = self.workers.values().filter(|worker| {
            worker.listed
                && worker.answered
                && !worker.silent
                && worker.failure_history.suspended_until <= now
                && !worker.expects_late_calls(now)
        });
        usable
            .map(|worker| WorkerLoad {
                worker: worker.info.id.clone(),
                cores: worker.info.capacity.cores,
                used: worker.used.cores,
                pinned: worker.runs.keys().any(|task| self.is_long_running(*task)),
                drained: worker.drained,
            })
            .collect()
    }

    fn deserted_workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|worker| worker.port_closed)
    }

    /// Returns whether a task is long-running and has a run that is not being stopped.
    pub(super) fn is_long_running(&self, task: crate::task::TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| {
            job.plan.steps[task.step as usize].long_running
                && job.steps[&task.step_id()].tasks[task.index as usize]
                    .runs
                    .iter()
                    .any(|run| run.phase != Phase::Stopping)
        })
    }
}
