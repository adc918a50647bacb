//! The steps of hosts that are in maintenance or moving, and the start of new drains.

use std::{cmp::Reverse, collections::BTreeSet};

use log::debug;
use reachhead_store::{
    StoreError,
    hosts::{self, BudgetWrite, Fence, Host, HostError},
    platform::{DrainTag, HostStatus},
};
use reachhead_types::{
    id::{HostId, PoolName, RackName, ServiceName, WaveName},
    pool::{HostPhase, HostRow, WaveRow},
    size::Revision,
};

use crate::{
    budget::{Budgets, MinionPlacements},
    controller::{Controller, Head, OwnedPool, PoolEvent, RoundInput, TrackedHost},
    host::{self, HostStep},
};

/// The budget rows that matter in a round, kept up to date with the writes of the round.
struct BudgetCache {
    rows: Vec<BudgetWrite>,
}

/// The state of a round for one pool, beside the rows of its hosts.
struct Round<'r> {
    pool: &'r PoolName,
    wave: Option<&'r WaveRow>,
    placements: &'r MinionPlacements,
    /// Hosts that are known to be unavailable, planned or not.
    unavailable: BTreeSet<HostId>,
    /// Hosts that are about to return to service.
    returning: BTreeSet<HostId>,
    cache: BudgetCache,
}

impl BudgetCache {
    fn budgets(&self) -> Budgets {
        self.rows.iter().map(|budget| (budget.service.clone(), budget.row.clone())).collect()
    }

    /// Records the revision at which the rows of `services` were written; `None` if the write
    /// failed its precondition.
    fn record_write(&mut self, services: &BTreeSet<ServiceName>, written: Option<Revision>) {
        let Some(revision) = written else { return };
        for budget in self.rows.iter_mut().filter(|budget| services.contains(&budget.service)) {
            budget.revision = Some(revision);
        }
    }

    fn find(&mut self, service: &ServiceName) -> Option<&mut BudgetWrite> {
        self.rows.iter_mut().find(|budget| budget.service == *service)
    }
}

impl Controller {
    /// Takes a step for each host of `pool` in transition, then starts the drains of further hosts.
    pub(super) async fn reconcile_hosts(
        &mut self,
        input: &RoundInput,
        pool: &PoolName,
        head: Head,
        wave: Option<&WaveRow>,
    ) -> Result<(), StoreError> {
        let Some(owned) = self.owned.get_mut(pool) else {
            return Ok(());
        };
        if owned.head != Some(head) {
            owned.update_hosts(hosts::in_pool(&*self.store, pool).await?);
            owned.head = Some(head);
        }
        let in_transition = owned.in_transition(&input.leaving);
        let due = owned.due(wave, &input.leaving, &input.placements);
        if in_transition.is_empty() && due.is_empty() {
            return Ok(());
        }
        let services = owned.services(&in_transition, &due, &input.placements);
        let rows = hosts::budgets(&*self.store, services).await?;
        let statuses = match in_transition.is_empty() {
            true => Vec::new(),
            false => self.platform.status(in_transition.clone()).await?,
        };
        let mut round = Round {
            pool,
            wave,
            placements: &input.placements,
            unavailable: input.leaving.clone(),
            returning: owned.in_phase(HostPhase::Arriving),
            cache: BudgetCache { rows },
        };
        // The host list lags behind: a host that the platform reports as back is available.
        for (id, status) in in_transition.iter().zip(&statuses) {
            if status.as_ref().is_some_and(|status| status.is_up && !status.is_drained()) {
                round.unavailable.remove(id);
            }
        }
        for (id, status) in in_transition.iter().zip(statuses) {
            if let Err(error) = self.step(&mut round, id, status).await {
                debug!("step of host {id} failed: {error}");
                // The call may have taken effect, so the hosts are read again before the next step.
                self.invalidate_hosts(pool);
            }
        }
        self.start_drains(&mut round, due).await
    }

    /// Makes the next round read the hosts of `pool` again.
    fn invalidate_hosts(&mut self, pool: &PoolName) {
        if let Some(owned) = self.owned.get_mut(pool) {
            owned.head = None;
        }
    }

    async fn step(
        &mut self,
        round: &mut Round<'_>,
        id: &HostId,
        status: Option<HostStatus>,
    ) -> Result<(), HostError> {
        let Some(owned) = self.owned.get_mut(round.pool) else {
            return Ok(());
        };
        let lease = owned.lease;
        let Some(tracked) = owned.hosts.get_mut(id) else {
            return Ok(());
        };
        let is_overspent = round.is_overspent(&tracked.host.row);
        let observed = tracked.observe(status, is_overspent, self.limits.overspend_confirmation);
        let host = tracked.host.clone();
        match host::next_step(&host.row, round.wave, &observed, self.limits.drain) {
            HostStep::Wait | HostStep::StartDrain(_) => {}
            HostStep::Drain => {
                self.platform.drain(id.clone(), DrainTag::new(host.revision)).await?;
            }
            HostStep::Undrain(tag) => self.platform.undrain(id.clone(), tag).await?,
            HostStep::Reboot(tag, boots) => self.platform.reboot(id.clone(), tag, boots).await?,
            HostStep::UpdateRow(row) => {
                if row.phase == HostPhase::Arriving {
                    round.returning.insert(id.clone());
                }
                self.write_host(round.pool, &host, *row, Vec::new()).await?;
            }
            HostStep::ReturnToService => {
                let budgets = round.release_budgets(&host);
                let services = host.row.spent.clone();
                let row = HostRow {
                    phase: HostPhase::Serving,
                    wave: None,
                    spent: BTreeSet::new(),
                    ..host.row.clone()
                };
                let written = self.write_host(round.pool, &host, row, budgets).await?;
                round.cache.record_write(&services, written);
            }
            HostStep::HandOver(to) => {
                let has_moved = hosts::move_to_pool(&*self.store, &host, &to, lease).await?;
                self.invalidate_hosts(round.pool);
                if has_moved {
                    self.events.push(PoolEvent::HostMoved(id.clone(), to));
                }
            }
        }
        Ok(())
    }

    /// Starts the drains of the `due` hosts in order, as far as budgets and the batch size allow.
    async fn start_drains(
        &mut self,
        round: &mut Round<'_>,
        due: Vec<HostId>,
    ) -> Result<(), StoreError> {
        for id in due {
            let Some(owned) = self.owned.get(round.pool) else {
                return Ok(());
            };
            let Some(host) = owned.hosts.get(&id).map(|tracked| tracked.host.clone()) else {
                continue;
            };
            let wave = match host::start_step(&host.row, round.wave) {
                HostStep::StartDrain(wave) => wave,
                // The host is already in the pool that operators want.
                HostStep::UpdateRow(row) => {
                    self.write_host(round.pool, &host, *row, Vec::new()).await?;
                    continue;
                }
                _ => continue,
            };
            if wave.is_some() && owned.wave_count() >= self.limits.max_wave_hosts {
                continue;
            }
            if round
                .placements
                .drain_blocker(&id, &round.cache.budgets(), &round.unavailable)
                .is_none()
                && !self.start_drain(round, &host, wave).await?
            {
                // Another owner wrote one of the budgets; the next round reads them again.
                return Ok(());
            }
        }
        Ok(())
    }

    /// Marks a host as draining and spends the budgets of its services; returns whether the write
    /// succeeded.
    async fn start_drain(
        &mut self,
        round: &mut Round<'_>,
        host: &Host,
        wave: Option<WaveName>,
    ) -> Result<bool, StoreError> {
        let spent: BTreeSet<ServiceName> =
            round.placements.services_on(&host.id).cloned().collect();
        let budgets = round.spend_budgets(&host.id, &spent);
        let phase = HostPhase::Draining;
        let row = HostRow { phase, wave, spent: spent.clone(), ..host.row.clone() };
        let written = self.write_host(round.pool, host, row, budgets).await?;
        round.cache.record_write(&spent, written);
        Ok(written.is_some())
    }

    /// Writes the row of a host and `budgets` in one transaction and returns their revision; `None`
    /// if a precondition failed.
    async fn write_host(
        &mut self,
        pool: &PoolName,
        host: &Host,
        row: HostRow,
        budgets: Vec<BudgetWrite>,
    ) -> Result<Option<Revision>, StoreError> {
        let Some(OwnedPool { lease, head: Some(Head(head)), .. }) = self.owned.get(pool) else {
            return Ok(None);
        };
        let fence = Fence { lease: *lease, head: *head };
        let written = hosts::update_row(&*self.store, host, &row, fence, &budgets).await;
        let (Some(owned), Ok(Some(revision))) = (self.owned.get_mut(pool), &written) else {
            self.invalidate_hosts(pool);
            return written;
        };
        owned.head = Some(Head(Some(*revision)));
        if row.phase != host.row.phase {
            self.events.push(PoolEvent::HostEntered(host.id.clone(), row.phase));
        }
        if let Some(tracked) = owned.hosts.get_mut(&host.id) {
            tracked.host = Host { id: host.id.clone(), row, revision: *revision };
        }
        written
    }
}

impl Round<'_> {
    /// Returns whether failures have exceeded a budget that the drain of a host spends.
    fn is_overspent(&self, row: &HostRow) -> bool {
        let is_overspent = |budget: &BudgetWrite| {
            row.spent.contains(&budget.service)
                && self.placements.overspent_by(
                    &budget.service,
                    &budget.row,
                    &self.unavailable,
                    &self.returning,
                ) > 0
        };
        row.phase == HostPhase::Draining && self.cache.rows.iter().any(is_overspent)
    }

    /// Adds `host` to the budgets of `services` and returns the rows to write.
    fn spend_budgets(
        &mut self,
        host: &HostId,
        services: &BTreeSet<ServiceName>,
    ) -> Vec<BudgetWrite> {
        let mut writes = Vec::new();
        for service in services {
            if let Some(budget) = self.cache.find(service) {
                budget.row.held.insert(host.clone());
                writes.push(budget.clone());
            }
        }
        writes
    }

    /// Removes `host` from the budgets that it spends and returns the rows to write.
    fn release_budgets(&mut self, host: &Host) -> Vec<BudgetWrite> {
        let mut writes = Vec::new();
        for service in &host.row.spent {
            if let Some(budget) = self.cache.find(service) {
                budget.row.held.remove(&host.id);
                writes.push(budget.clone());
            }
        }
        writes
    }
}

impl OwnedPool {
    /// Returns the hosts whose status is needed: those that are not in service, and those that are
    /// leaving without a request of this pool.
    fn in_transition(&self, leaving: &BTreeSet<HostId>) -> Vec<HostId> {
        let is_in_transition = |(id, tracked): &(&HostId, &TrackedHost)| {
            tracked.host.row.phase != HostPhase::Serving || leaving.contains(*id)
        };
        self.hosts.iter().filter(is_in_transition).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the hosts whose drain should start: moves first, then the hosts of a wave by
    /// priority, and at equal priority those in racks that the wave has already started.
    fn due(
        &self,
        wave: Option<&WaveRow>,
        leaving: &BTreeSet<HostId>,
        placements: &MinionPlacements,
    ) -> Vec<HostId> {
        let is_started = |tracked: &&TrackedHost| {
            let row = &tracked.host.row;
            row.wave.is_some()
                || wave.is_some_and(|wave| row.last_wave.as_ref() == Some(&wave.name))
        };
        let started_racks: BTreeSet<&RackName> =
            self.hosts.values().filter(is_started).map(|tracked| &tracked.host.row.rack).collect();
        let mut due: Vec<&TrackedHost> = self
            .hosts
            .values()
            .filter(|tracked| tracked.host.row.phase == HostPhase::Serving)
            .filter(|tracked| !leaving.contains(&tracked.host.id))
            .filter(|tracked| host::start_step(&tracked.host.row, wave) != HostStep::Wait)
            .collect();
        let remaining: BTreeSet<HostId> =
            due.iter().map(|tracked| tracked.host.id.clone()).collect();
        due.sort_by_cached_key(|tracked| {
            let Host { id, row, .. } = &tracked.host;
            let priority = Reverse(placements.priority(id, &remaining));
            (row.target_pool.is_none(), priority, !started_racks.contains(&row.rack), &row.rack, id)
        });
        due.into_iter().map(|tracked| tracked.host.id.clone()).collect()
    }

    fn in_phase(&self, phase: HostPhase) -> BTreeSet<HostId> {
        let is_in = |(_, tracked): &(&HostId, &TrackedHost)| tracked.host.row.phase == phase;
        self.hosts.iter().filter(is_in).map(|(id, _)| id.clone()).collect()
    }

    /// Returns how many hosts are being processed by a wave.
    fn wave_count(&self) -> usize {
        self.hosts.values().filter(|tracked| tracked.host.row.wave.is_some()).count()
    }

    /// Returns the services whose budgets the given hosts spend or would spend.
    fn services(
        &self,
        in_transition: &[HostId],
        due: &[HostId],
        placements: &MinionPlacements,
    ) -> Vec<ServiceName> {
        let spent = in_transition.iter().filter_map(|id| self.hosts.get(id));
        let spent = spent.flat_map(|tracked| tracked.host.row.spent.iter());
        let of_due_hosts = due.iter().flat_map(|id| placements.services_on(id));
        let services: BTreeSet<ServiceName> = spent.chain(of_due_hosts).cloned().collect();
        services.into_iter().collect()
    }
}
