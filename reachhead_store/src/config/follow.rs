//! Reads of configuration updates: deltas from the log, or a full snapshot.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_types::{
    size::{Revision, Version},
    snapshot::{Change, ConfigSnapshot, Delta, GapError},
};

use crate::{
    Store, StoreError,
    config::{ConfigRow, HeadRow, LogRow, LoggedWrite},
    keys,
    row::{Row, Scan},
};

/// Maximum lag, in versions, at which a follower reads the log; further behind, it reads all rows.
const MAX_LOG_VERSIONS: u32 = 64;

/// Maximum number of rows that one scan returns.
const PAGE_SIZE: u32 = 250;

/// An update that brings a follower to the newest version.
#[derive(Debug)]
pub enum ConfigUpdate {
    /// The changes after the follower's version.
    Delta(Delta),
    /// All rows, because the log can't bring the follower up to date.
    Snapshot(ConfigSnapshot),
}

/// Returns the update for a follower at version `have`, or `None` if that is the newest version.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn fetch(store: &dyn Store, have: Version) -> Result<Option<ConfigUpdate>, StoreError> {
    let head = read_head(store).await?.row;
    if head.version <= have {
        return Ok(None);
    }
    let delta = match head.version.0 - have.0 <= u64::from(MAX_LOG_VERSIONS) {
        true => read_log(store, have).await?,
        false => None,
    };
    match delta {
        Some(delta) if delta.to >= head.version => Ok(Some(ConfigUpdate::Delta(delta))),
        // The follower is too far behind, or the log lacks some of the versions in between.
        _ => read_snapshot(store, head.version)
            .await
            .map(|snapshot| Some(ConfigUpdate::Snapshot(snapshot))),
    }
}

/// Updates `snapshot` to the newest version and returns whether its version changed.
///
/// # Errors
///
/// Any [`StoreError`]; the snapshot is then unchanged.
pub async fn follow(store: &dyn Store, snapshot: &mut ConfigSnapshot) -> Result<bool, StoreError> {
    match fetch(store, snapshot.version()).await? {
        None => Ok(false),
        Some(ConfigUpdate::Delta(delta)) => snapshot.apply(&delta).map_err(|gap| gap_error(&gap)),
        Some(ConfigUpdate::Snapshot(newest)) => {
            *snapshot = newest;
            Ok(true)
        }
    }
}

fn gap_error(gap: &GapError) -> StoreError {
    StoreError::NotDone(format!("the log has a gap: {gap}"))
}

pub(super) struct Head {
    pub row: HeadRow,
    pub revision: Option<Revision>,
}

async fn read_head(store: &dyn Store) -> Result<Head, StoreError> {
    parse_head(store.read(vec![keys::head()]).await?.first())
}

pub(super) fn parse_head(row: Option<&Option<Row>>) -> Result<Head, StoreError> {
    match row.and_then(Option::as_ref) {
        Some(row) => Ok(Head { row: row.parse()?, revision: Some(row.revision) }),
        None => Ok(Head { row: HeadRow::default(), revision: None }),
    }
}

/// Returns the logged changes after `have`, or `None` if the log lacks one of the versions.
async fn read_log(store: &dyn Store, have: Version) -> Result<Option<Delta>, StoreError> {
    let scan = Scan {
        prefix: keys::LOG_PREFIX.to_owned(),
        after: Some(keys::log(have)),
        limit: MAX_LOG_VERSIONS,
    };
    let page = store.scan(scan).await?;
    let mut changes = BTreeMap::new();
    let mut to = have;
    for row in &page.rows {
        let log: LogRow = row.parse()?;
        if log.version != to.next() {
            return Ok(None);
        }
        to = log.version;
        for LoggedWrite { key, value, .. } in log.writes {
            let value = value.map(Arc::new);
            changes.insert(key.clone(), Change { key, value, version: to });
        }
    }
    Ok(Some(Delta { from: have, to, changes: changes.into_values().collect() }))
}

/// Reads all rows as a snapshot of version `before` or a newer one.
///
/// The pages may be of different revisions; the log from `before` on brings them to one version.
async fn read_snapshot(store: &dyn Store, before: Version) -> Result<ConfigSnapshot, StoreError> {
    let mut changes = Vec::new();
    let mut after = None;
    loop {
        let scan =
            Scan { prefix: keys::CONFIG_PREFIX.to_owned(), after: after.take(), limit: PAGE_SIZE };
        let page = store.scan(scan).await?;
        for row in &page.rows {
            let config: ConfigRow = row.parse()?;
            let name = row.key.0.trim_start_matches(keys::CONFIG_PREFIX);
            let key = name
                .parse()
                .map_err(|error| StoreError::Refused(format!("key {}: {error}", row.key)))?;
            let value = Some(Arc::new(config.value));
            changes.push(Change { key, value, version: config.version });
        }
        after = page.rows.last().map(|row| row.key.clone());
        if !page.more {
            break;
        }
    }
    // All rows are at version `before` or newer. Each change replaces the whole value of a row, so
    // it is safe to apply the log from `before` on to rows that include some of it already.
    let mut snapshot = ConfigSnapshot::new();
    let whole = Delta { from: Version(0), to: before, changes };
    snapshot.apply(&whole).map_err(|gap| gap_error(&gap))?;
    match read_log(store, before).await? {
        Some(delta) => snapshot.apply(&delta).map_err(|gap| gap_error(&gap))?,
        None => return Err(StoreError::NotDone("the log has a gap".to_owned())),
    };
    Ok(snapshot)
}
