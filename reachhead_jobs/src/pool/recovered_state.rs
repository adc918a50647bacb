//! State that a new owner reads from the store when it takes over a pool.

use std::collections::BTreeMap;

use reachhead_types::{id::JobId, size::Revision};

use crate::{
    clock::Tick, order_effect::OrderEffect, pool::StoredRoster, progress::ProgressRecord,
    record::JobRecord, shard::Shard,
};

/// A job as stored.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredJob {
    /// Its id.
    pub id: JobId,
    /// The job.
    pub record: JobRecord,
    /// The revision of its row.
    pub row: Revision,
    /// Its progress, if any is recorded.
    pub progress: Option<StoredProgress>,
}

/// A job's progress as stored.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredProgress {
    /// The progress.
    pub record: ProgressRecord,
    /// The revision of its row.
    pub revision: Revision,
}

/// State that a new owner reads when it takes over a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct RecoveredState {
    /// The jobs that have not ended.
    pub jobs: Vec<StoredJob>,
    /// The workers that a predecessor may have used.
    pub roster: StoredRoster,
    /// The revisions of the shards' fences after this owner raised them.
    pub fences: BTreeMap<Shard, Revision>,
    /// When the lease was last confirmed; reading the rest may have taken long.
    pub verified: Tick,
    /// Until when orders of predecessors can have effect on workers that do not answer.
    pub effect: OrderEffect,
    /// See [`LeaseRecord::knows_storer`](crate::record::LeaseRecord::knows_storer) of this owner's lease.
    pub knows_storer: bool,
}

impl RecoveredState {
    /// Returns the state of a pool with this roster, of an owner whose lease was last confirmed at
    /// `verified`, before the stored jobs are known.
    pub fn new(roster: StoredRoster, effect: OrderEffect, verified: Tick) -> Self {
        Self {
            jobs: Vec::new(),
            roster,
            fences: BTreeMap::new(),
            verified,
            effect,
            knows_storer: false,
        }
    }

    /// Returns the state with what is known of the predecessors' knowledge of who stored a job.
    #[must_use]
    pub fn with_knows_storer(self, knows_storer: bool) -> Self {
        Self { knows_storer, ..self }
    }
}

/// What a new owner reads of a pool that is recovering.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RecoveredJobs {
    /// The jobs that have not ended.
    pub jobs: Vec<StoredJob>,
    /// The revisions of the shards' fences after this owner raised them.
    pub fences: BTreeMap<Shard, Revision>,
    /// When the last of the shards was fenced. No commit of a predecessor was accepted after that.
    pub fenced_at: Tick,
}
