//! Client for messages to peers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response,
    header::{self, HeaderValue},
};
use reachhead_ops::{
    client::{CallError, HttpClient},
    traffic::Totals,
};
use reachhead_store::link::LinkUse;
use reachhead_types::{
    id::NodeName,
    size::{Millis, Version},
};

use super::{PeerReply, PeerRequest};

/// Path of all messages.
const PATH: &str = "/peer";

/// Header with the version of the configuration in force in the process that sends a message. What
/// it requests may be an effect of that version, after which the receiver must not use an older one.
pub(super) const CONFIG_HEADER: &str = "reachhead-configuration";

/// Header with the name of a process that is reading a large answer. Its own heartbeats and answers
/// may be late because of that, and the message shows that it is alive.
pub(super) const READER_HEADER: &str = "reachhead-reader";

/// Age up to which a quick answer shows that this process's own link is not filled.
const MAX_QUICK_AGE: Duration = Duration::from_millis(400);

/// Client for messages to peers.
#[derive(Clone)]
pub struct PeerClient {
    client: Arc<HttpClient>,
    /// The version of the configuration in force here, or zero.
    config_version: Arc<AtomicU64>,
}

/// The link of this process, as the calls of its client show it.
pub struct OwnLink(pub Arc<HttpClient>);

impl LinkUse for OwnLink {
    fn is_filled(&self) -> bool {
        let is_quick = |age| age < MAX_QUICK_AGE;
        self.0.arrivals().is_filling_link() && !self.0.quick_answer_age().is_some_and(is_quick)
    }
}

impl PeerClient {
    /// Returns a client over `client`.
    pub fn new(client: Arc<HttpClient>) -> Self {
        Self { client, config_version: Arc::default() }
    }

    /// Returns how long ago the latest call was sent that a peer or a service of the platform answered
    /// quickly.
    pub fn quick_answer_age(&self) -> Option<Millis> {
        self.client.quick_answer_age().map(|age| Millis(age.as_millis() as u64))
    }

    /// Returns the mean round trip of this process's latest short calls, which includes their wait on
    /// its own link.
    pub fn link_delay(&self) -> Option<Millis> {
        self.client.link_delay().map(|delay| Millis(delay.as_millis() as u64))
    }

    /// Returns the traffic of this process's calls.
    pub fn traffic(&self) -> Totals {
        self.client.traffic().totals()
    }

    /// Returns whether a large answer occupies this process's own link: one is arriving, and no call
    /// was answered quickly meanwhile.
    pub fn is_link_filled(&self) -> bool {
        OwnLink(Arc::clone(&self.client)).is_filled()
    }

    /// Returns whether a large answer is arriving or has just arrived.
    pub fn is_large_answer_arriving(&self) -> bool {
        self.client.arrivals().is_filling_link()
    }

    /// Returns for how long large answers have been arriving.
    pub fn large_answers_arriving_for(&self) -> Option<Duration> {
        self.client.arrivals().arriving_for()
    }

    /// Tells a peer that this process is alive while it reads a large answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`].
    pub async fn report_reading(
        &self,
        address: SocketAddr,
        own: &NodeName,
        deadline: Duration,
    ) -> Result<(), CallError> {
        let mut request = self.http_request(address, &PeerRequest::Ping)?;
        let name = HeaderValue::from_str(own.as_str())
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        request.headers_mut().insert(READER_HEADER, name);
        self.client.call(address, request, deadline).await.map(drop)
    }

    /// Returns how long ago a part of an answer arrived from a peer or a service of the platform.
    pub fn part_age(&self, address: SocketAddr) -> Option<Millis> {
        let age = self.client.arrivals().part_age(address)?;
        Some(Millis(age.as_millis() as u64))
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, address: SocketAddr) {
        self.client.close_idle(address);
    }

    /// Sets the version of the configuration in force, which messages name from now on.
    pub fn set_config_version(&self, version: Version) {
        self.config_version.store(version.0, Ordering::Relaxed);
    }

    /// Sends a request to a peer and returns its answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        deadline: Duration,
    ) -> Result<PeerReply, CallError> {
        let http_request = self.http_request(address, request)?;
        parse(&self.client.call(address, http_request, deadline).await?)
    }

    /// Sends a request whose answer may be large; `deadline` bounds the time until it begins.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call_large`].
    pub async fn call_large(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        deadline: Duration,
    ) -> Result<PeerReply, CallError> {
        let http_request = self.http_request(address, request)?;
        parse(&self.client.call_large(address, http_request, deadline, &|| {}).await?)
    }

    fn http_request(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        let body =
            serde_json::to_vec(request).map_err(|error| CallError::NotSent(error.to_string()))?;
        Request::builder()
            .method(Method::POST)
            .uri(PATH)
            .header(header::HOST, address.to_string())
            .header(CONFIG_HEADER, self.config_version.load(Ordering::Relaxed))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallError::NotSent(error.to_string()))
    }
}

fn parse(answer: &Response<Bytes>) -> Result<PeerReply, CallError> {
    serde_json::from_slice(answer.body())
        .map_err(|error| CallError::Lost(format!("unreadable answer: {error}")))
}
