//! Harness that starts whole clusters as processes on loopback, sends requests and injects faults.
//!
//! For tests and measurements only: errors of the harness itself panic.

pub mod caller;
pub mod cluster;
pub mod crowd;
pub mod process;
pub mod proxy;

pub use crate::{
    caller::{Call, Reply, call},
    cluster::Cluster,
};

use std::time::Duration;

use tokio::time::{self, Instant};

/// Timeout of [`eventually`]; long enough for busy machines.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two polls of an awaited condition.
pub const POLL_PERIOD: Duration = Duration::from_millis(25);

/// Polls `poll` until it returns a value; `what` describes the awaited condition.
///
/// # Panics
///
/// If there is no value within [`WAIT_TIMEOUT`].
pub async fn eventually<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        time::sleep(POLL_PERIOD).await;
    }
}
