//! What the tasks of a process share.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use reachhead_jobs::{
    clock::Tick,
    ports::{Advisor, HostApi, RowFormat, TableFeed, WorkerAgent},
};
use reachhead_ops::event::{Event, emit};
use reachhead_platform::settings::Settings;
use reachhead_store::{Store, StoreError};
use reachhead_types::{
    id::PoolName,
    size::{Millis, Revision, Strength},
};
use tokio::sync::{Notify, watch};

use crate::{
    admission::Door, clock::Clock, lock::locked, metrics::Metrics, owner::OwnerHandle,
    peer::PeerClient, registry::Registry, relay::Relay, submit::Submitter, view::View,
};

/// How long the store must have been silent to be called lost: longer than a single failed call, and than
/// the polls of a process without pools are apart.
const LOST_AGE: Millis = Millis(1700);

/// How long the store must have been silent, with a failed call, for it to be taken for away: callers are refused at once
/// then and not held up. A single failed call after a poll's pause is no outage yet.
const AWAY_AGE: Millis = Millis(1200);

/// The services of the platform, as the product needs them.
pub struct Services {
    /// The store, behind a breaker.
    pub store: Arc<dyn Store>,
    /// The store's tables to follow.
    pub feed: Arc<dyn TableFeed>,
    /// The agents on workers.
    pub workers: Arc<dyn WorkerAgent>,
    /// The platform's hosts, if it has them.
    pub machines: Option<Arc<dyn HostApi>>,
    /// Who knows which workers may run a step, if anybody decides that.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// How operators and workers write their rows.
    pub row_format: Arc<dyn RowFormat>,
}

/// Time of a whole core that the start of a task takes with its reports, in seconds: the
/// processor time of all owners over their starts.
const START_CORES: f64 = 0.000_15;

/// Bits on the link for it: the order with its specification, the answer, its share of reports.
const START_BITS: f64 = 8_000.0;

/// Bits in a second in a Mbit/s.
const MEGABIT: f64 = 1_000_000.0;

/// A process of the system.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// Its clocks.
    pub clock: Clock,
    /// The platform.
    pub services: Services,
    /// Its peers.
    pub peers: PeerClient,
    /// What lets callers in.
    pub door: Door,
    /// What stores accepted jobs.
    pub submitter: Submitter,
    /// What passes tables on.
    pub relay: Relay,
    /// What passes registered workers on.
    pub registry: Registry,
    /// What it counts.
    pub metrics: Metrics,
    /// True once it was asked to end.
    pub stopping: watch::Receiver<bool>,
    /// Told when this process takes charge of something.
    pub duty_taken: Notify,
    /// Told when the registered workers change.
    pub workers_changed: watch::Sender<u64>,
    view: Mutex<View>,
    owned: Mutex<BTreeMap<PoolName, OwnerHandle>>,
    loading: Mutex<BTreeMap<PoolName, Revision>>,
}

impl Node {
    /// Returns a process that knows nothing yet.
    pub fn new(
        settings: Settings,
        services: Services,
        peers: PeerClient,
        metrics: Metrics,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        Self {
            settings,
            clock: Clock::new(),
            services,
            peers,
            door: Door::new(),
            submitter: Submitter::new(),
            relay: Relay::new(),
            registry: Registry::new(),
            metrics,
            stopping,
            duty_taken: Notify::new(),
            workers_changed: watch::Sender::new(0),
            view: Mutex::new(View::default()),
            owned: Mutex::new(BTreeMap::new()),
            loading: Mutex::new(BTreeMap::new()),
        }
    }

    /// Returns the time on the steady clock.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Returns how many starts of tasks a second the process bears.
    pub fn strength(&self) -> Strength {
        let by_cores = self.settings.cores / START_CORES;
        let by_link = self.settings.link_mbps * MEGABIT / START_BITS;
        Strength(by_cores.min(by_link) as u32)
    }

    /// Returns what is believed of the rest of the system. Nobody waits while holding it.
    pub fn view(&self) -> MutexGuard<'_, View> {
        locked(&self.view)
    }

    /// Returns the pools that this process is in charge of.
    pub fn owned(&self) -> MutexGuard<'_, BTreeMap<PoolName, OwnerHandle>> {
        locked(&self.owned)
    }

    /// Returns the pools that this process has taken and whose rows it is reading; peers must not take
    /// it for one that does not own them.
    pub fn loading(&self) -> MutexGuard<'_, BTreeMap<PoolName, Revision>> {
        locked(&self.loading)
    }

    /// Returns the owner of a pool, if that is this process.
    pub fn local(&self, pool: &PoolName) -> Option<OwnerHandle> {
        self.owned().get(pool).cloned()
    }

    /// Logs that nobody seems to be in charge of a pool, and by what.
    pub fn note_vacant(&self, pool: &PoolName, now: Tick) {
        let view = self.view();
        let Some(lease) = view.leases.get(pool) else {
            return;
        };
        let Some(owner) = &lease.record.owner else {
            return;
        };
        let heard = view.heard.get(owner);
        let silent = heard.map(|heard| now.since(heard.at));
        emit(
            Event::OwnerSilent,
            format_args!(
                "pool={pool} owner={owner} token={} silent={silent:?} store_age={:?}",
                lease.revision,
                heard.map(|heard| heard.pong.store_age)
            ),
        );
    }

    /// Tells whether this process owns nothing and leaves it to others to watch the owners.
    pub fn is_idle(&self) -> bool {
        !self.owns_any() && !self.view().watches(&self.settings.node, self.now())
    }

    /// Tells whether this process is in charge of anything, or is taking it.
    pub fn owns_any(&self) -> bool {
        !self.owned().is_empty() || !self.loading().is_empty()
    }

    /// Tells whether the process was asked to end.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns for how long the store has been away for this process, if it is: its last call failed, and the answer
    /// before is older than an idle process's polls explain.
    pub fn outage(&self) -> Option<Millis> {
        let view = self.view();
        let age = self.now().since(view.store_seen);
        (view.store_failing && age >= AWAY_AGE).then_some(age)
    }

    /// Notes whether the store answered; losing and regaining it is logged.
    pub fn note_store<T>(&self, result: &Result<T, StoreError>) {
        let now = self.now();
        let mut view = self.view();
        let age = now.since(view.store_seen);
        match result {
            Ok(_) | Err(StoreError::Refused(_)) => {
                view.store_seen = now;
                view.store_failing = false;
                if age >= LOST_AGE {
                    view.store_since = now;
                }
                if std::mem::take(&mut view.store_lost) {
                    emit(Event::StoreBack, format_args!("age={age}ms"));
                }
            }
            Err(error) => {
                view.store_failing = true;
                if !view.store_lost && age >= LOST_AGE {
                    view.store_lost = true;
                    emit(Event::StoreLost, format_args!("age={age}ms error=\"{error}\""));
                }
            }
        }
    }
}
