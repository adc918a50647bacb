//! Endpoints to start, list and control maintenance waves.

use std::collections::{BTreeMap, BTreeSet};

use hyper::{Method, StatusCode};
use reachhead_ops::http::{self, BufferedResponse};
use reachhead_pool::{
    budget::{Budgets, MinionPlacements},
    host,
};
use reachhead_store::{
    StoreError,
    hosts::{self, Host},
    platform::HostStatus,
    waves::{self, WaveError},
};
use reachhead_types::{
    hosts::LeavingHosts,
    id::{HostId, PoolName, ServiceName, WaveName},
    pool::{HostPhase, WaveRow, WaveState},
    size::Revision,
};
use serde::{Deserialize, Serialize};

use crate::api::{self, Api, read::Access};

/// Request to start a wave.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WaveRequest {
    name: WaveName,
    pools: Vec<PoolName>,
}

/// Request to change the state of a wave.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateRequest {
    state: WaveState,
}

/// The wave of a pool in a response.
#[derive(Serialize)]
struct WaveReport {
    pool: PoolName,
    name: WaveName,
    state: WaveState,
    hosts: Vec<HostReport>,
}

/// A host of a wave in a response.
#[derive(Serialize)]
struct HostReport {
    host: HostId,
    phase: HostPhase,
    is_done: bool,
    /// The reason why its next step is blocked; `None` if it is not.
    hold: Option<String>,
}

/// Fleet-wide data by which a host's blocker is determined.
struct HoldContext {
    placements: MinionPlacements,
    budgets: Budgets,
    leaving: BTreeSet<HostId>,
}

impl Api {
    /// Handles the endpoints under `/v1/waves`.
    pub(super) async fn route_waves(
        &self,
        method: &Method,
        path: &[&str],
        body: &[u8],
        access: &Access,
    ) -> BufferedResponse {
        let result = match (method, path) {
            (&Method::GET, []) => self.show_waves(None, access).await,
            (&Method::GET, [name]) => match name.parse::<WaveName>() {
                Ok(name) => self.show_waves(Some(&name), access).await,
                Err(_) => Ok(api::problem(StatusCode::BAD_REQUEST, "not a wave's name")),
            },
            (&Method::POST, []) => self.start_wave(body, access).await,
            (&Method::POST, [name, "state"]) => self.set_wave_state(name, body, access).await,
            _ => Ok(api::problem(StatusCode::NOT_FOUND, "no such call")),
        };
        result.unwrap_or_else(|error| error_response(&error))
    }

    async fn start_wave(
        &self,
        body: &[u8],
        access: &Access,
    ) -> Result<BufferedResponse, WaveError> {
        let WaveRequest { name, pools } = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return Ok(api::problem(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        if !pools.iter().all(|pool| access.covers_pool(pool)) {
            return Ok(api::forbidden());
        }
        if let Some(pool) = pools.iter().find(|pool| !access.fleet.pools.contains_key(*pool)) {
            let text = format!("there is no pool {pool}");
            return Ok(api::problem(StatusCode::NOT_FOUND, &text));
        }
        for pool in &pools {
            waves::start(&*self.store, pool, &name).await?;
        }
        self.show_waves(Some(&name), access).await
    }

    async fn set_wave_state(
        &self,
        name: &str,
        body: &[u8],
        access: &Access,
    ) -> Result<BufferedResponse, WaveError> {
        let (Ok(name), Ok(StateRequest { state })) =
            (name.parse::<WaveName>(), serde_json::from_slice(body))
        else {
            return Ok(api::problem(StatusCode::BAD_REQUEST, "a wave's name and state are needed"));
        };
        let mut is_found = false;
        for pool in access.pools() {
            let wave = waves::of_pool(&*self.store, pool).await?;
            if wave.is_some_and(|wave| wave.name == name) {
                waves::set_state(&*self.store, pool, &name, state).await?;
                is_found = true;
            }
        }
        match is_found {
            true => self.show_waves(Some(&name), access).await,
            false => Ok(api::problem(StatusCode::NOT_FOUND, "there is no such wave")),
        }
    }

    async fn show_waves(
        &self,
        name: Option<&WaveName>,
        access: &Access,
    ) -> Result<BufferedResponse, WaveError> {
        let context = self.context(access).await?;
        let mut matching: BTreeMap<PoolName, WaveRow> = BTreeMap::new();
        for pool in access.pools() {
            let wave = waves::of_pool(&*self.store, pool).await?;
            if let Some(wave) = wave.filter(|wave| name.is_none_or(|name| *name == wave.name)) {
                matching.insert(pool.clone(), wave);
            }
        }
        let pools: Vec<PoolName> = matching.keys().cloned().collect();
        let mut hosts = hosts::in_pools(&*self.store, &pools).await?;
        let mut reports = Vec::new();
        for (pool, wave) in matching {
            let hosts = hosts.remove(&pool).unwrap_or_default();
            reports.push(self.report(pool, wave, hosts, &context).await?);
        }
        Ok(http::json(StatusCode::OK, &reports))
    }

    async fn context(&self, access: &Access) -> Result<HoldContext, StoreError> {
        let services: Vec<ServiceName> = access.fleet.services.keys().cloned().collect();
        let budgets = hosts::budgets(&*self.store, services).await?;
        let list = self.lister.list(Revision(0)).await?;
        Ok(HoldContext {
            placements: MinionPlacements::new(&access.fleet),
            budgets: budgets.into_iter().map(|budget| (budget.service, budget.row)).collect(),
            leaving: list.map(|list| LeavingHosts::from(&list).hosts).unwrap_or_default(),
        })
    }

    async fn report(
        &self,
        pool: PoolName,
        wave: WaveRow,
        found: Vec<Host>,
        context: &HoldContext,
    ) -> Result<WaveReport, StoreError> {
        let ids = found.iter().map(|host| host.id.clone()).collect();
        let statuses = self.platform.status(ids).await?;
        let report = |(host, status): (Host, Option<HostStatus>)| HostReport {
            phase: host.row.phase,
            is_done: host.row.last_wave.as_ref() == Some(&wave.name),
            hold: context.blocker(&host, &wave, status.as_ref()),
            host: host.id,
        };
        let hosts = found.into_iter().zip(statuses).map(report).collect();
        Ok(WaveReport { pool, name: wave.name.clone(), state: wave.state, hosts })
    }
}

impl HoldContext {
    /// Returns the reason why the next step of `host` in `wave` is blocked, if it is.
    fn blocker(&self, host: &Host, wave: &WaveRow, status: Option<&HostStatus>) -> Option<String> {
        let Some(status) = status else {
            return Some("the platform does not know the host".to_owned());
        };
        match host.row.phase {
            HostPhase::Serving if !host::is_due(&host.row, wave) => None,
            HostPhase::Serving if !status.is_up => Some("the host is down".to_owned()),
            HostPhase::Serving => self
                .placements
                .drain_blocker(&host.id, &self.budgets, &self.leaving)
                .map(|blocker| blocker.to_string()),
            HostPhase::Draining if status.running > 0 => {
                Some(format!("{} tasks or requests still run", status.running))
            }
            _ if !status.is_up => Some("the host is down".to_owned()),
            _ => None,
        }
    }
}

fn error_response(error: &WaveError) -> BufferedResponse {
    let text = error.to_string();
    match error {
        WaveError::Missing(..) => api::problem(StatusCode::NOT_FOUND, &text),
        WaveError::Busy(..) | WaveError::Cancelled(_) | WaveError::Raced => {
            api::problem(StatusCode::CONFLICT, &text)
        }
        WaveError::Store(error) => api::store_problem(error),
    }
}
