//! HTTP calls that send no byte after a deadline.
//!
//! A process may be paused at any instruction, also between its last check of the clock and the
//! system call that sends a request. So each write checks the clock, each call has its own
//! connection, and that is reset at the deadline: unacknowledged data in the socket is then
//! discarded instead of delivered late.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use reachhead_types::boot_instant::BootInstant;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time,
};

use crate::client::CallError;

/// Maximum sleep between two checks of the clock. Timers don't advance while the host is suspended,
/// so a single sleep until the deadline would end too late by the time of suspension.
const MAX_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// The instant until which a call may write, and the clock to compare it with.
#[derive(Debug, Clone, Copy)]
pub struct Deadline {
    until: BootInstant,
    clock: fn() -> BootInstant,
}

impl Deadline {
    /// Returns a deadline at `until` on the boot-time clock.
    pub fn new(until: BootInstant) -> Self {
        Self { until, clock: BootInstant::now }
    }

    /// Replaces the clock; tests use one that jumps like that of a host after a suspension.
    #[must_use]
    pub fn with_clock(self, clock: fn() -> BootInstant) -> Self {
        Self { clock, ..self }
    }

    fn remaining(self) -> Duration {
        self.until.duration_since((self.clock)())
    }

    /// Returns whether the deadline has passed.
    pub fn has_passed(self) -> bool {
        self.remaining().is_zero()
    }

    /// Waits until the deadline has passed.
    async fn wait(self) {
        while !self.has_passed() {
            time::sleep(self.remaining().min(MAX_CHECK_PERIOD)).await;
        }
    }
}

/// A TCP stream whose writes fail after the deadline.
struct DeadlineStream {
    stream: TcpStream,
    deadline: Deadline,
    /// Set once any byte was written.
    has_written: Arc<AtomicBool>,
}

impl AsyncRead for DeadlineStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for DeadlineStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.deadline.has_passed() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "deadline passed before the write",
            )));
        }
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(_)) = written {
            self.has_written.store(true, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Sends a request on its own connection and returns the buffered response. Nothing is sent after
/// the deadline; a call that is still in flight then is aborted and its connection reset.
///
/// # Errors
///
/// [`CallError::NotSent`] if no byte was written, otherwise [`CallError::Lost`].
pub async fn call_with_deadline(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Deadline,
) -> Result<Response<Bytes>, CallError> {
    let has_written = Arc::new(AtomicBool::new(false));
    let call = exchange(address, request, deadline, Arc::clone(&has_written));
    let result = tokio::select! {
        result = call => result,
        () = deadline.wait() => Err("no response before the deadline".to_owned()),
    };
    result.map_err(|error| {
        if has_written.load(Ordering::Relaxed) {
            CallError::Lost(error)
        } else {
            CallError::NotSent(error)
        }
    })
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Deadline,
    has_written: Arc<AtomicBool>,
) -> Result<Response<Bytes>, String> {
    let text = |error: &dyn std::error::Error| error.to_string();
    let stream = TcpStream::connect(address).await.map_err(|error| text(&error))?;
    stream.set_nodelay(true).map_err(|error| text(&error))?;
    stream.set_zero_linger().map_err(|error| text(&error))?;
    let stream = DeadlineStream { stream, deadline, has_written };
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| text(&error))?;
    let response = async {
        let response = sender.send_request(request).await.map_err(|error| text(&error))?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| text(&error))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    tokio::pin!(response, connection);
    // Both are dropped together, so nothing remains that could still write.
    tokio::select! {
        biased;
        response = &mut response => response,
        result = &mut connection => match result {
            Ok(()) => response.await,
            Err(error) => Err(text(&error)),
        },
    }
}
