//! Progress of an answer that arrives in parts.
//!
//! A store client knows when parts of an answer arrive; who bounds the call's time does not see them.

use tokio::sync::watch;

/// Counts the parts of an answer that have arrived.
#[derive(Debug, Clone, Default)]
pub struct Progress(watch::Sender<u64>);

impl Progress {
    /// Returns the progress of a call that has no answer yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a part of the answer arrived.
    pub fn record_part(&self) {
        self.0.send_modify(|parts| *parts += 1);
    }

    /// Returns a receiver that is notified of each further part.
    pub fn parts(&self) -> watch::Receiver<u64> {
        self.0.subscribe()
    }
}
