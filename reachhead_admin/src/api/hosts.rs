//! Hosts and pools: adding, moving, removing, and who is in charge.

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

use crate::api::{self, Api, Problem, read::Reader};

/// A host to add.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewHost {
    host: HostId,
    zone: ZoneName,
    rack: RackName,
    #[serde(default)]
    resources: Resources,
    pool: PoolName,
}

/// Where a host should go; `None` takes a move back.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Want {
    pool: Option<PoolName>,
}

/// A pool as the API gives it.
#[derive(Serialize)]
struct PoolReport<'f> {
    pool: &'f PoolName,
    group: &'f GroupName,
    /// The entry host in charge; `None` while there is none.
    owner: Option<HostId>,
    epoch: Epoch,
    serving: usize,
    draining: usize,
    rebooting: usize,
    arriving: usize,
}

impl Reader {
    /// Returns the pools that the operator may see.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.fleet.pools.keys().filter(|pool| self.covers_pool(pool))
    }

    /// Tells whether the operator's word is enough for a pool.
    pub fn covers_pool(&self, pool: &PoolName) -> bool {
        match self.fleet.pools.get(pool) {
            Some(row) => self.covers(&Owner::Group(row.group.clone())),
            None => self.covers(&Owner::Tree),
        }
    }
}

impl Api {
    /// Answers the calls under `/v1/hosts`.
    pub(super) async fn hosts(
        &self,
        method: &Method,
        path: &[&str],
        query: &str,
        body: &[u8],
        reader: &Reader,
    ) -> BufferedResponse {
        let result = match (method, path) {
            (&Method::GET, []) => self.list_hosts(query, reader).await,
            (&Method::POST, []) => self.add_host(body, reader).await,
            (&Method::GET, [host]) => self.own_host(host, reader).await.map(|host| match host {
                Some(host) => http::json(StatusCode::OK, &host),
                None => api::forbidden(),
            }),
            (&Method::POST, [host, "want"]) => self.want_host(host, body, reader).await,
            (&Method::DELETE, [host]) => self.remove_host(host, reader).await,
            _ => Ok(api::problem(StatusCode::NOT_FOUND, "no such call")),
        };
        result.unwrap_or_else(|error| refuse(&error))
    }

    async fn list_hosts(
        &self,
        query: &str,
        reader: &Reader,
    ) -> Result<BufferedResponse, HostError> {
        let named = api::parameter(query, "pool").map(str::parse::<PoolName>);
        let mut found = match named {
            Some(Ok(pool)) => hosts::in_pool(&*self.store, &pool).await?,
            Some(Err(_)) => return Ok(api::problem(StatusCode::BAD_REQUEST, "not a pool's name")),
            None => hosts::all(&*self.store).await?,
        };
        found.retain(|host| reader.covers_pool(&host.row.pool));
        Ok(http::json(StatusCode::OK, &found))
    }

    async fn add_host(&self, body: &[u8], reader: &Reader) -> Result<BufferedResponse, HostError> {
        let NewHost { host, zone, rack, resources, pool } = match serde_json::from_slice(body) {
            Ok(new) => new,
            Err(error) => return Ok(api::problem(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        if !reader.covers_pool(&pool) {
            return Ok(api::forbidden());
        }
        let row = HostRow::new(zone, rack, resources, pool);
        hosts::add(&*self.store, &host, &row).await?;
        Ok(http::json(StatusCode::OK, &row))
    }

    async fn want_host(
        &self,
        host: &str,
        body: &[u8],
        reader: &Reader,
    ) -> Result<BufferedResponse, HostError> {
        let Want { pool } = match serde_json::from_slice(body) {
            Ok(want) => want,
            Err(error) => return Ok(api::problem(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        let Some(Host { id, .. }) = self.own_host(host, reader).await? else {
            return Ok(api::forbidden());
        };
        if pool.as_ref().is_some_and(|pool| !reader.covers_pool(pool)) {
            return Ok(api::forbidden());
        }
        let row = hosts::want(&*self.store, &id, pool.as_ref()).await?;
        Ok(http::json(StatusCode::OK, &row))
    }

    async fn remove_host(
        &self,
        host: &str,
        reader: &Reader,
    ) -> Result<BufferedResponse, HostError> {
        let Some(Host { id, row, .. }) = self.own_host(host, reader).await? else {
            return Ok(api::forbidden());
        };
        hosts::remove(&*self.store, &id).await?;
        Ok(http::json(StatusCode::OK, &row))
    }

    /// Returns a host whose pool the operator may change; `None` if it is another group's or absent.
    async fn own_host(&self, host: &str, reader: &Reader) -> Result<Option<Host>, HostError> {
        let Ok(id) = host.parse::<HostId>() else {
            return Ok(None);
        };
        match hosts::find(&*self.store, &id).await {
            Ok(host) => Ok(reader.covers_pool(&host.row.pool).then_some(host)),
            // An operator of the whole tree may hear that it is absent.
            Err(HostError::Missing(_)) if !reader.covers(&Owner::Tree) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Answers `/v1/pools`.
    pub(super) async fn pools(&self, reader: &Reader) -> BufferedResponse {
        match self.pool_reports(reader).await {
            Ok(reports) => http::json(StatusCode::OK, &reports),
            Err(error) => api::store_problem(&error),
        }
    }

    async fn pool_reports<'f>(
        &self,
        reader: &'f Reader,
    ) -> Result<Vec<PoolReport<'f>>, StoreError> {
        let pools: Vec<&PoolName> = reader.pools().collect();
        let leases = self.store.read(pools.iter().map(|pool| keys::lease(pool)).collect()).await?;
        let mut phases: BTreeMap<PoolName, Vec<HostPhase>> = BTreeMap::new();
        for host in hosts::all(&*self.store).await? {
            phases.entry(host.row.pool).or_default().push(host.row.phase);
        }
        let report = |(pool, lease): (&'f PoolName, _)| {
            let lease: LeaseRow = lease;
            let of = phases.get(pool).map(Vec::as_slice).unwrap_or_default();
            let count = |phase| of.iter().filter(|&&other| other == phase).count();
            PoolReport {
                pool,
                group: &reader.fleet.pools[pool].group,
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

fn refuse(error: &HostError) -> BufferedResponse {
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
