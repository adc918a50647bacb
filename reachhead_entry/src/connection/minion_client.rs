//! Connections to minions: one request at a time on each, and what an exchange can end in.

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

/// The sending end of a connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// A minion's answer.
pub struct Answer {
    /// Status and header fields.
    pub head: response::Parts,
    /// The body.
    pub body: AnswerBody,
}

/// A minion's body.
pub enum AnswerBody {
    /// All of it; the connection may serve the next request.
    Whole(Bytes),
    /// The first part, and the rest as it comes.
    Streaming {
        /// What has arrived.
        first: Bytes,
        /// What has not.
        rest: Incoming,
    },
}

/// Why an exchange gave no answer.
pub enum ExchangeError {
    /// No byte of the request was handed to the connection.
    Unsent,
    /// The connection broke after the request was handed to it.
    Broke,
    /// The answer can't be trusted to be whole.
    BadAnswer,
    /// The minion refused the request by contract: it did not and will not run it.
    Refused,
}

/// Connects to a minion.
pub async fn connect(address: SocketAddr, limit: Duration) -> Option<Sender> {
    let connected = time::timeout(limit, TcpStream::connect(address)).await;
    let stream = connected.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            debug!("a connection to {address} ended: {error}");
        }
    });
    Some(sender)
}

/// Sends `request` and waits for its answer, whole if it has at most `whole` bytes.
pub async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    whole: usize,
) -> Result<Answer, ExchangeError> {
    let method = request.method().clone();
    if sender.ready().await.is_err() {
        return Err(ExchangeError::Unsent);
    }
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return Err(match error.take_message() {
                Some(_) => ExchangeError::Unsent,
                None if error.error().is_parse() => ExchangeError::BadAnswer,
                None => ExchangeError::Broke,
            });
        }
    };
    if response.headers().contains_key(REFUSED_HEADER) {
        return Err(ExchangeError::Refused);
    }
    if !has_clear_end(&method, &response) {
        return Err(ExchangeError::BadAnswer);
    }
    let (head, body) = response.into_parts();
    let body = collect(body, whole).await?;
    Ok(Answer { head, body })
}

/// Tells whether a cut of the body would be noticed: its length is given, or it is in chunks.
fn has_clear_end(method: &Method, response: &Response<Incoming>) -> bool {
    let status = response.status();
    let is_empty = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let has = |name: header::HeaderName| response.headers().contains_key(name);
    !status.is_informational()
        && (is_empty || has(header::CONTENT_LENGTH) || has(header::TRANSFER_ENCODING))
}

async fn collect(mut body: Incoming, whole: usize) -> Result<AnswerBody, ExchangeError> {
    if body.size_hint().lower() > whole as u64 {
        return Ok(AnswerBody::Streaming { first: Bytes::new(), rest: body });
    }
    let mut parts = Vec::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ExchangeError::Broke)?;
        // Trailers are dropped: the connection's framing ends here.
        let Ok(part) = frame.into_data() else {
            continue;
        };
        length += part.len();
        parts.push(part);
        if length > whole {
            return Ok(AnswerBody::Streaming { first: join(parts), rest: body });
        }
    }
    Ok(AnswerBody::Whole(join(parts)))
}

fn join(mut parts: Vec<Bytes>) -> Bytes {
    match parts.len() {
        0 => Bytes::new(),
        1 => parts.swap_remove(0),
        _ => parts.concat().into(),
    }
}

/// Tells whether the minion said that it closes the connection, as it does before it goes away.
pub fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}
