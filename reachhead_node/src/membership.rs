//! The list of members: entering and leaving it, and taking off who is gone, as `reachhead_jobs::membership` decides.

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

/// How often a process looks whether it should be on the list.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// How often an owner asks whether all members are there.
const CHECK_PERIOD: Duration = Duration::from_millis(5000);

/// How long it waits for their answers.
const CHECK_TIME: Duration = Duration::from_millis(800);

/// What a process does about its own entry.
enum Step {
    Enter(MemberRecord),
    Leave,
}

/// Enters the list where that is of use, for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    // What is on the list is known once the leases have been read.
    while node.view().leases_first_read_at.is_none() {
        time::sleep(LOOK_PERIOD / 10).await;
    }
    let mut failures = 0;
    loop {
        if next_step(&node).is_some() {
            // Others enter meanwhile, and there may be enough then.
            time::sleep(join_delay(node.strength(), rand::random())).await;
            let done = match next_step(&node) {
                Some(step) => take(&node, step).await,
                None => true,
            };
            failures = if done { 0 } else { failures + 1 };
            time::sleep(retry_pause(failures, rand::random())).await;
        }
        time::sleep(LOOK_PERIOD).await;
    }
}

/// Returns what the list lacks of this process, or has too much.
fn next_step(node: &Node) -> Option<Step> {
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
            (known.revision != Revision(0)).then_some(Step::Leave)
        }
        Some(known) if known.record == record => None,
        // Its peers would look for it where it was before.
        Some(_) => Some(Step::Enter(record)),
        None => should_join(own, others(), target_members(pools)).then_some(Step::Enter(record)),
    }
}

/// Writes the entry of this process, or deletes it; tells whether that is decided.
async fn take(node: &Node, step: Step) -> bool {
    let key = member_key(&node.settings.node);
    let known = node.view().members.get(&node.settings.node).map(|member| member.revision);
    let txn = Txn::new().with_check(key.clone(), known);
    let (txn, record) = match step {
        Step::Enter(record) => (txn.with_write(key, value(&record)), Some(record)),
        Step::Leave => (txn.with_delete(key), None),
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
        // The followed table tells what is there.
        Ok(Commit::Conflict(_)) => false,
        Err(error) => {
            log::info!("the list of members can't be written: {error}");
            false
        }
    }
}

/// Takes members off the list that are gone, for as long as the process lives. Only owners of pools ask, so that what is asked
/// follows the pools and not the hosts.
pub async fn check(node: Arc<Node>) {
    let mut misses: BTreeMap<NodeName, u32> = BTreeMap::new();
    loop {
        time::sleep(CHECK_PERIOD.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
        if node.owned().is_empty() || node.is_stopping() {
            misses.clear();
            continue;
        }
        for member in missing(&node, &mut misses).await {
            remove(&node, &member).await;
            misses.remove(&member);
        }
    }
}

/// Asks all members and returns those that have left too many calls without an answer.
async fn missing(node: &Node, misses: &mut BTreeMap<NodeName, u32>) -> Vec<NodeName> {
    let members = node.view().members.clone();
    let asks = members.iter().filter(|(name, _)| **name != node.settings.node).map(
        |(name, member)| async {
            let pong = node.peers.ask(member.record.address, &PeerRequest::Ping, CHECK_TIME).await;
            // Another process may have got the address.
            let lives = matches!(&pong, Ok(PeerReply::Pong(pong)) if pong.is_of(name));
            (name.clone(), lives)
        },
    );
    let told = join_all(asks).await;
    let answered = told.iter().filter(|(_, lives)| *lives).count();
    if !can_remove_members(answered, told.len()) {
        log::info!("{answered} of {} members answer, so nobody is taken off", told.len());
        misses.clear();
        return Vec::new();
    }
    misses.retain(|name, _| members.contains_key(name));
    for (name, lives) in told {
        if lives {
            misses.remove(&name);
        } else {
            *misses.entry(name).or_default() += 1;
        }
    }
    let gone = misses.iter().filter(|(_, count)| **count >= MAX_MISSED_PINGS);
    gone.map(|(name, _)| name.clone()).collect()
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
