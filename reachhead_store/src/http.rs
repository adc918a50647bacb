//! An HTTP client of the platform: one POST per call, with JSON bodies.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use reachhead_types::{hosts::HostList, id::HostId, size::Revision};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time;

use crate::{
    HostLister, Store, StoreError,
    platform::{DrainTag, HostStatus, Platform},
    row::{Commit, Key, Page, Row, Scan, Txn},
};

/// Path of [`Store::read`].
pub const READ_PATH: &str = "/v1/read";

/// Path of [`Store::scan`].
pub const SCAN_PATH: &str = "/v1/scan";

/// Path of [`Store::commit`].
pub const COMMIT_PATH: &str = "/v1/commit";

/// Path of [`HostLister::list`].
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Path of [`Platform::status`].
pub const STATUS_PATH: &str = "/v1/hosts/status";

/// Path of [`Platform::drain`].
pub const DRAIN_PATH: &str = "/v1/hosts/drain";

/// Path of [`Platform::undrain`].
pub const UNDRAIN_PATH: &str = "/v1/hosts/undrain";

/// Path of [`Platform::reboot`].
pub const REBOOT_PATH: &str = "/v1/hosts/reboot";

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client of the platform's table service, host list and host operations.
pub struct HttpStore {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    deadline: Duration,
}

impl HttpStore {
    /// Returns a client of the platform at `address` that waits at most `deadline` for an answer.
    pub fn new(address: SocketAddr, deadline: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(deadline));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // A retry inside the library would hide whether a transaction was sent.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, address, deadline }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
    ) -> Result<A, StoreError> {
        let body =
            serde_json::to_vec(query).map_err(|error| StoreError::Refused(error.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        match time::timeout(self.deadline, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Lost("no answer before the deadline".to_owned())),
        }
    }

    async fn exchange<A: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<A, StoreError> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Err(StoreError::NotDone(error.to_string()));
            }
            Err(error) => return Err(StoreError::Lost(error.to_string())),
        };
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| StoreError::Lost(error.to_string()))?.to_bytes();
        match status {
            StatusCode::OK => serde_json::from_slice(&body)
                .map_err(|error| StoreError::Lost(format!("unreadable answer: {error}"))),
            // The protocol defines that with these statuses the call had no effect.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::NotDone(status.to_string()))
            }
            status if status.is_client_error() => {
                Err(StoreError::Refused(String::from_utf8_lossy(&body).into_owned()))
            }
            status => Err(StoreError::Lost(status.to_string())),
        }
    }
}

impl HostLister for HttpStore {
    fn list(&self, after: Revision) -> BoxFuture<'_, Result<Option<HostList>, StoreError>> {
        async move { self.call(HOSTS_PATH, &after).await }.boxed()
    }
}

/// The body of a call to [`REBOOT_PATH`].
#[derive(Debug, Serialize, Deserialize)]
pub struct RebootCall {
    /// The host.
    pub host: HostId,
    /// The drain that must be in progress.
    pub tag: DrainTag,
    /// The number of boots that the host must have had so far.
    pub boots: u64,
}

/// The body of a call to [`DRAIN_PATH`] or [`UNDRAIN_PATH`].
#[derive(Debug, Serialize, Deserialize)]
pub struct HostCall {
    /// The host.
    pub host: HostId,
    /// The drain to start or end.
    pub tag: DrainTag,
}

impl HttpStore {
    async fn call_host(&self, path: &str, host: HostId, tag: DrainTag) -> Result<(), StoreError> {
        self.call(path, &HostCall { host, tag }).await
    }
}

impl Platform for HttpStore {
    fn status(
        &self,
        hosts: Vec<HostId>,
    ) -> BoxFuture<'_, Result<Vec<Option<HostStatus>>, StoreError>> {
        async move { self.call(STATUS_PATH, &hosts).await }.boxed()
    }

    fn drain(&self, host: HostId, tag: DrainTag) -> BoxFuture<'_, Result<(), StoreError>> {
        self.call_host(DRAIN_PATH, host, tag).boxed()
    }

    fn undrain(&self, host: HostId, tag: DrainTag) -> BoxFuture<'_, Result<(), StoreError>> {
        self.call_host(UNDRAIN_PATH, host, tag).boxed()
    }

    fn reboot(
        &self,
        host: HostId,
        tag: DrainTag,
        boots: u64,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        async move { self.call(REBOOT_PATH, &RebootCall { host, tag, boots }).await }.boxed()
    }
}

impl Store for HttpStore {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move { self.call(READ_PATH, &keys).await }.boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move { self.call(SCAN_PATH, &scan).await }.boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        async move { self.call(COMMIT_PATH, &txn).await }.boxed()
    }
}
