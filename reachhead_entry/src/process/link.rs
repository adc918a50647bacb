//! Questions that other threads ask the path thread, among them other entry hosts' questions.

use std::{sync::mpsc as blocking, time::Duration};

use reachhead_link::{
    message::{EntryReply, EntryRequest},
    server::Responder,
};
use reachhead_path::claim::Attempt;
use reachhead_types::id::{AttemptId, Incarnation};
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
    /// What became of an attempt.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
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
            Self::Attempt { attempt, reply } => {
                let _ = reply.try_send(attempt_reply(core, attempt));
            }
        }
    }
}

fn attempt_reply(core: &Core, attempt: AttemptId) -> EntryReply {
    match core.attempts.borrow().state(attempt) {
        None => EntryReply::Stranger,
        Some(Attempt::Pending | Attempt::Sent) => EntryReply::InProgress,
        Some(Attempt::Abandoned) => EntryReply::Abandoned,
        Some(Attempt::Done(answer)) => EntryReply::Done(Box::new((**answer).clone())),
        Some(Attempt::Unkept) => EntryReply::Unkept,
        Some(Attempt::Lost) => EntryReply::Lost,
    }
}

/// Answers other entry hosts, on the link thread.
pub struct EntryResponder {
    incarnation: Incarnation,
    questions: mpsc::Sender<Question>,
}

impl EntryResponder {
    /// Returns a responder for this start of the process.
    pub fn new(incarnation: Incarnation, questions: mpsc::Sender<Question>) -> Self {
        Self { incarnation, questions }
    }
}

impl Responder<EntryRequest, EntryReply> for EntryResponder {
    fn respond(&mut self, request: EntryRequest) -> EntryReply {
        let EntryRequest::Claim { incarnation, attempt } = request;
        if incarnation != self.incarnation {
            return EntryReply::Stranger;
        }
        let (reply, answer) = blocking::sync_channel(1);
        if self.questions.try_send(Question::Attempt { attempt, reply }).is_err() {
            return EntryReply::Stranger;
        }
        answer.recv_timeout(ANSWER_TIME).unwrap_or(EntryReply::Stranger)
    }
}
