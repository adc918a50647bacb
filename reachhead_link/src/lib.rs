//! Request-reply messaging between the system's own processes, over `nng`.
//!
//! Requests and replies are JSON. No caller's request waits for such a message, except a repeated
//! one whose claim is held by another entry host; docs/DESIGN.md gives the reason.

pub mod client;
pub mod message;
pub mod server;
