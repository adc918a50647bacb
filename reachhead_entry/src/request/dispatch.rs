//! Runs a request: waits for a slot, sends it, and retries where that is safe and worth it.

use std::rc::Rc;

use reachhead_types::{
    boot_instant::BootInstant,
    error::ErrorKind,
    id::{AttemptId, MinionId},
};

use crate::{
    process::{proxy::Core, service::Permit},
    request::{
        Arrived,
        send::{self, SendError, SendResult},
    },
};

/// Sends in vain to connections that had just closed, beside the counted ones.
const UNSENT_LIMIT: u32 = 8;

/// Runs a request and returns its answer; one with an `attempt` is sent at most once.
///
/// # Errors
///
/// What tells the caller what became of it; `NotSent` also for what was never given to a minion.
pub async fn run(core: &Rc<Core>, arrived: &Arrived, attempt: Option<AttemptId>) -> SendResult {
    let ask = arrived.ask();
    let service = &arrived.route.service;
    let mut tried: Vec<MinionId> = Vec::new();
    let mut sends = 0;
    loop {
        let permit = service.acquire(&ask, &tried).await.map_err(SendError::NotSent)?;
        tried.push(permit.minion.id.clone());
        let error = match send_once(core, arrived, permit, attempt).await {
            Ok(answer) => {
                service.succeed();
                return Ok(answer);
            }
            Err(error) => error,
        };
        sends += 1;
        if !may_retry(core, arrived, attempt, &error, sends) {
            return Err(error);
        }
    }
}

async fn send_once(
    core: &Rc<Core>,
    arrived: &Arrived,
    permit: Permit,
    attempt: Option<AttemptId>,
) -> SendResult {
    let outgoing = send::prepare(core, arrived, permit).await?;
    // The last look before the first byte: a process that was paused finds its view too old here.
    if !core.is_fresh() {
        return Err(SendError::NotSent(ErrorKind::NotReady));
    }
    if BootInstant::now() >= arrived.deadline {
        return Err(SendError::NotSent(ErrorKind::DeadlineInQueue));
    }
    if let Some(attempt) = attempt
        && !core.attempts.borrow_mut().send(attempt)
    {
        return Err(SendError::NotSent(ErrorKind::DeadlineInQueue));
    }
    let result = outgoing.send(core).await;
    if let (Some(attempt), Err(SendError::NotSent(_))) = (attempt, &result) {
        core.attempts.borrow_mut().mark_unsent(attempt);
    }
    result
}

fn may_retry(
    core: &Core,
    arrived: &Arrived,
    attempt: Option<AttemptId>,
    error: &SendError,
    sends: u32,
) -> bool {
    if BootInstant::now() >= arrived.deadline {
        return false;
    }
    let limit = core.settings.minions.sends.get();
    match error {
        SendError::NotSent(ErrorKind::NotReady | ErrorKind::DeadlineInQueue) => false,
        // Provably unsent, so no minion was loaded by it: the budget is for real sends.
        SendError::NotSent(ErrorKind::ConnectFailed) => sends < limit + UNSENT_LIMIT,
        SendError::NotSent(_) => sends < limit && arrived.route.service.take_retry(),
        SendError::Unknown(_) | SendError::Late(_) => {
            attempt.is_none()
                && arrived.is_repeatable()
                && sends < limit
                && arrived.route.service.take_retry()
        }
    }
}
