//! Approvals of placements by another service: which workers may run the steps of a queue, and which
//! step is asked about next.
//!
//! Every second call goes to the first step in the order of placement, and the others to the step that
//! has waited longest, so that none waits for good: see
//! [docs/design/advice-queue.md](../../../docs/design/advice-queue.md).

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};
use serde::Serialize;

use crate::{
    advice_pace::CallTerms,
    clock::Tick,
    model::AdvicePolicy,
    place::PlacementRequest,
    pool::{Action, Pool},
    ports::Approval,
    task::StepId,
    worker::Worker,
};

/// Maximum number of workers in one approval call, by the platform's contract.
const MAX_WORKERS_PER_CALL: usize = 100;

/// Workers named for each task of a step that waits: some may be rejected, or full when the answer
/// arrives.
const WORKERS_PER_TASK: usize = 2;

/// Part of a ticket's validity that is left unused, so that it is still valid when the order
/// arrives.
const TICKET_MARGIN: Millis = Millis(300);

/// Pause of a step after a call that failed, and after no worker was found to ask about.
const RETRY_PAUSE: Millis = Millis(200);

/// How long a rejection is believed. The workers that may run a step don't change.
const REJECTION_MEMORY: Millis = Millis(60_000);

/// Maximum number of steps without a worker to ask about that a round looks at.
const MAX_IDLE_STEPS: usize = 24;

/// The service's last answer about a worker.
#[derive(Debug, Clone)]
struct Verdict {
    asked_at: Tick,
    expires_at: Tick,
    /// The ticket, if the worker is approved.
    ticket: Option<String>,
}

/// Approvals of one step.
#[derive(Debug, Clone, Default)]
struct Advice {
    /// The workers proposed in the call that is in flight; empty if none is.
    proposed: Vec<WorkerId>,
    /// Those of them that have restarted since that call, which may be answered for the old incarnation.
    restarted: BTreeSet<WorkerId>,
    retry_at: Tick,
    verdicts: BTreeMap<WorkerId, Verdict>,
    /// Calls in a row that approved no worker.
    rejected_calls: u32,
    /// Since when the step waits for a call.
    waiting_since: Option<Tick>,
}

impl Advice {
    /// Returns the verdict on a worker that is still valid.
    fn verdict(&self, worker: &WorkerId, now: Tick) -> Option<&Verdict> {
        self.verdicts.get(worker).filter(|verdict| verdict.expires_at > now)
    }

    /// Returns how many workers to name for `tasks` tasks. Naming one costs little beside the decision
    /// until all together cost as much, and a call without an approval costs another one.
    fn call_size(&self, policy: AdvicePolicy, tasks: usize) -> usize {
        let cheap = policy.decision.0.checked_div(policy.per_worker.0).unwrap_or(u64::MAX);
        let cheap = usize::try_from(cheap).unwrap_or(usize::MAX);
        let needed = tasks.saturating_mul(WORKERS_PER_TASK).max(cheap).max(1);
        let factor = 1_usize.checked_shl(self.rejected_calls).unwrap_or(usize::MAX);
        needed.saturating_mul(factor).min(MAX_WORKERS_PER_CALL)
    }
}

/// The steps that wait for a call, as of the last round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct AdviceSummary {
    /// Number of steps.
    pub steps: usize,
    /// Longest time that one of them has waited.
    #[serde(rename = "oldest_ms")]
    pub oldest: Millis,
}

/// Approvals of all steps.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceCache {
    steps: BTreeMap<StepId, Advice>,
    /// Steps that wait for a call, in the order of placement.
    waiting: Vec<StepId>,
    /// Calls sent so far.
    calls: u64,
}

impl AdviceCache {
    /// Drops the approvals of steps whose jobs are over.
    pub(super) fn expire(&mut self, is_open: impl Fn(JobId) -> bool) {
        self.steps.retain(|id, _| is_open(id.job));
        self.waiting.retain(|id| is_open(id.job));
    }

    /// Clears the steps that wait, which the next round determines again.
    pub(super) fn begin_round(&mut self) {
        self.waiting.clear();
    }

    fn waiting_since(&self, step: &StepId) -> Option<Tick> {
        self.steps.get(step)?.waiting_since
    }

    /// Returns the index of the step to ask about next.
    fn next_step(&self) -> Option<usize> {
        if self.calls % 2 == 0 {
            return (!self.waiting.is_empty()).then_some(0);
        }
        let ages = self.waiting.iter().map(|id| self.waiting_since(id)).enumerate();
        ages.min_by_key(|(_, since)| *since).map(|(index, _)| index)
    }

    /// Returns the part of a log line that tells for how long a step has waited for a call and how many
    /// are before it in the order of placement; empty if it does not wait for one.
    pub(super) fn describe(&self, step: StepId, now: Tick) -> String {
        let index = self.waiting.iter().position(|id| *id == step);
        match index.zip(self.waiting_since(&step)) {
            Some((index, since)) => format!(" advice={index} for={}ms", now.since(since)),
            None => String::new(),
        }
    }

    /// Drops a ticket that its worker rejected.
    pub(super) fn refuse(&mut self, step: StepId, worker: &WorkerId) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.verdicts.remove(worker);
        }
    }

    /// Drops the verdicts on a worker that has restarted: a ticket is valid for one incarnation.
    pub(super) fn drop_worker(&mut self, worker: &WorkerId) {
        for advice in self.steps.values_mut() {
            advice.verdicts.remove(worker);
            if advice.proposed.contains(worker) {
                advice.restarted.insert(worker.clone());
            }
        }
    }

    /// Returns the worker's valid ticket for the step.
    pub(super) fn ticket(&self, step: StepId, worker: &WorkerId, now: Tick) -> Option<&String> {
        self.steps.get(&step)?.verdict(worker, now)?.ticket.as_ref()
    }

    /// Returns the workers approved for the step.
    pub(super) fn approved(&self, step: StepId, now: Tick) -> BTreeSet<WorkerId> {
        let verdicts = self.steps.get(&step).map(|advice| &advice.verdicts).into_iter().flatten();
        let valid =
            verdicts.filter(|(_, verdict)| verdict.expires_at > now && verdict.ticket.is_some());
        valid.map(|(worker, _)| worker.clone()).collect()
    }

    /// Returns whether a valid verdict on the worker is known.
    fn is_decided(&self, step: StepId, worker: &WorkerId, now: Tick) -> bool {
        self.steps.get(&step).is_some_and(|advice| advice.verdict(worker, now).is_some())
    }
}

impl Pool {
    /// Returns the steps that wait for a call to the service.
    pub fn advice_summary(&self, now: Tick) -> AdviceSummary {
        let since = self.advice.waiting.iter().filter_map(|id| self.advice.waiting_since(id));
        AdviceSummary {
            steps: self.advice.waiting.len(),
            oldest: since.min().map_or(Millis(0), |since| now.since(since)),
        }
    }

    /// Requests approvals for a step, unless a call is in flight or nothing could be asked a moment ago.
    pub(super) fn request_advice(&mut self, id: StepId, now: Tick) {
        let advice = self.advice.steps.entry(id).or_default();
        if advice.proposed.is_empty() && advice.retry_at <= now {
            advice.waiting_since.get_or_insert(now);
            self.advice.waiting.push(id);
        }
    }

    /// Requests approvals for a step whose approved workers have no place for it, if others have.
    pub(super) fn extend_advice(&mut self, id: StepId, now: Tick) {
        let wanted = PlacementRequest::new(id, self.jobs[&id.job].step(id));
        let has_undecided = self.workers.values().any(|worker| {
            wanted.fits(worker, now) && !self.advice.is_decided(id, &worker.info.id, now)
        });
        if has_undecided {
            self.request_advice(id, now);
        }
    }

    /// Sends the calls that may be sent now.
    pub(super) fn send_advice_calls(&mut self, now: Tick) {
        let mut idle = 0;
        while self.advice_budget.has_room() && idle <= MAX_IDLE_STEPS {
            let Some(index) = self.advice.next_step() else {
                return;
            };
            let id = self.advice.waiting[index];
            let policy = self.jobs.get(&id.job).and_then(|job| job.queue.advice);
            let workers = policy.map(|policy| (policy, self.workers_to_ask(id, policy, now)));
            let Some(advice) = self.advice.steps.get_mut(&id) else {
                self.advice.waiting.remove(index);
                continue;
            };
            let Some((policy, workers)) = workers.filter(|(_, workers)| !workers.is_empty()) else {
                idle += 1;
                advice.retry_at = now + RETRY_PAUSE;
                self.advice.waiting.remove(index);
                continue;
            };
            let terms = policy.terms(workers.len());
            if !self.advice_budget.allows(terms) {
                return;
            }
            self.advice_budget.take(terms);
            self.advice.calls += 1;
            advice.waiting_since = None;
            advice.proposed.clone_from(&workers);
            self.advice.waiting.remove(index);
            self.actions.push(Action::Advise(id, workers, terms));
        }
    }

    /// Returns the workers to ask about for a step: those without a valid verdict, first those that have
    /// room, and of these the ones that were approved before. A step whose tickets have expired asks again
    /// only if one of them has room.
    fn workers_to_ask(&self, id: StepId, policy: AdvicePolicy, now: Tick) -> Vec<WorkerId> {
        let tasks = self.startable_tasks(id, now).len();
        let wanted = PlacementRequest::new(id, self.jobs[&id.job].step(id));
        let Some(advice) = self.advice.steps.get(&id) else {
            return Vec::new();
        };
        let order = |worker: &Worker| {
            let last = advice.verdicts.get(&worker.info.id);
            let was_approved = last.is_some_and(|verdict| verdict.ticket.is_some());
            let asked_at = last.map(|verdict| verdict.asked_at);
            (!wanted.fits(worker, now), !was_approved, asked_at, worker.info.id.clone())
        };
        let undecided = self.workers.values().filter(|worker| {
            wanted.is_allowed(worker, now) && advice.verdict(&worker.info.id, now).is_none()
        });
        let mut workers: Vec<_> = undecided.map(order).collect();
        workers.sort();
        let is_full = workers.first().is_some_and(|(is_full, ..)| *is_full);
        if tasks == 0 || is_full && !advice.verdicts.is_empty() {
            return Vec::new();
        }
        workers.truncate(advice.call_size(policy, tasks));
        workers.into_iter().map(|(.., worker)| worker).collect()
    }

    /// Applies the result of an approval call; `None` if the call failed. Validity counts from
    /// `sent`, the time of the call.
    pub fn advised(
        &mut self,
        step: StepId,
        approvals: Option<Vec<Approval>>,
        sent: Tick,
        now: Tick,
    ) {
        let validity = self
            .jobs
            .get(&step.job)
            .and_then(|job| job.queue.advice)
            .map_or(Millis(0), |advice| advice.validity);
        let Some(advice) = self.advice.steps.get_mut(&step) else {
            return;
        };
        let proposed = std::mem::take(&mut advice.proposed);
        let restarted = std::mem::take(&mut advice.restarted);
        let Some(approvals) = approvals else {
            advice.retry_at = now + RETRY_PAUSE;
            return;
        };
        advice.rejected_calls =
            if approvals.is_empty() { advice.rejected_calls.saturating_add(1) } else { 0 };
        let expires_at = sent + Millis(validity.0.saturating_sub(TICKET_MARGIN.0));
        let mut tickets: BTreeMap<WorkerId, String> =
            approvals.into_iter().map(|approval| (approval.worker, approval.ticket)).collect();
        for worker in proposed.into_iter().filter(|worker| !restarted.contains(worker)) {
            let ticket = tickets.remove(&worker);
            let expires_at = if ticket.is_some() { expires_at } else { now + REJECTION_MEMORY };
            advice.verdicts.insert(worker, Verdict { asked_at: now, expires_at, ticket });
        }
    }
}

impl AdvicePolicy {
    /// Returns the terms of a call that names this many workers.
    fn terms(&self, workers: usize) -> CallTerms {
        let named = self.per_worker.0.saturating_mul(workers as u64);
        let cost = Millis(self.decision.0.saturating_add(named));
        CallTerms { cost, validity: Millis(self.validity.0.saturating_sub(TICKET_MARGIN.0)) }
    }
}
