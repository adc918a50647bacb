//! State and services that the tasks of a process share.

use std::{
    collections::{BTreeMap, BTreeSet},
    future,
    sync::{Arc, Mutex, MutexGuard, Weak},
};

use reachhead_jobs::{
    advice_pace::AdvicePacer,
    clock::Tick,
    liveness::MIN_OUTAGE,
    owner_failures::OwnerFailures,
    poll_pace::PollPacer,
    ports::{Advisor, HostApi, RowFormat, TableFeed, WorkerAgent},
    start_pace::StartPacer,
};
use reachhead_ops::event::{Event, emit};
use reachhead_platform::settings::Settings;
use reachhead_store::{Store, StoreError};
use reachhead_types::{
    id::PoolName,
    size::{ByteRate, FencingToken, Millis, Strength},
};
use tokio::sync::{Notify, watch};

use crate::{
    ability::Ability,
    admission::AdmissionControl,
    bulk_reads::BulkReads,
    claim::Takeover,
    clock::Clock,
    config_reads::ConfigReads,
    dispatch::{DispatchServer, DispatchedWorkers, PeerLink},
    election::Vacancy,
    lock::locked,
    metrics::Metrics,
    owner::OwnerHandle,
    peer::PeerClient,
    registry::Registry,
    relay::Relay,
    submit::Submitter,
    view::View,
};

/// Silence of the store, with a failed call, from which it counts as unavailable, so that callers
/// are refused at once instead of being held. A single failed call after a poll's pause is no
/// outage yet.
const STORE_OUTAGE_AGE: Millis = Millis(1200);

/// The platform's services.
pub struct Services {
    /// The store, behind a circuit breaker.
    pub store: Arc<dyn Store>,
    /// The change feed of the store's tables.
    pub feed: Arc<dyn TableFeed>,
    /// The agents on the workers.
    pub workers: Arc<dyn WorkerAgent>,
    /// The platform's hosts, if it offers them.
    pub hosts: Option<Arc<dyn HostApi>>,
    /// The advisor that approves workers for a step, if there is one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// The format of the rows that operators and workers write.
    pub row_format: Arc<dyn RowFormat>,
}

/// Time of a whole core that one start of a task takes with its reports, in seconds: the processor
/// time of all owners divided by their starts.
const CORE_SECONDS_PER_START: f64 = 0.000_15;

/// Bits on the network link for one start: the order with its specification, the answer, and its
/// share of reports.
const LINK_BITS_PER_START: f64 = 8_000.0;

/// Bits per second in one Mbit/s.
const BITS_PER_MEGABIT: f64 = 1_000_000.0;

/// Bits in one byte.
const BITS_PER_BYTE: f64 = 8.0;

/// A process of the system.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The clocks.
    pub clock: Clock,
    /// The platform's services.
    pub services: Services,
    /// The client for peers.
    pub peers: PeerClient,
    /// Reads of the operators' table.
    pub config_reads: ConfigReads,
    /// Admission control of calls.
    pub admission: AdmissionControl,
    /// Stores accepted jobs.
    pub submitter: Submitter,
    /// Relays followed tables to other processes.
    pub relay: Relay,
    /// Relays registered workers to owners of pools.
    pub registry: Registry,
    /// Limits the rows that are read at the same time.
    pub bulk_reads: BulkReads,
    /// Carries out orders for owners in other processes.
    pub dispatch_server: DispatchServer,
    /// The metrics.
    pub metrics: Metrics,
    /// True once shutdown was requested.
    pub stopping: watch::Receiver<bool>,
    /// Notified when this process takes a pool, or has to follow the table of workers itself.
    pub pool_acquired: Notify,
    /// Incremented when the registered workers change.
    pub workers_changed: watch::Sender<u64>,
    view: Mutex<View>,
    owned: Mutex<BTreeMap<PoolName, OwnerHandle>>,
    loading: Mutex<BTreeMap<PoolName, Takeover>>,
    /// The pools whose leases are being written.
    taking: Mutex<BTreeSet<PoolName>>,
    dispatched: Mutex<BTreeMap<PoolName, Weak<DispatchedWorkers>>>,
    ability: Mutex<Ability>,
    owner_failures: Mutex<OwnerFailures>,
    start_pacer: Mutex<StartPacer>,
    poll_pacer: Mutex<PollPacer>,
    advice_pacer: Mutex<AdvicePacer>,
}

/// Returns the bandwidth of the process's link.
pub fn bandwidth(settings: &Settings) -> ByteRate {
    ByteRate((settings.link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE) as u64)
}

impl Node {
    /// Returns a process that has read nothing yet.
    pub fn new(
        settings: Settings,
        services: Services,
        peers: PeerClient,
        metrics: Metrics,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        let clock = Clock::new();
        let bandwidth = bandwidth(&settings);
        let start_pacer = Mutex::new(StartPacer::new(bandwidth, settings.cores, clock.now()));
        let poll_pacer = Mutex::new(PollPacer::new(bandwidth, clock.now()));
        let link = Arc::new(PeerLink(peers.clone()));
        let dispatch_server = DispatchServer::new(Arc::clone(&services.workers), link)
            .with_clock(clock.clone())
            .with_metrics(metrics.dispatch.clone());
        Self {
            settings,
            clock,
            services,
            peers,
            config_reads: ConfigReads::default(),
            admission: AdmissionControl::new(),
            submitter: Submitter::new(),
            relay: Relay::new(bandwidth),
            registry: Registry::new(),
            bulk_reads: BulkReads::new(bandwidth),
            dispatch_server,
            metrics,
            stopping,
            pool_acquired: Notify::new(),
            workers_changed: watch::Sender::new(0),
            view: Mutex::new(View::default()),
            owned: Mutex::new(BTreeMap::new()),
            loading: Mutex::new(BTreeMap::new()),
            taking: Mutex::new(BTreeSet::new()),
            dispatched: Mutex::new(BTreeMap::new()),
            ability: Mutex::default(),
            owner_failures: Mutex::new(OwnerFailures::new()),
            start_pacer,
            poll_pacer,
            advice_pacer: Mutex::default(),
        }
    }

    /// Returns the time on the monotonic clock.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Returns the process's capacity, in starts of tasks per second.
    pub fn strength(&self) -> Strength {
        Strength(self.processor_strength().min(self.link_strength()) as u32)
    }

    /// Returns whether dispatchers can relieve this process as an owner. They save processor time above all:
    /// the reports of the workers cross the owner's link with them as without.
    pub fn gains_by_dispatch(&self) -> bool {
        self.link_strength() >= self.processor_strength()
    }

    fn processor_strength(&self) -> f64 {
        self.settings.cores / CORE_SECONDS_PER_START
    }

    fn link_strength(&self) -> f64 {
        self.settings.link_mbps * BITS_PER_MEGABIT / LINK_BITS_PER_START
    }

    /// Locks the local view of the system. The guard must not be held across an await.
    pub fn view(&self) -> MutexGuard<'_, View> {
        locked(&self.view)
    }

    /// Locks the pools that this process owns.
    pub fn owned(&self) -> MutexGuard<'_, BTreeMap<PoolName, OwnerHandle>> {
        locked(&self.owned)
    }

    /// Locks the pools whose lease this process holds and whose rows it still reads. Peers count them
    /// as owned by it while rows arrive.
    pub fn loading(&self) -> MutexGuard<'_, BTreeMap<PoolName, Takeover>> {
        locked(&self.loading)
    }

    /// Returns the pools whose leases are being written by this process.
    pub fn taking(&self) -> MutexGuard<'_, BTreeSet<PoolName>> {
        locked(&self.taking)
    }

    /// Locks the pacer of the start orders of all pools that this process owns.
    pub fn start_pacer(&self) -> MutexGuard<'_, StartPacer> {
        locked(&self.start_pacer)
    }

    /// Locks the pacer of the polls of all pools that this process owns.
    pub fn poll_pacer(&self) -> MutexGuard<'_, PollPacer> {
        locked(&self.poll_pacer)
    }

    /// Locks the pacer of the calls for approvals of all pools that this process owns.
    pub fn advice_pacer(&self) -> MutexGuard<'_, AdvicePacer> {
        locked(&self.advice_pacer)
    }

    /// Locks what this process knows about its ability to serve pools.
    pub fn ability(&self) -> MutexGuard<'_, Ability> {
        locked(&self.ability)
    }

    /// Returns the owner of a pool, if it runs in this process.
    pub fn local_owner(&self, pool: &PoolName) -> Option<OwnerHandle> {
        self.owned().get(pool).cloned()
    }

    /// Returns the owner to notify of stored jobs of a pool, if it runs in this process. One that still
    /// reads the stored jobs keeps the others for later.
    pub fn notified_owner(&self, pool: &PoolName) -> Option<OwnerHandle> {
        let recovering = || self.loading().get(pool).and_then(|takeover| takeover.owner.clone());
        self.local_owner(pool).or_else(recovering)
    }

    /// Returns the workers of a pool as its owner in this process calls them, if it runs.
    pub fn dispatched(&self, pool: &PoolName) -> Option<Arc<DispatchedWorkers>> {
        locked(&self.dispatched).get(pool)?.upgrade()
    }

    /// Returns the workers of a pool for a new owner, which has no dispatchers yet.
    pub fn dispatch_workers(&self, pool: &PoolName, token: FencingToken) -> Arc<DispatchedWorkers> {
        let direct = Arc::clone(&self.services.workers);
        let link = Arc::new(PeerLink(self.peers.clone()));
        let workers = DispatchedWorkers::new(pool.clone(), token, self.settings.peer, direct, link)
            .with_bandwidth(bandwidth(&self.settings))
            .with_clock(self.clock.clone())
            .with_metrics(self.metrics.dispatch.clone());
        let workers = Arc::new(workers);
        locked(&self.dispatched).insert(pool.clone(), Arc::downgrade(&workers));
        workers
    }

    /// Records that the owner of a pool failed in this process.
    pub fn record_owner_failure(&self, pool: &PoolName) {
        let pause = locked(&self.owner_failures).record(pool, self.now());
        log::warn!("pool={pool} its owner failed, it may be taken again after {pause} ms");
    }

    /// Returns whether this process leaves a pool to others after failures of its owner.
    pub fn leaves_to_others(&self, pool: &PoolName, now: Tick) -> bool {
        locked(&self.owner_failures).is_paused(pool, now)
    }

    /// Logs that a pool seems to have no live owner, with the evidence. `delay` is the time since
    /// this process was last late itself.
    pub fn log_vacant_pool(&self, pool: &PoolName, now: Tick, why: Vacancy, delay: Option<Millis>) {
        let view = self.view();
        let Some(lease) = view.leases.get(pool) else {
            return;
        };
        let Some(owner) = &lease.record.owner else {
            return;
        };
        let status = view.peers.get(owner);
        emit(
            Event::OwnerSilent,
            format_args!(
                "pool={pool} owner={owner} token={} why={why:?} silent={:?} store_age={:?} \
                 claim={:?} token_age={}ms own_store_age={}ms own_delay_age={delay:?}",
                lease.revision,
                status.map(|status| now.since(status.at)),
                status.map(|status| status.pong.store_age),
                status.and_then(|status| status.pong.owned.get(pool)).map(|token| token.0),
                now.since(lease.since),
                now.since(view.store_answers.last())
            ),
        );
    }

    /// Returns whether this process owns nothing and leaves watching the owners to the members.
    pub fn is_idle(&self) -> bool {
        !self.owns_any() && !self.view().is_watching_owners(&self.settings.node, self.now())
    }

    /// Returns whether this process owns a pool or is taking one over.
    pub fn owns_any(&self) -> bool {
        !self.owned().is_empty() || !self.loading().is_empty()
    }

    /// Returns whether shutdown was requested.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Waits until shutdown is requested.
    pub async fn stopped(&self) {
        // The sender lives as long as the process; without one, shutdown is never requested.
        if self.stopping.clone().wait_for(|stopping| *stopping).await.is_err() {
            future::pending::<()>().await;
        }
    }

    /// Returns how long the store has been unavailable to this process, if it is: the last call
    /// failed, and the last answer is older than an idle process's polls explain.
    pub fn store_outage(&self) -> Option<Millis> {
        let view = self.view();
        let age = self.now().since(view.store_answers.last());
        (view.store_failing && age >= STORE_OUTAGE_AGE).then_some(age)
    }

    /// Records that the store is reached if a part of an answer has arrived since its last answer: a
    /// large answer may take seconds, and the store's other answers wait behind it.
    pub fn record_store_progress(&self) {
        let Some(age) = self.peers.part_age(self.settings.store) else {
            return;
        };
        let at = self.now() - age;
        let mut view = self.view();
        if at > view.store_answers.last() {
            view.store_answers.record(at);
            view.store_failing = false;
        }
    }

    /// Records whether a call to the store was answered; logs when the store is lost and when it is
    /// back.
    pub fn record_store_result<T>(&self, result: &Result<T, StoreError>) {
        let now = self.now();
        let mut view = self.view();
        let age = now.since(view.store_answers.last());
        match result {
            Ok(_) | Err(StoreError::Refused(_)) => {
                view.store_answers.record(now);
                view.store_failing = false;
                if std::mem::take(&mut view.store_loss_logged) {
                    emit(Event::StoreBack, format_args!("age={age}ms"));
                }
            }
            Err(error) => {
                view.store_failing = true;
                if !view.store_loss_logged && age >= MIN_OUTAGE {
                    view.store_loss_logged = true;
                    emit(Event::StoreLost, format_args!("age={age}ms error=\"{error}\""));
                }
            }
        }
    }
}
