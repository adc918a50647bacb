//! Answers requests of other entry hosts, and defines the requests of other threads to the path
//! thread.

use std::{sync::mpsc as blocking, time::Duration};

use reachhead_link::{
    message::{EntryReply, EntryRequest},
    server::Responder,
};
use reachhead_path::claim::AttemptState;
use reachhead_types::id::AttemptId;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::process::proxy::Proxy;

/// Time limit for the path thread to answer; short, because the requesting host waits as well.
const PATH_TIMEOUT: Duration = Duration::from_millis(300);

/// A request of another thread to the path thread.
pub enum PathRequest {
    /// A request for the state of the process.
    State {
        /// Receives the state as JSON.
        reply: oneshot::Sender<Value>,
    },
    /// A request of another entry host.
    Peer {
        /// The request.
        request: EntryRequest,
        /// Receives the reply.
        reply: blocking::SyncSender<EntryReply>,
    },
}

impl PathRequest {
    /// Handles the request on the path thread; ignores a requester that has timed out.
    pub fn answer(self, proxy: &Proxy) {
        match self {
            Self::State { reply } => {
                let state = serde_json::to_value(proxy.report()).unwrap_or_default();
                let _ = reply.send(state);
            }
            Self::Peer { request, reply } => {
                let _ = reply.try_send(handle_peer_request(proxy, request));
            }
        }
    }
}

fn handle_peer_request(proxy: &Proxy, request: EntryRequest) -> EntryReply {
    match request {
        EntryRequest::Claim { incarnation, attempt } if incarnation == proxy.incarnation => {
            attempt_reply(proxy, attempt)
        }
        EntryRequest::Claim { .. } => EntryReply::UnknownAttempt,
        EntryRequest::Borrow { service, want } => proxy.lend(&service, want),
        EntryRequest::Return { loan } => {
            proxy.reclaim(loan);
            EntryReply::Returned
        }
    }
}

fn attempt_reply(proxy: &Proxy, attempt: AttemptId) -> EntryReply {
    match proxy.attempts.borrow().state(attempt) {
        None => EntryReply::UnknownAttempt,
        Some(AttemptState::Pending | AttemptState::Sent) => EntryReply::InProgress,
        Some(AttemptState::Abandoned) => EntryReply::Abandoned,
        Some(AttemptState::Done(answer)) => EntryReply::Done(Box::new((**answer).clone())),
        Some(AttemptState::NotKept) => EntryReply::NotKept,
        Some(AttemptState::Lost) => EntryReply::Lost,
    }
}

/// Answers requests of other entry hosts, on the `link` thread.
pub struct PeerResponder {
    path_requests: mpsc::Sender<PathRequest>,
}

impl PeerResponder {
    /// Returns a responder that forwards requests to the path thread.
    pub fn new(path_requests: mpsc::Sender<PathRequest>) -> Self {
        Self { path_requests }
    }
}

impl Responder<EntryRequest, EntryReply> for PeerResponder {
    fn respond(&mut self, request: EntryRequest) -> EntryReply {
        let (reply, received) = blocking::sync_channel(1);
        if self.path_requests.try_send(PathRequest::Peer { request, reply }).is_err() {
            return EntryReply::UnknownAttempt;
        }
        received.recv_timeout(PATH_TIMEOUT).unwrap_or(EntryReply::UnknownAttempt)
    }
}
