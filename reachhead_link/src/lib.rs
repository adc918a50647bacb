//! Messages between the system's own processes: what is said, and `nng` that carries it.
//!
//! Requests and replies are JSON. No caller's request ever waits for a message here, except a
//! repeated one whose claim another entry host holds; docs/DESIGN.md gives the reason.

pub mod client;
pub mod message;
pub mod server;
