//! The fleet owner: the one process at a time that gives orders about hosts, for maintenance waves
//! and for moves between pools.

mod ended_workers;
mod quotas;
mod usage;
mod waves;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use futures::future::join_all;
use rand::seq::IteratorRandom;
use reachhead_jobs::{
    authority::PreviousHolder,
    clock::Tick,
    dead_workers::{EndedWorkers, OpenOrder},
    incarnation::Incarnation,
    model::Configuration,
    ports::PlatformHost,
    record::{LeaseRecord, lease_key, value},
    wave::Wave,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{StoreError, row::Txn};
use reachhead_types::{
    id::{HostId, PoolName, WaveName, WorkerId},
    size::{FencingToken, Millis, Revision},
};
use tokio::{sync::mpsc, time};

use self::{usage::UsageStore, waves::ActiveWave};
use crate::{
    claim::Pulse,
    moves::Moves,
    node::Node,
    order_permit::PermitIssuer,
    owner::{Input, Outcome, OwnerHandle},
    peer::{PeerReply, PeerRequest},
    view::{LeaseView, PeerStatus},
};

/// Interval between two rounds over waves and pools.
const ROUND_PERIOD: Duration = Duration::from_millis(100);

/// Time of failures to list the hosts after which the fleet owner asks peers whether they can.
const MAX_LIST_OUTAGE: Millis = Millis(5000);

/// Interval at which it asks.
const PEER_CHECK_PERIOD: Millis = Millis(3000);

/// Maximum number of peers that it asks at a time: in an outage of the platform's calls for hosts each
/// of them makes such a call.
const MAX_CHECKED_PEERS: usize = 3;

/// Timeout of an answer, in which the peer lists the hosts.
const PEER_CHECK_TIMEOUT: Duration = Duration::from_millis(1800);

/// Returns how long a new fleet owner gives no orders after taking the lease.
fn takeover_wait(node: &Node, before: Option<&LeaseView>) -> Millis {
    let Some(lease) = before else {
        return Millis(0);
    };
    let view = node.view();
    let owner = lease.record.owner.as_ref();
    let status = owner.and_then(|owner| view.peers.get(owner));
    let denies_lease = |status: &&PeerStatus| {
        status.pong.owned.get(&name()).is_none_or(|token| *token < lease.revision)
    };
    let previous = PreviousHolder {
        record: &lease.record,
        since: lease.since,
        observed: view.leases_first_read_at.is_some_and(|first| lease.since > first),
        is_self: owner == Some(&node.settings.node),
        disclaimed_at: status.filter(denies_lease).map(|status| status.at),
    };
    let platform_checks_token = node.settings.host_api.is_none_or(|hosts| hosts.fencing_enforced);
    previous.takeover_wait(node.now(), node.settings.lease_duration, platform_checks_token)
}

/// Returns the name of the fleet lease; no pool of the platform has a name that starts with a dot.
pub fn name() -> PoolName {
    match ".hosts".parse() {
        Ok(name) => name,
        Err(error) => unreachable!("a constant name: {error}"),
    }
}

/// Returns whether there is anything for a fleet owner to do.
pub fn is_needed(node: &Node) -> bool {
    let limited = |config: &Arc<Configuration>| config.customers.has_quotas();
    node.services.hosts.is_some() || node.view().config.as_ref().is_some_and(limited)
}

/// Runs the fleet owner until its lease is lost or released.
pub async fn run(
    node: Arc<Node>,
    handle: OwnerHandle,
    inputs: mpsc::UnboundedReceiver<Input>,
    lease: LeaseView,
    before: Option<LeaseView>,
) -> Outcome {
    let token = handle.token;
    emit(
        Event::LeaseTaken,
        format_args!("pool={} token={token} term={}", name(), lease.record.term),
    );
    let wait = takeover_wait(&node, before.as_ref());
    let permit_issuer =
        Arc::new(PermitIssuer::new(Arc::clone(&node), name(), FencingToken(token.0)));
    let mut fleet = Fleet {
        orders_start_at: node.now() + wait,
        node: Arc::clone(&node),
        token,
        term: lease.record.term,
        waves: BTreeMap::new(),
        platform_hosts: BTreeMap::new(),
        listed_at: Tick(0),
        ended_workers: EndedWorkers::new(),
        usage: UsageStore::default(),
        ended_hosts: BTreeSet::new(),
        moves: Moves::new(Arc::clone(&node), Arc::clone(&permit_issuer)),
        permit_issuer,
        unlisted_since: None,
        next_check: Tick(0),
        pulse: Arc::clone(&handle.pulse),
        fenced: false,
    };
    // They share a task, so that neither goes on without the other.
    tokio::select! {
        outcome = fleet.run(inputs) => outcome,
        () = quotas::run(node, token) => Outcome::GivenUp,
    }
}

struct Fleet {
    node: Arc<Node>,
    token: Revision,
    term: u64,
    orders_start_at: Tick,
    waves: BTreeMap<WaveName, ActiveWave>,
    platform_hosts: BTreeMap<HostId, PlatformHost>,
    /// When the list of hosts was requested; it shows their states at some time after that.
    listed_at: Tick,
    ended_workers: EndedWorkers,
    usage: UsageStore,
    /// Hosts whose worker has ended after a maintenance order that was not answered yet.
    ended_hosts: BTreeSet<HostId>,
    moves: Moves,
    permit_issuer: Arc<PermitIssuer>,
    /// Since when the platform's hosts could not be listed, if the last attempt failed.
    unlisted_since: Option<Tick>,
    /// When peers are asked next whether they can list them.
    next_check: Tick,
    pulse: Arc<Pulse>,
    fenced: bool,
}

impl Fleet {
    async fn run(&mut self, mut inputs: mpsc::UnboundedReceiver<Input>) -> Outcome {
        let mut pause = Duration::ZERO;
        while !self.fenced && self.holds_lease() {
            self.pulse.record_turn(self.node.now());
            match time::timeout(std::mem::replace(&mut pause, ROUND_PERIOD), inputs.recv()).await {
                Ok(Some(Input::Release(request))) => {
                    self.release_lease().await;
                    return request.finish(self.node.now());
                }
                Ok(None) => break,
                Ok(Some(_)) => continue,
                Err(_) => {}
            }
            if self.node.now() >= self.orders_start_at {
                self.round().await;
            }
            if self.should_give_up().await {
                log::warn!(
                    "token={} a peer can list the platform's hosts, this process can't",
                    self.token
                );
                let now = self.node.now();
                self.node.ability().record_unreadable(&name(), now);
                self.release_lease().await;
                break;
            }
        }
        Outcome::GivenUp
    }

    /// Returns whether a member can list the platform's hosts, while this process has not for long.
    /// A change of the owner interrupts the division of quotas, so the lease stays while no process is
    /// known to do better.
    async fn should_give_up(&mut self) -> bool {
        let now = self.node.now();
        let is_cut_off =
            self.unlisted_since.is_some_and(|since| now.since(since) > MAX_LIST_OUTAGE);
        if !is_cut_off || now < self.next_check {
            return false;
        }
        self.next_check = now + PEER_CHECK_PERIOD;
        let members: Vec<SocketAddr> = {
            let view = self.node.view();
            let others = view.members.iter().filter(|(node, _)| **node != self.node.settings.node);
            let addresses = others.map(|(_, member)| member.record.address);
            addresses.choose_multiple(&mut rand::rng(), MAX_CHECKED_PEERS)
        };
        let peers = &self.node.peers;
        let probes = members
            .into_iter()
            .map(|member| peers.call(member, &PeerRequest::ProbeHosts, PEER_CHECK_TIMEOUT));
        let answers = join_all(probes).await;
        answers.iter().any(|answer| matches!(answer, Ok(PeerReply::HostsListed(true))))
    }

    fn holds_lease(&self) -> bool {
        let view = self.node.view();
        let not_replaced =
            view.leases.get(&name()).is_none_or(|lease| lease.revision <= self.token);
        not_replaced && !self.permit_issuer.is_lost()
    }

    async fn round(&mut self) {
        self.load_waves().await;
        self.waves.retain(|_, active| !active.wave.record.completed);
        if !self.list_hosts().await {
            return;
        }
        self.settle_ended_workers().await;
        let names: Vec<WaveName> = self.waves.keys().cloned().collect();
        for wave in names {
            self.advance_wave(&wave).await;
        }
        let stores_usage = self.moves.stores_usage(self.platform_hosts.len());
        if stores_usage {
            self.load_usage().await;
        }
        self.move_hosts().await;
        if stores_usage {
            self.save_usage().await;
        }
    }

    /// Determines which workers have been ended by orders, and notifies the owners of their pools.
    async fn settle_ended_workers(&mut self) {
        let now = self.node.now();
        let settled = {
            let view = self.node.view();
            let registered = |worker: &WorkerId| view.workers.get(worker)?.started_at;
            let unreachable = self.moves.unreachable();
            self.ended_workers.settle(&self.platform_hosts, unreachable, registered, now)
        };
        for (pool, incarnation) in settled.ended {
            emit(Event::WorkerEnded, format_args!("pool={pool} worker={incarnation}"));
        }
        for host in settled.maintained {
            if self.waves.values().any(|active| active.wave.is_due(&host)) {
                self.ended_hosts.insert(host);
            }
        }
        ended_workers::notify_owners(&self.node, &mut self.ended_workers, now).await;
    }

    /// Returns the incarnation of a worker that is registered at present.
    fn registered_incarnation(&self, worker: WorkerId) -> Incarnation {
        let view = self.node.view();
        let started_at = view.workers.get(&worker).and_then(|info| info.started_at);
        Incarnation::new(worker).with_start(started_at)
    }

    async fn move_hosts(&mut self) {
        let waves: Vec<&Wave> = self.waves.values().map(|active| &active.wave).collect();
        let is_held = |host: &HostId| {
            self.ended_workers.is_open(host) || waves.iter().any(|wave| wave.is_held(host))
        };
        let moved = self.moves.round(&self.platform_hosts, is_held).await;
        for moved in moved {
            self.fenced |= moved.fenced;
            if let Some(worker) = moved.step.worker.filter(|_| moved.may_have_effect) {
                let incarnation = self.registered_incarnation(worker);
                let order = OpenOrder { pool: moved.step.from, incarnation, maintenance: false };
                self.ended_workers.record_order(&moved.step.host, order);
            }
        }
    }

    async fn list_hosts(&mut self) -> bool {
        let Some(api) = &self.node.services.hosts else {
            return false;
        };
        let requested_at = self.node.now();
        match api.list().await {
            Ok(list) => {
                self.unlisted_since = None;
                self.listed_at = requested_at;
                self.platform_hosts = list
                    .into_iter()
                    .map(|platform_host| (platform_host.host.clone(), platform_host))
                    .collect();
                true
            }
            Err(error) => {
                log::info!("the platform's hosts can't be listed: {error}");
                self.unlisted_since.get_or_insert(self.node.now());
                false
            }
        }
    }

    async fn release_lease(&self) {
        let record = LeaseRecord {
            owner: None,
            address: None,
            term: self.term,
            settled: true,
            unsettled_for: None,
            abandoned: 0,
            knows_storer: false,
            silent: None,
            earlier: None,
        };
        let txn = Txn::new()
            .with_check(lease_key(&name()), Some(self.token))
            .with_write(lease_key(&name()), value(&record));
        match self.node.services.store.commit(txn).await {
            Ok(_) => {}
            Err(
                StoreError::Lost(error)
                | StoreError::NotDone(error)
                | StoreError::Busy(error)
                | StoreError::Refused(error),
            ) => {
                emit(Event::RecordFailed, format_args!("pool={} {error}", name()));
            }
        }
    }
}
