//! What every long-lived process shares: command line, events, ops listener, signals, threads.

pub mod cli;
pub mod client;
pub mod deadline;
pub mod event;
pub mod http;
pub mod latency;
pub mod listener;
pub mod logs;
pub mod runtime;
