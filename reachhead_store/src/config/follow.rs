//! Following the configuration: deltas from the log, or all rows.

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

/// Versions that a follower catches up by reading the log; further behind, it reads all rows.
const LOG_LIMIT: u32 = 64;

/// Rows that one scan returns.
const PAGE_SIZE: u32 = 250;

/// What a follower lacks.
#[derive(Debug)]
pub enum ConfigUpdate {
    /// The changes after its version.
    Delta(Delta),
    /// Everything, since the log does not reach back so far.
    Snapshot(ConfigSnapshot),
}

/// Returns what a follower at version `have` lacks, or `None` if that is the newest.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn fetch(store: &dyn Store, have: Version) -> Result<Option<ConfigUpdate>, StoreError> {
    let head = read_head(store).await?.row;
    if head.version <= have {
        return Ok(None);
    }
    let delta = match head.version.0 - have.0 <= u64::from(LOG_LIMIT) {
        true => read_log(store, have).await?,
        false => None,
    };
    match delta {
        Some(delta) if delta.to >= head.version => Ok(Some(ConfigUpdate::Delta(delta))),
        // The log does not reach from here to there.
        _ => read_whole(store, head.version)
            .await
            .map(|snapshot| Some(ConfigUpdate::Snapshot(snapshot))),
    }
}

/// Brings `snapshot` up to the newest version and tells whether it went up.
///
/// # Errors
///
/// Any [`StoreError`]; the book is then as it was.
pub async fn follow(store: &dyn Store, snapshot: &mut ConfigSnapshot) -> Result<bool, StoreError> {
    match fetch(store, snapshot.version()).await? {
        None => Ok(false),
        Some(ConfigUpdate::Delta(delta)) => snapshot.apply(&delta).map_err(|gap| gap_error(&gap)),
        Some(ConfigUpdate::Snapshot(whole)) => {
            *snapshot = whole;
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

/// Returns the changes after `have`, or `None` if the log does not reach back so far.
async fn read_log(store: &dyn Store, have: Version) -> Result<Option<Delta>, StoreError> {
    let scan = Scan {
        prefix: keys::LOG_PREFIX.to_owned(),
        after: Some(keys::log(have)),
        limit: LOG_LIMIT,
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

/// Reads all rows; pages of different moments are made one version by the log.
async fn read_whole(store: &dyn Store, before: Version) -> Result<ConfigSnapshot, StoreError> {
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
    // The rows hold at least version `before`, some maybe newer; whole writes make it safe to
    // apply the log from `before` on over them.
    let mut snapshot = ConfigSnapshot::new();
    let whole = Delta { from: Version(0), to: before, changes };
    snapshot.apply(&whole).map_err(|gap| gap_error(&gap))?;
    match read_log(store, before).await? {
        Some(delta) => snapshot.apply(&delta).map_err(|gap| gap_error(&gap))?,
        None => return Err(StoreError::NotDone("the log has a gap".to_owned())),
    };
    Ok(snapshot)
}
