//! What an owner finds in the store when it takes charge of a pool.

use std::collections::BTreeMap;

use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::{
    clock::Tick, pool::StoredRoster, progress::ProgressRecord, record::JobRecord, shard::Shard,
};

/// A job as the store has it.
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

/// A job's progress as the store has it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredProgress {
    /// The progress.
    pub record: ProgressRecord,
    /// The revision of its row.
    pub revision: Revision,
}

/// What an owner finds when it takes charge of a pool.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RecoveredState {
    /// The jobs that are not over.
    pub jobs: Vec<StoredJob>,
    /// The workers that a predecessor may have used.
    pub roster: StoredRoster,
    /// The revisions that this owner's raises gave the fences of its parts.
    pub fences: BTreeMap<Shard, Revision>,
    /// When the lease was last known to be in force; reading the rest may have taken long.
    pub verified: Tick,
    /// How long an order of the predecessor may still have effect on a worker that does not answer.
    pub effect: Millis,
}
