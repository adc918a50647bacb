//! The calls of the API; docs/API.md lists them.

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
    api::read::Reader,
    auth::{Auth, Caller},
    metrics::Metrics,
    status::StatusReader,
};

/// What the platform offers.
pub struct Services {
    /// Its table service.
    pub store: Arc<dyn Store>,
    /// Its hosts.
    pub platform: Arc<dyn Platform>,
    /// Its host list.
    pub lister: Arc<dyn HostLister>,
}

/// The API over one store.
pub struct Api {
    store: Arc<dyn Store>,
    platform: Arc<dyn Platform>,
    lister: Arc<dyn HostLister>,
    auth: Auth,
    metrics: Metrics,
    status: StatusReader,
    /// Versions that the log keeps.
    keep: u64,
    /// The rows as this process has read them; changes are checked against them in turn.
    snapshot: Mutex<ConfigSnapshot>,
}

/// The answer to a call that was not carried out.
#[derive(Serialize, Default)]
struct Problem {
    /// What happened, for people.
    error: String,
    /// Whether it is certain that nothing changed.
    nothing_changed: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    faults: Vec<RowFault>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    raced: Vec<RowKey>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    forbidden: Vec<RowKey>,
}

impl Api {
    /// Returns the API over the platform's services.
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
            auth: Auth::new(settings),
            metrics,
            status,
            keep: u64::from(settings.keep.get()),
            snapshot: Mutex::new(ConfigSnapshot::new()),
        }
    }

    /// Returns the version of the rows that this process has read.
    pub async fn version(&self) -> Version {
        self.snapshot.lock().await.version()
    }

    /// Returns the newest rows.
    async fn follow(&self) -> Result<MutexGuard<'_, ConfigSnapshot>, StoreError> {
        let mut snapshot = self.snapshot.lock().await;
        config::follow(&*self.store, &mut snapshot).await?;
        Ok(snapshot)
    }

    async fn answer(&self, request: BufferedRequest) -> BufferedResponse {
        let snapshot = match self.follow().await {
            Ok(snapshot) => snapshot,
            // The one token of the settings is known without the store; it then says what is down.
            Err(error) if self.auth.is_root(&request.headers) => return store_problem(&error),
            Err(_) => return problem(StatusCode::UNAUTHORIZED, "the token can't be checked now"),
        };
        match self.auth.caller(&request.headers, &snapshot) {
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
                let Some(fleet) = fleet(&snapshot) else {
                    return faulty();
                };
                // The store is used without the rows, so that nobody else is kept waiting.
                drop(snapshot);
                let reader = Reader { caller, fleet };
                match page {
                    ["waves", wave @ ..] => self.waves(method, wave, &request.body, &reader).await,
                    ["hosts", host @ ..] => {
                        self.hosts(method, host, &request.query, &request.body, &reader).await
                    }
                    page if method == Method::GET => self.read(page, &request.query, &reader).await,
                    _ => problem(StatusCode::NOT_FOUND, "no such call"),
                }
            }
            _ => problem(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl Handler for Api {
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse> {
        self.answer(request).boxed()
    }
}

/// Returns the fleet of `snapshot`; `None` if its rows have faults, which the check of changes rules out.
fn fleet(snapshot: &ConfigSnapshot) -> Option<Fleet> {
    Fleet::from_rows(snapshot.version(), snapshot.rows()).ok()
}

fn faulty() -> BufferedResponse {
    problem(StatusCode::INTERNAL_SERVER_ERROR, "the rows in force have faults")
}

fn problem(status: StatusCode, error: &str) -> BufferedResponse {
    let problem = Problem { error: error.to_owned(), nothing_changed: true, ..Problem::default() };
    http::json(status, &problem)
}

/// Returns what an operator is told who may not read something, be it there or not.
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

/// Returns the value of a query parameter; names and numbers need no decoding.
fn parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the version that a query names, or `default` where it names none.
fn version_parameter(query: &str, name: &str, default: Version) -> Version {
    parameter(query, name).and_then(|text| text.parse().ok()).unwrap_or(default)
}
