//! Decision logic of the request path: slot shares, queues, load balancing, retries and idempotency
//! claims.
//!
//! All modules are pure functions and structs over explicit state and time. Nothing reads a clock,
//! a socket or the store, so each module is tested against a naive implementation.

pub mod claim;
pub mod eject;
pub mod fair;
pub mod loan;
pub mod pick;
pub mod retry;
pub mod share;
