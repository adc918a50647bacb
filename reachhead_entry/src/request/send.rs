//! One send of a request to one minion.
//!
//! The exchange runs in a task of its own: when the caller gives up, the slot stays taken until
//! the minion is done with the request or its time is over, so the minion's limit still holds.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Version, body::Incoming, http::response::Parts};
use reachhead_types::error::ErrorKind;
use tokio::{sync::oneshot, task::spawn_local, time};

use crate::{
    connection::out::{self, Answer, AnswerBody, ExchangeError, Sender},
    process::{core::Core, service::Permit},
    request::{Arrived, head},
};

/// A minion that is silent for less than this is not blamed: the caller's time was short.
const BLAME_TIME: Duration = Duration::from_millis(500);

/// A minion's answer to a request.
pub struct SentAnswer {
    /// Status and header fields.
    pub head: Parts,
    /// The body.
    pub body: SentBody,
}

/// The body of an answer.
pub enum SentBody {
    /// All of it.
    Whole(Bytes),
    /// The first part, and the rest as it comes.
    Streaming {
        /// What has arrived.
        first: Bytes,
        /// What has not.
        rest: Incoming,
        /// What the rest comes on.
        hold: Hold,
    },
}

/// The slot and the connection of an answer that still arrives.
pub struct Hold {
    permit: Permit,
    sender: Sender,
}

impl Hold {
    /// Gives slot and connection back after the last byte.
    pub fn finish(self) {
        self.permit.minion.put_idle(self.sender);
    }
}

/// How a send ends.
pub type SendResult = Result<SentAnswer, SendError>;

/// Why a send gave no answer.
pub enum SendError {
    /// The minion did not get it; another one may.
    NotSent(ErrorKind),
    /// The minion may have run it.
    Unknown(ErrorKind),
    /// The deadline passed; the answer may still come here.
    Late(oneshot::Receiver<SendResult>),
}

impl SendError {
    /// Returns what the caller is told.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::NotSent(kind) | Self::Unknown(kind) => *kind,
            Self::Late(_) => ErrorKind::MinionTimeout,
        }
    }
}

/// A send that is ready to go, with its connection.
pub struct Outgoing {
    permit: Permit,
    sender: Sender,
    request: Request<Full<Bytes>>,
    deadline: Instant,
    whole: usize,
}

/// Connects to the permit's minion; nothing is sent yet.
///
/// # Errors
///
/// `NotSent` if there is no connection in time.
pub async fn prepare(
    core: &Core,
    arrived: &Arrived,
    permit: Permit,
) -> Result<Outgoing, SendError> {
    let minions = &core.settings.minions;
    let sender = match permit.minion.take_idle(minions.idle_time.duration()) {
        Some(sender) => sender,
        None => {
            let left = arrived.deadline.saturating_duration_since(Instant::now());
            let limit = Duration::from_millis(minions.connect_time.get()).min(left);
            match out::connect(permit.minion.row.address, limit).await {
                Some(sender) => sender,
                None => {
                    permit.minion.fail();
                    return Err(SendError::NotSent(ErrorKind::ConnectFailed));
                }
            }
        }
    };
    let request = request(arrived);
    let whole = minions.whole.0 as usize;
    Ok(Outgoing { permit, sender, request, deadline: arrived.deadline, whole })
}

fn request(arrived: &Arrived) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(arrived.body.clone()));
    *request.method_mut() = arrived.head.method.clone();
    // An absolute URI stays behind: the minion is asked for the path alone.
    if let Some(path) = arrived.head.uri.path_and_query() {
        *request.uri_mut() = path.clone().into();
    }
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = head::for_minion(&arrived.head.headers, arrived.deadline);
    request
}

impl Outgoing {
    /// Sends the request and waits for the answer, until the deadline.
    ///
    /// # Errors
    ///
    /// `Unknown` once a byte was handed to the connection, unless the minion refused by contract.
    pub async fn send(self, core: &Rc<Core>) -> SendResult {
        core.metrics.sends.inc();
        let started = Instant::now();
        let deadline = self.deadline;
        let minion = Rc::clone(&self.permit.minion);
        let (reply, mut answer) = oneshot::channel();
        spawn_local(self.run(reply));
        match time::timeout_at(deadline.into(), &mut answer).await {
            Ok(Ok(result)) => result,
            // The task always replies; without it nothing is known.
            Ok(Err(_)) => Err(SendError::Unknown(ErrorKind::MinionBroke)),
            Err(_) => {
                if started.elapsed() >= BLAME_TIME {
                    minion.fail();
                }
                Err(SendError::Late(answer))
            }
        }
    }

    async fn run(self, reply: oneshot::Sender<SendResult>) {
        let Self { permit, mut sender, request, deadline, whole } = self;
        // Twice the time that the caller gave: then the connection is cut and the slot given back.
        let limit = deadline + deadline.saturating_duration_since(Instant::now());
        let exchange = out::exchange(&mut sender, request, whole);
        let Ok(result) = time::timeout_at(limit.into(), exchange).await else {
            return;
        };
        let _ = reply.send(settle(result, permit, sender));
    }
}

/// Notes what the exchange says of the minion, and keeps the connection if it may be used again.
fn settle(result: Result<Answer, ExchangeError>, permit: Permit, sender: Sender) -> SendResult {
    let minion = &permit.minion;
    match result {
        Ok(Answer { head, body }) => {
            minion.succeed();
            if out::says_close(&head.headers) {
                minion.note_leaving();
            }
            let body = match body {
                AnswerBody::Whole(body) => {
                    minion.put_idle(sender);
                    SentBody::Whole(body)
                }
                AnswerBody::Streaming { first, rest } => {
                    SentBody::Streaming { first, rest, hold: Hold { permit, sender } }
                }
            };
            Ok(SentAnswer { head, body })
        }
        Err(ExchangeError::Unsent) => Err(SendError::NotSent(ErrorKind::ConnectFailed)),
        Err(ExchangeError::Refused) => Err(SendError::NotSent(ErrorKind::MinionRefused)),
        Err(ExchangeError::Broke) => {
            minion.fail();
            Err(SendError::Unknown(ErrorKind::MinionBroke))
        }
        Err(ExchangeError::BadAnswer) => {
            minion.fail();
            Err(SendError::Unknown(ErrorKind::BadAnswer))
        }
    }
}
