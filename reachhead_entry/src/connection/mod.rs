//! Connections from callers and to minions.

pub mod accept;
pub mod head_inspector;
pub mod minion_client;
mod shutdown;
