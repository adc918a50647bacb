//! Limits how long a write to a caller may make no progress.
//!
//! A streaming response occupies a slot of its minion, and a caller that stops reading would occupy
//! it forever. docs/OUTCOMES.md describes what the caller observes.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::time::{Sleep, sleep};

/// The time limit for pending writes of one connection.
pub struct WriteTimeout {
    limit: Duration,
    /// Runs while a write is pending; created on demand, since most writes complete at once.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeout {
    /// Returns a timeout that fails writes which are pending for `limit`.
    pub fn new(limit: Duration) -> Self {
        Self { limit, timer: None }
    }

    /// Returns the result of polling a write, or a `TimedOut` error if it was pending for too long.
    pub fn check<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
    }
}
