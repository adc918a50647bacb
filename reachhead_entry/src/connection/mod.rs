//! What lives as long as a connection: callers' connections and connections to minions.

pub mod accept;
pub mod out;
pub mod stall;
mod stop;
pub mod watch;
