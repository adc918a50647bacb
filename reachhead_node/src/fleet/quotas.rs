//! Keeping the ledger of customers' quotas: what each pool may have running, told to the pools' owners.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use reachhead_jobs::{
    clock::with_drift,
    quota::{Allotment, LIMIT_EXPIRY, Ledger, UsageReport},
};
use reachhead_types::{
    id::PoolName,
    size::{FencingToken, Millis, Revision},
};
use tokio::time;

use super::name;
use crate::{
    claims::{HOLD_MOST, TRUST_TIME},
    frontend::ask_pool,
    node::Node,
    peer::{PeerReply, PoolRequest},
};

/// Pause between two rounds while no customer waits for more: what pools have changes, and is to be known when one does.
const CALM_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two rounds while a customer's tasks wait for room in its quota, all of which is in use: when a task ends,
/// the room is given to whoever waits within this.
const SHORT_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two rounds while limits change: a limit can be raised only after another one was lowered, and tasks wait
/// for both.
const MOVING_PAUSE: Duration = Duration::from_millis(25);

/// How long an owner may take to answer; the others are not kept waiting for one that is gone.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Keeps the ledger for as long as this process is in charge of all hosts with this token.
pub async fn run(node: Arc<Node>, token: Revision) {
    // An owner sees a new ledger within the time for which it trusts its own lease; what it started until its limits are
    // void ends with its lease at the latest where nobody prolongs that.
    let effect = Millis(TRUST_TIME.0 + LIMIT_EXPIRY.0 + with_drift(HOLD_MOST).0);
    let mut ledger = Ledger::new(FencingToken(token.0), effect, node.now());
    while node.local(&name()).is_some_and(|handle| handle.token == token) {
        // An owner whose lease is older than this one's has to be known as the owner, see `Owner::allot`.
        let sees = node.view().leases_revision >= token;
        let again = sees && round(&node, &mut ledger).await;
        let pause = if again || ledger.is_converging() {
            MOVING_PAUSE
        } else if ledger.is_throttled() {
            SHORT_PAUSE
        } else {
            CALM_PAUSE
        };
        time::sleep(pause).await;
    }
}

/// Tells all owners what their pools are allotted; tells whether any of them is new and has nothing yet.
async fn round(node: &Arc<Node>, ledger: &mut Ledger) -> bool {
    let Some(config) = node.view().config.clone() else {
        return false;
    };
    if !config.customers.has_quotas() {
        return false;
    }
    let messages = ledger.round(config.pools.keys(), &config.customers, node.now());
    let asks = messages.into_iter().map(|(pool, allotment)| async move {
        let report = ask(node, &pool, &allotment).await;
        (pool, allotment, report)
    });
    let mut news = false;
    for (pool, allotment, report) in join_all(asks).await {
        let lease = node.view().leases.get(&pool).map(|lease| FencingToken(lease.revision.0));
        // What an owner says that has been replaced does not bind its successor.
        let current = |report: &UsageReport| Some(report.owner) >= lease;
        if let Some(report) = report.filter(current) {
            news |= ledger.process_report(&pool, &allotment, report, node.now());
        }
    }
    news
}

async fn ask(node: &Node, pool: &PoolName, allotment: &Allotment) -> Option<UsageReport> {
    let request = ask_pool(node, pool, PoolRequest::Allot(allotment.clone()));
    match time::timeout(ANSWER_TIME, request).await {
        Ok(Some(PeerReply::Statement(report))) => Some(report),
        _ => None,
    }
}
