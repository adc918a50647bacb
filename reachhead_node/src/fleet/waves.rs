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
}

/// A host whose maintenance is being ordered.
struct OrderedHost {
    host: HostId,
    progress: DrainProgress,
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
                    "wave={} hosts={} begun={} within={}ms most={}",
                    order.name,
                    order.hosts.len(),
                    record.begun.len(),
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
            let active = ActiveWave { wave, revision: row.map(|row| row.revision) };
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
        let step = active.wave.next(&self.platform_hosts, now);
        let mut changed = !step.missing.is_empty();
        for host in &step.missing {
            active.wave.record_begun(host);
        }
        changed |= self.take_hosts(name, step.to_drain).await;
        let done = self.waves.get(name).is_some_and(|active| active.wave.is_done());
        if changed || done {
            self.save(name).await;
        }
    }

    /// Drains hosts and orders the maintenance of those that may be taken; returns whether the
    /// maintenance of any host has begun.
    async fn take_hosts(&mut self, name: &WaveName, hosts: Vec<HostId>) -> bool {
        let mut candidates: Vec<PlatformHost> = Vec::new();
        for host in &hosts {
            candidates.extend(self.platform_hosts.get(host).cloned());
        }
        // A host whose worker ended after an order was most likely taken down by it: the order is
        // repeated only for its answer.
        let now = self.node.now();
        let mode = |host: &HostId| {
            let active = self.waves.get(name);
            active.map_or(DrainMode::Graceful, |active| active.wave.drain_mode(host, now))
        };
        let drain_statuses = join_all(candidates.iter().map(|platform_host| async {
            if self.ended_hosts.contains(&platform_host.host) {
                DrainProgress::Empty
            } else {
                self.request_drain(platform_host, mode(&platform_host.host)).await
            }
        }))
        .await;
        let now = self.node.now();
        let mut ordered: Vec<OrderedHost> = Vec::new();
        for (platform_host, progress) in candidates.into_iter().zip(drain_statuses) {
            let Some(active) = self.waves.get_mut(name) else {
                return false;
            };
            if !active.wave.can_maintain(progress, &self.platform_hosts) {
                if let Some(waited) = active.wave.record_held(&platform_host.host, now) {
                    emit(
                        Event::HostHeld,
                        format_args!(
                            "wave={name} host={} pool={} worker={:?} vacancy={progress:?} for={waited}ms",
                            platform_host.host, platform_host.pool, platform_host.worker
                        ),
                    );
                }
                continue;
            }
            active.wave.record_ordered(&platform_host.host, now);
            let first = !self.ended_workers.is_open(&platform_host.host);
            if let Some(worker) = platform_host.worker.filter(|_| first) {
                let incarnation = self.registered_incarnation(worker);
                let order = OpenOrder { pool: platform_host.pool, incarnation, maintenance: true };
                self.ended_workers.record_order(&platform_host.host, order);
            }
            ordered.push(OrderedHost { host: platform_host.host, progress, first });
        }
        let Some(api) = self.node.services.hosts.clone() else {
            return false;
        };
        let permit_issuer = &self.permit_issuer;
        let orders = ordered.iter().map(|ordered_host| async {
            match permit_issuer.permit().await {
                Some(permit) => api.maintain(permit, ordered_host.host.clone(), name.clone()).await,
                None => Err(HostOrderError::NotDone("the lease is not confirmed".to_owned())),
            }
        });
        let results = join_all(orders).await;
        let mut begun = false;
        for (ordered_host, result) in ordered.iter().zip(results) {
            begun |= self.handle_order_result(name, ordered_host, result);
        }
        begun
    }

    /// Processes the result of a maintenance order; returns whether the host's maintenance has
    /// begun.
    fn handle_order_result(
        &mut self,
        name: &WaveName,
        ordered_host: &OrderedHost,
        result: Result<(), HostOrderError>,
    ) -> bool {
        let OrderedHost { host, progress, first } = ordered_host;
        emit(
            Event::HostOrdered,
            format_args!(
                "wave={name} host={host} vacancy={progress:?} token={} {result:?}",
                self.token
            ),
        );
        let Some(active) = self.waves.get_mut(name) else {
            return false;
        };
        match result {
            Ok(()) | Err(HostOrderError::Unknown | HostOrderError::Foreign) => {
                active.wave.record_begun(host);
                self.ended_hosts.remove(host);
                true
            }
            Err(HostOrderError::Fenced) => {
                self.fenced = true;
                false
            }
            Err(HostOrderError::Busy | HostOrderError::NotDone(_)) => {
                active.wave.record_not_taken(host);
                if *first {
                    self.ended_workers.withdraw_order(host);
                }
                false
            }
            // The order may have had effect; it is repeated, and the answer then shows that.
            Err(HostOrderError::Lost(_)) => false,
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

    /// Records a wave, and its status for operators.
    async fn save(&mut self, wave: &WaveName) {
        let Some(active) = self.waves.get_mut(wave) else {
            return;
        };
        let done = active.wave.is_done();
        let record = WaveRecord { completed: done, ..active.wave.record.clone() };
        let key = wave_key(wave);
        let txn = Txn::new()
            .with_check(lease_key(&name()), Some(self.token))
            .with_check(key.clone(), active.revision)
            .with_write(key.clone(), value(&record));
        let result = self.node.services.store.commit(txn).await;
        self.node.record_store_result(&result);
        match result {
            Ok(Commit::Done(revision)) => {
                active.revision = Some(revision);
                if self.write_status(wave, done).await {
                    self.finish_wave(wave, done);
                }
            }
            Ok(Commit::Conflict(conflicts)) => {
                for conflict in conflicts {
                    let found = conflict.row.map(|row| row.revision);
                    if conflict.key == key {
                        active.revision = found;
                    } else {
                        self.fenced = true;
                    }
                }
            }
            Err(error) => emit(Event::RecordFailed, format_args!("wave={wave} {error}")),
        }
    }

    fn finish_wave(&mut self, wave: &WaveName, done: bool) {
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
