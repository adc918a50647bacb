//! Scheduling decisions as pure functions over explicit state; docs/PLACEMENT.md has the rules.

pub mod amount;
pub mod capacity;
pub mod estimate;
pub mod failures;
pub mod planner;
pub mod pool;
pub mod share;
