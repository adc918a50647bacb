//! Tests of balancing hosts between pools.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_jobs::{
    balance::{Balance, ClockPair, Move, PoolState},
    clock::Tick,
    pool::{PoolLoad, WorkerLoad},
    ports::{PlatformHost, PlatformHostState},
};
use reachhead_types::{
    id::{HostId, PoolName, WorkerId, ZoneName},
    size::Millis,
};

/// Capacity of each worker, in thousandths of a core.
const CORES: u64 = 16_000;

fn idle_worker(worker: WorkerId) -> WorkerLoad {
    WorkerLoad { worker, cores: CORES, used: 0, pinned: false, drained: false }
}

/// Returns the zone of a host; hosts alternate between two zones.
fn zone(number: usize) -> ZoneName {
    format!("z{}", number % 2).parse().unwrap()
}

#[derive(Default)]
struct Fleet {
    hosts: BTreeMap<HostId, PlatformHost>,
    pools: BTreeMap<PoolName, PoolState>,
    balance: Balance,
    drained: BTreeSet<ZoneName>,
    /// Orders per second that the platform accepts; 0 for no limit.
    rate: f64,
    now: Tick,
}

impl Fleet {
    fn with_pool(mut self, name: &str, hosts: usize, need: u64) -> Self {
        let pool: PoolName = name.parse().unwrap();
        let mut load = PoolLoad { need, begun: true, ..PoolLoad::default() };
        for number in 0..hosts {
            let host: HostId = format!("{name}-{number}").parse().unwrap();
            let worker = format!("w-{name}-{number}").parse().unwrap();
            load.workers.push(idle_worker(worker));
            let worker = Some(load.workers[number].worker.clone());
            let state = PlatformHostState::Up;
            let zone = Some(zone(number));
            let platform_host =
                PlatformHost { host: host.clone(), pool: pool.clone(), zone, state, worker };
            self.hosts.insert(host, platform_host);
        }
        self.pools.insert(pool, PoolState { load, spare: name == "off" });
        self
    }

    fn load(&mut self, name: &str) -> &mut PoolLoad {
        &mut self.pools.get_mut(&name.parse().unwrap()).unwrap().load
    }

    /// Drains a zone, and marks its workers as drained in all pools.
    fn drain(&mut self, name: &str) {
        let drained: ZoneName = name.parse().unwrap();
        let of_zone = |host: &&PlatformHost| host.zone.as_ref() == Some(&drained);
        let workers: BTreeSet<_> =
            self.hosts.values().filter(of_zone).filter_map(|host| host.worker.clone()).collect();
        for state in self.pools.values_mut() {
            for load in &mut state.load.workers {
                load.drained = workers.contains(&load.worker);
            }
        }
        self.drained.insert(drained);
    }

    fn round(&mut self, millis: u64) -> Vec<Move> {
        self.now = self.now + Millis(millis);
        self.balance.next(&self.hosts, &self.pools, &self.drained, self.rate, |_| false, self.now)
    }

    /// Applies moves as the platform does.
    fn apply(&mut self, moves: &[Move]) {
        for step in moves {
            let host = self.hosts.get_mut(&step.host).unwrap();
            host.pool = step.to.clone();
            let from = self.pools.get_mut(&step.from).unwrap();
            from.load.workers.retain(|load| Some(&load.worker) != host.worker.as_ref());
            let to = self.pools.get_mut(&step.to).unwrap();
            to.load.workers.push(idle_worker(host.worker.clone().unwrap()));
        }
    }
}

#[test]
fn a_pool_with_demand_gets_powered_off_hosts_before_those_of_others() {
    let mut fleet =
        Fleet::default().with_pool("a", 3, 6 * CORES).with_pool("b", 8, 0).with_pool("off", 2, 0);
    let moves = fleet.round(0);
    assert!(moves.iter().all(|step| step.to.as_str() == "a"), "{moves:?}");
    assert_eq!(moves.iter().filter(|step| step.from.as_str() == "off").count(), 2);
    // Six hosts and the margin make seven.
    assert_eq!(moves.len(), 4);
    fleet.apply(&moves);
    assert!(fleet.round(150).is_empty());
}

#[test]
fn hosts_with_work_or_long_running_tasks_are_not_moved() {
    let mut fleet = Fleet::default().with_pool("a", 3, 9 * CORES).with_pool("b", 6, 0);
    for load in &mut fleet.load("b").workers[..4] {
        load.used = 1000;
    }
    fleet.load("b").workers[5].pinned = true;
    let moves = fleet.round(0);
    assert_eq!(moves.len(), 1, "{moves:?}");
    assert_eq!(moves[0].host.as_str(), "b-4");
}

#[test]
fn idle_hosts_are_switched_off_after_a_delay_except_a_reserve() {
    let mut fleet = Fleet::default().with_pool("a", 8, 0).with_pool("off", 0, 0);
    assert!(fleet.round(0).is_empty());
    assert!(fleet.round(2900).is_empty());
    let moves = fleet.round(200);
    assert_eq!(moves.len(), 5, "three stay: {moves:?}");
    assert!(moves.iter().all(|step| step.to.as_str() == "off"));
}

#[test]
fn renewed_demand_restarts_the_scale_down_delay() {
    let mut fleet = Fleet::default().with_pool("a", 8, 0).with_pool("off", 0, 0);
    fleet.round(0);
    fleet.load("a").need = 7 * CORES;
    assert!(fleet.round(2000).is_empty());
    fleet.load("a").need = 0;
    assert!(fleet.round(1500).is_empty());
    assert!(!fleet.round(3100).is_empty());
}

#[test]
fn a_host_that_was_just_moved_is_not_moved_again() {
    let mut fleet = Fleet::default().with_pool("a", 3, 4 * CORES).with_pool("b", 5, 0);
    let moves = fleet.round(0);
    assert_eq!(moves.len(), 2);
    fleet.apply(&moves);
    fleet.round(150);
    fleet.load("a").need = 0;
    fleet.load("b").need = 5 * CORES;
    let back = fleet.round(150);
    let sent = |host: &HostId| back.iter().any(|step| step.host == *host);
    assert!(moves.iter().all(|step| !sent(&step.host)), "{back:?}");
}

#[test]
fn a_host_whose_worker_has_not_answered_a_new_owner_is_not_moved() {
    let mut fleet = Fleet::default().with_pool("a", 3, 9 * CORES).with_pool("b", 8, 0);
    fleet.load("b").unsettled = true;
    fleet.load("b").workers.clear();
    assert!(fleet.round(0).is_empty());
}

#[test]
fn spread_and_unplaced_tasks_request_hosts_by_worker_count() {
    let mut fleet = Fleet::default().with_pool("a", 3, 0).with_pool("b", 9, 0);
    fleet.load("a").least = 5;
    fleet.load("a").extra = 1;
    assert_eq!(fleet.round(0).len(), 3);
}

#[test]
fn a_pool_with_a_new_owner_gets_hosts_and_gives_up_those_that_answered() {
    let mut fleet = Fleet::default().with_pool("a", 6, 0).with_pool("b", 4, 16 * CORES);
    fleet.load("a").unsettled = true;
    fleet.load("b").unsettled = true;
    // No worker of b has answered its new owner, so their size is unknown, and two workers of a
    // have not.
    fleet.load("b").workers.clear();
    fleet.load("a").workers.truncate(4);
    let mut fleet = fleet.with_pool("off", 10, 0);
    let moves = fleet.round(100);
    assert!(moves.iter().all(|step| step.to.as_str() == "b"), "{moves:?}");
    let given = moves.iter().filter(|step| step.from.as_str() == "a").count();
    assert_eq!((moves.len(), given), (13, 3), "a keeps three hosts");
}

#[test]
fn a_host_with_an_unusable_worker_is_replaced_after_a_delay() {
    let mut fleet = Fleet::default().with_pool("a", 5, 4 * CORES).with_pool("off", 5, 0);
    assert!(fleet.round(100).is_empty());
    fleet.load("a").workers.truncate(3);
    assert!(fleet.round(100).is_empty(), "the workers may come back");
    assert!(fleet.round(1400).is_empty());
    let moves = fleet.round(200);
    assert_eq!(moves.len(), 2, "{moves:?}");
}

/// All pools are idle at the start of a day, until one of them needs all its hosts at once.
#[test]
fn hosts_of_a_pool_without_any_work_yet_stay_on() {
    let mut fleet =
        Fleet::default().with_pool("a", 8, 0).with_pool("b", 8, 0).with_pool("off", 0, 0);
    fleet.load("a").begun = false;
    fleet.round(0);
    let moves = fleet.round(4000);
    assert!(moves.iter().all(|step| step.from.as_str() == "b"), "{moves:?}");
    assert_eq!(moves.len(), 5, "three stay in each pool");
    fleet.apply(&moves);
    // They may still be moved to a pool that needs them.
    fleet.load("b").need = 12 * CORES;
    let moves = fleet.round(2000);
    assert!(moves.iter().any(|step| step.from.as_str() == "a" && step.to.as_str() == "b"));
}

/// One pool's peak is over except for a backlog that could use the whole fleet, while the next
/// pool's peak begins.
#[test]
fn a_pool_with_a_backlog_does_not_keep_hosts_that_another_pool_needs() {
    let mut fleet = Fleet::default().with_pool("a", 20, 30 * CORES).with_pool("b", 3, 10 * CORES);
    fleet.load("a").timely = 12 * CORES;
    fleet.load("b").timely = 10 * CORES;
    let moves = fleet.round(0);
    assert!(moves.iter().all(|step| step.to.as_str() == "b"), "{moves:?}");
    assert_eq!(moves.len(), 8, "23 hosts: 12 and 10 for work in time, and one more");
    fleet.apply(&moves);
    assert!(fleet.round(150).is_empty(), "the division is stable");
}

/// Both pools lack hosts for timely work, so neither keeps what it happens to have.
#[test]
fn pools_that_both_lack_hosts_share_them_evenly() {
    let mut fleet = Fleet::default().with_pool("a", 17, 40 * CORES).with_pool("b", 3, 25 * CORES);
    fleet.load("a").timely = 40 * CORES;
    fleet.load("b").timely = 25 * CORES;
    assert_eq!(fleet.round(0).len(), 7);
}

/// Demand was converted into hosts of the largest size, so a pool of which half had shrunk got too
/// few.
#[test]
fn a_pool_whose_workers_shrank_gets_hosts_for_the_lost_capacity() {
    let mut fleet = Fleet::default().with_pool("a", 6, 6 * CORES).with_pool("off", 10, 0);
    let whole = fleet.round(500).len();
    fleet = Fleet::default().with_pool("a", 6, 6 * CORES).with_pool("off", 10, 0);
    for load in fleet.load("a").workers.iter_mut().take(4) {
        load.cores = CORES / 2;
    }
    let shrunk = fleet.round(500).len();
    assert_eq!(shrunk, whole + 2, "four halves are missing");
}

/// Hosts of a drained zone counted as capacity, so a pool requested no others and its jobs waited
/// until the drain was over.
#[test]
fn hosts_of_a_drained_zone_are_no_capacity_and_are_not_fetched() {
    let mut fleet = Fleet::default().with_pool("a", 8, 6 * CORES).with_pool("off", 8, 0);
    assert!(fleet.round(0).is_empty());
    fleet.load("a").workers[0].used = 1000;
    fleet.drain("z0");
    let moves = fleet.round(0);
    let (to, from): (Vec<&Move>, Vec<&Move>) =
        moves.iter().partition(|step| step.to.as_str() == "a");
    let names: Vec<&str> = to.iter().map(|step| step.host.as_str()).collect();
    assert_eq!(
        names,
        ["off-7", "off-5", "off-3"],
        "seven are needed, and four of its own are in another zone"
    );
    let names: Vec<&str> = from.iter().map(|step| step.host.as_str()).collect();
    assert_eq!(names, ["a-2", "a-4", "a-6"], "unused hosts of the drained zone are switched off");
}

/// The platform takes ten seconds to move all hosts of a fleet. Pools without any work yet kept all
/// their hosts indefinitely; once work began, idle hosts of each pool in turn were switched off as
/// fast as the platform took orders, and bursts met pools without hosts.
#[test]
fn with_rate_limited_moves_a_pool_keeps_a_reserve_until_its_bursts_are_known() {
    let mut fleet =
        Fleet::default().with_pool("a", 500, 0).with_pool("b", 500, 0).with_pool("off", 0, 0);
    fleet.rate = 100.0;
    fleet.load("a").begun = false;
    fleet.load("b").begun = false;
    assert!(fleet.round(1000).is_empty());
    let moves = fleet.round(3000);
    let of =
        |moves: &[Move], name: &str| moves.iter().filter(|step| step.from.as_str() == name).count();
    assert_eq!((of(&moves, "a"), of(&moves, "b")), (250, 250), "half of each stays");
    let names: BTreeSet<&str> = moves[..2].iter().map(|step| step.from.as_str()).collect();
    assert_eq!(names.len(), 2, "alternating, so that the platform's rate limit affects all pools");
    fleet.apply(&moves);
    assert!(fleet.round(60_000).is_empty(), "however long it stays idle");
    fleet.load("a").begun = true;
    fleet.round(0);
    fleet.round(5000);
    let moves = fleet.round(5000);
    assert_eq!(
        (of(&moves, "a"), of(&moves, "b")),
        (125, 0),
        "ten of the twenty seconds were before any work"
    );
}

/// A pool's hosts were switched off three seconds after its burst and requested again by the next
/// one some ten seconds later: two moves each, and a burst that began without them.
#[test]
fn with_rate_limited_moves_hosts_stay_on_between_bursts() {
    let mut fleet = Fleet::default().with_pool("a", 500, 0).with_pool("off", 500, 0);
    fleet.rate = 100.0;
    let burst = |fleet: &mut Fleet, hosts: usize| {
        let load = fleet.load("a");
        load.need = hosts as u64 * CORES;
        for (place, worker) in load.workers.iter_mut().enumerate() {
            worker.used = if place < hosts { CORES } else { 0 };
        }
        let moves = fleet.round(1000);
        fleet.apply(&moves);
        moves.len()
    };
    let bursts = (0..120).map(|second| if second % 16 < 4 { 200 } else { 10 });
    let moved: usize = bursts.map(|hosts| burst(&mut fleet, hosts)).sum();
    assert_eq!(moved, 500 - 230, "hosts that no burst used are switched off once");
    let moved: usize = (0..30).map(|_| burst(&mut fleet, 10)).sum();
    assert_eq!(moved, 230 - 12, "past bursts expire");
}

/// After a power loss, or a crash of the process that balances hosts, the successor did not know
/// earlier bursts: it switched off their hosts and fetched them again for the next ones.
#[test]
fn a_successor_keeps_the_hosts_that_earlier_bursts_used() {
    let mut fleet = Fleet::default().with_pool("a", 300, 200 * CORES).with_pool("off", 700, 0);
    fleet.rate = 100.0;
    for worker in &mut fleet.load("a").workers[..200] {
        worker.used = CORES;
    }
    fleet.round(1000);
    let before = ClockPair { now: fleet.now, wall: Millis(50_000_000) };
    let record = serde_json::to_string(&fleet.balance.record(before)).unwrap();
    fleet.balance = Balance::new();
    // The successor's clock differs, and four seconds have passed.
    fleet.now = Tick(7_000_000);
    let after = ClockPair { now: fleet.now, wall: Millis(50_004_000) };
    fleet.balance.restore(&serde_json::from_str(&record).unwrap(), after);
    fleet.load("a").need = 0;
    fleet.load("a").begun = false;
    for worker in &mut fleet.load("a").workers {
        worker.used = 0;
    }
    fleet.round(500);
    let moves = fleet.round(3500);
    assert_eq!(moves.len(), 70, "200 and the margin stay");
    fleet.apply(&moves);
    assert!(fleet.round(21_000).is_empty());
    fleet.round(2000);
    assert_eq!(fleet.round(3000).len(), 227, "until 30 s after the burst");
}
