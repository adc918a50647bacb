//! Log lines are dropped and counted under load, and writers never block.

use std::{io::Write, sync::mpsc::sync_channel};

use super::{LogQueue, MAX_WINDOW_LINES, QUEUE_LINES};

#[test]
fn lines_above_the_rate_limit_are_dropped_and_counted() {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let mut queue = LogQueue::new(sender);
    for _ in 0..MAX_WINDOW_LINES + 50 {
        queue.write_all(b"line\n").unwrap();
    }
    assert_eq!(receiver.try_iter().count(), MAX_WINDOW_LINES as usize);
    assert_eq!(queue.dropped, 50);
    queue.window_start = queue.window_start.checked_sub(super::RATE_WINDOW).unwrap();
    queue.write_all(b"line\n").unwrap();
    let lines: Vec<String> =
        receiver.try_iter().map(|line| String::from_utf8(line).unwrap()).collect();
    assert_eq!(lines.len(), 2);
    assert!(lines[0].contains("lines=50"), "{lines:?}");
}

#[test]
fn a_stalled_writer_drops_lines_without_blocking() {
    let (sender, receiver) = sync_channel(3);
    let mut queue = LogQueue::new(sender);
    for _ in 0..10 {
        queue.write_all(b"line\n").unwrap();
    }
    assert_eq!(queue.dropped, 7);
    drop(receiver);
    queue.write_all(b"line\n").unwrap();
}
