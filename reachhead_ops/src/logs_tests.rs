//! The queue of the log under load.

use std::{io::Write, sync::mpsc::sync_channel};

use super::{QUEUE_LINES, Queue, RATE_LINES};

#[test]
fn a_flood_of_lines_is_cut_and_counted_and_never_waits() {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let mut queue = Queue::new(sender);
    for _ in 0..RATE_LINES + 50 {
        queue.write_all(b"line\n").unwrap();
    }
    assert_eq!(receiver.try_iter().count(), RATE_LINES as usize);
    assert_eq!(queue.dropped, 50);
    queue.window = queue.window.checked_sub(super::RATE_WINDOW).unwrap();
    queue.write_all(b"line\n").unwrap();
    let lines: Vec<String> =
        receiver.try_iter().map(|line| String::from_utf8(line).unwrap()).collect();
    assert_eq!(lines.len(), 2);
    assert!(lines[0].contains("lines=50"), "{lines:?}");
}

#[test]
fn a_reader_that_stands_still_costs_lines_and_no_time() {
    let (sender, receiver) = sync_channel(3);
    let mut queue = Queue::new(sender);
    for _ in 0..10 {
        queue.write_all(b"line\n").unwrap();
    }
    assert_eq!(queue.dropped, 7);
    drop(receiver);
    queue.write_all(b"line\n").unwrap();
}
