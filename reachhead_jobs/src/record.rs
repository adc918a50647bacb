//! What the store keeps of jobs and of who is in charge; docs/PLATFORM.md lists the tables.

use std::{net::SocketAddr, sync::Arc};

use reachhead_store::row::Key;
use reachhead_types::{
    id::{CustomerName, JobId, NodeName, PoolName, RouteName, WorkerId},
    size::{FencingToken, Millis, Revision, Strength},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    model::{Plan, Queue},
    shard::Shard,
};

/// Returns the part of the store in which a key, or what begins with the prefix `key`, lies. The rows of one part share what
/// happens to it: they are written in one transaction, and can be away together while others are there.
pub fn part_of(key: &str) -> &str {
    key.split('/').nth(1).unwrap_or_default()
}

/// Returns the key of an accepted job that is not over.
pub fn job_key(pool: &PoolName, job: JobId) -> Key {
    Key(format!("job/{pool}.{}/{job}", Shard::of(job)))
}

/// Returns the key of a job's progress.
pub fn progress_key(pool: &PoolName, job: JobId) -> Key {
    Key(format!("progress/{pool}.{}/{job}", Shard::of(job)))
}

/// Returns the key of how a job ended.
pub fn final_key(pool: &PoolName, job: JobId) -> Key {
    Key(format!("final/{pool}.{}/{job}", Shard::of(job)))
}

/// Returns what the keys of a pool's accepted jobs in one part begin with.
pub fn job_prefix(pool: &PoolName, shard: Shard) -> String {
    format!("job/{pool}.{shard}/")
}

/// Returns what the keys of their progress begin with.
pub fn progress_prefix(pool: &PoolName, shard: Shard) -> String {
    format!("progress/{pool}.{shard}/")
}

/// Returns the key of a pool's fence in one part, on which the owner's transactions there depend.
pub fn fence_key(pool: &PoolName, shard: Shard) -> Key {
    Key(format!("fence/{pool}.{shard}/owner"))
}

/// Returns the key of a worker that a pool may have used.
pub fn roster_key(pool: &PoolName, worker: &WorkerId) -> Key {
    Key(format!("roster/{pool}/{ROSTER_WORKER}{worker}"))
}

/// Returns the key of the row in which an earlier release kept all workers of a pool.
pub fn whole_roster_key(pool: &PoolName) -> Key {
    Key(format!("roster/{pool}/all"))
}

/// Returns what the keys of a pool's roster begin with.
pub fn roster_prefix(pool: &PoolName) -> String {
    format!("roster/{pool}/")
}

/// Returns the worker that a row of a roster is about, if it is about one.
pub fn roster_worker(key: &Key) -> Option<WorkerId> {
    let rest = key.0.strip_prefix("roster/")?.split_once('/')?.1;
    rest.strip_prefix(ROSTER_WORKER)?.parse().ok()
}

/// Returns the key of who is in charge of a pool.
pub fn lease_key(pool: &PoolName) -> Key {
    Key(format!("lease/{pool}/owner"))
}

/// Returns the key of what the owner of all hosts leaves to its successor about the pools' use of their hosts.
pub fn usage_key(hosts: &PoolName) -> Key {
    Key(format!("balance/{hosts}/use"))
}

/// Returns the key of a process on the list of processes.
pub fn member_key(node: &NodeName) -> Key {
    Key(format!("lease/{MEMBER_PART}/{node}"))
}

/// Returns a record as the store takes it.
pub fn value<T: Serialize>(record: &T) -> Value {
    match serde_json::to_value(record) {
        Ok(value) => value,
        Err(error) => unreachable!("records hold nothing that JSON lacks: {error}"),
    }
}

/// What comes before a worker's id in the key of its row in a roster.
const ROSTER_WORKER: &str = "worker/";

/// The part of the lease table that holds the processes.
pub const MEMBER_PART: &str = "members";

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its queue, as it was when the job was accepted: the job outlives changes of the queue.
    pub queue: Arc<Queue>,
    /// What it is to do.
    pub plan: Arc<Plan>,
    /// When it was accepted, in milliseconds since 1970 by the clock of the entry host.
    pub accepted: Millis,
    /// Whose it is; `None` if it came without a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
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

/// How a job ended, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// The job's queue.
    pub queue: RouteName,
    /// How it ended.
    pub ending: Ending,
    /// When, in milliseconds since 1970; after a while the row is dropped.
    pub at: Millis,
    /// Whose the job was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
}

/// A worker that a pool may have used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Where it answers.
    pub address: SocketAddr,
    /// Set while nothing new is started there since it does not answer: no job whose row is newer
    /// than this was ever started there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub closed: Option<Revision>,
}

/// All workers on which something of the pool may run, as an earlier release kept them in one row.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Roster {
    /// The workers in the order of their ids.
    pub workers: Vec<RosterEntry>,
}

/// Who is in charge of a pool; the row's revision is the fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The process in charge; `None` after it gave the pool back.
    pub owner: Option<NodeName>,
    /// Where that process answers its peers; a release that did not say is on the list of members.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// How often the pool has changed hands; it makes the numbers of runs rise over owners.
    pub term: u64,
    /// Set when it was given back by an owner to which every worker of its own predecessor had
    /// answered, so that no order of anybody is under way.
    #[serde(default)]
    pub settled: bool,
    /// Where it was given back otherwise: for how long what an earlier owner started may still be at work on a worker that has not
    /// answered. A successor of one that did not say waits for as long as for an owner that may be alive.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "open")]
    pub unsettled_for: Option<Millis>,
}

/// The newest owner that has fenced a part of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRecord {
    /// The token of its lease; a release that fenced all parts in one transaction wrote none.
    #[serde(default)]
    pub token: FencingToken,
    /// The owner, for whoever reads the store.
    pub owner: NodeName,
}

/// A process of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// What it bears; a release that did not say counts as weak.
    #[serde(default)]
    pub strength: Strength,
}
