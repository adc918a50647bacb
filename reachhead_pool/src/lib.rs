//! Who is in charge of a pool, and how hosts move between pools; docs/POOLS.md has the argument.

pub mod budget;
pub mod controller;
pub mod host;
pub mod lease;
