//! Carries out maintenance waves: drains hosts, orders their maintenance, and records which hosts
//! have begun.

use futures::future::join_all;
use reachhead_jobs::{
    dead_workers::OpenOrder,
    pool::{DrainMode, DrainProgress},
    ports::{HostOrderError, PlatformHost},
    record::{lease_key, value},
    wave::{Wave, WaveOrder, WaveRecord},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::row::{Commit, Key, Txn};
use reachhead_types::{
    boot_instant::BootInstant,
    id::{HostId, WaveName},
    size::Revision,
};

use super::{Fleet, name};
use crate::{
    owner_call::call_pool_owner,
    peer::{PeerReply, PoolRequest},
};

/// A wave that this process carries out.
pub(super) struct ActiveWave {
    pub(super) wave: Wave,
    /// The revision of the wave's row, if there is one.
    pub(super) revision: Option<Revision>,
    /// Whether the status that operators see says completed, if this process has written it.
    reported: Option<bool>,
}

/// A host whose maintenance is being ordered.
struct OrderedHost {
    host: HostId,
    progress: DrainProgress,
    /// An earlier order of the wave for the host may still be carried out.
    repeated: bool,
    /// No earlier order about the host is open.
    first: bool,
}

fn wave_key(wave: &WaveName) -> Key {
    Key(format!("wave/{}/{wave}", name()))
}

impl Fleet {
    /// Loads waves that operators requested and that are not completed.
    pub(super) async fn load_waves(&mut self) {
        let orders: Vec<WaveOrder> = self.node.view().waves.values().cloned().collect();
        for order in orders {
            if self.waves.contains_key(&order.name) || self.is_completed(&order.name) {
                continue;
            }
            let rows = self.node.services.store.read(vec![wave_key(&order.name)]).await;
            self.node.record_store_result(&rows);
            let row = match rows {
                Ok(rows) => rows.into_iter().flatten().next(),
                Err(error) => {
                    log::info!("wave={} the row can't be read: {error}", order.name);
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
                    "wave={} hosts={} begun={} slots={:?} within={}ms most={}",
                    order.name,
                    order.hosts.len(),
                    record.begun.len(),
                    record.slots,
                    order.within,
                    order.max_down
                ),
            );
            if record.completed {
                // The owner that recorded this may have been lost before it wrote the status.
                if self.write_status(&order.name, true).await {
                    self.node.view().waves.remove(&order.name);
                }
                continue;
            }
            let wave = Wave::new(order.clone(), record, self.node.now());
            let revision = row.map(|row| row.revision);
            let active = ActiveWave { wave, revision, reported: None };
            self.waves.insert(order.name.clone(), active);
            self.save(&order.name).await;
        }
    }

    fn is_completed(&self, wave: &WaveName) -> bool {
        self.waves.get(wave).is_some_and(|active| active.wave.record.completed)
    }

    /// Takes the next hosts of a wave, and records its progress if that has changed.
    pub(super) async fn advance_wave(&mut self, name: &WaveName) {
        let now = self.node.now();
        let Some(active) = self.waves.get_mut(name) else {
            return;
        };
        let step = active.wave.next(&self.platform_hosts, self.listed_at, now);
        for host in &step.missing {
            active.wave.record_gone(host);
        }
        let hosts = self.drain_hosts(name, step.to_drain).await;
        let ordered = self.reserve_slots(name, hosts).await;
        self.order_maintenance(name, ordered).await;
        let has_changed = |active: &ActiveWave| !step.missing.is_empty() || active.wave.is_done();
        if self.waves.get(name).is_some_and(has_changed) {
            self.save(name).await;
        }
    }

    /// Drains hosts, and returns them with the progress.
    async fn drain_hosts(
        &self,
        name: &WaveName,
        hosts: Vec<HostId>,
    ) -> Vec<(HostId, DrainProgress)> {
        let now = self.node.now();
        let mode = |host: &HostId| {
            let active = self.waves.get(name);
            active.map_or(DrainMode::Graceful, |active| active.wave.drain_mode(host, now))
        };
        let drains = hosts.into_iter().map(|host| async {
            // A host whose worker ended after an order was most likely taken down by it: the order is
            // repeated only for its answer.
            let progress = match self.platform_hosts.get(&host) {
                Some(platform_host) if !self.ended_hosts.contains(&host) => {
                    self.request_drain(platform_host, mode(&host)).await
                }
                _ => DrainProgress::Empty,
            };
            (host, progress)
        });
        join_all(drains).await
    }

    /// Takes slots for drained hosts, and stores them. Without the store no host is taken, also if the
    /// wave is late: another process may have replaced this one. Returns the hosts to order down.
    async fn reserve_slots(
        &mut self,
        name: &WaveName,
        hosts: Vec<(HostId, DrainProgress)>,
    ) -> Vec<OrderedHost> {
        let now = self.node.now();
        let mut ordered: Vec<OrderedHost> = Vec::new();
        let Some(active) = self.waves.get_mut(name) else {
            return ordered;
        };
        for (host, progress) in hosts {
            let repeated = active.wave.is_open(&host);
            if active.wave.reserve(&host, progress, &self.platform_hosts) {
                let first = !self.ended_workers.is_open(&host);
                ordered.push(OrderedHost { host, progress, repeated, first });
                continue;
            }
            let listed = self.platform_hosts.get(&host);
            if let Some(waited) = active.wave.record_held(&host, now)
                && let Some(PlatformHost { pool, worker, .. }) = listed
            {
                let taken = active.wave.taken_slots();
                emit(
                    Event::HostHeld,
                    format_args!(
                        "wave={name} host={host} pool={pool} worker={worker:?} vacancy={progress:?} slots={taken} for={waited}ms"
                    ),
                );
            }
        }
        if ordered.iter().all(|host| host.repeated) || self.save(name).await {
            return ordered;
        }
        if let Some(active) = self.waves.get_mut(name) {
            for host in ordered.iter().filter(|host| !host.repeated) {
                active.wave.record_not_taken(&host.host);
            }
        }
        ordered.retain(|host| host.repeated);
        ordered
    }

    /// Orders the maintenance of hosts that have slots.
    async fn order_maintenance(&mut self, name: &WaveName, ordered: Vec<OrderedHost>) {
        let Some(api) = self.node.services.hosts.clone() else {
            return;
        };
        if self.fenced {
            return;
        }
        for OrderedHost { host, .. } in ordered.iter().filter(|host| host.first) {
            if let Some(platform_host) = self.platform_hosts.get(host)
                && let Some(worker) = platform_host.worker.clone()
            {
                let incarnation = self.registered_incarnation(worker);
                let pool = platform_host.pool.clone();
                let order = OpenOrder { pool, incarnation, maintenance: true };
                self.ended_workers.record_order(host, order);
            }
        }
        let permit_issuer = &self.permit_issuer;
        let orders = ordered.iter().map(|ordered_host| async {
            match permit_issuer.permit().await {
                Some(permit) => api.maintain(permit, ordered_host.host.clone(), name.clone()).await,
                None => Err(HostOrderError::NotDone("the lease is not confirmed".to_owned())),
            }
        });
        let results = join_all(orders).await;
        for (ordered_host, result) in ordered.iter().zip(results) {
            self.handle_order_result(name, ordered_host, result);
        }
    }

    fn handle_order_result(
        &mut self,
        name: &WaveName,
        ordered_host: &OrderedHost,
        result: Result<(), HostOrderError>,
    ) {
        let OrderedHost { host, progress, repeated, first } = ordered_host;
        emit(
            Event::HostOrdered,
            format_args!(
                "wave={name} host={host} vacancy={progress:?} token={} repeated={repeated} {result:?}",
                self.token
            ),
        );
        let now = self.node.now();
        let Some(active) = self.waves.get_mut(name) else {
            return;
        };
        match result {
            Ok(()) => {
                active.wave.record_begun(host, now);
                self.ended_hosts.remove(host);
            }
            Err(HostOrderError::Unknown | HostOrderError::Foreign) => {
                active.wave.record_gone(host);
                self.ended_hosts.remove(host);
            }
            Err(HostOrderError::Fenced) => self.fenced = true,
            Err(HostOrderError::Busy | HostOrderError::NotDone(_)) => {
                active.wave.record_not_taken(host);
                if *first {
                    self.ended_workers.withdraw_order(host);
                }
            }
            // The order may have had effect; it is repeated, and the answer then shows that.
            Err(HostOrderError::Lost(_)) => active.wave.record_lost(host),
        }
    }

    async fn request_drain(&self, platform_host: &PlatformHost, mode: DrainMode) -> DrainProgress {
        let Some(worker) = &platform_host.worker else {
            return DrainProgress::Empty;
        };
        let request = PoolRequest::DrainWorker(worker.clone(), mode);
        match call_pool_owner(&self.node, &platform_host.pool, request).await {
            Ok(PeerReply::DrainStatus(progress)) => progress,
            // Without the pool's owner it is unknown what runs there.
            _ => DrainProgress::Protected,
        }
    }

    /// Records a wave and its slots, and its status for operators; returns whether the row was written.
    /// That also confirms the lease to the permit issuer.
    async fn save(&mut self, wave: &WaveName) -> bool {
        let Some(active) = self.waves.get_mut(wave) else {
            return false;
        };
        let done = active.wave.is_done();
        let record = WaveRecord { completed: done, ..active.wave.to_record() };
        let key = wave_key(wave);
        let txn = Txn::new()
            .with_check(lease_key(&name()), Some(self.token))
            .with_check(key.clone(), active.revision)
            .with_write(key.clone(), value(&record));
        let sent = BootInstant::now();
        let result = self.node.services.store.commit(txn).await;
        self.node.record_store_result(&result);
        match result {
            Ok(Commit::Done(revision)) => {
                active.revision = Some(revision);
                let is_reported = active.reported == Some(done);
                self.permit_issuer.record_confirmed(sent).await;
                if is_reported || self.write_status(wave, done).await {
                    self.finish_wave(wave, done);
                }
                true
            }
            Ok(Commit::Conflict(conflicts)) => {
                for conflict in conflicts {
                    let found = conflict.row.map(|row| row.revision);
                    if conflict.key == key {
                        // A write without an answer was carried out. Only this owner can have sent
                        // it, and it has sent no order for a slot that it does not know as stored.
                        active.revision = found;
                    } else {
                        self.fenced = true;
                    }
                }
                false
            }
            Err(error) => {
                emit(Event::RecordFailed, format_args!("wave={wave} {error}"));
                false
            }
        }
    }

    fn finish_wave(&mut self, wave: &WaveName, done: bool) {
        if let Some(active) = self.waves.get_mut(wave) {
            active.reported = Some(done);
        }
        if !done {
            return;
        }
        emit(Event::WaveChanged, format_args!("wave={wave} completed"));
        if let Some(active) = self.waves.get_mut(wave) {
            active.wave.record.completed = true;
        }
        self.node.view().waves.remove(wave);
    }

    async fn write_status(&self, wave: &WaveName, done: bool) -> bool {
        let write = self.node.services.row_format.wave_status(wave, done);
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
}
