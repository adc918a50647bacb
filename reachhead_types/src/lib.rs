//! Domain types shared by all programs: ids, quantities, configuration and store rows, errors.

pub mod answer;
pub mod boot_instant;
pub mod error;
pub mod fleet;
pub mod hosts;
pub mod id;
pub mod member;
pub mod pool;
pub mod scope;
pub mod size;
pub mod snapshot;
pub mod token;
pub mod tree;
