//! Dispatches a request: waits for a slot, sends the request, and retries where that is safe.

use std::rc::Rc;

use reachhead_types::{
    boot_instant::BootInstant,
    error::ErrorKind,
    id::{AttemptId, MinionId},
};

use crate::{
    process::{proxy::Proxy, service::Permit},
    request::{
        ReceivedRequest,
        send::{self, SendError, SendResult},
    },
};

/// Number of sends that may fail before the first byte, as on idle connections that were just
/// closed, in addition to the limit on sends.
const MAX_EXTRA_UNSENT: u32 = 8;

/// Dispatches a request and returns the response.
///
/// A request with an idempotency key has an `attempt` and is sent again only if the previous send
/// certainly did not run.
///
/// # Errors
///
/// Returns the error of the last send, or `NotSent` if the request got no slot.
pub async fn run(
    proxy: &Rc<Proxy>,
    received: &ReceivedRequest,
    attempt: Option<AttemptId>,
) -> SendResult {
    let queue_request = received.queue_request();
    let service = &received.route.service;
    let mut tried: Vec<MinionId> = Vec::new();
    let mut sends = 0;
    loop {
        let permit = service.acquire(&queue_request, &tried).await.map_err(SendError::NotSent)?;
        tried.push(permit.minion.id.clone());
        let error = match send_once(proxy, received, permit, attempt).await {
            Ok(response) => {
                service.record_success();
                return Ok(response);
            }
            Err(error) => error,
        };
        sends += 1;
        if !can_retry(proxy, received, attempt, &error, sends) {
            return Err(error);
        }
    }
}

async fn send_once(
    proxy: &Rc<Proxy>,
    received: &ReceivedRequest,
    permit: Permit,
    attempt: Option<AttemptId>,
) -> SendResult {
    let prepared = send::prepare(proxy, received, permit).await?;
    // The last check before the first byte is sent: after a pause of the process, its view of
    // configuration and membership may be stale.
    if !proxy.is_fresh() {
        return Err(SendError::NotSent(ErrorKind::NotReady));
    }
    if BootInstant::now() >= received.deadline {
        return Err(SendError::NotSent(ErrorKind::DeadlineInQueue));
    }
    if let Some(attempt) = attempt
        && !proxy.attempts.borrow_mut().send(attempt)
    {
        return Err(SendError::NotSent(ErrorKind::DeadlineInQueue));
    }
    let result = prepared.send(proxy).await;
    if let (Some(attempt), Err(SendError::NotSent(_))) = (attempt, &result) {
        proxy.attempts.borrow_mut().mark_unsent(attempt);
    }
    result
}

fn can_retry(
    proxy: &Proxy,
    received: &ReceivedRequest,
    attempt: Option<AttemptId>,
    error: &SendError,
    sends: u32,
) -> bool {
    if BootInstant::now() >= received.deadline {
        return false;
    }
    let max_sends = proxy.settings.minions.sends.get();
    match error {
        SendError::NotSent(ErrorKind::NotReady | ErrorKind::DeadlineInQueue) => false,
        // No byte was sent, so no minion had any load from it; the retry budget limits only
        // requests that were sent.
        SendError::NotSent(ErrorKind::ConnectFailed) => sends < max_sends + MAX_EXTRA_UNSENT,
        SendError::NotSent(_) => sends < max_sends && received.route.service.take_retry(),
        SendError::OutcomeUnknown(_) | SendError::TimedOut(_) => {
            attempt.is_none()
                && received.is_idempotent()
                && sends < max_sends
                && received.route.service.take_retry()
        }
    }
}
