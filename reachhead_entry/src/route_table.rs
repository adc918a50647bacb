//! What lives as long as a configuration version: the routes.

use std::{collections::HashMap, rc::Rc};

use reachhead_types::{
    fleet::{Fleet, RouteRow},
    size::{Millis, Version},
};

use crate::process::{
    metrics::{Metrics, RouteMetrics},
    service::{Service, Services},
};

/// A route with everything that a request on it needs.
pub struct Route {
    /// The route's row.
    pub row: RouteRow,
    /// The deadline in force: the route's own, or its group's.
    pub deadline: Millis,
    /// The service that answers.
    pub service: Rc<Service>,
    /// The route's counters.
    pub metrics: RouteMetrics,
}

/// The routes of one version.
#[derive(Default)]
pub struct Table {
    version: Version,
    routes: HashMap<String, Rc<Route>>,
}

impl Table {
    /// Builds the routes of `fleet` over the live `services`.
    pub fn new(fleet: &Fleet, services: &Services, metrics: &Metrics) -> Self {
        let routes = fleet.routes.iter().filter_map(|(name, row)| {
            let service = services.get(&row.service)?;
            let group = fleet.tree.get(&row.group)?;
            let route = Route {
                row: row.clone(),
                deadline: row.deadline.unwrap_or(group.effective.deadline),
                service,
                metrics: metrics.route(name),
            };
            Some((row.path.clone(), Rc::new(route)))
        });
        Self { version: fleet.version, routes: routes.collect() }
    }

    /// Returns the version that the routes belong to.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the route with the longest prefix of whole segments of `path`.
    pub fn find(&self, path: &str) -> Option<&Rc<Route>> {
        let mut prefix = path;
        while !prefix.is_empty() {
            if let Some(route) = self.routes.get(prefix) {
                return Some(route);
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
        self.routes.get("/")
    }
}
