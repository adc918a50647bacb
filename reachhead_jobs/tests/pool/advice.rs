//! Tests of calls to the service that approves placements: a service that decides one call after the other, in virtual time.

use std::{collections::VecDeque, sync::Arc};

use reachhead_jobs::{
    advice_pace::{AdvicePacer, CallId, CallOutcome, CallTerms},
    clock::Tick,
    model::{AdvicePolicy, Queue, Step},
    pool::Action,
    ports::{Approval, RunEnd},
    record::JobRecord,
    task::StepId,
};
use reachhead_property::check;
use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, Revision},
};

use crate::fixture::{Fixture, info, pool_name, queue, record, step, task, worker};

const POLICY: AdvicePolicy =
    AdvicePolicy { decision: Millis(100), per_worker: Millis(5), validity: Millis(20_000) };

/// Interval between two rounds.
const ROUND: u64 = 10;

/// Interval between two reports of each worker.
const REPORT_PERIOD: Millis = Millis(500);

/// A call that waits at the service.
struct Call {
    id: CallId,
    step: StepId,
    workers: Vec<WorkerId>,
    sent: Tick,
    terms: CallTerms,
}

/// A pool, and the service that approves its placements.
struct Site {
    fixture: Fixture,
    pacer: AdvicePacer,
    calls: VecDeque<Call>,
    /// When the service has decided the first of the calls.
    free_at: Tick,
    /// How much slower than its terms the service is.
    slowness: u64,
    /// All calls: the step, and the number of workers named.
    asked: Vec<(StepId, usize)>,
    max_unanswered: usize,
    started: usize,
}

impl Site {
    fn new(workers: u32) -> Self {
        let infos = (0..workers).map(|number| info(&format!("w{number:03}"), 4)).collect();
        Self {
            fixture: Fixture::ready(infos),
            pacer: AdvicePacer::new(),
            calls: VecDeque::new(),
            free_at: Tick(0),
            slowness: 1,
            asked: Vec::new(),
            max_unanswered: 0,
            started: 0,
        }
    }

    fn submit(&mut self, id: u64, steps: Vec<Step>, policy: AdvicePolicy) {
        self.submit_to((*queue()).clone(), id, steps, policy);
    }

    fn submit_to(&mut self, queue: Queue, id: u64, steps: Vec<Step>, policy: AdvicePolicy) {
        let now = self.fixture.now;
        let queue = Arc::new(Queue { advice: Some(policy), ..queue });
        let job = JobRecord { queue, ..record(steps, now.0) };
        let wall = Millis(now.0);
        self.fixture.pool.submit(JobId(id), &job, Revision(50 + id), now, wall);
    }

    /// Answers the call whose turn is over.
    fn decide(&mut self, is_approved: impl Fn(StepId, &WorkerId) -> bool) {
        let now = self.fixture.now;
        if self.free_at > now {
            return;
        }
        if let Some(Call { id, step, workers, sent, terms }) = self.calls.pop_front() {
            let is_late = now.since(sent) > terms.wait_limit();
            let outcome = if is_late { CallOutcome::Lost } else { CallOutcome::Answered };
            self.pacer.end(id, outcome, now);
            let approved = workers.into_iter().filter(|worker| is_approved(step, worker));
            let approval = |worker| Approval { worker, ticket: "t".to_owned() };
            let approvals = (!is_late).then(|| approved.map(approval).collect());
            self.fixture.pool.advised(step, approvals, sent, now);
            self.start_next();
        }
    }

    fn start_next(&mut self) {
        if let Some(next) = self.calls.front() {
            self.free_at = self.fixture.now + Millis(next.terms.cost.0 * self.slowness);
        }
    }

    /// Lets the time pass; started tasks end at once.
    fn run(&mut self, millis: u64, is_approved: impl Fn(StepId, &WorkerId) -> bool) {
        let begun = self.fixture.now;
        let mut reported = begun;
        while self.fixture.now < begun + Millis(millis) {
            self.fixture.now = self.fixture.now + Millis(ROUND);
            self.decide(&is_approved);
            self.round();
            if self.fixture.now.since(reported) >= REPORT_PERIOD {
                for info in self.fixture.infos.clone() {
                    self.fixture.report(&info.id);
                }
                self.fixture.flush();
                reported = self.fixture.now;
            }
        }
    }

    fn round(&mut self) {
        let now = self.fixture.now;
        self.pacer.check_overdue(now);
        self.fixture.pool.verify(now);
        let budget = self.pacer.budget(&pool_name(), now);
        self.fixture.pool.set_advice_budget(budget);
        for action in self.fixture.poll() {
            match action {
                Action::Start(target, order) => {
                    self.started += 1;
                    let run = order.run.0;
                    self.fixture.accept(&target.id, &order);
                    self.fixture.end(&target.id, order.task, run, RunEnd::Done);
                }
                Action::Advise(step, workers, terms) => {
                    self.asked.push((step, workers.len()));
                    let id = self.pacer.begin(&pool_name(), terms, now);
                    self.calls.push_back(Call { id, step, workers, sent: now, terms });
                    if self.calls.len() == 1 {
                        self.start_next();
                    }
                }
                _ => {}
            }
        }
        let waits = self.fixture.pool.advice_summary(now).steps > 0;
        self.pacer.record_turn(&pool_name(), waits, now);
        self.max_unanswered = self.max_unanswered.max(self.calls.len());
    }
}

/// Guards against calls that fill the service's queue and are given up before their turn: from then on no step was approved.
#[test]
fn a_burst_of_steps_is_approved_as_fast_as_the_service_decides() {
    let mut site = Site::new(8);
    for number in 1..=84 {
        site.submit(number, vec![step(2)], POLICY);
    }
    site.run(84 * 160, |_, _| true);
    assert_eq!(site.started, 2 * 84);
    assert!(site.max_unanswered <= 2, "{} calls were under way", site.max_unanswered);
    assert_eq!(site.asked.len(), 84, "each step is asked about once");
}

/// Guards against a step that waits for good while steps before it in the order of placement arrive faster than the service decides.
#[test]
fn a_step_of_low_priority_is_approved_although_others_keep_coming() {
    let mut site = Site::new(8);
    for number in 2..=10 {
        site.submit(number, vec![step(1)], POLICY);
    }
    site.submit_to(Queue { priority: 1, ..(*queue()).clone() }, 1, vec![step(1)], POLICY);
    for number in 11..=90 {
        site.submit(number, vec![step(1)], POLICY);
        site.run(100, |_, _| true);
    }
    let asked: Vec<u64> = site.asked.iter().map(|(step, _)| step.job.0).collect();
    assert!(asked.contains(&1), "asked about {asked:?}");
}

/// Guards against steps for which nothing is approved and that keep the service from all others.
#[test]
fn steps_that_are_never_approved_do_not_keep_others_waiting() {
    let mut site = Site::new(30);
    for number in 1..=41 {
        site.submit(number, vec![step(1)], POLICY);
    }
    let last = task(41, 0, 0).step_id();
    site.run(2 * 41 * 250, |step, _| step == last);
    assert_eq!(site.started, 1);
}

#[test]
fn a_call_names_few_workers_until_some_were_rejected() {
    let mut site = Site::new(130);
    site.submit(1, vec![step(2)], POLICY);
    site.run(20_000, |_, _| false);
    let named: Vec<usize> = site.asked.iter().map(|(_, named)| *named).collect();
    assert!(named[0] == 20 && named[1] > 20 && named.len() <= 6, "{named:?}");
    assert_eq!(named.iter().sum::<usize>(), 130, "each worker is asked about once: {named:?}");
}

#[test]
fn a_step_of_a_cancelled_job_leaves_the_queue() {
    let mut site = Site::new(8);
    for number in 1..=6 {
        site.submit(number, vec![step(1)], POLICY);
    }
    site.run(20, |_, _| true);
    for number in 3..=5 {
        site.fixture.pool.cancel(JobId(number));
    }
    site.run(2000, |_, _| true);
    let asked: Vec<u64> = site.asked.iter().map(|(step, _)| step.job.0).collect();
    assert_eq!(asked, [1, 2, 6]);
}

/// A ticket that expires while no worker has room is asked for again once one has, and not before.
#[test]
fn an_expired_ticket_is_asked_for_again_when_a_worker_has_room() {
    let policy = AdvicePolicy { validity: Millis(2000), ..POLICY };
    let mut site = Site::new(1);
    site.fixture.submit(1, vec![Step { long_running: true, ..step(4) }]);
    for (id, order) in site.fixture.starts() {
        site.fixture.accept(&id, &order);
        site.fixture.set_running(&id, order.task, order.run.0, 100);
    }
    site.submit(2, vec![step(1)], policy);
    site.run(10_000, |_, _| true);
    assert_eq!((site.started, site.asked.len()), (0, 1));
    site.fixture.pool.cancel(JobId(1));
    for index in 0..4 {
        let worker = worker("w000");
        let stopped = RunEnd::Stopped;
        let run = site
            .fixture
            .pool
            .jobs()
            .get(&JobId(1))
            .map(|job| job.steps[&task(1, 0, 0).step_id()].tasks[index as usize].last_run.0);
        site.fixture.end(&worker, task(1, 0, index), run.unwrap_or_default(), stopped);
    }
    site.run(1000, |_, _| true);
    assert_eq!((site.started, site.asked.len()), (1, 2));
}

/// Guards against a queue at the service that grows without bound while it is slower than it says, and against pauses that go on
/// once it answers again.
#[test]
fn few_calls_wait_at_a_slow_service_and_all_steps_are_approved() {
    fn holds(slowness: u8, steps: u8) -> bool {
        let mut site = Site::new(8);
        site.slowness = 1 + u64::from(slowness % 40);
        let steps = 1 + u64::from(steps % 30);
        for number in 1..=steps {
            site.submit(number, vec![step(1)], POLICY);
        }
        site.run(10_000, |_, _| true);
        site.slowness = 1;
        site.run(12_000 + steps * 200, |_, _| true);
        site.max_unanswered <= 8 && site.started == steps as usize
    }
    check("slow advisor", 15, holds as fn(u8, u8) -> bool);
}

#[test]
fn pools_of_a_process_take_turns() {
    let mut pacer = AdvicePacer::new();
    let pools = ["a".parse().unwrap(), "b".parse().unwrap()];
    let terms = CallTerms { cost: Millis(100), validity: Millis(20_000) };
    let mut served = Vec::new();
    let mut last = None;
    for round in 0..40 {
        let now = Tick(round * 100);
        if let Some(call) = last.take() {
            pacer.end(call, CallOutcome::Answered, now);
        }
        // The first pool has its round first each time.
        for pool in &pools {
            if last.is_none() && pacer.budget(pool, now).allows(terms) {
                served.push(pool.clone());
                last = Some(pacer.begin(pool, terms, now));
            }
            pacer.record_turn(pool, true, now);
        }
    }
    let of_first = served.iter().filter(|pool| **pool == pools[0]).count();
    assert!(served.len() >= 39 && of_first.abs_diff(20) <= 1, "{of_first} of {}", served.len());
}

/// A service that fails is called less and less often, and at once again after an answer.
#[test]
fn calls_pause_while_the_service_fails() {
    let mut pacer = AdvicePacer::new();
    let terms = CallTerms { cost: Millis(10), validity: Millis(3000) };
    let (mut calls, mut last) = (0, None);
    for now in (0..60_000).step_by(10).map(Tick) {
        if let Some(call) = last.take() {
            pacer.end(call, CallOutcome::Busy, now);
        }
        if pacer.budget(&pool_name(), now).allows(terms) {
            calls += 1;
            last = Some(pacer.begin(&pool_name(), terms, now));
        }
    }
    assert!((10..=20).contains(&calls), "{calls} calls in a minute");
    let now = Tick(70_000);
    let call = pacer.begin(&pool_name(), terms, now);
    assert!(pacer.budget(&pool_name(), now).allows(terms));
    pacer.end(call, CallOutcome::Failed, now);
    assert!(pacer.budget(&pool_name(), now).is_paused());
    pacer.end(call, CallOutcome::Answered, now);
    assert!(pacer.budget(&pool_name(), now).allows(terms));
}

/// A call that would have to wait until half of its tickets' validity has passed is sent later.
#[test]
fn a_call_is_not_sent_ahead_of_its_turn_if_its_tickets_are_short_lived() {
    let mut pacer = AdvicePacer::new();
    let terms = CallTerms { cost: Millis(600), validity: Millis(2000) };
    pacer.begin(&pool_name(), terms, Tick(0));
    assert!(!pacer.budget(&pool_name(), Tick(0)).allows(terms));
    assert!(pacer.budget(&pool_name(), Tick(200)).allows(terms));
}

#[test]
fn the_largest_times_of_a_policy_are_paced() {
    let mut pacer = AdvicePacer::new();
    let terms = CallTerms { cost: Millis(u64::MAX), validity: Millis(u64::MAX) };
    let call = pacer.begin(&pool_name(), terms, Tick(1000));
    assert!(!pacer.budget(&pool_name(), Tick(1000)).allows(terms));
    pacer.check_overdue(Tick(100_000));
    pacer.end(call, CallOutcome::Answered, Tick(100_000));
    assert!(pacer.budget(&pool_name(), Tick(100_000)).allows(terms));
}
