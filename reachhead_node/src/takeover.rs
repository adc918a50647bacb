//! Reads of a takeover: the fences of the pool's shards, and the state that the previous owner left.

use std::{collections::BTreeMap, time::Duration};

use futures::future::{join, join_all, try_join};
use reachhead_jobs::{
    clock::Tick,
    fence::{Fence, FenceStep},
    pool::{RecoveredJobs, StoredJob, StoredProgress, StoredRoster},
    progress::ProgressRecord,
    record::{JobRecord, fence_key, job_prefix, progress_prefix, roster_prefix},
    shard::Shard,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    page_size::PageSize,
    row::{Commit, Key, Row, Scan},
};
use reachhead_types::{
    id::{JobId, PoolName},
    size::{FencingToken, Revision},
};
use tokio::{
    sync::{oneshot, watch},
    time,
};

use crate::{bulk_reads::UrgentRead, claim, fences::Fences, node::Node, owner::id_of};

/// Maximum attempts to raise the fence of one shard; each further one needs a lost answer or
/// another candidate's raise before it.
const MAX_FENCE_ATTEMPTS: usize = 6;

/// Pause before the roster is read again after a failure.
const ROSTER_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Rows with a key prefix, as far as they have been read.
struct Pages {
    rows: Vec<Row>,
    complete: bool,
    /// Rows of jobs are larger than others.
    page_size: PageSize,
}

impl Pages {
    /// Returns rows of which none is read, with a first page of `rows` rows.
    fn new(rows: u32) -> Self {
        let page_size = PageSize::starting_at(rows);
        Self { rows: Vec::new(), complete: false, page_size }
    }
}

/// The fence of a shard that this process has raised.
#[derive(Clone, Copy)]
struct RaisedFence {
    revision: Revision,
    /// When that was known.
    at: Tick,
}

/// The rows of one shard, as far as they have been read.
struct ShardRows {
    fence: Option<RaisedFence>,
    jobs: Pages,
    progress: Pages,
}

impl ShardRows {
    fn new(node: &Node) -> Self {
        let rows = node.bulk_reads.capacity();
        Self { fence: None, jobs: Pages::new(rows), progress: Pages::new(rows) }
    }

    fn is_complete(&self) -> bool {
        self.jobs.complete && self.progress.complete
    }
}

/// Reads the state that the previous owner of a pool left: the roster first, since the owner's calls of
/// the workers need nothing else, and the jobs behind it.
///
/// On a weak link all shards at once, or all rows of one, may be more than arrives within the
/// timeout of a read, and a loader that started over after each failure would never finish. So each
/// page that was read is kept, which is safe because no other process writes below this owner's
/// fences, and after a failure shards are read one at a time and in smaller pages.
pub struct Loader<'a> {
    reader: Reader<'a>,
    shards: BTreeMap<Shard, ShardRows>,
    roster: Pages,
    /// Holds back jobs of all pools until the roster has been read.
    announced: Option<UrgentRead<'a>>,
    /// Where the roster is sent once it has been read.
    roster_sender: Option<oneshot::Sender<StoredRoster>>,
}

/// What rows of a pool are about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// The workers whose leases end if their calls are late.
    Roster,
    /// Stored jobs and their progress.
    Jobs,
}

/// Reads pages of a pool's rows.
struct Reader<'a> {
    node: &'a Node,
    pool: &'a PoolName,
    token: Revision,
    fences: &'a Fences,
    /// A read has failed, so shards are read one at a time.
    sequential: bool,
}

impl<'a> Loader<'a> {
    /// Returns a loader that has read nothing yet. It sends the roster as soon as it has read it.
    pub fn new(
        node: &'a Node,
        pool: &'a PoolName,
        token: Revision,
        fences: &'a Fences,
        roster_sender: oneshot::Sender<StoredRoster>,
    ) -> Self {
        Self {
            reader: Reader { node, pool, token, fences, sequential: false },
            shards: Shard::all().map(|shard| (shard, ShardRows::new(node))).collect(),
            roster: Pages::new(node.bulk_reads.roster_capacity()),
            announced: Some(node.bulk_reads.announce()),
            roster_sender: Some(roster_sender),
        }
    }

    /// Fences all shards and reads the missing rows; returns `None` if a later owner has fenced a
    /// shard.
    ///
    /// # Errors
    ///
    /// The error of the store for a read that failed; the lease still names this process.
    pub async fn load(&mut self) -> Result<Option<RecoveredJobs>, StoreError> {
        let result = self.read_missing().await;
        self.reader.sequential |= result.is_err();
        if !result? {
            return Ok(None);
        }
        self.reader.node.record_store_result(&Ok(()));
        let mut recovered = RecoveredJobs::default();
        for (shard, shard_rows) in std::mem::take(&mut self.shards) {
            if let Some(fence) = shard_rows.fence {
                recovered.fences.insert(shard, fence.revision);
                recovered.fenced_at = recovered.fenced_at.max(fence.at);
            }
            recovered.jobs.append(&mut stored_jobs(&shard_rows));
        }
        Ok(Some(recovered))
    }

    /// Reads the missing rows; returns `false` if a later owner has fenced a shard.
    async fn read_missing(&mut self) -> Result<bool, StoreError> {
        let Self { reader, shards, roster, announced, roster_sender } = self;
        let (roster_tried, tried) = watch::channel(roster.complete);
        let (shards_ended, ended) = watch::channel(false);
        let roster = async {
            reader.read_roster(roster, roster_sender, roster_tried, ended).await?;
            *announced = None;
            Ok(())
        };
        let missing: Vec<(Shard, &mut ShardRows)> = shards
            .iter_mut()
            .filter(|(_, rows)| !rows.is_complete())
            .map(|(shard, rows)| (*shard, rows))
            .collect();
        let shards = async {
            let results = if reader.sequential {
                reader.read_in_turn(missing, tried).await
            } else {
                reader.read_together(missing, tried).await
            };
            shards_ended.send_replace(true);
            results
        };
        let (shards, roster) = join(shards, roster).await;
        let mut failed = roster.err();
        for shard in shards {
            match shard {
                Ok(true) => {}
                Ok(false) => return Ok(false),
                Err(error) => failed = Some(error),
            }
        }
        failed.map_or(Ok(true), Err)
    }
}

impl Reader<'_> {
    /// Reads the missing rows of the roster, and sends the roster once it is complete. It is in the
    /// same partition of the store as the lease, so the lease alone fences it. A read that fails is
    /// repeated for as long as the shards are being read: leases of workers end meanwhile.
    async fn read_roster(
        &self,
        pages: &mut Pages,
        sender: &mut Option<oneshot::Sender<StoredRoster>>,
        tried: watch::Sender<bool>,
        shards_ended: watch::Receiver<bool>,
    ) -> Result<(), StoreError> {
        loop {
            let result = self.read_rows(Part::Roster, roster_prefix(self.pool), pages).await;
            tried.send_replace(true);
            match result {
                Ok(()) => break,
                Err(error) if *shards_ended.borrow() => return Err(error),
                Err(error) => {
                    log::info!("pool={} the roster can't be read, retrying: {error}", self.pool);
                }
            }
            time::sleep(ROSTER_RETRY_PAUSE).await;
        }
        if let Some(sender) = sender.take() {
            let (roster, errors) = StoredRoster::read(&pages.rows);
            let workers = roster.workers.len();
            claim::update(self.node, self.pool, |takeover| takeover.roster = Some(workers));
            for error in errors {
                emit(Event::RowRefused, error);
            }
            // The receiver is dropped only together with the takeover.
            let _ = sender.send(roster);
        }
        Ok(())
    }

    /// Fences the shards and reads their missing rows side by side.
    async fn read_together(
        &self,
        missing: Vec<(Shard, &mut ShardRows)>,
        roster_tried: watch::Receiver<bool>,
    ) -> Vec<Result<bool, StoreError>> {
        let reads = missing.into_iter().map(|(shard, rows)| {
            let roster_tried = roster_tried.clone();
            async move {
                let fenced = self.fence_shard(shard, rows).await;
                wait_until_tried(roster_tried).await;
                if matches!(fenced, Ok(true)) { self.read_shard(shard, rows).await } else { fenced }
            }
        });
        join_all(reads).await
    }

    /// Fences the shards side by side, and reads their missing rows one shard after the other. Until
    /// all of them are fenced, a previous owner that records something still trusts its lease.
    async fn read_in_turn(
        &self,
        missing: Vec<(Shard, &mut ShardRows)>,
        roster_tried: watch::Receiver<bool>,
    ) -> Vec<Result<bool, StoreError>> {
        let fences = missing.into_iter().map(|(shard, rows)| async move {
            let fenced = self.fence_shard(shard, rows).await;
            (shard, rows, fenced)
        });
        let fenced = join_all(fences).await;
        wait_until_tried(roster_tried).await;
        let mut results = Vec::new();
        for (shard, rows, fenced) in fenced {
            results.push(match fenced {
                Ok(true) => self.read_shard(shard, rows).await,
                fenced => fenced,
            });
        }
        results
    }

    /// Raises the fence of a shard, unless that was done. Returns `false` if a later owner has raised
    /// it.
    async fn fence_shard(&self, shard: Shard, rows: &mut ShardRows) -> Result<bool, StoreError> {
        if rows.fence.is_some() {
            return Ok(true);
        }
        let fence = raise_fence(self.node, self.pool, self.token, shard).await?;
        rows.fence = fence.map(|revision| RaisedFence { revision, at: self.node.now() });
        if let Some(RaisedFence { at, .. }) = rows.fence {
            self.record_progress(0);
            if self.fences.record(shard, at) {
                let lease = self.node.loading().get(self.pool).map(|takeover| takeover.started);
                let age = at.since(lease.unwrap_or(at));
                emit(
                    Event::PoolFenced,
                    format_args!("pool={} token={} lease_age={age}ms", self.pool, self.token),
                );
            }
        }
        Ok(rows.fence.is_some())
    }

    /// Reads the missing rows of a shard that is fenced: rows that are read before the fence is raised
    /// may still change.
    async fn read_shard(&self, shard: Shard, rows: &mut ShardRows) -> Result<bool, StoreError> {
        let jobs = self.read_rows(Part::Jobs, job_prefix(self.pool, shard), &mut rows.jobs);
        let progress =
            self.read_rows(Part::Jobs, progress_prefix(self.pool, shard), &mut rows.progress);
        if self.sequential {
            jobs.await?;
            progress.await?;
        } else {
            try_join(jobs, progress).await?;
        }
        claim::update(self.node, self.pool, |takeover| takeover.shards += 1);
        Ok(true)
    }

    /// Reads the missing pages of the rows with a key prefix.
    async fn read_rows(
        &self,
        part: Part,
        prefix: String,
        pages: &mut Pages,
    ) -> Result<(), StoreError> {
        while !pages.complete {
            let after = pages.rows.last().map(|row| row.key.clone());
            let limit = pages.page_size.rows();
            let queued_at = self.node.now();
            let reads = &self.node.bulk_reads;
            let _permit = match part {
                Part::Roster => reads.acquire_urgent(limit).await,
                Part::Jobs => reads.acquire(limit).await,
            };
            if part == Part::Roster {
                let queued = self.node.now().since(queued_at);
                claim::update(self.node, self.pool, |takeover| takeover.queued.0 += queued.0);
            }
            let started = time::Instant::now();
            let scan = Scan { prefix: prefix.clone(), after, limit };
            let page = match self.node.services.store.scan(scan).await {
                Ok(page) => page,
                Err(error) => {
                    pages.page_size.record_failure(limit);
                    // The reads beside it may go on for seconds.
                    let known = Some(error.clone());
                    claim::update(self.node, self.pool, |takeover| takeover.error = known);
                    return Err(error);
                }
            };
            pages.page_size.record_answer(page.rows.len(), started.elapsed());
            self.node.record_store_result(&Ok(()));
            self.record_progress(page.rows.len());
            pages.rows.extend(page.rows);
            pages.complete = !page.more;
        }
        Ok(())
    }

    /// Records that the store answered, with this number of rows.
    fn record_progress(&self, rows: usize) {
        let now = self.node.now();
        claim::update(self.node, self.pool, |takeover| takeover.record_progress(rows, now));
    }
}

/// Waits until the roster has been read, or a read of it has failed. On a narrow link the workers' leases
/// would end while the larger rows of jobs arrive before it.
async fn wait_until_tried(mut roster_tried: watch::Receiver<bool>) {
    // The sender is dropped only together with the takeover.
    let _ = roster_tried.wait_for(|tried| *tried).await;
}

/// Raises the fence of a shard; returns `None` if a later owner has raised it.
async fn raise_fence(
    node: &Node,
    pool: &PoolName,
    token: Revision,
    shard: Shard,
) -> Result<Option<Revision>, StoreError> {
    let owner = node.settings.node.clone();
    let fence = Fence::new(pool.clone(), shard, FencingToken(token.0), owner);
    let key = fence_key(pool, shard);
    let mut found = read_row(node, key.clone()).await?;
    for _ in 0..MAX_FENCE_ATTEMPTS {
        let txn = match fence.next(found.as_ref())? {
            FenceStep::Raised(revision) => return Ok(Some(revision)),
            FenceStep::Superseded => return Ok(None),
            FenceStep::Write(txn) => txn,
        };
        let result = node.services.store.commit(txn).await;
        node.record_store_result(&result);
        found = match result {
            Ok(Commit::Done(revision)) => return Ok(Some(revision)),
            Ok(Commit::Conflict(conflicts)) => {
                conflicts.into_iter().find_map(|conflict| conflict.row)
            }
            Err(StoreError::Lost(error)) => {
                log::info!(
                    "pool={pool} part={shard} the answer to the fence write was lost: {error}"
                );
                read_row(node, key.clone()).await?
            }
            Err(error) => return Err(error),
        };
    }
    Err(StoreError::Busy(format!("the fence of shard {shard} changed on every attempt")))
}

async fn read_row(node: &Node, key: Key) -> Result<Option<Row>, StoreError> {
    let rows = node.services.store.read(vec![key]).await?;
    Ok(rows.into_iter().flatten().next())
}

fn stored_jobs(shard_rows: &ShardRows) -> Vec<StoredJob> {
    let progress: BTreeMap<JobId, &Row> =
        shard_rows.progress.rows.iter().filter_map(|row| Some((id_of(&row.key)?, row))).collect();
    let mut stored = Vec::with_capacity(shard_rows.jobs.rows.len());
    for row in &shard_rows.jobs.rows {
        let Some(id) = id_of(&row.key) else {
            continue;
        };
        match stored_job(id, row, progress.get(&id).copied()) {
            Ok(job) => stored.push(job),
            // Without its progress a job would repeat finished work, so this job is skipped and the
            // others go on.
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
