//! Whether the owner of all hosts may give an order now.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use reachhead_jobs::{
    authority::{LeaseConfirmation, ORDER_WINDOW, OrderPermit},
    record::lease_key,
};
use reachhead_types::{boot_instant::BootInstant, id::PoolName, size::FencingToken};
use tokio::{sync::Mutex, time};

use crate::node::Node;

/// The lease of a duty, as far as orders need it.
pub struct Authority {
    node: Arc<Node>,
    duty: PoolName,
    token: FencingToken,
    confirmation: Mutex<LeaseConfirmation>,
    lost: AtomicBool,
}

impl Authority {
    /// Returns the authority of the holder of a duty's lease.
    pub fn new(node: Arc<Node>, duty: PoolName, token: FencingToken) -> Self {
        let lost = AtomicBool::new(false);
        Self { node, duty, token, confirmation: Mutex::default(), lost }
    }

    /// Returns what an order may be given on, or `None` if the store does not confirm the lease now. Nothing may be
    /// waited for between this and the order.
    pub async fn permit(&self) -> Option<OrderPermit> {
        let checked = self.node.settings.machines.is_none_or(|machines| machines.fenced);
        if checked {
            return Some(OrderPermit { token: self.token, until: None });
        }
        let mut confirmation = self.confirmation.lock().await;
        if let Some(until) = confirmation.until(BootInstant::now()) {
            return Some(OrderPermit { token: self.token, until: Some(until) });
        }
        let asked = BootInstant::now();
        let read = self.node.services.store.read(vec![lease_key(&self.duty)]);
        let rows = match time::timeout(ORDER_WINDOW.duration(), read).await {
            Ok(rows) => rows,
            Err(_) => {
                log::info!("duty={} the store does not confirm the lease in time", self.duty);
                return None;
            }
        };
        self.node.note_store(&rows);
        let found = match rows {
            Ok(rows) => rows.into_iter().flatten().next().map(|row| row.revision),
            Err(error) => {
                log::info!("duty={} the store does not confirm the lease: {error}", self.duty);
                return None;
            }
        };
        if !confirmation.record(asked, found, self.token) {
            self.lost.store(true, Ordering::Relaxed);
            return None;
        }
        let until = confirmation.until(BootInstant::now())?;
        Some(OrderPermit { token: self.token, until: Some(until) })
    }

    /// Tells whether the store said that somebody else holds the lease.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }
}
