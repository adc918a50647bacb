//! HTTP listener for operators with `/live`, `/ready`, `/metrics` and `/state`, on its own thread.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
};

use futures::future::{BoxFuture, FutureExt};
use hyper::{Method, StatusCode};
use prometheus_client::{encoding::text::encode, registry::Registry};
use reachhead_types::size::{Bytes, Connections};
use serde_json::Value;
use tokio::sync::watch;

use crate::{
    connections::{Budget, BudgetLimits},
    http::{self, BufferedRequest, BufferedResponse, Handler},
    runtime,
    server::Server,
};

/// Limits of the listener; requests have no body, and answers that are not taken count.
const LIMITS: BudgetLimits = BudgetLimits::new(Connections(64), Bytes(8 << 20));

/// Media type of `/metrics`.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Health, state and metrics of a process, as shown to operators.
pub trait ProcessStatus: Send + Sync + 'static {
    /// Returns why the process is not ready, or `None` if it is.
    fn unready_reason(&self) -> Option<String>;

    /// Returns the process's state as JSON for `/state`.
    fn state(&self) -> BoxFuture<'_, Value>;

    /// Updates metrics that are computed from the state; called before each response to `/metrics`.
    fn refresh_metrics(&self) {}
}

struct OpsHandler {
    status: Arc<dyn ProcessStatus>,
    registry: Mutex<Registry>,
}

impl OpsHandler {
    fn ready(&self) -> BufferedResponse {
        match self.status.unready_reason() {
            None => http::text(StatusCode::OK, "ready\n"),
            Some(reason) => {
                http::text(StatusCode::SERVICE_UNAVAILABLE, &format!("not ready: {reason}\n"))
            }
        }
    }

    fn metrics(&self) -> BufferedResponse {
        self.status.refresh_metrics();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut body = String::new();
        match encode(&mut body, &registry) {
            Ok(()) => http::with_content_type(StatusCode::OK, METRICS_TYPE, body.into_bytes()),
            Err(error) => http::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }
}

impl Handler for OpsHandler {
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse> {
        async move {
            if request.method != Method::GET {
                return http::text(StatusCode::METHOD_NOT_ALLOWED, "GET only\n");
            }
            match request.path.as_str() {
                "/live" => http::text(StatusCode::OK, "live\n"),
                "/ready" => self.ready(),
                "/metrics" => self.metrics(),
                "/state" => http::json(StatusCode::OK, &self.status.state().await),
                _ => http::text(StatusCode::NOT_FOUND, "/live /ready /metrics /state\n"),
            }
        }
        .boxed()
    }
}

/// Starts the ops listener on `address`, for the lifetime of the process.
///
/// # Errors
///
/// Fails if the address can't be bound or the thread can't be started.
pub fn start(
    address: SocketAddr,
    status: Arc<dyn ProcessStatus>,
    registry: Registry,
) -> io::Result<()> {
    let listener = std::net::TcpListener::bind(address).map_err(|error| {
        io::Error::new(error.kind(), format!("can't listen on {address}: {error}"))
    })?;
    listener.set_nonblocking(true)?;
    let handler = Arc::new(OpsHandler { status, registry: Mutex::new(registry) });
    let server = Server::new(handler).with_budget(Arc::new(Budget::new("operators", LIMITS)));
    let runtime = runtime::current_thread()?;
    thread::Builder::new().name("ops".to_owned()).spawn(move || {
        runtime.block_on(async move {
            let (_stop_sender, stop) = watch::channel(false);
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => server.serve(listener, stop).await,
                Err(error) => log::error!("starting the ops listener failed: {error}"),
            }
        });
    })?;
    Ok(())
}
