//! Tokio runtimes and shutdown signals.

use std::io;

use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Returns a runtime that runs all tasks on the calling thread.
///
/// # Errors
///
/// Fails if the system can't create an event queue.
pub fn current_thread() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Waits for SIGTERM or SIGINT, which request a graceful shutdown.
///
/// # Errors
///
/// Fails if the signal handlers can't be registered.
pub async fn shutdown_signal() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits until `stop` turns true or its sender is dropped.
pub async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|&stop| stop).await;
}
