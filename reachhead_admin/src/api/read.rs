//! Reads: rows, settings in force, history, differences, status.

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

/// A configuration row as the API gives it.
#[derive(Serialize)]
struct RowReport<'b> {
    key: &'b RowKey,
    value: &'b Value,
    version: Version,
}

/// What is in force for a group, and from where.
#[derive(Serialize)]
struct EffectiveReport<'t> {
    settings: &'t Effective,
    origins: &'t Origins,
}

/// Who reads, and the fleet by which it is told what that operator may read.
pub(super) struct Reader {
    /// The operator.
    pub caller: Caller,
    /// The newest fleet.
    pub fleet: Fleet,
}

impl Reader {
    /// Tells whether the operator's word is enough for what `owner` owns.
    pub fn covers(&self, owner: &Owner) -> bool {
        self.caller.scope.covers(&self.fleet.tree, owner)
    }
}

pub(super) fn rows(snapshot: &ConfigSnapshot, query: &str, caller: &Caller) -> BufferedResponse {
    let Some(fleet) = api::fleet(snapshot) else {
        return api::faulty();
    };
    let prefix = api::parameter(query, "prefix").unwrap_or_default();
    let rows: Vec<RowReport<'_>> = snapshot
        .rows()
        .filter(|(key, _)| key.to_string().starts_with(prefix) && caller.scope.reads(&fleet, key))
        .map(|(key, value)| RowReport { key, value, version: snapshot.row_version(key) })
        .collect();
    http::json(StatusCode::OK, &rows)
}

fn effective(group: &str, reader: &Reader) -> BufferedResponse {
    let Ok(group) = group.parse::<GroupName>() else {
        return api::problem(StatusCode::BAD_REQUEST, "not a group's name");
    };
    if !reader.covers(&Owner::Group(group.clone())) {
        return api::forbidden();
    }
    match reader.fleet.tree.get(&group) {
        Some(node) => http::json(
            StatusCode::OK,
            &EffectiveReport { settings: &node.effective, origins: &node.origins },
        ),
        None => api::problem(StatusCode::NOT_FOUND, "there is no such group"),
    }
}

impl Api {
    /// Answers the reads that need the store or the fleet.
    pub(super) async fn read(
        &self,
        page: &[&str],
        query: &str,
        reader: &Reader,
    ) -> BufferedResponse {
        match page {
            ["effective", group] => effective(group, reader),
            ["log"] => self.log(query, reader).await,
            ["history"] => self.history(query, reader).await,
            ["diff"] => self.diff(query, reader).await,
            ["pools"] => self.pools(reader).await,
            ["status"] => self.status(reader.fleet.version).await,
            _ => api::problem(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn log(&self, query: &str, reader: &Reader) -> BufferedResponse {
        let after = api::version_parameter(query, "after", Version(0));
        match history::log(&*self.store, after).await {
            Ok(mut rows) => {
                // A version of which nothing may be read stays, so that a reader can go on after it.
                for row in &mut rows {
                    row.writes.retain(|write| reader.covers(&write.reader));
                }
                http::json(StatusCode::OK, &rows)
            }
            Err(error) => api::store_problem(&error),
        }
    }

    async fn history(&self, query: &str, reader: &Reader) -> BufferedResponse {
        let Some(Ok(key)) = api::parameter(query, "key").map(str::parse::<RowKey>) else {
            return api::problem(StatusCode::BAD_REQUEST, "key must name a row");
        };
        let after = api::version_parameter(query, "after", Version(0));
        match history::row(&*self.store, &key, after).await {
            Ok(mut events) => {
                events.retain(|event| reader.covers(&event.reader));
                http::json(StatusCode::OK, &events)
            }
            Err(error) => api::store_problem(&error),
        }
    }

    async fn diff(&self, query: &str, reader: &Reader) -> BufferedResponse {
        let from = api::version_parameter(query, "from", Version(0));
        let to = api::version_parameter(query, "to", reader.fleet.version);
        let may_read = |write: &LoggedWrite| reader.covers(&write.reader);
        match history::diff(&*self.store, from, to, may_read).await {
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
