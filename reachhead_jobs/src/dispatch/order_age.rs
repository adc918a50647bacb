//! Age of orders at a dispatcher, without a clock that both processes share.

use reachhead_types::size::Millis;

use crate::clock::Tick;

/// Age from which an order is dropped. By then the owner has sent it to the worker itself.
pub const MAX_ORDER_AGE: Millis = Millis(600);

/// How much faster the dispatcher's clock may run than the owner's, in thousandths: twice as much as
/// clocks that are being adjusted. Without it, all orders would seem old after some hours of a session.
const MAX_DRIFT_PER_MILLE: i128 = 1;

/// The message of a session that arrived with the least delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Fastest {
    /// The dispatcher's time less the owner's, in milliseconds.
    offset: i128,
    received_at: Tick,
}

/// Age of the orders of one session, relative to its fastest message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderAge {
    fastest: Option<Fastest>,
}

impl OrderAge {
    /// Returns the state of a session without messages.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how old an order is that was sent at `sent_at` by the owner's boot-time clock, and
    /// processed at `received_at` by that of this process. That clock has to go on while the host is
    /// suspended, and to be read after any wait, immediately before the order is sent.
    pub fn age(&mut self, sent_at: Millis, received_at: Tick) -> Millis {
        let offset = i128::from(received_at.0) - i128::from(sent_at.0);
        let expected = self.fastest.map_or(offset, |fastest| {
            let elapsed = received_at.since(fastest.received_at).0;
            fastest.offset + i128::from(elapsed) * MAX_DRIFT_PER_MILLE / 1000
        });
        if self.fastest.is_none() || offset < expected {
            self.fastest = Some(Fastest { offset, received_at });
        }
        Millis(u64::try_from((offset - expected).max(0)).unwrap_or(u64::MAX))
    }
}
