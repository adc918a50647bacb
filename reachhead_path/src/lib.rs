//! Decision logic of the request path: shares, queues, choices, retries, claims.
//!
//! Everything here is a plain function or struct over explicit state and time. Nothing reads a
//! clock, a socket or the store, so each part is tested against a naive version of itself.

pub mod claim;
pub mod eject;
pub mod fair;
pub mod loan;
pub mod pick;
pub mod retry;
pub mod share;
