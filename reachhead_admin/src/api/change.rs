//! Configuration changes and their undo.

use std::time::{SystemTime, UNIX_EPOCH};

use hyper::StatusCode;
use log::debug;
use reachhead_ops::{
    event::{Event, emit},
    http::{self, BufferedResponse},
};
use reachhead_store::config::{ChangeError, ChangeRequest, ConfigWriter, history};
use reachhead_types::{
    id::ChangeId,
    size::{Millis, Version},
    snapshot::ConfigSnapshot,
};
use serde::{Deserialize, Serialize};
use tokio::sync::MutexGuard;

use crate::{
    api::{self, Api, Problem},
    auth::Caller,
};

/// Number of versions between two truncations of the log; less than one truncation deletes, so that
/// the log stays bounded.
const LOG_TRUNCATION_PERIOD: u64 = 32;

/// Response to an accepted change.
#[derive(Serialize)]
struct Accepted {
    version: Version,
}

/// Request to undo a version.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UndoRequest {
    /// Id of the change that undoes it.
    id: ChangeId,
    /// The version to undo.
    version: Version,
}

impl Api {
    pub(super) async fn change(
        &self,
        body: &[u8],
        caller: Caller,
        snapshot: MutexGuard<'_, ConfigSnapshot>,
    ) -> BufferedResponse {
        match serde_json::from_slice(body) {
            Ok(request) => self.apply_change(&request, caller, snapshot).await,
            Err(error) => api::problem(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    pub(super) async fn undo(
        &self,
        body: &[u8],
        caller: Caller,
        snapshot: MutexGuard<'_, ConfigSnapshot>,
    ) -> BufferedResponse {
        let UndoRequest { id, version } = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return api::problem(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let log = match history::find(&*self.store, version).await {
            Ok(Some(log)) => log,
            Ok(None) => return api::problem(StatusCode::NOT_FOUND, "there is no such version"),
            Err(error) => return api::store_problem(&error),
        };
        let Some(fleet) = api::parse_fleet(&snapshot) else {
            return api::invalid_configuration();
        };
        let is_out_of_scope =
            log.writes.iter().any(|write| !caller.scope.covers(&fleet.tree, &write.reader));
        if is_out_of_scope {
            return api::forbidden();
        }
        self.apply_change(&history::undo(id, log), caller, snapshot).await
    }

    async fn apply_change(
        &self,
        request: &ChangeRequest,
        caller: Caller,
        mut snapshot: MutexGuard<'_, ConfigSnapshot>,
    ) -> BufferedResponse {
        let Caller { operator, scope } = caller;
        let writer =
            ConfigWriter::new(&*self.store, operator.clone(), wall_clock()).with_scope(scope);
        match writer.change(&mut snapshot, request).await {
            Ok(version) => {
                self.metrics.count_change("accepted");
                let id = request.id;
                emit(Event::ChangeAccepted, format_args!("{id} by {operator}: {version}"));
                drop(snapshot);
                self.truncate_log(version).await;
                http::json(StatusCode::OK, &Accepted { version })
            }
            Err(error) => self.change_error(request, error),
        }
    }

    /// Truncates the log every [`LOG_TRUNCATION_PERIOD`] versions; after a failure a later change
    /// retries.
    async fn truncate_log(&self, version: Version) {
        if version.0 % LOG_TRUNCATION_PERIOD != 0 {
            return;
        }
        if let Err(error) =
            history::truncate_log(&*self.store, version, self.min_log_versions).await
        {
            debug!("truncating the configuration log failed: {error}");
        }
    }

    fn change_error(&self, request: &ChangeRequest, error: ChangeError) -> BufferedResponse {
        let text = error.to_string();
        emit(Event::ChangeRefused, format_args!("{}: {text}", request.id));
        let problem = Problem { error: text, nothing_changed: true, ..Problem::default() };
        let (result, status, problem) = match error {
            ChangeError::Invalid(faults) => {
                ("faulty", StatusCode::UNPROCESSABLE_ENTITY, Problem { faults, ..problem })
            }
            ChangeError::Raced(raced) => {
                ("raced", StatusCode::CONFLICT, Problem { raced, ..problem })
            }
            ChangeError::Forbidden(forbidden) => {
                ("forbidden", StatusCode::FORBIDDEN, Problem { forbidden, ..problem })
            }
            ChangeError::NotDone(_) => ("not-done", StatusCode::SERVICE_UNAVAILABLE, problem),
            ChangeError::Unknown(_) => (
                "unknown",
                StatusCode::GATEWAY_TIMEOUT,
                Problem { nothing_changed: false, ..problem },
            ),
        };
        self.metrics.count_change(result);
        http::json(status, &problem)
    }
}

/// Returns the wall-clock time, which is logged for operators only; no decision depends on it.
fn wall_clock() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(since.as_millis() as u64)
}
