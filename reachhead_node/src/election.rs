//! Elects pool owners: detects pools without a live owner, takes their leases and starts their
//! owners.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use reachhead_jobs::{
    candidate::{self, Candidate},
    clock::Tick,
    isolation,
    liveness::StoreReachability,
    model::PoolPolicy,
    order_effect::{self, OrderEffect},
    pool::PoolTimeouts,
    retake::Retake,
    silence::{OWNER_TIMEOUT, RunningTime, is_owners_fault, is_silent},
};
use reachhead_ops::{
    event::{Event, emit},
    supervise,
};
use reachhead_types::{
    id::{NodeName, PoolName},
    size::{Millis, Revision},
};
use tokio::{task::JoinHandle, time};

use crate::{
    fleet,
    node::Node,
    owner::{Input, Outcome, OwnerHandle, ReleaseRequest},
    recovery, retakes,
    view::{LeaseView, View},
};

/// Interval between two checks of the leases.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Maximum age of the store's last answer to this process for it to take a pool: longer than the
/// polls of a followed table, which are the only calls of an idle process.
const MAX_STORE_AGE: Millis = Millis(1600);

/// Minimum time between two log lines about delays of this process.
const DELAY_LOG_PERIOD: Millis = Millis(1000);

/// How long a process waits after its start before it takes pools, so that the processes learn of
/// each other.
const START_DELAY: Millis = Millis(300);

/// The same if the membership list was empty: the first member would otherwise take all pools and
/// hand them over to the others one by one.
const FIRST_START_DELAY: Millis = Millis(3000);

/// How long an owner keeps giving orders without a confirmation of its lease. With a worker's lease
/// after it, runs outlast an outage of the store of about eight seconds; a successor that can't
/// reach a worker has to wait for the same time.
pub const LEASE_TRUST_TIME: Millis = Millis(4000);

/// Maximum lease granted to workers, whatever they accept: a task is delayed by this time when its
/// worker is lost, and the lease has to outlast an ownership change.
pub const MAX_WORKER_LEASE: Millis = Millis(4500);

/// Duration of a long poll at a worker: well below half of the lease, and at most what the platform
/// allows.
const POLL_WAIT: Millis = Millis(1500);

/// Takes pools for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut election = Election::new(node);
    loop {
        time::sleep(CHECK_PERIOD).await;
        if !election.node.is_stopping() {
            election.check_pools();
        }
    }
}

struct Election {
    node: Arc<Node>,
    started: Tick,
    /// Since when this process watches the owners. Silence of an owner before that is no evidence.
    watching_since: Tick,
    /// Since when each pool has had no live owner, as this process sees it.
    vacant_since: BTreeMap<PoolName, Tick>,
    /// Pools being taken over. They run concurrently: after a restart of all processes each takes
    /// several, and the jobs of the last pool would wait for all the others.
    takeovers: BTreeMap<PoolName, JoinHandle<()>>,
    /// Pools of this process that it releases for peers and that nobody has taken yet, with the release of
    /// their leases.
    released: BTreeMap<PoolName, JoinHandle<()>>,
    /// The lease of each pool whose owner was last logged as lost, so that each loss is logged
    /// once.
    logged: BTreeMap<PoolName, Revision>,
    /// The time in which this process was not delayed itself.
    running: RunningTime,
    /// When a peer last answered.
    heard: Tick,
    /// When a delay of this process was last logged.
    delay_logged: Tick,
}

/// Why a pool counts as having no live owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Vacancy {
    /// The pool has no lease.
    NoLease,
    /// The owner gave the lease back.
    Released,
    /// The lease names this process, which does not own the pool.
    Own,
    /// The owner does not answer.
    Silent,
    /// The owner answers and does not claim the pool.
    NotClaimed,
    /// The owner answers and can't reach the store.
    CutOff,
}

impl Election {
    /// Returns an election that has seen nothing yet.
    fn new(node: Arc<Node>) -> Self {
        let now = node.now();
        Self {
            started: now,
            watching_since: now,
            vacant_since: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            released: BTreeMap::new(),
            logged: BTreeMap::new(),
            running: RunningTime::new(now),
            heard: now,
            delay_logged: Tick(0),
            node,
        }
    }

    fn check_pools(&mut self) {
        let now = self.node.now();
        self.node.record_store_progress();
        self.record_link_use(now);
        if let Some(gap) = self.running.check(now) {
            self.log_delay(gap, now);
        }
        self.heard = self.heard.max(self.node.view().last_heard());
        if !self.node.view().is_watching_owners(&self.node.settings.node, now) {
            self.watching_since = now;
        }
        self.takeovers.retain(|_, takeover| !takeover.is_finished());
        self.released.retain(|pool, _| {
            let view = self.node.view();
            let owner = view.leases.get(pool).and_then(|lease| lease.record.owner.as_ref());
            owner.is_none_or(|owner| *owner == self.node.settings.node)
        });
        let start_delay =
            if self.node.view().started_without_members { FIRST_START_DELAY } else { START_DELAY };
        let early = now.since(self.started) < start_delay;
        let Some(config) = self.node.view().config.clone() else {
            return;
        };
        let mut pools: Vec<PoolName> =
            config.pools.values().map(|pool| pool.name.clone()).collect();
        // Nothing runs in spare pools, so the link carries the others first.
        pools.sort_by_key(|pool| config.pools.get(pool).is_some_and(|policy| policy.spare));
        if fleet::is_needed(&self.node) {
            pools.push(fleet::name());
        }
        for pool in pools {
            let releases = self.released.get(&pool).is_some_and(|release| !release.is_finished());
            let leaves = releases || self.node.leaves_to_others(&pool, now);
            if self.takeovers.contains_key(&pool) || leaves {
                continue;
            }
            let own = self.is_own(&pool);
            if early && !own {
                continue;
            }
            if let Some(why) = self.vacancy(&pool, now) {
                let since = *self.vacant_since.entry(pool.clone()).or_insert(now);
                self.log_vacant_once(&pool, why, now);
                let known = self.node.view().leases.get(&pool).cloned();
                let policy = config.pools.get(&pool).cloned();
                let decided = if own && !self.node.ability().is_unreadable(&pool) {
                    self.decide_retake(&pool, policy.is_some(), now.since(since))
                } else if now.since(since) >= self.candidate_delay(&pool, now) {
                    Retake::Take
                } else {
                    Retake::Wait
                };
                if decided == Retake::Release
                    && let Some(lease) = known
                {
                    self.vacant_since.remove(&pool);
                    self.node.ability().record_declined(&pool, now);
                    let release = retakes::release(Arc::clone(&self.node), pool.clone(), lease);
                    self.released.insert(pool, tokio::spawn(release));
                } else if decided == Retake::Take {
                    self.vacant_since.remove(&pool);
                    self.released.remove(&pool);
                    let task = run_takeover(Arc::clone(&self.node), pool.clone(), policy, known);
                    self.takeovers.insert(pool, tokio::spawn(task));
                }
            } else {
                self.vacant_since.remove(&pool);
            }
        }
    }

    /// Records when this process's own link was filled, from its calls and the large answers that
    /// arrive.
    fn record_link_use(&mut self, now: Tick) {
        let peers = &self.node.peers;
        if let Some(age) = peers.quick_answer_age() {
            self.running.record_quick_answer(now - age);
        }
        if let Some(time) = peers.large_answers_arriving_for() {
            self.running.record_large_answer(now - Millis(time.as_millis() as u64), now);
        }
        if peers.is_link_filled() {
            self.running.record_filled_link(now);
        }
    }

    /// Returns whether a pool's lease names this process. No other process takes such a pool before
    /// its owner has been silent, so a restarted process takes its own pools without delay; that
    /// shortens the wait of jobs after a power loss of all processes.
    fn is_own(&self, pool: &PoolName) -> bool {
        let view = self.node.view();
        let owner = view.leases.get(pool).and_then(|lease| lease.record.owner.as_ref());
        owner == Some(&self.node.settings.node)
    }

    /// Decides about a vacant pool whose lease names this process. The fleet owner reads no roster.
    fn decide_retake(&self, pool: &PoolName, has_roster: bool, vacant_for: Millis) -> Retake {
        if !has_roster {
            return Retake::Take;
        }
        let running: Vec<PoolName> = self.takeovers.keys().cloned().collect();
        let retakes = retakes::retakes(&self.node, pool, &running, self.released.len());
        retakes.decide(retakes::roster_bytes_of(&self.node, pool), vacant_for)
    }

    /// Logs a delay of this process.
    fn log_delay(&mut self, gap: Millis, now: Tick) {
        self.node.metrics.delays.inc();
        if now.since(self.delay_logged) >= DELAY_LOG_PERIOD {
            self.delay_logged = now;
            emit(Event::ProcessDelayed, format_args!("gap={gap}ms"));
        }
    }

    /// Logs that a pool's owner seems to be lost, once for each lease.
    fn log_vacant_once(&mut self, pool: &PoolName, why: Vacancy, now: Tick) {
        let revision = self.node.view().leases.get(pool).map(|lease| lease.revision);
        if let Some(revision) = revision
            && self.logged.insert(pool.clone(), revision) != Some(revision)
        {
            let delay = self.running.last_delay().map(|at| now.since(at));
            self.node.log_vacant_pool(pool, now, why, delay);
        }
    }

    /// Returns why a pool seems to have no live owner, if it does.
    fn vacancy(&self, pool: &PoolName, now: Tick) -> Option<Vacancy> {
        let node = &self.node;
        if node.owned().contains_key(pool) {
            return None;
        }
        let view = node.view();
        if now.since(view.store_answers.last()) > MAX_STORE_AGE {
            return None;
        }
        let Some(lease) = view.leases.get(pool) else {
            let is_current = now.since(view.leases_current_at) < Millis(2 * LEASE_TRUST_TIME.0);
            return is_current.then_some(Vacancy::NoLease);
        };
        let Some(owner) = &lease.record.owner else {
            return Some(Vacancy::Released);
        };
        if *owner == node.settings.node {
            return Some(Vacancy::Own);
        }
        let status = view.peers.get(owner);
        let last = status.map_or(Tick(0), |status| status.at).max(lease.since).max(self.started);
        let late = view.late_answers.get(owner).copied().unwrap_or_default();
        let last = last.max(self.watching_since).max(late);
        let is_asked = view.owner(pool).is_some_and(|(asked, _)| asked == *owner);
        let missed = is_asked.then(|| view.missed.get(owner).copied().unwrap_or_default());
        if is_silent(&self.running, missed, last, now) {
            let quick = node.peers.quick_answer_age().map(|age| now - age);
            if !is_owners_fault(&self.running, missed, last, quick, now) {
                return None;
            }
            let own = &node.settings.node;
            let taken = view.last_taken(own);
            let held = isolation::is_held(&self.running, self.heard, taken, now);
            let is_preferred =
                !view.is_taken_by_unheard(own, lease) || view.is_in_preferred_group(own, now);
            let left = isolation::is_left_to_other_group(is_preferred, lease.since, now);
            return (!held && !left).then_some(Vacancy::Silent);
        }
        let status = status.filter(|status| status.at > lease.since)?;
        let absent = status.pong.owned.get(pool).is_none_or(|token| *token < lease.revision);
        if absent && now.since(lease.since) > OWNER_TIMEOUT {
            return Some(Vacancy::NotClaimed);
        }
        // A new version of the configuration fills the links of many processes at once, and their
        // other calls to the store time out behind it.
        let failing = status.pong.failing && !node.peers.is_link_filled();
        let reachability = StoreReachability { age: Millis(status.pong.store_age), failing };
        let own = view.store_answers.reachability(status.at - reachability.age, now);
        let cut_off = reachability.is_cut_off(own);
        cut_off.then_some(Vacancy::CutOff)
    }

    /// Returns whether a candidate has missed heartbeats for as long as an owner that counts as dead.
    /// Owners of other pools may be lost together with that of this pool.
    fn is_lost(&self, candidate: &NodeName, view: &View, now: Tick) -> bool {
        let Some(missed) = view.missed.get(candidate) else {
            return false;
        };
        let heard = view.peers.get(candidate).map_or(Tick(0), |status| status.at);
        is_silent(&self.running, Some(*missed), heard.max(self.watching_since), now)
    }

    /// Returns how long this process lets better candidates take a pool first.
    fn candidate_delay(&self, pool: &PoolName, now: Tick) -> Millis {
        let node = &self.node;
        let owned = node.owned().len() + self.takeovers.len();
        let view = node.view();
        let own = Candidate { node: &node.settings.node, strength: node.strength(), owned };
        let others = view
            .members
            .iter()
            .filter(|(other, _)| **other != node.settings.node)
            .filter(|(other, _)| !self.is_lost(other, &view, now))
            .map(|(other, member)| view.candidate(other, &member.record));
        let member = view.members.contains_key(&node.settings.node);
        let delay = candidate::delay(pool, &own, member, others);
        let unable = node.ability().is_unable(pool, now);
        if unable { Millis(delay.0 + candidate::UNABLE_DELAY.0) } else { delay }
    }
}

/// Returns until when orders of the previous owners may have effect on workers that do not answer, for
/// a process that takes the lease at `now`. It has to be known before the lease is taken: afterwards a
/// previous owner that goes on may no longer be reported.
pub fn order_effect(
    node: &Node,
    pool: &PoolName,
    known: Option<&LeaseView>,
    now: Tick,
) -> OrderEffect {
    let (view, settings) = (node.view(), &node.settings);
    let predecessor = known.map(|lease| view.predecessor(pool, lease, settings));
    let mut effect = order_effect::order_effect(&timeouts(node), predecessor, now);
    if let Some(lease) = known {
        view.end_owners(&mut effect, pool, lease.since, settings, now);
    }
    effect
}

/// Takes over a pool, and gives up the claim to it if that panics.
async fn run_takeover(
    node: Arc<Node>,
    pool: PoolName,
    policy: Option<PoolPolicy>,
    known: Option<LeaseView>,
) {
    let takeover = recovery::take_over(Arc::clone(&node), pool.clone(), policy, known);
    if supervise::run(format!("takeover of pool {pool}"), takeover).await.is_err() {
        node.loading().remove(&pool);
        node.record_owner_failure(&pool);
    }
}

/// Claims a pool and runs its owner. The claim ends with the owner, also if it panics: peers leave
/// a pool alone for as long as a process claims it.
pub fn start_owner(
    node: &Arc<Node>,
    pool: PoolName,
    handle: OwnerHandle,
    owner: impl Future<Output = Outcome> + Send + 'static,
) {
    let token = handle.token;
    node.owned().insert(pool.clone(), handle.clone());
    if node.is_stopping() {
        // The lease was taken while shutdown began, and the other owners have been released.
        handle.send(Input::Release(ReleaseRequest::new(node.now()).0));
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let ended = supervise::run(format!("owner of pool {pool}"), owner).await;
        let outcome = ended.unwrap_or(Outcome::Failed);
        release(&node, &pool, token, outcome);
        if outcome == Outcome::Failed {
            node.record_owner_failure(&pool);
        }
    });
}

/// Removes a pool from those that this process owns.
pub fn release(node: &Node, pool: &PoolName, token: Revision, outcome: Outcome) {
    let mut owned = node.owned();
    if owned.get(pool).is_some_and(|handle| handle.token == token) {
        owned.remove(pool);
    }
    emit(Event::LeaseEnded, format_args!("pool={pool} token={token} {outcome}"));
}

/// Returns the timeouts of this process's pools.
pub fn timeouts(node: &Node) -> PoolTimeouts {
    let settings = &node.settings;
    PoolTimeouts {
        hold: settings.max_lease.min(MAX_WORKER_LEASE),
        trust: LEASE_TRUST_TIME,
        wait: POLL_WAIT,
        notice: settings.notice_period,
        gang: settings.gang_timeout,
        stop: settings.stop_timeout,
        grant: settings.max_lease,
        drain: settings.drain_lag,
    }
}

#[cfg(test)]
#[path = "election_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "renewal_tests.rs"]
mod renewal_tests;

#[cfg(test)]
#[path = "retakes_tests.rs"]
mod retakes_tests;
