//! Limits on what the connections of a group of listeners hold.
//!
//! docs/design/client-limits.md describes the limits and whom they refuse.

mod account;
mod body;
mod budget;
mod ledger;
mod linger;
mod stream;

pub use self::{
    account::{Account, ConnectionTimes, Expiry},
    body::read_body,
    budget::{Budget, ConnectionMetrics, Opened},
    ledger::{BudgetLimits, Growth, Ledger, Opening, Phase},
    linger::drain,
    stream::AccountedStream,
};
