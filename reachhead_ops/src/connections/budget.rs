//! The ledger of a group of listeners, shared by their connections, with its metrics and log.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use reachhead_types::{
    error::ErrorKind,
    size::{Bytes, ConnectionId, Connections},
};
use tokio::{
    sync::{Notify, Semaphore},
    time::Instant,
};

use super::ledger::{BudgetLimits, Growth, Ledger, Opening, Phase};
use crate::event::{Event, emit};

/// Minimum time between two log lines of a budget, so that a flood of refusals does not flood the log.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Pipelined requests that are handled at a time.
const MAX_PIPELINED: usize = 2;

/// Refused connections that are read to their end at a time.
const MAX_LINGERING: usize = 32;

/// Limits of listeners that no settings bound.
const DEFAULT_LIMITS: BudgetLimits = BudgetLimits::new(Connections(16_384), Bytes(64 << 20));

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    listener: &'static str,
    cause: &'static str,
}

/// Counters of refused requests and closed connections.
#[derive(Debug, Clone, Default)]
pub struct ConnectionMetrics {
    refusals: Family<RefusalLabels, Counter>,
}

impl ConnectionMetrics {
    /// Returns counters that are registered with `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "reachhead_connections_refused",
            "Requests that were refused and connections that were closed by the limits of their listener",
            metrics.refusals.clone(),
        );
        metrics
    }
}

/// Refusals since the last log line.
#[derive(Debug, Default)]
struct RefusalLog {
    count: u64,
    written: Option<Instant>,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Wakes the task of each connection when it is given up.
    signals: HashMap<ConnectionId, Arc<Notify>>,
    log: RefusalLog,
}

/// Limits on the connections of a group of listeners.
#[derive(Debug)]
pub struct Budget {
    /// Name of the group for metrics and logs.
    name: &'static str,
    state: Mutex<State>,
    /// Notified when memory is released or a connection ends.
    released: Notify,
    /// Permits of pipelined requests.
    pub(crate) pipelined: Semaphore,
    /// Permits of refused connections that are read to their end.
    pub(crate) lingering: Semaphore,
    metrics: ConnectionMetrics,
}

/// A connection that was entered in the ledger.
#[derive(Debug)]
pub struct Opened {
    pub(crate) id: ConnectionId,
    pub(crate) signal: Arc<Notify>,
}

impl Budget {
    /// Returns a budget for the listeners that `name` stands for.
    pub fn new(name: &'static str, limits: BudgetLimits) -> Self {
        Self {
            name,
            state: Mutex::new(State {
                ledger: Ledger::new(limits),
                signals: HashMap::new(),
                log: RefusalLog::default(),
            }),
            released: Notify::new(),
            pipelined: Semaphore::new(MAX_PIPELINED),
            lingering: Semaphore::new(MAX_LINGERING),
            metrics: ConnectionMetrics::default(),
        }
    }

    /// Returns a budget with limits for listeners that no settings bound.
    pub fn with_default_limits(name: &'static str) -> Self {
        Self::new(name, DEFAULT_LIMITS)
    }

    /// Counts refusals in `metrics`.
    #[must_use]
    pub fn with_metrics(self, metrics: &ConnectionMetrics) -> Self {
        Self { metrics: metrics.clone(), ..self }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections and the memory that they hold.
    pub fn usage(&self) -> (usize, Bytes) {
        let state = self.state();
        (state.ledger.len(), state.ledger.held())
    }

    /// Enters a connection in the ledger once there is room, or returns `None` if there will be none.
    pub async fn open(&self) -> Option<Opened> {
        loop {
            let released = self.released.notified();
            {
                let mut state = self.state();
                match state.ledger.open() {
                    Opening::Opened(id) => {
                        let signal = Arc::new(Notify::new());
                        state.signals.insert(id, Arc::clone(&signal));
                        return Some(Opened { id, signal });
                    }
                    Opening::GiveUp(victim) => state.signal(victim),
                    Opening::Wait => {}
                    Opening::Refused => return None,
                }
            }
            released.await;
        }
    }

    /// Takes memory for a connection once there is room, or returns whether there will be none.
    pub(crate) async fn grow(&self, id: ConnectionId, bytes: u64) -> Result<(), ErrorKind> {
        loop {
            let released = self.released.notified();
            {
                let mut state = self.state();
                match state.ledger.grow(id, bytes) {
                    Growth::Granted => return Ok(()),
                    Growth::Wait(victims) => {
                        for victim in victims {
                            state.signal(victim);
                        }
                    }
                    Growth::Refused => return Err(ErrorKind::Overloaded),
                }
            }
            released.await;
        }
    }

    /// Counts the memory of an answer that is not taken.
    pub(crate) fn charge(&self, id: ConnectionId, bytes: u64) {
        let mut state = self.state();
        for victim in state.ledger.charge(id, bytes) {
            state.signal(victim);
        }
    }

    pub(crate) fn enter(&self, id: ConnectionId, phase: Phase) {
        self.state().ledger.enter(id, phase);
    }

    pub(crate) fn touch(&self, id: ConnectionId) {
        self.state().ledger.touch(id);
    }

    pub(crate) fn is_given_up(&self, id: ConnectionId) -> bool {
        self.state().ledger.is_given_up(id)
    }

    /// Gives back the memory of a connection, and moves it to another phase.
    pub(crate) fn release(&self, id: ConnectionId, phase: Phase) {
        let mut state = self.state();
        state.ledger.release(id);
        state.ledger.enter(id, phase);
        drop(state);
        self.released.notify_waiters();
    }

    pub(crate) fn close(&self, id: ConnectionId) {
        let mut state = self.state();
        state.ledger.close(id);
        state.signals.remove(&id);
        drop(state);
        self.released.notify_waiters();
    }

    /// Counts a refusal or a closed connection, and logs at most one line a second.
    pub fn record_refusal(&self, cause: &'static str) {
        let labels = RefusalLabels { listener: self.name, cause };
        self.metrics.refusals.get_or_create(&labels).inc();
        let now = Instant::now();
        let mut state = self.state();
        state.log.count += 1;
        if state.log.written.is_some_and(|written| now - written < LOG_PERIOD) {
            return;
        }
        let count = std::mem::take(&mut state.log.count);
        state.log.written = Some(now);
        let (open, held) = (state.ledger.len(), state.ledger.held());
        drop(state);
        emit(
            Event::ConnectionRefused,
            format_args!(
                "listener={} cause={cause} refusals={count} connections={open} memory={held}",
                self.name
            ),
        );
    }
}

impl State {
    fn signal(&self, id: ConnectionId) {
        if let Some(signal) = self.signals.get(&id) {
            signal.notify_one();
        }
    }
}
