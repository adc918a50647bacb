//! Requests and responses with buffered bodies, and what handles them.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes as BodyBytes;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::{
    Method, Response, StatusCode,
    header::{self, HeaderMap, HeaderValue},
    http::request::Parts,
};
use reachhead_types::{
    error::{ErrorKind, KIND_HEADER, OUTCOME_HEADER},
    size::Bytes,
};
use serde::Serialize;
use serde_json::json;
use tokio::{net::TcpListener, sync::watch};

use crate::{connections::ConnectionTimes, server::Server};

/// Maximum size of a request head by default.
const DEFAULT_HEAD: Bytes = Bytes(16 << 10);

/// A request with its complete body.
#[derive(Debug)]
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The query string without the question mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: BodyBytes,
}

/// A response with its complete body.
pub type BufferedResponse = Response<Full<BodyBytes>>;

/// Limits of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionRules {
    /// Maximum size of a request head.
    pub head: Bytes,
    /// Time limits.
    pub times: ConnectionTimes,
}

impl Default for ConnectionRules {
    fn default() -> Self {
        Self { head: DEFAULT_HEAD, times: ConnectionTimes::default() }
    }
}

/// Limits of a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyRules {
    /// Maximum size.
    pub limit: Bytes,
    /// Time for the body to arrive, if the client waits for less than the connection's limit.
    pub time: Option<Duration>,
}

impl Default for BodyRules {
    fn default() -> Self {
        Self { limit: Bytes(u64::MAX), time: None }
    }
}

/// A request handler.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to `request`.
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse>;

    /// Returns the limits of a new connection.
    fn connection_rules(&self) -> ConnectionRules {
        ConnectionRules::default()
    }

    /// Returns the limits of the body of a request with this head. The listener's own limit holds as well.
    fn body_rules(&self, _head: &Parts) -> BodyRules {
        BodyRules::default()
    }

    /// Returns an upper bound of the memory that handling a request takes besides its body.
    fn working_memory(&self, _request: &BufferedRequest) -> Bytes {
        Bytes(0)
    }

    /// Returns the answer to a request that the listener refuses.
    fn refusal(&self, kind: ErrorKind) -> BufferedResponse {
        refusal(kind, kind.answer().retry_after)
    }
}

/// Returns a response with `value` as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> BufferedResponse {
    match serde_json::to_vec(value) {
        Ok(body) => with_content_type(status, "application/json", body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Returns a response with `body` as plain text.
pub fn text(status: StatusCode, body: &str) -> BufferedResponse {
    with_content_type(status, "text/plain; charset=utf-8", body.to_owned().into_bytes())
}

/// Returns a response with `body` and the media type `content_type`.
pub fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
) -> BufferedResponse {
    let mut response = Response::new(Full::new(BodyBytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Returns the answer to a request that is refused for this reason; see docs/OUTCOMES.md.
pub fn refusal(kind: ErrorKind, retry_after: Option<u32>) -> BufferedResponse {
    let answer = kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &json!({ "error": kind.as_str() }));
    let headers = response.headers_mut();
    headers.insert(KIND_HEADER, HeaderValue::from_static(kind.as_str()));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(answer.outcome.as_str()));
    if let Some(seconds) = retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Serves `handler` on `listener` with default limits until `stop` turns true, then waits for requests in
/// flight.
///
/// Larger request bodies than `body_limit` bytes are rejected.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    body_limit: usize,
    stop: watch::Receiver<bool>,
) {
    Server::new(handler).with_body_limit(Bytes(body_limit as u64)).serve(listener, stop).await;
}

/// Binds a listener to `address`.
///
/// # Errors
///
/// Returns the system's error, with the address in its message.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        io::Error::new(error.kind(), format!("can't listen on {address}: {error}"))
    })
}
