//! Runtimes and signals.

use std::io;

use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Returns a runtime that runs everything on the calling thread.
///
/// # Errors
///
/// Fails if the system gives no event queue.
pub fn current_thread() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Waits for SIGTERM or SIGINT, the two that ask for a graceful shutdown.
///
/// # Errors
///
/// Fails if the signals can't be watched.
pub async fn shutdown_signal() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits until `stop` turns true or its sender is gone.
pub async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|&stop| stop).await;
}
