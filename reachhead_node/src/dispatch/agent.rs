//! The owner's side of dispatch: calls to workers that go through dispatchers where there are any.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt};
use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    ports::{HoldOrder, StartOrder, WorkerAgent, WorkerError, WorkerReport, WorkerTarget},
    task::TaskId,
};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::{NodeName, PoolName, WorkerId},
    size::{ByteRate, Bytes, FencingToken, Millis, RunNumber, Strength},
};
use tokio::{sync::oneshot, time};

use super::{
    link::DispatchLink,
    messages::{DispatchBatch, OrderCall, OrderResult, Outcome, SessionId},
    metrics::DispatchMetrics,
    session::RESULT_TIMEOUT,
    sessions::{Candidate, Exclusion, Flush, SessionStatus, Sessions},
};
use crate::{clock::Clock, lock::locked};

/// How long orders for a dispatcher are collected.
pub const BATCH_TIME: Duration = Duration::from_millis(15);

/// Interval between two checks for orders without a result in time.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// How late a check may be before the time for all results is extended: while this process did not
/// run, their results could not be read.
const MAX_CHECK_DELAY: Millis = Millis(50);

/// Longest payload that is sent to dispatchers. A longer one would delay the whole batch beyond the
/// time for its answer.
const MAX_PAYLOAD: usize = 64 << 10;

/// Part of the link's bandwidth that payloads are assumed to get at least, as a divisor.
const MIN_LINK_SHARE: u64 = 4;

/// The workers of a pool for its owner: some are called by dispatchers, the others directly.
pub struct DispatchedWorkers(Arc<Shared>);

struct Shared {
    pool: PoolName,
    token: FencingToken,
    reply_to: SocketAddr,
    direct: Arc<dyn WorkerAgent>,
    link: Arc<dyn DispatchLink>,
    clock: Clock,
    bandwidth: Option<ByteRate>,
    metrics: DispatchMetrics,
    payload_bytes: AtomicU64,
    state: Mutex<State>,
}

struct State {
    sessions: Sessions,
    is_checking: bool,
}

impl DispatchedWorkers {
    /// Returns the workers of a pool, without dispatchers. `reply_to` is the owner's address for peers.
    pub fn new(
        pool: PoolName,
        token: FencingToken,
        reply_to: SocketAddr,
        direct: Arc<dyn WorkerAgent>,
        link: Arc<dyn DispatchLink>,
    ) -> Self {
        let sessions = Sessions::new(pool.clone());
        Self(Arc::new(Shared {
            pool,
            token,
            reply_to,
            direct,
            link,
            clock: Clock::new(),
            bandwidth: None,
            metrics: DispatchMetrics::new(),
            payload_bytes: AtomicU64::default(),
            state: Mutex::new(State { sessions, is_checking: false }),
        }))
    }

    /// Sets the bandwidth of the owner's link, over which payloads take their time.
    #[must_use]
    pub fn with_bandwidth(self, bandwidth: ByteRate) -> Self {
        self.with(|shared| shared.bandwidth = Some(bandwidth))
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

    /// Assigns the workers to dispatchers, for this demand; without one, the owner calls them itself.
    pub fn assign(
        &self,
        workers: &[WorkerId],
        candidates: Vec<Candidate>,
        demand: Option<Strength>,
    ) {
        let Shared { pool, metrics, clock, .. } = &*self.0;
        let now = clock.now();
        let mut state = locked(&self.0.state);
        let gone = match demand {
            Some(demand) => state.sessions.assign(workers, candidates, demand, now),
            None => state.sessions.clear(),
        };
        for node in gone {
            metrics.remove_session(pool, &node);
        }
        for status in state.sessions.status(now) {
            metrics.record_session(pool, &status.node, status.outstanding, status.oldest);
        }
    }

    /// Returns the dispatchers.
    pub fn status(&self) -> Vec<SessionStatus> {
        locked(&self.0.state).sessions.status(self.0.clock.now())
    }

    /// Returns the capacity of the dispatchers, if there are any.
    pub fn strength(&self) -> Option<Strength> {
        locked(&self.0.state).sessions.strength(self.0.clock.now())
    }

    /// Returns the bytes of payloads that were sent to dispatchers since the last call.
    pub fn take_payload_bytes(&self) -> Bytes {
        Bytes(self.0.payload_bytes.swap(0, Ordering::Relaxed))
    }

    /// Takes results that a dispatcher sent. Those of a session that has ended are ignored.
    pub fn receive(&self, session: SessionId, results: Vec<OrderResult>) {
        self.0.receive(session, results);
    }

    /// Waits for the outcome of an order; `None` means that the owner has to send it itself.
    async fn outcome(&self, outcome: oneshot::Receiver<Outcome>) -> Option<Outcome> {
        match outcome.await {
            Ok(Outcome::Expired) | Err(_) => {
                self.0.metrics.direct.inc();
                None
            }
            Ok(outcome) => Some(outcome),
        }
    }

    /// Waits for the outcome of an order whose answer is the worker's clock.
    async fn clock_outcome(
        &self,
        outcome: oneshot::Receiver<Outcome>,
    ) -> Option<Result<WorkerTime, WorkerError>> {
        match self.outcome(outcome).await? {
            Outcome::Clock(clock) => Some(Ok(clock)),
            Outcome::Failed(error) => Some(Err(error)),
            _ => None,
        }
    }
}

impl Shared {
    /// Queues an order, if the worker has a dispatcher.
    fn queue(
        self: &Arc<Self>,
        target: &WorkerTarget,
        call: impl FnOnce() -> OrderCall,
        payload: Option<&Arc<str>>,
    ) -> Option<oneshot::Receiver<Outcome>> {
        let is_long = payload.is_some_and(|payload| payload.len() > MAX_PAYLOAD);
        if is_long || target.token != self.token {
            return None;
        }
        let now = self.clock.now();
        let mut state = locked(&self.state);
        let queued = state.sessions.queue(&target.id, target.address, call, payload, now)?;
        if !state.is_checking {
            state.is_checking = true;
            tokio::spawn(Arc::clone(self).check(now));
        }
        drop(state);
        match queued.flush {
            Flush::Scheduled => {}
            Flush::Now => {
                tokio::spawn(Arc::clone(self).flush(queued.node, queued.session));
            }
            Flush::Later => {
                let shared = Arc::clone(self);
                tokio::spawn(async move {
                    time::sleep(BATCH_TIME).await;
                    if let Some(session) =
                        locked(&shared.state).sessions.session(&queued.node, queued.session)
                    {
                        session.has_timer = false;
                    }
                    shared.flush(queued.node, queued.session).await;
                });
            }
        }
        Some(queued.outcome)
    }

    /// Sends the queue of a session.
    async fn flush(self: Arc<Self>, node: NodeName, id: SessionId) {
        let transfer_time = |size: Bytes| {
            let share = self.bandwidth.map_or(u64::MAX, |rate| rate.0 / MIN_LINK_SHARE);
            Millis(1000 * size.0 / share.max(1))
        };
        let content = locked(&self.state).sessions.session(&node, id).and_then(|session| {
            let content = session.take_batch(transfer_time)?;
            Some((session.address, content))
        });
        let Some((address, content)) = content else {
            return;
        };
        self.payload_bytes.fetch_add(content.size.0, Ordering::Relaxed);
        self.metrics.payload_bytes.inc_by(content.size.0);
        for order in &content.orders {
            self.metrics.record_order(order.call.kind());
        }
        self.metrics.batch_orders.observe(content.orders.len() as f64);
        let deadline = RESULT_TIMEOUT.duration() + transfer_time(content.size).duration();
        let batch = DispatchBatch {
            pool: self.pool.clone(),
            token: self.token,
            session: id,
            reply_to: self.reply_to,
            sent_at: Millis(self.clock.now().0),
            payloads: content.payloads,
            orders: content.orders,
        };
        match self.link.send(address, batch, deadline).await {
            Ok(results) => self.receive(id, results),
            Err(error) => {
                let now = self.clock.now();
                let failed = locked(&self.state).sessions.fail(&node, id, error.to_string(), now);
                self.report(failed);
            }
        }
    }

    fn receive(&self, session: SessionId, results: Vec<OrderResult>) {
        let now = self.clock.now();
        let excluded = locked(&self.state).sessions.receive(session, results, now);
        self.report(excluded);
    }

    /// Logs exclusions of dispatchers.
    fn report(&self, excluded: impl IntoIterator<Item = Exclusion>) {
        let pool = &self.pool;
        for Exclusion { node, reason, time, orders } in excluded {
            self.metrics.remove_session(pool, &node);
            emit(
                Event::DispatcherExcluded,
                format_args!(
                    "pool={pool} dispatcher={node} orders={orders} time={time}ms why=\"{reason}\""
                ),
            );
        }
    }

    /// Drops orders without a result in time, for as long as there are orders without a result.
    async fn check(self: Arc<Self>, begun: Tick) {
        let mut last = begun;
        loop {
            time::sleep(CHECK_PERIOD).await;
            let now = self.clock.now();
            let period = Millis(CHECK_PERIOD.as_millis() as u64);
            let delay = Millis(now.since(last).0.saturating_sub(period.0));
            last = now;
            let mut state = locked(&self.state);
            if delay > MAX_CHECK_DELAY {
                state.sessions.extend(delay);
            }
            let excluded = state.sessions.drop_overdue(now);
            let is_done = !state.sessions.is_waiting();
            state.is_checking = !is_done;
            drop(state);
            self.report(excluded);
            if is_done {
                return;
            }
        }
    }
}

impl WorkerAgent for DispatchedWorkers {
    fn start(
        &self,
        target: WorkerTarget,
        order: StartOrder,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        let queue = |order: &StartOrder, target: &WorkerTarget| {
            self.0.queue(target, || OrderCall::start(order), Some(&order.payload))
        };
        let Some(outcome) = queue(&order, &target) else {
            return self.0.direct.start(target, order);
        };
        async move {
            let mut outcome = self.outcome(outcome).await;
            if outcome == Some(Outcome::NoPayload) {
                // It is sent again with the payload, which the session now counts as not sent.
                outcome = match queue(&order, &target) {
                    Some(repeated) => self.outcome(repeated).await,
                    None => None,
                };
            }
            match outcome {
                Some(Outcome::Clock(clock)) => Ok(clock),
                Some(Outcome::Failed(error)) => Err(error),
                _ => self.0.direct.start(target, order).await,
            }
        }
        .boxed()
    }

    fn stop(
        &self,
        target: WorkerTarget,
        task: TaskId,
        run: RunNumber,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        let Some(outcome) = self.0.queue(&target, || OrderCall::Stop(task, run), None) else {
            return self.0.direct.stop(target, task, run);
        };
        async move {
            match self.clock_outcome(outcome).await {
                Some(result) => result,
                None => self.0.direct.stop(target, task, run).await,
            }
        }
        .boxed()
    }

    fn hold(
        &self,
        target: WorkerTarget,
        order: HoldOrder,
    ) -> BoxFuture<'_, Result<WorkerReport, WorkerError>> {
        let sent = self.0.clock.now();
        let Some(outcome) = self.0.queue(&target, || OrderCall::hold(order), None) else {
            return self.0.direct.hold(target, order);
        };
        async move {
            match self.outcome(outcome).await {
                Some(Outcome::Report(report)) => Ok(report),
                Some(Outcome::Failed(error)) => Err(error),
                _ => {
                    // The poll ends when it would have, so that a dead worker is found as soon.
                    let passed = self.0.clock.now().since(sent);
                    let wait = Millis(order.wait.0.saturating_sub(passed.0));
                    self.0.direct.hold(target, HoldOrder { wait, ..order }).await
                }
            }
        }
        .boxed()
    }

    fn pace(
        &self,
        target: WorkerTarget,
        task: TaskId,
        run: RunNumber,
        percent: u32,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        let Some(outcome) = self.0.queue(&target, || OrderCall::Pace(task, run, percent), None)
        else {
            return self.0.direct.pace(target, task, run, percent);
        };
        async move {
            match self.clock_outcome(outcome).await {
                Some(result) => result,
                None => self.0.direct.pace(target, task, run, percent).await,
            }
        }
        .boxed()
    }
}
