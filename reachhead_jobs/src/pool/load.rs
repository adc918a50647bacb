//! How much room a pool needs now, for whoever moves hosts between pools.

use std::collections::{BTreeMap, VecDeque};

use reachhead_types::{
    id::{CustomerName, RouteName, WorkerId},
    size::Millis,
};
use serde::{Deserialize, Serialize};

use crate::{
    clock::Tick,
    job::{Job, Phase},
    order::Class,
    pool::Pool,
};

/// Time over which the work that arrives is averaged: long enough for a few jobs of a queue of large
/// ones, short enough to notice a burst within its first second.
const RATE_WINDOW: Millis = Millis(800);

/// How far ahead a rate that rises is taken to go on rising: until a host that is asked for now takes work, 1.5 s for
/// its move and up to 0.7 s for the order, its registration and its first answer. With less, the callers of a rise wait for
/// hosts; with more, hosts are fetched for a rise that has ended.
const TREND_TIME: u64 = 2200;

/// The most that a rising rate is taken to become, in multiples of what it is.
const TREND_MOST: f64 = 4.0;

/// Time in which the work that waits should have begun.
const BACKLOG_TIME: u64 = 1000;

/// A worker as whoever moves hosts sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLoad {
    /// The worker.
    pub worker: WorkerId,
    /// Thousandths of a core.
    pub cores: u64,
    /// Thousandths of a core that are in use.
    pub used: u64,
    /// Something that must be at work all the time is there.
    pub pinned: bool,
    /// Its zone is drained, so it is no room.
    #[serde(default)]
    pub drained: bool,
}

/// How much room a pool has and needs, in thousandths of a core.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolLoad {
    /// For work that runs, waits and arrives.
    pub need: u64,
    /// The part of `need` that is not for late work which waits.
    #[serde(default)]
    pub timely: u64,
    /// For tasks that run on.
    pub lasting: u64,
    /// Workers that it needs at least, however large they are: tasks that run on keep apart.
    pub least: u32,
    /// Workers that it needs beyond that for a while, since tasks that have to leave find no place.
    pub extra: u32,
    /// The workers that can be used.
    pub workers: Vec<WorkerLoad>,
    /// The owner has seen short jobs arrive, so a lull tells something.
    #[serde(default)]
    pub begun: bool,
    /// Workers whose hosts answer that nobody listens there. The platform's list of hosts tells whether their lives are
    /// over, which ends the wait for what may run on them.
    #[serde(default)]
    pub deserted: Vec<WorkerId>,
    /// The owner is new and does not know yet what runs where.
    pub unsettled: bool,
}

/// When the jobs of each queue arrived lately.
#[derive(Debug, Clone, Default)]
pub(super) struct Arrivals {
    queues: BTreeMap<RouteName, VecDeque<Tick>>,
}

impl Arrivals {
    /// Notes a job.
    pub(super) fn note(&mut self, queue: &RouteName, at: Tick) {
        self.queues.entry(queue.clone()).or_default().push_back(at);
    }

    /// Tells whether any job has arrived.
    fn begun(&self) -> bool {
        !self.queues.is_empty()
    }

    /// Returns the work that will arrive in a millisecond when a host that is asked for now has come. Jobs are counted
    /// and taken for as large as those of their queue are on average: one large job is no burst.
    fn forecast(&mut self, now: Tick, mean: impl Fn(&RouteName) -> f64) -> u64 {
        let sum: f64 = self
            .queues
            .iter_mut()
            .map(|(queue, arrived)| expected_jobs(arrived, now) * mean(queue))
            .sum();
        (sum / RATE_WINDOW.0 as f64) as u64
    }
}

/// Returns how many jobs will arrive in a window when a host that is asked for now has come: as many as in the
/// latest, and more if they were fewer just before.
fn expected_jobs(arrived: &mut VecDeque<Tick>, now: Tick) -> f64 {
    while arrived.front().is_some_and(|at| now.since(*at) > Millis(2 * RATE_WINDOW.0)) {
        arrived.pop_front();
    }
    let latest = arrived.iter().filter(|at| now.since(**at) <= RATE_WINDOW).count() as f64;
    let before = arrived.len() as f64 - latest;
    let rise = (latest - before).max(0.0);
    let ahead = TREND_TIME as f64 / RATE_WINDOW.0 as f64;
    (latest + rise * ahead).min(TREND_MOST * latest)
}

/// Takes room for a task from what its customer may still start; tells whether there was enough.
fn take_room(rooms: &mut BTreeMap<CustomerName, u64>, job: &Job, cores: u64) -> bool {
    let Some(room) = job.customer.as_ref().and_then(|customer| rooms.get_mut(customer)) else {
        return true;
    };
    let enough = *room >= cores;
    if enough {
        *room -= cores;
    }
    enough
}

impl Pool {
    /// Returns how much room the pool has and needs.
    pub fn load(&mut self, now: Tick) -> PoolLoad {
        let mut lasting = 0;
        let mut running = 0;
        let mut waiting = 0;
        let mut late = 0;
        let mut least = 0;
        let mut rooms = self.headrooms();
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
                // What callers ask for has no bound, so sums stop at the largest number.
                let work = cores.saturating_mul(time);
                for task in state.tasks.iter().filter(|task| !task.done) {
                    if !task.runs.is_empty() {
                        running = cores.saturating_add(running);
                    } else if job.is_ready(*id) && take_room(&mut rooms, job, cores) {
                        match class {
                            Class::Missed => {}
                            // It asks for hosts like late work: after what others are owed.
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
        let timely = running.saturating_add(waiting / BACKLOG_TIME);
        let whole = running.saturating_add(waiting.saturating_add(late) / BACKLOG_TIME);
        let rate = self.arrivals.forecast(now, |queue| self.estimator.mean_work(queue));
        PoolLoad {
            need: whole.max(rate).saturating_add(lasting),
            timely: timely.max(rate).saturating_add(lasting),
            lasting,
            least,
            extra: u32::from(self.surge_until > now),
            workers: self.worker_loads(now),
            begun: self.arrivals.begun(),
            deserted: self.deserted(),
            unsettled: !self.listed || !self.pending.is_empty(),
        }
    }

    fn worker_loads(&self, now: Tick) -> Vec<WorkerLoad> {
        let usable = self.workers.values().filter(|worker| {
            worker.listed
                && worker.answered
                && !worker.silent
                && worker.failure_history.suspended_until <= now
        });
        usable
            .map(|worker| WorkerLoad {
                worker: worker.info.id.clone(),
                cores: worker.info.capacity.cores,
                used: worker.used.cores,
                pinned: worker.runs.keys().any(|task| self.is_lasting(*task)),
                drained: worker.drained,
            })
            .collect()
    }

    fn deserted(&self) -> Vec<WorkerId> {
        let workers = self.workers.values().filter(|worker| worker.port_closed);
        workers.map(|worker| worker.info.id.clone()).collect()
    }

    pub(super) fn is_lasting(&self, task: crate::task::TaskId) -> bool {
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
