//! Ownership of host pools, moves of hosts between pools, and maintenance waves.
//!
//! docs/POOLS.md has the safety argument.

pub mod budget;
pub mod controller;
pub mod host;
pub mod lease;
