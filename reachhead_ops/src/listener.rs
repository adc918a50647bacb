//! The ops listener: `/live`, `/ready`, `/metrics` and `/state`, on a thread of its own.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
};

use futures::future::{BoxFuture, FutureExt};
use hyper::{Method, StatusCode};
use prometheus_client::{encoding::text::encode, registry::Registry};
use serde_json::Value;
use tokio::sync::watch;

use crate::{
    http::{self, BufferedRequest, BufferedResponse, Handler},
    runtime,
};

/// Media type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A process as its operators see it.
pub trait ProcessStatus: Send + Sync + 'static {
    /// Returns why the process is not ready, or `None` if it is.
    fn unready_reason(&self) -> Option<String>;

    /// Returns the process's state for `/state`.
    fn state(&self) -> BoxFuture<'_, Value>;

    /// Brings metrics up to date that are read off the state; called before each `/metrics`.
    fn refresh_metrics(&self) {}
}

struct OpsHandler {
    observed: Arc<dyn ProcessStatus>,
    registry: Mutex<Registry>,
}

impl OpsHandler {
    fn ready(&self) -> BufferedResponse {
        match self.observed.unready_reason() {
            None => http::text(StatusCode::OK, "ready\n"),
            Some(reason) => {
                http::text(StatusCode::SERVICE_UNAVAILABLE, &format!("not ready: {reason}\n"))
            }
        }
    }

    fn metrics(&self) -> BufferedResponse {
        self.observed.refresh_metrics();
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
                "/state" => http::json(StatusCode::OK, &self.observed.state().await),
                _ => http::text(StatusCode::NOT_FOUND, "/live /ready /metrics /state\n"),
            }
        }
        .boxed()
    }
}

/// Starts the ops listener on `address`; it serves as long as the process lives.
///
/// # Errors
///
/// Fails if the address can't be listened on or there is no thread.
pub fn start(
    address: SocketAddr,
    observed: Arc<dyn ProcessStatus>,
    registry: Registry,
) -> io::Result<()> {
    let listener = std::net::TcpListener::bind(address).map_err(|error| {
        io::Error::new(error.kind(), format!("can't listen on {address}: {error}"))
    })?;
    listener.set_nonblocking(true)?;
    let handler = Arc::new(OpsHandler { observed, registry: Mutex::new(registry) });
    let runtime = runtime::current_thread()?;
    thread::Builder::new().name("ops".to_owned()).spawn(move || {
        runtime.block_on(async move {
            let (_keep, stop) = watch::channel(false);
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => http::serve(listener, handler, 0, stop).await,
                Err(error) => log::error!("the ops listener can't start: {error}"),
            }
        });
    })?;
    Ok(())
}
