//! Records that the store keeps for jobs, pools and leases; docs/PLATFORM.md lists the tables.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use reachhead_store::row::Key;
use reachhead_types::{
    id::{CustomerName, JobId, NodeName, PoolName, RouteName, WorkerId},
    size::{FencingToken, Millis, Revision, Strength, WorkerCount},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    model::{Plan, Queue},
    shard::Shard,
};

/// Returns the partition of the store that holds a key, or the keys with the prefix `key`. Rows of
/// one partition can be written in one transaction, and a partition can be unavailable while others
/// are not.
pub fn part_of(key: &str) -> &str {
    key.split('/').nth(1).unwrap_or_default()
}

/// Returns the key of an accepted job that has not ended.
pub fn job_key(pool: &PoolName, job: JobId) -> Key {
    Key(format!("job/{pool}.{}/{job}", Shard::of(job)))
}

/// Returns the key of a job's progress.
pub fn progress_key(pool: &PoolName, job: JobId) -> Key {
    Key(format!("progress/{pool}.{}/{job}", Shard::of(job)))
}

/// Returns the key of a job's final record.
pub fn final_key(pool: &PoolName, job: JobId) -> Key {
    Key(format!("final/{pool}.{}/{job}", Shard::of(job)))
}

/// Returns the key prefix of a pool's accepted jobs in one shard.
pub fn job_prefix(pool: &PoolName, shard: Shard) -> String {
    format!("job/{pool}.{shard}/")
}

/// Returns the key prefix of the progress of a pool's jobs in one shard.
pub fn progress_prefix(pool: &PoolName, shard: Shard) -> String {
    format!("progress/{pool}.{shard}/")
}

/// Returns the key of a pool's fence in one shard; each transaction of the owner there checks it.
pub fn fence_key(pool: &PoolName, shard: Shard) -> Key {
    Key(format!("fence/{pool}.{shard}/owner"))
}

/// Returns the key of a worker in a pool's roster.
pub fn roster_key(pool: &PoolName, worker: &WorkerId) -> Key {
    Key(format!("roster/{pool}/{ROSTER_WORKER_PREFIX}{worker}"))
}

/// Returns the key of the single row in which an earlier release kept a pool's roster.
pub fn whole_roster_key(pool: &PoolName) -> Key {
    Key(format!("roster/{pool}/all"))
}

/// Returns the key prefix of a pool's roster.
pub fn roster_prefix(pool: &PoolName) -> String {
    format!("roster/{pool}/")
}

/// Returns the worker of a roster row, or `None` if the key is not one of a worker.
pub fn roster_worker(key: &Key) -> Option<WorkerId> {
    let rest = key.0.strip_prefix("roster/")?.split_once('/')?.1;
    rest.strip_prefix(ROSTER_WORKER_PREFIX)?.parse().ok()
}

/// Returns the key of a pool's lease.
pub fn lease_key(pool: &PoolName) -> Key {
    Key(format!("lease/{pool}/{OWNER_ROW}"))
}

/// Returns the key of a pool's [`SettledRecord`]. It is in the lease's partition, so that it can
/// depend on the lease, and in its table, which all processes follow.
pub fn settled_key(pool: &PoolName) -> Key {
    Key(format!("lease/{pool}/{SETTLED_ROW}"))
}

/// Returns the key of a pool's [`FencedRecord`], which lies beside its [`SettledRecord`].
pub fn fenced_key(pool: &PoolName) -> Key {
    Key(format!("lease/{pool}/{FENCED_ROW}"))
}

/// Returns the key of the record of host usage that the owner of all hosts leaves to its successor.
pub fn usage_key(hosts: &PoolName) -> Key {
    Key(format!("balance/{hosts}/use"))
}

/// Returns the key of a process in the membership list.
pub fn member_key(node: &NodeName) -> Key {
    Key(format!("lease/{MEMBER_PART}/{node}"))
}

/// Returns a record as a value for the store.
pub fn value<T: Serialize>(record: &T) -> Value {
    match serde_json::to_value(record) {
        Ok(value) => value,
        Err(error) => unreachable!("records hold nothing that JSON lacks: {error}"),
    }
}

/// Prefix of a worker's id in the keys of a roster.
const ROSTER_WORKER_PREFIX: &str = "worker/";

/// Last part of the key of a pool's [`LeaseRecord`].
pub const OWNER_ROW: &str = "owner";

/// Last part of the key of a pool's [`SettledRecord`].
pub const SETTLED_ROW: &str = "settled";

/// Last part of the key of a pool's [`FencedRecord`].
pub const FENCED_ROW: &str = "fenced";

/// Partition of the lease table that holds the membership list.
pub const MEMBER_PART: &str = "members";

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Queue as configured when the job was accepted; later changes of the queue don't apply.
    pub queue: Arc<Queue>,
    /// Specification of the job.
    pub plan: Arc<Plan>,
    /// Time of acceptance, in milliseconds since 1970 by the clock of the entry host.
    pub accepted: Millis,
    /// Customer whose key the call had; `None` if it had none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
    /// Token of the owner that stored the job; `None` if another process stored it. An owner with a
    /// lower token has been replaced and starts nothing of the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored_by: Option<FencingToken>,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The client cancelled it.
    Cancelled,
}

/// Final record of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Queue of the job.
    pub queue: RouteName,
    /// How the job ended.
    pub ending: Ending,
    /// Time of the end, in milliseconds since 1970; the row is deleted some time later.
    pub at: Millis,
    /// Customer of the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
}

/// A roster entry: a worker that the pool may have used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Worker id.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Set while nothing is started there because it does not answer: jobs whose row has a newer
    /// revision than this were never started there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub closed: Option<Revision>,
    /// Start of its incarnation, in milliseconds since 1970, if the owner noticed a restart before the
    /// worker was registered again. A successor reads the registration of the earlier incarnation by then. See
    /// [docs/design/restarted-workers.md](../../docs/design/restarted-workers.md).
    #[serde(rename = "born", default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<Millis>,
}

/// Roster of a pool in a single row, as an earlier release kept it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Roster {
    /// Workers in the order of their ids.
    pub workers: Vec<RosterEntry>,
}

/// Lease of a pool; the revision of the row is the fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Process that owns the pool; `None` after it released the lease.
    pub owner: Option<NodeName>,
    /// Peer address of the owner; earlier releases did not write it, and their owners are members.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// Number of ownership changes of the pool; run numbers derive from it, so that they increase
    /// from owner to owner.
    pub term: u64,
    /// The lease was released by an owner to which every worker of its predecessors had answered,
    /// so no order of anyone is in flight.
    #[serde(default)]
    pub settled: bool,
    /// How long a run that an earlier owner started may still be active on a worker that has not
    /// answered: for a lease that was released before it was settled, from the release; for one that
    /// is held, from when its owner has raised all fences. Earlier versions of the program did not
    /// write it; then the successor waits as long as for an owner that may be alive.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "open")]
    pub unsettled_for: Option<Millis>,
    /// Number of takeovers in a row that were abandoned because the pool's rows could not be read, or not
    /// in time beside other takeovers of the process.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub abandoned: u32,
    /// The owner, and every earlier one that may still give orders, starts nothing of jobs that were
    /// stored by an owner with a higher token. Earlier releases do not know who stored a job.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub knows_storer: bool,
    /// For a lease that was released: the workers that do not answer or have longer leases than usual,
    /// and how long a run may still be active there. Runs elsewhere have usual leases of the owner that
    /// released it. `None` if it did not list them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silent: Option<BTreeMap<WorkerId, Millis>>,
    /// The owners before this lease whose orders may still have effect, from when the row was written.
    /// `None` if they can't be listed, as in rows of earlier releases; then `unsettled_for` counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier: Option<EarlierOwners>,
}

/// The owners before a lease whose orders may still have effect. Times count from when the row was
/// written, which a reader has seen later, so no clock is shared.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EarlierOwners {
    /// Those that are not known to have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub open: Vec<EarlierOwner>,
    /// For how long orders of all others have effect.
    pub ended: Millis,
}

/// An earlier owner that is not known to have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierOwner {
    /// Name of its process.
    pub node: NodeName,
    /// Peer address of its process.
    pub address: SocketAddr,
    /// Token of its lease.
    pub token: FencingToken,
    /// For how long its orders have effect; `None` if no later owner is known to have fenced all shards.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left: Option<Millis>,
}

impl LeaseRecord {
    /// Returns [`LeaseRecord::knows_storer`] of the lease after this one.
    pub const fn successor_knows_storer(&self) -> bool {
        self.knows_storer || (self.owner.is_none() && self.settled)
    }

    /// Returns the record with which a process releases this lease because it could not read the
    /// pool's rows; see [`LeaseRecord::returned`].
    #[must_use]
    pub fn abandoned(&self, order_effect: Millis, earlier: Option<EarlierOwners>) -> Self {
        Self { abandoned: self.abandoned + 1, ..self.returned(order_effect, earlier) }
    }

    /// Returns the record with which a process releases this lease before it has read the pool's rows.
    /// It has started nothing, but it may have renewed what runs on workers: orders have effect for
    /// `order_effect` from when a successor has fenced all shards, which is at least a worker's lease
    /// then, and those of the owners in `earlier` no longer than listed there.
    #[must_use]
    pub fn returned(&self, order_effect: Millis, earlier: Option<EarlierOwners>) -> Self {
        Self {
            owner: None,
            address: None,
            term: self.term,
            settled: false,
            unsettled_for: Some(order_effect),
            abandoned: self.abandoned,
            knows_storer: self.knows_storer,
            silent: None,
            earlier,
        }
    }
}

/// Shows that no order of the owners before the one with this token can have effect any more: each
/// worker has answered that owner, or what was ordered there has expired, and all shards are fenced.
/// It also tells the size of the pool, which a process needs before it reads the roster; see
/// [`retake`](crate::retake).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledRecord {
    /// Token of the owner's lease.
    pub token: FencingToken,
    /// Number of workers in the roster when the row was written; `None` in rows of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workers: Option<WorkerCount>,
}

impl SettledRecord {
    /// Returns the record of the owner with this token.
    pub const fn new(token: FencingToken) -> Self {
        Self { token, workers: None }
    }

    /// Returns the record with the number of workers in the roster.
    #[must_use]
    pub const fn with_workers(self, workers: WorkerCount) -> Self {
        Self { workers: Some(workers), ..self }
    }
}

/// Shows that all shards are fenced at this token or above: owners before it that may go on get no
/// confirmation of their leases any more. So the time of their orders passes, whoever owns the pool. It has
/// no `term`, since earlier releases take each row that has one for the pool's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedRecord {
    /// Token of the owner that has fenced the shards.
    pub token: FencingToken,
    /// For how long orders of the owners before it have effect, from when the row was written.
    pub left: Millis,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Fence of a shard: the newest owner that has fenced it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRecord {
    /// Token of the owner's lease; a release that fenced all shards in one transaction wrote none.
    #[serde(default)]
    pub token: FencingToken,
    /// Name of the owner, for people who read the store.
    pub owner: NodeName,
}

/// A member process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address for its peers.
    pub address: SocketAddr,
    /// Capacity weight; processes of an earlier release that did not write it count as weak.
    #[serde(default)]
    pub strength: Strength,
}
