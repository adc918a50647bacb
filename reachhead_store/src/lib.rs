//! The platform as the programs see it: rows, transactions, the host list, and what can go wrong.
//!
//! docs/STORE.md gives the protocol and every key that the system keeps.

pub mod adaptive_timeout;
pub mod breaker;
pub mod claim;
pub mod config;
pub mod guarded;
pub mod hosts;
pub mod http;
pub mod keys;
pub mod memory;
pub mod platform;
pub mod row;
pub mod waves;

use futures::future::BoxFuture;
use reachhead_types::{hosts::HostList, size::Revision};
use thiserror::Error;

use crate::row::{Commit, Key, Page, Row, Scan, Txn};

/// Why a call to the store gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The call never reached the store, or the store said that it did nothing.
    #[error("the store did not take the call: {0}")]
    NotDone(String),
    /// The store answered that it did nothing, since it has too much to do or serves others.
    #[error("the store is busy: {0}")]
    Busy(String),
    /// The call was sent and its answer is lost, so it may have taken effect, or still may.
    #[error("the store's answer is lost: {0}")]
    Lost(String),
    /// The store did not understand the call; a retry can't help.
    #[error("the store refused the call: {0}")]
    Refused(String),
}

/// The table service.
pub trait Store: Send + Sync {
    /// Returns the row of each key, in the order of the keys.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; a read has no effect, so each may be retried but `Refused`.
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>>;

    /// Returns the rows of a prefix in the order of their keys, all as of one revision.
    ///
    /// # Errors
    ///
    /// As [`Store::read`].
    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>>;

    /// Writes all of a transaction's rows if all of its checks hold, else none.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Lost`] the caller has to read back what became of it.
    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>>;
}

/// The platform's list of hosts.
pub trait HostLister: Send + Sync {
    /// Returns the list if it is newer than `after`; it may all the same be stale.
    ///
    /// # Errors
    ///
    /// As [`Store::read`].
    fn list(&self, after: Revision) -> BoxFuture<'_, Result<Option<HostList>, StoreError>>;
}
