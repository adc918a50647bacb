//! Which workers may run the steps of a queue, where that is decided elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::Tick,
    pool::{Action, Pool},
    ports::Approval,
    task::StepId,
};

/// Workers in one call at most, by the platform's contract.
const CALL_WORKERS: usize = 100;

/// Part of a ticket's life that is left unused, so that it still holds when the order arrives.
const TICKET_MARGIN: Millis = Millis(300);

/// Pause after a call that failed.
const FAILED_PAUSE: Millis = Millis(200);

/// What is known of one step.
#[derive(Debug, Clone, Default)]
struct Advice {
    asked: bool,
    retry: Tick,
    until: Tick,
    tickets: BTreeMap<WorkerId, String>,
}

/// What is known of all steps.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceBook {
    steps: BTreeMap<StepId, Advice>,
}

impl AdviceBook {
    /// Forgets tickets that have lapsed.
    pub(super) fn expire(&mut self, now: Tick) {
        self.steps.retain(|_, advice| advice.asked || advice.until > now || advice.retry > now);
    }

    /// A worker did not take its ticket.
    pub(super) fn refuse(&mut self, step: StepId, worker: &WorkerId) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.tickets.remove(worker);
        }
    }

    /// Returns the worker's ticket for the step.
    pub(super) fn ticket(&self, step: StepId, worker: &WorkerId, now: Tick) -> Option<&String> {
        let advice = self.steps.get(&step).filter(|advice| advice.until > now)?;
        advice.tickets.get(worker)
    }

    /// Returns the workers that may run the step, if that is known.
    pub(super) fn approved(&self, step: StepId, now: Tick) -> Option<BTreeSet<WorkerId>> {
        let advice = self.steps.get(&step).filter(|advice| advice.until > now)?;
        Some(advice.tickets.keys().cloned().collect())
    }
}

impl Pool {
    /// Asks for the workers that may run a step, unless that is under way.
    pub(super) fn ask_advice(&mut self, step: StepId, now: Tick) {
        let advice = self.advice.steps.entry(step).or_default();
        if advice.asked || advice.retry > now {
            return;
        }
        let workers: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| worker.accepts(now))
            .take(CALL_WORKERS)
            .map(|worker| worker.info.id.clone())
            .collect();
        if workers.is_empty() {
            return;
        }
        advice.asked = true;
        self.actions.push(Action::Advise(step, workers));
    }

    /// Takes in which workers may run a step; `None` if the call failed. The tickets' life counts
    /// from `sent`, when the call was made.
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
        advice.asked = false;
        match approvals {
            Some(approvals) => {
                advice.until = sent + Millis(validity.0.saturating_sub(TICKET_MARGIN.0));
                advice.retry = now + FAILED_PAUSE;
                advice.tickets = approvals
                    .into_iter()
                    .map(|approval| (approval.worker, approval.ticket))
                    .collect();
            }
            None => advice.retry = now + FAILED_PAUSE,
        }
    }
}
