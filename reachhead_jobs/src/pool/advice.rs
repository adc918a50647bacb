//! Cache of external placement approvals: which workers may run the steps of a queue whose
//! placement is decided by another service.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::Tick,
    place::PlacementRequest,
    pool::{Action, Pool},
    ports::Approval,
    task::StepId,
    worker::Worker,
};

/// Maximum number of workers in one approval call, by the platform's contract.
const MAX_WORKERS_PER_CALL: usize = 100;

/// Part of a ticket's validity that is left unused, so that it is still valid when the order
/// arrives.
const TICKET_MARGIN: Millis = Millis(300);

/// Pause after a call for a step, successful or not, before the next one.
const CALL_PAUSE: Millis = Millis(200);

/// How long a step's verdicts are remembered after the last call, so that the next one proposes
/// other workers.
const MEMORY: Millis = Millis(10_000);

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
}

impl Advice {
    /// Returns the verdict on a worker that is still valid.
    fn verdict(&self, worker: &WorkerId, now: Tick) -> Option<&Verdict> {
        self.verdicts.get(worker).filter(|verdict| verdict.expires_at > now)
    }
}

/// Approvals of all steps.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceCache {
    steps: BTreeMap<StepId, Advice>,
}

impl AdviceCache {
    /// Drops the approvals of steps that have not requested any for a while.
    pub(super) fn expire(&mut self, now: Tick) {
        self.steps.retain(|_, advice| {
            let is_recent = |verdict: &Verdict| {
                verdict.expires_at > now || now.since(verdict.asked_at) < MEMORY
            };
            advice.verdicts.retain(|_, verdict| is_recent(verdict));
            !advice.proposed.is_empty() || advice.retry_at > now || !advice.verdicts.is_empty()
        });
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
    /// Requests approvals for a step, unless a call is in flight or was just made.
    ///
    /// A call names a limited number of workers, and its duration depends on that number. Those
    /// without a valid verdict that have room come first, then those that were asked about least
    /// recently.
    pub(super) fn request_advice(&mut self, id: StepId, now: Tick) {
        let step = self.jobs[&id.job].step(id);
        let wanted = PlacementRequest::new(id, step);
        let advice = self.advice.steps.entry(id).or_default();
        if !advice.proposed.is_empty() || advice.retry_at > now {
            return;
        }
        let order = |worker: &Worker| {
            let asked_at = advice.verdicts.get(&worker.info.id).map(|verdict| verdict.asked_at);
            let decided = advice.verdict(&worker.info.id, now).is_some();
            (decided, !wanted.fits(worker, now), asked_at, worker.info.id.clone())
        };
        let allowed = self.workers.values().filter(|worker| wanted.is_allowed(worker, now));
        let mut workers: Vec<_> = allowed.map(order).collect();
        workers.sort();
        workers.truncate(MAX_WORKERS_PER_CALL);
        let workers: Vec<WorkerId> = workers.into_iter().map(|(.., worker)| worker).collect();
        if workers.is_empty() {
            return;
        }
        advice.proposed.clone_from(&workers);
        self.actions.push(Action::Advise(id, workers));
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
        advice.retry_at = now + CALL_PAUSE;
        let Some(approvals) = approvals else {
            return;
        };
        let expires_at = sent + Millis(validity.0.saturating_sub(TICKET_MARGIN.0));
        let mut tickets: BTreeMap<WorkerId, String> =
            approvals.into_iter().map(|approval| (approval.worker, approval.ticket)).collect();
        for worker in proposed.into_iter().filter(|worker| !restarted.contains(worker)) {
            let ticket = tickets.remove(&worker);
            advice.verdicts.insert(worker, Verdict { asked_at: now, expires_at, ticket });
        }
    }
}
