//! Membership: this process's joining and leaving, and the removal of dead members, as
//! `reachhead_jobs::membership` decides.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::future::join_all;
use reachhead_jobs::{
    membership::{
        MAX_MISSED_PINGS, MemberCandidate, can_remove_members, join_delay, retry_pause,
        should_join, should_leave, target_members,
    },
    record::{MemberRecord, member_key, value},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::row::{Commit, Txn};
use reachhead_types::{id::NodeName, size::Revision};
use tokio::time;

use crate::{
    node::Node,
    peer::{PeerReply, PeerRequest},
    view::MemberView,
};

/// Interval at which a process checks whether it should be a member.
const OWN_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Interval at which an owner pings all members.
const MEMBER_CHECK_PERIOD: Duration = Duration::from_millis(5000);

/// Timeout of the ping to a member.
const PING_TIMEOUT: Duration = Duration::from_millis(800);

/// A change to this process's own membership.
enum MembershipChange {
    Join(MemberRecord),
    Leave,
}

/// Joins and leaves the membership list as needed, for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    // The list is known once the leases have been read.
    while node.view().leases_first_read_at.is_none() {
        time::sleep(OWN_CHECK_PERIOD / 10).await;
    }
    let mut failures = 0;
    loop {
        if needed_change(&node).is_some() {
            // Others join in the meantime, and the list may be complete then.
            time::sleep(join_delay(node.strength(), rand::random())).await;
            let decided = match needed_change(&node) {
                Some(change) => take(&node, change).await,
                None => true,
            };
            failures = if decided { 0 } else { failures + 1 };
            time::sleep(retry_pause(failures, rand::random())).await;
        }
        time::sleep(OWN_CHECK_PERIOD).await;
    }
}

/// Returns the change that this process's entry needs, if any.
fn needed_change(node: &Node) -> Option<MembershipChange> {
    let record = MemberRecord { address: node.settings.peer, strength: node.strength() };
    let view = node.view();
    let pools = view.config.as_ref()?.pools.len();
    let own = MemberCandidate { node: &node.settings.node, strength: record.strength };
    let others = || {
        view.members.iter().filter(|(other, _)| **other != node.settings.node).map(
            |(other, member)| MemberCandidate { node: other, strength: member.record.strength },
        )
    };
    match view.members.get(&node.settings.node) {
        Some(known) if should_leave(own, others(), target_members(pools)) => {
            (known.revision != Revision(0)).then_some(MembershipChange::Leave)
        }
        Some(known) if known.record == record => None,
        // The address or the capacity weight has changed, and peers would use the old one.
        Some(_) => Some(MembershipChange::Join(record)),
        None => should_join(own, others(), target_members(pools))
            .then_some(MembershipChange::Join(record)),
    }
}

/// Writes or deletes this process's entry; returns whether the store accepted that.
async fn take(node: &Node, change: MembershipChange) -> bool {
    let key = member_key(&node.settings.node);
    let known = node.view().members.get(&node.settings.node).map(|member| member.revision);
    let txn = Txn::new().with_check(key.clone(), known);
    let (txn, record) = match change {
        MembershipChange::Join(record) => (txn.with_write(key, value(&record)), Some(record)),
        MembershipChange::Leave => (txn.with_delete(key), None),
    };
    let result = node.services.store.commit(txn).await;
    node.record_store_result(&result);
    match result {
        Ok(Commit::Done(revision)) => {
            emit(Event::MemberChanged, format_args!("node={} {record:?}", node.settings.node));
            let mut view = node.view();
            match record {
                Some(record) => {
                    view.members
                        .insert(node.settings.node.clone(), MemberView { record, revision });
                }
                None => {
                    view.members.remove(&node.settings.node);
                }
            }
            true
        }
        // The followed table will show the current entry.
        Ok(Commit::Conflict(_)) => false,
        Err(error) => {
            log::info!("the membership list can't be written: {error}");
            false
        }
    }
}

/// Removes dead members from the list, for as long as the process runs. Only owners of pools ping
/// the members, so the number of pings follows the pools and not the hosts.
pub async fn remove_dead_members(node: Arc<Node>) {
    let mut missed_pings: BTreeMap<NodeName, u32> = BTreeMap::new();
    loop {
        time::sleep(MEMBER_CHECK_PERIOD.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
        if node.owned().is_empty() || node.is_stopping() {
            missed_pings.clear();
            continue;
        }
        for member in dead_members(&node, &mut missed_pings).await {
            remove(&node, &member).await;
            missed_pings.remove(&member);
        }
    }
}

/// Pings all members and returns those that missed too many pings in a row.
async fn dead_members(node: &Node, missed_pings: &mut BTreeMap<NodeName, u32>) -> Vec<NodeName> {
    let members = node.view().members.clone();
    let pings = members.iter().filter(|(name, _)| **name != node.settings.node).map(
        |(name, member)| async {
            let pong =
                node.peers.call(member.record.address, &PeerRequest::Ping, PING_TIMEOUT).await;
            // Another process may have got the address.
            let is_alive = matches!(&pong, Ok(PeerReply::Pong(pong)) if pong.is_of(name));
            (name.clone(), is_alive)
        },
    );
    let answers = join_all(pings).await;
    let answered = answers.iter().filter(|(_, is_alive)| *is_alive).count();
    if !can_remove_members(answered, answers.len()) {
        log::info!("only {answered} of {} members answered, so none is removed", answers.len());
        missed_pings.clear();
        return Vec::new();
    }
    missed_pings.retain(|name, _| members.contains_key(name));
    for (name, is_alive) in answers {
        if is_alive {
            missed_pings.remove(&name);
        } else {
            *missed_pings.entry(name).or_default() += 1;
        }
    }
    let dead = missed_pings.iter().filter(|(_, count)| **count >= MAX_MISSED_PINGS);
    dead.map(|(name, _)| name.clone()).collect()
}

async fn remove(node: &Node, member: &NodeName) {
    let Some(revision) = node.view().members.get(member).map(|known| known.revision) else {
        return;
    };
    let key = member_key(member);
    let txn = Txn::new().with_check(key.clone(), Some(revision)).with_delete(key);
    let result = node.services.store.commit(txn).await;
    node.record_store_result(&result);
    emit(
        Event::MemberChanged,
        format_args!("node={member} taken off, it does not answer: {result:?}"),
    );
}
