//! What was changed, by whom and when; what differs between two versions; and undoing a change.
//!
//! The log has a row for each version, and an index leads from each configuration row to the
//! versions that wrote it, so neither question reads more than it answers.

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

/// Versions that one call returns at most.
pub const PAGE_LIMIT: u32 = 100;

/// Versions between which a difference is worked out at most; a day has about 13,000.
pub const DIFF_LIMIT: u64 = 20_000;

/// Versions that one transaction cuts off the log.
const CUT_SIZE: u32 = 50;

/// One write of one row, as its history tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowEvent {
    /// The version that wrote it.
    pub version: Version,
    /// The change.
    pub id: ChangeId,
    /// Who asked for it.
    pub operator: OperatorName,
    /// When, in milliseconds since the Unix epoch by the admin host's clock; only for people.
    pub at: Millis,
    /// The value before; `None` where there was no such row.
    pub before: Option<Value>,
    /// The value after; `None` is a deletion.
    pub value: Option<Value>,
    /// Whose operators may read this.
    pub reader: Owner,
}

/// A row that differs between two versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowDiff {
    /// The row.
    pub key: RowKey,
    /// Its value at the earlier version; `None` where there was no such row.
    pub before: Option<Value>,
    /// Its value at the later version; `None` where there is none.
    pub after: Option<Value>,
}

/// Returns the changes after version `after`, [`PAGE_LIMIT`] at most.
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

/// Returns the writes of the row of `key` after version `after`, [`PAGE_LIMIT`] at most.
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

/// Returns the rows that differ between versions `from` and `to`, in the order of their keys, as far
/// as `may_read` lets their writes be read.
///
/// # Errors
///
/// `Refused` if there are more than [`DIFF_LIMIT`] versions between them or the log does not have
/// all of them.
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
                note(&mut differing, write);
            }
        }
        if reached < next {
            return Err(StoreError::Refused(format!("the log has no version {next}")));
        }
    }
    Ok(differing.into_values().filter(|row| row.before != row.after).collect())
}

fn note(differing: &mut BTreeMap<RowKey, RowDiff>, write: LoggedWrite) {
    let key = write.key.clone();
    let first = RowDiff { key: key.clone(), before: write.before, after: None };
    differing.entry(key).or_insert(first).after = write.value;
}

/// Returns the change that became `version`, or `None` if there is no such version.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn find(store: &dyn Store, version: Version) -> Result<Option<LogRow>, StoreError> {
    let rows = store.read(vec![keys::log(version)]).await?;
    rows.first().and_then(Option::as_ref).map(Row::parse).transpose()
}

/// Returns the change `id` that undoes what `log` tells; it is refused, as any change is, if one of
/// the rows was written since.
pub fn undo(id: ChangeId, log: LogRow) -> ChangeRequest {
    let version = log.version;
    let writes = log.writes.into_iter().map(|write| ConfigWrite {
        key: write.key,
        // A row that the change deleted must still be absent.
        expected: Some(write.value.map_or(Version(0), |_| version)),
        value: write.before,
    });
    ChangeRequest { id, writes: writes.collect() }
}

/// Cuts versions off the log so that `keep` are left, [`CUT_SIZE`] at most, and returns how many it
/// was. Their change ids go with them: a change that is repeated after that many others is a new one.
///
/// # Errors
///
/// Any [`StoreError`]; what was cut stays cut, and the same again goes on.
pub async fn truncate_log(
    store: &dyn Store,
    newest: Version,
    keep: u64,
) -> Result<usize, StoreError> {
    let bound = Version(newest.0.saturating_sub(keep));
    let prefix = keys::LOG_PREFIX.to_owned();
    let page = store.scan(Scan { prefix, after: None, limit: CUT_SIZE }).await?;
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
