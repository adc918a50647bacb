//! Large answers that are arriving at this process.
//!
//! While one arrives it may fill the process's own link: heartbeats and short calls are late then,
//! which says nothing about those who were called. What arrives shows that its sender is reached.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// Size from which an answer is large, in bytes: a link of 2 Mbit/s carries it in a quarter of a
/// second.
const MIN_LARGE_BYTES: u64 = 64 << 10;

/// How long the link counts as filled after the end of a large answer: calls that waited behind it
/// may still time out.
const AFTERMATH: Duration = Duration::from_millis(400);

#[derive(Debug, Default)]
struct State {
    /// Number of large answers that are arriving.
    arriving: u32,
    /// When the first of those began.
    begun: Option<Instant>,
    /// When the last of them ended.
    ended: Option<Instant>,
    /// When the last part of a successful answer arrived from each peer.
    parts: HashMap<SocketAddr, Instant>,
}

/// The large answers that are arriving.
#[derive(Debug, Default)]
pub struct Arrivals(Mutex<State>);

impl Arrivals {
    /// Begins to watch an answer.
    pub(crate) fn watch(&self, peer: SocketAddr) -> Arrival<'_> {
        Arrival { arrivals: self, peer, is_large: false }
    }

    /// Returns whether a large answer is arriving or has just ended.
    pub fn is_filling_link(&self) -> bool {
        self.with(|state| {
            state.arriving > 0 || state.ended.is_some_and(|ended| ended.elapsed() < AFTERMATH)
        })
    }

    /// Returns for how long large answers have been arriving without a gap.
    pub fn arriving_for(&self) -> Option<Duration> {
        self.with(|state| state.begun.as_ref().map(Instant::elapsed))
    }

    /// Returns how long ago a part of an answer arrived from a peer.
    pub fn part_age(&self, peer: SocketAddr) -> Option<Duration> {
        self.with(|state| state.parts.get(&peer).map(Instant::elapsed))
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// An answer that is arriving; dropping it ends it.
pub(crate) struct Arrival<'a> {
    arrivals: &'a Arrivals,
    peer: SocketAddr,
    is_large: bool,
}

impl Arrival<'_> {
    /// Records a part of an answer that has at least so many bytes in total.
    pub(crate) fn record_part(&mut self, bytes: u64) {
        let becomes_large = !self.is_large && bytes >= MIN_LARGE_BYTES;
        self.is_large |= becomes_large;
        self.arrivals.with(|state| {
            state.parts.insert(self.peer, Instant::now());
            if becomes_large {
                state.arriving += 1;
                state.begun.get_or_insert_with(Instant::now);
            }
        });
    }
}

impl Drop for Arrival<'_> {
    fn drop(&mut self) {
        if self.is_large {
            self.arrivals.with(|state| {
                state.arriving -= 1;
                if state.arriving == 0 {
                    state.begun = None;
                }
                state.ended = Some(Instant::now());
            });
        }
    }
}
