//! Permits for orders about hosts, which only the holder of a confirmed lease may give.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use reachhead_jobs::{
    authority::{LeaseConfirmation, ORDER_WINDOW, OrderPermit},
    record::lease_key,
};
use reachhead_types::{
    boot_instant::BootInstant,
    id::PoolName,
    size::{FencingToken, Revision},
};
use tokio::{sync::Mutex, time};

use crate::node::Node;

/// Issues order permits to the holder of a lease.
pub struct PermitIssuer {
    node: Arc<Node>,
    lease: PoolName,
    token: FencingToken,
    confirmation: Mutex<LeaseConfirmation>,
    lost: AtomicBool,
}

impl PermitIssuer {
    /// Returns an issuer for the holder of `lease` with this fencing token.
    pub fn new(node: Arc<Node>, lease: PoolName, token: FencingToken) -> Self {
        let lost = AtomicBool::new(false);
        Self { node, lease, token, confirmation: Mutex::default(), lost }
    }

    /// Returns a permit, or `None` if the store does not confirm the lease now. The caller must not
    /// wait for anything between this and the order.
    pub async fn permit(&self) -> Option<OrderPermit> {
        let mut confirmation = self.confirmation.lock().await;
        if let Some(until) = confirmation.until(BootInstant::now()) {
            return Some(self.permit_until(until));
        }
        let sent = BootInstant::now();
        let read = self.node.services.store.read(vec![lease_key(&self.lease)]);
        let rows = match time::timeout(ORDER_WINDOW.duration(), read).await {
            Ok(rows) => rows,
            Err(_) => {
                log::info!("duty={} the store did not confirm the lease in time", self.lease);
                return None;
            }
        };
        self.node.record_store_result(&rows);
        let found = match rows {
            Ok(rows) => rows.into_iter().flatten().next().map(|row| row.revision),
            Err(error) => {
                log::info!("duty={} the store can't confirm the lease: {error}", self.lease);
                return None;
            }
        };
        if !confirmation.record(sent, found, self.token) {
            self.lost.store(true, Ordering::Relaxed);
            return None;
        }
        let until = confirmation.until(BootInstant::now())?;
        Some(self.permit_until(until))
    }

    fn permit_until(&self, until: BootInstant) -> OrderPermit {
        let is_fenced = self.node.settings.host_api.is_none_or(|hosts| hosts.fencing_enforced);
        OrderPermit { token: self.token, until, is_fenced }
    }

    /// Records that the store committed a transaction that checks the lease and was sent at `sent`.
    pub async fn record_confirmed(&self, sent: BootInstant) {
        self.confirmation.lock().await.record(sent, Some(Revision(self.token.0)), self.token);
    }

    /// Returns whether the store reported another holder of the lease.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }
}
