//! Messages between the processes of the system.
//!
//! They are HTTP calls over the same client as those to the platform: each needs its own deadline and
//! a connection that can be dropped, and some are on the path of a caller's request. docs/PLATFORM.md
//! has the measurements that decided against a second messaging library here.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use reachhead_jobs::{
    pool::{DrainMode, DrainProgress, PoolLoad, StateReply},
    ports::FeedPage,
    quota::{Allotment, UsageReport},
    record::JobRecord,
};
use reachhead_ops::{
    client::{CallError, HttpClient},
    http::{self, Handler, WholeRequest, WholeResponse},
};
use reachhead_types::{
    id::{CustomerName, JobId, NodeName, PoolName, RouteName, WorkerId},
    size::Revision,
};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    admission::operator_changes,
    node::Node,
    owner::{CancelReply, Input, OwnerHandle},
    registry::{self, WorkersPage, WorkersRequest},
    relay::{self, TableReply, TableRequest},
    submit::{StoreOutcome, store_for_peer},
};

/// The path of all messages.
const PATH: &str = "/peer";

/// A question to a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerRequest {
    /// Which pools are you in charge of?
    Ping,
    /// Store these jobs of a pool that you own.
    Store(PoolName, Vec<Unstored>),
    /// What have operators written since?
    Operators(Revision),
    /// What do you know of a table?
    Table(TableRequest),
    /// Which workers have registered?
    Workers(WorkersRequest),
    /// Something for the owner of a pool.
    Pool(PoolName, PoolRequest),
}

/// A job that is to be stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Unstored {
    /// Its id.
    pub id: JobId,
    /// The job.
    pub record: JobRecord,
}

/// A job that was accepted and is stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submitted {
    /// Its id.
    pub id: JobId,
    /// The job.
    pub record: JobRecord,
    /// The revision of its row.
    pub row: Revision,
}

/// A question to the owner of a pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolRequest {
    /// These jobs were accepted and are stored.
    Submit(Vec<Submitted>),
    /// What is the job's state, for this customer?
    State(JobId, Option<CustomerName>),
    /// Cancel the job, as this customer asks.
    Cancel(JobId, Option<CustomerName>),
    /// How many jobs of the queue wait?
    Waiting(RouteName),
    /// Empty this worker, whose host is due for planned work.
    Vacate(WorkerId, DrainMode),
    /// Empty these workers, whose hosts are to be moved.
    VacateAll(Vec<WorkerId>, DrainMode),
    /// These lives of workers are over.
    Over(Vec<WorkerId>),
    /// How much room does the pool need?
    Load,
    /// What the pool may have running for customers.
    Allot(Allotment),
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerReply {
    /// What the process is in charge of, and how it reaches the store.
    Pong(Pong),
    /// The process is not in charge of the pool.
    NotOwner,
    /// What became of each job that was to be stored, in their order.
    Stored(Vec<StoreOutcome>),
    /// Done.
    Done,
    /// What operators have written, if the store says so.
    Operators(Option<FeedPage>),
    /// What is known of a table.
    Table(TableReply),
    /// The workers, if this process knows them.
    Workers(Option<WorkersPage>),
    /// The job's state.
    State(StateReply),
    /// What became of a cancellation.
    Cancel(CancelReply),
    /// Jobs that wait.
    Waiting(u32),
    /// How empty the worker is.
    Vacancy(DrainProgress),
    /// How empty each worker is, in the order in which they were asked for.
    Vacancies(Vec<DrainProgress>),
    /// How much room the pool needs.
    Load(PoolLoad),
    /// What customers have in the pool, and could use.
    Statement(UsageReport),
}

/// What a process says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The pools that it is in charge of, with its tokens.
    pub owned: BTreeMap<PoolName, Revision>,
    /// How long ago the store answered it, in milliseconds.
    pub store_age: u64,
    /// Its last call to the store failed.
    #[serde(default)]
    pub failing: bool,
    /// It was asked to end, and takes nothing any more.
    #[serde(default)]
    pub stopping: bool,
    /// Its name; a release that did not say is taken for whom was asked.
    #[serde(default)]
    pub node: Option<NodeName>,
}

impl Pong {
    /// Tells whether it is the answer of this process.
    pub fn is_of(&self, node: &NodeName) -> bool {
        self.node.as_ref().is_none_or(|own| own == node)
    }
}

/// A client of peers.
#[derive(Clone)]
pub struct PeerClient {
    client: Arc<HttpClient>,
}

impl PeerClient {
    /// Returns a client over `client`.
    pub fn new(client: Arc<HttpClient>) -> Self {
        Self { client }
    }

    /// Asks a peer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`].
    pub async fn ask(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        deadline: Duration,
    ) -> Result<PeerReply, CallError> {
        let body =
            serde_json::to_vec(request).map_err(|error| CallError::NotSent(error.to_string()))?;
        let http_request = Request::builder()
            .method(Method::POST)
            .uri(PATH)
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let answer = self.client.call(address, http_request, deadline).await?;
        serde_json::from_slice(answer.body())
            .map_err(|error| CallError::Lost(format!("unreadable answer: {error}")))
    }
}

/// Answers peers.
pub struct PeerHandler(pub Arc<Node>);

impl PeerHandler {
    async fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Ping => self.pong(),
            PeerRequest::Operators(revision) => {
                PeerReply::Operators(self.operators(revision).await)
            }
            PeerRequest::Store(_, jobs) => PeerReply::Stored(store_for_peer(&self.0, jobs).await),
            PeerRequest::Workers(request) => {
                PeerReply::Workers(registry::answer(&self.0, request).await)
            }
            PeerRequest::Table(request) => PeerReply::Table(relay::answer(&self.0, request).await),
            PeerRequest::Pool(pool, request) => match self.0.local(&pool) {
                Some(owner) => ask_owner(&owner, request).await,
                None => PeerReply::NotOwner,
            },
        }
    }

    /// Asks the store what operators have written, for a peer that it turns away.
    async fn operators(&self, revision: Revision) -> Option<FeedPage> {
        let table = self.0.services.row_format.operator_table();
        let page = operator_changes(&self.0, table, revision).await;
        self.0.record_store_result(&page);
        page.inspect_err(|error| log::info!("nothing can be told to a peer: {error}")).ok()
    }

    fn pong(&self) -> PeerReply {
        let mut owned = self.0.loading().clone();
        for (pool, owner) in self.0.owned().iter() {
            owned.insert(pool.clone(), owner.token);
        }
        let now = self.0.now();
        let view = self.0.view();
        let store_age = now.since(view.store_answered_at).0;
        PeerReply::Pong(Pong {
            owned,
            store_age,
            failing: view.store_failing,
            stopping: self.0.is_stopping(),
            node: Some(self.0.settings.node.clone()),
        })
    }
}

/// Asks an owner in this process.
pub async fn ask_owner(owner: &OwnerHandle, request: PoolRequest) -> PeerReply {
    match request {
        PoolRequest::Submit(jobs) => {
            owner.send(Input::Submit(jobs));
            PeerReply::Done
        }
        PoolRequest::Over(workers) => {
            owner.send(Input::Over(workers));
            PeerReply::Done
        }
        PoolRequest::State(id, by) => {
            answered(owner, |reply| Input::State(id, by, reply), PeerReply::State).await
        }
        PoolRequest::Cancel(id, by) => {
            answered(owner, |reply| Input::Cancel(id, by, reply), PeerReply::Cancel).await
        }
        PoolRequest::Waiting(queue) => {
            answered(owner, |reply| Input::Waiting(queue, reply), PeerReply::Waiting).await
        }
        PoolRequest::Allot(allotment) => {
            answered(owner, |reply| Input::Allot(allotment, reply), PeerReply::Statement).await
        }
        PoolRequest::Load => answered(owner, Input::Load, PeerReply::Load).await,
        PoolRequest::VacateAll(workers, mode) => {
            let input = |reply| Input::VacateAll(workers, mode, reply);
            answered(owner, input, PeerReply::Vacancies).await
        }
        PoolRequest::Vacate(worker, mode) => {
            answered(owner, |reply| Input::Vacate(worker, mode, reply), PeerReply::Vacancy).await
        }
    }
}

async fn answered<T>(
    owner: &OwnerHandle,
    input: impl FnOnce(oneshot::Sender<T>) -> Input,
    reply: impl FnOnce(T) -> PeerReply,
) -> PeerReply {
    let (sender, receiver) = oneshot::channel();
    owner.send(input(sender));
    // An owner that ends drops its questions.
    receiver.await.map_or(PeerReply::NotOwner, reply)
}

impl Handler for PeerHandler {
    fn handle(&self, request: WholeRequest) -> BoxFuture<'_, WholeResponse> {
        async move {
            match serde_json::from_slice::<PeerRequest>(&request.body) {
                Ok(request) => http::json(StatusCode::OK, &self.answer(request).await),
                Err(error) => http::text(StatusCode::BAD_REQUEST, &error.to_string()),
            }
        }
        .boxed()
    }
}
