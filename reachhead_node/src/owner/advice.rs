//! Calls of an owner for approvals of placements, paced over all pools of the process.

use std::sync::Arc;

use reachhead_jobs::{
    advice_pace::{CallOutcome, CallTerms},
    clock::Tick,
    task::StepId,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::StoreError;
use reachhead_types::id::WorkerId;

use super::{Input, Owner};

fn outcome_of<T>(result: &Result<T, StoreError>) -> CallOutcome {
    match result {
        Ok(_) => CallOutcome::Answered,
        Err(StoreError::Busy(_)) => CallOutcome::Busy,
        Err(StoreError::Lost(_)) => CallOutcome::Lost,
        Err(StoreError::NotDone(_) | StoreError::Refused(_)) => CallOutcome::Failed,
    }
}

impl Owner {
    /// Sets the calls that the next round may send.
    pub(super) fn update_advice_budget(&mut self, now: Tick) {
        let mut pacer = self.node.advice_pacer();
        if pacer.check_overdue(now) {
            emit(Event::AdviceDelayed, format_args!("why=overdue {}", pacer.status(now)));
        }
        let budget = pacer.budget(self.pool.name(), now);
        self.pool.set_advice_budget(budget);
    }

    /// Publishes the steps that wait for a call, and takes the pool's turn among those of the process.
    pub(super) fn record_advice(&self, now: Tick) {
        let summary = self.pool.advice_summary(now);
        self.node.advice_pacer().record_turn(self.pool.name(), summary.steps > 0, now);
        self.handle.publish_advice(summary);
    }

    /// Sends a call. It counts as under way until its answer, also if the pool has another owner by then.
    pub(super) fn advise(&self, step: StepId, workers: Vec<WorkerId>, terms: CallTerms) {
        let node = Arc::clone(&self.node);
        let sent = node.now();
        let call = node.advice_pacer().begin(self.pool.name(), terms, sent);
        self.spawn_call(async move {
            let limit = terms.wait_limit().duration();
            let result = match &node.services.advisor {
                Some(advisor) => advisor.advise(step, workers, limit).await,
                None => Err(StoreError::NotDone("no service is configured".to_owned())),
            };
            let now = node.now();
            let outcome = outcome_of(&result);
            node.metrics.advice_call(outcome, now.since(sent));
            let status = {
                let mut pacer = node.advice_pacer();
                pacer.end(call, outcome, now);
                pacer.status(now)
            };
            let why = outcome.name();
            if let Err(error) = &result {
                emit(Event::AdviceDelayed, format_args!("why={why} {status} step={step} {error}"));
            }
            Some(Input::AdviceReceived(step, result.ok(), sent))
        });
    }
}
