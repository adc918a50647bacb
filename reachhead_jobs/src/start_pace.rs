//! Paces start orders by the process's link, its processor and the capacity of its dispatchers.
//!
//! Orders of a burst that are sent at once queue on the link and for the processor. Those at the end
//! of the queue time out before they have left, are sent again to other workers, and delay heartbeats
//! and transactions.

use reachhead_types::size::{ByteRate, Bytes, Millis, Strength};

use crate::clock::Tick;

/// Share of the link that start orders may use at first. The rest is for reports of workers,
/// transactions, heartbeats and calls of callers.
const LINK_SHARE: f64 = 0.5;

/// Bounds of the share, which follows the measured delay of the link: what the other calls need
/// varies, and a fixed share would leave the link idle while tasks wait, or fill it.
const MIN_LINK_SHARE: f64 = 0.35;
const MAX_LINK_SHARE: f64 = 0.85;

/// Round trip up to which the link has room for more start orders.
const SHORT_DELAY: Millis = Millis(50);

/// Round trip from which start orders delay the other calls too much: well below the timeouts of
/// heartbeats and orders.
const LONG_DELAY: Millis = Millis(120);

/// Interval at which the share changes: a few round trips of a link that is nearly full.
const SHARE_PERIOD: Millis = Millis(200);

/// Increase of the share after a period with short round trips.
const SHARE_INCREASE: f64 = 0.02;

/// Factor of the share after a period with long round trips.
const SHARE_DECREASE: f64 = 0.85;

/// Share of the cores that start orders may use, for the same reason.
const CORE_SHARE: f64 = 0.7;

/// Share of the dispatchers' capacity that this owner's orders may use. Dispatchers have other work,
/// and the workers' reports pass through them.
const DISPATCHER_SHARE: f64 = 0.6;

/// Longest burst, as the time that it takes at the paced rate: above the interval between two rounds
/// of an owner, and well below the timeout of an order.
const MAX_BURST: Millis = Millis(80);

/// Bytes of an order besides its payload, with its share of setting up the connection and its answer.
const ORDER_OVERHEAD: Bytes = Bytes(700);

/// Bytes of an order to a dispatcher, which is one of a batch.
const DISPATCHED_SIZE: Bytes = Bytes(120);

/// Processor time of an order that this process sends itself, in milliseconds of a core.
const ORDER_TIME: f64 = 0.08;

/// Processor time of an order to a dispatcher, in milliseconds of a core.
const DISPATCHED_TIME: f64 = 0.02;

/// Start orders that may be sent now. The last order may exceed what is left, so that one of any size
/// is sent in the end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartBudget {
    /// Bytes on the link.
    bytes: f64,
    /// Milliseconds of a core.
    core_time: f64,
    /// Orders that the dispatchers have capacity for, if there are any.
    dispatched: Option<f64>,
}

impl StartBudget {
    /// Returns a budget that no order exceeds.
    pub const fn unlimited() -> Self {
        Self { bytes: f64::INFINITY, core_time: f64::INFINITY, dispatched: None }
    }

    /// Returns a budget that has no room for any order.
    pub const fn empty() -> Self {
        Self { bytes: 0.0, core_time: 0.0, dispatched: None }
    }

    /// Returns whether another order may be sent.
    pub fn has_room(self) -> bool {
        self.bytes > 0.0 && self.core_time > 0.0 && self.dispatched.is_none_or(|left| left > 0.0)
    }

    /// Records an order with this payload.
    pub fn take(&mut self, payload: &str) {
        if let Some(left) = &mut self.dispatched {
            *left -= 1.0;
            self.bytes -= DISPATCHED_SIZE.0 as f64;
            self.core_time -= DISPATCHED_TIME;
        } else {
            self.bytes -= order_size(payload).0 as f64;
            self.core_time -= ORDER_TIME;
        }
    }
}

/// Returns the size of an order with this payload that this process sends itself.
pub(crate) fn order_size(payload: &str) -> Bytes {
    Bytes(payload.len() as u64 + ORDER_OVERHEAD.0)
}

/// A token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Bucket {
    left: f64,
    at: Tick,
}

impl Bucket {
    fn full(rate: f64, now: Tick) -> Self {
        Self { left: rate * MAX_BURST.0 as f64, at: now }
    }

    /// Adds what was earned since the last call, at a rate a millisecond.
    fn refill(&mut self, rate: f64, now: Tick) {
        let earned = now.since(self.at).0 as f64 * rate;
        self.at = self.at.max(now);
        self.left = (self.left + earned).min(rate * MAX_BURST.0 as f64);
    }
}

/// Token buckets for the start orders of a process, shared by the pools that it owns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartPacer {
    /// Bytes per millisecond that the link carries.
    bandwidth: f64,
    /// Share of the link for start orders.
    share: f64,
    /// When the share last changed.
    share_at: Tick,
    /// Milliseconds of a core per millisecond.
    core_rate: f64,
    /// Orders per millisecond that the dispatchers have capacity for, if there are any.
    dispatch_rate: Option<f64>,
    bytes: Bucket,
    core_time: Bucket,
    dispatched: Bucket,
}

impl StartPacer {
    /// Returns the pacer of a process without dispatchers, on a link with this bandwidth and with so
    /// many cores.
    pub fn new(bandwidth: ByteRate, cores: f64, now: Tick) -> Self {
        let bandwidth = bandwidth.0 as f64 / 1000.0;
        let byte_rate = LINK_SHARE * bandwidth;
        let core_rate = CORE_SHARE * cores;
        Self {
            bandwidth,
            share: LINK_SHARE,
            share_at: now,
            core_rate,
            dispatch_rate: None,
            bytes: Bucket::full(byte_rate, now),
            core_time: Bucket::full(core_rate, now),
            // Filled when there are dispatchers.
            dispatched: Bucket { left: 0.0, at: Tick(0) },
        }
    }

    /// Sets the total strength of the dispatchers through which the next orders are sent. Pools that
    /// share this pacer may alternate: what they have used of link and processor is kept.
    pub fn set_dispatchers(&mut self, total: Option<Strength>) {
        let strength = total.filter(|strength| strength.0 > 0);
        self.dispatch_rate =
            strength.map(|strength| DISPATCHER_SHARE * f64::from(strength.0) / 1000.0);
    }

    fn byte_rate(&self) -> f64 {
        self.share * self.bandwidth
    }

    /// Adapts the share of the link to the mean round trip of the latest calls, `None` if none was
    /// answered lately.
    pub fn adapt(&mut self, round_trip: Option<Millis>, now: Tick) {
        if now.since(self.share_at) < SHARE_PERIOD {
            return;
        }
        self.share_at = now;
        self.share = match round_trip {
            Some(delay) if delay >= LONG_DELAY => self.share * SHARE_DECREASE,
            Some(delay) if delay <= SHORT_DELAY && !self.has_room() => self.share + SHARE_INCREASE,
            _ => self.share,
        };
        self.share = self.share.clamp(MIN_LINK_SHARE, MAX_LINK_SHARE);
    }

    /// Returns whether start orders did not use up what the link has for them.
    fn has_room(&self) -> bool {
        self.bytes.left > 0.0
    }

    /// Returns what may be sent at `now`.
    pub fn budget(&mut self, now: Tick) -> StartBudget {
        self.bytes.refill(self.byte_rate(), now);
        self.core_time.refill(self.core_rate, now);
        let dispatched = self.dispatch_rate.map(|rate| {
            self.dispatched.refill(rate, now);
            self.dispatched.left
        });
        StartBudget { bytes: self.bytes.left, core_time: self.core_time.left, dispatched }
    }

    /// Records what is left of a budget after a round.
    pub fn record(&mut self, left: StartBudget) {
        self.bytes.left = left.bytes;
        self.core_time.left = left.core_time;
        if let Some(orders) = left.dispatched {
            self.dispatched.left = orders;
        }
    }

    /// Returns the time in which the link carries start orders of this size.
    pub fn transfer_time(&self, size: Bytes) -> Millis {
        Millis((size.0 as f64 / self.byte_rate().max(f64::MIN_POSITIVE)) as u64)
    }

    /// Records a payload that was sent to a dispatcher.
    pub fn record_payload(&mut self, size: Bytes) {
        self.bytes.left -= size.0 as f64;
    }
}
