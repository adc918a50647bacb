//! Limits on what the connections of a group of listeners hold.
//!
//! docs/design/client-limits.md describes the limits and whom they refuse.

mod account;
mod budget;
mod ledger;
mod linger;
mod stream;

pub use self::{
    account::ConnectionTimes,
    budget::{Budget, ConnectionMetrics},
    ledger::{BudgetLimits, ConnectionId, Growth, Ledger, Opening, Phase},
};
pub(crate) use self::{
    account::{Account, Expiry},
    linger::drain,
    stream::AccountedStream,
};
