//! The orders that an owner has given to one dispatcher.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use reachhead_jobs::clock::Tick;
use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Bytes, Millis},
};
use tokio::sync::oneshot;

use super::messages::{JobPayload, Order, OrderCall, OrderId, OrderResult, Outcome, SessionId};

/// Orders of a full batch.
const MAX_BATCH_ORDERS: usize = 64;

/// Bytes of payloads of a full batch, so that it doesn't occupy a narrow link for long. The last
/// payload may exceed it.
const MAX_BATCH_PAYLOADS: Bytes = Bytes(32 << 10);

/// How long after its last sending a payload is sent again, which is before the dispatcher forgets
/// it.
const PAYLOAD_RESEND_AGE: Millis = Millis(50_000);

/// Longest time without a result beyond the wait that an order allows to its worker.
pub const RESULT_TIMEOUT: Millis = Millis(350);

struct Outstanding {
    reply: oneshot::Sender<Outcome>,
    worker: WorkerId,
    job: Option<JobId>,
    queued_at: Tick,
    due: Tick,
}

/// Bytes of an order, with its answer unless that is a report.
const ORDER_SIZE: u64 = 200;

/// Bytes of a report with a dozen runs.
const REPORT_SIZE: u64 = 800;

/// What a batch carries.
pub struct BatchContent {
    /// The payloads.
    pub payloads: Vec<JobPayload>,
    /// The orders.
    pub orders: Vec<Order>,
    /// The length of the payloads.
    pub size: Bytes,
    /// How long the batch and its results may take on the owner's link.
    pub transfer: Millis,
}

/// The orders that an owner has given to one dispatcher, and those that it is about to send.
pub struct Session {
    /// The id of the session.
    pub id: SessionId,
    /// The dispatcher's address.
    pub address: SocketAddr,
    /// A flush of the queue is scheduled.
    pub has_timer: bool,
    next: u64,
    payloads: Vec<JobPayload>,
    payload_bytes: u64,
    queue: Vec<Order>,
    outstanding: HashMap<OrderId, Outstanding>,
    sent_payloads: HashMap<JobId, Tick>,
    forgot_at: Tick,
    heard_at: Tick,
}

impl Session {
    /// Returns a session without orders.
    pub fn new(id: SessionId, address: SocketAddr, now: Tick) -> Self {
        Self {
            id,
            address,
            has_timer: false,
            next: 0,
            payloads: Vec::new(),
            payload_bytes: 0,
            queue: Vec::new(),
            outstanding: HashMap::new(),
            sent_payloads: HashMap::new(),
            forgot_at: now,
            heard_at: now,
        }
    }

    /// Queues an order and returns the receiver of its outcome, which is closed if the dispatcher
    /// gives none.
    pub fn queue(
        &mut self,
        worker: WorkerId,
        address: SocketAddr,
        call: OrderCall,
        payload: Option<&Arc<str>>,
        now: Tick,
    ) -> oneshot::Receiver<Outcome> {
        let id = OrderId(self.next);
        self.next += 1;
        let job = call.job();
        if let (Some(job), Some(payload)) = (job, payload) {
            let sent = self.sent_payloads.get(&job);
            if sent.is_none_or(|sent| now.since(*sent) >= PAYLOAD_RESEND_AGE) {
                self.forget_payloads(now);
                self.sent_payloads.insert(job, now);
                self.payload_bytes += payload.len() as u64;
                self.payloads.push(JobPayload(job, Arc::clone(payload)));
            }
        }
        let (reply, receiver) = oneshot::channel();
        let due = now + call.wait() + RESULT_TIMEOUT;
        let outstanding = Outstanding { reply, worker: worker.clone(), job, queued_at: now, due };
        self.outstanding.insert(id, outstanding);
        self.queue.push(Order { id, worker, address, call });
        receiver
    }

    /// Forgets payloads that would be sent again anyway.
    fn forget_payloads(&mut self, now: Tick) {
        if now.since(self.forgot_at) >= PAYLOAD_RESEND_AGE {
            self.forgot_at = now;
            self.sent_payloads.retain(|_, sent| now.since(*sent) < PAYLOAD_RESEND_AGE);
        }
    }

    /// Returns whether the queue should be sent without further wait.
    pub fn is_full(&self) -> bool {
        self.queue.len() >= MAX_BATCH_ORDERS || self.payload_bytes >= MAX_BATCH_PAYLOADS.0
    }

    /// Takes the queued orders, if there are any. Their results may take longer by the time that they and
    /// the orders need on the owner's link: otherwise the dispatchers would be excluded for a narrow
    /// link, and their orders be repeated on it.
    pub fn take_batch(
        &mut self,
        transfer_time: impl FnOnce(Bytes) -> Millis,
    ) -> Option<BatchContent> {
        if self.queue.is_empty() {
            return None;
        }
        let size = Bytes(std::mem::take(&mut self.payload_bytes));
        let orders = std::mem::take(&mut self.queue);
        let reports = orders.iter().filter(|order| matches!(order.call, OrderCall::Hold(..)));
        let results = REPORT_SIZE * reports.count() as u64;
        let transfer = transfer_time(Bytes(size.0 + ORDER_SIZE * orders.len() as u64 + results));
        for order in &orders {
            if let Some(outstanding) = self.outstanding.get_mut(&order.id) {
                outstanding.due = outstanding.due + transfer;
            }
        }
        Some(BatchContent { payloads: std::mem::take(&mut self.payloads), orders, size, transfer })
    }

    /// Records that the dispatcher answered or sent a message.
    pub fn record_message(&mut self, now: Tick) {
        self.heard_at = self.heard_at.max(now);
    }

    /// Passes a result on to whoever waits for it, and returns the worker. A result that nobody waits for
    /// any more says nothing.
    pub fn finish(&mut self, result: OrderResult) -> Option<WorkerId> {
        let OrderResult(id, outcome) = result;
        let outstanding = self.outstanding.remove(&id)?;
        if outcome == Outcome::NoPayload
            && let Some(job) = outstanding.job
        {
            self.sent_payloads.remove(&job);
        }
        let _ = outstanding.reply.send(outcome);
        Some(outstanding.worker)
    }

    /// Drops the orders without a result in time, and returns their number, and whether the
    /// dispatcher has been silent since one of them was due to have its result on the way.
    pub fn drop_overdue(&mut self, now: Tick) -> Overdue {
        let heard_at = self.heard_at;
        let mut overdue = Overdue::default();
        self.outstanding.retain(|_, order| {
            let is_overdue = order.due <= now;
            if is_overdue {
                overdue.orders += 1;
                overdue.is_silent |= heard_at <= order.due - RESULT_TIMEOUT;
            }
            !is_overdue
        });
        overdue
    }

    /// Drops orders that will have no result.
    pub fn drop_orders(&mut self, orders: &[OrderId]) {
        for order in orders {
            self.outstanding.remove(order);
        }
    }

    /// Extends the time for all results by the time for which this process did not run.
    pub fn extend(&mut self, time: Millis) {
        for order in self.outstanding.values_mut() {
            order.due = order.due + time;
        }
    }

    /// Returns the number of orders without a result.
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// Returns the age of the oldest order without a result.
    pub fn oldest(&self, now: Tick) -> Millis {
        let ages = self.outstanding.values().map(|order| now.since(order.queued_at));
        ages.max().unwrap_or_default()
    }
}

/// Orders without a result in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Overdue {
    /// Their number.
    pub orders: usize,
    /// The dispatcher has sent nothing for as long as it had for the result of one of them.
    pub is_silent: bool,
}
