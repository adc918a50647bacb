//! Tests of the whole system as real processes over loopback.
//!
//! `extra/test.sh` builds the programs first. Each test has a loopback address of its own, so that
//! tests run side by side and no port of one is taken by another.

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
