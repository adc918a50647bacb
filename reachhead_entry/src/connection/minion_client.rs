//! HTTP/1 client for minions, with one request at a time on each connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
    header,
    http::response,
};
use hyper_util::rt::TokioIo;
use log::debug;
use reachhead_types::error::REFUSED_HEADER;
use tokio::{net::TcpStream, task::spawn_local, time};

/// The request side of a connection to a minion.
pub type Sender = SendRequest<Full<Bytes>>;

/// The response of a minion.
pub struct MinionResponse {
    /// Status and header fields.
    pub head: response::Parts,
    /// The body.
    pub body: MinionBody,
}

/// The response body of a minion.
pub enum MinionBody {
    /// The complete body; the connection can be used for the next request.
    Buffered(Bytes),
    /// A body above the buffer limit, which is still being received.
    Streaming {
        /// The bytes received so far.
        first: Bytes,
        /// The remaining body.
        rest: Incoming,
    },
}

/// Why a request got no usable response.
pub enum ExchangeError {
    /// No byte of the request was passed to the connection.
    Unsent,
    /// The connection failed after the request was passed to it.
    ConnectionLost,
    /// The response is malformed, or a truncated body could not be detected.
    InvalidResponse,
    /// The response has the header by which a minion declares that it did not and will not run the
    /// request.
    Refused,
}

/// Connects to a minion; returns `None` on an error or after `connect_timeout`.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> Option<Sender> {
    let connected = time::timeout(connect_timeout, TcpStream::connect(address)).await;
    let stream = connected.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            debug!("minion connection to {address} failed: {error}");
        }
    });
    Some(sender)
}

/// Sends `request` and receives the response; bodies of up to `buffer_limit` bytes are buffered.
pub async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    buffer_limit: usize,
) -> Result<MinionResponse, ExchangeError> {
    let method = request.method().clone();
    if sender.ready().await.is_err() {
        return Err(ExchangeError::Unsent);
    }
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return Err(match error.take_message() {
                Some(_) => ExchangeError::Unsent,
                None if error.error().is_parse() => ExchangeError::InvalidResponse,
                None => ExchangeError::ConnectionLost,
            });
        }
    };
    if response.headers().contains_key(REFUSED_HEADER) {
        return Err(ExchangeError::Refused);
    }
    if !has_body_framing(&method, &response) {
        return Err(ExchangeError::InvalidResponse);
    }
    let (head, body) = response.into_parts();
    let body = collect_body(body, buffer_limit).await?;
    Ok(MinionResponse { head, body })
}

/// Returns whether a truncated body would be detected: it is empty, has a length or is chunked.
fn has_body_framing(method: &Method, response: &Response<Incoming>) -> bool {
    let status = response.status();
    let is_empty = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let has = |name: header::HeaderName| response.headers().contains_key(name);
    !status.is_informational()
        && (is_empty || has(header::CONTENT_LENGTH) || has(header::TRANSFER_ENCODING))
}

async fn collect_body(
    mut body: Incoming,
    buffer_limit: usize,
) -> Result<MinionBody, ExchangeError> {
    if body.size_hint().lower() > buffer_limit as u64 {
        return Ok(MinionBody::Streaming { first: Bytes::new(), rest: body });
    }
    let mut chunks = Vec::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ExchangeError::ConnectionLost)?;
        // Trailers are dropped: like the transfer coding, they belong to this connection only.
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        length += chunk.len();
        chunks.push(chunk);
        if length > buffer_limit {
            return Ok(MinionBody::Streaming { first: concat_chunks(chunks), rest: body });
        }
    }
    Ok(MinionBody::Buffered(concat_chunks(chunks)))
}

fn concat_chunks(mut chunks: Vec<Bytes>) -> Bytes {
    match chunks.len() {
        0 => Bytes::new(),
        1 => chunks.swap_remove(0),
        _ => chunks.concat().into(),
    }
}

/// Returns whether the response has `connection: close`, which a minion sends before it shuts down.
pub fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}
