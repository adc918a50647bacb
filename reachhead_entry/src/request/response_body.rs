//! Response bodies for callers. A streaming body that the minion truncates ends with an error.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use reachhead_ops::connections::Account;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::request::send::HeldConnection;

/// Limit on the time between two frames of a streaming body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The body of a response to a caller. Its connection is at work until it is dropped.
pub struct ResponseBody {
    content: Content,
    /// Dropped with the body.
    _work: Option<Work>,
}

/// Ends the work on a request when it is dropped.
pub struct Work {
    account: Arc<Account>,
    /// Size of the answer if it is buffered, in bytes.
    answer: u64,
}

impl Work {
    /// Returns the work on the request of a connection.
    pub fn new(account: Arc<Account>) -> Self {
        Self { account, answer: 0 }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.account.end_request(self.answer);
    }
}

enum Content {
    /// The complete body; `None` if it is empty or already sent.
    Buffered(Option<Bytes>),
    /// A body that is still being received from the minion.
    Streaming(Box<StreamingBody>),
}

impl ResponseBody {
    /// Returns a complete body.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::from(Content::Buffered((!bytes.is_empty()).then_some(bytes)))
    }

    /// Returns a body that is still being received.
    pub fn streaming(body: StreamingBody) -> Self {
        Self::from(Content::Streaming(Box::new(body)))
    }

    /// Keeps the connection at work until the body is dropped.
    #[must_use]
    pub fn with_work(self, work: Work) -> Self {
        let mut work = work;
        if let Content::Buffered(Some(bytes)) = &self.content {
            // Of a streamed answer, a part is read once the caller has taken the one before.
            work.answer = bytes.len() as u64;
        }
        Self { _work: Some(work), ..self }
    }
}

impl From<Content> for ResponseBody {
    fn from(content: Content) -> Self {
        Self { content, _work: None }
    }
}

/// A body that is forwarded while it is received, with its minion connection and slot.
pub struct StreamingBody {
    first: Option<Bytes>,
    rest: Incoming,
    connection: Option<HeldConnection>,
    idle_timer: Pin<Box<Sleep>>,
}

impl StreamingBody {
    /// Returns a body of the bytes in `first`, followed by `rest` from `connection`.
    pub fn new(first: Bytes, rest: Incoming, connection: HeldConnection) -> Self {
        let idle_timer = Box::pin(sleep_until(Instant::now() + BODY_IDLE_TIMEOUT));
        Self {
            first: (!first.is_empty()).then_some(first),
            rest,
            connection: Some(connection),
            idle_timer,
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(context) else {
            ready!(self.idle_timer.as_mut().poll(context));
            return Poll::Ready(Some(Err(io::Error::from(io::ErrorKind::TimedOut))));
        };
        match frame {
            // An error makes Hyper abort the caller's connection, so that a truncated body never
            // looks complete.
            Some(frame) => {
                self.idle_timer.as_mut().reset(Instant::now() + BODY_IDLE_TIMEOUT);
                Poll::Ready(Some(frame.map_err(io::Error::other)))
            }
            None => {
                if let Some(connection) = self.connection.take() {
                    connection.release();
                }
                Poll::Ready(None)
            }
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut self.content {
            Content::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Content::Streaming(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Buffered(bytes) => bytes.is_none(),
            Content::Streaming(body) => body.first.is_none() && body.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Streaming(body) => {
                let first = body.first.as_ref().map_or(0, |first| first.len() as u64);
                match body.rest.size_hint().exact() {
                    Some(rest) => SizeHint::with_exact(first + rest),
                    None => SizeHint::default(),
                }
            }
        }
    }
}
