//! The history of configuration changes: the log, differences between versions, and undo.
//!
//! The log has one row per version, and an index maps each configuration row to the versions that
//! wrote it, so queries read only rows that they return.

use std::collections::BTreeMap;

use reachhead_types::{
    fleet::RowKey,
    id::{ChangeId, OperatorName},
    scope::Owner,
    size::{Millis, Version},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    Store, StoreError,
    config::{ChangeRequest, ChangeRow, ConfigWrite, LogRow, LoggedWrite},
    keys,
    row::{Key, Row, Scan, Txn},
};

/// Maximum number of versions that one call returns.
pub const PAGE_LIMIT: u32 = 100;

/// Maximum number of versions that a difference may span; a day has about 13,000.
pub const DIFF_LIMIT: u64 = 20_000;

/// Number of versions that one transaction removes from the log.
const TRUNCATE_BATCH: u32 = 50;

/// One write of a configuration row in its history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowEvent {
    /// The version that wrote the row.
    pub version: Version,
    /// The id of the change.
    pub id: ChangeId,
    /// The operator who requested the change.
    pub operator: OperatorName,
    /// Time of the change in milliseconds since the Unix epoch by the admin host's clock; for
    /// display only.
    pub at: Millis,
    /// The previous value; `None` if there was no such row.
    pub before: Option<Value>,
    /// The new value; `None` for a deletion.
    pub value: Option<Value>,
    /// The owner whose operators may read this event.
    pub reader: Owner,
}

/// A row that differs between two versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowDiff {
    /// The row.
    pub key: RowKey,
    /// The value at the earlier version; `None` if the row did not exist.
    pub before: Option<Value>,
    /// The value at the later version; `None` if the row does not exist.
    pub after: Option<Value>,
}

/// Returns the changes after version `after`, at most [`PAGE_LIMIT`].
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn log(store: &dyn Store, after: Version) -> Result<Vec<LogRow>, StoreError> {
    let scan = Scan {
        prefix: keys::LOG_PREFIX.to_owned(),
        after: Some(keys::log(after)),
        limit: PAGE_LIMIT,
    };
    store.scan(scan).await?.rows.iter().map(Row::parse).collect()
}

/// Returns the writes of the row of `key` after version `after`, at most [`PAGE_LIMIT`].
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn row_history(
    store: &dyn Store,
    key: &RowKey,
    after: Version,
) -> Result<Vec<RowEvent>, StoreError> {
    let scan = Scan {
        prefix: keys::history_prefix(key),
        after: Some(keys::history(key, after)),
        limit: PAGE_LIMIT,
    };
    let page = store.scan(scan).await?;
    let versions: Result<Vec<ChangeRow>, StoreError> = page.rows.iter().map(Row::parse).collect();
    let logs: Vec<Key> = versions?.iter().map(|row| keys::log(row.version)).collect();
    let rows = store.read(logs).await?;
    let logs: Result<Vec<LogRow>, StoreError> = rows.iter().flatten().map(Row::parse).collect();
    Ok(logs?.into_iter().filter_map(|log| event(log, key)).collect())
}

fn event(log: LogRow, key: &RowKey) -> Option<RowEvent> {
    let LogRow { version, id, operator, at, writes } = log;
    let LoggedWrite { before, value, reader, .. } =
        writes.into_iter().find(|write| write.key == *key)?;
    Some(RowEvent { version, id, operator, at, before, value, reader })
}

/// Returns the rows that differ between versions `from` and `to`, in key order.
///
/// Only writes for which `may_read` returns true are taken into account.
///
/// # Errors
///
/// Any [`StoreError`]; `Refused` if more than [`DIFF_LIMIT`] versions lie between the two or the
/// log lacks one of them.
pub async fn diff(
    store: &dyn Store,
    from: Version,
    to: Version,
    may_read: impl Fn(&LoggedWrite) -> bool,
) -> Result<Vec<RowDiff>, StoreError> {
    if to.0.saturating_sub(from.0) > DIFF_LIMIT {
        let text = format!("more than {DIFF_LIMIT} versions lie between {from} and {to}");
        return Err(StoreError::Refused(text));
    }
    let mut differing: BTreeMap<RowKey, RowDiff> = BTreeMap::new();
    let mut reached = from;
    while reached < to {
        let page = log(store, reached).await?;
        let next = reached.next();
        for log in page.into_iter().take_while(|log| log.version <= to) {
            if log.version != reached.next() {
                break;
            }
            reached = log.version;
            for write in log.writes.into_iter().filter(&may_read) {
                merge_write(&mut differing, write);
            }
        }
        if reached < next {
            return Err(StoreError::Refused(format!("the log has no version {next}")));
        }
    }
    Ok(differing.into_values().filter(|row| row.before != row.after).collect())
}

fn merge_write(differing: &mut BTreeMap<RowKey, RowDiff>, write: LoggedWrite) {
    let key = write.key.clone();
    let first = RowDiff { key: key.clone(), before: write.before, after: None };
    differing.entry(key).or_insert(first).after = write.value;
}

/// Returns the logged change of `version`, or `None` if the log has no such version.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn find(store: &dyn Store, version: Version) -> Result<Option<LogRow>, StoreError> {
    let rows = store.read(vec![keys::log(version)]).await?;
    rows.first().and_then(Option::as_ref).map(Row::parse).transpose()
}

/// Returns a request with the id `id` that undoes the logged change.
///
/// Like any change it is rejected if one of its rows was written since.
pub fn undo(id: ChangeId, log: LogRow) -> ChangeRequest {
    let version = log.version;
    let writes = log.writes.into_iter().map(|write| ConfigWrite {
        key: write.key,
        // A row that the change deleted must still be absent, which is version 0.
        expected: Some(write.value.map_or(Version(0), |_| version)),
        value: write.before,
    });
    ChangeRequest { id, writes: writes.collect() }
}

/// Removes the oldest versions from the log so that `keep` remain, and returns how many it removed.
///
/// One call removes at most `TRUNCATE_BATCH` versions. Their change ids are removed too: a
/// request that is repeated after `keep` other changes counts as a new one.
///
/// # Errors
///
/// Any [`StoreError`]; the call may be repeated to continue.
pub async fn truncate_log(
    store: &dyn Store,
    newest: Version,
    keep: u64,
) -> Result<usize, StoreError> {
    let bound = Version(newest.0.saturating_sub(keep));
    let prefix = keys::LOG_PREFIX.to_owned();
    let page = store.scan(Scan { prefix, after: None, limit: TRUNCATE_BATCH }).await?;
    let logs: Result<Vec<LogRow>, StoreError> = page.rows.iter().map(Row::parse).collect();
    let old: Vec<LogRow> = logs?.into_iter().take_while(|log| log.version <= bound).collect();
    if old.is_empty() {
        return Ok(0);
    }
    let mut txn = Txn::new();
    for log in &old {
        txn = txn.with_delete(keys::log(log.version)).with_delete(keys::change(log.id));
        for write in &log.writes {
            txn = txn.with_delete(keys::history(&write.key, log.version));
        }
    }
    store.commit(txn).await?;
    Ok(old.len())
}
