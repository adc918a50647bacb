//! Tables of the store that are followed.

use futures::future::BoxFuture;
use reachhead_store::{StoreError, row::Row};
use reachhead_types::size::{Millis, Revision};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A row that changed, or is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The row; of one that is gone, the value means nothing.
    pub row: Row,
    /// The row was deleted.
    pub deleted: bool,
}

/// What a feed told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPage {
    /// The changes in their order.
    pub changes: Vec<Change>,
    /// From where to go on.
    pub revision: Revision,
}

/// Why a feed can't go on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FeedError {
    /// Changes are missing; the whole table has to be read.
    #[error("the store has forgotten the changes since then")]
    Forgotten,
    /// The call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// The store's tables as followers see them.
pub trait TableFeed: Send + Sync {
    /// Returns all rows of a table, and a revision from which the feed goes on.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    fn table(&self, table: &'static str) -> BoxFuture<'_, Result<FeedPage, StoreError>>;

    /// Waits for changes of a table after `revision`, at most `wait`.
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
}
