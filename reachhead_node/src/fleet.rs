//! Orders about hosts: maintenance in waves. One process at a time is in charge of all hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use futures::future::join_all;
use reachhead_jobs::{
    authority::Predecessor,
    clock::Tick,
    lives::{self, Deserted},
    pool::{Haste, Vacancy},
    ports::{Machine, MachineError, MachineState},
    record::{LeaseRecord, lease_key, value},
    wave::{Wave, WaveOrder, WaveRecord},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    row::{Commit, Key, Txn},
};
use reachhead_types::{
    id::{HostId, PoolName, WaveName, WorkerId},
    size::{FencingToken, Millis, Revision},
};
use tokio::{sync::mpsc, time};

use crate::{
    claims,
    frontend::ask_pool,
    mandate::Authority,
    moves::Moves,
    node::Node,
    owner::{Input, OwnerHandle},
    peer::{PoolAsk, Reply},
    view::{Heard, LeaseView},
};

/// How often waves and pools are looked at.
const ROUND: Duration = Duration::from_millis(100);

/// How long successors of a pool's owner are told that a life of a worker is over: longer than they would wait
/// for its leases to lapse.
const BURIED_TIME: Millis = Millis(12_000);

/// Returns how long the process gives no order after it took charge.
fn quiet_time(node: &Node, before: Option<&LeaseView>) -> Millis {
    let Some(lease) = before else {
        return Millis(0);
    };
    let view = node.view();
    let owner = lease.record.owner.as_ref();
    let heard = owner.and_then(|owner| view.heard.get(owner));
    let denies =
        |heard: &&Heard| heard.pong.owned.get(&name()).is_none_or(|token| *token < lease.revision);
    let predecessor = Predecessor {
        record: &lease.record,
        since: lease.since,
        observed: view.leases_read.is_some_and(|first| lease.since > first),
        own: owner == Some(&node.settings.node),
        denied: heard.filter(denies).map(|heard| heard.at),
    };
    let checked = node.settings.machines.is_none_or(|machines| machines.fenced);
    predecessor.quiet_time(node.now(), node.settings.duty, checked)
}

/// Returns the name under which the lease of all hosts is kept; no pool of the platform begins so.
pub fn name() -> PoolName {
    match ".hosts".parse() {
        Ok(name) => name,
        Err(error) => unreachable!("a constant name: {error}"),
    }
}

fn wave_key(wave: &WaveName) -> Key {
    Key(format!("wave/{}/{wave}", name()))
}

/// Carries out waves until the lease is lost or given back.
pub async fn run(
    node: Arc<Node>,
    handle: OwnerHandle,
    inputs: mpsc::UnboundedReceiver<Input>,
    lease: LeaseView,
    before: Option<LeaseView>,
) {
    let token = handle.token;
    emit(
        Event::LeaseTaken,
        format_args!("pool={} token={token} term={}", name(), lease.record.term),
    );
    let quiet = quiet_time(&node, before.as_ref());
    let authority = Arc::new(Authority::new(Arc::clone(&node), name(), FencingToken(token.0)));
    let mut fleet = Fleet {
        begin: node.now() + quiet,
        node: Arc::clone(&node),
        token,
        term: lease.record.term,
        waves: BTreeMap::new(),
        machines: BTreeMap::new(),
        victims: BTreeMap::new(),
        buried: Vec::new(),
        reborn: BTreeSet::new(),
        moves: Moves::new(Arc::clone(&node), Arc::clone(&authority)),
        authority,
        fenced: false,
    };
    fleet.run(inputs).await;
    claims::release(&node, &name(), token);
}

struct Held {
    wave: Wave,
    revision: Option<Revision>,
}

/// A host that is ordered down.
struct Taken {
    host: HostId,
    vacancy: Vacancy,
    /// No earlier order about it is open.
    first: bool,
}

struct Fleet {
    node: Arc<Node>,
    token: Revision,
    term: u64,
    begin: Tick,
    waves: BTreeMap<WaveName, Held>,
    machines: BTreeMap<HostId, Machine>,
    /// The lives of workers whose hosts were ordered down, until the platform's list lacks them.
    victims: BTreeMap<HostId, Victim>,
    /// Lives that are over, until no owner can wait for them any more.
    buried: Vec<Buried>,
    /// Hosts whose worker ended after an order, though the order was not answered yet.
    reborn: BTreeSet<HostId>,
    moves: Moves,
    authority: Arc<Authority>,
    fenced: bool,
}

/// A life of a worker that is over by an order about its host.
struct Buried {
    pool: PoolName,
    worker: WorkerId,
    at: Tick,
    /// The lease of the owner that was told.
    told: Option<Revision>,
}

/// A life of a worker that an order about its host ends, if the order has effect.
struct Victim {
    pool: PoolName,
    worker: WorkerId,
    /// The order was for maintenance, not for a move.
    maintenance: bool,
}

impl Fleet {
    async fn run(&mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut pause = Duration::ZERO;
        while !self.fenced && self.in_charge() {
            match time::timeout(std::mem::replace(&mut pause, ROUND), inputs.recv()).await {
                Ok(Some(Input::Release(done))) => {
                    self.give_back().await;
                    let _ = done.send(());
                    return;
                }
                Ok(None) => return,
                Ok(Some(_)) => continue,
                Err(_) => {}
            }
            if self.node.now() >= self.begin {
                self.round().await;
            }
        }
    }

    fn in_charge(&self) -> bool {
        let view = self.node.view();
        let named = view.leases.get(&name()).is_none_or(|lease| lease.revision <= self.token);
        named && !self.authority.is_lost()
    }

    async fn round(&mut self) {
        self.find_waves().await;
        self.waves.retain(|_, held| !held.wave.record.completed);
        if !self.read_machines().await {
            return;
        }
        self.bury().await;
        let names: Vec<WaveName> = self.waves.keys().cloned().collect();
        for wave in names {
            self.drive(&wave).await;
        }
        self.move_hosts().await;
    }

    async fn move_hosts(&mut self) {
        let waves: Vec<&Wave> = self.waves.values().map(|held| &held.wave).collect();
        let held = |host: &HostId| {
            self.victims.contains_key(host) || waves.iter().any(|wave| wave.is_emptying(host))
        };
        let moved = self.moves.round(&self.machines, held).await;
        for moved in moved {
            self.fenced |= moved.fenced;
            if let Some(worker) = moved.step.worker.filter(|_| moved.possible) {
                let victim = Victim { pool: moved.step.from, worker, maintenance: false };
                self.victims.insert(moved.step.host, victim);
            }
        }
    }

    /// Takes over waves that operators asked for and that are not completed.
    async fn find_waves(&mut self) {
        let orders: Vec<WaveOrder> = self.node.view().waves.values().cloned().collect();
        for order in orders {
            if self.waves.contains_key(&order.name) || self.is_completed(&order.name) {
                continue;
            }
            let rows = self.node.services.store.read(vec![wave_key(&order.name)]).await;
            self.node.note_store(&rows);
            let row = match rows {
                Ok(rows) => rows.into_iter().flatten().next(),
                Err(error) => {
                    log::info!("wave={} its row can't be read: {error}", order.name);
                    continue;
                }
            };
            let record = match row.as_ref().map(|row| row.parse::<WaveRecord>()).transpose() {
                Ok(record) => record.unwrap_or_default(),
                Err(error) => {
                    emit(Event::RowRefused, error);
                    continue;
                }
            };
            emit(
                Event::WaveChanged,
                format_args!(
                    "wave={} hosts={} begun={} within={}ms most={}",
                    order.name,
                    order.hosts.len(),
                    record.begun.len(),
                    order.within,
                    order.most
                ),
            );
            if record.completed {
                self.node.view().waves.remove(&order.name);
                continue;
            }
            let wave = Wave::new(order.clone(), record, self.node.now());
            let held = Held { wave, revision: row.map(|row| row.revision) };
            self.waves.insert(order.name.clone(), held);
            self.save(&order.name).await;
        }
    }

    fn is_completed(&self, wave: &WaveName) -> bool {
        self.waves.get(wave).is_some_and(|held| held.wave.record.completed)
    }

    async fn read_machines(&mut self) -> bool {
        let Some(machines) = &self.node.services.machines else {
            return false;
        };
        match machines.list().await {
            Ok(list) => {
                self.machines =
                    list.into_iter().map(|machine| (machine.host.clone(), machine)).collect();
                true
            }
            Err(error) => {
                log::info!("the hosts can't be listed: {error}");
                false
            }
        }
    }

    /// Tells the owners of pools which workers are over. Only the list proves it: an order is also
    /// answered with success when it had been carried out before, and the host has a new life since.
    async fn bury(&mut self) {
        let over = |host: &HostId, victim: &Victim| {
            self.machines.get(host).is_none_or(|machine| {
                machine.state != MachineState::Up || machine.worker.as_ref() != Some(&victim.worker)
            })
        };
        let hosts: Vec<HostId> = self
            .victims
            .iter()
            .filter(|(host, victim)| over(host, victim))
            .map(|(host, _)| host.clone())
            .collect();
        let now = self.node.now();
        self.bury_deserted(now);
        for host in hosts {
            if let Some(victim) = self.victims.remove(&host) {
                let due = self.waves.values().any(|held| held.wave.is_due(&host));
                if due && victim.maintenance {
                    self.reborn.insert(host);
                }
                let Victim { pool, worker, .. } = victim;
                self.buried.push(Buried { pool, worker, at: now, told: None });
            }
        }
        self.tell_owners(now).await;
    }

    /// Notes which workers that nobody answers for are over; the list was read after the last round of moves.
    fn bury_deserted(&mut self, now: Tick) {
        for ended in lives::ended(self.moves.deserted(), &self.machines) {
            if self.buried.iter().any(|buried| buried.worker == ended.worker) {
                continue;
            }
            let Deserted { pool, worker } = ended.clone();
            self.buried.push(Buried { pool, worker, at: now, told: None });
        }
    }

    /// Tells the owners of pools of the lives that are over, and their successors once more: who takes a pool
    /// over would wait for a worker's answer until its leases have lapsed.
    async fn tell_owners(&mut self, now: Tick) {
        self.buried.retain(|buried| now.since(buried.at) < BURIED_TIME);
        let node = Arc::clone(&self.node);
        let lease = |pool: &PoolName| node.view().leases.get(pool).map(|lease| lease.revision);
        let mut news: BTreeMap<PoolName, Vec<WorkerId>> = BTreeMap::new();
        for buried in &self.buried {
            if buried.told != lease(&buried.pool) {
                news.entry(buried.pool.clone()).or_default().push(buried.worker.clone());
            }
        }
        let asks = news.into_iter().map(|(pool, workers)| async {
            let current = lease(&pool)?;
            ask_pool(&node, &pool, PoolAsk::Over(workers)).await?;
            Some((pool, current))
        });
        let told: BTreeMap<PoolName, Revision> =
            join_all(asks).await.into_iter().flatten().collect();
        for buried in &mut self.buried {
            if let Some(revision) = told.get(&buried.pool) {
                buried.told = Some(*revision);
            }
        }
    }

    async fn drive(&mut self, name: &WaveName) {
        let now = self.node.now();
        let Some(held) = self.waves.get_mut(name) else {
            return;
        };
        let step = held.wave.next(&self.machines, now);
        let mut changed = !step.gone.is_empty();
        for host in &step.gone {
            held.wave.begun(host);
        }
        changed |= self.take_hosts(name, step.vacate).await;
        let done = self.waves.get(name).is_some_and(|held| held.wave.is_done());
        if changed || done {
            self.save(name).await;
        }
    }

    /// Empties hosts and orders them down as far as that may be; tells whether the maintenance of any
    /// has begun.
    async fn take_hosts(&mut self, name: &WaveName, hosts: Vec<HostId>) -> bool {
        let mut machines: Vec<Machine> = Vec::new();
        for host in &hosts {
            machines.extend(self.machines.get(host).cloned());
        }
        // A host whose worker ended after an order was taken down by it, most likely: the order is
        // repeated only for its answer.
        let now = self.node.now();
        let haste = |host: &HostId| {
            let held = self.waves.get(name);
            held.map_or(Haste::Wait, |held| held.wave.haste(host, now))
        };
        let vacancies = join_all(machines.iter().map(|machine| async {
            if self.reborn.contains(&machine.host) {
                Vacancy::Empty
            } else {
                self.vacancy(machine, haste(&machine.host)).await
            }
        }))
        .await;
        let now = self.node.now();
        let mut taken: Vec<Taken> = Vec::new();
        for (machine, vacancy) in machines.into_iter().zip(vacancies) {
            let Some(held) = self.waves.get_mut(name) else {
                return false;
            };
            if !held.wave.may_take(vacancy, &self.machines) {
                if let Some(waited) = held.wave.note_held(&machine.host, now) {
                    emit(
                        Event::HostHeld,
                        format_args!(
                            "wave={name} host={} pool={} worker={:?} vacancy={vacancy:?} for={waited}ms",
                            machine.host, machine.pool, machine.worker
                        ),
                    );
                }
                continue;
            }
            held.wave.ordered(&machine.host, now);
            let first = !self.victims.contains_key(&machine.host);
            if let Some(worker) = machine.worker.filter(|_| first) {
                let victim = Victim { pool: machine.pool, worker, maintenance: true };
                self.victims.insert(machine.host.clone(), victim);
            }
            taken.push(Taken { host: machine.host, vacancy, first });
        }
        let Some(api) = self.node.services.machines.clone() else {
            return false;
        };
        let authority = &self.authority;
        let orders = taken.iter().map(|taken| async {
            match authority.mandate().await {
                Some(mandate) => api.maintain(mandate, taken.host.clone(), name.clone()).await,
                None => Err(MachineError::NotDone("the lease is not confirmed".to_owned())),
            }
        });
        let results = join_all(orders).await;
        let mut begun = false;
        for (taken, result) in taken.iter().zip(results) {
            begun |= self.ordered(name, taken, result);
        }
        begun
    }

    /// Takes in what came of an order; tells whether the host's maintenance has begun.
    fn ordered(
        &mut self,
        name: &WaveName,
        taken: &Taken,
        result: Result<(), MachineError>,
    ) -> bool {
        let Taken { host, vacancy, first } = taken;
        emit(
            Event::HostOrdered,
            format_args!(
                "wave={name} host={host} vacancy={vacancy:?} token={} {result:?}",
                self.token
            ),
        );
        let Some(held) = self.waves.get_mut(name) else {
            return false;
        };
        match result {
            Ok(()) | Err(MachineError::Unknown | MachineError::Foreign) => {
                held.wave.begun(host);
                self.reborn.remove(host);
                true
            }
            Err(MachineError::Fenced) => {
                self.fenced = true;
                false
            }
            Err(MachineError::Busy | MachineError::NotDone(_)) => {
                held.wave.not_taken(host);
                if *first {
                    self.victims.remove(host);
                }
                false
            }
            // The order may have had effect; it is repeated, and then it says so.
            Err(MachineError::Lost(_)) => false,
        }
    }

    async fn vacancy(&self, machine: &Machine, haste: Haste) -> Vacancy {
        let Some(worker) = &machine.worker else {
            return Vacancy::Empty;
        };
        let ask = PoolAsk::Vacate(worker.clone(), haste);
        match ask_pool(&self.node, &machine.pool, ask).await {
            Some(Reply::Vacancy(vacancy)) => vacancy,
            // Without the pool's owner nobody knows what is there.
            _ => Vacancy::Protected,
        }
    }

    /// Records a wave and tells operators how far it is.
    async fn save(&mut self, wave: &WaveName) {
        let Some(held) = self.waves.get_mut(wave) else {
            return;
        };
        let done = held.wave.is_done();
        let record = WaveRecord { completed: done, ..held.wave.record.clone() };
        let key = wave_key(wave);
        let txn = Txn::new()
            .with_check(lease_key(&name()), Some(self.token))
            .with_check(key.clone(), held.revision)
            .with_write(key.clone(), value(&record));
        let result = self.node.services.store.commit(txn).await;
        self.node.note_store(&result);
        match result {
            Ok(Commit::Done(revision)) => {
                held.revision = Some(revision);
                if self.tell(wave, done).await {
                    self.finish(wave, done);
                }
            }
            Ok(Commit::Conflict(conflicts)) => {
                for conflict in conflicts {
                    let found = conflict.row.map(|row| row.revision);
                    if conflict.key == key {
                        held.revision = found;
                    } else {
                        self.fenced = true;
                    }
                }
            }
            Err(error) => emit(Event::RecordFailed, format_args!("wave={wave} {error}")),
        }
    }

    fn finish(&mut self, wave: &WaveName, done: bool) {
        if !done {
            return;
        }
        emit(Event::WaveChanged, format_args!("wave={wave} completed"));
        if let Some(held) = self.waves.get_mut(wave) {
            held.wave.record.completed = true;
        }
        self.node.view().waves.remove(wave);
    }

    async fn tell(&self, wave: &WaveName, done: bool) -> bool {
        let write = self.node.services.dialect.wave_status(wave, done);
        let mut txn = Txn::new();
        txn.writes.push(write);
        match self.node.services.store.commit(txn).await {
            Ok(_) => true,
            Err(error) => {
                emit(Event::RecordFailed, format_args!("wave={wave} status: {error}"));
                false
            }
        }
    }

    async fn give_back(&self) {
        let record = LeaseRecord { owner: None, term: self.term, settled: true };
        let txn = Txn::new()
            .with_check(lease_key(&name()), Some(self.token))
            .with_write(lease_key(&name()), value(&record));
        match self.node.services.store.commit(txn).await {
            Ok(_) => {}
            Err(
                StoreError::Lost(error)
                | StoreError::NotDone(error)
                | StoreError::Busy(error)
                | StoreError::Refused(error),
            ) => {
                emit(Event::RecordFailed, format_args!("pool={} {error}", name()));
            }
        }
    }
}
