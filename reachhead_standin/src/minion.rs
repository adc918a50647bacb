//! Minion that counts its requests, with faults scripted by request headers or through [`FAULT_PATH`].

use std::{
    collections::BTreeMap,
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures::{future, stream, stream::StreamExt};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use reachhead_ops::{http, runtime};
use reachhead_types::error::{KEY_HEADER, REFUSED_HEADER};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

/// Request header: processing time of this request, in milliseconds.
const WORK_HEADER: &str = "standin-work";

/// Request header: number of bytes after which the response body is cut off.
const CUT_HEADER: &str = "standin-cut";

/// Request header: length of the response body, in bytes.
const SIZE_HEADER: &str = "standin-size";

/// Request header: status code of the response.
const STATUS_HEADER: &str = "standin-status";

/// Request header: sends the response body chunked, without a content length.
const CHUNKED_HEADER: &str = "standin-chunked";

/// Path that returns the counters.
const COUNT_PATH: &str = "/standin/count";

/// Path that sets the faults of all further requests.
const FAULT_PATH: &str = "/standin/fault";

type Body = BoxBody<Bytes, io::Error>;

/// Faults injected into every request; posted to [`FAULT_PATH`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Additional processing time, in milliseconds.
    work: u64,
    /// Requests are refused with [`REFUSED_HEADER`] and do not run.
    refuse: bool,
    /// Requests run, then the connection is dropped without a response.
    drop: bool,
    /// Requests run and are answered with status 500.
    fail: bool,
    /// Responses carry `connection: close`, as of a minion that is shutting down.
    leaving: bool,
}

/// Counters of a minion, as [`COUNT_PATH`] returns them.
#[derive(Debug, Default, Clone, Serialize)]
struct Counts {
    /// Requests that ran.
    ran: u64,
    /// Requests refused with [`REFUSED_HEADER`].
    refused: u64,
    /// Requests running now.
    running: usize,
    /// Maximum of `running`.
    most_running: usize,
    /// Connections open now.
    connections: usize,
    /// Maximum of `connections`.
    most_connections: usize,
    /// Requests that ran, by idempotency key.
    by_key: BTreeMap<String, u64>,
    /// Requests that ran, by the first segment of the path (the group).
    by_path: BTreeMap<String, u64>,
}

struct Minion {
    name: SocketAddr,
    work: Duration,
    slots: usize,
    counts: Mutex<Counts>,
    fault: Mutex<Fault>,
}

/// Guard that counts an open connection.
struct OpenConnection(Arc<Minion>);

impl OpenConnection {
    fn new(minion: Arc<Minion>) -> Self {
        let mut counts = minion.counts();
        counts.connections += 1;
        counts.most_connections = counts.most_connections.max(counts.connections);
        drop(counts);
        Self(minion)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.counts().connections -= 1;
    }
}

/// Guard that counts a running request, also when its connection is dropped meanwhile.
struct RunningRequest<'m>(&'m Minion);

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.0.counts().running -= 1;
    }
}

impl Minion {
    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fault(&self) -> MutexGuard<'_, Fault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits and counts a request, or returns `None` if it is refused.
    fn try_start(&self, key: Option<&str>, path: &str) -> Option<RunningRequest<'_>> {
        let refuse = self.fault().refuse;
        let mut counts = self.counts();
        if refuse || counts.running >= self.slots {
            counts.refused += 1;
            return None;
        }
        counts.running += 1;
        counts.most_running = counts.most_running.max(counts.running);
        counts.ran += 1;
        if let Some(key) = key {
            *counts.by_key.entry(key.to_owned()).or_default() += 1;
        }
        let segment = path.split('/').nth(1).unwrap_or_default();
        *counts.by_path.entry(segment.to_owned()).or_default() += 1;
        Some(RunningRequest(self))
    }

    async fn handle(&self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let path = head.uri.path();
        match path {
            COUNT_PATH => return Ok(boxed(http::json(StatusCode::OK, &*self.counts()))),
            FAULT_PATH => {
                *self.fault() = serde_json::from_slice(&body)?;
                return Ok(boxed(http::text(StatusCode::OK, "set\n")));
            }
            _ => {}
        }
        let key = head.headers.get(KEY_HEADER).and_then(|key| key.to_str().ok());
        let Some(_running) = self.try_start(key, path) else {
            let mut response = http::text(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
            response.headers_mut().insert(REFUSED_HEADER, HeaderValue::from_static("1"));
            return Ok(boxed(response));
        };
        let fault = self.fault().clone();
        let work =
            numeric_header(&head.headers, WORK_HEADER).map_or(self.work, Duration::from_millis);
        let work = work + Duration::from_millis(fault.work);
        if !work.is_zero() {
            time::sleep(work).await;
        }
        if fault.drop {
            return Err(io::Error::other("connection dropped by an injected fault"));
        }
        let mut response = self.build_response(&head.headers, path, &body);
        if fault.fail {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        if fault.leaving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }

    fn build_response(&self, headers: &HeaderMap, path: &str, body: &Bytes) -> Response<Body> {
        let text = match numeric_header(headers, SIZE_HEADER) {
            Some(size) => (0..size).map(|i| b'a' + (i % 26) as u8).collect(),
            None => format!("{} {path} {}", self.name, String::from_utf8_lossy(body)).into_bytes(),
        };
        let length = text.len();
        let cut = numeric_header(headers, CUT_HEADER).map(|cut| cut as usize);
        let is_chunked = headers.contains_key(CHUNKED_HEADER);
        let mut response = match (cut, is_chunked) {
            (None, false) => Response::new(Full::new(text.into()).map_err(infallible).boxed()),
            (cut, _) => Response::new(chunked_body(text, cut)),
        };
        if cut.is_some() && !is_chunked {
            response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        if let Some(status) = numeric_header(headers, STATUS_HEADER) {
            let status = StatusCode::from_u16(status as u16).unwrap_or(StatusCode::OK);
            *response.status_mut() = status;
        }
        response
    }
}

/// Returns a body of two chunks, cut off with an error after `cut` bytes if given.
fn chunked_body(text: Vec<u8>, cut: Option<usize>) -> Body {
    let body = Bytes::from(text);
    let end = cut.unwrap_or(body.len()).min(body.len());
    let half = end / 2;
    let parts = [body.slice(..half), body.slice(half..end)];
    let sent = stream::iter(parts).map(|part| Ok(Frame::data(part)));
    let cut_off = stream::iter(cut).then(|_| async {
        // Gives the bytes written so far time to leave the process before the connection breaks.
        time::sleep(Duration::from_millis(5)).await;
        Err(io::Error::other("response cut off by an injected fault"))
    });
    BodyExt::boxed(StreamBody::new(sent.chain(cut_off)))
}

fn boxed(response: http::BufferedResponse) -> Response<Body> {
    response.map(|body| body.map_err(infallible).boxed())
}

fn infallible(error: Infallible) -> io::Error {
    match error {}
}

fn numeric_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Serves a minion on each of `addresses` until the process receives a shutdown signal.
pub async fn run(addresses: &[SocketAddr], work: u64, slots: usize) -> io::Result<()> {
    let (stop, stopped) = watch::channel(false);
    let mut servers = Vec::new();
    for &address in addresses {
        let listener = http::listen(address).await?;
        let minion = Arc::new(Minion {
            name: address,
            work: Duration::from_millis(work),
            slots,
            counts: Mutex::default(),
            fault: Mutex::default(),
        });
        servers.push(tokio::spawn(serve(listener, minion, stopped.clone())));
    }
    runtime::shutdown_signal().await?;
    stop.send_replace(true);
    future::join_all(servers).await;
    Ok(())
}

async fn serve(listener: TcpListener, minion: Arc<Minion>, mut stopped: watch::Receiver<bool>) {
    let (alive, alive_guard) = watch::channel(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = runtime::wait_for_stop(&mut stopped) => break,
        };
        if let Ok((stream, _)) = accepted {
            let open_connection = OpenConnection::new(Arc::clone(&minion));
            tokio::spawn(serve_connection(
                stream,
                open_connection,
                stopped.clone(),
                alive_guard.clone(),
            ));
        }
    }
    drop((listener, alive_guard));
    alive.closed().await;
}

async fn serve_connection(
    stream: TcpStream,
    open_connection: OpenConnection,
    mut stopped: watch::Receiver<bool>,
    _alive_guard: watch::Receiver<()>,
) {
    let _ = stream.set_nodelay(true);
    let minion = Arc::clone(&open_connection.0);
    let service = service_fn(move |request| {
        let minion = Arc::clone(&minion);
        async move { minion.handle(request).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let is_stopped = tokio::select! {
        _ = connection.as_mut() => false,
        () = runtime::wait_for_stop(&mut stopped) => true,
    };
    if is_stopped {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
