//! Non-blocking logger on standard output: lines go through a bounded queue to a writer thread, and
//! lines above a rate limit or beyond a full queue are dropped and counted.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::{Duration, Instant},
};

use env_logger::Target;
use log::LevelFilter;

use crate::{event::Event, supervise};

/// Maximum number of lines in the queue.
const QUEUE_LINES: usize = 2048;

/// Maximum number of lines per window, so that a process with a fraction of a core does not spend
/// it on logging.
const MAX_WINDOW_LINES: u32 = 400;

/// Length of a rate limit window.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Rate-limited sender of log lines to the writer thread.
struct LogQueue {
    sender: SyncSender<Vec<u8>>,
    window_start: Instant,
    /// Lines in the current window.
    window_lines: u32,
    /// Dropped lines that were not yet reported.
    dropped: u64,
}

impl LogQueue {
    fn new(sender: SyncSender<Vec<u8>>) -> Self {
        Self { sender, window_start: Instant::now(), window_lines: 0, dropped: 0 }
    }

    /// Starts a new window if the current one has ended, and logs how many lines were dropped.
    fn advance_window(&mut self) {
        if self.window_start.elapsed() < RATE_WINDOW {
            return;
        }
        self.window_start = Instant::now();
        self.window_lines = 0;
        if self.dropped > 0 {
            let event = Event::LinesDropped;
            let line = format!(
                "[{}] E{} {event:?}: lines={}\n",
                event.level(),
                event.number(),
                self.dropped
            );
            if self.sender.try_send(line.into_bytes()).is_ok() {
                self.dropped = 0;
            }
        }
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.advance_window();
        self.window_lines += 1;
        if self.window_lines > MAX_WINDOW_LINES {
            self.dropped += 1;
            return Ok(line.len());
        }
        match self.sender.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines until the queue closes or standard output fails, which can't be reported
/// anywhere.
fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout().lock();
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Starts the logger on standard output at level info, unless `RUST_LOG` sets another, and logs
/// panics too.
///
/// # Errors
///
/// Fails if the writer thread can't be started.
pub fn init() -> io::Result<()> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&receiver))?;
    env_logger::Builder::new()
        .filter_level(LevelFilter::Info)
        .parse_default_env()
        .format_timestamp_millis()
        .target(Target::Pipe(Box::new(LogQueue::new(sender))))
        .init();
    supervise::log_panics();
    Ok(())
}

#[cfg(test)]
#[path = "logs_tests.rs"]
mod tests;
