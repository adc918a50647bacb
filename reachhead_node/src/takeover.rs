//! Taking a pool over: its lease, the fences of its parts, and what the predecessor left.
//!
//! A takeover that ends half-way, since the process is killed or the store fails, leaves a lease that names this
//! process and some fences at its token. The next one, by whomever, takes the lease again with a higher token and
//! raises every fence over it.

use std::collections::BTreeMap;

use futures::{
    future::{join, try_join},
    stream::{self, StreamExt},
};
use reachhead_jobs::{
    fence::{Fence, FenceStep},
    pool::{RecoveredState, StoredJob, StoredProgress, StoredRoster},
    progress::ProgressRecord,
    record::{
        JobRecord, LeaseRecord, fence_key, job_prefix, lease_key, progress_prefix, roster_prefix,
        value,
    },
    shard::Shard,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    row::{Commit, Key, Row, Scan, Txn},
};
use reachhead_types::{
    id::{JobId, PoolName},
    size::{FencingToken, Millis, Revision},
};

use crate::{node::Node, owner::id_of, view::LeaseView};

/// Tries to raise the fence of one part; each needs a lost answer or another candidate's raise to follow.
const RAISE_TRIES: usize = 6;

/// Writes the lease; `None` if somebody else did first.
///
/// # Errors
///
/// What the store said; after any but `Lost` the lease is not this process's.
pub async fn take(
    node: &Node,
    pool: &PoolName,
    known: Option<&LeaseView>,
) -> Result<Option<LeaseView>, StoreError> {
    let term = known.map_or(0, |known| known.record.term + 1);
    let owner = Some(node.settings.node.clone());
    let address = Some(node.settings.peer);
    let record = LeaseRecord { owner, address, term, settled: false, unsettled_for: None };
    let key = lease_key(pool);
    let txn = Txn::new()
        .with_check(key.clone(), known.map(|known| known.revision))
        .with_write(key.clone(), value(&record));
    let result = node.services.store.commit(txn).await;
    node.note_store(&result);
    match result {
        Ok(Commit::Done(revision)) => Ok(Some(adopt(node, pool, record, revision))),
        Ok(Commit::Conflict(conflicts)) => {
            let row = conflicts.into_iter().find_map(|conflict| conflict.row);
            if let Some(row) = row {
                adopt(node, pool, row.parse()?, row.revision);
            }
            Ok(None)
        }
        Err(StoreError::Lost(error)) => {
            log::info!("pool={pool} the answer to the lease is lost, so it is read: {error}");
            let rows = node.services.store.read(vec![key]).await?;
            let Some(row) = rows.into_iter().flatten().next() else {
                return Ok(None);
            };
            let found: LeaseRecord = row.parse()?;
            let view = adopt(node, pool, found.clone(), row.revision);
            Ok((found == record).then_some(view))
        }
        Err(error) => Err(error),
    }
}

fn adopt(node: &Node, pool: &PoolName, record: LeaseRecord, revision: Revision) -> LeaseView {
    let now = node.now();
    node.view().adopt_lease(pool.clone(), record.clone(), revision, now);
    LeaseView { record, revision, since: now }
}

/// The rows of one part.
struct PartRows {
    fence: Revision,
    jobs: Vec<Row>,
    progress: Vec<Row>,
}

/// Reads what a predecessor left of a pool.
///
/// Load: a process on a weak link takes over a pool with hundreds of jobs. All parts at once are more than the link carries in the time
/// in which each has to come, and if all were read anew after each failure it would never have them. So what was read is kept,
/// which is sound since nobody else writes below this owner's fences, and after a failure parts are read one by one.
pub struct Loader<'a> {
    node: &'a Node,
    pool: &'a PoolName,
    token: Revision,
    /// For how long an order of a predecessor may have effect.
    effect: Millis,
    parts: BTreeMap<Shard, PartRows>,
    roster: Option<Vec<Row>>,
    /// A read has failed.
    narrow: bool,
}

impl<'a> Loader<'a> {
    /// Returns a loader that has read nothing yet.
    pub fn new(node: &'a Node, pool: &'a PoolName, token: Revision, effect: Millis) -> Self {
        Self { node, pool, token, effect, parts: BTreeMap::new(), roster: None, narrow: false }
    }

    /// Fences all parts and reads what is missing; `None` if a later owner has fenced one of them.
    ///
    /// # Errors
    ///
    /// What the store said of a read that failed; the lease still names this process.
    pub async fn load(&mut self) -> Result<Option<RecoveredState>, StoreError> {
        let result = self.read().await;
        self.narrow |= result.is_err();
        if !result? {
            return Ok(None);
        }
        self.node.note_store(&Ok(()));
        let (roster, errors) = StoredRoster::read(&self.roster.take().unwrap_or_default());
        for error in errors {
            emit(Event::RowRefused, error);
        }
        let mut found = RecoveredState { effect: self.effect, roster, ..RecoveredState::default() };
        for (shard, part) in std::mem::take(&mut self.parts) {
            found.fences.insert(shard, part.fence);
            found.jobs.append(&mut stored_jobs(&part));
        }
        Ok(Some(found))
    }

    /// Reads what is missing; tells whether no later owner has fenced a part.
    async fn read(&mut self) -> Result<bool, StoreError> {
        let missing: Vec<Shard> =
            Shard::all().filter(|shard| !self.parts.contains_key(shard)).collect();
        let width = if self.narrow { 1 } else { missing.len().max(1) };
        let (node, pool, token, narrow) = (self.node, self.pool, self.token, self.narrow);
        let reads = stream::iter(missing)
            .map(|shard| async move { load_part(node, pool, token, shard, narrow).await })
            .buffer_unordered(width)
            .collect::<Vec<_>>();
        // The roster is in the lease's own part, so the lease alone fences it.
        let scan = Scan { prefix: roster_prefix(pool), after: None, limit: u32::MAX };
        let known = self.roster.take();
        let roster = async {
            match known {
                Some(rows) => Ok(rows),
                None => node.services.store.scan(scan).await.map(|page| page.rows),
            }
        };
        let (parts, roster) = join(reads, roster).await;
        let mut failed = None;
        for part in parts {
            match part {
                Ok(Some((shard, part))) => {
                    self.parts.insert(shard, part);
                }
                Ok(None) => return Ok(false),
                Err(error) => failed = Some(error),
            }
        }
        match roster {
            Ok(rows) => self.roster = Some(rows),
            Err(error) => failed = Some(error),
        }
        failed.map_or(Ok(true), Err)
    }
}

/// Fences a part and then reads it: what is read before the fence is up may still change.
async fn load_part(
    node: &Node,
    pool: &PoolName,
    token: Revision,
    shard: Shard,
    narrow: bool,
) -> Result<Option<(Shard, PartRows)>, StoreError> {
    let Some(fence) = raise(node, pool, token, shard).await? else {
        return Ok(None);
    };
    let store = &node.services.store;
    let part = |prefix| store.scan(Scan { prefix, after: None, limit: u32::MAX });
    let (jobs, progress) = (part(job_prefix(pool, shard)), part(progress_prefix(pool, shard)));
    let (jobs, progress) =
        if narrow { (jobs.await?, progress.await?) } else { try_join(jobs, progress).await? };
    Ok(Some((shard, PartRows { fence, jobs: jobs.rows, progress: progress.rows })))
}

/// Raises the fence of a part; `None` if a later owner has done so.
async fn raise(
    node: &Node,
    pool: &PoolName,
    token: Revision,
    shard: Shard,
) -> Result<Option<Revision>, StoreError> {
    let owner = node.settings.node.clone();
    let fence = Fence::new(pool.clone(), shard, FencingToken(token.0), owner);
    let key = fence_key(pool, shard);
    let mut found = read_row(node, key.clone()).await?;
    for _ in 0..RAISE_TRIES {
        let txn = match fence.next(found.as_ref())? {
            FenceStep::Raised(revision) => return Ok(Some(revision)),
            FenceStep::Superseded => return Ok(None),
            FenceStep::Write(txn) => txn,
        };
        let result = node.services.store.commit(txn).await;
        node.note_store(&result);
        found = match result {
            Ok(Commit::Done(revision)) => return Ok(Some(revision)),
            Ok(Commit::Conflict(conflicts)) => {
                conflicts.into_iter().find_map(|conflict| conflict.row)
            }
            Err(StoreError::Lost(error)) => {
                log::info!("pool={pool} part={shard} the answer to the fence is lost: {error}");
                read_row(node, key.clone()).await?
            }
            Err(error) => return Err(error),
        };
    }
    Err(StoreError::Busy(format!("the fence of part {shard} changes all the time")))
}

async fn read_row(node: &Node, key: Key) -> Result<Option<Row>, StoreError> {
    let rows = node.services.store.read(vec![key]).await?;
    Ok(rows.into_iter().flatten().next())
}

fn stored_jobs(part: &PartRows) -> Vec<StoredJob> {
    let progress: BTreeMap<JobId, &Row> =
        part.progress.iter().filter_map(|row| Some((id_of(&row.key)?, row))).collect();
    let mut stored = Vec::with_capacity(part.jobs.len());
    for row in &part.jobs {
        let Some(id) = id_of(&row.key) else {
            continue;
        };
        match stored_job(id, row, progress.get(&id).copied()) {
            Ok(job) => stored.push(job),
            // Without its progress a job would run again what is done, so it is left alone; the others go on.
            Err(error) => emit(Event::RowRefused, error),
        }
    }
    stored
}

fn stored_job(id: JobId, row: &Row, progress: Option<&Row>) -> Result<StoredJob, StoreError> {
    let progress = match progress {
        Some(row) => {
            let record = row.parse::<ProgressRecord>()?;
            Some(StoredProgress { record, revision: row.revision })
        }
        None => None,
    };
    Ok(StoredJob { id, record: row.parse::<JobRecord>()?, row: row.revision, progress })
}
