//! Operator actions on maintenance waves: start, pause, resume and cancel.

use reachhead_types::{
    id::{PoolName, WaveName},
    pool::{WaveRow, WaveState},
    size::Revision,
};
use serde_json::{Value, json};
use thiserror::Error;

use crate::{
    Store, StoreError, hosts, keys,
    row::{Commit, Txn},
};

/// Attempts of an action that loses races against other writes of the same wave.
const MAX_ATTEMPTS: u32 = 8;

/// An error of an action on a wave.
#[derive(Debug, Error)]
pub enum WaveError {
    /// Another wave of the pool is in progress.
    #[error("wave {0} of pool {1} is not over")]
    Busy(WaveName, PoolName),
    /// The pool has no such wave.
    #[error("pool {1} has no wave {0}")]
    Missing(WaveName, PoolName),
    /// The wave was cancelled, which is final.
    #[error("wave {0} was cancelled; start another one")]
    Cancelled(WaveName),
    /// Each attempt lost a race against another change of the same wave.
    #[error("too many changes of this wave at once; nothing changed")]
    Raced,
    /// The store failed; the action may be repeated.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// A pool's wave with the revision of its row.
struct StoredWave {
    row: WaveRow,
    revision: Revision,
}

/// Returns the wave of a pool, if any.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn of_pool(store: &dyn Store, pool: &PoolName) -> Result<Option<WaveRow>, StoreError> {
    Ok(find(store, pool).await?.map(|found| found.row))
}

/// Starts the wave `name` in a pool; does nothing if it was started before.
///
/// # Errors
///
/// Any [`WaveError`].
pub async fn start(store: &dyn Store, pool: &PoolName, name: &WaveName) -> Result<(), WaveError> {
    for _ in 0..MAX_ATTEMPTS {
        let found = find(store, pool).await?;
        if let Some(StoredWave { row, .. }) = &found {
            if row.name == *name {
                return match row.state {
                    WaveState::Cancelled => Err(WaveError::Cancelled(name.clone())),
                    _ => Ok(()),
                };
            }
            if !is_over(store, pool, row).await? {
                return Err(WaveError::Busy(row.name.clone(), pool.clone()));
            }
        }
        let row = WaveRow { name: name.clone(), state: WaveState::Running };
        let expected = found.map(|found| found.revision);
        if write(store, pool, &row, expected).await? {
            return Ok(());
        }
    }
    Err(WaveError::Raced)
}

/// Pauses, resumes or cancels the wave `name` of a pool.
///
/// # Errors
///
/// Any [`WaveError`].
pub async fn set_state(
    store: &dyn Store,
    pool: &PoolName,
    name: &WaveName,
    state: WaveState,
) -> Result<(), WaveError> {
    for _ in 0..MAX_ATTEMPTS {
        let Some(StoredWave { row, revision }) = find(store, pool).await? else {
            return Err(WaveError::Missing(name.clone(), pool.clone()));
        };
        if row.name != *name {
            return Err(WaveError::Missing(name.clone(), pool.clone()));
        }
        if row.state == state {
            return Ok(());
        }
        if row.state == WaveState::Cancelled {
            return Err(WaveError::Cancelled(name.clone()));
        }
        if write(store, pool, &WaveRow { state, ..row }, Some(revision)).await? {
            return Ok(());
        }
    }
    Err(WaveError::Raced)
}

/// Returns whether a wave has no host left to process.
async fn is_over(store: &dyn Store, pool: &PoolName, row: &WaveRow) -> Result<bool, StoreError> {
    let hosts = hosts::in_pool(store, pool).await?;
    let is_pending = |host: &hosts::Host| match row.state {
        WaveState::Cancelled => host.row.wave.is_some(),
        _ => host.row.last_wave.as_ref() != Some(&row.name),
    };
    Ok(!hosts.iter().any(is_pending))
}

async fn find(store: &dyn Store, pool: &PoolName) -> Result<Option<StoredWave>, StoreError> {
    let rows = store.read(vec![keys::wave(pool)]).await?;
    let Some(row) = rows.into_iter().next().flatten() else {
        return Ok(None);
    };
    Ok(Some(StoredWave { row: row.parse()?, revision: row.revision }))
}

/// Writes the wave of a pool if its row still has the revision `expected`; returns whether it did.
async fn write(
    store: &dyn Store,
    pool: &PoolName,
    row: &WaveRow,
    expected: Option<Revision>,
) -> Result<bool, StoreError> {
    let value = serde_json::to_value(row).unwrap_or(Value::Null);
    let txn = Txn::new()
        .with_check(keys::wave(pool), expected)
        .with_write(keys::wave(pool), value)
        .with_write(keys::pool_head(pool), json!({ "wave": row.name }));
    Ok(matches!(store.commit(txn).await?, Commit::Done(_)))
}
