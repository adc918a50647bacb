//! Processes for the tests of single modules.

pub mod broken_node;
pub mod idle_node;
pub mod recorded_node;
