//! Availability budgets: how many minions of a service may be unavailable at once, across all
//! pools.
//!
//! Planned disruptions are recorded in one budget row per service. The row is written in the same
//! transaction that starts the drain of a host, so two pool owners can't both spend the last unit.
//! Unplanned failures come from the platform's host list and count against the budget as well.
//! docs/WAVES.md has the rules.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
};

use reachhead_types::{
    fleet::{Fleet, MinionState},
    id::{HostId, ServiceName},
    pool::BudgetRow,
};

/// The availability budget of a service and the hosts of its minions.
#[derive(Debug, Clone, Default)]
struct ServicePlacement {
    /// Minions that may be unavailable at once.
    limit: usize,
    /// Number of minions by host.
    hosts: BTreeMap<HostId, usize>,
    /// Number of minions that operators remove by hand, by host if they have one.
    leaving: BTreeMap<Option<HostId>, usize>,
}

/// The hosts of the minions of each service, at one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct MinionPlacements {
    services: BTreeMap<ServiceName, ServicePlacement>,
    by_host: BTreeMap<HostId, BTreeSet<ServiceName>>,
}

/// A budget that would be exceeded if a host was drained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainBlocker {
    /// The service whose budget would be exceeded.
    pub service: ServiceName,
    /// Minions of the service that would be unavailable.
    pub away: usize,
    /// Minions of the service that may be unavailable at once.
    pub limit: usize,
}

impl Display for DrainBlocker {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { service, away, limit } = self;
        write!(f, "budget of service {service}: {away} minions would be away, {limit} may be")
    }
}

/// The priority of a host in a maintenance wave; the largest is drained first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Remaining batches of the service on the host that has the most of them.
    max_batches: usize,
    /// Sum of the remaining batches of all services on the host.
    total_batches: usize,
}

impl MinionPlacements {
    /// Returns the placements of the minions of `fleet`.
    pub fn new(fleet: &Fleet) -> Self {
        let mut placements = Self::default();
        for (name, service) in &fleet.services {
            let mut placement = ServicePlacement {
                limit: service.row.max_unavailable as usize,
                ..ServicePlacement::default()
            };
            for minion in service.minions.values() {
                if minion.state == MinionState::Leaving {
                    *placement.leaving.entry(minion.host.clone()).or_default() += 1;
                }
                if let Some(host) = &minion.host {
                    *placement.hosts.entry(host.clone()).or_default() += 1;
                    placements.by_host.entry(host.clone()).or_default().insert(name.clone());
                }
            }
            placements.services.insert(name.clone(), placement);
        }
        placements
    }

    /// Returns the services with minions on `host`.
    pub fn services_on(&self, host: &HostId) -> impl Iterator<Item = &ServiceName> {
        self.by_host.get(host).into_iter().flatten()
    }

    /// Returns how many minions of `service` are unavailable if the hosts in `draining`, which hold
    /// a part of its budget, and those in `unavailable` are out of service.
    pub fn count_unavailable(
        &self,
        service: &ServiceName,
        draining: &BTreeSet<HostId>,
        unavailable: &BTreeSet<HostId>,
    ) -> usize {
        let Some(placement) = self.services.get(service) else {
            return 0;
        };
        let is_out = |host: &HostId| draining.contains(host) || unavailable.contains(host);
        let on_hosts: usize =
            placement.hosts.iter().filter(|(host, _)| is_out(host)).map(|(_, count)| count).sum();
        let is_counted = |host: &Option<HostId>| host.as_ref().is_some_and(is_out);
        let removed_by_hand: usize = placement
            .leaving
            .iter()
            .filter(|(host, _)| !is_counted(host))
            .map(|(_, count)| count)
            .sum();
        on_hosts + removed_by_hand
    }

    /// Returns the first budget that draining `host` would exceed, or `None` if it may be drained.
    ///
    /// `budgets` must have the row of each service on the host; a service without a row is skipped.
    pub fn drain_blocker(
        &self,
        host: &HostId,
        budgets: &Budgets,
        unavailable: &BTreeSet<HostId>,
    ) -> Option<DrainBlocker> {
        self.services_on(host).find_map(|service| {
            let limit = self.limit(service);
            let mut draining = budgets.get(service)?.held.clone();
            draining.insert(host.clone());
            let away = self.count_unavailable(service, &draining, unavailable);
            (away > limit).then(|| DrainBlocker { service: service.clone(), away, limit })
        })
    }

    /// Returns the priority of `host` in a wave that has yet to drain the hosts in `remaining`.
    ///
    /// A service needs at least as many batches as its remaining minions fill its budget. The
    /// service with the most batches determines how long the wave takes, so its hosts must not be
    /// the ones that wait.
    pub fn priority(&self, host: &HostId, remaining: &BTreeSet<HostId>) -> Priority {
        let batches = |service: &ServiceName| {
            let placement = self.services.get(service);
            let minions = placement.map_or(0, |placement| {
                let hosts = placement.hosts.iter().filter(|(host, _)| remaining.contains(*host));
                hosts.map(|(_, count)| count).sum()
            });
            minions.div_ceil(self.limit(service).max(1))
        };
        let batches: Vec<usize> = self.services_on(host).map(batches).collect();
        Priority {
            max_batches: batches.iter().copied().max().unwrap_or_default(),
            total_batches: batches.iter().sum(),
        }
    }

    /// Returns by how many minions the budget of `service` is exceeded, not counting those on the
    /// `returning` hosts, which become available again.
    pub fn overspent_by(
        &self,
        service: &ServiceName,
        row: &BudgetRow,
        unavailable: &BTreeSet<HostId>,
        returning: &BTreeSet<HostId>,
    ) -> usize {
        let draining: BTreeSet<HostId> = row.held.difference(returning).cloned().collect();
        let unavailable: BTreeSet<HostId> = unavailable.difference(returning).cloned().collect();
        self.count_unavailable(service, &draining, &unavailable).saturating_sub(self.limit(service))
    }

    fn limit(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |placement| placement.limit)
    }
}

/// Budget rows by service.
pub type Budgets = BTreeMap<ServiceName, BudgetRow>;
