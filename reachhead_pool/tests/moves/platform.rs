//! A simulated store and host platform that loses and delays calls and checks the invariants.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    task::Poll,
};

use futures::future::{self, BoxFuture, FutureExt};
use reachhead_pool::budget::Budgets;
use reachhead_store::{
    Store, StoreError,
    memory::MemoryStore,
    platform::{DrainTag, HostStatus, Platform},
    row::{Commit, Key, Page, Row, Scan, Txn},
};
use reachhead_types::{
    id::HostId,
    pool::{BudgetRow, HostRow},
};
use serde::Deserialize;

use crate::{HOSTS, MAX_UNAVAILABLE, host_id, placements};

/// The fault that is injected into writes, both to the store and to the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// The call fails and has no effect.
    LostRequest,
    /// The call takes effect, but its caller gets an error.
    LostAnswer,
    /// The caller gets an error, and the call takes effect much later, as if the caller was paused.
    Delayed,
}

enum Call {
    Txn(Txn),
    Drain(HostId, DrainTag),
    Undrain(HostId, DrainTag),
    Reboot(HostId, DrainTag, u64),
}

struct Inner {
    fault: Fault,
    delayed: Vec<Call>,
    statuses: BTreeMap<HostId, HostStatus>,
    /// Violations of invariants that were found after transactions and reboots.
    violations: Vec<String>,
}

/// A store and the hosts of a platform, in memory.
pub struct SimulatedPlatform {
    store: MemoryStore,
    inner: Mutex<Inner>,
}

impl SimulatedPlatform {
    pub fn new() -> Arc<Self> {
        let status = HostStatus { is_up: true, drain: None, running: 0, boots: 0 };
        let statuses = (0..HOSTS).map(|number| (host_id(number), status.clone())).collect();
        let inner =
            Inner { fault: Fault::None, delayed: Vec::new(), statuses, violations: Vec::new() };
        Arc::new(Self { store: MemoryStore::new(), inner: Mutex::new(inner) })
    }

    /// Sets the fault that is injected into the next writes.
    pub fn set_fault(&self, fault: Fault) {
        self.inner.lock().unwrap().fault = fault;
    }

    /// Returns the status of a host.
    pub fn status_of(&self, host: &HostId) -> HostStatus {
        self.inner.lock().unwrap().statuses[host].clone()
    }

    /// Returns the hosts that are drained or down.
    pub fn leaving(&self) -> BTreeSet<HostId> {
        let inner = self.inner.lock().unwrap();
        let leaving =
            inner.statuses.iter().filter(|(_, status)| status.is_drained() || !status.is_up);
        leaving.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the violations of invariants found so far.
    pub fn violations(&self) -> Vec<String> {
        self.inner.lock().unwrap().violations.clone()
    }

    /// Writes a row without fault injection.
    pub fn write(&self, key: Key, value: serde_json::Value) {
        let txn = Txn::new().with_write(key, value);
        self.store.commit(txn).now_or_never().unwrap().unwrap();
    }

    /// Returns the value of a row.
    pub fn value(&self, key: &Key) -> Option<serde_json::Value> {
        let rows = self.store.read(vec![key.clone()]).now_or_never().unwrap().unwrap();
        rows.into_iter().next().flatten().map(|row| row.value)
    }

    fn execute(&self, call: Call) -> Commit {
        match call {
            Call::Txn(txn) => {
                let before = self.host_rows();
                let commit = self.store.commit(txn).now_or_never().unwrap().unwrap();
                self.check_hosts(&before, &self.host_rows());
                self.check_budgets();
                commit
            }
            Call::Drain(host, tag) => {
                self.inner.lock().unwrap().statuses.get_mut(&host).unwrap().drain = Some(tag);
                Commit::Conflict(Vec::new())
            }
            Call::Reboot(host, tag, boots) => {
                self.reboot_host(&host, &tag, boots);
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

    /// Reboots a host that is drained with `tag`, and records a violation if work was running on it
    /// or a budget did not permit it.
    fn reboot_host(&self, host: &HostId, tag: &DrainTag, boots: u64) {
        let budgets = self.budgets();
        let mut inner = self.inner.lock().unwrap();
        let status = inner.statuses.get_mut(host).unwrap();
        if status.drain.as_ref() != Some(tag) || status.boots != boots {
            return;
        }
        status.boots += 1;
        let is_empty = status.running == 0;
        let is_permitted = placements()
            .services_on(host)
            .all(|service| budgets.get(service).is_some_and(|budget| budget.held.contains(host)));
        if !is_empty || !is_permitted {
            inner
                .violations
                .push(format!("{host} was rebooted: empty {is_empty}, permitted {is_permitted}"));
        }
    }

    pub fn budgets(&self) -> Budgets {
        let row = |row: &Row| {
            let service = row.key.0.strip_prefix("budget/").unwrap().parse().unwrap();
            (service, BudgetRow::deserialize(&row.value).unwrap())
        };
        self.scan_all("budget/").iter().map(row).collect()
    }

    fn call(&self, call: Call) -> Result<Commit, StoreError> {
        let fault = self.inner.lock().unwrap().fault;
        match fault {
            Fault::None => Ok(self.execute(call)),
            Fault::LostRequest => Err(StoreError::Lost("before".to_owned())),
            Fault::LostAnswer => {
                self.execute(call);
                Err(StoreError::Lost("after".to_owned()))
            }
            Fault::Delayed => {
                self.inner.lock().unwrap().delayed.push(call);
                Err(StoreError::Lost("late".to_owned()))
            }
        }
    }

    /// Executes one of the delayed calls.
    pub fn deliver_delayed(&self, number: u8) {
        let call = {
            let delayed = &mut self.inner.lock().unwrap().delayed;
            (!delayed.is_empty()).then(|| delayed.remove(usize::from(number) % delayed.len()))
        };
        if let Some(call) = call {
            self.execute(call);
        }
    }

    pub fn host_rows(&self) -> BTreeMap<HostId, HostRow> {
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

    /// Records each budget that planned work alone exceeds, and each budget row that differs from
    /// the rows of the hosts.
    fn check_budgets(&self) {
        let (placements, rows) = (placements(), self.host_rows());
        for (service, budget) in self.budgets() {
            let spenders = rows.iter().filter(|(_, row)| row.spent.contains(&service));
            let spenders: BTreeSet<HostId> = spenders.map(|(id, _)| id.clone()).collect();
            let away = placements.count_unavailable(&service, &spenders, &BTreeSet::new());
            if away > MAX_UNAVAILABLE || budget.held != spenders {
                let held = budget.held;
                let text = format!("{service}: {away} away by {spenders:?}, held by {held:?}");
                self.inner.lock().unwrap().violations.push(text);
            }
        }
    }

    /// Records each host that changed its pool without being empty, or its epoch without changing
    /// its pool, and an index that differs from the rows.
    fn check_hosts(&self, before: &BTreeMap<HostId, HostRow>, after: &BTreeMap<HostId, HostRow>) {
        let mut inner = self.inner.lock().unwrap();
        for (id, row) in after {
            let Some(old) = before.get(id) else { continue };
            let has_moved = old.pool != row.pool;
            let status = &inner.statuses[id];
            if has_moved && (status.running > 0 || !status.is_drained()) {
                let text = format!("{id} moved while {status:?}");
                inner.violations.push(text);
            }
            if row.epoch.0 != old.epoch.0 + u64::from(has_moved) {
                inner.violations.push(format!("{id} went from {old:?} to {row:?}"));
            }
        }
        let indexed: Vec<String> = {
            let page = self.scan_all("pool-host/");
            page.into_iter().map(|row| row.key.0).collect()
        };
        let expected: BTreeSet<String> =
            after.iter().map(|(id, row)| format!("pool-host/{}/{id}", row.pool)).collect();
        if indexed.len() != expected.len() || !indexed.iter().all(|key| expected.contains(key)) {
            inner.violations.push(format!("the index has {indexed:?}, the rows {expected:?}"));
        }
    }

    pub fn set_up(&self, host: &HostId, is_up: bool) {
        self.inner.lock().unwrap().statuses.get_mut(host).unwrap().is_up = is_up;
    }

    pub fn set_running(&self, host: &HostId, running: u32) {
        let mut inner = self.inner.lock().unwrap();
        let status = inner.statuses.get_mut(host).unwrap();
        // A drained host accepts no new work, but finishes running work.
        status.running = if status.is_drained() { status.running.min(running) } else { running };
    }
}

/// Yields to the other controller once.
async fn yield_once() {
    let mut has_yielded = false;
    future::poll_fn(|context| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

impl Store for SimulatedPlatform {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move {
            yield_once().await;
            self.store.read(keys).await
        }
        .boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move {
            yield_once().await;
            self.store.scan(scan).await
        }
        .boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        async move {
            yield_once().await;
            self.call(Call::Txn(txn))
        }
        .boxed()
    }
}

impl Platform for SimulatedPlatform {
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
