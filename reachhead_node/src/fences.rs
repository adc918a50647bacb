//! The fences that a takeover has raised, from which orders of earlier owners are counted.

use std::{collections::BTreeMap, sync::Mutex};

use reachhead_jobs::{clock::Tick, shard::Shard};

use crate::lock::locked;

/// The fences that a takeover has raised so far.
#[derive(Debug, Default)]
pub struct Fences {
    raised: Mutex<BTreeMap<Shard, Tick>>,
}

impl Fences {
    /// Records that a shard is known to be fenced since `at`, and returns whether all are now.
    pub fn record(&self, shard: Shard, at: Tick) -> bool {
        locked(&self.raised).entry(shard).or_insert(at);
        self.complete_at().is_some()
    }

    /// Returns when the last shard was fenced, once all are. No commit of an earlier owner was accepted
    /// after that.
    pub fn complete_at(&self) -> Option<Tick> {
        let raised = locked(&self.raised);
        let is_complete = Shard::all().all(|shard| raised.contains_key(&shard));
        is_complete.then(|| raised.values().copied().max()).flatten()
    }
}
