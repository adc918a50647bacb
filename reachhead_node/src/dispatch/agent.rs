//! The owner's side of dispatch: calls to workers that go through dispatchers where there are any.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicU64},
};

use futures::future::{BoxFuture, FutureExt};
use reachhead_jobs::{
    clock::WorkerTime,
    ports::{HoldOrder, StartOrder, WorkerAgent, WorkerError, WorkerReport, WorkerTarget},
    task::TaskId,
};
use reachhead_types::{
    id::{NodeName, PoolName, WorkerId},
    size::{ByteRate, Bytes, FencingToken, Millis, RunNumber, Strength},
};

use super::{
    link::DispatchLink,
    messages::{OrderCall, OrderResult, Outcome, SessionId},
    metrics::DispatchMetrics,
    sender::{OrderSender, Pending, State},
    sessions::{Candidate, SessionStatus, Sessions},
};
use crate::{clock::Clock, lock::locked};

/// The workers of a pool for its owner: some are called by dispatchers, the others directly.
pub struct DispatchedWorkers(Arc<OrderSender>);

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
        Self(Arc::new(OrderSender {
            pool,
            token,
            reply_to,
            direct,
            link,
            clock: Clock::new(),
            bandwidth: None,
            metrics: DispatchMetrics::new(),
            link_bytes: AtomicU64::default(),
            state: Mutex::new(State { sessions, is_checking: false }),
        }))
    }

    /// Sets the bandwidth of the owner's link, over which payloads take their time.
    #[must_use]
    pub fn with_bandwidth(self, bandwidth: ByteRate) -> Self {
        self.with(|shared| shared.bandwidth = Some(bandwidth))
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

    fn with(mut self, change: impl FnOnce(&mut OrderSender)) -> Self {
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
        let OrderSender { pool, metrics, clock, .. } = &*self.0;
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

    /// Returns the bytes that were sent since the last call and were not part of a start budget:
    /// payloads to dispatchers, and start orders for which a dispatcher gave no result.
    pub fn take_link_bytes(&self) -> Bytes {
        self.0.take_link_bytes()
    }

    /// Takes results that a dispatcher sent. Those of a session that has ended are ignored.
    pub fn receive(&self, session: SessionId, results: Vec<OrderResult>) {
        self.0.receive(session, results);
    }

    /// Waits for the outcome of an order.
    async fn outcome(&self, pending: Pending) -> Result<Outcome, NoOutcome> {
        let missing = match pending.outcome.await {
            Ok(Outcome::Expired) => NoOutcome::Unsent,
            Ok(outcome) => return Ok(outcome),
            Err(_) => NoOutcome::Unknown,
        };
        self.0.metrics.unanswered.inc();
        Err(missing)
    }

    /// Waits for the outcome of an order whose answer is the worker's clock.
    async fn clock_outcome(&self, pending: Pending) -> Option<Result<WorkerTime, WorkerError>> {
        match self.outcome(pending).await.ok()? {
            Outcome::Clock(clock) => Some(Ok(clock)),
            Outcome::Failed(error) => Some(Err(error)),
            _ => None,
        }
    }

    /// Polls a worker. A poll without a result of its dispatcher is repeated directly.
    pub async fn poll(&self, target: WorkerTarget, order: HoldOrder) -> PollOutcome {
        let sent = self.0.clock.now();
        let Some(pending) = self.0.queue(&target, || OrderCall::hold(order), None) else {
            let result = self.0.direct.hold(target, order).await;
            return PollOutcome { result, is_repeated: false };
        };
        let missing = match self.outcome(pending).await {
            Ok(Outcome::Report(report)) => {
                return PollOutcome { result: Ok(report), is_repeated: false };
            }
            Ok(Outcome::Failed(error)) => {
                return PollOutcome { result: Err(error), is_repeated: false };
            }
            Ok(_) => NoOutcome::Unsent,
            Err(missing) => missing,
        };
        // The poll ends when it would have, so that a dead worker is found as soon.
        let passed = self.0.clock.now().since(sent);
        let wait = Millis(order.wait.0.saturating_sub(passed.0));
        let result = self.0.direct.hold(target, HoldOrder { wait, ..order }).await;
        PollOutcome { result, is_repeated: missing == NoOutcome::Unknown }
    }

    /// Sends a start order to the worker, which the dispatcher has not sent.
    async fn start_directly(
        &self,
        target: WorkerTarget,
        order: StartOrder,
        dispatcher: &NodeName,
    ) -> Result<WorkerTime, WorkerError> {
        log::info!(
            "pool={} task={} run={} worker={} dispatcher={dispatcher} not sent, sent directly",
            self.0.pool,
            order.task,
            order.run,
            target.id
        );
        self.0.charge(order.payload.len());
        self.0.direct.start(target, order).await
    }
}

/// How a poll ended.
#[derive(Debug, PartialEq, Eq)]
pub struct PollOutcome {
    /// The worker's report, or why there is none.
    pub result: Result<WorkerReport, WorkerError>,
    /// The owner has repeated the poll, since a dispatcher gave no result of it. That one may have sent
    /// it, or still may, whatever came of the repetition.
    pub is_repeated: bool,
}

/// Why an order that was given to a dispatcher has no outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoOutcome {
    /// The dispatcher did not send it.
    Unsent,
    /// The dispatcher gave no result, so it may have sent the order, or still may.
    Unknown,
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
        let Some(pending) = queue(&order, &target) else {
            return self.0.direct.start(target, order);
        };
        async move {
            let node = pending.node.clone();
            let mut outcome = self.outcome(pending).await;
            if outcome == Ok(Outcome::NoPayload) {
                // It is sent again with the payload, which the session now counts as not sent.
                outcome = match queue(&order, &target) {
                    Some(repeated) => self.outcome(repeated).await,
                    None => Err(NoOutcome::Unsent),
                };
            }
            match outcome {
                Ok(Outcome::Clock(clock)) => Ok(clock),
                Ok(Outcome::Failed(error)) => Err(error),
                // The dispatcher may have sent it, or still may: also to the worker's next incarnation,
                // which has seen no stop of the run. The pool guards against that once it knows, and
                // repeats the order.
                Err(NoOutcome::Unknown) => {
                    log::info!(
                        "pool={} task={} run={} worker={} dispatcher={node} no result, to be repeated",
                        self.0.pool,
                        order.task,
                        order.run,
                        target.id
                    );
                    Err(WorkerError::Lost(format!("no result of dispatcher {node}")))
                }
                _ => self.start_directly(target, order, &node).await,
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
        let Some(pending) = self.0.queue(&target, || OrderCall::Stop(task, run), None) else {
            return self.0.direct.stop(target, task, run);
        };
        async move {
            match self.clock_outcome(pending).await {
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
        async move { self.poll(target, order).await.result }.boxed()
    }

    fn pace(
        &self,
        target: WorkerTarget,
        task: TaskId,
        run: RunNumber,
        percent: u32,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        let Some(pending) = self.0.queue(&target, || OrderCall::Pace(task, run, percent), None)
        else {
            return self.0.direct.pace(target, task, run, percent);
        };
        async move {
            match self.clock_outcome(pending).await {
                Some(result) => result,
                None => self.0.direct.pace(target, task, run, percent).await,
            }
        }
        .boxed()
    }
}
