//! Maintenance waves: starting, steering, and telling what holds them.

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

use crate::api::{self, Api, read::Reader};

/// A wave to start.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewWave {
    name: WaveName,
    pools: Vec<PoolName>,
}

/// A wave's new state.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewState {
    state: WaveState,
}

/// The wave of a pool as the API gives it.
#[derive(Serialize)]
struct WaveReport {
    pool: PoolName,
    name: WaveName,
    state: WaveState,
    hosts: Vec<HostReport>,
}

/// A host in a wave.
#[derive(Serialize)]
struct HostReport {
    host: HostId,
    phase: HostPhase,
    is_done: bool,
    /// What keeps it from going on; `None` if nothing does.
    hold: Option<String>,
}

/// What is known of the hosts beside their rows.
struct Context {
    loads: MinionPlacements,
    budgets: Budgets,
    gone: BTreeSet<HostId>,
}

impl Api {
    /// Answers the calls under `/v1/waves`.
    pub(super) async fn waves(
        &self,
        method: &Method,
        path: &[&str],
        body: &[u8],
        reader: &Reader,
    ) -> BufferedResponse {
        let result = match (method, path) {
            (&Method::GET, []) => self.show_waves(None, reader).await,
            (&Method::GET, [name]) => match name.parse::<WaveName>() {
                Ok(name) => self.show_waves(Some(&name), reader).await,
                Err(_) => Ok(api::problem(StatusCode::BAD_REQUEST, "not a wave's name")),
            },
            (&Method::POST, []) => self.start_wave(body, reader).await,
            (&Method::POST, [name, "state"]) => self.set_wave(name, body, reader).await,
            _ => Ok(api::problem(StatusCode::NOT_FOUND, "no such call")),
        };
        result.unwrap_or_else(|error| refuse(&error))
    }

    async fn start_wave(
        &self,
        body: &[u8],
        reader: &Reader,
    ) -> Result<BufferedResponse, WaveError> {
        let NewWave { name, pools } = match serde_json::from_slice(body) {
            Ok(new) => new,
            Err(error) => return Ok(api::problem(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        if !pools.iter().all(|pool| reader.covers_pool(pool)) {
            return Ok(api::forbidden());
        }
        if let Some(pool) = pools.iter().find(|pool| !reader.fleet.pools.contains_key(*pool)) {
            let text = format!("there is no pool {pool}");
            return Ok(api::problem(StatusCode::NOT_FOUND, &text));
        }
        for pool in &pools {
            waves::start(&*self.store, pool, &name).await?;
        }
        self.show_waves(Some(&name), reader).await
    }

    async fn set_wave(
        &self,
        name: &str,
        body: &[u8],
        reader: &Reader,
    ) -> Result<BufferedResponse, WaveError> {
        let (Ok(name), Ok(NewState { state })) =
            (name.parse::<WaveName>(), serde_json::from_slice(body))
        else {
            return Ok(api::problem(StatusCode::BAD_REQUEST, "a wave's name and state are needed"));
        };
        let mut is_known = false;
        for pool in reader.pools() {
            let wave = waves::of_pool(&*self.store, pool).await?;
            if wave.is_some_and(|wave| wave.name == name) {
                waves::set_state(&*self.store, pool, &name, state).await?;
                is_known = true;
            }
        }
        match is_known {
            true => self.show_waves(Some(&name), reader).await,
            false => Ok(api::problem(StatusCode::NOT_FOUND, "there is no such wave")),
        }
    }

    async fn show_waves(
        &self,
        name: Option<&WaveName>,
        reader: &Reader,
    ) -> Result<BufferedResponse, WaveError> {
        let context = self.context(reader).await?;
        let mut shown: BTreeMap<PoolName, WaveRow> = BTreeMap::new();
        for pool in reader.pools() {
            let wave = waves::of_pool(&*self.store, pool).await?;
            if let Some(wave) = wave.filter(|wave| name.is_none_or(|name| *name == wave.name)) {
                shown.insert(pool.clone(), wave);
            }
        }
        let pools: Vec<PoolName> = shown.keys().cloned().collect();
        let mut hosts = hosts::in_pools(&*self.store, &pools).await?;
        let mut reports = Vec::new();
        for (pool, wave) in shown {
            let hosts = hosts.remove(&pool).unwrap_or_default();
            reports.push(self.report(pool, wave, hosts, &context).await?);
        }
        Ok(http::json(StatusCode::OK, &reports))
    }

    async fn context(&self, reader: &Reader) -> Result<Context, StoreError> {
        let services: Vec<ServiceName> = reader.fleet.services.keys().cloned().collect();
        let budgets = hosts::budgets(&*self.store, services).await?;
        let list = self.lister.list(Revision(0)).await?;
        Ok(Context {
            loads: MinionPlacements::new(&reader.fleet),
            budgets: budgets.into_iter().map(|budget| (budget.service, budget.row)).collect(),
            gone: list.map(|list| LeavingHosts::from(&list).hosts).unwrap_or_default(),
        })
    }

    async fn report(
        &self,
        pool: PoolName,
        wave: WaveRow,
        found: Vec<Host>,
        context: &Context,
    ) -> Result<WaveReport, StoreError> {
        let ids = found.iter().map(|host| host.id.clone()).collect();
        let statuses = self.platform.status(ids).await?;
        let report = |(host, status): (Host, Option<HostStatus>)| HostReport {
            phase: host.row.phase,
            is_done: host.row.done.as_ref() == Some(&wave.name),
            hold: context.hold(&host, &wave, status.as_ref()),
            host: host.id,
        };
        let hosts = found.into_iter().zip(statuses).map(report).collect();
        Ok(WaveReport { pool, name: wave.name.clone(), state: wave.state, hosts })
    }
}

impl Context {
    /// Returns what keeps a host from going on in a wave.
    fn hold(&self, host: &Host, wave: &WaveRow, status: Option<&HostStatus>) -> Option<String> {
        let Some(status) = status else {
            return Some("the platform does not know the host".to_owned());
        };
        match host.row.phase {
            HostPhase::Serving if !host::is_due(&host.row, wave) => None,
            HostPhase::Serving if !status.is_up => Some("the host is down".to_owned()),
            HostPhase::Serving => self
                .loads
                .drain_blocker(&host.id, &self.budgets, &self.gone)
                .map(|blocker| blocker.to_string()),
            HostPhase::Draining if status.running > 0 => {
                Some(format!("{} tasks or requests still run", status.running))
            }
            _ if !status.is_up => Some("the host is down".to_owned()),
            _ => None,
        }
    }
}

fn refuse(error: &WaveError) -> BufferedResponse {
    let text = error.to_string();
    match error {
        WaveError::Missing(..) => api::problem(StatusCode::NOT_FOUND, &text),
        WaveError::Busy(..) | WaveError::Cancelled(_) | WaveError::Raced => {
            api::problem(StatusCode::CONFLICT, &text)
        }
        WaveError::Store(error) => api::store_problem(error),
    }
}
