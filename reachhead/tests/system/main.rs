//! End-to-end tests of the whole system, run as real processes over loopback.
//!
//! The programs must be built first, as `extra/test.sh` does. Each test has a loopback address of
//! its own, so that tests run in parallel without port conflicts.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

mod claims;
mod limits;
mod load;
mod operators;
mod outcomes;
mod path;
mod pools;
mod replacement;
mod settings;
mod waves;
