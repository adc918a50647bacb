//! Sends the orders of an owner to its dispatchers, and matches the results.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use reachhead_jobs::{
    clock::Tick,
    ports::{WorkerAgent, WorkerTarget},
};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::{NodeName, PoolName},
    size::{ByteRate, Bytes, FencingToken, Millis},
};
use tokio::{sync::oneshot, time};

use super::{
    link::DispatchLink,
    messages::{DispatchBatch, OrderCall, OrderId, OrderResult, Outcome, SessionId},
    metrics::DispatchMetrics,
    session::RESULT_TIMEOUT,
    sessions::{Exclusion, Flush, Sessions},
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

/// Part of the link's bandwidth that a batch is assumed to get at least, as a divisor.
const MIN_LINK_SHARE: u64 = 4;

/// Sends the orders of an owner to its dispatchers.
pub struct OrderSender {
    pub(super) pool: PoolName,
    pub(super) token: FencingToken,
    pub(super) reply_to: SocketAddr,
    pub(super) direct: Arc<dyn WorkerAgent>,
    pub(super) link: Arc<dyn DispatchLink>,
    pub(super) clock: Clock,
    pub(super) bandwidth: Option<ByteRate>,
    pub(super) metrics: DispatchMetrics,
    pub(super) link_bytes: AtomicU64,
    pub(super) state: Mutex<State>,
}

/// The dispatchers, and whether their orders are being checked.
pub struct State {
    pub(super) sessions: Sessions,
    pub(super) is_checking: bool,
}

/// An order that a dispatcher has, or is about to get.
pub struct Pending {
    /// The receiver of the outcome, which is closed if the dispatcher gives none.
    pub outcome: oneshot::Receiver<Outcome>,
    /// The dispatcher.
    pub node: NodeName,
}

impl OrderSender {
    /// Counts bytes that no start budget covers.
    pub(super) fn charge(&self, size: usize) {
        self.link_bytes.fetch_add(size as u64, Ordering::Relaxed);
    }

    /// Returns the bytes that were counted since the last call.
    pub(super) fn take_link_bytes(&self) -> Bytes {
        Bytes(self.link_bytes.swap(0, Ordering::Relaxed))
    }

    /// Queues an order, if the worker has a dispatcher.
    pub(super) fn queue(
        self: &Arc<Self>,
        target: &WorkerTarget,
        call: impl FnOnce() -> OrderCall,
        payload: Option<&Arc<str>>,
    ) -> Option<Pending> {
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
                tokio::spawn(Arc::clone(self).flush(queued.node.clone(), queued.session));
            }
            Flush::Later => {
                let (sender, node) = (Arc::clone(self), queued.node.clone());
                tokio::spawn(async move {
                    time::sleep(BATCH_TIME).await;
                    if let Some(session) =
                        locked(&sender.state).sessions.session(&node, queued.session)
                    {
                        session.has_timer = false;
                    }
                    sender.flush(node, queued.session).await;
                });
            }
        }
        Some(Pending { outcome: queued.outcome, node: queued.node })
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
        self.charge(content.size.0 as usize);
        self.metrics.payload_bytes.inc_by(content.size.0);
        for order in &content.orders {
            self.metrics.record_order(order.call.kind());
        }
        self.metrics.batch_orders.observe(content.orders.len() as f64);
        let sent: Vec<OrderId> = content.orders.iter().map(|order| order.id).collect();
        let deadline = RESULT_TIMEOUT.duration() + content.transfer.duration();
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
                let sessions = &mut locked(&self.state).sessions;
                if !self.link.is_free() {
                    // Another dispatcher would need the payloads again, over the same link.
                    if let Some(session) = sessions.session(&node, id) {
                        session.drop_orders(&sent);
                    }
                    return;
                }
                let failed = sessions.fail(&node, id, error.to_string(), now);
                self.report(failed);
            }
        }
    }

    /// Takes results that a dispatcher sent.
    pub(super) fn receive(&self, session: SessionId, results: Vec<OrderResult>) {
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
            let excluded = state.sessions.drop_overdue(self.link.is_free(), now);
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

impl Drop for OrderSender {
    /// Removes the gauges of an owner that has ended.
    fn drop(&mut self) {
        for status in locked(&self.state).sessions.status(self.clock.now()) {
            self.metrics.remove_session(&self.pool, &status.node);
        }
    }
}
