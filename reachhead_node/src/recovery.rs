//! Takeover of a pool from its lease to an owner that serves it.
//!
//! Reading all stored jobs may take longer than a worker's lease. So the owner's event loop runs as
//! soon as the roster is known: it calls the workers and renews what runs there, while the jobs are
//! still being read. Callers and peers see the takeover until then, and the owner afterwards. See
//! [Platform](../../docs/PLATFORM.md), "How a pool changes its owner".

use std::{future, sync::Arc, time::Duration};

use reachhead_jobs::{
    clock::Tick,
    model::PoolPolicy,
    order_effect::OrderEffect,
    pool::{Pool, RecoveredJobs, RecoveredState, StoredRoster},
};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::PoolName,
    size::{FencingToken, Revision},
};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    claim::{self, Reads, Takeover},
    election, fleet,
    node::Node,
    owner::{Input, Outcome, Owner, OwnerHandle},
    takeover::{self, Loader, Taking},
    view::LeaseView,
};

/// Pause before the rows of a pool are read again after a failure.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Takes the lease of a pool, recovers the pool's state and starts its owner.
pub async fn take_over(
    node: Arc<Node>,
    pool: PoolName,
    policy: Option<PoolPolicy>,
    known: Option<LeaseView>,
) {
    let effect = election::order_effect(&node, &pool, known.as_ref());
    let counted = policy.is_some().then(|| effect.longest());
    let lease_sent_at = node.now();
    let taking = Taking::new(&node, &pool);
    let lease = match takeover::take(&node, &pool, known.as_ref(), counted).await {
        Ok(Some(lease)) => lease,
        Ok(None) => return,
        Err(error) => {
            log::info!("pool={pool} lease can't be taken: {error}");
            return;
        }
    };
    node.metrics.pools_taken.inc();
    let (handle, inputs) = OwnerHandle::new(lease.revision);
    if policy.is_none() {
        node.pool_acquired.notify_one();
        let owner = fleet::run(Arc::clone(&node), handle.clone(), inputs, lease, known);
        election::start_owner(&node, pool.clone(), handle, owner);
        return;
    }
    node.loading().insert(pool.clone(), Takeover::new(&lease, node.now()));
    drop(taking);
    node.pool_acquired.notify_one();
    let longest_effect = effect.longest();
    let (sender, roster) = oneshot::channel();
    let recovering = RecoveringOwner {
        node: Arc::clone(&node),
        pool: pool.clone(),
        lease: lease.clone(),
        lease_sent_at,
        effect,
        handle: handle.clone(),
        inputs,
        roster,
    };
    let mut owner = Box::pin(recovering.run());
    let reads = tokio::select! {
        loaded = load(&node, &pool, lease.revision, sender) => Reads::Ended(loaded),
        () = claim::wait_until_stuck(&node, &pool) => Reads::Stuck,
        () = node.stopped() => Reads::Stopping,
        outcome = &mut owner => {
            if outcome == Outcome::Failed {
                node.loading().remove(&pool);
                node.record_owner_failure(&pool);
                return;
            }
            Reads::Ended(None)
        }
    };
    let reads = match reads {
        Reads::Ended(Some(jobs)) => Reads::Ended(Some((jobs, owner))),
        // No order may be given once the claim has ended.
        ended => {
            drop(owner);
            ended.without_result()
        }
    };
    let workers = node.loading().get(&pool).and_then(|takeover| takeover.roster);
    let Some((jobs, owner)) =
        claim::end_takeover(&node, &pool, &lease, longest_effect, reads).await
    else {
        return;
    };
    emit(
        Event::LeaseTaken,
        format_args!(
            "pool={pool} token={} term={} jobs={} workers={} before={:?} took={}ms effect={longest_effect}ms",
            lease.revision,
            lease.record.term,
            jobs.jobs.len(),
            workers.unwrap_or_default(),
            known.and_then(|known| known.record.owner),
            node.now().since(lease_sent_at)
        ),
    );
    // Inputs keep their order, so callers that find the owner from now on find its jobs.
    handle.pulse.record_turn(node.now());
    handle.send(Input::JobsRecovered(Box::new(jobs)));
    election::start_owner(&node, pool.clone(), handle, owner);
    // Peers must not see the pool denied between the two.
    node.loading().remove(&pool);
}

/// An owner that waits for the roster.
struct RecoveringOwner {
    node: Arc<Node>,
    pool: PoolName,
    lease: LeaseView,
    lease_sent_at: Tick,
    /// How long orders of previous owners may have effect once all shards are fenced.
    effect: OrderEffect,
    handle: OwnerHandle,
    inputs: mpsc::UnboundedReceiver<Input>,
    roster: oneshot::Receiver<StoredRoster>,
}

impl RecoveringOwner {
    /// Runs the owner from when the roster is known. It serves the pool once it has got the stored jobs.
    async fn run(self) -> Outcome {
        let Self { node, pool, lease, handle, .. } = self;
        let Ok(roster) = self.roster.await else {
            // The takeover has ended, and with it this task.
            return future::pending().await;
        };
        emit(
            Event::RenewalBegan,
            format_args!(
                "pool={pool} token={} workers={} lease_age={}ms",
                lease.revision,
                roster.workers.len(),
                node.now().since(self.lease_sent_at)
            ),
        );
        let term = lease.record.term;
        let found = RecoveredState {
            roster,
            verified: self.lease_sent_at,
            effect: self.effect.usual,
            silent: self.effect.silent,
            knows_storer: lease.record.knows_storer,
            ..RecoveredState::default()
        };
        let state = Pool::recovering(
            pool.clone(),
            FencingToken(lease.revision.0),
            term,
            election::timeouts(&node),
            found,
            node.now(),
            node.clock.wall(),
        );
        let listing = send_workers(Arc::clone(&node), pool, handle.clone());
        let owner = Owner::new(node, state, term, handle, self.inputs);
        // They share a task, since an owner without the list of workers is of no use.
        tokio::select! {
            outcome = owner.run() => outcome,
            () = listing => Outcome::GivenUp,
        }
    }
}

/// Reads the state that the previous owner left, with retries for as long as the lease names this
/// process, so that an outage of the whole store that begins during the takeover does not cause
/// another ownership change.
async fn load(
    node: &Node,
    pool: &PoolName,
    token: Revision,
    roster: oneshot::Sender<StoredRoster>,
) -> Option<RecoveredJobs> {
    let mut loader = Loader::new(node, pool, token, roster);
    loop {
        match loader.load().await {
            Ok(recovered) => return recovered,
            Err(error) => {
                log::info!("pool={pool} rows can't be read, retrying: {error}");
                claim::update(node, pool, |takeover| takeover.error = Some(error));
            }
        }
        time::sleep(LOAD_RETRY_PAUSE).await;
        let held = node.view().leases.get(pool).is_some_and(|lease| lease.revision == token);
        if !held {
            return None;
        }
    }
}

/// Sends the pool's workers to its owner whenever the registered workers change, for as long as this
/// process claims the pool.
async fn send_workers(node: Arc<Node>, pool: PoolName, handle: OwnerHandle) {
    let mut changed = node.workers_changed.subscribe();
    loop {
        let recovers =
            node.loading().get(&pool).is_some_and(|takeover| takeover.token == handle.token);
        let serves = node.local_owner(&pool).is_some_and(|owner| owner.token == handle.token);
        if !recovers && !serves {
            return;
        }
        let workers = {
            let view = node.view();
            let own = view.workers.values().filter(|info| info.pool == pool);
            view.workers_loaded.then(|| own.cloned().collect())
        };
        if let Some(workers) = workers {
            handle.send(Input::WorkersListed(workers));
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}
