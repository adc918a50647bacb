//! HTTP server with buffered bodies, limits on what its connections hold, and graceful shutdown.
//!
//! docs/design/client-limits.md describes the limits.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{
    Request,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use reachhead_types::{error::ErrorKind, size::Bytes};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

use crate::{
    connections::{Account, AccountedStream, Budget, ConnectionTimes, Expiry, drain, read_body},
    event::{Event, emit},
    http::{BodyRules, BufferedRequest, BufferedResponse, ConnectionRules, Handler},
    runtime,
};

/// Pause after a failed accept, which avoids a busy loop while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest size of a read buffer that Hyper supports, in bytes.
const MIN_READ_BUFFER: usize = 8 << 10;

/// Name of the budget of a server without one of its own.
const DEFAULT_BUDGET: &str = "default";

/// An HTTP server for one listener.
pub struct Server {
    handler: Arc<dyn Handler>,
    body_limit: Bytes,
    budget: Arc<Budget>,
}

impl Server {
    /// Returns a server with default limits that accepts no bodies.
    pub fn new(handler: Arc<dyn Handler>) -> Self {
        let budget = Arc::new(Budget::with_default_limits(DEFAULT_BUDGET));
        Self { handler, body_limit: Bytes(0), budget }
    }

    /// Accepts bodies of at most this size.
    #[must_use]
    pub fn with_body_limit(self, body_limit: Bytes) -> Self {
        Self { body_limit, ..self }
    }

    /// Counts connections and bodies against a budget, which other servers may share.
    #[must_use]
    pub fn with_budget(self, budget: Arc<Budget>) -> Self {
        Self { budget, ..self }
    }

    /// Serves `listener` until `stop` turns true, then waits for requests in flight.
    pub async fn serve(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        // Each connection holds a receiver; the channel closes when the last of them has ended.
        let (open, open_receiver) = watch::channel(());
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = runtime::wait_for_stop(&mut stop) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    let ConnectionRules { head, times } = self.handler.connection_rules();
                    let account = tokio::select! {
                        account = self.open(&stream, times) => account,
                        () = runtime::wait_for_stop(&mut stop) => break,
                    };
                    if let Some(account) = account {
                        let connection = Connection {
                            handler: Arc::clone(&self.handler),
                            head_limit: head,
                            body_limit: self.body_limit,
                            account,
                            stop: stop.clone(),
                            _open: open_receiver.clone(),
                        };
                        tokio::spawn(connection.run(stream));
                    }
                }
                Err(error) => {
                    emit(Event::AcceptFailed, error);
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        drop(open_receiver);
        open.closed().await;
    }

    /// Returns the account of a new connection with these time limits, or refuses it.
    async fn open(&self, stream: &TcpStream, times: ConnectionTimes) -> Option<Arc<Account>> {
        let Some(opened) = self.budget.open().await else {
            let _ = stream.try_write(&head_of(&self.handler.refusal(ErrorKind::Overloaded)));
            self.budget.record_refusal("all-at-work");
            return None;
        };
        Some(Arc::new(Account::new(Arc::clone(&self.budget), opened, times)))
    }
}

struct Connection {
    handler: Arc<dyn Handler>,
    head_limit: Bytes,
    body_limit: Bytes,
    account: Arc<Account>,
    stop: watch::Receiver<bool>,
    _open: watch::Receiver<()>,
}

impl Connection {
    async fn run(mut self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let exchange = Exchange {
            handler: Arc::clone(&self.handler),
            body_limit: self.body_limit,
            account: Arc::clone(&self.account),
        };
        let service = service_fn(move |request| {
            let exchange = exchange.clone();
            async move { Ok::<_, Infallible>(exchange.respond(request).await) }
        });
        let head_limit = self.head_limit.0 as usize;
        let stream = AccountedStream::new(stream, Arc::clone(&self.account));
        let mut connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(head_limit.max(MIN_READ_BUFFER))
            .serve_connection(TokioIo::new(stream), service);
        let mut is_stopping = false;
        let end = loop {
            let end = tokio::select! {
                // Errors on a connection concern only its client.
                _ = &mut connection => break None,
                () = self.account.signal() => self.account.handle_signal(),
                () = time::sleep_until(self.account.next_check()) => self.account.expire(),
                () = runtime::wait_for_stop(&mut self.stop), if !is_stopping => {
                    is_stopping = true;
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                    self.account.begin_shutdown();
                    None
                }
            };
            if end.is_some() {
                break end;
            }
        };
        let stream = connection.into_parts().io.into_inner();
        match end {
            Some(Expiry::Close) => {}
            Some(Expiry::Answer(kind)) => {
                stream.write_now(&head_of(&self.handler.refusal(kind)));
                self.linger(stream).await;
            }
            None if self.account.is_unread() => self.linger(stream).await,
            None => {}
        }
    }

    /// Drops the rest of a refused request, for a shorter time once the listener is closed.
    async fn linger(&mut self, stream: AccountedStream) {
        let account = &self.account;
        let stopped = async {
            runtime::wait_for_stop(&mut self.stop).await;
            time::sleep(account.shutdown_time()).await;
        };
        tokio::select! {
            () = drain(stream, account) => {}
            () = stopped => {}
        }
    }
}

/// Receives and answers the requests of one connection.
#[derive(Clone)]
struct Exchange {
    handler: Arc<dyn Handler>,
    body_limit: Bytes,
    account: Arc<Account>,
}

impl Exchange {
    async fn respond(self, request: Request<Incoming>) -> BufferedResponse {
        let is_bodiless = request.body().is_end_stream();
        let response = match self.receive(request).await {
            Ok(request) => self.handle(request, is_bodiless).await,
            Err(kind) => Err(kind),
        };
        let response = response.unwrap_or_else(|kind| {
            self.account.record_refusal(kind);
            if !is_bodiless {
                self.account.mark_unread();
            }
            let mut response = self.handler.refusal(kind);
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            response
        });
        self.account.end_request(response.body().size_hint().lower());
        response
    }

    /// Receives the rest of a request whose head has arrived.
    async fn receive(&self, request: Request<Incoming>) -> Result<BufferedRequest, ErrorKind> {
        let (head, body) = request.into_parts();
        let BodyRules { limit, time } = self.handler.body_rules(&head);
        self.account.begin_request(time);
        let body = read_body(&self.account, body, limit.min(self.body_limit)).await?;
        Ok(BufferedRequest {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body,
        })
    }

    async fn handle(
        &self,
        request: BufferedRequest,
        is_bodiless: bool,
    ) -> Result<BufferedResponse, ErrorKind> {
        let account = &self.account;
        let memory = request.body.len() as u64 + self.handler.working_memory(&request).0;
        if !is_bodiless {
            account.hold(memory).await?;
        }
        let permit = account.wait_turn().await?;
        account.begin_work()?;
        let response = self.handler.handle(request).await;
        account.end_turn(permit).await;
        Ok(response)
    }
}

/// Returns the bytes of an answer that closes the connection and whose body is left out.
fn head_of(response: &BufferedResponse) -> Vec<u8> {
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or_default();
    let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", status.as_str()).into_bytes();
    for (name, value) in response.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"content-length: 0\r\nconnection: close\r\n\r\n");
    bytes
}
