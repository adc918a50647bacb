//! Ends a connection whose caller takes nothing of its answer any more.
//!
//! An answer that still arrives holds a slot at its minion. A caller that stops reading would hold
//! it for ever, so a write that gets nowhere for too long is an error; docs/OUTCOMES.md tells how
//! the caller sees it.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::time::{Sleep, sleep};

/// The writes of one connection, as they get on.
pub struct Stall {
    limit: Duration,
    /// Runs while a write waits; made only then, since most writes never wait.
    wait: Option<Pin<Box<Sleep>>>,
}

impl Stall {
    /// Returns a watch that lets a write wait for `limit` at most.
    pub fn new(limit: Duration) -> Self {
        Self { limit, wait: None }
    }

    /// Returns the result of a write, or an error if it has waited for too long.
    pub fn check<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.wait = None;
            return written;
        }
        let limit = self.limit;
        let wait = self.wait.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(wait.as_mut().poll(context));
        Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
    }
}
