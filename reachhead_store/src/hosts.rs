//! Reads and changes of hosts and their pools.
//!
//! Each change is one transaction that also rewrites the head row of the pools concerned, so that
//! their owners read them again; docs/POOLS.md describes the rows.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::{
    fleet::RowKey,
    id::{HostId, PoolName, ServiceName},
    pool::{BudgetRow, HostPhase, HostRow},
    size::Revision,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use thiserror::Error;

use crate::{
    Store, StoreError, keys,
    row::{Commit, Key, Row, Scan, Txn},
};

/// Maximum number of rows that one scan returns.
const PAGE_SIZE: u32 = 500;

/// Attempts of an action that loses races against other writes of the same host.
const MAX_ATTEMPTS: u32 = 8;

/// An error of an action on hosts.
#[derive(Debug, Error)]
pub enum HostError {
    /// The host exists already with another row.
    #[error("there is a host {0} already")]
    Exists(HostId),
    /// There is no such host.
    #[error("there is no host {0}")]
    Missing(HostId),
    /// There is no such pool.
    #[error("there is no pool {0}")]
    NoPool(PoolName),
    /// The host is being moved to another pool or is not serving.
    #[error("host {0} is on its way to another pool; take that back first")]
    Moving(HostId),
    /// Each attempt lost a race against another change of the same host.
    #[error("too many changes of this host at once; nothing changed")]
    Raced,
    /// The store failed; the action may be repeated.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// A host with its row and the revision of that row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host.
    pub id: HostId,
    /// Its row.
    pub row: HostRow,
    /// The revision of the row.
    pub revision: Revision,
}

/// Adds a host to the pool that `row` names; does nothing if it is there already with the same row.
///
/// # Errors
///
/// Any [`HostError`].
pub async fn add(store: &dyn Store, id: &HostId, row: &HostRow) -> Result<(), HostError> {
    for _ in 0..MAX_ATTEMPTS {
        match find(store, id).await {
            Ok(host) if host.row == *row => return Ok(()),
            Ok(_) => return Err(HostError::Exists(id.clone())),
            Err(HostError::Missing(_)) => {}
            Err(error) => return Err(error),
        }
        let pool = read_pool(store, &row.pool).await?;
        let txn = with_pool_check(Txn::new(), &row.pool, pool)
            .with_check(keys::host(id), None)
            .with_write(keys::host(id), json(row))
            .with_write(keys::pool_host(&row.pool, id), json!({}))
            .with_write(keys::pool_head(&row.pool), json!({ "added": id }));
        if let Commit::Done(_) = store.commit(txn).await? {
            return Ok(());
        }
    }
    Err(HostError::Raced)
}

/// Requests that `id` be moved to the pool `to`; `None` cancels a move that is not done yet.
///
/// # Errors
///
/// Any [`HostError`].
pub async fn request_move(
    store: &dyn Store,
    id: &HostId,
    to: Option<&PoolName>,
) -> Result<HostRow, HostError> {
    for _ in 0..MAX_ATTEMPTS {
        let host = find(store, id).await?;
        let mut txn = Txn::new();
        if let Some(to) = to {
            txn = with_pool_check(txn, to, read_pool(store, to).await?);
        }
        let target_pool = to.filter(|to| **to != host.row.pool).cloned();
        if target_pool == host.row.target_pool {
            return Ok(host.row);
        }
        let row = HostRow { target_pool, ..host.row };
        let txn = txn
            .with_check(keys::host(id), Some(host.revision))
            .with_write(keys::host(id), json(&row))
            .with_write(keys::pool_head(&row.pool), json!({ "wanted": id }));
        if let Commit::Done(_) = store.commit(txn).await? {
            return Ok(row);
        }
    }
    Err(HostError::Raced)
}

/// Removes a serving host that is not being moved; does nothing if there is no such host.
///
/// # Errors
///
/// Any [`HostError`].
pub async fn remove(store: &dyn Store, id: &HostId) -> Result<(), HostError> {
    for _ in 0..MAX_ATTEMPTS {
        let host = match find(store, id).await {
            Err(HostError::Missing(_)) => return Ok(()),
            found => found?,
        };
        if host.row.phase != HostPhase::Serving || host.row.target_pool.is_some() {
            return Err(HostError::Moving(id.clone()));
        }
        let pool = &host.row.pool;
        let txn = Txn::new()
            .with_check(keys::host(id), Some(host.revision))
            .with_delete(keys::host(id))
            .with_delete(keys::pool_host(pool, id))
            .with_write(keys::pool_head(pool), json!({ "removed": id }));
        if let Commit::Done(_) = store.commit(txn).await? {
            return Ok(());
        }
    }
    Err(HostError::Raced)
}

/// Returns the host `id`.
///
/// # Errors
///
/// `Missing`, or any [`StoreError`].
pub async fn find(store: &dyn Store, id: &HostId) -> Result<Host, HostError> {
    let rows = store.read(vec![keys::host(id)]).await?;
    let row = rows.into_iter().next().flatten().ok_or_else(|| HostError::Missing(id.clone()))?;
    Ok(Host { id: id.clone(), row: row.parse()?, revision: row.revision })
}

/// Returns the hosts of `pool`, ordered by name.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn in_pool(store: &dyn Store, pool: &PoolName) -> Result<Vec<Host>, StoreError> {
    let pools = in_pools(store, std::slice::from_ref(pool)).await?;
    Ok(pools.into_values().next().unwrap_or_default())
}

/// Returns the hosts of each of `pools`, ordered by name.
///
/// All rows are read at one revision. Hosts of several pools share availability budgets, and if the
/// pools were read one after the other a budget could look more spent than it ever was.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn in_pools(
    store: &dyn Store,
    pools: &[PoolName],
) -> Result<BTreeMap<PoolName, Vec<Host>>, StoreError> {
    let mut names = BTreeSet::new();
    for pool in pools {
        names.append(&mut host_names(store, pool).await?);
    }
    let names: Vec<HostId> = names.into_iter().collect();
    let rows = store.read(names.iter().map(keys::host).collect()).await?;
    let mut found: BTreeMap<PoolName, Vec<Host>> =
        pools.iter().map(|pool| (pool.clone(), Vec::new())).collect();
    for (id, row) in names.into_iter().zip(rows) {
        let Some(row) = row else { continue };
        let host = Host { id, row: row.parse()?, revision: row.revision };
        // The host may have moved since the names were read; the owner of its new pool handles it.
        if let Some(hosts) = found.get_mut(&host.row.pool) {
            hosts.push(host);
        }
    }
    Ok(found)
}

async fn host_names(store: &dyn Store, pool: &PoolName) -> Result<BTreeSet<HostId>, StoreError> {
    let prefix = keys::pool_hosts(pool);
    let mut names = BTreeSet::new();
    let mut after = None;
    loop {
        let scan = Scan { prefix: prefix.clone(), after: after.take(), limit: PAGE_SIZE };
        let page = store.scan(scan).await?;
        for row in &page.rows {
            names.insert(parse_host(&row.key, &prefix)?);
        }
        after = page.rows.last().map(|row| row.key.clone());
        if !page.more {
            return Ok(names);
        }
    }
}

/// Returns all hosts, ordered by name.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn all(store: &dyn Store) -> Result<Vec<Host>, StoreError> {
    let mut hosts = Vec::new();
    let mut after = None;
    loop {
        let prefix = keys::HOST_PREFIX.to_owned();
        let page = store.scan(Scan { prefix, after: after.take(), limit: PAGE_SIZE }).await?;
        for row in &page.rows {
            let id = parse_host(&row.key, keys::HOST_PREFIX)?;
            hosts.push(Host { id, row: row.parse()?, revision: row.revision });
        }
        after = page.rows.last().map(|row| row.key.clone());
        if !page.more {
            return Ok(hosts);
        }
    }
}

/// Moves an empty host to the pool `to` on behalf of its current pool's owner.
///
/// Returns whether the host moved. The revision of the owner's `lease` is a precondition, so an
/// owner that was paused and has lost its lease moves nothing.
///
/// # Errors
///
/// Any [`HostError`]; after a lost answer the host is in one of the two pools.
pub async fn move_to_pool(
    store: &dyn Store,
    host: &Host,
    to: &PoolName,
    lease: Revision,
) -> Result<bool, HostError> {
    let from = &host.row.pool;
    let row = HostRow {
        pool: to.clone(),
        epoch: host.row.epoch.next(),
        phase: HostPhase::Arriving,
        target_pool: None,
        ..host.row.clone()
    };
    let pool = read_pool(store, to).await?;
    let txn = with_pool_check(Txn::new(), to, pool)
        .with_check(keys::lease(from), Some(lease))
        .with_check(keys::host(&host.id), Some(host.revision))
        .with_write(keys::host(&host.id), json(&row))
        .with_delete(keys::pool_host(from, &host.id))
        .with_write(keys::pool_host(to, &host.id), json!({}))
        .with_write(keys::pool_head(from), json!({ "moved": host.id }))
        .with_write(keys::pool_head(to), json!({ "moved": host.id, "epoch": row.epoch }));
    Ok(matches!(store.commit(txn).await?, Commit::Done(_)))
}

/// Writes a host's row and the `budgets` that change with it, on behalf of the pool's owner.
///
/// Returns the new revision, or `None` if one of the rows or the lease changed meanwhile. The
/// pool's head row is rewritten too, so that the owner notices a write of its own whose answer was
/// lost.
///
/// # Errors
///
/// Any [`StoreError`]; after a lost answer the rows must be read again.
pub async fn update_row(
    store: &dyn Store,
    host: &Host,
    row: &HostRow,
    fence: Fence,
    budgets: &[BudgetWrite],
) -> Result<Option<Revision>, StoreError> {
    let head = keys::pool_head(&host.row.pool);
    let mut txn = Txn::new()
        .with_check(keys::lease(&host.row.pool), Some(fence.lease))
        .with_check(head.clone(), fence.head)
        .with_check(keys::host(&host.id), Some(host.revision))
        .with_write(head, json!({ "written": host.id }))
        .with_write(keys::host(&host.id), json(row));
    for BudgetWrite { service, revision, row } in budgets {
        let key = keys::budget(service);
        let value = serde_json::to_value(row).unwrap_or(Value::Null);
        txn = txn.with_check(key.clone(), *revision).with_write(key, value);
    }
    match store.commit(txn).await? {
        Commit::Done(revision) => Ok(Some(revision)),
        Commit::Conflict(_) => Ok(None),
    }
}

/// The preconditions that fence the writes of a pool's owner.
#[derive(Debug, Clone, Copy)]
pub struct Fence {
    /// The revision of the pool's lease.
    pub lease: Revision,
    /// The revision of the pool's head row; `None` if there is no such row.
    pub head: Option<Revision>,
}

/// A new budget row with the revision of the row that it replaces.
#[derive(Debug, Clone)]
pub struct BudgetWrite {
    /// The service.
    pub service: ServiceName,
    /// The revision of the old row; `None` if there was none.
    pub revision: Option<Revision>,
    /// The new row.
    pub row: BudgetRow,
}

/// Returns the budget rows of `services`, in the same order.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn budgets(
    store: &dyn Store,
    services: Vec<ServiceName>,
) -> Result<Vec<BudgetWrite>, StoreError> {
    if services.is_empty() {
        return Ok(Vec::new());
    }
    let rows = store.read(services.iter().map(keys::budget).collect()).await?;
    let budget = |(service, row): (ServiceName, Option<Row>)| {
        let (revision, row) = match row {
            Some(row) => (Some(row.revision), row.parse()?),
            None => (None, BudgetRow::default()),
        };
        Ok(BudgetWrite { service, revision, row })
    };
    services.into_iter().zip(rows).map(budget).collect()
}

async fn read_pool(store: &dyn Store, pool: &PoolName) -> Result<Revision, HostError> {
    let rows = store.read(vec![keys::config(&RowKey::Pool(pool.clone()))]).await?;
    let row = rows.into_iter().next().flatten();
    row.map(|row| row.revision).ok_or_else(|| HostError::NoPool(pool.clone()))
}

/// Adds the check that the pool is unchanged since it was read, so that it can't be deleted
/// meanwhile; the deletion of a pool checks in turn that it has no hosts.
fn with_pool_check(txn: Txn, pool: &PoolName, revision: Revision) -> Txn {
    txn.with_check(keys::config(&RowKey::Pool(pool.clone())), Some(revision))
}

fn parse_host(key: &Key, prefix: &str) -> Result<HostId, StoreError> {
    let text = key.0.strip_prefix(prefix).unwrap_or_default();
    text.parse().map_err(|error| StoreError::Refused(format!("key {key}: {error}")))
}

fn json(row: &HostRow) -> Value {
    serde_json::to_value(row).unwrap_or(Value::Null)
}
