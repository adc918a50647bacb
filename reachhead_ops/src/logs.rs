//! Logs on standard output that never hold the process up: lines go through a bounded queue to a thread
//! that writes them, and beyond a rate or when the queue is full they are counted and left out.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::{Duration, Instant},
};

use env_logger::Target;
use log::LevelFilter;

use crate::event::Event;

/// Lines that wait to be written at most.
const QUEUE_LINES: usize = 2048;

/// Lines a second at most; a process on a part of a core must not spend itself on its log.
const RATE_LINES: u32 = 400;

/// The window over which the rate is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// What is under way from the logger to the writing thread.
struct Queue {
    sender: SyncSender<Vec<u8>>,
    window: Instant,
    lines: u32,
    dropped: u64,
}

impl Queue {
    fn new(sender: SyncSender<Vec<u8>>) -> Self {
        Self { sender, window: Instant::now(), lines: 0, dropped: 0 }
    }

    /// Starts a new window if the old one is over, and tells how many lines were left out.
    fn turn(&mut self) {
        if self.window.elapsed() < RATE_WINDOW {
            return;
        }
        self.window = Instant::now();
        self.lines = 0;
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

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.turn();
        self.lines += 1;
        if self.lines > RATE_LINES {
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

/// Writes lines as they come; a standard output that fails has nobody left to be told.
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

/// Starts the logger on standard output: info and up, unless `RUST_LOG` says otherwise.
///
/// # Errors
///
/// If there is no thread for it.
pub fn init() -> io::Result<()> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&receiver))?;
    env_logger::Builder::new()
        .filter_level(LevelFilter::Info)
        .parse_default_env()
        .format_timestamp_millis()
        .target(Target::Pipe(Box::new(Queue::new(sender))))
        .init();
    Ok(())
}

#[cfg(test)]
#[path = "logs_tests.rs"]
mod tests;
