//! A step for each host on its way, and the hosts that set out.

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
    controller::{Controller, Head, Held, PoolEvent, RoundInput, Tracked},
    host::{self, HostStep},
};

/// The budgets that the steps of a round look at, as they were read and written since.
struct BudgetCache {
    rows: Vec<BudgetWrite>,
}

/// What a round knows of the hosts of a pool beside their rows.
struct Round<'r> {
    pool: &'r PoolName,
    wave: Option<&'r WaveRow>,
    loads: &'r MinionPlacements,
    /// Hosts that are away as far as is known, planned or not.
    gone: BTreeSet<HostId>,
    /// Hosts that will be back without further ado.
    returning: BTreeSet<HostId>,
    cache: BudgetCache,
}

impl BudgetCache {
    fn budgets(&self) -> Budgets {
        self.rows.iter().map(|budget| (budget.service.clone(), budget.row.clone())).collect()
    }

    /// Notes that the rows of `services` were written; `None` that someone else had written them.
    fn note(&mut self, services: &BTreeSet<ServiceName>, written: Option<Revision>) {
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
    /// Does a step for each host of `pool` that is on its way, then lets others set out.
    pub(super) async fn look_after(
        &mut self,
        input: &RoundInput,
        pool: &PoolName,
        head: Head,
        wave: Option<&WaveRow>,
    ) -> Result<(), StoreError> {
        let Some(held) = self.held.get_mut(pool) else {
            return Ok(());
        };
        if held.head != Some(head) {
            held.read(hosts::in_pool(&*self.store, pool).await?);
            held.head = Some(head);
        }
        let in_transition = held.in_transition(&input.leaving);
        let due = held.due(wave, &input.leaving, &input.placements);
        if in_transition.is_empty() && due.is_empty() {
            return Ok(());
        }
        let services = held.services(&in_transition, &due, &input.placements);
        let rows = hosts::budgets(&*self.store, services).await?;
        let statuses = match in_transition.is_empty() {
            true => Vec::new(),
            false => self.platform.status(in_transition.clone()).await?,
        };
        let mut round = Round {
            pool,
            wave,
            loads: &input.placements,
            gone: input.leaving.clone(),
            returning: held.in_phase(HostPhase::Arriving),
            cache: BudgetCache { rows },
        };
        // The list lags: a host that the platform says is back is not gone.
        for (id, status) in in_transition.iter().zip(&statuses) {
            if status.as_ref().is_some_and(|status| status.is_up && !status.is_drained()) {
                round.gone.remove(id);
            }
        }
        for (id, status) in in_transition.iter().zip(statuses) {
            if let Err(error) = self.step(&mut round, id, status).await {
                debug!("host {id}: {error}");
                // Whatever came of it is read before the next step.
                self.forget_head(pool);
            }
        }
        self.start_drains(&mut round, due).await
    }

    fn forget_head(&mut self, pool: &PoolName) {
        if let Some(held) = self.held.get_mut(pool) {
            held.head = None;
        }
    }

    async fn step(
        &mut self,
        round: &mut Round<'_>,
        id: &HostId,
        status: Option<HostStatus>,
    ) -> Result<(), HostError> {
        let Some(held) = self.held.get_mut(round.pool) else {
            return Ok(());
        };
        let lease = held.lease;
        let Some(tracked) = held.hosts.get_mut(id) else {
            return Ok(());
        };
        let is_overspent = round.is_overspent(&tracked.host.row);
        let seen = tracked.observe(status, is_overspent, self.limits.overspend_confirmation);
        let host = tracked.host.clone();
        match host::next_step(&host.row, round.wave, &seen, self.limits.drain) {
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
                self.put(round.pool, &host, *row, Vec::new()).await?;
            }
            HostStep::ReturnToService => {
                let budgets = round.give_back(&host);
                let services = host.row.spent.clone();
                let row = HostRow {
                    phase: HostPhase::Serving,
                    wave: None,
                    spent: BTreeSet::new(),
                    ..host.row.clone()
                };
                let written = self.put(round.pool, &host, row, budgets).await?;
                round.cache.note(&services, written);
            }
            HostStep::HandOver(to) => {
                let has_moved = hosts::hand_over(&*self.store, &host, &to, lease).await?;
                self.forget_head(round.pool);
                if has_moved {
                    self.events.push(PoolEvent::HostMoved(id.clone(), to));
                }
            }
        }
        Ok(())
    }

    /// Lets as many of the `due` hosts set out as every budget allows, along racks.
    async fn start_drains(
        &mut self,
        round: &mut Round<'_>,
        due: Vec<HostId>,
    ) -> Result<(), StoreError> {
        for id in due {
            let Some(held) = self.held.get(round.pool) else {
                return Ok(());
            };
            let Some(host) = held.hosts.get(&id).map(|tracked| tracked.host.clone()) else {
                continue;
            };
            let wave = match host::start_step(&host.row, round.wave) {
                HostStep::StartDrain(wave) => wave,
                // It is where operators want it already.
                HostStep::UpdateRow(row) => {
                    self.put(round.pool, &host, *row, Vec::new()).await?;
                    continue;
                }
                _ => continue,
            };
            if wave.is_some() && held.wave_count() >= self.limits.max_wave_hosts {
                continue;
            }
            if round.loads.drain_blocker(&id, &round.cache.budgets(), &round.gone).is_none()
                && !self.begin(round, &host, wave).await?
            {
                // Someone else spent of the same budget; the next round reads it again.
                return Ok(());
            }
        }
        Ok(())
    }

    async fn begin(
        &mut self,
        round: &mut Round<'_>,
        host: &Host,
        wave: Option<WaveName>,
    ) -> Result<bool, StoreError> {
        let spent: BTreeSet<ServiceName> = round.loads.services_on(&host.id).cloned().collect();
        let budgets = round.spend(&host.id, &spent);
        let phase = HostPhase::Draining;
        let row = HostRow { phase, wave, spent: spent.clone(), ..host.row.clone() };
        let written = self.put(round.pool, host, row, budgets).await?;
        round.cache.note(&spent, written);
        Ok(written.is_some())
    }

    /// Writes a host's row with what changes of the budgets, and returns the revision of the rows;
    /// `None` if it was too late.
    async fn put(
        &mut self,
        pool: &PoolName,
        host: &Host,
        row: HostRow,
        budgets: Vec<BudgetWrite>,
    ) -> Result<Option<Revision>, StoreError> {
        let Some(Held { lease, head: Some(Head(head)), .. }) = self.held.get(pool) else {
            return Ok(None);
        };
        let fence = Fence { lease: *lease, head: *head };
        let written = hosts::put(&*self.store, host, &row, fence, &budgets).await;
        let (Some(held), Ok(Some(revision))) = (self.held.get_mut(pool), &written) else {
            self.forget_head(pool);
            return written;
        };
        held.head = Some(Head(Some(*revision)));
        if row.phase != host.row.phase {
            self.events.push(PoolEvent::HostEntered(host.id.clone(), row.phase));
        }
        if let Some(tracked) = held.hosts.get_mut(&host.id) {
            tracked.host = Host { id: host.id.clone(), row, revision: *revision };
        }
        written
    }
}

impl Round<'_> {
    /// Tells whether failures have eaten a budget that the drain of a host spends.
    fn is_overspent(&self, row: &HostRow) -> bool {
        let is_overspent = |budget: &BudgetWrite| {
            row.spent.contains(&budget.service)
                && self.loads.overspent_by(
                    &budget.service,
                    &budget.row,
                    &self.gone,
                    &self.returning,
                ) > 0
        };
        row.phase == HostPhase::Draining && self.cache.rows.iter().any(is_overspent)
    }

    /// Returns the budgets of `services` with `host` on them.
    fn spend(&mut self, host: &HostId, services: &BTreeSet<ServiceName>) -> Vec<BudgetWrite> {
        let mut writes = Vec::new();
        for service in services {
            if let Some(budget) = self.cache.find(service) {
                budget.row.held.insert(host.clone());
                writes.push(budget.clone());
            }
        }
        writes
    }

    /// Returns the budgets that a host has spent, without it.
    fn give_back(&mut self, host: &Host) -> Vec<BudgetWrite> {
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

impl Held {
    /// Returns the hosts whose status is asked for: those on their way, and those that are said to
    /// leave though nobody here wants them to.
    fn in_transition(&self, leaving: &BTreeSet<HostId>) -> Vec<HostId> {
        let is_on_way = |(id, tracked): &(&HostId, &Tracked)| {
            tracked.host.row.phase != HostPhase::Serving || leaving.contains(*id)
        };
        self.hosts.iter().filter(is_on_way).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the hosts that should set out: moves first, then those of a wave whose services have the
    /// most left to do, along racks.
    fn due(
        &self,
        wave: Option<&WaveRow>,
        leaving: &BTreeSet<HostId>,
        loads: &MinionPlacements,
    ) -> Vec<HostId> {
        let is_begun = |tracked: &&Tracked| {
            let row = &tracked.host.row;
            row.wave.is_some() || wave.is_some_and(|wave| row.done.as_ref() == Some(&wave.name))
        };
        let begun: BTreeSet<&RackName> =
            self.hosts.values().filter(is_begun).map(|tracked| &tracked.host.row.rack).collect();
        let mut due: Vec<&Tracked> = self
            .hosts
            .values()
            .filter(|tracked| tracked.host.row.phase == HostPhase::Serving)
            .filter(|tracked| !leaving.contains(&tracked.host.id))
            .filter(|tracked| host::start_step(&tracked.host.row, wave) != HostStep::Wait)
            .collect();
        let left: BTreeSet<HostId> = due.iter().map(|tracked| tracked.host.id.clone()).collect();
        due.sort_by_cached_key(|tracked| {
            let Host { id, row, .. } = &tracked.host;
            let priority = Reverse(loads.priority(id, &left));
            (row.want.is_none(), priority, !begun.contains(&row.rack), &row.rack, id)
        });
        due.into_iter().map(|tracked| tracked.host.id.clone()).collect()
    }

    fn in_phase(&self, phase: HostPhase) -> BTreeSet<HostId> {
        let is_in = |(_, tracked): &(&HostId, &Tracked)| tracked.host.row.phase == phase;
        self.hosts.iter().filter(is_in).map(|(id, _)| id.clone()).collect()
    }

    /// Returns how many hosts a wave has on their way.
    fn wave_count(&self) -> usize {
        self.hosts.values().filter(|tracked| tracked.host.row.wave.is_some()).count()
    }

    /// Returns the services whose budgets matter for these hosts.
    fn services(
        &self,
        in_transition: &[HostId],
        due: &[HostId],
        loads: &MinionPlacements,
    ) -> Vec<ServiceName> {
        let spent = in_transition.iter().filter_map(|id| self.hosts.get(id));
        let spent = spent.flat_map(|tracked| tracked.host.row.spent.iter());
        let of_due = due.iter().flat_map(|id| loads.services_on(id));
        let services: BTreeSet<ServiceName> = spent.chain(of_due).cloned().collect();
        services.into_iter().collect()
    }
}
