//! Workers that restart under their ids without being noticed, and that often can't be reached soon after.
//!
//! A long poll under way gets no answer, and calls that are sent while the worker is down wait until it is
//! back. So its owner learns of the restart only from a poll that begins after that, and starts tasks there
//! by the clock of the earlier incarnation until then. No call is carried out later than the return.

use std::collections::BTreeMap;

use reachhead_jobs::{
    clock::Tick,
    incarnation::Incarnation,
    model::Plan,
    pool::Action,
    ports::{HoldOrder, WorkerError, WorkerInfo},
    task::StepId,
};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};

use super::{
    Event, NETWORK_DELAY, Simulation, WorkerIncarnation,
    outages::{CALL_TIMEOUT, LongPoll, failure},
    plans::{lasting_plan, queue},
};

/// Number of workers at the begin of a schedule.
const WORKERS: usize = 5;

/// Timeout of a long poll beyond the time that it waits, in milliseconds.
const POLL_TIMEOUT: u64 = 700;

/// Reading of the clock of a worker that has just started, in milliseconds. It is above zero so that the
/// offset of the simulated clock is never negative.
const FRESH_CLOCK: u64 = 10_000_000;

/// Difference between the readings of the clocks of the first workers, in milliseconds.
const CLOCK_STEP: u64 = 100_000;

/// Times for which a worker is down, in milliseconds.
const DOWN_TIMES: [u64; 4] = [200, 500, 900, 1500];

/// Times between the return of a worker and the begin of its cut, in milliseconds. The first one leaves
/// time for an order and its answer.
const CUT_DELAYS: [u64; 4] = [60, 300, 800, 1500];

/// Times for which a worker is cut off, in milliseconds.
const CUT_TIMES: [u64; 3] = [3000, 5500, 9000];

/// Time between the return of a worker and the late arrival of its registration, in milliseconds.
const LATE_REGISTRATION: u64 = 1000;

/// Time between the end of a cut and the arrival of a registration that could not be sent before, in
/// milliseconds.
const REGISTRATION_DELAY: u64 = 400;

/// Time between the return of a worker and a report of a list of hosts that was read before, in milliseconds.
const OLD_LIST_DELAY: u64 = 500;

/// Number and duration of the tasks that start soon after a return. They outlast the longest lease.
const TASKS: u32 = 4;
const TASK_TIME: Millis = Millis(7000);

/// Number of these tasks that may be open before more are submitted, so that the pool always has room.
const MAX_OPEN_TASKS: usize = 4;

/// Time between the return of a worker and the submission of these tasks, in milliseconds.
const SUBMISSION_DELAY: u64 = 20;

/// Times from the begin of a cut to a change of the owner, in milliseconds.
const CHANGE_DELAYS: [u64; 2] = [20, 700];

/// How the owner of the pool changes about the time of a cut.
#[derive(Clone, Copy)]
enum OwnerChange {
    None,
    Killed,
    /// Its process is frozen, and continues later.
    Frozen,
    /// It is cut off from the store, and continues to give orders.
    CutOff,
    Released,
}

const CHANGES: [OwnerChange; 6] = [
    OwnerChange::None,
    OwnerChange::None,
    OwnerChange::Killed,
    OwnerChange::Frozen,
    OwnerChange::CutOff,
    OwnerChange::Released,
];

/// When the registration of the new incarnation arrives.
#[derive(Clone, Copy)]
enum Registration {
    AtOnce,
    Late,
    AfterCut,
}

const REGISTRATIONS: [Registration; 3] =
    [Registration::AtOnce, Registration::Late, Registration::AfterCut];

/// A call that waits for a worker which is down.
struct WaitingCall {
    owner: usize,
    action: Action,
    sent: Tick,
    answered: bool,
}

/// A worker that is down.
struct DownWorker {
    back_at: u64,
    calls: Vec<WaitingCall>,
}

/// Workers that restart without being noticed.
#[derive(Default)]
pub(super) struct UnnoticedRestarts {
    down: BTreeMap<WorkerId, DownWorker>,
    /// Registrations of earlier incarnations that are still listed.
    registrations: BTreeMap<WorkerId, WorkerInfo>,
    /// Workers that no owner can reach, and the end of each cut.
    cut: BTreeMap<WorkerId, u64>,
    /// A successor may know of no restart: a registration arrives after its takeover, and so does the
    /// report of a list of hosts that was read before it.
    uninformed: bool,
}

/// Chooses one of the values by the lowest digit of a mixed-radix number, and removes that digit.
fn draw<T: Copy>(number: &mut u64, values: &[T]) -> T {
    let count = values.len() as u64;
    let value = values[(*number % count) as usize];
    *number /= count;
    value
}

const fn reading(now: u64) -> u64 {
    now - now / 50
}

impl Simulation {
    /// Lets workers restart under their ids without being noticed, on a larger pool with long polls.
    pub fn with_unnoticed_restarts(mut self) -> Self {
        self.unnoticed = Some(UnnoticedRestarts::default());
        self = self.with_restarts();
        while self.workers.len() < WORKERS {
            self.add_worker();
        }
        let fresh = self.clock_offset();
        for (number, incarnation) in (1..).zip(self.workers.values_mut()) {
            incarnation.clock_offset = fresh + number * CLOCK_STEP;
            incarnation.born = Some(Millis(number));
        }
        // The owner so far has other timeouts, and has seen other clocks.
        self.newest().alive = false;
        self.take_over();
        self.run(400);
        self
    }

    /// Lets successors know of some restarts later than others, or not before they reach the worker.
    pub fn with_uninformed_successors(mut self) -> Self {
        if let Some(unnoticed) = &mut self.unnoticed {
            unnoticed.uninformed = true;
        }
        self
    }

    /// Returns the offset of the clock of a worker that starts now.
    pub(super) const fn clock_offset(&self) -> u64 {
        if self.unnoticed.is_some() {
            FRESH_CLOCK - reading(self.now)
        } else {
            self.incarnations * 10_000
        }
    }

    /// Lets a worker restart without being noticed, while tasks start; often it is cut off soon after its
    /// return, and the owner changes.
    pub(super) fn restart_unnoticed(&mut self, choice: u8, span: u64) {
        let mut number = u64::from(choice) * 256 + span / 20;
        let worker = draw(&mut number, &[0, 1, 2, 3, 4]);
        let change = draw(&mut number, &CHANGES);
        let cut_delay = draw(&mut number, &CUT_DELAYS);
        let registration = draw(&mut number, &REGISTRATIONS);
        let down_time = draw(&mut number, &DOWN_TIMES);
        let (is_cut, cut_time) = draw(
            &mut number,
            &[(true, CUT_TIMES[0]), (true, CUT_TIMES[1]), (true, CUT_TIMES[2]), (false, 0)],
        );
        let is_reported = draw(&mut number, &[false, true]);
        let change_delay = draw(&mut number, &CHANGE_DELAYS);
        let Some(id) = self.pick(worker) else { return };
        let registration_delay = match registration {
            Registration::AtOnce => 0,
            Registration::Late => LATE_REGISTRATION,
            Registration::AfterCut => cut_delay + cut_time + REGISTRATION_DELAY,
        };
        let started_at = self.workers[&id].born;
        self.go_down(&id, down_time);
        self.push(down_time, Event::Return(id.clone(), registration_delay));
        if is_cut {
            self.push(down_time + cut_delay, Event::CutOff(id.clone(), cut_time));
        }
        if is_reported {
            let ended = Incarnation::new(id).with_start(started_at);
            let reader = self.owners.len();
            self.push(down_time + OLD_LIST_DELAY, Event::OldList(ended, reader));
        }
        self.run(down_time + SUBMISSION_DELAY);
        if self.open_lasting_tasks() <= MAX_OPEN_TASKS {
            self.submit_plan(choice, queue(), lasting_plan(TASKS, TASK_TIME));
        }
        self.run(cut_delay - SUBMISSION_DELAY + change_delay);
        self.change_owner(change, cut_time);
    }

    fn open_lasting_tasks(&self) -> usize {
        let is_open = |id: &JobId| !self.cancelled.contains(id);
        let is_lasting = |plan: &Plan| plan.steps[0].estimate == TASK_TIME;
        let jobs = self.jobs.iter().filter(|(id, plan)| is_open(id) && is_lasting(plan));
        let tasks = jobs.flat_map(|(id, _)| {
            let step = StepId { job: *id, occurrence: 0, step: 0 };
            (0..TASKS).map(move |index| step.task(index))
        });
        tasks.filter(|task| !self.tasks.get(task).is_some_and(|observed| observed.done)).count()
    }

    fn change_owner(&mut self, change: OwnerChange, time: u64) {
        let until = self.now + time;
        let has_ended = match change {
            OwnerChange::None => return,
            OwnerChange::Killed => self.kill_owner(),
            OwnerChange::Released => self.release_pool(),
            OwnerChange::Frozen => {
                self.newest().paused_until = until;
                false
            }
            OwnerChange::CutOff => {
                self.newest().store_cut_until = until;
                false
            }
        };
        self.run(SUBMISSION_DELAY);
        self.take_over_from(has_ended);
    }

    /// Ends a worker whose address answers nothing until it is back.
    fn go_down(&mut self, id: &WorkerId, time: u64) {
        let info = self.infos().into_iter().find(|info| info.id == *id);
        let back_at = self.now + time;
        if let (Some(unnoticed), Some(info)) = (&mut self.unnoticed, info) {
            unnoticed.down.insert(id.clone(), DownWorker { back_at, calls: Vec::new() });
            unnoticed.registrations.insert(id.clone(), info);
        }
        self.remove_worker(id);
    }

    /// Starts a worker that is down, which carries out the calls that have waited for it.
    pub(super) fn return_unnoticed(&mut self, id: WorkerId, registration_delay: u64) {
        let Some(unnoticed) = &mut self.unnoticed else { return };
        let Some(DownWorker { calls, .. }) = unnoticed.down.remove(&id) else { return };
        self.incarnations += 1;
        let born = Millis(self.now + self.incarnations);
        let incarnation =
            WorkerIncarnation::new(self.clock_offset(), self.next_capacity()).with_start_time(born);
        self.workers.insert(id.clone(), incarnation);
        for WaitingCall { owner, action, sent, answered } in calls {
            // The calls of a process end with it.
            if self.owners[owner].alive {
                self.push(0, Event::Order { owner, action, sent, answered });
            }
        }
        self.push(registration_delay, Event::Register(id, born));
        self.disturb();
    }

    /// Lists the incarnation of a worker that started at `born`, unless it has ended.
    pub(super) fn register(&mut self, id: &WorkerId, born: Millis) {
        let is_there = self.workers.get(id).is_some_and(|worker| worker.born == Some(born));
        if let Some(unnoticed) = self.unnoticed.as_mut().filter(|_| is_there) {
            unnoticed.registrations.remove(id);
        }
        self.list();
    }

    /// Lets the registrations arrive that a new owner has to know.
    pub(super) fn inform_successor(&mut self) {
        let Some(unnoticed) = self.unnoticed.as_mut().filter(|unnoticed| !unnoticed.uninformed)
        else {
            return;
        };
        let UnnoticedRestarts { down, registrations, .. } = unnoticed;
        registrations.retain(|id, _| down.contains_key(id));
    }

    /// Reports a list of hosts that was read when the pool had had this number of owners.
    pub(super) fn report_old_list(&mut self, ended: &Incarnation, reader: usize) {
        let is_uninformed = self.unnoticed.as_ref().is_some_and(|unnoticed| unnoticed.uninformed);
        if is_uninformed || self.owners.len() == reader {
            self.report_dead(ended);
        }
    }

    pub(super) fn cut_off(&mut self, id: WorkerId, time: u64) {
        let until = self.now + time;
        if let Some(unnoticed) = &mut self.unnoticed {
            unnoticed.cut.insert(id, until);
        }
        self.disturb();
    }

    /// Replaces the registrations that have not arrived by those of the earlier incarnations.
    pub(super) fn with_earlier_registrations(&self, infos: Vec<WorkerInfo>) -> Vec<WorkerInfo> {
        let Some(unnoticed) = &self.unnoticed else { return infos };
        let down = unnoticed.down.keys().filter_map(|id| unnoticed.registrations.get(id)).cloned();
        let earlier =
            |info: WorkerInfo| unnoticed.registrations.get(&info.id).cloned().unwrap_or(info);
        infos.into_iter().map(earlier).chain(down).collect()
    }

    fn is_cut_off(&self, id: &WorkerId) -> bool {
        let cut = self.unnoticed.as_ref().and_then(|unnoticed| unnoticed.cut.get(id));
        cut.is_some_and(|until| *until > self.now)
    }

    /// Returns the timeout of a call, in milliseconds.
    pub(super) fn call_timeout(&self, action: &Action) -> u64 {
        match action {
            Action::Hold(_, order) if self.unnoticed.is_some() => order.wait.0 + POLL_TIMEOUT,
            _ => self.poll_wait(action) + CALL_TIMEOUT,
        }
    }

    /// Fails a call to a worker that no owner reaches, or lets it wait for one that is down. Returns whether
    /// it is one of these.
    pub(super) fn hold_up_call(
        &mut self,
        owner: usize,
        action: &Action,
        sent: Tick,
        answered: bool,
    ) -> bool {
        let (Action::Hold(target, _) | Action::Start(target, _) | Action::Stop(target, ..)) =
            action
        else {
            return false;
        };
        let own_cut = self.owners[owner].workers_cut.get(&target.id);
        if own_cut.is_some_and(|until| *until > self.now) {
            return false;
        }
        if self.is_cut_off(&target.id) {
            let error = WorkerError::Unreachable("no connection".to_owned());
            if let Some(answer) = failure(action, sent, error).filter(|_| answered) {
                self.push(CALL_TIMEOUT, Event::Answer { owner, answer });
            }
            return true;
        }
        let (now, deadline) = (self.now, sent.0 + self.call_timeout(action));
        let down = self.unnoticed.as_mut().and_then(|unnoticed| unnoticed.down.get_mut(&target.id));
        let Some(worker) = down else { return false };
        let in_time = worker.back_at + NETWORK_DELAY < deadline;
        let call =
            WaitingCall { owner, action: action.clone(), sent, answered: answered && in_time };
        worker.calls.push(call);
        if answered && !in_time {
            let error = WorkerError::Lost("the worker is down".to_owned());
            if let Some(answer) = failure(action, sent, error) {
                self.push(deadline.saturating_sub(now), Event::Answer { owner, answer });
            }
        }
        true
    }

    /// Fails a long poll whose incarnation has ended without closing the connection, that can't be answered,
    /// or whose timeout has passed. Returns whether it is one of these.
    pub(super) fn fail_unnoticed_poll(&mut self, poll: &LongPoll) -> bool {
        let Some(unnoticed) = &self.unnoticed else { return false };
        let id = &poll.target.id;
        let is_down = unnoticed.down.contains_key(id);
        let other = self.workers.get(id).is_some_and(|worker| worker.born != poll.born);
        let action = Action::Hold(poll.target.clone(), poll.order);
        let deadline = poll.sent.0 + self.call_timeout(&action);
        if !is_down && !other && !self.is_cut_off(id) && self.now < deadline {
            return false;
        }
        let error = WorkerError::Lost("no answer".to_owned());
        if let Some(answer) = failure(&action, poll.sent, error).filter(|_| poll.answered) {
            let left = deadline.saturating_sub(self.now);
            self.push(left, Event::Answer { owner: poll.owner, answer });
        }
        true
    }

    /// Returns what a long poll still does after its worker has received it. In schedules with unnoticed
    /// restarts it acknowledges ends and prolongs leases only once, as on a real worker: the ends of a
    /// new incarnation would be acknowledged by a poll that came before them.
    pub(super) const fn rest_of_poll(&self, order: HoldOrder) -> HoldOrder {
        if self.unnoticed.is_some() {
            HoldOrder { deadline: None, acknowledged: 0, ..order }
        } else {
            order
        }
    }
}
