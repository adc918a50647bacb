//! A request with an idempotency key: claimed in the store, then run at most once.
//!
//! docs/AT-MOST-ONCE.md gives the argument; each step here is one of its paragraphs.

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
    process::{claims::ClaimReply, core::Core},
    request::{
        Arrived,
        body::ReplyBody,
        dispatch, reply,
        send::{SendError, SendResult, SentAnswer, SentBody},
    },
};

/// Times that a claim is tried against others that come and go.
const CLAIM_TRIES: u32 = 3;

/// How a request with a key is answered without running it.
enum Settled {
    /// With an answer of the system.
    Error(ErrorKind),
    /// With the answer that was kept.
    Replay(Rc<KeptAnswer>),
}

/// A claim that this process holds.
struct Claim {
    key: Key,
    row: ClaimRow,
    revision: Revision,
}

/// Runs `arrived` at most once under `key`.
///
/// It goes on when the caller leaves, so that what became of it is recorded all the same.
pub async fn run(core: &Rc<Core>, arrived: Arrived, key: IdempotencyKey) -> Response<ReplyBody> {
    let store_key =
        keys::claim(&arrived.route.row.group, &arrived.route.row.service, &digest(&key));
    let fingerprint = fingerprint(&arrived);
    let lookup = core.attempts.borrow().look_up(&store_key.0, fingerprint);
    match lookup {
        ClaimLookup::KeyReused => return reply::error(core, ErrorKind::KeyReused),
        ClaimLookup::Existing(attempt) => return settled(core, own_end(attempt)),
        ClaimLookup::New => {}
    }
    let attempt = AttemptId(rand::random());
    core.attempts.borrow_mut().start(&store_key.0, fingerprint, attempt, BootInstant::now());
    let row = ClaimRow {
        attempt,
        fingerprint,
        host: core.settings.host.clone(),
        incarnation: core.incarnation,
        entry: core.settings.link.ask,
        state: ClaimState::Claimed,
    };
    let (reply, response) = oneshot::channel();
    spawn_local(claim_and_run(Rc::clone(core), arrived, store_key, row, reply));
    response.await.unwrap_or_else(|_| reply::error(core, ErrorKind::KeyOutcomeLost))
}

/// Where the caller waits, if it still does.
type Caller = oneshot::Sender<Response<ReplyBody>>;

async fn claim_and_run(core: Rc<Core>, arrived: Arrived, key: Key, row: ClaimRow, caller: Caller) {
    let attempt = row.attempt;
    match claim(&core, key, row).await {
        Ok(claim) => run_claimed(&core, arrived, claim, caller).await,
        Err(end) => {
            // It was not sent and is now never sent, whatever the store makes of the claim.
            core.attempts.borrow_mut().abandon(attempt);
            let _ = caller.send(settled(&core, end));
        }
    }
}

async fn run_claimed(core: &Rc<Core>, arrived: Arrived, claim: Claim, caller: Caller) {
    let result = dispatch::run(core, &arrived, Some(claim.row.attempt)).await;
    if let Err(SendError::Late(answer)) = result {
        let _ = caller.send(reply::error(core, ErrorKind::MinionTimeout));
        record(core, claim, &answer.late().await);
        return;
    }
    record(core, claim, &result);
    let _ = caller.send(match result {
        Ok(answer) => reply::answer(&arrived.route, answer),
        Err(error) => reply::error(core, error.kind()),
    });
}

/// Records what became of a claimed request.
fn record(core: &Core, claim: Claim, result: &SendResult) {
    match result {
        Ok(answer) => record_answer(core, claim, answer),
        Err(SendError::NotSent(_)) => {
            let mut attempts = core.attempts.borrow_mut();
            attempts.mark_unsent(claim.row.attempt);
            attempts.abandon(claim.row.attempt);
            core.claims.record(claim.key, None, claim.revision);
        }
        Err(SendError::Unknown(_) | SendError::Late(_)) => {
            end(core, claim, AttemptState::Lost, ClaimState::Lost);
        }
    }
}

fn record_answer(core: &Core, claim: Claim, answer: &SentAnswer) {
    match &answer.body {
        SentBody::Whole(body) => {
            let kept = reply::keep(&answer.head, body);
            end(core, claim, AttemptState::Done(Rc::new(kept.clone())), ClaimState::Done(kept));
        }
        SentBody::Streaming { .. } => end(core, claim, AttemptState::Unkept, ClaimState::NotKept),
    }
}

fn end(core: &Core, claim: Claim, attempt: AttemptState, state: ClaimState) {
    core.attempts.borrow_mut().finish(claim.row.attempt, attempt);
    let row = ClaimRow { state, ..claim.row };
    core.claims.record(claim.key, Some(row), claim.revision);
}

/// Claims the key, taking over a claim that its owner has abandoned.
async fn claim(core: &Core, key: Key, row: ClaimRow) -> Result<Claim, Settled> {
    let mut expected = None;
    for _ in 0..CLAIM_TRIES {
        match core.claims.claim(key.clone(), row.clone(), expected).await {
            ClaimReply::Stored(revision) => return Ok(Claim { key, row, revision }),
            ClaimReply::NotStored => return Err(Settled::Error(ErrorKind::StoreDown)),
            // It went away; the next try finds the place free.
            ClaimReply::Held { row: None, .. } => expected = None,
            ClaimReply::Held { row: Some(held), revision } => {
                meet_held(core, &held, row.fingerprint).await?;
                expected = revision;
            }
        }
    }
    Err(Settled::Error(ErrorKind::KeyInProgress))
}

/// Returns `Ok` if the held claim may be taken over, because its attempt was and is never sent.
async fn meet_held(core: &Core, held: &ClaimRow, fingerprint: Fingerprint) -> Result<(), Settled> {
    if held.fingerprint != fingerprint {
        return Err(Settled::Error(ErrorKind::KeyReused));
    }
    match &held.state {
        ClaimState::Done(kept) => return Err(Settled::Replay(Rc::new(kept.clone()))),
        ClaimState::NotKept => return Err(Settled::Error(ErrorKind::AnswerNotKept)),
        ClaimState::Lost => return Err(Settled::Error(ErrorKind::KeyOutcomeLost)),
        ClaimState::Claimed => {}
    }
    if held.incarnation == core.incarnation {
        let state = core.attempts.borrow().state(held.attempt).cloned();
        return match state {
            Some(AttemptState::Abandoned) => Ok(()),
            Some(attempt) => Err(own_end(attempt)),
            None => Err(Settled::Error(ErrorKind::KeyOutcomeLost)),
        };
    }
    let question = EntryRequest::Claim { incarnation: held.incarnation, attempt: held.attempt };
    match core.asks.ask(held.entry, question).await {
        Some(EntryReply::Abandoned) => Ok(()),
        Some(EntryReply::InProgress) => Err(Settled::Error(ErrorKind::KeyInProgress)),
        Some(EntryReply::Done(kept)) => Err(Settled::Replay(Rc::new(*kept))),
        Some(EntryReply::NotKept) => Err(Settled::Error(ErrorKind::AnswerNotKept)),
        Some(EntryReply::Lost) => Err(Settled::Error(ErrorKind::KeyOutcomeLost)),
        Some(EntryReply::UnknownAttempt | EntryReply::Lent { .. } | EntryReply::Returned)
        | None => Err(Settled::Error(ErrorKind::OwnerUnreachable)),
    }
}

/// Returns how a second request is answered while or after this process's own attempt.
fn own_end(attempt: AttemptState) -> Settled {
    match attempt {
        AttemptState::Pending | AttemptState::Sent | AttemptState::Abandoned => {
            Settled::Error(ErrorKind::KeyInProgress)
        }
        AttemptState::Done(kept) => Settled::Replay(kept),
        AttemptState::Unkept => Settled::Error(ErrorKind::AnswerNotKept),
        AttemptState::Lost => Settled::Error(ErrorKind::KeyOutcomeLost),
    }
}

fn settled(core: &Core, end: Settled) -> Response<ReplyBody> {
    match end {
        Settled::Error(kind) => reply::error(core, kind),
        Settled::Replay(kept) => reply::replay(core, &kept),
    }
}

/// Returns the key's digest, which keeps store keys short and free of any caller's characters.
fn digest(key: &IdempotencyKey) -> String {
    let digest = Sha256::digest(key.as_str().as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns what the request asks for: method, path, query and body.
fn fingerprint(arrived: &Arrived) -> Fingerprint {
    let path = arrived.head.uri.path_and_query().map(|path| path.as_str()).unwrap_or_default();
    let parts: [&[u8]; 3] =
        [arrived.head.method.as_str().as_bytes(), path.as_bytes(), arrived.body.as_ref()];
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest: Bytes = Bytes::copy_from_slice(&hasher.finalize());
    let first = digest.first_chunk::<8>().copied().unwrap_or_default();
    Fingerprint(u64::from_be_bytes(first))
}
