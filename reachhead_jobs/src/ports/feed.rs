//! Change feeds of store tables.

use futures::future::BoxFuture;
use reachhead_store::{StoreError, progress::Progress, row::Row};
use reachhead_types::size::{Millis, Revision};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A row that was written or deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The row; its value is meaningless if it was deleted.
    pub row: Row,
    /// The row was deleted.
    pub deleted: bool,
}

/// Changes of a table up to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPage {
    /// Changes in order.
    pub changes: Vec<Change>,
    /// Revision from which the feed continues.
    pub revision: Revision,
}

/// Why a feed can't continue.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FeedError {
    /// Changes are missing, and the whole table has to be read.
    #[error("the store no longer has the changes since that revision")]
    Forgotten,
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Store tables that can be followed.
pub trait TableFeed: Send + Sync {
    /// Returns all rows of a table, and the revision from which its feed continues.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    fn table(&self, table: &'static str) -> BoxFuture<'_, Result<FeedPage, StoreError>>;

    /// Waits up to `wait` for changes of a table after `revision`.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`].
    fn changes(
        &self,
        table: &'static str,
        revision: Revision,
        wait: Millis,
    ) -> BoxFuture<'_, Result<FeedPage, FeedError>>;

    /// As [`TableFeed::changes`], and records each part of the answer that arrives. A feed whose
    /// answers arrive as a whole records none.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`].
    fn changes_with_progress(
        &self,
        table: &'static str,
        revision: Revision,
        wait: Millis,
        _progress: Progress,
    ) -> BoxFuture<'_, Result<FeedPage, FeedError>> {
        self.changes(table, revision, wait)
    }
}
