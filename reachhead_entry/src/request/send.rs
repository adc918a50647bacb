//! Sends a request to a minion once.
//!
//! If the caller disconnects or its deadline passes, the exchange continues in a background task.
//! Its slot stays occupied until the minion has responded or twice the caller's time has passed, so
//! the concurrency limit of the minion is not exceeded.

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
    connection::minion_client::{self, ExchangeError, MinionBody, MinionResponse, Sender},
    process::{proxy::Proxy, service::Permit},
    request::{ReceivedRequest, headers},
};

/// Time that a minion must have had before a timeout counts as its failure. A shorter timeout is
/// due to the caller's deadline.
const MIN_FAILURE_WAIT: Duration = Duration::from_millis(500);

/// The response of a minion that is forwarded to the caller.
pub struct ProxiedResponse {
    /// Status and header fields.
    pub head: Parts,
    /// The body.
    pub body: ProxiedBody,
}

/// The body of a forwarded response.
pub enum ProxiedBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is too large to buffer and is still being received.
    Streaming {
        /// The bytes received so far.
        first: Bytes,
        /// The remaining body.
        rest: Incoming,
        /// The connection and the slot that the remaining body occupies.
        connection: HeldConnection,
    },
}

/// The connection and the slot that a streaming response occupies.
pub struct HeldConnection {
    permit: Permit,
    sender: Sender,
}

impl HeldConnection {
    /// Frees the slot and returns the connection to the pool, after the last byte of the body.
    pub fn release(self) {
        self.permit.minion.put_idle(self.sender);
    }
}

/// The result of a send.
pub type SendResult = Result<ProxiedResponse, SendError>;

/// Why a send returned no response.
pub enum SendError {
    /// The request did not run and may be sent to another minion.
    NotSent(ErrorKind),
    /// The minion may have run the request.
    OutcomeUnknown(ErrorKind),
    /// The deadline passed; the exchange may still complete with a response.
    TimedOut(Exchange),
}

impl SendError {
    /// Returns the error kind that the caller receives.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::NotSent(kind) | Self::OutcomeUnknown(kind) => *kind,
            Self::TimedOut(_) => ErrorKind::MinionTimeout,
        }
    }
}

/// A request that is ready to be sent, with its connection and its slot.
pub struct PreparedSend {
    permit: Permit,
    sender: Sender,
    request: Request<Full<Bytes>>,
    deadline: BootInstant,
    buffer_limit: usize,
}

/// Takes an idle connection to the minion of `permit` or opens one; sends nothing yet.
///
/// # Errors
///
/// Returns `NotSent` if no connection is established within the time limit.
pub async fn prepare(
    proxy: &Proxy,
    received: &ReceivedRequest,
    permit: Permit,
) -> Result<PreparedSend, SendError> {
    let minions = &proxy.settings.minions;
    let sender = match permit.minion.take_idle(minions.idle_time.duration()) {
        Some(sender) => sender,
        None => {
            let remaining = received.deadline.remaining();
            let connect_timeout = Duration::from_millis(minions.connect_time.get()).min(remaining);
            match minion_client::connect(permit.minion.row.address, connect_timeout).await {
                Some(sender) => sender,
                None => {
                    permit.minion.record_failure();
                    return Err(SendError::NotSent(ErrorKind::ConnectFailed));
                }
            }
        }
    };
    let request = minion_request(received);
    let buffer_limit = minions.whole.0 as usize;
    Ok(PreparedSend { permit, sender, request, deadline: received.deadline, buffer_limit })
}

fn minion_request(received: &ReceivedRequest) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(received.body.clone()));
    *request.method_mut() = received.head.method.clone();
    // An absolute URI is reduced to path and query, since minions are origin servers.
    if let Some(path) = received.head.uri.path_and_query() {
        *request.uri_mut() = path.clone().into();
    }
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers::for_minion(&received.head.headers, received.deadline);
    request
}

impl PreparedSend {
    /// Sends the request and waits for the response until the deadline.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` if no byte was passed to the connection or the minion declared that it did
    /// not run the request, `TimedOut` at the deadline, and `OutcomeUnknown` otherwise.
    pub async fn send(self, proxy: &Rc<Proxy>) -> SendResult {
        proxy.metrics.sends.inc();
        let started = BootInstant::now();
        let deadline = self.deadline;
        let minion = Rc::clone(&self.permit.minion);
        // After twice the caller's time, the connection is closed and the slot is freed.
        let slot_deadline = deadline + deadline.duration_since(started);
        let mut exchange = Exchange::new(Box::pin(self.exchange()), slot_deadline);
        match time::timeout(deadline.remaining(), &mut exchange).await {
            Ok(result) => result,
            Err(_) => {
                if started.elapsed() >= MIN_FAILURE_WAIT {
                    minion.record_failure();
                }
                Err(SendError::TimedOut(exchange))
            }
        }
    }

    async fn exchange(self) -> SendResult {
        let Self { permit, mut sender, request, buffer_limit, .. } = self;
        let result = minion_client::exchange(&mut sender, request, buffer_limit).await;
        process_result(result, permit, sender)
    }
}

type ExchangeFuture = Pin<Box<dyn Future<Output = SendResult>>>;

/// A request in flight. If it is dropped before it completes, it continues in a background task.
pub struct Exchange {
    running: Option<ExchangeFuture>,
    slot_deadline: BootInstant,
    /// Whether it already runs in a background task, which drops it only when the process ends.
    is_detached: bool,
}

impl Exchange {
    fn new(running: ExchangeFuture, slot_deadline: BootInstant) -> Self {
        Self { running: Some(running), slot_deadline, is_detached: false }
    }

    /// Waits for the result until the deadline of the slot.
    pub async fn finish_late(mut self) -> SendResult {
        let remaining = self.slot_deadline.remaining();
        let result = time::timeout(remaining, &mut self).await;
        if result.is_err() {
            self.running = None;
        }
        result.unwrap_or(Err(SendError::OutcomeUnknown(ErrorKind::MinionTimeout)))
    }
}

impl Future for Exchange {
    type Output = SendResult;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<SendResult> {
        let Some(running) = &mut self.running else {
            return Poll::Ready(Err(SendError::OutcomeUnknown(ErrorKind::MinionBroke)));
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
            let detached = Self {
                running: Some(running),
                slot_deadline: self.slot_deadline,
                is_detached: true,
            };
            spawn_local(detached.finish_late());
        }
    }
}

/// Records the result for the ejection of the minion and keeps the connection if it is reusable.
fn process_result(
    result: Result<MinionResponse, ExchangeError>,
    permit: Permit,
    sender: Sender,
) -> SendResult {
    let minion = &permit.minion;
    match result {
        Ok(MinionResponse { head, body }) => {
            minion.record_success();
            if minion_client::announces_close(&head.headers) {
                minion.mark_leaving();
            }
            let body = match body {
                MinionBody::Buffered(body) => {
                    minion.put_idle(sender);
                    ProxiedBody::Buffered(body)
                }
                MinionBody::Streaming { first, rest } => ProxiedBody::Streaming {
                    first,
                    rest,
                    connection: HeldConnection { permit, sender },
                },
            };
            Ok(ProxiedResponse { head, body })
        }
        Err(ExchangeError::Unsent) => Err(SendError::NotSent(ErrorKind::ConnectFailed)),
        Err(ExchangeError::Refused) => Err(SendError::NotSent(ErrorKind::MinionRefused)),
        Err(ExchangeError::ConnectionLost) => {
            minion.record_failure();
            Err(SendError::OutcomeUnknown(ErrorKind::MinionBroke))
        }
        Err(ExchangeError::InvalidResponse) => {
            minion.record_failure();
            Err(SendError::OutcomeUnknown(ErrorKind::BadAnswer))
        }
    }
}
