//! A restarted process takes back no more of its pools than its link carries in time.

use std::sync::atomic::Ordering;

use reachhead_jobs::{
    model::{CallLimits, Configuration},
    record::{MemberRecord, SettledRecord},
};
use reachhead_types::size::{FencingToken, Strength, Version, WorkerCount};

use super::*;
use crate::{
    lease,
    peer::Pong,
    tests::{broken_node, paused_runtime},
    view::{MemberView, PeerStatus},
};

/// Returns the election of a process on a link of 2 Mbit/s whose name holds five pools, and which reads
/// no roster in time. `peers` members own nothing and were heard.
async fn restarted(peers: usize) -> Election {
    restarted_on(2.0, peers).await
}

/// Returns the same election on a link of `mbps`.
async fn restarted_on(mbps: f64, peers: usize) -> Election {
    let (mut node, store) = broken_node::node();
    store.scan_time.store(60_000, Ordering::Relaxed);
    Arc::get_mut(&mut node).unwrap().settings.link_mbps = mbps;
    let names = ["a", "b", "c", "d", "e"].map(|name| name.parse::<PoolName>().unwrap());
    let policy = |name| PoolPolicy { name, rejects_overload: false, spare: false };
    let pools = names.into_iter().map(|name| (name.clone(), policy(name))).collect();
    let limits = CallLimits { head: 1, body: 1, head_time: Millis(1), idle_time: Millis(1) };
    let (version, queues, customers) = (Version(1), Vec::new(), Arc::default());
    let config = Configuration { version, queues, pools, limits, customers };
    for pool in config.pools.keys() {
        assert!(lease::take(&node, pool, None, None).await.unwrap().is_some());
    }
    node.view().update_config(config, Revision(1));
    for number in 0..peers {
        let (name, address) = (format!("front-b-{number}"), node.settings.peer);
        let name: NodeName = name.parse().unwrap();
        let strength = node.strength().max(Strength(250));
        let record = MemberRecord { address, strength };
        let member = MemberView { record, revision: Revision(1) };
        let now = node.now();
        let status = PeerStatus { asked: now, at: now, address, pong: Pong::default() };
        node.view().members.insert(name.clone(), member);
        node.view().peers.insert(name, status);
    }
    Election::new(node)
}

/// Returns how many pools the process takes over, and how many leases name nobody.
async fn counts(election: &Election) -> (usize, usize) {
    time::sleep(Duration::from_millis(50)).await;
    let view = election.node.view();
    let released = view.leases.values().filter(|lease| lease.record.owner.is_none()).count();
    (election.takeovers.len(), released)
}

/// Guards against a process that takes all its pools back over one narrow link, so that leases of healthy
/// workers end, while peers with idle links stand by.
#[test]
fn pools_that_a_narrow_link_does_not_carry_are_left_to_peers_at_once() {
    paused_runtime().block_on(async {
        for (peers, expected) in [(3, (1, 3)), (1, (1, 1))] {
            let mut election = restarted(peers).await;
            election.check_pools();
            assert_eq!(counts(&election).await, expected, "with {peers} peers");
            election.check_pools();
            assert_eq!(counts(&election).await, expected, "it took back what it has left");
        }
    });
}

/// Guards against a process that takes pools of thousands of workers back as if they were small, so that
/// leases end before their workers are called, while peers with idle links stand by.
#[test]
fn large_pools_are_left_to_peers_by_their_recorded_size() {
    paused_runtime().block_on(async {
        for (workers, expected) in [(None, (5, 0)), (Some(1451), (2, 3)), (Some(20_000), (1, 4))] {
            let mut election = restarted_on(20.0, 4).await;
            for pool in ["a", "b", "c", "d", "e"] {
                let record = SettledRecord::new(FencingToken(1));
                let record =
                    workers.map_or(record, |workers| record.with_workers(WorkerCount(workers)));
                election.node.view().settled.insert(pool.parse().unwrap(), record);
            }
            election.check_pools();
            assert_eq!(counts(&election).await, expected, "pools of {workers:?} workers");
        }
    });
}

/// Guards against pools that nobody owns, or that share the link, after a restart of all processes.
#[test]
fn a_process_without_peers_takes_its_pools_one_after_the_other() {
    paused_runtime().block_on(async {
        let mut election = restarted(0).await;
        for expected in [1, 2] {
            election.check_pools();
            assert_eq!(counts(&election).await, (expected, 0));
            time::sleep(Duration::from_millis(700)).await;
        }
        for takeover in election.node.loading().values_mut() {
            takeover.roster = Some(1);
        }
        election.check_pools();
        assert_eq!(counts(&election).await, (4, 0), "the rosters of the first two are known");
    });
}

/// Guards against a takeover that goes on for many seconds behind others of the process, while a peer with an idle
/// link could take the pool; and against processes that pass such a pool on.
#[test]
fn a_takeover_behind_others_is_given_back_once_while_a_peer_is_free() {
    paused_runtime().block_on(async {
        for (abandoned, roster, expected) in
            [(0, None, (1, 2)), (1, None, (2, 1)), (0, Some(1), (1, 2))]
        {
            let mut election = restarted(1).await;
            election.check_pools();
            assert_eq!(counts(&election).await, (1, 1));
            time::sleep(Duration::from_millis(600)).await;
            election.check_pools();
            assert_eq!(counts(&election).await, (2, 1));
            for takeover in election.node.loading().values_mut() {
                takeover.abandoned = abandoned;
                takeover.roster = roster;
            }
            time::sleep(Duration::from_millis(900)).await;
            let now = election.node.now();
            election.node.view().peers.values_mut().for_each(|status| status.at = now);
            time::sleep(Duration::from_millis(400)).await;
            let running = election.node.loading().len();
            assert_eq!((running, counts(&election).await.1), expected);
        }
    });
}
