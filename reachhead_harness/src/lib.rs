//! Starts whole systems as processes on loopback, sends requests, and harms processes by their id.
//!
//! For tests and measurements only, so it panics where it can't go on.

pub mod caller;
pub mod cluster;
pub mod process;
pub mod proxy;

pub use crate::{
    caller::{Call, Reply, call},
    cluster::Cluster,
};

use std::time::Duration;

use tokio::time::{self, Instant};

/// Longest wait for anything that should happen soon; generous, for busy machines.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two looks at something that is waited for.
pub const POLL_PERIOD: Duration = Duration::from_millis(25);

/// Waits until `look` gives a value.
pub async fn eventually<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let limit = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = look().await {
            return value;
        }
        assert!(Instant::now() < limit, "waited in vain: {what}");
        time::sleep(POLL_PERIOD).await;
    }
}
