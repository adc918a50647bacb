//! Dispatch: other processes send the orders of an owner that can't send them all itself, and collect
//! the reports of its workers. docs/design/dispatch-and-overload.md, "Dispatch", has the design.

mod agent;
mod link;
mod messages;
mod metrics;
mod payloads;
mod sender;
mod server;
mod session;
mod sessions;

#[cfg(test)]
#[path = "agent_tests.rs"]
mod agent_tests;
#[cfg(test)]
#[path = "fakes_tests.rs"]
mod fakes;
#[cfg(test)]
#[path = "server_tests.rs"]
mod server_tests;

pub use self::{
    agent::{DispatchedWorkers, PollOutcome},
    link::PeerLink,
    messages::{DispatchBatch, OrderResult, ResultBatch},
    metrics::DispatchMetrics,
    server::{DispatchServer, ServedStatus},
    sessions::{Candidate, SessionStatus},
};
