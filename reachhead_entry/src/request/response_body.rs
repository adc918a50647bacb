//! Bodies of answers: whole ones, and live ones that end visibly broken if the minion cuts them.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::request::send::Hold;

/// Longest silence of a minion in the middle of a body.
const SILENCE_LIMIT: Duration = Duration::from_secs(15);

/// The body of an answer.
pub enum ReplyBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// It still arrives.
    Live(Box<Live>),
}

impl ReplyBody {
    /// Returns a body of `bytes`.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

/// A body that still arrives, with the slot and the connection that it comes on.
pub struct Live {
    first: Option<Bytes>,
    rest: Incoming,
    hold: Option<Hold>,
    silence: Pin<Box<Sleep>>,
}

impl Live {
    /// Returns the body that starts with `first`.
    pub fn new(first: Bytes, rest: Incoming, hold: Hold) -> Self {
        let silence = Box::pin(sleep_until(Instant::now() + SILENCE_LIMIT));
        Self { first: (!first.is_empty()).then_some(first), rest, hold: Some(hold), silence }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(context) else {
            ready!(self.silence.as_mut().poll(context));
            return Poll::Ready(Some(Err(io::Error::from(io::ErrorKind::TimedOut))));
        };
        match frame {
            // An error here makes the library abort the caller's connection, so that a cut body
            // never looks whole.
            Some(frame) => {
                self.silence.as_mut().reset(Instant::now() + SILENCE_LIMIT);
                Poll::Ready(Some(frame.map_err(io::Error::other)))
            }
            None => {
                if let Some(hold) = self.hold.take() {
                    hold.finish();
                }
                Poll::Ready(None)
            }
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Live(live) => live.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Live(live) => live.first.is_none() && live.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Live(live) => {
                let first = live.first.as_ref().map_or(0, |first| first.len() as u64);
                match live.rest.size_hint().exact() {
                    Some(rest) => SizeHint::with_exact(first + rest),
                    None => SizeHint::default(),
                }
            }
        }
    }
}
