//! Read endpoints: rows, effective settings, log, history, diff and status.

use hyper::StatusCode;
use reachhead_ops::http::{self, BufferedResponse};
use reachhead_store::config::{LoggedWrite, history};
use reachhead_types::{
    fleet::{Fleet, RowKey},
    id::GroupName,
    scope::Owner,
    size::Version,
    snapshot::ConfigSnapshot,
    tree::{Effective, Origins},
};
use serde::Serialize;
use serde_json::Value;

use crate::{
    api::{self, Api},
    auth::Caller,
};

/// A configuration row in a response.
#[derive(Serialize)]
struct RowReport<'b> {
    key: &'b RowKey,
    value: &'b Value,
    version: Version,
}

/// Effective settings of a group and the groups that they come from.
#[derive(Serialize)]
struct EffectiveReport<'t> {
    settings: &'t Effective,
    origins: &'t Origins,
}

/// A caller and the fleet that determines what is in its scope.
pub(super) struct Access {
    /// The authenticated operator.
    pub caller: Caller,
    /// The newest fleet.
    pub fleet: Fleet,
}

impl Access {
    /// Returns whether the operator's scope covers what `owner` owns.
    pub fn covers(&self, owner: &Owner) -> bool {
        self.caller.scope.covers(&self.fleet.tree, owner)
    }
}

pub(super) fn rows(snapshot: &ConfigSnapshot, query: &str, caller: &Caller) -> BufferedResponse {
    let Some(fleet) = api::parse_fleet(snapshot) else {
        return api::invalid_configuration();
    };
    let prefix = api::query_parameter(query, "prefix").unwrap_or_default();
    let rows: Vec<RowReport<'_>> = snapshot
        .rows()
        .filter(|(key, _)| {
            key.to_string().starts_with(prefix) && caller.scope.can_read(&fleet, key)
        })
        .map(|(key, value)| RowReport { key, value, version: snapshot.row_version(key) })
        .collect();
    http::json(StatusCode::OK, &rows)
}

fn effective(group: &str, access: &Access) -> BufferedResponse {
    let Ok(group) = group.parse::<GroupName>() else {
        return api::problem(StatusCode::BAD_REQUEST, "not a group's name");
    };
    if !access.covers(&Owner::Group(group.clone())) {
        return api::forbidden();
    }
    match access.fleet.tree.get(&group) {
        Some(node) => http::json(
            StatusCode::OK,
            &EffectiveReport { settings: &node.effective, origins: &node.origins },
        ),
        None => api::problem(StatusCode::NOT_FOUND, "there is no such group"),
    }
}

impl Api {
    /// Handles the GET endpoints that need the store or the fleet.
    pub(super) async fn route_reads(
        &self,
        page: &[&str],
        query: &str,
        access: &Access,
    ) -> BufferedResponse {
        match page {
            ["effective", group] => effective(group, access),
            ["log"] => self.log(query, access).await,
            ["history"] => self.history(query, access).await,
            ["diff"] => self.diff(query, access).await,
            ["pools"] => self.pools(access).await,
            ["status"] => self.status(access.fleet.version).await,
            _ => api::problem(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn log(&self, query: &str, access: &Access) -> BufferedResponse {
        let after = api::version_query_parameter(query, "after", Version(0));
        match history::log(&*self.store, after).await {
            Ok(mut rows) => {
                // Versions without readable writes stay in the list, so that a client can continue
                // after them.
                for row in &mut rows {
                    row.writes.retain(|write| access.covers(&write.reader));
                }
                http::json(StatusCode::OK, &rows)
            }
            Err(error) => api::store_problem(&error),
        }
    }

    async fn history(&self, query: &str, access: &Access) -> BufferedResponse {
        let Some(Ok(key)) = api::query_parameter(query, "key").map(str::parse::<RowKey>) else {
            return api::problem(StatusCode::BAD_REQUEST, "key must name a row");
        };
        let after = api::version_query_parameter(query, "after", Version(0));
        match history::row_history(&*self.store, &key, after).await {
            Ok(mut events) => {
                events.retain(|event| access.covers(&event.reader));
                http::json(StatusCode::OK, &events)
            }
            Err(error) => api::store_problem(&error),
        }
    }

    async fn diff(&self, query: &str, access: &Access) -> BufferedResponse {
        let from = api::version_query_parameter(query, "from", Version(0));
        let to = api::version_query_parameter(query, "to", access.fleet.version);
        let can_read = |write: &LoggedWrite| access.covers(&write.reader);
        match history::diff(&*self.store, from, to, can_read).await {
            Ok(rows) => http::json(StatusCode::OK, &rows),
            Err(error) => api::store_problem(&error),
        }
    }

    async fn status(&self, version: Version) -> BufferedResponse {
        match self.status.read(&*self.store, version).await {
            Ok(status) => http::json(StatusCode::OK, &status),
            Err(error) => api::store_problem(&error),
        }
    }
}
