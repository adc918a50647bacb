//! Calls to a worker that ended without an answer and may still be carried out, by whatever incarnation is
//! there by then. See [docs/design/restarted-workers.md](../../../docs/design/restarted-workers.md).

use reachhead_plan::amount::Amount;
use reachhead_types::size::{Millis, RunNumber};

use crate::{
    clock::{Tick, with_drift},
    incarnation::Incarnation,
    task::TaskId,
    worker::Worker,
};

/// How late an unanswered order may still be carried out.
pub(crate) const MAX_ORDER_DELAY: Millis = Millis(15_000);

/// An order to start a run whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Resources that the run takes if it starts after all.
    pub amount: Amount,
    /// When the answer was found to be lost.
    pub at: Tick,
    /// Whether the worker has barred the run.
    pub bar: Bar,
}

/// State of the order that bars a run whose start order may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bar {
    /// The incarnation that got the order is there, and the run is stopped if it is not needed.
    Unneeded,
    /// The order is to be sent at this time.
    Due(Tick),
    /// The order was sent.
    InFlight,
    /// The incarnation has confirmed it. The next one does not know it.
    Confirmed,
}

/// Calls to a dead incarnation of a worker that the next one under its id may still carry out.
#[derive(Debug, Clone, PartialEq)]
pub struct LateCalls {
    /// The dead incarnation.
    pub ended: Incarnation,
    /// Start orders.
    pub lost_orders: Vec<LostOrder>,
    /// When the last call ended without an answer.
    pub unanswered_at: Option<Tick>,
    /// Until then they are kept.
    pub until: Tick,
}

impl LateCalls {
    /// Records that the answer to a call was lost; of a start order, if `order` names one.
    pub fn record_unanswered(&mut self, order: Option<(TaskId, RunNumber)>, at: Tick) {
        renew_lost_order(&mut self.lost_orders, order, at);
        self.unanswered_at = Some(at);
        self.until = at + MAX_ORDER_DELAY;
    }
}

/// Notes that a start order of which the owner keeps no run was lost only now.
fn renew_lost_order(orders: &mut [LostOrder], order: Option<(TaskId, RunNumber)>, at: Tick) {
    for lost in orders.iter_mut().filter(|lost| order == Some((lost.task, lost.run))) {
        lost.at = at;
    }
}

impl Worker {
    /// Records that the answer to a start order was lost.
    pub fn record_lost_order(
        &mut self,
        task: TaskId,
        run: RunNumber,
        sent: Tick,
        at: Tick,
        grant: Millis,
    ) {
        self.lost_orders.retain(|lost| at.since(lost.at) < MAX_ORDER_DELAY);
        let amount = self.runs.get(&task).map_or_else(Amount::default, |charge| charge.amount);
        self.lost_orders.push(LostOrder { task, run, amount, at, bar: Bar::Unneeded });
        self.record_unanswered(sent, at, grant);
    }

    /// Records that the answer to a start order was lost that was sent to an earlier incarnation, before
    /// that was found dead.
    pub fn renew_lost_order(&mut self, task: TaskId, run: RunNumber, at: Tick, grant: Millis) {
        if self.lost_orders.iter().any(|lost| (lost.task, lost.run) == (task, run)) {
            renew_lost_order(&mut self.lost_orders, Some((task, run)), at);
            self.record_unanswered(Tick(0), at, grant);
        }
    }

    /// Returns the calls that may be carried out after the worker's death, with `started`, the start
    /// orders that are under way.
    pub fn late_calls(&self, started: Vec<LostOrder>, now: Tick) -> LateCalls {
        let mut lost_orders = self.lost_orders.clone();
        for order in started {
            if !lost_orders.iter().any(|lost| (lost.task, lost.run) == (order.task, order.run)) {
                lost_orders.push(order);
            }
        }
        LateCalls {
            ended: self.latest_ended(),
            lost_orders,
            unanswered_at: self.unanswered_at,
            until: now + MAX_ORDER_DELAY,
        }
    }

    /// Takes over the calls to an incarnation that was found dead. If the registered one is not a later
    /// one, it is back, and knows what it was told.
    pub fn inherit(&mut self, calls: LateCalls, now: Tick, grant: Millis) {
        self.lost_orders = calls.lost_orders;
        self.unanswered_at = calls.unanswered_at;
        if !calls.ended.covers(self.info.started_at) {
            self.begin_incarnation(now, grant);
        }
    }

    /// Lets all lost orders be barred that may still be carried out and of which the worker has no run.
    fn bar_lost_orders(&mut self, at: Tick) {
        let runs = &self.runs;
        self.lost_orders.retain(|lost| at.since(lost.at) < MAX_ORDER_DELAY);
        for lost in &mut self.lost_orders {
            let is_known = runs.get(&lost.task).is_some_and(|charge| charge.run == lost.run);
            lost.bar = if is_known { Bar::Unneeded } else { Bar::Due(at) };
        }
    }

    /// Returns the lost orders that are to be barred now.
    pub fn due_bars(&self, now: Tick) -> impl Iterator<Item = &LostOrder> {
        let is_due = move |lost: &&LostOrder| matches!(lost.bar, Bar::Due(at) if at <= now);
        let may_arrive = move |lost: &&LostOrder| now.since(lost.at) < MAX_ORDER_DELAY;
        self.lost_orders.iter().filter(is_due).filter(may_arrive)
    }

    /// Sets the state of the bar of a lost order that is barred.
    pub fn set_bar(&mut self, task: TaskId, run: RunNumber, bar: Bar) {
        let is_meant = |lost: &&mut LostOrder| {
            (lost.task, lost.run) == (task, run) && lost.bar != Bar::Unneeded
        };
        self.lost_orders.iter_mut().filter(is_meant).for_each(|lost| lost.bar = bar);
    }

    /// Records that a call that was sent at `sent`, or later, ended without an answer. It may still
    /// be carried out, by whatever incarnation is there by then. `grant` is the longest lease that a
    /// worker grants.
    pub fn record_unanswered(&mut self, sent: Tick, at: Tick, grant: Millis) {
        self.unanswered_at = Some(at);
        if self.is_for_previous(sent, at) {
            self.expect_late_calls(grant);
        }
    }

    /// Returns whether a call that was sent at `sent` has certainly not reached an incarnation before the
    /// present one. A worker takes longer than a tick to start, so this holds for calls of the tick in which
    /// the present one was noticed.
    pub fn is_past_restart(&self, sent: Tick) -> bool {
        self.restarted_at.is_none_or(|restarted| restarted <= sent)
    }

    /// Returns whether an order to start the run had no answer and may still be carried out.
    pub fn may_start_late(&self, task: TaskId, run: RunNumber, now: Tick) -> bool {
        let is_meant = |lost: &LostOrder| (lost.task, lost.run) == (task, run);
        self.lost_orders.iter().any(|lost| is_meant(lost) && now.since(lost.at) < MAX_ORDER_DELAY)
    }

    /// Returns whether a call that was sent at `sent` and ended at `at` was meant for the previous
    /// incarnation.
    fn is_for_previous(&self, sent: Tick, at: Tick) -> bool {
        let was_sent_before =
            |restarted: Tick| sent <= restarted && at.since(restarted) < MAX_ORDER_DELAY;
        self.restarted_at.is_some_and(was_sent_before)
    }

    /// Records that a call which was sent at `sent` may have prolonged leases, and ended at `at`. If it was
    /// meant for the previous incarnation, the present one has read the deadline by its own clock.
    pub fn record_earlier_call(&mut self, sent: Tick, at: Tick, grant: Millis) {
        if self.is_for_previous(sent, at) {
            self.late_leases_until = self.late_leases_until.max(at + with_drift(grant));
        }
    }

    /// Records that a call which may have begun or prolonged a lease ended at `at`, without a report that
    /// names the incarnation. One that has not been noticed may have carried it out, or still may if no
    /// answer came (`lost`).
    pub fn record_unidentified(&mut self, at: Tick, lost: bool) {
        self.unidentified_at = self.unidentified_at.max(Some(at));
        self.lost_at = if lost { Some(at) } else { self.lost_at };
        self.closed = false;
    }

    /// Records that a poll which was sent at `sent` is given up at `at` without an answer. It may still
    /// prolong leases and acknowledge ends.
    pub fn record_lost_poll(&mut self, sent: Tick, at: Tick, grant: Millis) {
        if self.renewing || self.is_superseded(sent) {
            self.record_unidentified(at, true);
            self.record_earlier_call(sent, at, grant);
        }
        self.record_unanswered(sent, at, grant);
    }

    /// Records that a call which was sent at `sent` found that nothing listens at its address.
    pub fn record_closed_port(&mut self, sent: Tick) {
        self.closed |= self.unidentified_at.is_none_or(|at| at <= sent);
    }

    /// Records that a new incarnation answers. `grant` is the longest lease that a worker grants.
    pub fn begin_incarnation(&mut self, at: Tick, grant: Millis) {
        self.restarted_at = Some(at);
        self.bar_lost_orders(at);
        self.expect_late_calls(grant);
    }

    fn expect_late_calls(&mut self, grant: Millis) {
        if let Some(unanswered) = self.unanswered_at {
            self.late_calls_until = self.late_calls_until.max(unanswered + MAX_ORDER_DELAY);
            let late = self.late_calls_until + with_drift(grant);
            self.late_leases_until = self.late_leases_until.max(late);
        }
    }

    /// Returns whether calls to the worker's previous incarnation may still arrive.
    pub fn expects_late_calls(&self, now: Tick) -> bool {
        self.late_calls_until > now || self.awaits_superseded_poll()
    }

    /// Returns the resources that late orders to the worker's previous incarnation may take.
    pub fn late_orders(&self, now: Tick) -> Amount {
        let may_arrive = |lost: &&LostOrder| {
            self.expects_late_calls(now)
                && now.since(lost.at) < MAX_ORDER_DELAY
                && self.runs.get(&lost.task).is_none_or(|charge| charge.run != lost.run)
        };
        let late = self.lost_orders.iter().filter(may_arrive);
        late.map(|lost| lost.amount).fold(Amount::default(), Amount::plus)
    }
}
