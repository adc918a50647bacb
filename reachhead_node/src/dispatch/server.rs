//! The dispatcher's side of dispatch: carries out the orders of owners and collects the results.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use reachhead_jobs::{
    clock::Tick,
    dispatch::order_age::{MAX_ORDER_AGE, OrderAge},
    ports::{HoldOrder, StartOrder, WorkerAgent, WorkerTarget},
};
use reachhead_types::{
    id::PoolName,
    size::{FencingToken, Millis},
};
use tokio::time;

use super::{
    link::DispatchLink,
    messages::{
        DispatchBatch, JobPayload, Order, OrderCall, OrderResult, Outcome, ResultBatch, SessionId,
    },
    metrics::DispatchMetrics,
    payloads::PayloadCache,
    sender::BATCH_TIME,
    session::RESULT_TIMEOUT,
};
use crate::{clock::Clock, lock::locked};

/// Time without a batch after which a session is dropped.
const SESSION_TIMEOUT: Millis = Millis(10_000);

/// Interval between two checks for sessions and payloads that are too old.
const PURGE_PERIOD: Duration = Duration::from_secs(1);

/// Most orders without a result, of all sessions. The owner sends others itself.
const MAX_OUTSTANDING: usize = 4000;

/// Results that are sent without further wait.
const MAX_BATCH_RESULTS: usize = 64;

/// Most results that are kept while the owner can't be reached; it sends the orders itself by then.
const MAX_KEPT_RESULTS: usize = 1000;

/// The orders of owners that this process carries out.
pub struct DispatchServer(Arc<Shared>);

struct Shared {
    workers: Arc<dyn WorkerAgent>,
    link: Arc<dyn DispatchLink>,
    clock: Clock,
    metrics: DispatchMetrics,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    sessions: HashMap<SessionId, ServedSession>,
    payloads: PayloadCache,
    outstanding: usize,
    is_purging: bool,
}

/// The orders of one owner.
struct ServedSession {
    pool: PoolName,
    reply_to: SocketAddr,
    age: OrderAge,
    ready: Vec<OrderResult>,
    outstanding: usize,
    /// A flush of the results is scheduled.
    has_timer: bool,
    heard_at: Tick,
}

/// A session that this process serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedStatus {
    /// The pool.
    pub pool: PoolName,
    /// The owner's address for peers.
    pub owner: SocketAddr,
    /// Orders without a result.
    pub outstanding: usize,
    /// Time since the last batch.
    pub age: Millis,
}

/// Orders of a batch that are being carried out. Dropping it releases what is left, also if a call
/// panics.
struct RunningBatch {
    shared: Arc<Shared>,
    session: SessionId,
    left: usize,
}

impl DispatchServer {
    /// Returns a dispatcher that has no orders yet.
    pub fn new(workers: Arc<dyn WorkerAgent>, link: Arc<dyn DispatchLink>) -> Self {
        Self(Arc::new(Shared {
            workers,
            link,
            clock: Clock::new(),
            metrics: DispatchMetrics::new(),
            state: Mutex::default(),
        }))
    }

    /// Sets the clock.
    #[must_use]
    pub fn with_clock(self, clock: Clock) -> Self {
        self.with(|shared| shared.clock = clock)
    }

    /// Sets the metrics.
    #[must_use]
    pub fn with_metrics(self, metrics: DispatchMetrics) -> Self {
        self.with(|shared| shared.metrics = metrics)
    }

    fn with(mut self, change: impl FnOnce(&mut Shared)) -> Self {
        if let Some(shared) = Arc::get_mut(&mut self.0) {
            change(shared);
        }
        self
    }

    /// Takes a batch of orders and returns the results that are ready.
    pub fn handle(&self, batch: DispatchBatch) -> Vec<OrderResult> {
        let DispatchBatch { pool, token, session: id, reply_to, sent_at, payloads, orders } = batch;
        let now = self.0.clock.now();
        let mut guard = locked(&self.0.state);
        let state = &mut *guard;
        for JobPayload(job, payload) in payloads {
            state.payloads.insert(id, job, payload, now);
        }
        let session = state.sessions.entry(id).or_insert_with(|| ServedSession {
            pool,
            reply_to,
            age: OrderAge::new(),
            ready: Vec::new(),
            outstanding: 0,
            has_timer: false,
            heard_at: now,
        });
        session.reply_to = reply_to;
        session.heard_at = now;
        let age = session.age.age(sent_at, now);
        let mut ready = std::mem::take(&mut session.ready);
        let mut accepted = Vec::with_capacity(orders.len());
        for order in orders {
            if age > MAX_ORDER_AGE || state.outstanding + accepted.len() >= MAX_OUTSTANDING {
                self.0.metrics.dropped.inc();
                ready.push(OrderResult(order.id, Outcome::Expired));
                continue;
            }
            let payload = match order.call.job() {
                Some(job) => match state.payloads.get(id, job) {
                    None => {
                        ready.push(OrderResult(order.id, Outcome::NoPayload));
                        continue;
                    }
                    payload => payload,
                },
                None => None,
            };
            accepted.push((order, payload));
        }
        session.outstanding += accepted.len();
        state.outstanding += accepted.len();
        let starts_purge = !std::mem::replace(&mut state.is_purging, true);
        drop(guard);
        if starts_purge {
            tokio::spawn(Arc::clone(&self.0).purge());
        }
        if !accepted.is_empty() {
            let (shared, left) = (Arc::clone(&self.0), accepted.len());
            let running = RunningBatch { shared, session: id, left };
            tokio::spawn(running.run(token, accepted, now - age));
        }
        ready
    }

    /// Drops all payloads.
    #[cfg(test)]
    pub fn forget_payloads(&self) {
        locked(&self.0.state).payloads = PayloadCache::default();
    }

    /// Returns the sessions that this process serves.
    pub fn status(&self) -> Vec<ServedStatus> {
        let now = self.0.clock.now();
        let state = locked(&self.0.state);
        let status = |session: &ServedSession| ServedStatus {
            pool: session.pool.clone(),
            owner: session.reply_to,
            outstanding: session.outstanding,
            age: now.since(session.heard_at),
        };
        state.sessions.values().map(status).collect()
    }
}

impl RunningBatch {
    /// Carries out orders that were sent at `sent`, all at the same time: long polls must not delay
    /// others.
    async fn run(
        mut self,
        token: FencingToken,
        orders: Vec<(Order, Option<Arc<str>>)>,
        sent: Tick,
    ) {
        let shared = Arc::clone(&self.shared);
        let call = |(order, payload)| shared.execute(token, order, payload, sent);
        let mut calls: FuturesUnordered<_> = orders.into_iter().map(call).collect();
        while let Some(result) = calls.next().await {
            self.left -= 1;
            shared.finish(self.session, result);
        }
    }
}

impl Drop for RunningBatch {
    fn drop(&mut self) {
        if self.left > 0 {
            locked(&self.shared.state).release(self.session, self.left);
        }
    }
}

impl State {
    /// Records that orders have a result, or will never have one.
    fn release(&mut self, session: SessionId, orders: usize) -> Option<&mut ServedSession> {
        self.outstanding -= orders;
        let session = self.sessions.get_mut(&session)?;
        // The owner may have been silent for so long that this is another session of the same id.
        session.outstanding = session.outstanding.saturating_sub(orders);
        Some(session)
    }
}

impl Shared {
    async fn execute(
        &self,
        token: FencingToken,
        order: Order,
        payload: Option<Arc<str>>,
        sent: Tick,
    ) -> OrderResult {
        let Order { id, worker, address, call } = order;
        // The process may have been suspended since the order arrived.
        if self.clock.now().since(sent) > MAX_ORDER_AGE {
            self.metrics.dropped.inc();
            return OrderResult(id, Outcome::Expired);
        }
        let target = WorkerTarget { id: worker, address, token };
        let outcome = match call {
            OrderCall::Start(task, run, deadline, checkpoint, ticket) => match payload {
                Some(payload) => {
                    let order = StartOrder { task, run, payload, deadline, checkpoint, ticket };
                    self.workers.start(target, order).await.into()
                }
                None => Outcome::NoPayload,
            },
            OrderCall::Stop(task, run) => self.workers.stop(target, task, run).await.into(),
            OrderCall::Pace(task, run, percent) => {
                self.workers.pace(target, task, run, percent).await.into()
            }
            OrderCall::Hold(deadline, acknowledged, wait) => {
                let order = HoldOrder { deadline, acknowledged, wait };
                self.workers.hold(target, order).await.into()
            }
        };
        OrderResult(id, outcome)
    }

    /// Collects a result; the first one schedules the message that carries it.
    fn finish(self: &Arc<Self>, id: SessionId, result: OrderResult) {
        let mut state = locked(&self.state);
        let Some(session) = state.release(id, 1) else {
            return;
        };
        session.ready.push(result);
        let is_full = session.ready.len() >= MAX_BATCH_RESULTS;
        if session.has_timer && !is_full {
            return;
        }
        let shared = Arc::clone(self);
        if is_full {
            let batch = session.take_results(id);
            drop(state);
            tokio::spawn(async move { shared.send_results(batch).await });
            return;
        }
        session.has_timer = true;
        drop(state);
        tokio::spawn(async move {
            time::sleep(BATCH_TIME).await;
            let batch = locked(&shared.state).sessions.get_mut(&id).and_then(|session| {
                session.has_timer = false;
                session.take_results(id)
            });
            shared.send_results(batch).await;
        });
    }

    /// Sends results to the owner. If it can't be reached, they are returned with the answer to its
    /// next batch.
    async fn send_results(&self, batch: Option<(SocketAddr, ResultBatch)>) {
        let Some((address, batch)) = batch else {
            return;
        };
        let batch = Arc::new(batch);
        let deadline = RESULT_TIMEOUT.duration();
        let sent = self.link.send_results(address, Arc::clone(&batch), deadline).await;
        if let Err(error) = sent {
            log::debug!("pool={} results can't be sent to {address}: {error}", batch.pool);
            let mut state = locked(&self.state);
            if let Some(session) = state.sessions.get_mut(&batch.session) {
                session.keep(Arc::unwrap_or_clone(batch).results);
            }
        }
    }

    /// Drops sessions whose owner is silent, and old payloads, for as long as there are sessions.
    async fn purge(self: Arc<Self>) {
        loop {
            time::sleep(PURGE_PERIOD).await;
            let now = self.clock.now();
            let mut state = locked(&self.state);
            state.sessions.retain(|_, session| now.since(session.heard_at) < SESSION_TIMEOUT);
            state.payloads.purge(now);
            if state.sessions.is_empty() {
                state.payloads = PayloadCache::default();
                state.is_purging = false;
                return;
            }
        }
    }
}

impl ServedSession {
    /// Takes the results that are ready, if there are any, and the address for them.
    fn take_results(&mut self, session: SessionId) -> Option<(SocketAddr, ResultBatch)> {
        if self.ready.is_empty() {
            return None;
        }
        let results = std::mem::take(&mut self.ready);
        Some((self.reply_to, ResultBatch { pool: self.pool.clone(), session, results }))
    }

    /// Keeps results that could not be sent for the next batch of the owner.
    fn keep(&mut self, results: Vec<OrderResult>) {
        if self.ready.len() + results.len() <= MAX_KEPT_RESULTS {
            self.ready.extend(results);
        }
    }
}
