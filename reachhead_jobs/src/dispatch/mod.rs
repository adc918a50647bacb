//! Decisions about the dispatchers of a pool: whether its owner needs any, which process serves which
//! worker, which processes are excluded, and which orders are too old.
//!
//! The owner decides, and its dispatchers carry out what they are told; see docs/design/dispatch.md.

pub mod assignment;
pub mod health;
pub mod need;
pub mod order_age;
