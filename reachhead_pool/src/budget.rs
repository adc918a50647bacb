//! Availability budgets: how many minions of a service may be away at once, over all pools.
//!
//! What planned work spends is a row of the store for each service, written in the same transaction
//! that lets a host be drained, so no two owners of pools can both spend the last unit. What fails
//! unplanned is on the platform's host list and counts as well. docs/WAVES.md has the rules.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
};

use reachhead_types::{
    fleet::{Fleet, MinionState},
    id::{HostId, ServiceName},
    pool::BudgetRow,
};

/// A service as its budget sees it.
#[derive(Debug, Clone, Default)]
struct Load {
    limit: usize,
    /// The minions on each host.
    hosts: BTreeMap<HostId, usize>,
    /// Minions that operators take out themselves, wherever they are.
    leaving: BTreeMap<Option<HostId>, usize>,
}

/// Which services have minions on which hosts, by one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct MinionPlacements {
    services: BTreeMap<ServiceName, Load>,
    by_host: BTreeMap<HostId, BTreeSet<ServiceName>>,
}

/// What keeps a host from being drained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainBlocker {
    /// The service whose budget would not hold.
    pub service: ServiceName,
    /// Its minions that would be away.
    pub away: usize,
    /// Its minions that may be.
    pub limit: usize,
}

impl Display for DrainBlocker {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { service, away, limit } = self;
        write!(f, "budget of service {service}: {away} minions would be away, {limit} may be")
    }
}

/// How urgent it is to begin with a host; the larger comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Batches that the service with the most left to do needs.
    most: usize,
    /// Batches that all services on the host need.
    sum: usize,
}

impl MinionPlacements {
    /// Returns the loads of `fleet`.
    pub fn new(fleet: &Fleet) -> Self {
        let mut loads = Self::default();
        for (name, service) in &fleet.services {
            let mut load = Load { limit: service.row.max_unavailable as usize, ..Load::default() };
            for minion in service.minions.values() {
                if minion.state == MinionState::Leaving {
                    *load.leaving.entry(minion.host.clone()).or_default() += 1;
                }
                if let Some(host) = &minion.host {
                    *load.hosts.entry(host.clone()).or_default() += 1;
                    loads.by_host.entry(host.clone()).or_default().insert(name.clone());
                }
            }
            loads.services.insert(name.clone(), load);
        }
        loads
    }

    /// Returns the services with minions on `host`.
    pub fn services_on(&self, host: &HostId) -> impl Iterator<Item = &ServiceName> {
        self.by_host.get(host).into_iter().flatten()
    }

    /// Returns how many minions of `service` are away when the `held` hosts and those that are
    /// `gone` are.
    pub fn count_unavailable(
        &self,
        service: &ServiceName,
        held: &BTreeSet<HostId>,
        gone: &BTreeSet<HostId>,
    ) -> usize {
        let Some(load) = self.services.get(service) else {
            return 0;
        };
        let is_away = |host: &HostId| held.contains(host) || gone.contains(host);
        let on_hosts: usize =
            load.hosts.iter().filter(|(host, _)| is_away(host)).map(|(_, count)| count).sum();
        let is_counted = |host: &Option<HostId>| host.as_ref().is_some_and(is_away);
        let by_hand: usize =
            load.leaving.iter().filter(|(host, _)| !is_counted(host)).map(|(_, count)| count).sum();
        on_hosts + by_hand
    }

    /// Returns what keeps `host` from being drained, with the budgets of its services as they are
    /// spent; a service whose budget is not among them keeps it too.
    pub fn drain_blocker(
        &self,
        host: &HostId,
        budgets: &Budgets,
        gone: &BTreeSet<HostId>,
    ) -> Option<DrainBlocker> {
        self.services_on(host).find_map(|service| {
            let limit = self.limit(service);
            let mut held = budgets.get(service)?.held.clone();
            held.insert(host.clone());
            let away = self.count_unavailable(service, &held, gone);
            (away > limit).then(|| DrainBlocker { service: service.clone(), away, limit })
        })
    }

    /// Returns how urgent it is for a wave to begin with `host`, when the hosts in `left` are still to
    /// be done: the batches that its services need at least. The service with the most left decides
    /// how long the wave takes, so its hosts must never be the ones that wait.
    pub fn priority(&self, host: &HostId, left: &BTreeSet<HostId>) -> Priority {
        let batches = |service: &ServiceName| {
            let load = self.services.get(service);
            let undone = load.map_or(0, |load| {
                let hosts = load.hosts.iter().filter(|(host, _)| left.contains(*host));
                hosts.map(|(_, count)| count).sum()
            });
            undone.div_ceil(self.limit(service).max(1))
        };
        let batches: Vec<usize> = self.services_on(host).map(batches).collect();
        Priority {
            most: batches.iter().copied().max().unwrap_or_default(),
            sum: batches.iter().sum(),
        }
    }

    /// Returns by how many minions the budget of a service is overspent, those aside that come back
    /// with the `returning` hosts.
    pub fn overspent_by(
        &self,
        service: &ServiceName,
        row: &BudgetRow,
        gone: &BTreeSet<HostId>,
        returning: &BTreeSet<HostId>,
    ) -> usize {
        let held: BTreeSet<HostId> = row.held.difference(returning).cloned().collect();
        let gone: BTreeSet<HostId> = gone.difference(returning).cloned().collect();
        self.count_unavailable(service, &held, &gone).saturating_sub(self.limit(service))
    }

    fn limit(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |load| load.limit)
    }
}

/// The budgets of some services as they are spent.
pub type Budgets = BTreeMap<ServiceName, BudgetRow>;
