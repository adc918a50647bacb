//! Calls over HTTP with a deadline each, on connections that are kept and dropped by peer.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, sync::Semaphore, time};

/// Idle connections that are kept to one peer; more are closed after use.
const IDLE_LIMIT: usize = 3;

/// Peers to which connections of short calls are kept idle; those to the peer that was called longest ago are closed first. A
/// process with thousands of peers would run out of descriptors and memory after a burst.
const SHORT_PEERS: usize = 512;

/// How late a timer has to fire for this process to count as late itself; timers of an idle one fire within a few.
const LATENESS_LEAST: Duration = Duration::from_millis(20);

/// The longest that lateness prolongs the wait for an answer. Leases of workers outlast it.
const LATENESS_MOST: Duration = Duration::from_millis(2000);

/// Short calls to one peer that are under way at once; more wait, since a new connection costs more than the
/// moment until one is free. Two, so that one call without an answer does not hold all others up; more cost an owner
/// of many workers descriptors in a burst.
const SHORT_LIMIT: usize = 2;

/// Peers with short calls that are remembered before those without any under way are dropped.
const PEERS_KEPT: usize = 512;

/// Why a call gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing of the call was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing of the call was sent: the peer's host answers that nobody listens at the address.
    #[error("nobody listens there: {0}")]
    PortClosed(String),
    /// The call was sent, and there is no whole answer.
    #[error("{0}")]
    Lost(String),
    /// The call was sent, and its connection ended without a whole answer: it was carried out before that or never.
    #[error("the connection broke: {0}")]
    Broken(String),
}

type Connection = SendRequest<Full<Bytes>>;

/// A client that keeps connections open.
///
/// A connection on which a call timed out is closed, and with it the idle ones to the same peer:
/// connections can fall silent for good without a reset, and only a new one shows whether the peer
/// lives.
#[derive(Default)]
pub struct HttpClient {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    short: Mutex<HashMap<SocketAddr, Arc<Semaphore>>>,
    /// Peers to which connections of short calls are idle, the one used longest ago first.
    short_idle: Mutex<VecDeque<SocketAddr>>,
}

impl HttpClient {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and returns its whole answer.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; `Lost` or `Broken` unless no byte of the request was written.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let end = time::Instant::now() + deadline;
        let mut request = request;
        loop {
            let (mut connection, kept) = match self.take(address) {
                Some(connection) => (connection, true),
                None => (connect(address, end).await?, false),
            };
            match in_time(end, exchange(&mut connection, request)).await {
                Some(Ok(answer)) => {
                    self.keep(address, connection);
                    return Ok(answer);
                }
                Some(Err(Failure::Unsent(back))) if kept => request = *back,
                Some(Err(Failure::Unsent(_))) => {
                    return Err(CallError::NotSent("the peer closed the connection".to_owned()));
                }
                Some(Err(Failure::Broken(error))) => return Err(CallError::Broken(error)),
                None => {
                    self.close_idle(address);
                    return Err(CallError::Lost("no answer before the deadline".to_owned()));
                }
            }
        }
    }

    /// Sends a request that is answered at once, as [`HttpClient::call`], beside few others to the same peer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`]; the wait for the others counts against the deadline.
    pub async fn call_short(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let end = time::Instant::now() + deadline;
        let lane = self.lane(address);
        let Ok(Ok(_permit)) = time::timeout_at(end, lane.acquire()).await else {
            return Err(CallError::NotSent("earlier calls to the peer have no answer".to_owned()));
        };
        let left = end.saturating_duration_since(time::Instant::now());
        let answer = self.call(address, request, left).await;
        if answer.is_ok() {
            self.bound_short(address);
        }
        answer
    }

    /// Notes that a connection of a short call is idle, and closes another if there are too many.
    fn bound_short(&self, address: SocketAddr) {
        let oldest = {
            let mut idle = self.short_idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.retain(|other| *other != address);
            idle.push_back(address);
            if idle.len() > SHORT_PEERS { idle.pop_front() } else { None }
        };
        if let Some(oldest) = oldest {
            self.close_idle(oldest);
        }
    }

    /// Returns what short calls to a peer wait for.
    fn lane(&self, address: SocketAddr) -> Arc<Semaphore> {
        let mut short = self.short.lock().unwrap_or_else(PoisonError::into_inner);
        if short.len() > PEERS_KEPT {
            short.retain(|_, lane| Arc::strong_count(lane) > 1);
        }
        let lane = short.entry(address).or_insert_with(|| Arc::new(Semaphore::new(SHORT_LIMIT)));
        Arc::clone(lane)
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.idle().get_mut(&address)?.pop()
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle();
        let kept = idle.entry(address).or_default();
        if kept.len() < IDLE_LIMIT && !connection.is_closed() {
            kept.push(connection);
        }
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle().remove(&address);
    }
}

enum Failure {
    /// The request was not sent and is given back.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection broke after the request was handed to it.
    Broken(String),
}

/// Waits for an answer until `end`, and longer by as much as this process is late itself: an answer that came in time and
/// could not be read in time is no lost one. An owner with much to do would else take all its workers for silent at once.
/// `None` if there is no answer.
async fn in_time<T>(end: time::Instant, answer: impl Future<Output = T>) -> Option<T> {
    tokio::pin!(answer);
    let mut end = end;
    let last = end + LATENESS_MOST;
    loop {
        if let Ok(answer) = time::timeout_at(end, &mut answer).await {
            return Some(answer);
        }
        let late = end.elapsed();
        if late < LATENESS_LEAST || end >= last {
            return None;
        }
        end = (time::Instant::now() + late).min(last);
    }
}

async fn connect(address: SocketAddr, end: time::Instant) -> Result<Connection, CallError> {
    let connecting = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok::<_, io::Error>(stream)
    };
    let stream = match time::timeout_at(end, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(CallError::PortClosed(error.to_string()));
        }
        Ok(Err(error)) => return Err(CallError::NotSent(error.to_string())),
        Err(_) => return Err(CallError::NotSent("no connection before the deadline".to_owned())),
    };
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    // What breaks the connection is told by the exchange that it breaks.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, Failure> {
    if connection.ready().await.is_err() {
        return Err(Failure::Unsent(Box::new(request)));
    }
    let response = match connection.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return Err(match error.take_message() {
                Some(request) => Failure::Unsent(Box::new(request)),
                None => Failure::Broken(error.into_error().to_string()),
            });
        }
    };
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| Failure::Broken(error.to_string()))?;
    Ok(Response::from_parts(head, body.to_bytes()))
}
