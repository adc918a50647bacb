//! Orders about hosts: their maintenance in waves and their moves. One process at a time is in charge of all hosts.

mod lives;
mod memory;
mod quotas;
mod waves;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use reachhead_jobs::{
    authority::PreviousHolder,
    clock::Tick,
    model::Configuration,
    ports::PlatformHost,
    record::{LeaseRecord, lease_key, value},
    wave::Wave,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{StoreError, row::Txn};
use reachhead_types::{
    id::{HostId, PoolName, WaveName},
    size::{FencingToken, Millis, Revision},
};
use tokio::{sync::mpsc, time};

use self::{
    lives::{Lives, OpenOrder},
    memory::Memory,
    waves::Held,
};
use crate::{
    claims,
    mandate::Authority,
    moves::Moves,
    node::Node,
    owner::{Input, OwnerHandle},
    view::{Heard, LeaseView},
};

/// How often waves and pools are looked at.
const ROUND: Duration = Duration::from_millis(100);

/// Returns how long the process gives no order after it took charge.
fn takeover_wait(node: &Node, before: Option<&LeaseView>) -> Millis {
    let Some(lease) = before else {
        return Millis(0);
    };
    let view = node.view();
    let owner = lease.record.owner.as_ref();
    let heard = owner.and_then(|owner| view.heard.get(owner));
    let denies =
        |heard: &&Heard| heard.pong.owned.get(&name()).is_none_or(|token| *token < lease.revision);
    let previous = PreviousHolder {
        record: &lease.record,
        since: lease.since,
        observed: view.leases_read.is_some_and(|first| lease.since > first),
        is_self: owner == Some(&node.settings.node),
        disclaimed_at: heard.filter(denies).map(|heard| heard.at),
    };
    let checked = node.settings.machines.is_none_or(|machines| machines.fenced);
    previous.takeover_wait(node.now(), node.settings.duty, checked)
}

/// Returns the name under which the lease of all hosts is kept; no pool of the platform begins so.
pub fn name() -> PoolName {
    match ".hosts".parse() {
        Ok(name) => name,
        Err(error) => unreachable!("a constant name: {error}"),
    }
}

/// Tells whether there is anything for an owner of all hosts to do.
pub fn is_wanted(node: &Node) -> bool {
    let limited = |config: &Arc<Configuration>| config.customers.has_quotas();
    node.services.machines.is_some() || node.view().config.as_ref().is_some_and(limited)
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
    let quiet = takeover_wait(&node, before.as_ref());
    let authority = Arc::new(Authority::new(Arc::clone(&node), name(), FencingToken(token.0)));
    let mut fleet = Fleet {
        begin: node.now() + quiet,
        node: Arc::clone(&node),
        token,
        term: lease.record.term,
        waves: BTreeMap::new(),
        machines: BTreeMap::new(),
        lives: Lives::new(Arc::clone(&node)),
        memory: Memory::default(),
        restarted: BTreeSet::new(),
        moves: Moves::new(Arc::clone(&node), Arc::clone(&authority)),
        authority,
        fenced: false,
    };
    tokio::spawn(quotas::run(Arc::clone(&fleet.node), token));
    fleet.run(inputs).await;
    claims::release(&node, &name(), token);
}

struct Fleet {
    node: Arc<Node>,
    token: Revision,
    term: u64,
    begin: Tick,
    waves: BTreeMap<WaveName, Held>,
    machines: BTreeMap<HostId, PlatformHost>,
    lives: Lives,
    memory: Memory,
    /// Hosts whose worker ended after an order, though the order was not answered yet.
    restarted: BTreeSet<HostId>,
    moves: Moves,
    authority: Arc<Authority>,
    fenced: bool,
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
        self.settle_lives().await;
        let names: Vec<WaveName> = self.waves.keys().cloned().collect();
        for wave in names {
            self.drive(&wave).await;
        }
        let remembers = self.moves.remembers(self.machines.len());
        if remembers {
            self.recall().await;
        }
        self.move_hosts().await;
        if remembers {
            self.remember().await;
        }
    }

    /// Finds out which workers orders have ended, and tells those who may wait for them.
    async fn settle_lives(&mut self) {
        let now = self.node.now();
        for host in self.lives.settle(&self.machines, self.moves.unreachable(), now) {
            if self.waves.values().any(|held| held.wave.is_due(&host)) {
                self.restarted.insert(host);
            }
        }
        self.lives.tell_owners(now).await;
    }

    async fn move_hosts(&mut self) {
        let waves: Vec<&Wave> = self.waves.values().map(|held| &held.wave).collect();
        let held = |host: &HostId| {
            self.lives.is_open(host) || waves.iter().any(|wave| wave.is_draining(host))
        };
        let moved = self.moves.round(&self.machines, held).await;
        for moved in moved {
            self.fenced |= moved.fenced;
            if let Some(worker) = moved.step.worker.filter(|_| moved.possible) {
                let order = OpenOrder { pool: moved.step.from, worker, maintenance: false };
                self.lives.ordered(&moved.step.host, order);
            }
        }
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

    async fn give_back(&self) {
        let record = LeaseRecord {
            owner: None,
            address: None,
            term: self.term,
            settled: true,
            unsettled_for: None,
        };
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
