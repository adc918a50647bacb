//! Controllers that are killed, paused, cut and wrong about each other: a host is in one pool.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::{
    executor::block_on,
    future::{self, BoxFuture, FutureExt},
};
use reachhead_pool::{
    controller::{Controller, Outlook, Terms},
    lease::Candidate,
};
use reachhead_property::properties;
use reachhead_store::{
    Store, StoreError,
    hosts::{self, HostError},
    keys,
    memory::MemoryStore,
    platform::{DrainTag, HostStatus, Platform},
    row::{Commit, Key, Page, Row, Scan, Txn},
};
use reachhead_types::{
    fleet::RowKey,
    id::{HostId, Incarnation, PoolName},
    member::MemberId,
    pool::{HostPhase, HostRow, Resources},
};
use serde::Deserialize;
use serde_json::json;

const CONTROLLERS: u8 = 3;
const POOLS: u8 = 3;
const HOSTS: u8 = 4;

/// Rounds in which everything must settle once nothing fails any more.
const SETTLE_ROUNDS: usize = 60;

fn pool(number: u8) -> PoolName {
    format!("p{}", number % POOLS).parse().unwrap()
}

fn host(number: u8) -> HostId {
    format!("h{}", number % HOSTS).parse().unwrap()
}

/// What becomes of the next writes, of the store and of the platform alike.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    LostBefore,
    LostAfter,
    /// It is carried out much later, when its caller has long given up: a pause in the middle.
    Late,
}

enum Call {
    Txn(Txn),
    Drain(HostId, DrainTag),
    Undrain(HostId, DrainTag),
}

struct Inner {
    fault: Fault,
    late: Vec<Call>,
    statuses: BTreeMap<HostId, HostStatus>,
    /// What a check of a transaction found wrong.
    wrong: Vec<String>,
}

/// The platform: its store and its hosts.
struct World {
    store: MemoryStore,
    inner: Mutex<Inner>,
}

impl World {
    fn new() -> Arc<Self> {
        let status = HostStatus { is_up: true, drain: None, running: 0, boots: 0 };
        let statuses = (0..HOSTS).map(|number| (host(number), status.clone())).collect();
        let inner = Inner { fault: Fault::None, late: Vec::new(), statuses, wrong: Vec::new() };
        Arc::new(Self { store: MemoryStore::new(), inner: Mutex::new(inner) })
    }

    fn carry_out(&self, call: Call) -> Commit {
        match call {
            Call::Txn(txn) => {
                let before = self.rows();
                let commit = self.store.commit(txn).now_or_never().unwrap().unwrap();
                self.check(&before, &self.rows());
                commit
            }
            Call::Drain(host, tag) => {
                self.inner.lock().unwrap().statuses.get_mut(&host).unwrap().drain = Some(tag);
                Commit::Conflict(Vec::new())
            }
            Call::Undrain(host, tag) => {
                let mut inner = self.inner.lock().unwrap();
                let status = inner.statuses.get_mut(&host).unwrap();
                status.drain = status.drain.take().filter(|drain| *drain != tag);
                Commit::Conflict(Vec::new())
            }
        }
    }

    fn call(&self, call: Call) -> Result<Commit, StoreError> {
        let fault = self.inner.lock().unwrap().fault;
        match fault {
            Fault::None => Ok(self.carry_out(call)),
            Fault::LostBefore => Err(StoreError::Lost("before".to_owned())),
            Fault::LostAfter => {
                self.carry_out(call);
                Err(StoreError::Lost("after".to_owned()))
            }
            Fault::Late => {
                self.inner.lock().unwrap().late.push(call);
                Err(StoreError::Lost("late".to_owned()))
            }
        }
    }

    fn deliver(&self, number: u8) {
        let call = {
            let late = &mut self.inner.lock().unwrap().late;
            (!late.is_empty()).then(|| late.remove(usize::from(number) % late.len()))
        };
        if let Some(call) = call {
            self.carry_out(call);
        }
    }

    fn rows(&self) -> BTreeMap<HostId, HostRow> {
        let page = self.scan_all("host/");
        let row = |row: &Row| {
            let id = row.key.0.strip_prefix("host/").unwrap().parse().unwrap();
            (id, HostRow::deserialize(&row.value).unwrap())
        };
        page.iter().map(row).collect()
    }

    fn scan_all(&self, prefix: &str) -> Vec<Row> {
        let scan = Scan { prefix: prefix.to_owned(), after: None, limit: 1000 };
        self.store.scan(scan).now_or_never().unwrap().unwrap().rows
    }

    /// Notes a host that changed its pool without being empty, or its epoch without changing its pool.
    fn check(&self, before: &BTreeMap<HostId, HostRow>, after: &BTreeMap<HostId, HostRow>) {
        let mut inner = self.inner.lock().unwrap();
        for (id, row) in after {
            let Some(old) = before.get(id) else { continue };
            let has_moved = old.pool != row.pool;
            let status = &inner.statuses[id];
            if has_moved && (status.running > 0 || !status.is_drained()) {
                let text = format!("{id} moved while {status:?}");
                inner.wrong.push(text);
            }
            if row.epoch.0 != old.epoch.0 + u64::from(has_moved) {
                inner.wrong.push(format!("{id} went from {old:?} to {row:?}"));
            }
        }
        let indexed: Vec<String> = {
            let page = self.scan_all("pool-host/");
            page.into_iter().map(|row| row.key.0).collect()
        };
        let expected: BTreeSet<String> =
            after.iter().map(|(id, row)| format!("pool-host/{}/{id}", row.pool)).collect();
        if indexed.len() != expected.len() || !indexed.iter().all(|key| expected.contains(key)) {
            inner.wrong.push(format!("the index has {indexed:?}, the rows {expected:?}"));
        }
    }

    fn set_running(&self, host: &HostId, running: u32) {
        let mut inner = self.inner.lock().unwrap();
        let status = inner.statuses.get_mut(host).unwrap();
        // A drained host takes no new work, but finishes what it has.
        status.running = if status.is_drained() { status.running.min(running) } else { running };
    }
}

impl Store for World {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        self.store.read(keys)
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        self.store.scan(scan)
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        future::ready(self.call(Call::Txn(txn))).boxed()
    }
}

impl Platform for World {
    fn status(
        &self,
        hosts: Vec<HostId>,
    ) -> BoxFuture<'_, Result<Vec<Option<HostStatus>>, StoreError>> {
        let inner = self.inner.lock().unwrap();
        let statuses = hosts.iter().map(|host| inner.statuses.get(host).cloned()).collect();
        future::ready(Ok(statuses)).boxed()
    }

    fn drain(&self, host: HostId, tag: DrainTag) -> BoxFuture<'_, Result<(), StoreError>> {
        future::ready(self.call(Call::Drain(host, tag)).map(drop)).boxed()
    }

    fn undrain(&self, host: HostId, tag: DrainTag) -> BoxFuture<'_, Result<(), StoreError>> {
        future::ready(self.call(Call::Undrain(host, tag)).map(drop)).boxed()
    }

    fn reboot(&self, _: HostId, _: DrainTag) -> BoxFuture<'_, Result<(), StoreError>> {
        future::ready(Err(StoreError::Refused("nobody reboots here".to_owned()))).boxed()
    }
}

/// An entry host with what it believes of the others.
struct Host {
    id: MemberId,
    controller: Controller,
    outlook: Outlook,
}

struct Fleet {
    world: Arc<World>,
    hosts: Vec<Host>,
    stays: u64,
    wanted: BTreeMap<HostId, PoolName>,
}

impl Fleet {
    fn new() -> Self {
        let world = World::new();
        for number in 0..POOLS {
            let key = keys::config(&RowKey::Pool(pool(number)));
            let txn = Txn::new().with_write(key, json!({}));
            world.store.commit(txn).now_or_never().unwrap().unwrap();
        }
        let mut wanted = BTreeMap::new();
        for number in 0..HOSTS {
            let row = HostRow {
                zone: "z".parse().unwrap(),
                rack: "r".parse().unwrap(),
                resources: Resources::default(),
                pool: pool(number),
                epoch: Default::default(),
                phase: HostPhase::Serving,
                want: None,
            };
            block_on(hosts::add(&*world, &host(number), &row)).unwrap();
            wanted.insert(host(number), pool(number));
        }
        let mut fleet = Self { world, hosts: Vec::new(), stays: 0, wanted };
        for number in 0..CONTROLLERS {
            let started = fleet.start(number);
            fleet.hosts.push(started);
        }
        for number in 0..CONTROLLERS {
            fleet.look(number, 0);
        }
        fleet
    }

    fn start(&mut self, number: u8) -> Host {
        self.stays += 1;
        let incarnation = Incarnation(self.stays);
        let id = MemberId { host: format!("e{number}").parse().unwrap(), incarnation };
        let store: Arc<dyn Store> = Arc::<World>::clone(&self.world);
        let platform: Arc<dyn Platform> = Arc::<World>::clone(&self.world);
        let terms = Terms { drain: Duration::ZERO, hand_over: Duration::ZERO };
        let controller = Controller::new(store, platform, terms);
        Host { id, controller, outlook: Outlook::default() }
    }

    /// Lets a host look at the list; the bits of `silent` are those that it takes for gone.
    fn look(&mut self, number: u8, silent: u8) {
        let candidate = |(index, host): (usize, &Host)| Candidate {
            id: host.id.clone(),
            is_silent: silent >> index & 1 == 1,
        };
        let candidates = self.hosts.iter().enumerate().map(candidate).collect();
        let inner = self.world.inner.lock().unwrap();
        let leaving = inner.statuses.iter().filter(|(_, status)| status.is_drained());
        let leaving = leaving.map(|(id, _)| id.clone()).collect();
        drop(inner);
        let host = &mut self.hosts[usize::from(number % CONTROLLERS)];
        host.outlook = Outlook {
            own: Some(host.id.clone()),
            candidates,
            pools: (0..POOLS).map(pool).collect(),
            leaving,
        };
    }

    fn round(&mut self, number: u8, fault: Fault) {
        self.world.inner.lock().unwrap().fault = fault;
        let host = &mut self.hosts[usize::from(number % CONTROLLERS)];
        let _ = block_on(host.controller.round(&host.outlook));
        self.world.inner.lock().unwrap().fault = Fault::None;
    }

    fn kill(&mut self, number: u8) {
        let number = number % CONTROLLERS;
        self.hosts[usize::from(number)] = self.start(number);
        self.look(number, 0);
    }

    fn want(&mut self, host: HostId, to: PoolName) {
        match block_on(hosts::want(&*self.world, &host, Some(&to))) {
            Ok(_) => drop(self.wanted.insert(host, to)),
            Err(HostError::Raced) => {}
            Err(error) => panic!("{error}"),
        }
    }

    fn act(&mut self, (kind, one, two): (u8, u8, u8)) {
        match kind % 16 {
            0 => self.kill(one),
            1 | 2 => self.want(host(one), pool(two)),
            3 => self.look(one, two),
            4 => self.world.deliver(one),
            5 => self.world.set_running(&host(one), u32::from(two % 2)),
            6 => self.world.set_running(&host(one), 0),
            7 => self.round(one, Fault::LostBefore),
            8 => self.round(one, Fault::LostAfter),
            9 | 10 => self.round(one, Fault::Late),
            11 => self.look(one, 0),
            _ => self.round(one, Fault::None),
        }
    }

    fn settle(&mut self) -> bool {
        for number in 0..=255 {
            self.world.deliver(number);
        }
        for number in 0..HOSTS {
            self.world.set_running(&host(number), 0);
        }
        for _ in 0..SETTLE_ROUNDS {
            for number in 0..CONTROLLERS {
                self.look(number, 0);
                self.round(number, Fault::None);
            }
        }
        let inner = self.world.inner.lock().unwrap();
        let is_settled = |(id, row): (HostId, HostRow)| {
            row.phase == HostPhase::Serving
                && row.pool == self.wanted[&id]
                && row.want.is_none()
                && !inner.statuses[&id].is_drained()
        };
        self.world.rows().into_iter().all(is_settled)
    }
}

properties! {
    fn a_host_is_in_one_pool_and_moves_only_when_empty(acts: Vec<(u8, u8, u8)>) -> bool {
        let mut fleet = Fleet::new();
        for act in acts {
            fleet.act(act);
        }
        let is_settled = fleet.settle();
        let wrong = &fleet.world.inner.lock().unwrap().wrong;
        if !is_settled || !wrong.is_empty() {
            eprintln!("settled: {is_settled}, wrong: {wrong:?}");
        }
        is_settled && wrong.is_empty()
    }

    fn the_preferred_owner_is_the_naive_one_and_few_pools_change_hands(count: u8, gone: u8) -> bool {
        use reachhead_pool::lease::{preferred, score};
        let count = count % 9 + 2;
        let mut candidates: Vec<Candidate> = (0..count)
            .map(|number| Candidate {
                id: MemberId { host: format!("e{number}").parse().unwrap(), incarnation: Incarnation(0) },
                is_silent: false,
            })
            .collect();
        let pools: Vec<PoolName> = (0..90).map(|number| format!("q{number}").parse().unwrap()).collect();
        let owners = |candidates: &[Candidate]| -> Vec<MemberId> {
            pools.iter().map(|pool| preferred(pool, candidates).unwrap().clone()).collect()
        };
        let before = owners(&candidates);
        let naive = pools.iter().map(|pool| {
            let mut best = &candidates[0].id;
            for candidate in &candidates {
                if score(&candidate.id, pool) > score(best, pool) {
                    best = &candidate.id;
                }
            }
            best.clone()
        });
        let is_naive = naive.eq(before.iter().cloned());
        let gone = usize::from(gone % count);
        candidates[gone].is_silent = true;
        let after = owners(&candidates);
        // Only what the one that is gone had changes hands.
        let is_kept = |(old, new): (&MemberId, &MemberId)| *old == candidates[gone].id || old == new;
        is_naive && before.iter().zip(&after).all(is_kept)
    }
}
