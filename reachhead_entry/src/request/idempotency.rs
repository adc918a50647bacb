//! Runs requests with an idempotency key at most once, by claiming the key in the store.
//!
//! docs/AT-MOST-ONCE.md has the safety argument, with one paragraph for each step here.

use std::rc::Rc;

use bytes::Bytes;
use hyper::Response;
use reachhead_link::message::{EntryReply, EntryRequest};
use reachhead_path::claim::{AttemptState, ClaimLookup};
use reachhead_store::{
    claim::{ClaimRow, ClaimState},
    keys,
    row::Key,
};
use reachhead_types::{
    answer::KeptAnswer,
    boot_instant::BootInstant,
    error::ErrorKind,
    id::{AttemptId, Fingerprint, IdempotencyKey},
    size::Revision,
};
use sha2::{Digest, Sha256};
use tokio::{sync::oneshot, task::spawn_local};

use crate::{
    process::{claim_writer::ClaimResult, proxy::Proxy},
    request::{
        ReceivedRequest, dispatch, response,
        response_body::ResponseBody,
        send::{ProxiedBody, ProxiedResponse, SendError, SendResult},
    },
};

/// Number of attempts to write a claim while other claims for the key appear and disappear.
const MAX_CLAIM_TRIES: u32 = 3;

/// The answer to a request with a key that is not run.
enum EarlyAnswer {
    /// An error response.
    Error(ErrorKind),
    /// The stored response to an earlier request with the same key.
    Replay(Rc<KeptAnswer>),
}

/// A claim in the store that belongs to this process.
struct OwnedClaim {
    key: Key,
    row: ClaimRow,
    revision: Revision,
}

/// Runs a request at most once under its idempotency key and returns the response.
///
/// The request continues if the caller disconnects, so that its outcome is recorded in any case.
pub async fn run_at_most_once(
    proxy: &Rc<Proxy>,
    received: ReceivedRequest,
    key: IdempotencyKey,
) -> Response<ResponseBody> {
    let store_key =
        keys::claim(&received.route.row.group, &received.route.row.service, &key_digest(&key));
    let fingerprint = fingerprint(&received);
    let lookup = proxy.attempts.borrow().look_up(&store_key.0, fingerprint);
    match lookup {
        ClaimLookup::KeyReused => return response::error(proxy, ErrorKind::KeyReused),
        ClaimLookup::Existing(attempt) => return early_response(proxy, local_answer(attempt)),
        ClaimLookup::New => {}
    }
    let attempt = AttemptId(rand::random());
    proxy.attempts.borrow_mut().start(&store_key.0, fingerprint, attempt, BootInstant::now());
    let row = ClaimRow {
        attempt,
        fingerprint,
        host: proxy.settings.host.clone(),
        incarnation: proxy.incarnation,
        entry: proxy.settings.link.ask,
        state: ClaimState::Claimed,
    };
    let (reply, response) = oneshot::channel();
    spawn_local(claim_and_run(Rc::clone(proxy), received, store_key, row, reply));
    response.await.unwrap_or_else(|_| response::error(proxy, ErrorKind::KeyOutcomeLost))
}

/// Sends the response to the task that serves the caller, if the caller is still connected.
type ResponseSender = oneshot::Sender<Response<ResponseBody>>;

async fn claim_and_run(
    proxy: Rc<Proxy>,
    received: ReceivedRequest,
    key: Key,
    row: ClaimRow,
    caller: ResponseSender,
) {
    let attempt = row.attempt;
    match claim(&proxy, key, row).await {
        Ok(claim) => run_claimed(&proxy, received, claim, caller).await,
        Err(answer) => {
            // The request was not sent and will never be, even if the store still writes the claim.
            proxy.attempts.borrow_mut().abandon(attempt);
            let _ = caller.send(early_response(&proxy, answer));
        }
    }
}

async fn run_claimed(
    proxy: &Rc<Proxy>,
    received: ReceivedRequest,
    claim: OwnedClaim,
    caller: ResponseSender,
) {
    let result = dispatch::run(proxy, &received, Some(claim.row.attempt)).await;
    if let Err(SendError::TimedOut(exchange)) = result {
        let _ = caller.send(response::error(proxy, ErrorKind::MinionTimeout));
        record_outcome(proxy, claim, &exchange.finish_late().await);
        return;
    }
    record_outcome(proxy, claim, &result);
    let _ = caller.send(match result {
        Ok(minion_response) => response::from_minion(&received.route, minion_response),
        Err(error) => response::error(proxy, error.kind()),
    });
}

/// Records the outcome of a claimed request.
fn record_outcome(proxy: &Proxy, claim: OwnedClaim, result: &SendResult) {
    match result {
        Ok(response) => record_response(proxy, claim, response),
        Err(SendError::NotSent(_)) => {
            let mut attempts = proxy.attempts.borrow_mut();
            attempts.mark_unsent(claim.row.attempt);
            attempts.abandon(claim.row.attempt);
            proxy.claim_writer.record_outcome(claim.key, None, claim.revision);
        }
        Err(SendError::OutcomeUnknown(_) | SendError::TimedOut(_)) => {
            finish_claim(proxy, claim, AttemptState::Lost, ClaimState::Lost);
        }
    }
}

fn record_response(proxy: &Proxy, claim: OwnedClaim, response: &ProxiedResponse) {
    match &response.body {
        ProxiedBody::Buffered(body) => {
            let kept = response::to_kept_answer(&response.head, body);
            finish_claim(
                proxy,
                claim,
                AttemptState::Done(Rc::new(kept.clone())),
                ClaimState::Done(kept),
            );
        }
        ProxiedBody::Streaming { .. } => {
            finish_claim(proxy, claim, AttemptState::NotKept, ClaimState::NotKept)
        }
    }
}

fn finish_claim(proxy: &Proxy, claim: OwnedClaim, attempt: AttemptState, state: ClaimState) {
    proxy.attempts.borrow_mut().finish(claim.row.attempt, attempt);
    let row = ClaimRow { state, ..claim.row };
    proxy.claim_writer.record_outcome(claim.key, Some(row), claim.revision);
}

/// Writes a claim for the key; replaces a claim that its owner has abandoned.
async fn claim(proxy: &Proxy, key: Key, row: ClaimRow) -> Result<OwnedClaim, EarlyAnswer> {
    let mut expected = None;
    for _ in 0..MAX_CLAIM_TRIES {
        match proxy.claim_writer.claim(key.clone(), row.clone(), expected).await {
            ClaimResult::Stored(revision) => return Ok(OwnedClaim { key, row, revision }),
            ClaimResult::NotStored => return Err(EarlyAnswer::Error(ErrorKind::StoreDown)),
            // The other claim was deleted in the meantime, so the next attempt expects none.
            ClaimResult::Held { row: None, .. } => expected = None,
            ClaimResult::Held { row: Some(held), revision } => {
                check_held_claim(proxy, &held, row.fingerprint).await?;
                expected = revision;
            }
        }
    }
    Err(EarlyAnswer::Error(ErrorKind::KeyInProgress))
}

/// Returns `Ok` if the held claim may be overwritten, since its attempt was and will never be sent.
async fn check_held_claim(
    proxy: &Proxy,
    held: &ClaimRow,
    fingerprint: Fingerprint,
) -> Result<(), EarlyAnswer> {
    if held.fingerprint != fingerprint {
        return Err(EarlyAnswer::Error(ErrorKind::KeyReused));
    }
    match &held.state {
        ClaimState::Done(kept) => return Err(EarlyAnswer::Replay(Rc::new(kept.clone()))),
        ClaimState::NotKept => return Err(EarlyAnswer::Error(ErrorKind::AnswerNotKept)),
        ClaimState::Lost => return Err(EarlyAnswer::Error(ErrorKind::KeyOutcomeLost)),
        ClaimState::Claimed => {}
    }
    if held.incarnation == proxy.incarnation {
        let state = proxy.attempts.borrow().state(held.attempt).cloned();
        return match state {
            Some(AttemptState::Abandoned) => Ok(()),
            Some(attempt) => Err(local_answer(attempt)),
            None => Err(EarlyAnswer::Error(ErrorKind::KeyOutcomeLost)),
        };
    }
    let request = EntryRequest::Claim { incarnation: held.incarnation, attempt: held.attempt };
    match proxy.peer_client.call(held.entry, request).await {
        Some(EntryReply::Abandoned) => Ok(()),
        Some(EntryReply::InProgress) => Err(EarlyAnswer::Error(ErrorKind::KeyInProgress)),
        Some(EntryReply::Done(kept)) => Err(EarlyAnswer::Replay(Rc::new(*kept))),
        Some(EntryReply::NotKept) => Err(EarlyAnswer::Error(ErrorKind::AnswerNotKept)),
        Some(EntryReply::Lost) => Err(EarlyAnswer::Error(ErrorKind::KeyOutcomeLost)),
        Some(EntryReply::UnknownAttempt | EntryReply::Lent { .. } | EntryReply::Returned)
        | None => Err(EarlyAnswer::Error(ErrorKind::OwnerUnreachable)),
    }
}

/// Returns the answer to a further request during or after an attempt of this process.
fn local_answer(attempt: AttemptState) -> EarlyAnswer {
    match attempt {
        AttemptState::Pending | AttemptState::Sent | AttemptState::Abandoned => {
            EarlyAnswer::Error(ErrorKind::KeyInProgress)
        }
        AttemptState::Done(kept) => EarlyAnswer::Replay(kept),
        AttemptState::NotKept => EarlyAnswer::Error(ErrorKind::AnswerNotKept),
        AttemptState::Lost => EarlyAnswer::Error(ErrorKind::KeyOutcomeLost),
    }
}

fn early_response(proxy: &Proxy, answer: EarlyAnswer) -> Response<ResponseBody> {
    match answer {
        EarlyAnswer::Error(kind) => response::error(proxy, kind),
        EarlyAnswer::Replay(kept) => response::replay(proxy, &kept),
    }
}

/// Returns the digest of the key, which keeps store keys short and free of callers' characters.
fn key_digest(key: &IdempotencyKey) -> String {
    let digest = Sha256::digest(key.as_str().as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns a digest of method, path, query and body, to detect reuse of a key.
fn fingerprint(received: &ReceivedRequest) -> Fingerprint {
    let path = received.head.uri.path_and_query().map(|path| path.as_str()).unwrap_or_default();
    let parts: [&[u8]; 3] =
        [received.head.method.as_str().as_bytes(), path.as_bytes(), received.body.as_ref()];
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest: Bytes = Bytes::copy_from_slice(&hasher.finalize());
    let first = digest.first_chunk::<8>().copied().unwrap_or_default();
    Fingerprint(u64::from_be_bytes(first))
}
