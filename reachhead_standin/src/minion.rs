//! A minion that counts what it ran, with faults scripted by the request's own header fields.

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

/// Request field: milliseconds that this request takes.
const WORK_FIELD: &str = "standin-work";

/// Request field: the body is cut off after this many bytes.
const CUT_FIELD: &str = "standin-cut";

/// Request field: the answer has this many bytes.
const SIZE_FIELD: &str = "standin-size";

/// Request field: the answer has this status.
const STATUS_FIELD: &str = "standin-status";

/// Request field: the answer is sent in chunks, without a length.
const CHUNKED_FIELD: &str = "standin-chunked";

/// Path of the counts.
const COUNT_PATH: &str = "/standin/count";

/// Path on which the behaviour of all further requests is set.
const FAULT_PATH: &str = "/standin/fault";

type Body = BoxBody<Bytes, io::Error>;

/// What a minion does wrong with every request; posted to [`FAULT_PATH`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Milliseconds that each request takes longer.
    work: u64,
    /// Every request is refused by contract and not run.
    refuse: bool,
    /// Every request is run, then the connection is dropped without an answer.
    drop: bool,
    /// Every request is run and answered with 500.
    fail: bool,
    /// Every answer says that the minion is going away.
    leaving: bool,
}

/// What a minion counted, as [`COUNT_PATH`] gives it.
#[derive(Debug, Default, Clone, Serialize)]
struct Counts {
    /// Requests that ran.
    ran: u64,
    /// Requests that were refused by contract.
    refused: u64,
    /// Requests that run now.
    running: usize,
    /// Most requests that ran at once.
    most_running: usize,
    /// Connections that are open now.
    connections: usize,
    /// Most connections that were open at once.
    most_connections: usize,
    /// Runs by idempotency key.
    by_key: BTreeMap<String, u64>,
    /// Runs by group of the path's first segment.
    by_path: BTreeMap<String, u64>,
}

struct Minion {
    name: SocketAddr,
    work: Duration,
    slots: usize,
    counts: Mutex<Counts>,
    fault: Mutex<Fault>,
}

/// Counts a connection as long as it lives.
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

/// Counts a request as long as it runs, also when its connection is dropped.
struct Running<'m>(&'m Minion);

impl Drop for Running<'_> {
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

    fn start(&self, key: Option<&str>, path: &str) -> Option<Running<'_>> {
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
        Some(Running(self))
    }

    async fn answer(&self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let path = head.uri.path();
        match path {
            COUNT_PATH => return Ok(whole(http::json(StatusCode::OK, &*self.counts()))),
            FAULT_PATH => {
                *self.fault() = serde_json::from_slice(&body)?;
                return Ok(whole(http::text(StatusCode::OK, "set\n")));
            }
            _ => {}
        }
        let key = head.headers.get(KEY_HEADER).and_then(|key| key.to_str().ok());
        let Some(_running) = self.start(key, path) else {
            let mut response = http::text(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
            response.headers_mut().insert(REFUSED_HEADER, HeaderValue::from_static("1"));
            return Ok(whole(response));
        };
        let fault = self.fault().clone();
        let work = number(&head.headers, WORK_FIELD).map_or(self.work, Duration::from_millis);
        let work = work + Duration::from_millis(fault.work);
        if !work.is_zero() {
            time::sleep(work).await;
        }
        if fault.drop {
            return Err(io::Error::other("dropped on purpose"));
        }
        let mut response = self.respond(&head.headers, path, &body);
        if fault.fail {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        if fault.leaving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }

    fn respond(&self, headers: &HeaderMap, path: &str, body: &Bytes) -> Response<Body> {
        let text = match number(headers, SIZE_FIELD) {
            Some(size) => (0..size).map(|i| b'a' + (i % 26) as u8).collect(),
            None => format!("{} {path} {}", self.name, String::from_utf8_lossy(body)).into_bytes(),
        };
        let length = text.len();
        let cut = number(headers, CUT_FIELD).map(|cut| cut as usize);
        let is_chunked = headers.contains_key(CHUNKED_FIELD);
        let mut response = match (cut, is_chunked) {
            (None, false) => Response::new(Full::new(text.into()).map_err(never).boxed()),
            (cut, _) => Response::new(pieces(text, cut)),
        };
        if cut.is_some() && !is_chunked {
            response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        if let Some(status) = number(headers, STATUS_FIELD) {
            let status = StatusCode::from_u16(status as u16).unwrap_or(StatusCode::OK);
            *response.status_mut() = status;
        }
        response
    }
}

/// Returns a body in two pieces that breaks off after `cut` bytes.
fn pieces(text: Vec<u8>, cut: Option<usize>) -> Body {
    let whole = Bytes::from(text);
    let end = cut.unwrap_or(whole.len()).min(whole.len());
    let half = end / 2;
    let parts = [whole.slice(..half), whole.slice(half..end)];
    let sent = stream::iter(parts).map(|part| Ok(Frame::data(part)));
    let broken = stream::iter(cut).then(|_| async {
        // What was written before must have left the process before the connection breaks.
        time::sleep(Duration::from_millis(5)).await;
        Err(io::Error::other("cut off on purpose"))
    });
    BodyExt::boxed(StreamBody::new(sent.chain(broken)))
}

fn whole(response: http::BufferedResponse) -> Response<Body> {
    response.map(|body| body.map_err(never).boxed())
}

fn never(error: Infallible) -> io::Error {
    match error {}
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Serves a minion on each of `addresses` until a shutdown is asked for.
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
    let (alive, all_done) = watch::channel(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = runtime::wait_for_stop(&mut stopped) => break,
        };
        if let Ok((stream, _)) = accepted {
            let open = OpenConnection::new(Arc::clone(&minion));
            tokio::spawn(connection(stream, open, stopped.clone(), all_done.clone()));
        }
    }
    drop((listener, all_done));
    alive.closed().await;
}

async fn connection(
    stream: TcpStream,
    open: OpenConnection,
    mut stopped: watch::Receiver<bool>,
    _alive: watch::Receiver<()>,
) {
    let _ = stream.set_nodelay(true);
    let minion = Arc::clone(&open.0);
    let service = service_fn(move |request| {
        let minion = Arc::clone(&minion);
        async move { minion.answer(request).await }
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
