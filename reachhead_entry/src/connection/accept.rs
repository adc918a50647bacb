//! Accepts callers' connections and serves them, with limits on request heads and a graceful
//! shutdown.

use std::{
    cell::Cell, convert::Infallible, future::Future, pin::Pin, rc::Rc, sync::Arc, time::Duration,
};

use futures::future;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use log::debug;
use reachhead_ops::{
    connections::{Account, AccountedStream, ConnectionTimes, Expiry, drain},
    event::{Event, emit},
    runtime,
};
use reachhead_types::error::ErrorKind;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::{self, spawn_local},
    time,
};

use crate::{
    connection::{
        head_inspector::{CallerStream, HeadInspector},
        shutdown::ShutdownNotifier,
    },
    process::proxy::Proxy,
    request::{self, response},
};

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for incomplete requests after the listener was closed.
const SHUTDOWN_TIME: Duration = Duration::from_secs(2);

/// Cause of a refusal because no connection may be given up.
const ALL_AT_WORK: &str = "all-at-work";

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
    loop {
        tokio::select! {
            () = runtime::wait_for_stop(&mut stop) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let account = tokio::select! {
                        account = open(&proxy, &stream) => account,
                        () = runtime::wait_for_stop(&mut stop) => break,
                    };
                    if let Some(account) = account {
                        let guard = ConnectionGuard::new(&connections);
                        spawn_local(serve(Rc::clone(&proxy), stream, account, guard));
                    }
                    // A burst of connections from one group must not delay requests of the others.
                    task::yield_now().await;
                }
                Err(error) => {
                    emit(Event::AcceptFailed, error);
                    time::sleep(ACCEPT_PAUSE).await;
                }
            },
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

/// Returns the account of a new connection, or refuses it because all others are at work.
async fn open(proxy: &Proxy, stream: &TcpStream) -> Option<Arc<Account>> {
    let Some(opened) = proxy.budget.open().await else {
        let _ = stream.try_write(response::refusal_head(ErrorKind::Overloaded).as_bytes());
        proxy.budget.record_refusal(ALL_AT_WORK);
        return None;
    };
    let callers = &proxy.settings.callers;
    let head = Duration::from_millis(callers.head_time.get());
    let times = ConnectionTimes {
        head,
        idle: head,
        body: Duration::from_millis(callers.body_time.get()),
        write: Duration::from_millis(callers.stall_time.get()),
        shutdown: SHUTDOWN_TIME,
    };
    Some(Arc::new(Account::new(Arc::clone(&proxy.budget), opened, times)))
}

async fn serve(proxy: Rc<Proxy>, stream: TcpStream, account: Arc<Account>, guard: ConnectionGuard) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let callers = &proxy.settings.callers;
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None).max_buf_size(callers.head.0 as usize);
    if callers.fields.get() != HYPER_MAX_HEADERS {
        // With a limit other than the default, Hyper allocates memory for each request head.
        builder.max_headers(callers.fields.get() as usize);
    }
    let inspector = HeadInspector::new();
    let service = {
        let (proxy, inspector) = (Rc::clone(&proxy), Rc::clone(&inspector));
        let account = Arc::clone(&account);
        service_fn(move |request| {
            let (proxy, inspector) = (Rc::clone(&proxy), Rc::clone(&inspector));
            let account = Arc::clone(&account);
            async move {
                let response = request::handle(proxy, request, &inspector, account).await;
                Ok::<_, Infallible>(response)
            }
        })
    };
    let stream = AccountedStream::new(stream, Arc::clone(&account));
    let stream = TokioIo::new(CallerStream::new(stream, Rc::clone(&inspector)));
    let mut connection = builder.serve_connection(stream, service);
    let mut shutdown = guard.0.shutdown.subscribe();
    let end = loop {
        let driven = future::poll_fn(|context| {
            if shutdown.is_notified(context) {
                Pin::new(&mut connection).graceful_shutdown();
                account.begin_shutdown();
            }
            Pin::new(&mut connection).poll(context)
        });
        let end = tokio::select! {
            result = driven => {
                if let Err(error) = result {
                    debug!("caller connection failed: {error}");
                }
                break None;
            }
            () = account.signal() => account.handle_signal(),
            () = time::sleep_until(account.next_check()) => account.expire(),
        };
        if end.is_some() {
            break end;
        }
    };
    drop(shutdown);
    let stream = connection.into_parts().io.into_inner().into_inner();
    match end {
        Some(Expiry::Close) => {}
        Some(Expiry::Answer(kind)) => {
            stream.write_now(response::refusal_head(kind).as_bytes());
            drain(stream, &account).await;
        }
        None if inspector.has_unread_body() => drain(stream, &account).await,
        None => {}
    }
}
