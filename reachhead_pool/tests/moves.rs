//! Controllers that are killed, paused, cut and wrong about each other, with moves and waves under way:
//! a host is in one pool, and no budget is overspent by planned work.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    task::Poll,
    time::Duration,
};

use futures::{
    executor::block_on,
    future::{self, BoxFuture, FutureExt},
};
use reachhead_pool::{
    budget::{Budgets, Loads},
    controller::{Controller, Outlook, Terms},
    host,
    lease::Candidate,
};
use reachhead_property::{check, properties};
use reachhead_store::{
    Store, StoreError,
    hosts::{self, HostError},
    keys,
    memory::MemoryStore,
    platform::{DrainTag, HostStatus, Platform},
    row::{Commit, Key, Page, Row, Scan, Txn},
    waves::{self, WaveError},
};
use reachhead_types::{
    fleet::{Fleet, RowKey},
    id::{HostId, Incarnation, PoolName, WaveName},
    member::MemberId,
    pool::{BudgetRow, HostPhase, HostRow, Resources, WaveState},
    size::Version,
};
use serde::Deserialize;
use serde_json::{Value, json};

const CONTROLLERS: u8 = 3;
const POOLS: u8 = 3;
const HOSTS: u8 = 4;

/// Minions of a service that may be away at once.
const LIMIT: usize = 1;

/// Rounds in which everything must settle once nothing fails any more.
const SETTLE_ROUNDS: usize = 60;

fn pool(number: u8) -> PoolName {
    format!("p{}", number % POOLS).parse().unwrap()
}

fn host_id(number: u8) -> HostId {
    format!("h{}", number % HOSTS).parse().unwrap()
}

/// Returns the loads of two services: one with a minion on each host, one with a minion on two of them.
fn loads() -> Loads {
    let mut rows = vec![
        ("group/top".to_owned(), json!({})),
        ("pool/p0".to_owned(), json!({ "group": "top" })),
    ];
    for service in ["s0", "s1"] {
        let row = json!({ "group": "top", "pool": "p0", "max_unavailable": LIMIT });
        rows.push((format!("service/{service}"), row));
    }
    let minions = [("s0", 0), ("s0", 1), ("s0", 2), ("s0", 3), ("s1", 1), ("s1", 3)];
    for (service, number) in minions {
        let row = json!({
            "address": "127.0.0.1:1", "zone": "z", "host": host_id(number).to_string(),
        });
        rows.push((format!("minion/{service}/m{number}"), row));
    }
    let rows: BTreeMap<RowKey, Value> =
        rows.into_iter().map(|(key, value)| (key.parse().unwrap(), value)).collect();
    Loads::new(&Fleet::from_rows(Version(1), &rows).unwrap())
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
    Reboot(HostId, DrainTag, u64),
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
        let statuses = (0..HOSTS).map(|number| (host_id(number), status.clone())).collect();
        let inner = Inner { fault: Fault::None, late: Vec::new(), statuses, wrong: Vec::new() };
        Arc::new(Self { store: MemoryStore::new(), inner: Mutex::new(inner) })
    }

    fn carry_out(&self, call: Call) -> Commit {
        match call {
            Call::Txn(txn) => {
                let before = self.rows();
                let commit = self.store.commit(txn).now_or_never().unwrap().unwrap();
                self.check(&before, &self.rows());
                self.check_budgets();
                commit
            }
            Call::Drain(host, tag) => {
                self.inner.lock().unwrap().statuses.get_mut(&host).unwrap().drain = Some(tag);
                Commit::Conflict(Vec::new())
            }
            Call::Reboot(host, tag, boots) => {
                self.reboot_now(&host, &tag, boots);
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

    /// Reboots a host under its drain, and notes if it had work or was outside its budgets.
    fn reboot_now(&self, host: &HostId, tag: &DrainTag, boots: u64) {
        let budgets = self.budgets();
        let mut inner = self.inner.lock().unwrap();
        let status = inner.statuses.get_mut(host).unwrap();
        if status.drain.as_ref() != Some(tag) || status.boots != boots {
            return;
        }
        status.boots += 1;
        let is_empty = status.running == 0;
        let is_permitted = loads()
            .services_on(host)
            .all(|service| budgets.get(service).is_some_and(|budget| budget.held.contains(host)));
        if !is_empty || !is_permitted {
            inner
                .wrong
                .push(format!("{host} was rebooted: empty {is_empty}, permitted {is_permitted}"));
        }
    }

    fn budgets(&self) -> Budgets {
        let row = |row: &Row| {
            let service = row.key.0.strip_prefix("budget/").unwrap().parse().unwrap();
            (service, BudgetRow::deserialize(&row.value).unwrap())
        };
        self.scan_all("budget/").iter().map(row).collect()
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

    /// Notes a budget that planned work alone overspends, by the rows of the hosts, or that says
    /// something else than they.
    fn check_budgets(&self) {
        let (loads, rows) = (loads(), self.rows());
        for (service, budget) in self.budgets() {
            let spenders = rows.iter().filter(|(_, row)| row.spent.contains(&service));
            let spenders: BTreeSet<HostId> = spenders.map(|(id, _)| id.clone()).collect();
            let away = loads.away(&service, &spenders, &BTreeSet::new());
            if away > LIMIT || budget.held != spenders {
                let held = budget.held;
                let text = format!("{service}: {away} away by {spenders:?}, held by {held:?}");
                self.inner.lock().unwrap().wrong.push(text);
            }
        }
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

    fn set_up(&self, host: &HostId, is_up: bool) {
        self.inner.lock().unwrap().statuses.get_mut(host).unwrap().is_up = is_up;
    }

    fn set_running(&self, host: &HostId, running: u32) {
        let mut inner = self.inner.lock().unwrap();
        let status = inner.statuses.get_mut(host).unwrap();
        // A drained host takes no new work, but finishes what it has.
        status.running = if status.is_drained() { status.running.min(running) } else { running };
    }
}

/// Lets another controller go on first.
async fn pause() {
    let mut is_over = false;
    future::poll_fn(|context| {
        if is_over {
            return Poll::Ready(());
        }
        is_over = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

impl Store for World {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move {
            pause().await;
            self.store.read(keys).await
        }
        .boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move {
            pause().await;
            self.store.scan(scan).await
        }
        .boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        async move {
            pause().await;
            self.call(Call::Txn(txn))
        }
        .boxed()
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

    fn reboot(
        &self,
        host: HostId,
        tag: DrainTag,
        boots: u64,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        future::ready(self.call(Call::Reboot(host, tag, boots)).map(drop)).boxed()
    }
}

/// An entry host with what it believes of the others.
struct Host {
    id: MemberId,
    controller: Controller,
    outlook: Outlook,
}

struct Site {
    world: Arc<World>,
    hosts: Vec<Host>,
    stays: u64,
    wanted: BTreeMap<HostId, PoolName>,
}

impl Site {
    fn new() -> Self {
        let world = World::new();
        for number in 0..POOLS {
            let key = keys::config(&RowKey::Pool(pool(number)));
            let txn = Txn::new().with_write(key, json!({}));
            world.store.commit(txn).now_or_never().unwrap().unwrap();
        }
        let mut wanted = BTreeMap::new();
        for number in 0..HOSTS {
            let (zone, rack) = ("z".parse().unwrap(), "r".parse().unwrap());
            let row = HostRow::new(zone, rack, Resources::default(), pool(number));
            block_on(hosts::add(&*world, &host_id(number), &row)).unwrap();
            wanted.insert(host_id(number), pool(number));
        }
        let mut site = Self { world, hosts: Vec::new(), stays: 0, wanted };
        for number in 0..CONTROLLERS {
            let started = site.start(number);
            site.hosts.push(started);
        }
        for number in 0..CONTROLLERS {
            site.look(number, 0);
        }
        site
    }

    fn start(&mut self, number: u8) -> Host {
        self.stays += 1;
        let incarnation = Incarnation(self.stays);
        let id = MemberId { host: format!("e{number}").parse().unwrap(), incarnation };
        let store: Arc<dyn Store> = Arc::<World>::clone(&self.world);
        let platform: Arc<dyn Platform> = Arc::<World>::clone(&self.world);
        let terms = Terms {
            drain: Duration::ZERO,
            hand_over: Duration::ZERO,
            confirm: Duration::ZERO,
            batch: 3,
        };
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
        let leaving =
            inner.statuses.iter().filter(|(_, status)| status.is_drained() || !status.is_up);
        let leaving = leaving.map(|(id, _)| id.clone()).collect();
        drop(inner);
        let host = &mut self.hosts[usize::from(number % CONTROLLERS)];
        host.outlook = Outlook {
            own: Some(host.id.clone()),
            candidates,
            pools: (0..POOLS).map(pool).collect(),
            leaving,
            loads: Arc::new(loads()),
        };
    }

    fn round(&mut self, number: u8, fault: Fault) {
        self.world.inner.lock().unwrap().fault = fault;
        let host = &mut self.hosts[usize::from(number % CONTROLLERS)];
        let _ = block_on(host.controller.round(&host.outlook));
        self.world.inner.lock().unwrap().fault = Fault::None;
    }

    /// Lets two controllers do a round at once, call by call in turn.
    fn race(&mut self, one: u8, two: u8) {
        let (one, two) = (one % CONTROLLERS, two % CONTROLLERS);
        let (first, second) = (one.min(two), one.max(two));
        if first == second {
            return;
        }
        let (left, right) = self.hosts.split_at_mut(usize::from(second));
        let (first, second) = (&mut left[usize::from(first)], &mut right[0]);
        let _ = block_on(future::join(
            first.controller.round(&first.outlook),
            second.controller.round(&second.outlook),
        ));
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

    fn wave(&mut self, number: u8, name: u8) {
        let name: WaveName = format!("wave-{}", name % 4).parse().unwrap();
        match block_on(waves::start(&*self.world, &pool(number), &name)) {
            Ok(()) | Err(WaveError::Busy(..) | WaveError::Cancelled(_)) => {}
            Err(error) => panic!("{error}"),
        }
    }

    fn set_wave(&mut self, number: u8, state: u8) {
        let states = [WaveState::Running, WaveState::Paused, WaveState::Cancelled];
        let state = states[usize::from(state) % states.len()];
        if let Some(row) = block_on(waves::of_pool(&*self.world, &pool(number))).unwrap() {
            let _ = block_on(waves::set_state(&*self.world, &pool(number), &row.name, state));
        }
    }

    fn act(&mut self, (kind, one, two): (u8, u8, u8)) {
        match kind % 24 {
            20.. => self.race(one, two),
            16 => self.wave(one, two),
            17 => self.set_wave(one, two),
            18 => self.world.set_up(&host_id(one), two % 2 == 0),
            19 => self.world.set_up(&host_id(one), true),
            0 => self.kill(one),
            1 | 2 => self.want(host_id(one), pool(two)),
            3 => self.look(one, two),
            4 => self.world.deliver(one),
            5 => self.world.set_running(&host_id(one), u32::from(two % 2)),
            6 => self.world.set_running(&host_id(one), 0),
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
            self.world.set_running(&host_id(number), 0);
            self.world.set_up(&host_id(number), true);
        }
        for _ in 0..SETTLE_ROUNDS {
            for number in 0..CONTROLLERS {
                self.look(number, 0);
                self.round(number, Fault::None);
            }
        }
        let is_spent = self.world.budgets().values().any(|budget| !budget.held.is_empty());
        let is_settled = |(id, row): (HostId, HostRow)| {
            let wave = block_on(waves::of_pool(&*self.world, &row.pool)).unwrap();
            let is_due = wave.is_some_and(|wave| host::is_due(&row, &wave));
            let status = self.world.inner.lock().unwrap().statuses[&id].clone();
            row.phase == HostPhase::Serving
                && row.pool == self.wanted[&id]
                && row.want.is_none()
                && row.wave.is_none()
                && !is_due
                && !status.is_drained()
        };
        !is_spent && self.world.rows().into_iter().all(is_settled)
    }
}

/// Walks of random acts; two pools that spend the same budget at once are rare among them.
const WALKS: u64 = 400;

#[test]
fn a_host_is_in_one_pool_and_planned_work_keeps_every_budget() {
    fn walk(acts: Vec<(u8, u8, u8)>) -> bool {
        let mut site = Site::new();
        for act in acts {
            site.act(act);
        }
        let is_settled = site.settle();
        let wrong = &site.world.inner.lock().unwrap().wrong;
        if !is_settled || !wrong.is_empty() {
            eprintln!("settled: {is_settled}, wrong: {wrong:?}");
        }
        is_settled && wrong.is_empty()
    }
    check("a_host_is_in_one_pool", WALKS, walk as fn(Vec<(u8, u8, u8)>) -> bool);
}

properties! {
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
