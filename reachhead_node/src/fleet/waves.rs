//! Carrying waves out: hosts are emptied and ordered down, and what has begun is recorded.

use futures::future::join_all;
use reachhead_jobs::{
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

use super::{Fleet, lives::OpenOrder, name};
use crate::{
    frontend::ask_pool,
    peer::{PeerReply, PoolRequest},
};

/// A wave in the hands of this process.
pub(super) struct Held {
    pub(super) wave: Wave,
    pub(super) revision: Option<Revision>,
}

/// A host that is ordered down.
struct Taken {
    host: HostId,
    progress: DrainProgress,
    /// No earlier order about it is open.
    first: bool,
}

fn wave_key(wave: &WaveName) -> Key {
    Key(format!("wave/{}/{wave}", name()))
}

impl Fleet {
    /// Takes over waves that operators asked for and that are not completed.
    pub(super) async fn find_waves(&mut self) {
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
                    order.max_down
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

    pub(super) async fn drive(&mut self, name: &WaveName) {
        let now = self.node.now();
        let Some(held) = self.waves.get_mut(name) else {
            return;
        };
        let step = held.wave.next(&self.machines, now);
        let mut changed = !step.missing.is_empty();
        for host in &step.missing {
            held.wave.record_begun(host);
        }
        changed |= self.take_hosts(name, step.to_drain).await;
        let done = self.waves.get(name).is_some_and(|held| held.wave.is_done());
        if changed || done {
            self.save(name).await;
        }
    }

    /// Empties hosts and orders them down as far as that may be; tells whether the maintenance of any
    /// has begun.
    async fn take_hosts(&mut self, name: &WaveName, hosts: Vec<HostId>) -> bool {
        let mut machines: Vec<PlatformHost> = Vec::new();
        for host in &hosts {
            machines.extend(self.machines.get(host).cloned());
        }
        // A host whose worker ended after an order was taken down by it, most likely: the order is
        // repeated only for its answer.
        let now = self.node.now();
        let mode = |host: &HostId| {
            let held = self.waves.get(name);
            held.map_or(DrainMode::Graceful, |held| held.wave.drain_mode(host, now))
        };
        let vacancies = join_all(machines.iter().map(|machine| async {
            if self.restarted.contains(&machine.host) {
                DrainProgress::Empty
            } else {
                self.progress(machine, mode(&machine.host)).await
            }
        }))
        .await;
        let now = self.node.now();
        let mut taken: Vec<Taken> = Vec::new();
        for (machine, progress) in machines.into_iter().zip(vacancies) {
            let Some(held) = self.waves.get_mut(name) else {
                return false;
            };
            if !held.wave.can_maintain(progress, &self.machines) {
                if let Some(waited) = held.wave.record_held(&machine.host, now) {
                    emit(
                        Event::HostHeld,
                        format_args!(
                            "wave={name} host={} pool={} worker={:?} vacancy={progress:?} for={waited}ms",
                            machine.host, machine.pool, machine.worker
                        ),
                    );
                }
                continue;
            }
            held.wave.record_ordered(&machine.host, now);
            let first = !self.lives.is_open(&machine.host);
            if let Some(worker) = machine.worker.filter(|_| first) {
                let order = OpenOrder { pool: machine.pool, worker, maintenance: true };
                self.lives.ordered(&machine.host, order);
            }
            taken.push(Taken { host: machine.host, progress, first });
        }
        let Some(api) = self.node.services.machines.clone() else {
            return false;
        };
        let authority = &self.authority;
        let orders = taken.iter().map(|taken| async {
            match authority.permit().await {
                Some(permit) => api.maintain(permit, taken.host.clone(), name.clone()).await,
                None => Err(HostOrderError::NotDone("the lease is not confirmed".to_owned())),
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
        result: Result<(), HostOrderError>,
    ) -> bool {
        let Taken { host, progress, first } = taken;
        emit(
            Event::HostOrdered,
            format_args!(
                "wave={name} host={host} vacancy={progress:?} token={} {result:?}",
                self.token
            ),
        );
        let Some(held) = self.waves.get_mut(name) else {
            return false;
        };
        match result {
            Ok(()) | Err(HostOrderError::Unknown | HostOrderError::Foreign) => {
                held.wave.record_begun(host);
                self.restarted.remove(host);
                true
            }
            Err(HostOrderError::Fenced) => {
                self.fenced = true;
                false
            }
            Err(HostOrderError::Busy | HostOrderError::NotDone(_)) => {
                held.wave.record_not_taken(host);
                if *first {
                    self.lives.withdrawn(host);
                }
                false
            }
            // The order may have had effect; it is repeated, and then it says so.
            Err(HostOrderError::Lost(_)) => false,
        }
    }

    async fn progress(&self, machine: &PlatformHost, mode: DrainMode) -> DrainProgress {
        let Some(worker) = &machine.worker else {
            return DrainProgress::Empty;
        };
        let request = PoolRequest::Vacate(worker.clone(), mode);
        match ask_pool(&self.node, &machine.pool, request).await {
            Some(PeerReply::Vacancy(progress)) => progress,
            // Without the pool's owner nobody knows what is there.
            _ => DrainProgress::Protected,
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
