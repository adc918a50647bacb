//! The routes of a configuration version.

use std::{collections::HashMap, rc::Rc};

use reachhead_types::{
    fleet::{Fleet, RouteRow},
    size::{Millis, Version},
};

use crate::process::{
    metrics::{Metrics, RouteMetrics},
    service::{Service, Services},
};

/// A route with its service and its metrics, looked up once per configuration version.
pub struct Route {
    /// The configuration row of the route.
    pub row: RouteRow,
    /// The time limit of a request: the route's own, or else the one of its group.
    pub deadline: Millis,
    /// The service to which requests are dispatched.
    pub service: Rc<Service>,
    /// The metrics of the route.
    pub metrics: RouteMetrics,
}

/// The routes of one configuration version by path prefix.
#[derive(Default)]
pub struct RouteTable {
    version: Version,
    routes: HashMap<String, Rc<Route>>,
}

impl RouteTable {
    /// Builds the routes of `fleet` on the running `services`.
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

    /// Returns the configuration version of the routes.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the route with the longest path prefix that consists of whole segments of `path`.
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
