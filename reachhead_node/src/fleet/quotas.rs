//! Enforces customers' quotas across pools: keeps the ledger and sends each pool's owner the limits
//! of what it may run.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use reachhead_jobs::quota::{Allotment, Ledger, UsageReport, max_orphan_time};
use reachhead_types::{
    id::PoolName,
    size::{FencingToken, Revision},
};
use tokio::time;

use super::name;
use crate::{
    election,
    node::Node,
    owner_call::call_pool_owner,
    peer::{PeerReply, PoolRequest},
};

/// Pause between two rounds while no customer waits for more. The usage of pools still changes, and
/// the ledger needs it as soon as a customer waits.
const IDLE_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two rounds while a customer's tasks wait and its quota is fully used: when a task
/// ends, the free quota is given to a waiting pool within this time.
const CONTENDED_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two rounds while limits change: a limit can be raised only after another one was
/// lowered, and tasks wait for both.
const REBALANCE_PAUSE: Duration = Duration::from_millis(25);

/// Timeout of an owner's answer, so that an owner that is gone does not delay the others.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Keeps the ledger for as long as this process owns the fleet lease with this token.
pub async fn run(node: Arc<Node>, token: Revision) {
    let max_orphan_time = max_orphan_time(&election::timeouts(&node));
    let mut ledger = Ledger::new(FencingToken(token.0), max_orphan_time, node.now());
    while node.local_owner(&name()).is_some_and(|handle| handle.token == token) {
        // The owner of each lease that is older than this one must be known before a round, see
        // `Owner::allot`.
        let knows_older_leases = node.view().leases_revision >= token;
        let repeat_soon = knows_older_leases && round(&node, &mut ledger).await;
        let pause = if repeat_soon || ledger.is_converging() {
            REBALANCE_PAUSE
        } else if ledger.is_throttled() {
            CONTENDED_PAUSE
        } else {
            IDLE_PAUSE
        };
        time::sleep(pause).await;
    }
}

/// Sends the limits of each pool to its owner; returns whether an owner is new and has none yet.
async fn round(node: &Arc<Node>, ledger: &mut Ledger) -> bool {
    let Some(config) = node.view().config.clone() else {
        return false;
    };
    if !config.customers.has_quotas() {
        return false;
    }
    let messages = ledger.round(config.pools.keys(), &config.customers, node.now());
    let requests = messages.into_iter().map(|(pool, allotment)| async move {
        let report = send_allotment(node, &pool, &allotment).await;
        (pool, allotment, report)
    });
    let mut has_new_owner = false;
    for (pool, allotment, report) in join_all(requests).await {
        let lease = node.view().leases.get(&pool).map(|lease| FencingToken(lease.revision.0));
        // The report of a replaced owner does not bind its successor.
        let current = |report: &UsageReport| Some(report.owner) >= lease;
        if let Some(report) = report.filter(current) {
            has_new_owner |= ledger.process_report(&pool, &allotment, report, node.now());
        }
    }
    has_new_owner
}

async fn send_allotment(
    node: &Node,
    pool: &PoolName,
    allotment: &Allotment,
) -> Option<UsageReport> {
    let request = call_pool_owner(node, pool, PoolRequest::Allot(allotment.clone()));
    match time::timeout(ANSWER_TIMEOUT, request).await {
        Ok(Ok(PeerReply::Usage(report))) => Some(report),
        _ => None,
    }
}
