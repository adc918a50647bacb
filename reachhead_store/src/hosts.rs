//! What operators do with hosts: adding, moving, removing, listing.
//!
//! Each is one transaction that also moves the head of the pools it touches, so that their owner
//! looks again; docs/POOLS.md has the rows.

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

/// Hosts that one scan returns.
const PAGE_SIZE: u32 = 500;

/// Times that a call is tried against racing writes of the same host.
const TRY_LIMIT: u32 = 8;

/// Why a call on hosts was not carried out.
#[derive(Debug, Error)]
pub enum HostError {
    /// The host is there already, otherwise described.
    #[error("there is a host {0} already")]
    Exists(HostId),
    /// There is no such host.
    #[error("there is no host {0}")]
    Missing(HostId),
    /// There is no such pool.
    #[error("there is no pool {0}")]
    NoPool(PoolName),
    /// The host is on its way from one pool to another.
    #[error("host {0} is on its way to another pool; take that back first")]
    Moving(HostId),
    /// Others kept changing the same host.
    #[error("too many changes of this host at once; nothing changed")]
    Raced,
    /// The store failed; the call may be repeated.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// A host with its row and the revision at which the row was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host.
    pub id: HostId,
    /// Its row.
    pub row: HostRow,
    /// The revision of the row.
    pub revision: Revision,
}

/// Adds a host to the pool that `row` names; the same again changes nothing.
///
/// # Errors
///
/// Any [`HostError`].
pub async fn add(store: &dyn Store, id: &HostId, row: &HostRow) -> Result<(), HostError> {
    for _ in 0..TRY_LIMIT {
        match find(store, id).await {
            Ok(host) if host.row == *row => return Ok(()),
            Ok(_) => return Err(HostError::Exists(id.clone())),
            Err(HostError::Missing(_)) => {}
            Err(error) => return Err(error),
        }
        let pool = read_pool(store, &row.pool).await?;
        let txn = pool_check(Txn::new(), &row.pool, pool)
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

/// Asks for `id` to be moved to the pool `to`; `None` takes that back, as far as it was not done.
///
/// # Errors
///
/// Any [`HostError`].
pub async fn request_move(
    store: &dyn Store,
    id: &HostId,
    to: Option<&PoolName>,
) -> Result<HostRow, HostError> {
    for _ in 0..TRY_LIMIT {
        let host = find(store, id).await?;
        let mut txn = Txn::new();
        if let Some(to) = to {
            txn = pool_check(txn, to, read_pool(store, to).await?);
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

/// Takes a host that is not on its way out of its pool and forgets it.
///
/// # Errors
///
/// Any [`HostError`].
pub async fn remove(store: &dyn Store, id: &HostId) -> Result<(), HostError> {
    for _ in 0..TRY_LIMIT {
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

/// Returns the hosts of `pool` in the order of their names.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn in_pool(store: &dyn Store, pool: &PoolName) -> Result<Vec<Host>, StoreError> {
    let pools = in_pools(store, std::slice::from_ref(pool)).await?;
    Ok(pools.into_values().next().unwrap_or_default())
}

/// Returns the hosts of each of `pools`, in the order of their names. All rows are of one moment: hosts of several pools share
/// budgets, and read one pool after the other they could look more spent than they ever were.
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
        names.append(&mut names_in(store, pool).await?);
    }
    let names: Vec<HostId> = names.into_iter().collect();
    let rows = store.read(names.iter().map(keys::host).collect()).await?;
    let mut found: BTreeMap<PoolName, Vec<Host>> =
        pools.iter().map(|pool| (pool.clone(), Vec::new())).collect();
    for (id, row) in names.into_iter().zip(rows) {
        let Some(row) = row else { continue };
        let host = Host { id, row: row.parse()?, revision: row.revision };
        // Since the names were read it may have moved on; its new pool's owner looks after it.
        if let Some(hosts) = found.get_mut(&host.row.pool) {
            hosts.push(host);
        }
    }
    Ok(found)
}

async fn names_in(store: &dyn Store, pool: &PoolName) -> Result<BTreeSet<HostId>, StoreError> {
    let prefix = keys::pool_hosts(pool);
    let mut names = BTreeSet::new();
    let mut after = None;
    loop {
        let scan = Scan { prefix: prefix.clone(), after: after.take(), limit: PAGE_SIZE };
        let page = store.scan(scan).await?;
        for row in &page.rows {
            names.insert(name(&row.key, &prefix)?);
        }
        after = page.rows.last().map(|row| row.key.clone());
        if !page.more {
            return Ok(names);
        }
    }
}

/// Returns all hosts in the order of their names.
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
            let id = name(&row.key, keys::HOST_PREFIX)?;
            hosts.push(Host { id, row: row.parse()?, revision: row.revision });
        }
        after = page.rows.last().map(|row| row.key.clone());
        if !page.more {
            return Ok(hosts);
        }
    }
}

/// Moves an empty host to the pool `to`, on the word of the owner of the pool that it is in.
///
/// The lease's revision is a precondition, so an owner that was paused moves nothing. Returns whether
/// it moved.
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
    let txn = pool_check(Txn::new(), to, pool)
        .with_check(keys::lease(from), Some(lease))
        .with_check(keys::host(&host.id), Some(host.revision))
        .with_write(keys::host(&host.id), json(&row))
        .with_delete(keys::pool_host(from, &host.id))
        .with_write(keys::pool_host(to, &host.id), json!({}))
        .with_write(keys::pool_head(from), json!({ "moved": host.id }))
        .with_write(keys::pool_head(to), json!({ "moved": host.id, "epoch": row.epoch }));
    Ok(matches!(store.commit(txn).await?, Commit::Done(_)))
}

/// Writes a host's row within its pool, on the word of the pool's owner, with the rows of `budgets`
/// that change with it; `None` if it is too late. The pool's head moves from `head` with it, so that the
/// owner sees a write of its own whose answer was lost.
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

/// What fences an owner's writes: the rows must be as it has read them.
#[derive(Debug, Clone, Copy)]
pub struct Fence {
    /// The revision of the pool's lease.
    pub lease: Revision,
    /// The revision of the pool's head; `None` where there is no row.
    pub head: Option<Revision>,
}

/// A budget's row as it should become, with the revision that it was read at.
#[derive(Debug, Clone)]
pub struct BudgetWrite {
    /// The service.
    pub service: ServiceName,
    /// The revision; `None` where there was no row.
    pub revision: Option<Revision>,
    /// The row.
    pub row: BudgetRow,
}

/// Returns the budgets of `services`, as they are spent.
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

/// Makes sure that the pool is still there: its deletion checks in turn that it has no hosts.
fn pool_check(txn: Txn, pool: &PoolName, revision: Revision) -> Txn {
    txn.with_check(keys::config(&RowKey::Pool(pool.clone())), Some(revision))
}

fn name(key: &Key, prefix: &str) -> Result<HostId, StoreError> {
    let text = key.0.strip_prefix(prefix).unwrap_or_default();
    text.parse().map_err(|error| StoreError::Refused(format!("key {key}: {error}")))
}

fn json(row: &HostRow) -> Value {
    serde_json::to_value(row).unwrap_or(Value::Null)
}
