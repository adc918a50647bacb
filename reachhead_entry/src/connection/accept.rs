//! Accepts callers' connections and serves them, with limits on request heads and a graceful
//! shutdown.

use std::{cell::Cell, convert::Infallible, future::Future, pin::Pin, rc::Rc, time::Duration};

use futures::future;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use reachhead_ops::{
    event::{Event, emit},
    runtime,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::{self, spawn_local},
    time,
};

use crate::{
    connection::{
        head_inspector::{CallerStream, HeadInspector},
        shutdown::ShutdownNotifier,
        write_timeout::WriteTimeout,
    },
    process::proxy::Proxy,
    request::{self, response},
};

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limit on reading the rest of a rejected request before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Buffer size, in bytes, for discarding the rest of a rejected request.
const LINGER_BUFFER_SIZE: usize = 16 << 10;

/// Limit on header fields that Hyper applies by default.
const HYPER_MAX_HEADERS: u32 = 100;

/// Counts the open connections and notifies them of a shutdown.
#[derive(Default)]
struct OpenConnections {
    count: Cell<u32>,
    closed: Notify,
    shutdown: ShutdownNotifier,
}

/// Counts one connection as open until it is dropped.
struct ConnectionGuard(Rc<OpenConnections>);

impl ConnectionGuard {
    fn new(connections: &Rc<OpenConnections>) -> Self {
        connections.count.set(connections.count.get() + 1);
        Self(Rc::clone(connections))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.closed.notify_waiters();
    }
}

/// Accepts connections until `stop` turns true, then shuts them down gracefully and waits until all
/// of them are closed.
pub async fn run(proxy: Rc<Proxy>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let connections = Rc::new(OpenConnections::default());
    let limit = proxy.settings.callers.connections.get();
    loop {
        let is_below_limit = connections.count.get() < limit;
        tokio::select! {
            () = runtime::wait_for_stop(&mut stop) => break,
            accepted = listener.accept(), if is_below_limit => match accepted {
                Ok((stream, _)) => {
                    let guard = ConnectionGuard::new(&connections);
                    spawn_local(serve(Rc::clone(&proxy), stream, guard));
                    // A burst of connections from one group must not delay requests of the others.
                    task::yield_now().await;
                }
                Err(error) => {
                    emit(Event::AcceptFailed, error);
                    time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = connections.closed.notified(), if !is_below_limit => {}
        }
    }
    drop(listener);
    connections.shutdown.notify();
    loop {
        let closed = connections.closed.notified();
        if connections.count.get() == 0 {
            return;
        }
        closed.await;
    }
}

async fn serve(proxy: Rc<Proxy>, stream: TcpStream, guard: ConnectionGuard) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let callers = &proxy.settings.callers;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(callers.head_time.get()))
        .max_buf_size(callers.head.0 as usize);
    if callers.fields.get() != HYPER_MAX_HEADERS {
        // With a limit other than the default, Hyper allocates memory for each request head.
        builder.max_headers(callers.fields.get() as usize);
    }
    let inspector = HeadInspector::new();
    let service = {
        let (proxy, inspector) = (Rc::clone(&proxy), Rc::clone(&inspector));
        service_fn(move |request| {
            let (proxy, inspector) = (Rc::clone(&proxy), Rc::clone(&inspector));
            async move { Ok::<_, Infallible>(request::handle(proxy, request, &inspector).await) }
        })
    };
    let write_timeout = WriteTimeout::new(Duration::from_millis(callers.stall_time.get()));
    let stream = TokioIo::new(CallerStream::new(stream, Rc::clone(&inspector), write_timeout));
    let mut connection = builder.serve_connection(stream, service);
    let mut shutdown = guard.0.shutdown.subscribe();
    let result = future::poll_fn(|context| {
        if shutdown.is_notified(context) {
            Pin::new(&mut connection).graceful_shutdown();
        }
        Pin::new(&mut connection).poll(context)
    })
    .await;
    drop(shutdown);
    let stream = connection.into_parts().io.into_inner();
    match result {
        Ok(()) if inspector.has_unread_body() => linger(stream).await,
        Ok(()) => {}
        Err(error) if error.is_timeout() => send_head_timeout(stream).await,
        Err(error) => debug!("caller connection failed: {error}"),
    }
}

/// Answers a request whose head timed out; Hyper closes the connection without a response.
async fn send_head_timeout(mut stream: CallerStream) {
    let _ = stream.write_all(response::head_timeout().as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// Discards the rest of a rejected request before the connection is closed.
///
/// Closing it with unread bytes would reset the connection, and the caller could lose the response.
async fn linger(mut stream: CallerStream) {
    let mut buffer = vec![0; LINGER_BUFFER_SIZE];
    let discard = async { while let Ok(1..) = stream.read(&mut buffer).await {} };
    // By the time limit, the caller has had enough time to receive the response.
    let _ = time::timeout(LINGER_TIMEOUT, discard).await;
}
