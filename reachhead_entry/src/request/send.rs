//! One send of a request to one minion.
//!
//! When the caller gives up, the exchange goes on in a task of its own: the slot stays taken until
//! the minion is done with the request or its time is over, so the minion's limit still holds.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Version, body::Incoming, http::response::Parts};
use reachhead_types::{boot_instant::BootInstant, error::ErrorKind};
use tokio::{task::spawn_local, time};

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
    Late(Exchange),
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
    deadline: BootInstant,
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
            let left = arrived.deadline.remaining();
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
        let started = BootInstant::now();
        let deadline = self.deadline;
        let minion = Rc::clone(&self.permit.minion);
        // Twice the time that the caller gave: then the connection is cut and the slot given back.
        let limit = deadline + deadline.duration_since(started);
        let mut exchange = Exchange::new(Box::pin(self.run()), limit);
        match time::timeout(deadline.remaining(), &mut exchange).await {
            Ok(result) => result,
            Err(_) => {
                if started.elapsed() >= BLAME_TIME {
                    minion.fail();
                }
                Err(SendError::Late(exchange))
            }
        }
    }

    async fn run(self) -> SendResult {
        let Self { permit, mut sender, request, whole, .. } = self;
        let result = out::exchange(&mut sender, request, whole).await;
        settle(result, permit, sender)
    }
}

type Running = Pin<Box<dyn Future<Output = SendResult>>>;

/// An exchange under way; dropped before its end, it goes on in a task of its own.
pub struct Exchange {
    running: Option<Running>,
    limit: BootInstant,
    /// Whether it has a task of its own, which ends it when the process ends.
    is_detached: bool,
}

impl Exchange {
    fn new(running: Running, limit: BootInstant) -> Self {
        Self { running: Some(running), limit, is_detached: false }
    }

    /// Waits for the end as long as the slot is kept for it.
    pub async fn late(mut self) -> SendResult {
        let left = self.limit.remaining();
        let result = time::timeout(left, &mut self).await;
        if result.is_err() {
            self.running = None;
        }
        result.unwrap_or(Err(SendError::Unknown(ErrorKind::MinionTimeout)))
    }
}

impl Future for Exchange {
    type Output = SendResult;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<SendResult> {
        let Some(running) = &mut self.running else {
            return Poll::Ready(Err(SendError::Unknown(ErrorKind::MinionBroke)));
        };
        let result = ready!(running.as_mut().poll(context));
        self.running = None;
        Poll::Ready(result)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.is_detached {
            return;
        }
        if let Some(running) = self.running.take() {
            let rest = Self { running: Some(running), limit: self.limit, is_detached: true };
            spawn_local(rest.late());
        }
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
