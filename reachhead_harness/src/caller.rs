//! HTTP client that sends one request per connection and reports incomplete responses as such.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP request to send.
#[derive(Debug, Clone)]
pub struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// Response as far as it was received.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status; 0 if the connection broke before the response head.
    pub status: u16,
    /// Header fields.
    pub headers: BTreeMap<String, String>,
    /// Body as far as it was received, with invalid UTF-8 replaced.
    pub body: String,
    /// Whether the whole body was received.
    pub is_complete: bool,
}

impl Call {
    /// Returns a GET of `path`.
    pub fn get(path: &str) -> Self {
        Self { method: "GET", path: path.to_owned(), headers: Vec::new(), body: String::new() }
    }

    /// Returns a POST of `body` to `path`.
    pub fn post(path: &str, body: &str) -> Self {
        Self { method: "POST", body: body.to_owned(), ..Self::get(path) }
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// Adds an idempotency key.
    pub fn with_key(self, key: &str) -> Self {
        self.with_header("idempotency-key", key)
    }
}

impl Reply {
    /// Returns a header field; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the outcome of the request that the system reports; empty if there is none.
    pub fn outcome(&self) -> &str {
        self.header("reachhead-outcome")
    }

    /// Returns the kind of error that the system reports; empty if there is none.
    pub fn error(&self) -> &str {
        self.header("reachhead-error")
    }

    /// Returns the reply for a connection that broke before the response head.
    fn broken() -> Self {
        Self { status: 0, headers: BTreeMap::new(), body: String::new(), is_complete: false }
    }
}

/// Sends `call` to `address` on a new connection.
///
/// # Panics
///
/// If the response takes longer than 60 s.
pub async fn call(address: SocketAddr, call: &Call) -> Reply {
    match time::timeout(CALL_TIMEOUT, exchange(address, call)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) => Reply::broken(),
        Err(_) => panic!("no response to {call:?} from {address} within 60 s"),
    }
}

async fn exchange(
    address: SocketAddr,
    call: &Call,
) -> Result<Reply, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(call.method).uri(&call.path).header("host", "test");
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    let request = request.body(Full::new(Bytes::from(call.body.clone())))?;
    let response = sender.send_request(request).await?;
    let mut reply = Reply { status: response.status().as_u16(), ..Reply::broken() };
    for (name, value) in response.headers() {
        reply.headers.insert(name.to_string(), value.to_str()?.to_owned());
    }
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    reply.is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Err(_) => {
                reply.is_complete = false;
                break;
            }
        }
    }
    reply.body = String::from_utf8_lossy(&bytes).into_owned();
    Ok(reply)
}
