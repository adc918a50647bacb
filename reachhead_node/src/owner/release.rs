//! Release of a pool by its owner.
//!
//! From the request on the owner starts nothing and records what is left, once in each lane. It goes on
//! polling workers meanwhile, so that the leases that it leaves are as fresh as ever. It orders nothing
//! once it has sent the release, whose answer may be lost. Orders that are still under way then carry
//! deadlines from before, so a successor that counts a lease from when it takes the pool covers them
//! (docs/PLATFORM.md, "How a pool changes its owner").

use std::{collections::BTreeSet, time::Duration};

use reachhead_jobs::{
    clock::Tick,
    pool::Lane,
    record::{LeaseRecord, lease_key, value},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::row::Txn;
use reachhead_types::size::Millis;
use tokio::{sync::oneshot, task, time};

use super::{Outcome, Owner};

/// How long an owner waits for its last records.
const RECORD_TIMEOUT: Millis = Millis(800);

/// How long it then waits for the answer to the release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);

/// A request to an owner to release its pool.
pub struct ReleaseRequest {
    asked_at: Tick,
    done: oneshot::Sender<()>,
}

impl ReleaseRequest {
    /// Returns a request, and the receiver of its end, which is closed if the owner keeps its pool or
    /// ends for another reason.
    pub fn new(now: Tick) -> (Self, oneshot::Receiver<()>) {
        let (done, receiver) = oneshot::channel();
        (Self { asked_at: now, done }, receiver)
    }

    /// Tells whoever waits that the pool was released, and returns how the owner has ended.
    pub fn finish(self, now: Tick) -> Outcome {
        let _ = self.done.send(());
        Outcome::Released(now.since(self.asked_at))
    }
}

/// A release in progress.
pub(super) struct Release {
    request: ReleaseRequest,
    /// Later requests.
    others: Vec<ReleaseRequest>,
    /// When the pool is released even if records are left.
    until: Tick,
    /// The lanes whose last transaction was started.
    recorded: BTreeSet<Lane>,
}

impl Release {
    fn new(request: ReleaseRequest, now: Tick) -> Self {
        let until = now + RECORD_TIMEOUT;
        Self { request, others: Vec::new(), until, recorded: BTreeSet::new() }
    }

    /// Returns whether a lane has not had its last transaction.
    pub(super) fn has_to_record(&self, lane: Lane) -> bool {
        !self.recorded.contains(&lane)
    }

    /// Records that the last transaction of a lane was started.
    pub(super) fn record_started(&mut self, lane: Lane) {
        self.recorded.insert(lane);
    }

    /// Records that a transaction was not carried out, so that the lane has another one.
    pub(super) fn record_failed(&mut self, lane: Lane) {
        self.recorded.remove(&lane);
    }
}

impl Owner {
    /// Begins a release, or adds a request to the one in progress.
    pub(super) fn begin_release(&mut self, request: ReleaseRequest, now: Tick) {
        match &mut self.release {
            Some(release) => release.others.push(request),
            None => self.release = Some(Release::new(request, now)),
        }
    }

    /// Returns whether the pool is to be released now.
    pub(super) fn is_release_due(&self, now: Tick) -> bool {
        let Some(release) = &self.release else {
            return false;
        };
        let has_records = || self.pool.due().into_iter().any(|due| release.has_to_record(due.lane));
        release.until <= now || (self.recording.is_empty() && !has_records())
    }

    /// Sends the orders that follow from the last records, before the release is written. A successor
    /// renews the runs of jobs that were cancelled until it has read all jobs.
    pub(super) async fn order_last_stops(&mut self) {
        for action in self.poll(self.node.now()) {
            self.execute(action);
        }
        // The calls begin in tasks of their own.
        task::yield_now().await;
    }

    /// Writes the release, so that a peer takes the pool over at once.
    pub(super) async fn finish_release(&mut self, release: Release) -> Outcome {
        let name = self.pool.name().clone();
        self.answer_cancels();
        let record = LeaseRecord {
            owner: None,
            address: None,
            term: self.term,
            settled: self.pool.is_settled(),
            unsettled_for: Some(self.pool.remaining_takeover_delay(self.node.now())),
            abandoned: 0,
            knows_storer: false,
            silent: self.pool.silent_workers(self.node.now()),
            earlier: self.pool.earlier_owners(self.node.now()),
        };
        let txn = Txn::new()
            .with_check(lease_key(&name), Some(self.handle.token))
            .with_write(lease_key(&name), value(&record));
        match time::timeout(RELEASE_TIMEOUT, self.node.services.store.commit(txn)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => emit(Event::RecordFailed, format_args!("pool={name} {error}")),
            Err(_) => emit(Event::RecordFailed, format_args!("pool={name} no answer in time")),
        }
        let now = self.node.now();
        for request in release.others {
            request.finish(now);
        }
        release.request.finish(now)
    }
}

#[cfg(test)]
#[path = "release_tests.rs"]
mod tests;
