//! Calls of the admin's API and of ops listeners.

use std::{env, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{net::TcpStream, time};

/// Longest wait for an answer; a change may be tried again by the admin meanwhile.
const CALL_TIME: Duration = Duration::from_secs(30);

/// The variable that holds the address of an admin.
const ADMIN_VARIABLE: &str = "REACHHEAD_ADMIN";

/// The variable that holds the operator's token; a command line would show it to everyone.
const TOKEN_VARIABLE: &str = "REACHHEAD_TOKEN";

/// Why a call gave no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No address was given.
    #[error("no admin is named: give --admin or set {ADMIN_VARIABLE}")]
    NoAdmin,
    /// The process can't be reached.
    #[error("can't reach {address}: {text}")]
    Unreachable {
        /// Its address.
        address: SocketAddr,
        /// What went wrong.
        text: String,
    },
    /// The process said no.
    #[error("{status}: {text}")]
    Refused {
        /// The status.
        status: StatusCode,
        /// What it said.
        text: String,
    },
    /// The answer can't be read.
    #[error("the answer can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// Calls one process.
pub struct Client {
    address: SocketAddr,
    token: Option<String>,
}

impl Client {
    /// Returns a client of the ops listener at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, token: None }
    }

    /// Returns a client of the admin at `address`, or of the one that the environment names.
    ///
    /// # Errors
    ///
    /// Fails if neither names an admin.
    pub fn with_admin(address: Option<SocketAddr>) -> Result<Self, CallError> {
        let named = || env::var(ADMIN_VARIABLE).ok()?.parse().ok();
        let address = address.or_else(named).ok_or(CallError::NoAdmin)?;
        Ok(Self { address, token: env::var(TOKEN_VARIABLE).ok() })
    }

    /// Gets `path` and reads its JSON.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CallError> {
        let body = self.call(Method::GET, path, Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Gets `path` as text.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn text(&self, path: &str) -> Result<String, CallError> {
        let body = self.call(Method::GET, path, Bytes::new()).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Posts `question` to `path` and reads the JSON of the answer.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, CallError> {
        let body = Bytes::from(serde_json::to_vec(question)?);
        let body = self.call(Method::POST, path, body).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Deletes `path` and reads the JSON of the answer.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn delete<A: DeserializeOwned>(&self, path: &str) -> Result<A, CallError> {
        let body = self.call(Method::DELETE, path, Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, CallError> {
        let unreachable = |text: String| CallError::Unreachable { address: self.address, text };
        match time::timeout(CALL_TIME, self.exchange(method, path, body)).await {
            Ok(Ok(Reply { status: StatusCode::OK, body })) => Ok(body),
            Ok(Ok(Reply { status, body })) => Err(CallError::Refused {
                status,
                text: String::from_utf8_lossy(&body).trim().to_owned(),
            }),
            Ok(Err(error)) => Err(unreachable(error.to_string())),
            Err(_) => Err(unreachable("no answer in time".to_owned())),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, Box<dyn std::error::Error>> {
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
        Ok(Reply { status, body })
    }
}

struct Reply {
    status: StatusCode,
    body: Bytes,
}
