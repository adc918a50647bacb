//! Tests of the whole system as real processes over loopback.
//!
//! `extra/test.sh` builds the programs first. Each test has a loopback address of its own, so that
//! tests run side by side and no port of one is taken by another.

mod harness;
mod outcomes;
mod path;
mod settings;
