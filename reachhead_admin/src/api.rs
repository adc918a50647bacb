//! The calls of the API; docs/API.md lists them.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use futures::future::{BoxFuture, FutureExt};
use hyper::{Method, StatusCode};
use reachhead_ops::{
    event::{Event, emit},
    http::{self, Handler, WholeRequest, WholeResponse},
};
use reachhead_store::{
    Store, StoreError,
    config::{self, ChangeError, ChangeRequest, Changer},
    keys,
    row::Scan,
};
use reachhead_types::{
    book::Book,
    fleet::{Fleet, RowFault, RowKey},
    id::{GroupName, OperatorName},
    size::{Millis, Version},
    tree::{Effective, Origins},
};
use serde::Serialize;
use serde_json::Value;
use tokio::sync::Mutex;

use crate::{auth::Auth, metrics::Metrics, status::StatusReader};

/// Log rows that one call returns.
const LOG_LIMIT: u32 = 100;

/// The API over one store.
pub struct Api {
    store: Arc<dyn Store>,
    auth: Auth,
    metrics: Metrics,
    status: StatusReader,
    /// The rows as this process has read them; changes are checked against them in turn.
    book: Mutex<Book>,
}

/// A configuration row as the API gives it.
#[derive(Serialize)]
struct RowReport<'b> {
    key: &'b RowKey,
    value: &'b Value,
    version: Version,
}

/// The answer to an accepted change.
#[derive(Serialize)]
struct Accepted {
    version: Version,
}

/// The answer to a change that was not accepted.
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
}

/// What is in force for a group, and from where.
#[derive(Serialize)]
struct EffectiveReport<'t> {
    settings: &'t Effective,
    origins: &'t Origins,
}

impl Api {
    /// Returns the API over `store`.
    pub fn new(store: Arc<dyn Store>, auth: Auth, metrics: Metrics, status: StatusReader) -> Self {
        Self { store, auth, metrics, status, book: Mutex::default() }
    }

    /// Returns the version that this process has read last.
    pub async fn version(&self) -> Version {
        self.book.lock().await.version()
    }

    async fn route(&self, request: WholeRequest, operator: OperatorName) -> WholeResponse {
        let path: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (&request.method, path.as_slice()) {
            (&Method::POST, ["v1", "changes"]) => self.change(&request.body, operator).await,
            (&Method::GET, ["v1", "rows"]) => self.rows(&request.query).await,
            (&Method::GET, ["v1", "effective", group]) => self.effective(group).await,
            (&Method::GET, ["v1", "log"]) => self.log(&request.query).await,
            (&Method::GET, ["v1", "status"]) => self.status().await,
            _ => problem(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn change(&self, body: &[u8], operator: OperatorName) -> WholeResponse {
        let request: ChangeRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return problem(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let changer = Changer::new(&*self.store, operator.clone(), now());
        let mut book = self.book.lock().await;
        match changer.change(&mut book, &request).await {
            Ok(version) => {
                self.metrics.change("accepted");
                let id = request.id;
                emit(Event::ChangeAccepted, format_args!("{id} by {operator}: {version}"));
                http::json(StatusCode::OK, &Accepted { version })
            }
            Err(error) => self.refuse(&request, error),
        }
    }

    fn refuse(&self, request: &ChangeRequest, error: ChangeError) -> WholeResponse {
        let text = error.to_string();
        emit(Event::ChangeRefused, format_args!("{}: {text}", request.id));
        let problem = Problem { error: text, nothing_changed: true, ..Problem::default() };
        let (result, status, problem) = match error {
            ChangeError::Faulty(faults) => {
                ("faulty", StatusCode::UNPROCESSABLE_ENTITY, Problem { faults, ..problem })
            }
            ChangeError::Raced(raced) => {
                ("raced", StatusCode::CONFLICT, Problem { raced, ..problem })
            }
            ChangeError::NotDone(_) => ("not-done", StatusCode::SERVICE_UNAVAILABLE, problem),
            ChangeError::Unknown(_) => (
                "unknown",
                StatusCode::GATEWAY_TIMEOUT,
                Problem { nothing_changed: false, ..problem },
            ),
        };
        self.metrics.change(result);
        http::json(status, &problem)
    }

    async fn rows(&self, query: &str) -> WholeResponse {
        let mut book = self.book.lock().await;
        if let Err(error) = config::follow(&*self.store, &mut book).await {
            return store_problem(&error);
        }
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let rows: Vec<RowReport<'_>> = book
            .rows()
            .filter(|(key, _)| key.to_string().starts_with(prefix))
            .map(|(key, value)| RowReport { key, value, version: book.row_version(key) })
            .collect();
        http::json(StatusCode::OK, &rows)
    }

    async fn effective(&self, group: &str) -> WholeResponse {
        let Ok(group) = group.parse::<GroupName>() else {
            return problem(StatusCode::BAD_REQUEST, "not a group's name");
        };
        let mut book = self.book.lock().await;
        if let Err(error) = config::follow(&*self.store, &mut book).await {
            return store_problem(&error);
        }
        let Ok(fleet) = Fleet::from_rows(book.version(), book.rows()) else {
            return problem(StatusCode::INTERNAL_SERVER_ERROR, "the rows in force have faults");
        };
        match fleet.tree.get(&group) {
            Some(node) => http::json(
                StatusCode::OK,
                &EffectiveReport { settings: &node.effective, origins: &node.origins },
            ),
            None => problem(StatusCode::NOT_FOUND, "there is no such group"),
        }
    }

    async fn log(&self, query: &str) -> WholeResponse {
        let after = parameter(query, "after").and_then(|after| after.parse().ok());
        let scan = Scan {
            prefix: keys::LOG_PREFIX.to_owned(),
            after: after.map(keys::log),
            limit: LOG_LIMIT,
        };
        match self.store.scan(scan).await {
            Ok(page) => {
                let values: Vec<Value> = page.rows.into_iter().map(|row| row.value).collect();
                http::json(StatusCode::OK, &values)
            }
            Err(error) => store_problem(&error),
        }
    }

    async fn status(&self) -> WholeResponse {
        let version = {
            let mut book = self.book.lock().await;
            if let Err(error) = config::follow(&*self.store, &mut book).await {
                return store_problem(&error);
            }
            book.version()
        };
        match self.status.read(&*self.store, version).await {
            Ok(status) => http::json(StatusCode::OK, &status),
            Err(error) => store_problem(&error),
        }
    }
}

impl Handler for Api {
    fn handle(&self, request: WholeRequest) -> BoxFuture<'_, WholeResponse> {
        async move {
            match self.auth.operator(&request.headers) {
                Some(operator) => self.route(request, operator).await,
                None => problem(StatusCode::UNAUTHORIZED, "a bearer token is needed"),
            }
        }
        .boxed()
    }
}

fn problem(status: StatusCode, error: &str) -> WholeResponse {
    let problem = Problem { error: error.to_owned(), nothing_changed: true, ..Problem::default() };
    http::json(status, &problem)
}

fn store_problem(error: &StoreError) -> WholeResponse {
    problem(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
}

/// Returns the value of a query parameter; names and numbers need no decoding.
fn parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the wall clock; it goes into the log for people and nothing is decided by it.
fn now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(since.as_millis() as u64)
}
