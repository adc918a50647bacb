//! Infrastructure shared by all processes: command line, HTTP, log events, ops listener, runtime
//! and signals.

pub mod arrivals;
pub mod cli;
pub mod client;
pub mod connections;
pub mod deadline;
pub mod event;
pub mod http;
pub mod latency;
pub mod link_delay;
pub mod listener;
pub mod logs;
pub mod runtime;
pub mod server;
pub mod supervise;
pub mod traffic;
