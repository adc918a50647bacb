//! Small HTTP server with buffered bodies and graceful shutdown.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderMap, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

use crate::{
    event::{Event, emit},
    runtime,
};

/// Timeout for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, which avoids a busy loop while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    pub body: Bytes,
}

/// A response with its complete body.
pub type BufferedResponse = Response<Full<Bytes>>;

/// A request handler.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to `request`.
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse>;
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
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Serves `handler` on `listener` until `stop` turns true, then waits for requests in flight.
///
/// Larger request bodies than `body_limit` bytes are rejected.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    body_limit: usize,
    mut stop: watch::Receiver<bool>,
) {
    // Each connection holds a receiver; the channel closes when the last of them has ended.
    let (open, open_receiver) = watch::channel(());
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = runtime::wait_for_stop(&mut stop) => break,
        };
        match stream {
            Ok((stream, _)) => {
                let connection = Connection {
                    handler: Arc::clone(&handler),
                    body_limit,
                    stop: stop.clone(),
                    _open: open_receiver.clone(),
                };
                tokio::spawn(connection.run(stream));
            }
            Err(error) => {
                emit(Event::AcceptFailed, error);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(open_receiver);
    open.closed().await;
}

struct Connection {
    handler: Arc<dyn Handler>,
    body_limit: usize,
    stop: watch::Receiver<bool>,
    _open: watch::Receiver<()>,
}

impl Connection {
    async fn run(mut self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let handler = Arc::clone(&self.handler);
        let limit = self.body_limit;
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(respond(&*handler, request, limit).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let stopped = tokio::select! {
            // Errors on a connection concern only its client.
            _ = connection.as_mut() => false,
            () = runtime::wait_for_stop(&mut self.stop) => true,
        };
        if stopped {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn respond(
    handler: &dyn Handler,
    request: Request<Incoming>,
    limit: usize,
) -> BufferedResponse {
    let (head, body) = request.into_parts();
    let body = match time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
        }
        Ok(Err(error)) => return text(StatusCode::BAD_REQUEST, &format!("{error}\n")),
        Err(_) => return text(StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time\n"),
    };
    let request = BufferedRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    handler.handle(request).await
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
