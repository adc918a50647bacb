//! Supervised tasks: a panic is reported to the code that depends on the task.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::time::Duration;

use reachhead_ops::{
    runtime,
    supervise::{self, RequiredTasks},
};
use tokio::time;

async fn panicking() {
    let numbers: Vec<u32> = Vec::new();
    let _ = numbers[numbers.len()];
}

#[test]
fn a_panic_of_a_supervised_task_is_returned_with_its_message() {
    let failure = runtime::current_thread().unwrap().block_on(supervise::run("sum", panicking()));
    let text = failure.unwrap_err().to_string();
    assert!(text.starts_with("task \"sum\" failed: index out of bounds"), "{text}");
}

#[test]
fn the_message_of_a_panic_stays_on_one_line() {
    async fn failing() {
        assert_eq!(1, 2, "of several lines");
    }
    let failure = runtime::current_thread().unwrap().block_on(supervise::run("sum", failing()));
    assert!(!failure.unwrap_err().to_string().contains('\n'));
}

#[test]
fn a_required_task_that_panics_or_ends_is_a_failure() {
    async fn ending() {}
    runtime::current_thread().unwrap().block_on(async {
        let mut tasks = RequiredTasks::new();
        tasks.spawn("waits", std::future::pending());
        let failure = time::timeout(Duration::from_millis(50), tasks.failure()).await;
        assert!(failure.is_err(), "no task has ended: {failure:?}");
        tasks.spawn("ends", ending());
        assert_eq!(tasks.failure().await.to_string(), "task \"ends\" failed: it has ended");
        tasks.spawn("panics", panicking());
        let failure = tasks.failure().await.to_string();
        assert!(failure.starts_with("task \"panics\" failed: index out of bounds"), "{failure}");
    });
}

#[test]
fn tasks_that_end_when_they_are_told_to_are_no_failure() {
    async fn ending() {}
    runtime::current_thread().unwrap().block_on(async {
        let mut tasks = RequiredTasks::new();
        tasks.spawn("one", ending());
        tasks.spawn("two", ending());
        assert_eq!(tasks.finish().await, Ok(()));
        tasks.spawn("panics", panicking());
        tasks.spawn("three", ending());
        let failure = tasks.finish().await.unwrap_err().to_string();
        assert!(failure.starts_with("task \"panics\" failed"), "{failure}");
    });
}
