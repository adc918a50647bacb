//! Decisions about placement, as plain functions over explicit state; docs/PLACEMENT.md has the rules.

pub mod amount;
pub mod estimate;
pub mod health;
pub mod planner;
pub mod pool;
pub mod room;
pub mod share;
