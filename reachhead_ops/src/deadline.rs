//! A call no byte of which leaves the process after a moment.
//!
//! A process may stand still at any instruction, also between its last look at the clock and the system call that
//! sends a request. So the clock is read in the write itself, the connection is the call's own, and it is reset when
//! the time is over: what the network still holds then is lost and not delivered late.

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

/// Longest sleep before the clock is looked at again. Timers stand still while the host is suspended, so one sleep until the end
/// would go on for as long as that after it.
const LOOK_TIME: Duration = Duration::from_millis(50);

/// Until when a call may write, and the clock that tells the time.
#[derive(Debug, Clone, Copy)]
pub struct Deadline {
    until: BootInstant,
    clock: fn() -> BootInstant,
}

impl Deadline {
    /// Returns the deadline at `until`.
    pub fn new(until: BootInstant) -> Self {
        Self { until, clock: BootInstant::now }
    }

    /// Sets the clock; a test's own, which can jump as the host's does after it was suspended.
    #[must_use]
    pub fn with_clock(self, clock: fn() -> BootInstant) -> Self {
        Self { clock, ..self }
    }

    fn left(self) -> Duration {
        self.until.duration_since((self.clock)())
    }

    fn is_over(self) -> bool {
        self.left().is_zero()
    }

    /// Waits until it is over.
    async fn passed(self) {
        while !self.is_over() {
            time::sleep(self.left().min(LOOK_TIME)).await;
        }
    }
}

/// A connection that writes nothing after a moment.
struct BoundedStream {
    stream: TcpStream,
    deadline: Deadline,
    written: Arc<AtomicBool>,
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.deadline.is_over() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "too late to be sent",
            )));
        }
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(_)) = written {
            self.written.store(true, Ordering::Relaxed);
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

/// Sends a request on a connection of its own and returns its whole answer. Nothing is sent after the deadline, and the
/// connection is reset then.
///
/// # Errors
///
/// `NotSent` if no byte was written, else `Lost`.
pub async fn call_with_deadline(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Deadline,
) -> Result<Response<Bytes>, CallError> {
    let written = Arc::new(AtomicBool::new(false));
    let call = exchange(address, request, deadline, Arc::clone(&written));
    let result = tokio::select! {
        result = call => result,
        () = deadline.passed() => Err("no answer in time".to_owned()),
    };
    result.map_err(|error| {
        if written.load(Ordering::Relaxed) {
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
    written: Arc<AtomicBool>,
) -> Result<Response<Bytes>, String> {
    let text = |error: &dyn std::error::Error| error.to_string();
    let stream = TcpStream::connect(address).await.map_err(|error| text(&error))?;
    stream.set_nodelay(true).map_err(|error| text(&error))?;
    stream.set_zero_linger().map_err(|error| text(&error))?;
    let stream = BoundedStream { stream, deadline, written };
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| text(&error))?;
    let answer = async {
        let response = sender.send_request(request).await.map_err(|error| text(&error))?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| text(&error))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    tokio::pin!(answer, connection);
    // Both are dropped together, so nothing is left that could still write.
    tokio::select! {
        biased;
        answer = &mut answer => answer,
        ended = &mut connection => match ended {
            Ok(()) => answer.await,
            Err(error) => Err(text(&error)),
        },
    }
}
