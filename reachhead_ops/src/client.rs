//! HTTP client with a deadline per call and a pool of idle connections per peer.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
    http::response::Parts,
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, sync::Semaphore, time};

use crate::{
    arrivals::Arrivals,
    link_delay::{CallLimit, LinkDelay},
    traffic::Traffic,
};

/// Maximum number of idle connections per peer; further ones are closed after use.
const MAX_IDLE_PER_PEER: usize = 3;

/// Maximum number of peers with idle connections of short calls; those of the least recently called
/// peer are closed first. Without it a process with thousands of peers would run out of file
/// descriptors and memory after a burst.
const MAX_IDLE_SHORT_PEERS: usize = 512;

/// Delay of a timer from which this process counts as late itself; in an idle process timers fire
/// within a few milliseconds.
const MIN_LATENESS: Duration = Duration::from_millis(20);

/// Maximum extension of a deadline because of this process's own lateness; worker leases last
/// longer than that.
const MAX_LATENESS: Duration = Duration::from_millis(2000);

/// Maximum number of concurrent short calls per peer; further ones wait, since a new connection
/// costs more than waiting for a free one. Two, so that a single unanswered call does not block all
/// others; more would cost an owner of many workers too many file descriptors in a burst.
const MAX_SHORT_CALLS: usize = 2;

/// Latency up to which an answer shows that this process's own link is not congested: well below the
/// timeout of a heartbeat, so that one that is missed at the same time was not lost on that link.
const QUICK_ANSWER: Duration = Duration::from_millis(150);

/// Number of peers with a semaphore for short calls above which those without calls in flight are
/// dropped.
const MAX_SHORT_PEERS: usize = 512;

/// Longest pause between two parts of a large answer, after which its connection counts as silent.
/// On a link that several large answers fill, each still gets a part several times a second.
pub const MAX_PART_PAUSE: Duration = Duration::from_millis(1500);

/// Longest time that a large answer may take from its head to its end, whatever arrives: a peer
/// that sends a byte a second must not occupy its caller for ever.
const MAX_LARGE_TIME: Duration = Duration::from_secs(30);

/// Why a call returned no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No byte of the request was sent: the connection was refused, so the peer's host is up but
    /// nothing listens on the port.
    #[error("nothing listens on the port: {0}")]
    PortClosed(String),
    /// The request may have been sent, and there is no complete response.
    #[error("{0}")]
    Lost(String),
    /// The request was sent, and the connection ended without a complete response: it was carried
    /// out before that or never will be.
    #[error("connection broken: {0}")]
    Broken(String),
}

type Connection = SendRequest<Full<Bytes>>;

/// An HTTP client that reuses connections.
///
/// After a timeout the call's connection and all idle ones to the same peer are closed: a
/// connection can stop delivering without a reset, and only a new one shows whether the peer is
/// alive.
#[derive(Default)]
pub struct HttpClient {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    /// Limits of the short calls in flight, by peer.
    short_calls: Mutex<HashMap<SocketAddr, Arc<Semaphore>>>,
    /// Peers with idle connections of short calls, the least recently used first.
    short_idle: Mutex<VecDeque<SocketAddr>>,
    arrivals: Arrivals,
    /// When the latest call with a quick answer was sent.
    quick_sent: Mutex<Option<time::Instant>>,
    /// Round trips of connections and short calls.
    link_delay: Mutex<LinkDelay>,
    traffic: Traffic,
}

/// End of a call, which moves with the delay of this process's own link.
struct CallEnd<'a> {
    client: &'a HttpClient,
    sent: time::Instant,
    limit: CallLimit,
}

impl CallEnd<'_> {
    fn at(&self) -> time::Instant {
        let delay = *self.client.link_delay.lock().unwrap_or_else(PoisonError::into_inner);
        self.sent + self.limit.under(delay.mean(time::Instant::now()))
    }

    /// Waits for `response` until the end of the call, or returns `None`.
    async fn wait<T>(&self, response: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(response);
        loop {
            let end = self.at();
            if let Some(response) = within_deadline(end, &mut response).await {
                return Some(response);
            }
            if self.at() <= time::Instant::now() {
                return None;
            }
        }
    }

    /// As [`CallEnd::wait`], but the lateness of this process itself does not extend it.
    async fn wait_strictly<T>(&self, response: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(response);
        loop {
            if let Ok(response) = time::timeout_at(self.at(), &mut response).await {
                return Some(response);
            }
            if self.at() <= time::Instant::now() {
                return None;
            }
        }
    }
}

impl HttpClient {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and returns the buffered response.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; `Lost` or `Broken` if any byte of the request may have been written.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let end = self.end(CallLimit::new(deadline));
        self.call_until(address, request, &end).await
    }

    /// Returns the end of a call that begins now.
    fn end(&self, limit: CallLimit) -> CallEnd<'_> {
        CallEnd { client: self, sent: time::Instant::now(), limit }
    }

    async fn call_until(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        end: &CallEnd<'_>,
    ) -> Result<Response<Bytes>, CallError> {
        let sent = time::Instant::now();
        let path = request.uri().path().to_owned();
        let (connection, head, body) = self.send(address, request, end).await?;
        let body = match end.wait(body.collect()).await {
            Some(Ok(body)) => body.to_bytes(),
            Some(Err(error)) => return Err(CallError::Broken(error.to_string())),
            None => return Err(self.timed_out(address, "no response before the deadline")),
        };
        self.traffic.record_answer(&path, body.len() as u64);
        self.record_latency(sent);
        self.put_idle(address, connection);
        Ok(Response::from_parts(head, body))
    }

    /// Sends a request whose answer may be large, and returns the buffered response.
    ///
    /// `deadline` bounds the time until the answer begins. From then on the call is bounded by its
    /// progress: a deadline for the whole answer would fail on any link that is slow enough, and
    /// each further attempt would begin at the first byte again (docs/design/large-reads.md).
    /// `on_part` is called for the head and for each part of the body.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`]; `Lost` if no byte arrived for [`MAX_PART_PAUSE`], or after 30 s in
    /// total.
    pub async fn call_large(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Duration,
        on_part: &(dyn Fn() + Send + Sync),
    ) -> Result<Response<Bytes>, CallError> {
        let sent = time::Instant::now();
        let path = request.uri().path().to_owned();
        let end = self.end(CallLimit::new(deadline));
        let (connection, head, mut body) = self.send(address, request, &end).await?;
        on_part();
        let mut arrival = head.status.is_success().then(|| self.arrivals.watch(address));
        let announced = body.size_hint().lower();
        if let Some(arrival) = &mut arrival {
            arrival.record_part(announced);
        }
        let last_end = time::Instant::now() + MAX_LARGE_TIME;
        let mut parts = BytesMut::new();
        loop {
            let end = (time::Instant::now() + MAX_PART_PAUSE).min(last_end);
            match within_deadline(end, body.frame()).await {
                Some(Some(Ok(frame))) => {
                    let part = frame.into_data().unwrap_or_default();
                    self.traffic.record_answer(&path, part.len() as u64);
                    parts.extend_from_slice(&part);
                }
                Some(Some(Err(error))) => return Err(CallError::Broken(error.to_string())),
                Some(None) => break,
                None => return Err(self.timed_out(address, "the answer stopped arriving")),
            }
            if time::Instant::now() >= last_end {
                return Err(self.timed_out(address, "the answer takes too long"));
            }
            on_part();
            if let Some(arrival) = &mut arrival {
                arrival.record_part(announced.max(parts.len() as u64));
            }
        }
        self.record_latency(sent);
        self.put_idle(address, connection);
        Ok(Response::from_parts(head, parts.freeze()))
    }

    /// Sends a request and returns its connection with the head and the body of the response, unless
    /// the head does not arrive until `end`.
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        end: &CallEnd<'_>,
    ) -> Result<(Connection, Parts, Incoming), CallError> {
        let mut request = request;
        let size = request.body().size_hint().lower();
        let path = request.uri().path().to_owned();
        loop {
            let (mut connection, is_reused) = match self.take(address) {
                Some(connection) => (connection, true),
                None => (self.connect(address, end).await?, false),
            };
            self.traffic.record_request(&path, size);
            match end.wait(exchange(&mut connection, request)).await {
                Some(Ok(response)) => {
                    let (head, body) = response.into_parts();
                    return Ok((connection, head, body));
                }
                Some(Err(Failure::Unsent(unsent))) if is_reused => request = *unsent,
                Some(Err(Failure::Unsent(_))) => {
                    return Err(CallError::NotSent("the peer closed the connection".to_owned()));
                }
                Some(Err(Failure::Broken(error))) => return Err(CallError::Broken(error)),
                None => return Err(self.timed_out(address, "no response before the deadline")),
            }
        }
    }

    /// Closes the idle connections to a peer after a timeout.
    fn timed_out(&self, address: SocketAddr, reason: &str) -> CallError {
        self.close_idle(address);
        CallError::Lost(reason.to_owned())
    }

    /// Sends a request that the peer answers at once, with a limit on concurrent short calls to
    /// that peer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`]; the wait for earlier calls counts against the limit.
    pub async fn call_short(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: CallLimit,
    ) -> Result<Response<Bytes>, CallError> {
        let end = self.end(limit);
        let semaphore = self.semaphore(address);
        let Some(Ok(_permit)) = end.wait_strictly(semaphore.acquire()).await else {
            return Err(CallError::NotSent(
                "earlier calls to the peer are still unanswered".to_owned(),
            ));
        };
        let begun = time::Instant::now();
        let response = self.call_until(address, request, &end).await;
        if response.is_ok() {
            self.record_round_trip(begun);
            self.record_short_idle(address);
        }
        response
    }

    /// Records an idle connection of a short call, and closes those of the least recently used peer
    /// beyond the limit.
    fn record_short_idle(&self, address: SocketAddr) {
        let oldest = {
            let mut idle = self.short_idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.retain(|other| *other != address);
            idle.push_back(address);
            if idle.len() > MAX_IDLE_SHORT_PEERS { idle.pop_front() } else { None }
        };
        if let Some(oldest) = oldest {
            self.close_idle(oldest);
        }
    }

    /// Returns the semaphore that limits short calls to a peer.
    fn semaphore(&self, address: SocketAddr) -> Arc<Semaphore> {
        let mut short_calls = self.short_calls.lock().unwrap_or_else(PoisonError::into_inner);
        if short_calls.len() > MAX_SHORT_PEERS {
            short_calls.retain(|_, semaphore| Arc::strong_count(semaphore) > 1);
        }
        let semaphore =
            short_calls.entry(address).or_insert_with(|| Arc::new(Semaphore::new(MAX_SHORT_CALLS)));
        Arc::clone(semaphore)
    }

    async fn connect(
        &self,
        address: SocketAddr,
        end: &CallEnd<'_>,
    ) -> Result<Connection, CallError> {
        let begun = time::Instant::now();
        self.traffic.record_connection();
        let result = match end.wait_strictly(connect(address)).await {
            Some(result) => result,
            None => Err(CallError::NotSent("no connection before the deadline".to_owned())),
        };
        if matches!(result, Err(CallError::PortClosed(_))) {
            self.record_latency(begun);
        }
        if result.is_ok() {
            self.record_round_trip(begun);
        }
        result
    }

    /// Records a round trip that ends now: the making of a connection, or a call that the peer
    /// answers at once.
    fn record_round_trip(&self, begun: time::Instant) {
        let now = time::Instant::now();
        let mut delay = self.link_delay.lock().unwrap_or_else(PoisonError::into_inner);
        delay.record(now - begun, now);
    }

    /// Returns the mean round trip of the latest connections and short calls, if there were any
    /// within a second.
    pub fn link_delay(&self) -> Option<Duration> {
        let delay = *self.link_delay.lock().unwrap_or_else(PoisonError::into_inner);
        delay.mean(time::Instant::now())
    }

    /// Returns the traffic of this client's calls.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn record_latency(&self, sent: time::Instant) {
        if sent.elapsed() <= QUICK_ANSWER {
            let mut last = self.quick_sent.lock().unwrap_or_else(PoisonError::into_inner);
            *last = (*last).max(Some(sent));
        }
    }

    /// Returns how long ago the latest call was sent that any peer answered quickly.
    pub fn quick_answer_age(&self) -> Option<Duration> {
        let last = *self.quick_sent.lock().unwrap_or_else(PoisonError::into_inner);
        last.map(|sent| sent.elapsed())
    }

    /// Returns the large answers that are arriving.
    pub fn arrivals(&self) -> &Arrivals {
        &self.arrivals
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.idle().get_mut(&address)?.pop()
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_PEER && !connection.is_closed() {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle().remove(&address);
    }
}

/// Why an exchange on a connection failed.
enum Failure {
    /// The request was not sent and is returned.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection broke after the request was handed to it.
    Broken(String),
}

/// Waits for `response` until `end`, extended by the lateness of this process itself, and returns
/// `None` on a timeout.
///
/// A response that arrived in time but was read late is not lost; otherwise a busy owner would take
/// all its workers for unreachable at once.
pub async fn within_deadline<T>(
    end: time::Instant,
    response: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(response);
    let mut end = end;
    let last = end + MAX_LATENESS;
    loop {
        if let Ok(response) = time::timeout_at(end, &mut response).await {
            return Some(response);
        }
        let lateness = end.elapsed();
        if lateness < MIN_LATENESS || end >= last {
            return None;
        }
        end = (time::Instant::now() + lateness).min(last);
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let connecting = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok::<_, io::Error>(stream)
    };
    let stream = match connecting.await {
        Ok(stream) => stream,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(CallError::PortClosed(error.to_string()));
        }
        Err(error) => return Err(CallError::NotSent(error.to_string())),
    };
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    // A connection error is reported by the exchange that it interrupts.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Failure> {
    if connection.ready().await.is_err() {
        return Err(Failure::Unsent(Box::new(request)));
    }
    connection.try_send_request(request).await.map_err(|mut error| match error.take_message() {
        Some(request) => Failure::Unsent(Box::new(request)),
        None => Failure::Broken(error.into_error().to_string()),
    })
}
