//! Endpoints to add, move and remove hosts, and to list pools with their owners.

use std::collections::BTreeMap;

use hyper::{Method, StatusCode};
use reachhead_ops::http::{self, BufferedResponse};
use reachhead_store::{
    StoreError,
    hosts::{self, Host, HostError},
    keys,
};
use reachhead_types::{
    id::{GroupName, HostId, PoolName, RackName, ZoneName},
    pool::{HostPhase, HostRow, LeaseRow, Resources},
    scope::Owner,
    size::Epoch,
};
use serde::{Deserialize, Serialize};

use crate::api::{self, Api, Problem, read::Access};

/// Request to add a host.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HostRequest {
    host: HostId,
    zone: ZoneName,
    rack: RackName,
    #[serde(default)]
    resources: Resources,
    pool: PoolName,
}

/// Request to move a host to a pool; `None` cancels a move.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MoveRequest {
    pool: Option<PoolName>,
}

/// A pool in a response.
#[derive(Serialize)]
struct PoolReport<'f> {
    pool: &'f PoolName,
    group: &'f GroupName,
    /// The entry host that owns the pool; `None` while there is none.
    owner: Option<HostId>,
    epoch: Epoch,
    serving: usize,
    draining: usize,
    rebooting: usize,
    arriving: usize,
}

impl Access {
    /// Returns the pools that the operator may see.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.fleet.pools.keys().filter(|pool| self.covers_pool(pool))
    }

    /// Returns whether the operator's scope covers a pool.
    pub fn covers_pool(&self, pool: &PoolName) -> bool {
        match self.fleet.pools.get(pool) {
            Some(row) => self.covers(&Owner::Group(row.group.clone())),
            None => self.covers(&Owner::Tree),
        }
    }
}

impl Api {
    /// Handles the endpoints under `/v1/hosts`.
    pub(super) async fn route_hosts(
        &self,
        method: &Method,
        path: &[&str],
        query: &str,
        body: &[u8],
        access: &Access,
    ) -> BufferedResponse {
        let result = match (method, path) {
            (&Method::GET, []) => self.list_hosts(query, access).await,
            (&Method::POST, []) => self.add_host(body, access).await,
            (&Method::GET, [host]) => {
                self.find_permitted_host(host, access).await.map(|host| match host {
                    Some(host) => http::json(StatusCode::OK, &host),
                    None => api::forbidden(),
                })
            }
            (&Method::POST, [host, "want"]) => self.move_host(host, body, access).await,
            (&Method::DELETE, [host]) => self.remove_host(host, access).await,
            _ => Ok(api::problem(StatusCode::NOT_FOUND, "no such call")),
        };
        result.unwrap_or_else(|error| error_response(&error))
    }

    async fn list_hosts(
        &self,
        query: &str,
        access: &Access,
    ) -> Result<BufferedResponse, HostError> {
        let named = api::query_parameter(query, "pool").map(str::parse::<PoolName>);
        let mut found = match named {
            Some(Ok(pool)) => hosts::in_pool(&*self.store, &pool).await?,
            Some(Err(_)) => return Ok(api::problem(StatusCode::BAD_REQUEST, "not a pool's name")),
            None => hosts::all(&*self.store).await?,
        };
        found.retain(|host| access.covers_pool(&host.row.pool));
        Ok(http::json(StatusCode::OK, &found))
    }

    async fn add_host(&self, body: &[u8], access: &Access) -> Result<BufferedResponse, HostError> {
        let HostRequest { host, zone, rack, resources, pool } = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return Ok(api::problem(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        if !access.covers_pool(&pool) {
            return Ok(api::forbidden());
        }
        let row = HostRow::new(zone, rack, resources, pool);
        hosts::add(&*self.store, &host, &row).await?;
        Ok(http::json(StatusCode::OK, &row))
    }

    async fn move_host(
        &self,
        host: &str,
        body: &[u8],
        access: &Access,
    ) -> Result<BufferedResponse, HostError> {
        let MoveRequest { pool } = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return Ok(api::problem(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        let Some(Host { id, .. }) = self.find_permitted_host(host, access).await? else {
            return Ok(api::forbidden());
        };
        if pool.as_ref().is_some_and(|pool| !access.covers_pool(pool)) {
            return Ok(api::forbidden());
        }
        let row = hosts::request_move(&*self.store, &id, pool.as_ref()).await?;
        Ok(http::json(StatusCode::OK, &row))
    }

    async fn remove_host(
        &self,
        host: &str,
        access: &Access,
    ) -> Result<BufferedResponse, HostError> {
        let Some(Host { id, row, .. }) = self.find_permitted_host(host, access).await? else {
            return Ok(api::forbidden());
        };
        hosts::remove(&*self.store, &id).await?;
        Ok(http::json(StatusCode::OK, &row))
    }

    /// Returns the host if the operator's scope covers its pool; `None` if it does not or the host
    /// is absent.
    async fn find_permitted_host(
        &self,
        host: &str,
        access: &Access,
    ) -> Result<Option<Host>, HostError> {
        let Ok(id) = host.parse::<HostId>() else {
            return Ok(None);
        };
        match hosts::find(&*self.store, &id).await {
            Ok(host) => Ok(access.covers_pool(&host.row.pool).then_some(host)),
            // Only an operator with the whole tree in scope may learn that the host is absent.
            Err(HostError::Missing(_)) if !access.covers(&Owner::Tree) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Handles `/v1/pools`.
    pub(super) async fn pools(&self, access: &Access) -> BufferedResponse {
        match self.pool_reports(access).await {
            Ok(reports) => http::json(StatusCode::OK, &reports),
            Err(error) => api::store_problem(&error),
        }
    }

    async fn pool_reports<'f>(
        &self,
        access: &'f Access,
    ) -> Result<Vec<PoolReport<'f>>, StoreError> {
        let pools: Vec<&PoolName> = access.pools().collect();
        let leases = self.store.read(pools.iter().map(|pool| keys::lease(pool)).collect()).await?;
        let mut phases: BTreeMap<PoolName, Vec<HostPhase>> = BTreeMap::new();
        for host in hosts::all(&*self.store).await? {
            phases.entry(host.row.pool).or_default().push(host.row.phase);
        }
        let report = |(pool, lease): (&'f PoolName, _)| {
            let lease: LeaseRow = lease;
            let hosts = phases.get(pool).map(Vec::as_slice).unwrap_or_default();
            let count = |phase| hosts.iter().filter(|&&other| other == phase).count();
            PoolReport {
                pool,
                group: &access.fleet.pools[pool].group,
                owner: lease.owner.map(|owner| owner.host),
                epoch: lease.epoch,
                serving: count(HostPhase::Serving),
                draining: count(HostPhase::Draining),
                rebooting: count(HostPhase::Rebooting),
                arriving: count(HostPhase::Arriving),
            }
        };
        let leases = leases.into_iter().map(|row| {
            row.and_then(|row| LeaseRow::deserialize(row.value).ok()).unwrap_or_default()
        });
        Ok(pools.into_iter().zip(leases).map(report).collect())
    }
}

fn error_response(error: &HostError) -> BufferedResponse {
    let text = error.to_string();
    match error {
        HostError::Missing(_) | HostError::NoPool(_) => api::problem(StatusCode::NOT_FOUND, &text),
        HostError::Exists(_) | HostError::Moving(_) | HostError::Raced => {
            api::problem(StatusCode::CONFLICT, &text)
        }
        HostError::Store(StoreError::Lost(_)) => {
            let problem = Problem { error: text, nothing_changed: false, ..Problem::default() };
            http::json(StatusCode::GATEWAY_TIMEOUT, &problem)
        }
        HostError::Store(error) => api::store_problem(error),
    }
}
