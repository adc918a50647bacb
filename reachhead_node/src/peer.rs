//! Messages between the processes of the system, and what answers them.
//!
//! They are HTTP calls over the same client as those to the platform: each needs its own deadline
//! and a connection that can be dropped, and some are on the path of a caller's request.
//! docs/PLATFORM.md has the measurements that decided against a second messaging library.

mod client;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use futures::future::{BoxFuture, FutureExt};
use hyper::{StatusCode, body::Body};
use reachhead_jobs::{
    incarnation::Incarnation,
    pool::{DrainMode, DrainProgress, PoolLoad, StateReply},
    ports::FeedPage,
    quota::{Allotment, UsageReport},
    record::JobRecord,
};
use reachhead_ops::http::{self, BufferedRequest, BufferedResponse, Handler};
use reachhead_types::{
    id::{CustomerName, JobId, NodeName, PoolName, RouteName, WorkerId},
    size::{Revision, Version},
};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use self::client::{CONFIG_HEADER, READER_HEADER};
pub use self::client::{OwnLink, PeerClient};
use crate::{
    admission::read_for_peer,
    claim::{self, Claims},
    dispatch::{DispatchBatch, OrderResult, ResultBatch},
    node::Node,
    owner::{CancelReply, Input, OwnerHandle},
    registry::{self, WorkersPage, WorkersRequest},
    relay::{self, TableReply, TableRequest},
    submit::{StoreOutcome, store_for_peer},
};

/// A request to a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerRequest {
    /// Requests the process's status and the pools that it owns.
    Ping,
    /// Requests whether the process can list the platform's hosts.
    ProbeHosts,
    /// Stores jobs of a pool that the process owns, or that the sender can't store.
    Store(PoolName, Vec<UnstoredJob>),
    /// Requests the operators' changes after a revision.
    #[serde(rename = "operators")]
    OperatorChanges(Revision),
    /// Requests a table.
    Table(TableRequest),
    /// Requests the registered workers.
    Workers(WorkersRequest),
    /// Forwards a request to the owner of a pool.
    Pool(PoolName, PoolRequest),
    /// Orders of the owner of a pool to its workers, which the process is to send.
    Dispatch(DispatchBatch),
    /// Results of such orders, for the owner of the pool.
    DispatchResults(Arc<ResultBatch>),
}

/// A job to store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UnstoredJob {
    /// The job's id.
    pub id: JobId,
    /// The job.
    pub record: JobRecord,
}

/// A job that was accepted and stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The job's id.
    pub id: JobId,
    /// The job.
    pub record: JobRecord,
    /// The revision of the job's row.
    pub row: Revision,
}

/// A request to the owner of a pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolRequest {
    /// Notifies the owner of jobs that were accepted and stored.
    Submit(Vec<AcceptedJob>),
    /// Requests a job's state, for this customer.
    State(JobId, Option<CustomerName>),
    /// Cancels a job, for this customer.
    Cancel(JobId, Option<CustomerName>),
    /// Requests the number of waiting jobs of a queue.
    Waiting(RouteName),
    /// Drains a worker, whose host is due for maintenance.
    #[serde(rename = "vacate")]
    DrainWorker(WorkerId, DrainMode),
    /// Drains workers, whose hosts are to be moved.
    #[serde(rename = "vacate-all")]
    DrainWorkers(Vec<WorkerId>, DrainMode),
    /// Notifies the owner of worker incarnations that have ended.
    #[serde(rename = "ended")]
    WorkersEnded(Vec<Incarnation>),
    /// Requests the capacity that the pool needs.
    Load,
    /// Sets the limits of what the pool may run for customers.
    Allot(Allotment),
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerReply {
    /// The status of the process.
    Pong(Pong),
    /// Whether the process can list the platform's hosts.
    HostsListed(bool),
    /// The process does not own the pool.
    NotOwner,
    /// The outcome of each job to store, in their order.
    Stored(Vec<StoreOutcome>),
    /// The notification was received.
    Done,
    /// The operators' changes, if the process could read them.
    #[serde(rename = "operators")]
    OperatorChanges(Option<FeedPage>),
    /// The table.
    Table(TableReply),
    /// The workers, if the process knows them.
    Workers(Option<WorkersPage>),
    /// The job's state.
    State(StateReply),
    /// The outcome of a cancellation.
    Cancel(CancelReply),
    /// The number of waiting jobs.
    Waiting(u32),
    /// The drain progress of the worker.
    #[serde(rename = "vacancy")]
    DrainStatus(DrainProgress),
    /// The drain progress of each worker, in the requested order.
    #[serde(rename = "vacancies")]
    DrainStatuses(Vec<DrainProgress>),
    /// The capacity that the pool needs.
    Load(PoolLoad),
    /// The usage and the demand of customers in the pool.
    #[serde(rename = "statement")]
    Usage(UsageReport),
    /// The results that are ready of orders that the process sends for an owner.
    Dispatched(Vec<OrderResult>),
}

/// The status that a process reports of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The pools that it owns and serves or is taking over, with its fencing tokens.
    pub owned: BTreeMap<PoolName, Revision>,
    /// The pools whose owner in it is stalled and may go on, and those whose lease it is writing.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub stalled: BTreeSet<PoolName>,
    /// The pools whose rows it could not read in its last attempt, so that it is no owner for them.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unreadable: BTreeSet<PoolName>,
    /// The time since the store last answered it, in milliseconds.
    pub store_age: u64,
    /// The last call to the store failed.
    #[serde(default)]
    pub failing: bool,
    /// The process is shutting down and takes over no more pools.
    #[serde(default)]
    pub stopping: bool,
    /// The name of the process. An older release does not send it, and counts as the one that was
    /// addressed.
    #[serde(default)]
    pub node: Option<NodeName>,
}

impl Pong {
    /// Returns whether this is the answer of `node`.
    pub fn is_of(&self, node: &NodeName) -> bool {
        self.node.as_ref().is_none_or(|own| own == node)
    }
}

/// Handler of the messages of peers.
pub struct PeerHandler(pub Arc<Node>);

impl PeerHandler {
    async fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Ping => self.pong(),
            PeerRequest::ProbeHosts => PeerReply::HostsListed(claim::can_list_hosts(&self.0).await),
            PeerRequest::OperatorChanges(revision) => {
                PeerReply::OperatorChanges(read_for_peer(&self.0, revision).await)
            }
            PeerRequest::Store(_, jobs) => PeerReply::Stored(store_for_peer(&self.0, jobs).await),
            PeerRequest::Workers(request) => {
                PeerReply::Workers(registry::serve(&self.0, request).await)
            }
            PeerRequest::Table(request) => PeerReply::Table(relay::serve(&self.0, request).await),
            PeerRequest::Pool(pool, request) => match local_owner_for(&self.0, &pool, &request) {
                Some(owner) => call_local_owner(&owner, request).await,
                None => PeerReply::NotOwner,
            },
            PeerRequest::Dispatch(batch) => {
                PeerReply::Dispatched(self.0.dispatch_server.handle(batch))
            }
            PeerRequest::DispatchResults(batch) => match self.0.dispatched(&batch.pool) {
                Some(workers) => {
                    let ResultBatch { session, results, .. } = Arc::unwrap_or_clone(batch);
                    workers.receive(session, results);
                    PeerReply::Done
                }
                None => PeerReply::NotOwner,
            },
        }
    }

    /// Replaces a large answer by the advice to ask the store, if the link is occupied by others.
    fn limited(&self, response: BufferedResponse) -> BufferedResponse {
        let bytes = response.body().size_hint().lower() as usize;
        match self.0.relay.admits_answer(bytes, self.0.now()) {
            true => response,
            false => http::json(StatusCode::OK, &PeerReply::Table(TableReply::Unknown)),
        }
    }

    fn pong(&self) -> PeerReply {
        let Claims { claimed, stalled } = claim::claims(&self.0);
        let unreadable = self.0.ability().unreadable();
        self.0.record_store_progress();
        let now = self.0.now();
        let is_arriving = self.0.peers.is_large_answer_arriving();
        let view = self.0.view();
        let store_age = now.since(view.store_answers.last()).0;
        PeerReply::Pong(Pong {
            owned: claimed,
            stalled,
            unreadable,
            store_age,
            // Calls that time out behind a large answer of the store show no fault of the store.
            failing: view.store_failing && !is_arriving,
            stopping: self.0.is_stopping(),
            node: Some(self.0.settings.node.clone()),
        })
    }
}

/// Returns the owner of a pool in this process that takes a request.
pub fn local_owner_for(node: &Node, pool: &PoolName, request: &PoolRequest) -> Option<OwnerHandle> {
    match request {
        PoolRequest::Submit(_) => node.notified_owner(pool),
        _ => node.local_owner(pool),
    }
}

/// Sends a request to an owner in this process and returns its answer.
pub async fn call_local_owner(owner: &OwnerHandle, request: PoolRequest) -> PeerReply {
    match request {
        PoolRequest::Submit(jobs) => {
            owner.send(Input::Submit(jobs));
            PeerReply::Done
        }
        PoolRequest::WorkersEnded(workers) => {
            owner.send(Input::WorkersEnded(workers));
            PeerReply::Done
        }
        PoolRequest::State(id, requester) => {
            reply_of(owner, |reply| Input::State(id, requester, reply), PeerReply::State).await
        }
        PoolRequest::Cancel(id, requester) => {
            reply_of(owner, |reply| Input::Cancel(id, requester, reply), PeerReply::Cancel).await
        }
        PoolRequest::Waiting(queue) => {
            reply_of(owner, |reply| Input::Waiting(queue, reply), PeerReply::Waiting).await
        }
        PoolRequest::Allot(allotment) => {
            reply_of(owner, |reply| Input::Allot(allotment, reply), PeerReply::Usage).await
        }
        PoolRequest::Load => reply_of(owner, Input::Load, PeerReply::Load).await,
        PoolRequest::DrainWorkers(workers, mode) => {
            let input = |reply| Input::DrainWorkers(workers, mode, reply);
            reply_of(owner, input, PeerReply::DrainStatuses).await
        }
        PoolRequest::DrainWorker(worker, mode) => {
            reply_of(owner, |reply| Input::DrainWorker(worker, mode, reply), PeerReply::DrainStatus)
                .await
        }
    }
}

async fn reply_of<T>(
    owner: &OwnerHandle,
    input: impl FnOnce(oneshot::Sender<T>) -> Input,
    reply: impl FnOnce(T) -> PeerReply,
) -> PeerReply {
    let (sender, receiver) = oneshot::channel();
    owner.send(input(sender));
    // An owner that ends drops its unanswered requests.
    receiver.await.map_or(PeerReply::NotOwner, reply)
}

/// Returns the version of the configuration that a message names; an older release names none.
fn config_version(request: &BufferedRequest) -> Option<Version> {
    let text = request.headers.get(CONFIG_HEADER)?.to_str().ok()?;
    text.parse().ok().map(Version)
}

/// Returns the process that sent a message because it is reading a large answer.
fn reader(request: &BufferedRequest) -> Option<NodeName> {
    request.headers.get(READER_HEADER)?.to_str().ok()?.parse().ok()
}

impl Handler for PeerHandler {
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse> {
        async move {
            if let Some(version) = config_version(&request) {
                self.0.view().hear_of_config(version);
            }
            if let Some(reader) = reader(&request) {
                let now = self.0.now();
                self.0.view().late_answers.insert(reader, now);
            }
            match serde_json::from_slice::<PeerRequest>(&request.body) {
                Ok(request) => {
                    let answer = self.answer(request).await;
                    let response = http::json(StatusCode::OK, &answer);
                    match answer {
                        PeerReply::Table(_) => self.limited(response),
                        _ => response,
                    }
                }
                Err(error) => http::text(StatusCode::BAD_REQUEST, &error.to_string()),
            }
        }
        .boxed()
    }
}
