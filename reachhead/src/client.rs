//! HTTP client for the admin API and for ops listeners.

use std::{env, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{net::TcpStream, time};

/// Timeout of one call; leaves the admin time to retry a change on its side.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Environment variable with the address of an admin.
const ADMIN_ENV: &str = "REACHHEAD_ADMIN";

/// Environment variable with the operator's token; a flag would show it in the process list.
const TOKEN_ENV: &str = "REACHHEAD_TOKEN";

/// Error of a call.
#[derive(Debug, Error)]
pub enum CallError {
    /// No admin address was given.
    #[error("no address of an admin: give --admin or set {ADMIN_ENV}")]
    NoAdmin,
    /// The connection failed or broke, or the call timed out.
    #[error("can't reach {address}: {reason}")]
    Unreachable {
        /// Address of the process.
        address: SocketAddr,
        /// Cause in words.
        reason: String,
    },
    /// The process answered with a status other than 200.
    #[error("{status}: {message}")]
    Refused {
        /// Status of the response.
        status: StatusCode,
        /// Body of the response.
        message: String,
    },
    /// The request or the response is not valid JSON.
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
}

/// Client of one process; opens a connection for each call.
pub struct Client {
    address: SocketAddr,
    token: Option<String>,
}

impl Client {
    /// Returns a client of the ops listener at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, token: None }
    }

    /// Returns a client of the admin at `address`, or else at the address in the environment.
    ///
    /// # Errors
    ///
    /// Fails if neither gives an address.
    pub fn for_admin(address: Option<SocketAddr>) -> Result<Self, CallError> {
        let from_env = || env::var(ADMIN_ENV).ok()?.parse().ok();
        let address = address.or_else(from_env).ok_or(CallError::NoAdmin)?;
        Ok(Self { address, token: env::var(TOKEN_ENV).ok() })
    }

    /// Sends a GET request for `path` and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let body = self.call(Method::GET, path, Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends a GET request for `path` and returns the body as text.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn get_text(&self, path: &str) -> Result<String, CallError> {
        let body = self.call(Method::GET, path, Bytes::new()).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Posts `request` as JSON to `path` and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        request: &B,
    ) -> Result<T, CallError> {
        let body = Bytes::from(serde_json::to_vec(request)?);
        let body = self.call(Method::POST, path, body).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends a DELETE request for `path` and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let body = self.call(Method::DELETE, path, Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, CallError> {
        let unreachable = |reason: String| CallError::Unreachable { address: self.address, reason };
        match time::timeout(CALL_TIMEOUT, self.exchange(method, path, body)).await {
            Ok(Ok(Response { status: StatusCode::OK, body })) => Ok(body),
            Ok(Ok(Response { status, body })) => Err(CallError::Refused {
                status,
                message: String::from_utf8_lossy(&body).trim().to_owned(),
            }),
            Ok(Err(error)) => Err(unreachable(error.to_string())),
            Err(_) => Err(unreachable("timed out".to_owned())),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, Box<dyn std::error::Error>> {
        let stream = TcpStream::connect(self.address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string());
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let response = sender.send_request(request.body(Full::new(body))?).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Response { status, body })
    }
}

struct Response {
    status: StatusCode,
    body: Bytes,
}
