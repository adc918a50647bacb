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
    size::{FencingToken, Millis, Revision},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

use crate::{
    claim::{self, Takeover},
    earlier_owners::EarlierOwners,
    election,
    fences::Fences,
    fleet,
    lease::{self, Taking},
    node::Node,
    owner::{Input, Outcome, Owner, OwnerHandle},
    retakes,
    takeover::Loader,
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
    let lease_sent_at = node.now();
    let effect = election::order_effect(&node, &pool, known.as_ref(), lease_sent_at);
    let counted = policy.is_some().then_some(&effect);
    let taking = Taking::new(&node, &pool);
    let lease = match lease::take(&node, &pool, known.as_ref(), counted).await {
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
    let takeover = Takeover::new(&lease, node.now()).with_owner(handle.clone());
    node.loading().insert(pool.clone(), takeover);
    drop(taking);
    node.pool_acquired.notify_one();
    let fences = Arc::new(Fences::default());
    let effect = Arc::new(watch::Sender::new(effect));
    let (sender, roster) = oneshot::channel();
    let recovering = RecoveringOwner {
        node: Arc::clone(&node),
        pool: pool.clone(),
        lease: lease.clone(),
        lease_sent_at,
        effect: Arc::clone(&effect),
        handle: handle.clone(),
        inputs,
        roster,
        fences: Arc::clone(&fences),
    };
    let mut owner = Box::pin(recovering.run());
    let reads = tokio::select! {
        loaded = load(&node, &pool, lease.revision, &fences, sender) => Reads::Ended(loaded),
        () = claim::wait_until_stuck(&node, &pool) => Reads::Stuck,
        () = retakes::wait_until_given_back(&node, &pool) => Reads::GivenBack,
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
    let known_effect = effect.borrow().clone();
    let Some((jobs, owner)) = end_takeover(&node, &pool, &lease, known_effect, reads).await else {
        return;
    };
    emit(
        Event::LeaseTaken,
        format_args!(
            "pool={pool} token={} term={} jobs={} workers={} before={:?} took={}ms effect={}ms{}",
            lease.revision,
            lease.record.term,
            jobs.jobs.len(),
            workers.unwrap_or_default(),
            known.and_then(|known| known.record.owner),
            node.now().since(lease_sent_at),
            effect.borrow().longest(node.now()),
            effect.borrow().describe_open()
        ),
    );
    // Inputs keep their order, so callers that find the owner from now on find its jobs.
    handle.pulse.record_turn(node.now());
    handle.send(Input::JobsRecovered(Box::new(jobs)));
    election::start_owner(&node, pool.clone(), handle, owner);
    // Peers must not see the pool denied between the two.
    node.loading().remove(&pool);
}

/// How the reads of a takeover ended.
#[derive(Debug)]
pub enum Reads<T> {
    /// What they have recovered; `None` if the lease is lost or the owner has ended.
    Ended(Option<T>),
    /// They were given up, since this process can't read the pool's rows.
    Stuck,
    /// They were given up, since other takeovers of this process go before this one and a peer is free.
    GivenBack,
    /// They were given up, since shutdown was requested.
    Stopping,
}

impl<T> Reads<T> {
    /// Returns the end of reads that have recovered nothing.
    pub fn without_result<U>(self) -> Reads<U> {
        match self {
            Self::Ended(_) => Reads::Ended(None),
            Self::Stuck => Reads::Stuck,
            Self::GivenBack => Reads::GivenBack,
            Self::Stopping => Reads::Stopping,
        }
    }
}

/// Ends a takeover, and returns what it has recovered; this process then goes on claiming the pool. The
/// lease of one that was given up is released. If the roster had been read, workers' leases may have
/// been renewed.
pub async fn end_takeover<T>(
    node: &Node,
    pool: &PoolName,
    lease: &LeaseView,
    mut effect: OrderEffect,
    reads: Reads<T>,
) -> Option<T> {
    let takeover = node.loading().get(pool).cloned();
    let now = node.now();
    if takeover.as_ref().is_some_and(|takeover| takeover.roster.is_some()) {
        effect.renew(now);
    }
    let (longest, earlier) = (effect.longest(now), effect.earlier_owners(now));
    let recovered = match reads {
        Reads::Ended(recovered) => recovered,
        Reads::Stuck | Reads::GivenBack => {
            match reads {
                Reads::GivenBack => node.ability().record_declined(pool, now),
                _ => node.ability().record_unreadable(pool, now),
            }
            if let Some(takeover) = takeover {
                let age = now.since(takeover.started);
                let takeovers = node.loading().len();
                emit(
                    Event::TakeoverSlow,
                    format_args!(
                        "pool={pool} {takeover} age={age}ms takeovers={takeovers} given up"
                    ),
                );
            }
            node.loading().remove(pool);
            lease::release(node, pool, lease, lease.record.abandoned(longest, earlier)).await;
            return None;
        }
        Reads::Stopping => {
            log::info!("pool={pool} token={} takeover ended by shutdown", lease.revision);
            lease::release(node, pool, lease, lease.record.returned(longest, earlier)).await;
            // A process that is shutting down waits until no takeover is left.
            node.loading().remove(pool);
            return None;
        }
    };
    if recovered.is_some() {
        node.ability().record_readable(pool);
    } else {
        node.loading().remove(pool);
        log::info!("pool={pool} token={} takeover abandoned, the lease is lost", lease.revision);
    }
    recovered
}

/// An owner that waits for the roster.
struct RecoveringOwner {
    node: Arc<Node>,
    pool: PoolName,
    lease: LeaseView,
    lease_sent_at: Tick,
    /// Until when orders of previous owners may have effect.
    effect: Arc<watch::Sender<OrderEffect>>,
    handle: OwnerHandle,
    inputs: mpsc::UnboundedReceiver<Input>,
    roster: oneshot::Receiver<StoredRoster>,
    fences: Arc<Fences>,
}

impl RecoveringOwner {
    /// Runs the owner, and watches the owners before it meanwhile.
    async fn run(self) -> Outcome {
        let effect = Arc::clone(&self.effect);
        let earlier = EarlierOwners {
            node: Arc::clone(&self.node),
            pool: self.pool.clone(),
            lease: self.lease.clone(),
            fences: Arc::clone(&self.fences),
            handle: self.handle.clone(),
        };
        tokio::select! {
            outcome = self.serve() => outcome,
            () = earlier.watch(&effect) => Outcome::GivenUp,
        }
    }

    /// Runs the owner from when the roster is known. It serves the pool once it has got the stored jobs.
    async fn serve(self) -> Outcome {
        let Self { node, pool, lease, handle, .. } = self;
        let Ok(roster) = self.roster.await else {
            // The takeover has ended, and with it this task.
            return future::pending().await;
        };
        let (takeovers, queued) = {
            let loading = node.loading();
            (loading.len(), loading.get(&pool).map_or(Millis(0), |takeover| takeover.queued))
        };
        emit(
            Event::RenewalBegan,
            format_args!(
                "pool={pool} token={} workers={} lease_age={}ms takeovers={takeovers} queued={queued}ms",
                lease.revision,
                roster.workers.len(),
                node.now().since(self.lease_sent_at)
            ),
        );
        let term = lease.record.term;
        let effect = self.effect.borrow().clone();
        let found = RecoveredState::new(roster, effect, self.lease_sent_at)
            .with_knows_storer(lease.record.knows_storer);
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
    fences: &Fences,
    roster: oneshot::Sender<StoredRoster>,
) -> Option<RecoveredJobs> {
    let mut loader = Loader::new(node, pool, token, fences, roster);
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
