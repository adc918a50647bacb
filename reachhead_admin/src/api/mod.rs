//! Routing and shared responses of the API; docs/API.md lists its endpoints.

mod change;
mod hosts;
mod read;
mod waves;

use std::sync::Arc;

use futures::future::{BoxFuture, FutureExt};
use hyper::{Method, StatusCode};
use reachhead_config::admin::ApiSettings;
use reachhead_ops::http::{self, BufferedRequest, BufferedResponse, Handler};
use reachhead_store::{HostLister, Store, StoreError, config, platform::Platform};
use reachhead_types::{
    fleet::{Fleet, RowFault, RowKey},
    size::Version,
    snapshot::ConfigSnapshot,
};
use serde::Serialize;
use tokio::sync::{Mutex, MutexGuard};

use crate::{
    api::read::Access,
    auth::{Authenticator, Caller},
    metrics::Metrics,
    status::StatusReader,
};

/// Services of the platform that the API uses.
pub struct Services {
    /// The table service.
    pub store: Arc<dyn Store>,
    /// The service for host status.
    pub platform: Arc<dyn Platform>,
    /// The host list.
    pub lister: Arc<dyn HostLister>,
}

/// The HTTP API for operators.
pub struct Api {
    store: Arc<dyn Store>,
    platform: Arc<dyn Platform>,
    lister: Arc<dyn HostLister>,
    auth: Authenticator,
    metrics: Metrics,
    status: StatusReader,
    /// Minimum number of versions kept in the log.
    min_log_versions: u64,
    /// Configuration rows as last read; changes hold the lock and are validated against them one by
    /// one.
    snapshot: Mutex<ConfigSnapshot>,
}

/// Response to a request that failed.
#[derive(Serialize, Default)]
struct Problem {
    /// Description of the error, for people.
    error: String,
    /// Whether it is certain that the request changed nothing.
    nothing_changed: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    faults: Vec<RowFault>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    raced: Vec<RowKey>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    forbidden: Vec<RowKey>,
}

impl Api {
    /// Returns the API on top of the platform's services.
    pub fn new(
        services: Services,
        settings: &ApiSettings,
        metrics: Metrics,
        status: StatusReader,
    ) -> Self {
        let Services { store, platform, lister } = services;
        Self {
            store,
            platform,
            lister,
            auth: Authenticator::new(settings),
            metrics,
            status,
            min_log_versions: u64::from(settings.keep.get()),
            snapshot: Mutex::new(ConfigSnapshot::new()),
        }
    }

    /// Returns the configuration version last read by this process.
    pub async fn version(&self) -> Version {
        self.snapshot.lock().await.version()
    }

    /// Reads the newest configuration and returns it locked.
    async fn latest_snapshot(&self) -> Result<MutexGuard<'_, ConfigSnapshot>, StoreError> {
        let mut snapshot = self.snapshot.lock().await;
        config::follow(&*self.store, &mut snapshot).await?;
        Ok(snapshot)
    }

    async fn respond(&self, request: BufferedRequest) -> BufferedResponse {
        let snapshot = match self.latest_snapshot().await {
            Ok(snapshot) => snapshot,
            // The root token can be checked without the store, so its holder learns what is down.
            Err(error) if self.auth.is_root(&request.headers) => return store_problem(&error),
            Err(_) => return problem(StatusCode::UNAUTHORIZED, "the token can't be checked now"),
        };
        match self.auth.authenticate(&request.headers, &snapshot) {
            Some(caller) => self.route(request, caller, snapshot).await,
            None => problem(StatusCode::UNAUTHORIZED, "a bearer token is needed"),
        }
    }

    async fn route(
        &self,
        request: BufferedRequest,
        caller: Caller,
        snapshot: MutexGuard<'_, ConfigSnapshot>,
    ) -> BufferedResponse {
        let path: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (&request.method, path.as_slice()) {
            (&Method::POST, ["v1", "changes"]) => {
                self.change(&request.body, caller, snapshot).await
            }
            (&Method::POST, ["v1", "undo"]) => self.undo(&request.body, caller, snapshot).await,
            (&Method::GET, ["v1", "rows"]) => read::rows(&snapshot, &request.query, &caller),
            (method, ["v1", page @ ..]) => {
                let Some(fleet) = parse_fleet(&snapshot) else {
                    return invalid_configuration();
                };
                // Releases the lock, so that other requests don't wait for the store accesses
                // below.
                drop(snapshot);
                let access = Access { caller, fleet };
                match page {
                    ["waves", wave @ ..] => {
                        self.route_waves(method, wave, &request.body, &access).await
                    }
                    ["hosts", host @ ..] => {
                        self.route_hosts(method, host, &request.query, &request.body, &access).await
                    }
                    page if method == Method::GET => {
                        self.route_reads(page, &request.query, &access).await
                    }
                    _ => problem(StatusCode::NOT_FOUND, "no such call"),
                }
            }
            _ => problem(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl Handler for Api {
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse> {
        self.respond(request).boxed()
    }
}

/// Returns the fleet of `snapshot`; `None` if its rows are invalid, which the validation of changes
/// rules out.
fn parse_fleet(snapshot: &ConfigSnapshot) -> Option<Fleet> {
    Fleet::from_rows(snapshot.version(), snapshot.rows()).ok()
}

fn invalid_configuration() -> BufferedResponse {
    problem(StatusCode::INTERNAL_SERVER_ERROR, "the rows in force have faults")
}

fn problem(status: StatusCode, error: &str) -> BufferedResponse {
    let problem = Problem { error: error.to_owned(), nothing_changed: true, ..Problem::default() };
    http::json(status, &problem)
}

/// Returns the response for anything outside the operator's scope, whether it exists or not.
fn forbidden() -> BufferedResponse {
    problem(StatusCode::FORBIDDEN, "outside the operator's scope")
}

fn store_problem(error: &StoreError) -> BufferedResponse {
    let status = match error {
        StoreError::Refused(_) => StatusCode::UNPROCESSABLE_ENTITY,
        StoreError::NotDone(_) | StoreError::Busy(_) | StoreError::Lost(_) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    problem(status, &error.to_string())
}

/// Returns the raw value of a query parameter; names and numbers need no percent-decoding.
fn query_parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the version in a query parameter, or `default` if it is absent or invalid.
fn version_query_parameter(query: &str, name: &str, default: Version) -> Version {
    query_parameter(query, name).and_then(|text| text.parse().ok()).unwrap_or(default)
}
