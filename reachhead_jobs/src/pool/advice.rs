//! Cache of external placement approvals: which workers may run the steps of a queue whose
//! placement is decided by another service.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::Tick,
    pool::{Action, Pool},
    ports::Approval,
    task::StepId,
};

/// Maximum number of workers in one approval call, by the platform's contract.
const MAX_WORKERS_PER_CALL: usize = 100;

/// Part of a ticket's validity that is left unused, so that it is still valid when the order
/// arrives.
const TICKET_MARGIN: Millis = Millis(300);

/// Pause after a call for a step, successful or not, before the next one.
const CALL_PAUSE: Millis = Millis(200);

/// Approvals of one step.
#[derive(Debug, Clone, Default)]
struct Advice {
    in_flight: bool,
    retry_at: Tick,
    expires_at: Tick,
    tickets: BTreeMap<WorkerId, String>,
}

/// Approvals of all steps.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceCache {
    steps: BTreeMap<StepId, Advice>,
}

impl AdviceCache {
    /// Drops expired approvals.
    pub(super) fn expire(&mut self, now: Tick) {
        self.steps.retain(|_, advice| {
            advice.in_flight || advice.expires_at > now || advice.retry_at > now
        });
    }

    /// Drops a ticket that its worker rejected.
    pub(super) fn refuse(&mut self, step: StepId, worker: &WorkerId) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.tickets.remove(worker);
        }
    }

    /// Returns the worker's valid ticket for the step.
    pub(super) fn ticket(&self, step: StepId, worker: &WorkerId, now: Tick) -> Option<&String> {
        let advice = self.steps.get(&step).filter(|advice| advice.expires_at > now)?;
        advice.tickets.get(worker)
    }

    /// Returns the workers approved for the step, or `None` without a valid answer.
    pub(super) fn approved(&self, step: StepId, now: Tick) -> Option<BTreeSet<WorkerId>> {
        let advice = self.steps.get(&step).filter(|advice| advice.expires_at > now)?;
        Some(advice.tickets.keys().cloned().collect())
    }
}

impl Pool {
    /// Requests approvals for a step, unless a call is in flight or was just made.
    pub(super) fn request_advice(&mut self, step: StepId, now: Tick) {
        let advice = self.advice.steps.entry(step).or_default();
        if advice.in_flight || advice.retry_at > now {
            return;
        }
        let workers: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| worker.accepts(now))
            .take(MAX_WORKERS_PER_CALL)
            .map(|worker| worker.info.id.clone())
            .collect();
        if workers.is_empty() {
            return;
        }
        advice.in_flight = true;
        self.actions.push(Action::Advise(step, workers));
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
        advice.in_flight = false;
        match approvals {
            Some(approvals) => {
                advice.expires_at = sent + Millis(validity.0.saturating_sub(TICKET_MARGIN.0));
                advice.retry_at = now + CALL_PAUSE;
                advice.tickets = approvals
                    .into_iter()
                    .map(|approval| (approval.worker, approval.ticket))
                    .collect();
            }
            None => advice.retry_at = now + CALL_PAUSE,
        }
    }
}
