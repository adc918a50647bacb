//! Who is in charge of which pool: taking leases, and noticing that an owner is gone.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use reachhead_jobs::{
    candidate::{self, Candidate},
    clock::{Tick, with_drift},
    liveness::StoreReachability,
    model::PoolPolicy,
    pool::{Pool, PoolTimeouts, RecoveredState},
};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::PoolName,
    size::{FencingToken, Millis, Revision},
};
use tokio::{task::JoinHandle, time};

use crate::{
    fleet,
    node::Node,
    owner::{Owner, OwnerHandle},
    takeover::{self, Loader},
    view::LeaseView,
};

/// How often a process looks at the leases.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// How long an owner must be silent before its pools are taken. Longer than a pause of a slow or
/// frozen process that is usual, and short enough that workers' leases outlast the change of hands.
const SILENT_TIME: Millis = Millis(1100);

/// How recently the store must have answered this process for it to take a pool: longer than the polls
/// of a followed table, which are the only calls of an idle process.
const FRESH_TIME: Millis = Millis(1600);

/// Gap between two looks from which this process counts as late itself.
const LATE_GAP: Millis = Millis(250);

/// How long a process waits after its start before it takes pools, so that all know each other.
const START_DELAY: Millis = Millis(300);

/// The same where nobody had been on the list of members: the first that enters would take all pools, and hand them over to the
/// others one by one.
const FIRST_DELAY: Millis = Millis(3000);

/// How long an owner goes on giving orders without a sign that it is in charge. With a worker's lease
/// after it, runs outlast an outage of the store of about eight seconds; a successor that can't
/// reach a worker has to wait for the same time.
pub const TRUST_TIME: Millis = Millis(4000);

/// Longest lease that workers are given, whatever they would grant: it is what a task is delayed by
/// when its worker is lost, and it has to outlast a change of hands.
pub const HOLD_MOST: Millis = Millis(4500);

/// Pause after rows of a pool that is being taken could not be read.
const LOAD_PAUSE: Duration = Duration::from_millis(100);

/// How long a long poll waits at a worker: well below half of the lease, and at most what the
/// platform allows.
const POLL_WAIT: Millis = Millis(1500);

/// Takes pools for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    let mut claims = Claims {
        started: node.now(),
        watching: node.now(),
        vacant: BTreeMap::new(),
        claiming: BTreeMap::new(),
        told: BTreeMap::new(),
        last: node.now(),
        late: Tick(0),
        node,
    };
    loop {
        time::sleep(LOOK_PERIOD).await;
        if !claims.node.is_stopping() {
            claims.look();
        }
    }
}

struct Claims {
    node: Arc<Node>,
    started: Tick,
    /// Since when this process watches the owners; what it did not hear before tells nothing of them.
    watching: Tick,
    /// Since when a pool has nobody in charge, as this process sees it.
    vacant: BTreeMap<PoolName, Tick>,
    /// Pools that are being taken, side by side: after a restart of all processes each takes several, and jobs of the last one
    /// would wait for all others.
    claiming: BTreeMap<PoolName, JoinHandle<()>>,
    /// The lease of a pool whose loss was logged last, so that each is logged once.
    told: BTreeMap<PoolName, Revision>,
    /// When this process looked last.
    last: Tick,
    /// When it was last late itself. What it did not hear around then tells nothing of others: a process with too much to
    /// do would take the pools of those that have not.
    late: Tick,
}

impl Claims {
    fn look(&mut self) {
        let now = self.node.now();
        if now.since(std::mem::replace(&mut self.last, now)) >= LATE_GAP {
            self.late = now;
        }
        if !self.node.view().watches(&self.node.settings.node, now) {
            self.watching = now;
        }
        self.claiming.retain(|_, claim| !claim.is_finished());
        let delay = if self.node.view().is_first { FIRST_DELAY } else { START_DELAY };
        let early = now.since(self.started) < delay;
        let Some(config) = self.node.view().config.clone() else {
            return;
        };
        let mut pools: Vec<PoolName> =
            config.pools.values().map(|pool| pool.name.clone()).collect();
        if fleet::is_wanted(&self.node) {
            pools.push(fleet::name());
        }
        for pool in pools {
            if self.claiming.contains_key(&pool) {
                continue;
            }
            let own = self.is_own(&pool);
            if early && !own {
                continue;
            }
            if self.is_vacant(&pool, now) {
                let since = *self.vacant.entry(pool.clone()).or_insert(now);
                self.tell_vacant(&pool, now);
                if own || now.since(since) >= self.delay(&pool) {
                    self.vacant.remove(&pool);
                    let known = self.node.view().leases.get(&pool).cloned();
                    let policy = config.pools.get(&pool).cloned();
                    let task = claim(Arc::clone(&self.node), pool.clone(), policy, known);
                    self.claiming.insert(pool, tokio::spawn(task));
                }
            } else {
                self.vacant.remove(&pool);
            }
        }
    }

    /// Tells whether a pool's lease names this process. Nobody else takes such a pool before its owner has been
    /// silent, so a restarted process takes its own without any delay, and jobs wait less when all lose power.
    fn is_own(&self, pool: &PoolName) -> bool {
        let view = self.node.view();
        let owner = view.leases.get(pool).and_then(|lease| lease.record.owner.as_ref());
        owner == Some(&self.node.settings.node)
    }

    /// Logs that a pool's owner seems to be gone, once a lease.
    fn tell_vacant(&mut self, pool: &PoolName, now: Tick) {
        let revision = self.node.view().leases.get(pool).map(|lease| lease.revision);
        if let Some(revision) = revision
            && self.told.insert(pool.clone(), revision) != Some(revision)
        {
            self.node.note_vacant(pool, now);
        }
    }

    /// Tells whether nobody seems to be in charge of a pool.
    fn is_vacant(&self, pool: &PoolName, now: Tick) -> bool {
        let node = &self.node;
        if node.owned().contains_key(pool) {
            return false;
        }
        let view = node.view();
        if now.since(view.store_seen) > FRESH_TIME {
            return false;
        }
        let Some(lease) = view.leases.get(pool) else {
            return now.since(view.leases_seen) < Millis(2 * TRUST_TIME.0);
        };
        let Some(owner) = &lease.record.owner else {
            return true;
        };
        if *owner == node.settings.node {
            return true;
        }
        let heard = view.heard.get(owner);
        let last = heard.map_or(Tick(0), |heard| heard.at).max(lease.since).max(self.started);
        let last = last.max(self.late).max(self.watching);
        if now.since(last) > SILENT_TIME {
            return true;
        }
        let Some(heard) = heard.filter(|heard| heard.at > lease.since) else {
            return false;
        };
        let absent = heard.pong.owned.get(pool).is_none_or(|token| *token < lease.revision);
        let unowned = absent && now.since(lease.since) > SILENT_TIME;
        let reachability =
            StoreReachability { age: Millis(heard.pong.store_age), failing: heard.pong.failing };
        let cut_off = reachability.is_cut_off(now.since(view.store_since));
        unowned || cut_off
    }

    /// Returns how long this process lets others take a pool first.
    fn delay(&self, pool: &PoolName) -> Millis {
        let node = &self.node;
        let owned = node.owned().len() + self.claiming.len();
        let view = node.view();
        let own = Candidate { node: &node.settings.node, strength: node.strength(), owned };
        let others = view
            .members
            .iter()
            .filter(|(other, _)| **other != node.settings.node)
            .map(|(other, member)| view.candidate(other, &member.record));
        let member = view.members.contains_key(&node.settings.node);
        candidate::delay(pool, &own, member, others)
    }
}

/// Returns how long an order of the predecessor may have effect on a worker that does not answer.
/// One that gave the pool back, or that lives and does not own it, gives no orders any more.
fn effect(node: &Node, pool: &PoolName, known: Option<&LeaseView>) -> Millis {
    let timeouts = timeouts(node);
    let Some(lease) = known else {
        return Millis(0);
    };
    let Some(owner) = &lease.record.owner else {
        return timeouts.after_release(&lease.record);
    };
    let now = node.now();
    let view = node.view();
    let ended = view.heard.get(owner).is_some_and(|heard| {
        let absent = heard.pong.owned.get(pool).is_none_or(|token| *token < lease.revision);
        absent && heard.at > lease.since
    });
    if ended && now.since(lease.since) >= timeouts.takeover_delay() {
        with_drift(timeouts.hold)
    } else {
        timeouts.takeover_delay()
    }
}

/// Takes a pool and starts its owner.
async fn claim(
    node: Arc<Node>,
    pool: PoolName,
    policy: Option<PoolPolicy>,
    known: Option<LeaseView>,
) {
    let asked = node.now();
    let lease = match takeover::take(&node, &pool, known.as_ref()).await {
        Ok(Some(lease)) => lease,
        Ok(None) => return,
        Err(error) => {
            log::info!("pool={pool} can't be taken: {error}");
            return;
        }
    };
    node.metrics.taken.inc();
    let (handle, inputs) = OwnerHandle::new(lease.revision);
    if policy.is_none() {
        node.owned().insert(pool.clone(), handle.clone());
        node.duty_taken.notify_one();
        tokio::spawn(fleet::run(node, handle, inputs, lease, known));
        return;
    }
    node.loading().insert(pool.clone(), lease.revision);
    node.duty_taken.notify_one();
    let effect = effect(&node, &pool, known.as_ref());
    let found = load(&node, &pool, lease.revision, effect).await;
    node.loading().remove(&pool);
    let Some(mut found) = found else {
        log::info!("pool={pool} token={} a later owner has taken it", lease.revision);
        return;
    };
    found.verified = asked;
    emit(
        Event::LeaseTaken,
        format_args!(
            "pool={pool} token={} term={} jobs={} workers={} before={:?}",
            lease.revision,
            lease.record.term,
            found.jobs.len(),
            found.roster.workers.len(),
            known.and_then(|known| known.record.owner)
        ),
    );
    let state = Pool::new(
        pool.clone(),
        FencingToken(lease.revision.0),
        lease.record.term,
        timeouts(&node),
        found,
        node.now(),
        node.clock.wall(),
    );
    node.owned().insert(pool.clone(), handle.clone());
    let owner = Owner::new(Arc::clone(&node), state, lease.record.term, handle.clone(), inputs);
    tokio::spawn(lists(Arc::clone(&node), pool.clone(), handle.clone()));
    tokio::spawn(async move {
        owner.run().await;
        release(&node, &pool, handle.token);
    });
}

/// Reads what the predecessor left, again and again while the lease names this process: an outage that begins
/// meanwhile must not cost a change of hands.
async fn load(
    node: &Node,
    pool: &PoolName,
    token: Revision,
    effect: Millis,
) -> Option<RecoveredState> {
    let mut loader = Loader::new(node, pool, token, effect);
    loop {
        match loader.load().await {
            Ok(found) => return found,
            Err(error) => log::info!("pool={pool} its rows can't be read: {error}"),
        }
        time::sleep(LOAD_PAUSE).await;
        let held = node.view().leases.get(pool).is_some_and(|lease| lease.revision == token);
        if !held || node.is_stopping() {
            return None;
        }
    }
}

/// Forgets that this process is in charge of a pool.
pub fn release(node: &Node, pool: &PoolName, token: Revision) {
    let mut owned = node.owned();
    if owned.get(pool).is_some_and(|handle| handle.token == token) {
        owned.remove(pool);
    }
    emit(Event::LeaseEnded, format_args!("pool={pool} token={token}"));
}

/// Tells an owner of the pool's workers whenever the registered ones change.
async fn lists(node: Arc<Node>, pool: PoolName, handle: OwnerHandle) {
    let mut changed = node.workers_changed.subscribe();
    loop {
        if node.local(&pool).is_none_or(|owner| owner.token != handle.token) {
            return;
        }
        let workers = {
            let view = node.view();
            let own = view.workers.values().filter(|info| info.pool == pool);
            view.workers_known.then(|| own.cloned().collect())
        };
        if let Some(workers) = workers {
            handle.send(crate::owner::Input::Listed(workers));
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}

fn timeouts(node: &Node) -> PoolTimeouts {
    let settings = &node.settings;
    PoolTimeouts {
        hold: settings.max_lease.min(HOLD_MOST),
        trust: TRUST_TIME,
        wait: POLL_WAIT,
        notice: settings.notice_period,
        gang: settings.gang_timeout,
        stop: settings.stop_timeout,
        grant: settings.max_lease,
        drain: settings.drain_lag,
    }
}
