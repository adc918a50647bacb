//! Questions that other threads ask the path thread, among them other entry hosts' questions.

use std::{sync::mpsc as blocking, time::Duration};

use reachhead_link::{
    message::{EntryReply, EntryRequest},
    server::Responder,
};
use reachhead_path::claim::AttemptState;
use reachhead_types::id::AttemptId;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::process::core::Core;

/// Longest wait for the path thread; it is short because askers wait too.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// A question to the path thread.
pub enum Question {
    /// What the state is.
    State {
        /// Where the answer goes.
        reply: oneshot::Sender<Value>,
    },
    /// What another entry host asks.
    Peer {
        /// Its question.
        request: EntryRequest,
        /// Where the answer goes.
        reply: blocking::SyncSender<EntryReply>,
    },
}

impl Question {
    /// Answers from the path thread's state; an asker that is gone is no matter.
    pub fn answer(self, core: &Core) {
        match self {
            Self::State { reply } => {
                let state = serde_json::to_value(core.state()).unwrap_or_default();
                let _ = reply.send(state);
            }
            Self::Peer { request, reply } => {
                let _ = reply.try_send(peer_reply(core, request));
            }
        }
    }
}

fn peer_reply(core: &Core, request: EntryRequest) -> EntryReply {
    match request {
        EntryRequest::Claim { incarnation, attempt } if incarnation == core.incarnation => {
            attempt_reply(core, attempt)
        }
        EntryRequest::Claim { .. } => EntryReply::UnknownAttempt,
        EntryRequest::Borrow { service, want } => core.lend(&service, want),
        EntryRequest::Return { loan } => {
            core.take_back(loan);
            EntryReply::Returned
        }
    }
}

fn attempt_reply(core: &Core, attempt: AttemptId) -> EntryReply {
    match core.attempts.borrow().state(attempt) {
        None => EntryReply::UnknownAttempt,
        Some(AttemptState::Pending | AttemptState::Sent) => EntryReply::InProgress,
        Some(AttemptState::Abandoned) => EntryReply::Abandoned,
        Some(AttemptState::Done(answer)) => EntryReply::Done(Box::new((**answer).clone())),
        Some(AttemptState::Unkept) => EntryReply::NotKept,
        Some(AttemptState::Lost) => EntryReply::Lost,
    }
}

/// Answers other entry hosts, on the link thread.
pub struct EntryResponder {
    questions: mpsc::Sender<Question>,
}

impl EntryResponder {
    /// Returns a responder that hands questions to the path thread.
    pub fn new(questions: mpsc::Sender<Question>) -> Self {
        Self { questions }
    }
}

impl Responder<EntryRequest, EntryReply> for EntryResponder {
    fn respond(&mut self, request: EntryRequest) -> EntryReply {
        let (reply, answer) = blocking::sync_channel(1);
        if self.questions.try_send(Question::Peer { request, reply }).is_err() {
            return EntryReply::UnknownAttempt;
        }
        answer.recv_timeout(ANSWER_TIME).unwrap_or(EntryReply::UnknownAttempt)
    }
}
