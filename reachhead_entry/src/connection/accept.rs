//! Callers' connections: accepting them, limits on heads, graceful end.

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
        stall::Stall,
        stop::Stop,
        watch::{Watch, WatchedStream},
    },
    process::core::Core,
    request::{self, reply},
};

/// Pause after a failed accept, so that a lack of descriptors is not met by a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a caller whose request was refused may go on sending it.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Bytes that are read at a time of what nobody wants.
const LINGER_SIZE: usize = 16 << 10;

/// Header fields that the library accepts by itself.
const LIBRARY_FIELDS: u32 = 100;

/// Counts open connections, tells when one ends, and tells all of them to end.
#[derive(Default)]
struct Open {
    count: Cell<u32>,
    ended: Notify,
    stop: Stop,
}

/// One open connection in the count.
struct OpenGuard(Rc<Open>);

impl OpenGuard {
    fn new(open: &Rc<Open>) -> Self {
        open.count.set(open.count.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify_waiters();
    }
}

/// Accepts callers until `stop` turns true, then waits until the last connection is finished.
pub async fn run(core: Rc<Core>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let open = Rc::new(Open::default());
    let limit = core.settings.callers.connections.get();
    loop {
        let has_room = open.count.get() < limit;
        tokio::select! {
            () = runtime::wait_for_stop(&mut stop) => break,
            accepted = listener.accept(), if has_room => match accepted {
                Ok((stream, _)) => {
                    let guard = OpenGuard::new(&open);
                    spawn_local(serve(Rc::clone(&core), stream, guard));
                    // One group's burst of connections must not keep the others' requests waiting.
                    task::yield_now().await;
                }
                Err(error) => {
                    emit(Event::AcceptFailed, error);
                    time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = open.ended.notified(), if !has_room => {}
        }
    }
    drop(listener);
    open.stop.stop();
    loop {
        let ended = open.ended.notified();
        if open.count.get() == 0 {
            return;
        }
        ended.await;
    }
}

async fn serve(core: Rc<Core>, stream: TcpStream, open: OpenGuard) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let callers = &core.settings.callers;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(callers.head_time.get()))
        .max_buf_size(callers.head.0 as usize);
    if callers.fields.get() != LIBRARY_FIELDS {
        // Another limit than the library's own costs an allocation for each head.
        builder.max_headers(callers.fields.get() as usize);
    }
    let watch = Watch::new();
    let service = {
        let (core, watch) = (Rc::clone(&core), Rc::clone(&watch));
        service_fn(move |request| {
            let (core, watch) = (Rc::clone(&core), Rc::clone(&watch));
            async move { Ok::<_, Infallible>(request::handle(core, request, &watch).await) }
        })
    };
    let stall = Stall::new(Duration::from_millis(callers.stall_time.get()));
    let stream = TokioIo::new(WatchedStream::new(stream, Rc::clone(&watch), stall));
    let mut connection = builder.serve_connection(stream, service);
    let mut listens = open.0.stop.listen();
    let ended = future::poll_fn(|context| {
        if listens.is_stopped(context) {
            Pin::new(&mut connection).graceful_shutdown();
        }
        Pin::new(&mut connection).poll(context)
    })
    .await;
    drop(listens);
    let stream = connection.into_parts().io.into_inner();
    match ended {
        Ok(()) if watch.is_unread() => linger(stream).await,
        Ok(()) => {}
        Err(error) if error.is_timeout() => refuse_slow(stream).await,
        Err(error) => debug!("a caller's connection ended: {error}"),
    }
}

/// Answers a head that was too slow: the library ends its connection without a word.
async fn refuse_slow(mut stream: WatchedStream) {
    let _ = stream.write_all(reply::too_slow().as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// Reads what a caller still sends after its request was refused. Closing at once would reset the
/// connection, and the refusal would be lost on its way.
async fn linger(mut stream: WatchedStream) {
    let mut buffer = vec![0; LINGER_SIZE];
    let drained = async { while let Ok(1..) = stream.read(&mut buffer).await {} };
    // Whoever still sends after that has had the answer for long.
    let _ = time::timeout(LINGER_TIME, drained).await;
}
