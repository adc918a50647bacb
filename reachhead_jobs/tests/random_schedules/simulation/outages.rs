//! Outages: workers that crash in groups, answer no call for about a second, and whose addresses
//! answer for new workers then.
//!
//! Unlike a worker that [`Simulation::crash`] removes, such a worker stays on the platform's list
//! until its successor joins, so the first call after the outage finds that it is gone.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_jobs::{
    clock::Tick,
    pool::{Action, PoolTimeouts},
    ports::{HoldOrder, WorkerError, WorkerInfo, WorkerTarget},
    task::TaskId,
};
use reachhead_types::{id::WorkerId, size::Millis};

use super::{Answer, Event, STEP, Simulation, timeouts};

/// Number of workers at the begin of a schedule with outages: enough that a group leaves some.
const WORKERS: u8 = 8;

/// Shortest time for which a worker answers nothing, in milliseconds.
const MIN_DARK_TIME: u64 = 300;

/// Longest time for which a worker answers nothing, in milliseconds.
const MAX_DARK_TIME: u64 = 1600;

/// Delay until owners learn from the platform's list that another worker has joined at an address,
/// in milliseconds. Calls find it earlier.
const LIST_DELAY: u64 = 400;

/// Timeout of a call to a worker, in milliseconds, beyond the time that a long poll waits.
pub(super) const CALL_TIMEOUT: u64 = 200;

/// Number of racks. The workers of one go dark together.
const RACKS: u64 = 4;

/// Lease duration and wait of the long polls. At least one poll fits into a lease, as in production.
const LEASE: Millis = Millis(3000);
const POLL_WAIT: Millis = Millis(1500);

/// A worker that has gone dark.
struct DarkWorker {
    /// Its address answers for another worker from then on.
    until: u64,
    /// Its registration, until the platform's list has the other worker.
    info: Option<WorkerInfo>,
}

/// Workers that have gone dark.
#[derive(Default)]
pub(super) struct Outages {
    workers: BTreeMap<WorkerId, DarkWorker>,
    /// End of the last outage.
    ended_at: u64,
}

impl Outages {
    /// Returns the registrations that are still listed.
    pub(super) fn infos(&self) -> impl Iterator<Item = WorkerInfo> {
        self.workers.values().filter_map(|worker| worker.info.clone())
    }

    /// Returns whether no group of workers was dark since then.
    pub(super) fn is_over_since(&self, then: u64) -> bool {
        self.ended_at <= then
    }
}

/// Returns the number in a worker's id.
fn number(id: &WorkerId) -> u64 {
    id.as_str().trim_start_matches('w').parse().unwrap_or_default()
}

impl Simulation {
    /// Lets workers go dark in groups, on a larger pool with long polls.
    pub fn with_outages(mut self) -> Self {
        self.outages = Some(Outages::default());
        while self.workers.len() < usize::from(WORKERS) {
            self.add_worker();
        }
        // The owner so far has other timeouts.
        self.newest().alive = false;
        self.take_over();
        self.run(400);
        self
    }

    /// Returns the timeouts of owners.
    pub(super) fn timeouts(&self) -> PoolTimeouts {
        match &self.outages {
            _ if self.slow.is_some() => self.slow_timeouts(),
            _ if self.unnoticed.is_some() => {
                PoolTimeouts { hold: LEASE, wait: POLL_WAIT, ..timeouts() }
            }
            Some(_) => PoolTimeouts { hold: LEASE, wait: POLL_WAIT, ..timeouts() },
            None => timeouts(),
        }
    }

    /// Lets a share of all workers, one rack, or the racks in turn go dark.
    pub(super) fn begin_outage(&mut self, choice: u8, span: u64) {
        let choice = u64::from(choice);
        let dark_time = MIN_DARK_TIME + span % (MAX_DARK_TIME - MIN_DARK_TIME);
        match choice % 4 {
            0 | 1 => {
                let share = 3 + choice / 4 % 8;
                let is_hit = |id: &&WorkerId| number(id) * 7 % 10 < share;
                let ids = self.workers.keys().filter(is_hit).cloned().collect();
                self.darken(ids, dark_time);
            }
            2 => self.darken_rack(choice / 4, dark_time),
            _ => {
                for rack in 0..RACKS {
                    // The next rack goes dark before the one before it is back, or later.
                    let delay = rack * (dark_time / 2 + choice * 4);
                    self.push(delay, Event::DarkenRack(rack, dark_time));
                }
            }
        }
    }

    pub(super) fn darken_rack(&mut self, rack: u64, dark_time: u64) {
        let is_hit = |id: &&WorkerId| number(id) % RACKS == rack % RACKS;
        let ids = self.workers.keys().filter(is_hit).cloned().collect();
        self.darken(ids, dark_time);
    }

    /// Lets these workers crash and answer nothing until others start at their addresses.
    fn darken(&mut self, ids: BTreeSet<WorkerId>, dark_time: u64) {
        for id in ids {
            self.darken_worker(&id, dark_time);
        }
        let ended_at = self.now + dark_time;
        if let Some(outages) = &mut self.outages {
            outages.ended_at = outages.ended_at.max(ended_at);
        }
    }

    /// Lets one worker crash and answer nothing for this time.
    pub(super) fn darken_worker(&mut self, id: &WorkerId, dark_time: u64) {
        let info = self.infos().into_iter().find(|info| info.id == *id);
        let until = self.now + dark_time;
        if let Some(outages) = &mut self.outages {
            outages.workers.insert(id.clone(), DarkWorker { until, info });
        }
        self.remove_worker(id);
        self.push(dark_time + LIST_DELAY, Event::Replace(id.clone()));
    }

    /// Lists the worker that has started at the address of one that went dark.
    pub(super) fn replace(&mut self, id: &WorkerId) {
        if let Some(worker) = self.outages.as_mut().and_then(|outages| outages.workers.get_mut(id))
        {
            worker.info = None;
        }
        self.disturb();
        self.add_worker();
    }

    /// Returns the result of a call to a worker that has gone dark, and the delay of that result. The
    /// call waits for at most `wait` milliseconds.
    pub(super) fn dark_result(&self, id: &WorkerId, wait: u64) -> Option<(WorkerError, u64)> {
        let silent = || WorkerError::Lost("the worker is dark".to_owned());
        if self.is_silent(id) {
            return Some((silent(), wait + CALL_TIMEOUT));
        }
        let worker = self.outages.as_ref()?.workers.get(id)?;
        Some(if worker.until <= self.now {
            (WorkerError::Replaced, 0)
        } else {
            (silent(), wait + CALL_TIMEOUT)
        })
    }

    /// Returns how long a call waits at its worker, in milliseconds.
    pub(super) fn poll_wait(&self, action: &Action) -> u64 {
        match action {
            Action::Hold(_, order) if self.has_long_polls() => order.wait.0,
            _ => 0,
        }
    }

    const fn has_long_polls(&self) -> bool {
        self.outages.is_some() || self.slow.is_some() || self.unnoticed.is_some()
    }

    /// Sends the failure of a call to a worker that has gone dark, and returns whether it has.
    pub(super) fn fail_dark_call(
        &mut self,
        owner: usize,
        action: &Action,
        sent: Tick,
        answered: bool,
    ) -> bool {
        let id = match action {
            Action::Hold(target, _) | Action::Start(target, _) | Action::Stop(target, ..) => {
                &target.id
            }
            _ => return false,
        };
        let Some((error, delay)) = self.dark_result(id, self.poll_wait(action)) else {
            return false;
        };
        // The loss of other answers is reported already.
        if let Some(answer) = failure(action, sent, error).filter(|_| answered) {
            self.push(delay, Event::Answer { owner, answer });
        }
        true
    }

    /// Continues a long poll until a run has ended or its wait is over.
    pub(super) fn continue_poll(&mut self, poll: LongPoll) {
        if self.fail_unnoticed_poll(&poll) {
            return;
        }
        let LongPoll { owner, target, order, born, sent, answered, until } = poll;
        let now = self.now;
        let is_silent = self.is_silent(&target.id);
        let result = match self.workers.get_mut(&target.id).filter(|_| !is_silent) {
            Some(incarnation) => incarnation.hold(target.token, &order, now),
            None => {
                // The connection ends with the process, but not if the host has gone dark.
                let (error, delay) = match self.dark_result(&target.id, 0) {
                    Some(_) => {
                        let delay = until.saturating_sub(now) + CALL_TIMEOUT;
                        (WorkerError::Lost("the worker is dark".to_owned()), delay)
                    }
                    None => (WorkerError::Broken("the worker has ended".to_owned()), 0),
                };
                if answered {
                    let answer = Answer::Held(target.id, sent, Err(error));
                    self.push(delay, Event::Answer { owner, answer });
                }
                return;
            }
        };
        let has_result = !matches!(&result, Ok(report) if report.ended.is_empty());
        if !has_result && now < until {
            let order = self.rest_of_poll(order);
            let poll = LongPoll { owner, target, order, born, sent, answered, until };
            self.push(STEP, Event::LongPoll(poll));
        } else if answered {
            let mut result = result;
            if let Ok(report) = &mut result {
                self.hide_progress(report);
            }
            let answer = Answer::Held(target.id, sent, result);
            self.push(super::NETWORK_DELAY, Event::Answer { owner, answer });
        }
    }

    /// Returns whether the worker that this culprit crashes goes dark before it confirms the start.
    pub(super) fn is_silent_culprit(&self, task: TaskId) -> bool {
        self.outages.is_some() && task.job.0 % 2 == 1
    }
}

/// A long poll that a worker has received.
pub(super) struct LongPoll {
    pub owner: usize,
    pub target: WorkerTarget,
    pub order: HoldOrder,
    /// Start of the incarnation that has received it.
    pub born: Option<Millis>,
    pub sent: Tick,
    /// The answer gets back.
    pub answered: bool,
    pub until: u64,
}

/// Returns the answer that a call to a worker has failed.
pub(super) fn failure(action: &Action, sent: Tick, error: WorkerError) -> Option<Answer> {
    Some(match action {
        Action::Hold(target, _) => Answer::Held(target.id.clone(), sent, Err(error)),
        Action::Start(target, order) => {
            Answer::Started(target.id.clone(), order.task, order.run, Err(error))
        }
        Action::Stop(target, task, run) => {
            Answer::Stopped(target.id.clone(), *task, *run, sent, Err(error))
        }
        _ => return None,
    })
}
