//! Client for the platform's table service and host list.
//!
//! docs/STORE.md describes the protocol and every key that the system stores.

pub mod adaptive_timeout;
pub mod breaker;
pub mod claim;
pub mod config;
pub mod guarded;
pub mod hosts;
pub mod http;
pub mod keys;
pub mod link;
pub mod memory;
pub mod page_size;
pub mod platform;
pub mod progress;
pub mod row;
pub mod waves;

use futures::future::BoxFuture;
use reachhead_types::{hosts::HostList, size::Revision};
use thiserror::Error;

use crate::{
    progress::Progress,
    row::{Commit, Key, Page, Row, Scan, Txn},
};

/// An error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The call never reached the store, or the store said that it did nothing.
    #[error("the store did not take the call: {0}")]
    NotDone(String),
    /// The store answered that it did nothing because it is overloaded or reserved for other
    /// clients.
    #[error("the store is busy: {0}")]
    Busy(String),
    /// The call was sent but no answer arrived, so it may have taken effect or may still do so.
    #[error("the store's answer is lost: {0}")]
    Lost(String),
    /// The store rejected the call as invalid; a retry fails in the same way.
    #[error("the store refused the call: {0}")]
    Refused(String),
}

/// A transactional key-value table.
pub trait Store: Send + Sync {
    /// Returns the row of each key, in the order of the keys.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; reads have no side effects, so all but `Refused` may be retried.
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>>;

    /// Returns the rows with a key prefix in key order, all as of one revision.
    ///
    /// # Errors
    ///
    /// As [`Store::read`].
    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>>;

    /// As [`Store::scan`], and records each part of the answer that arrives. A store whose answers
    /// arrive as a whole records none.
    ///
    /// # Errors
    ///
    /// As [`Store::read`].
    fn scan_with_progress(
        &self,
        scan: Scan,
        _progress: Progress,
    ) -> BoxFuture<'_, Result<Page, StoreError>> {
        self.scan(scan)
    }

    /// Applies all writes of a transaction if all of its checks hold, otherwise none.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; after [`StoreError::Lost`] the caller must read the rows to find out
    /// whether the transaction was applied.
    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>>;
}

/// A reader of the platform's host list.
pub trait HostLister: Send + Sync {
    /// Returns the host list if its revision is newer than `after`; the list may still be stale.
    ///
    /// # Errors
    ///
    /// As [`Store::read`].
    fn list(&self, after: Revision) -> BoxFuture<'_, Result<Option<HostList>, StoreError>>;
}
