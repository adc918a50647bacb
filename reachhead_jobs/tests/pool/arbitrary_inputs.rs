//! Random inputs in any order: a pool's owner must not panic on what workers, callers, the store
//! and operators may send, since its pool would stand still until another process takes over.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use quickcheck::{Arbitrary, Gen};
use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    customer::{Customer, Customers, Quota},
    model::{AdvicePolicy, Plan, Queue, Schedule, Step},
    pool::{Action, DeathEvidence, DrainMode},
    ports::{
        Approval, EndedEntry, Rejection, RunEnd, RunningEntry, WorkerError, WorkerInfo,
        WorkerReport,
    },
    quota::Allotment,
    record::JobRecord,
    task::{StepId, TaskId},
};
use reachhead_plan::amount::Amount;
use reachhead_property::properties;
use reachhead_store::row::{Commit, Conflict};
use reachhead_types::{
    id::{CustomerName, JobId, WorkerId},
    size::{FencingToken, Millis, Revision, RunNumber, Weight},
};

use crate::fixture::{Fixture, info, queue, recovered, step, worker};

/// One input, whose fields are numbers that [`Driver::apply`] interprets.
#[derive(Debug, Clone)]
struct Input {
    kind: u8,
    a: u32,
    b: u32,
    c: u32,
}

impl Arbitrary for Input {
    fn arbitrary(g: &mut Gen) -> Self {
        let (kind, a, b, c) =
            (u8::arbitrary(g), u32::arbitrary(g), u32::arbitrary(g), u32::arbitrary(g));
        Self { kind, a, b, c }
    }
}

/// Returns bits of a number, starting at `shift`, modulo `count`.
fn pick(number: u32, shift: u32, count: u32) -> u32 {
    (number >> shift) % count
}

struct Driver {
    fixture: Fixture,
    actions: Vec<Action>,
    revision: u64,
    round: u64,
}

impl Driver {
    fn new() -> Self {
        let infos = vec![info("w0", 4), info("w1", 2), info("w2", 1)];
        let found = recovered(vec![(4, vec![step(2)])], vec![("w0", None), ("w3", Some(3))]);
        let mut driver = Self {
            fixture: Fixture::new(found, infos),
            actions: Vec::new(),
            revision: 1000,
            round: 0,
        };
        for name in ["w0", "w1", "w2"] {
            driver.fixture.poll();
            driver.fixture.flush();
            driver.fixture.report(&worker(name));
        }
        driver
    }

    fn apply(&mut self, Input { kind, a, b, c }: &Input) {
        let (a, b, c) = (*a, *b, *c);
        let now = self.fixture.now;
        let pool = &mut self.fixture.pool;
        match kind % 20 {
            0 | 1 => {
                let record = job(a, b, now);
                let id = JobId(u64::from(pick(c, 0, 6)));
                pool.submit(id, &record, Revision(u64::from(pick(c, 8, 60))), now, Millis(now.0));
            }
            2 => self.fixture.advance(u64::from(pick(a, 0, 6000))),
            3..=5 => {
                if a % 7 != 0 {
                    pool.verify(now);
                }
                // The time of day may be set back.
                let wall = Millis(now.0.saturating_sub(u64::from(pick(b, 0, 3)) * 2000));
                let actions = pool.poll(now, wall);
                pool.take_notes();
                self.actions.extend(actions);
            }
            6 | 7 => self.answer(a, b),
            8..=10 => self.report(a, b, c),
            11 => {
                let listed: Vec<WorkerInfo> = (0..4)
                    .filter(|index| a & (1 << index) != 0)
                    .map(|index| WorkerInfo {
                        started_at: (b & 1 != 0).then_some(Millis(u64::from(pick(b, 1, 3)))),
                        capacity: Amount::new(u64::from(pick(c, 0, 5)) * 1000, 500, 1),
                        draining: c & 64 != 0,
                        ..info(&format!("w{index}"), 1)
                    })
                    .collect();
                pool.list(listed, now);
            }
            12 => {
                let evidence =
                    [DeathEvidence::Replaced, DeathEvidence::Unhosted, DeathEvidence::OffList]
                        [pick(b, 0, 3) as usize];
                pool.worker_died(&worker_of(a), evidence, now);
            }
            13 => {
                let mode = if b & 1 == 0 { DrainMode::Forced } else { DrainMode::Graceful };
                pool.drain_worker(&worker_of(a), mode, now);
            }
            14 | 15 => self.commit(a, b),
            16 => {
                pool.cancel(JobId(u64::from(pick(a, 0, 6))));
                pool.state(JobId(u64::from(pick(a, 0, 6))));
                pool.waiting(&"q".parse().unwrap());
                pool.load(now);
            }
            17 => self.configure(a, b, c),
            18 => pool.pace_failed(task_of(a), run_of(b)),
            _ => {
                let id = task_of(a).step_id();
                let approval =
                    |index| Approval { worker: worker_of(index), ticket: "t".to_owned() };
                let approvals = (b & 1 != 0).then(|| (0..pick(b, 1, 4)).map(approval).collect());
                pool.advised(id, approvals, now, now);
            }
        }
    }

    fn answer(&mut self, a: u32, b: u32) {
        if self.actions.is_empty() {
            return;
        }
        let index = pick(a, 0, self.actions.len() as u32) as usize;
        // An answer may come twice, since a call may be repeated.
        let action =
            if b & 1 == 0 { self.actions.remove(index) } else { self.actions[index].clone() };
        let now = self.fixture.now;
        let clock = self.fixture.clock();
        let result: Result<WorkerTime, WorkerError> =
            if b & 2 == 0 { Ok(clock) } else { Err(error_of(b >> 2)) };
        match action {
            Action::Start(target, order) => {
                if result.is_ok() {
                    self.fixture.set_running(&target.id, order.task, order.run.0, pick(b, 8, 120));
                }
                self.fixture.pool.started(&target.id, order.task, order.run, result, now);
            }
            Action::Stop(target, task, run) => {
                if result.is_ok() {
                    self.fixture.end(&target.id, task, run.0, RunEnd::Stopped);
                }
                self.fixture.pool.stopped(&target.id, task, run, now, result, now);
            }
            Action::Hold(target, _) if result.is_ok() => self.fixture.report(&target.id),
            Action::Hold(target, _) => {
                self.fixture.pool.held(&target.id, now, Err(error_of(b >> 2)), now);
            }
            Action::FindJobs(jobs) => {
                self.fixture.pool.jobs_found(&jobs, result.is_ok(), self.fixture.now)
            }
            Action::Pace(_, task, run, _) => self.fixture.pool.pace_failed(task, run),
            Action::Advise(step, workers, _) => {
                let approval = |worker| Approval { worker, ticket: "t".to_owned() };
                let approvals = workers.into_iter().map(approval).collect();
                self.fixture.pool.advised(step, Some(approvals), now, now);
            }
            Action::ConfirmLease => {
                self.fixture.pool.lease_read(result.is_ok().then_some(now), now);
            }
            Action::Fenced => {}
        }
    }

    /// Sends a report with runs and ends that may not exist, beside those that do.
    fn report(&mut self, a: u32, b: u32, c: u32) {
        let name = worker_of(a);
        let now = self.fixture.now;
        let mut running = self.fixture.running.get(&name).cloned().unwrap_or_default();
        if b & 1 != 0 {
            running.push(RunningEntry {
                task: task_of(c),
                run: run_of(b),
                checkpoint: (b & 2 != 0).then(|| "c".to_owned()),
                percent: [0, 50, 100, u32::MAX][pick(b, 10, 4) as usize],
                metric: [0, 40, 60, u64::MAX][pick(b, 12, 4) as usize],
            });
        }
        if b & 4 != 0 {
            running.retain(|entry| entry.task.index % 2 == 0);
        }
        let mut ended = self.fixture.ended.get(&name).cloned().unwrap_or_default();
        if b & 8 != 0 {
            let end = [RunEnd::Done, RunEnd::Failed, RunEnd::Lapsed, RunEnd::Broken];
            ended.push(EndedEntry {
                number: [0, 1, 7, u64::MAX][pick(b, 14, 4) as usize],
                task: task_of(c),
                run: run_of(b),
                end: end[pick(b, 16, 4) as usize],
                checkpoint: None,
            });
        }
        let started_at = (b & 16 != 0).then_some(Millis(u64::from(pick(b, 18, 3))));
        let report = WorkerReport { started_at, clock: self.fixture.clock(), running, ended };
        self.fixture.pool.held(&name, now, Ok(report), now);
    }

    fn commit(&mut self, a: u32, b: u32) {
        let due = self.fixture.pool.due();
        if due.is_empty() {
            return;
        }
        let now = self.fixture.now;
        let lane = due[pick(a, 0, due.len() as u32) as usize].lane;
        let Some(batch) = self.fixture.pool.batch(lane, Millis(now.0)) else {
            return;
        };
        self.revision += 1;
        match b % 5 {
            0..=2 => {
                self.fixture.pool.decided(&batch, &Commit::Done(Revision(self.revision)), now);
            }
            3 => self.fixture.pool.rejected(&batch, now),
            _ => {
                let check = &batch.txn.checks[pick(b, 4, batch.txn.checks.len() as u32) as usize];
                let conflicts = vec![Conflict { key: check.key.clone(), row: None }];
                self.fixture.pool.decided(&batch, &Commit::Conflict(conflicts), now);
            }
        }
    }

    fn configure(&mut self, a: u32, b: u32, c: u32) {
        let now = self.fixture.now;
        let pool = &mut self.fixture.pool;
        let mut customers = Customers::new();
        for index in (0..2).filter(|index| a & (1 << index) != 0) {
            let quota = Quota(Amount::new(u64::from(pick(b, 4 * index, 4)) * 1000, 0, 0));
            let weight = Weight(pick(b, 8 + index, 2));
            let customer = Customer { name: customer_of(index), weight, quota };
            customers = customers.with_customer(customer, []);
        }
        pool.configure(&Arc::new(customers));
        self.round += 1;
        let limits = BTreeMap::from([(
            customer_of(pick(c, 0, 2)),
            Amount::new(u64::from(pick(c, 2, 5)) * 1000, 0, 0),
        )]);
        let owner = (c & 1 != 0).then_some(FencingToken(7));
        pool.follow_ledger(FencingToken(u64::from(pick(c, 8, 3))), now);
        pool.allot(&Allotment {
            ledger: FencingToken(u64::from(pick(c, 10, 3))),
            round: self.round,
            owner,
            limits,
            last_report: self.round.saturating_sub(1),
        });
        let zones =
            if c & 128 != 0 { BTreeSet::from(["z".parse().unwrap()]) } else { BTreeSet::new() };
        pool.drain_zones(&zones, now);
    }
}

fn worker_of(number: u32) -> WorkerId {
    worker(&format!("w{}", pick(number, 0, 4)))
}

fn customer_of(index: u32) -> CustomerName {
    format!("c{index}").parse().unwrap()
}

/// Returns a task that mostly exists, in one of a few jobs.
fn task_of(number: u32) -> TaskId {
    let far = number % 11 == 0;
    let job = JobId(u64::from(pick(number, 3, 6)));
    let (occurrence, step) = (pick(number, 6, 3), pick(number, 8, 3));
    let index = if far { u32::MAX } else { pick(number, 10, 4) };
    StepId { job, occurrence, step }.task(index)
}

fn run_of(number: u32) -> RunNumber {
    RunNumber([0, 1, 2, 1_000_001, u64::MAX / 2][pick(number, 5, 5) as usize])
}

fn error_of(number: u32) -> WorkerError {
    let text = || "error".to_owned();
    match number % 10 {
        0 => WorkerError::Unreachable(text()),
        1 => WorkerError::PortClosed(text()),
        2 | 3 => WorkerError::Lost(text()),
        4 => WorkerError::Broken(text()),
        5 => WorkerError::Replaced,
        6 => WorkerError::Rejected(Rejection::Old),
        7 => WorkerError::Rejected(Rejection::Room),
        8 => WorkerError::Rejected(Rejection::Unhealthy),
        _ => WorkerError::Rejected(Rejection::Ticket),
    }
}

fn job(a: u32, b: u32, now: Tick) -> JobRecord {
    let steps = (0..1 + pick(a, 0, 3)).map(|index| {
        let bits = a.rotate_right(5 * index);
        Step {
            count: 1 + pick(bits, 2, 4),
            need: Amount::new(u64::from(pick(bits, 4, 4)) * 700, 100, 0),
            estimate: Millis(u64::from(pick(bits, 6, 3)) * 1500),
            after: if index > 0 && bits & 256 != 0 { vec![index - 1] } else { Vec::new() },
            gang: pick(bits, 9, 4) == 0,
            spread: pick(bits, 11, 3),
            speculative: bits & (1 << 13) != 0,
            long_running: pick(bits, 14, 4) == 0,
            target: Millis(if bits & (1 << 16) != 0 { 50 } else { 0 }),
            best_effort: pick(bits, 17, 3) == 0,
            max_unavailable: pick(bits, 19, 2),
            same_rack: bits & (1 << 20) != 0,
            checkpoints: true,
            ..Step::default()
        }
    });
    let schedule = (b & 1 != 0).then(|| Schedule {
        start: Millis(now.0 + u64::from(pick(b, 1, 3)) * 1000),
        interval: Millis(u64::from(pick(b, 3, 3)) * 1500),
        count: pick(b, 5, 4),
    });
    let advice = AdvicePolicy {
        decision: Millis(1),
        per_worker: Millis(1),
        validity: Millis(u64::from(pick(b, 8, 2)) * 2000),
    };
    let base = queue();
    let queue = Arc::new(Queue {
        name: format!("q{}", pick(b, 10, 3)).parse().unwrap(),
        priority: pick(b, 12, 3),
        attempts: pick(b, 14, 3),
        stretch: [0.0, 1.5, 50.0][pick(b, 16, 3) as usize],
        advice: (pick(b, 18, 4) == 0).then_some(advice),
        ..(*base).clone()
    });
    let customer =
        [None, Some(customer_of(0)), Some(customer_of(1))][pick(b, 20, 3) as usize].clone();
    let plan = Arc::new(Plan { payload: "x".into(), steps: steps.collect(), schedule });
    JobRecord { queue, plan, accepted: Millis(now.0), customer, stored_by: None }
}

properties! {
    fn no_sequence_of_inputs_makes_the_owner_panic(inputs: Vec<Input>) -> bool {
        let mut driver = Driver::new();
        // Several passes reach states that need more inputs than one value has.
        for input in inputs.iter().cycle().take(4 * inputs.len()) {
            driver.apply(input);
        }
        true
    }
}
