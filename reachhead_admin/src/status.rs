//! Queries which configuration version is in force on each entry host.

use std::{io, net::SocketAddr, thread, time::Duration};

use reachhead_link::{
    client::LinkClient,
    message::{ControlReply, ControlRequest},
};
use reachhead_store::{Store, StoreError, keys, row::Scan};
use reachhead_types::{id::HostId, member::Member, size::Version};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of entry hosts queried for one status.
const MAX_HOSTS: u32 = 1000;

/// Timeout of a query to one host.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Capacity of the queue to the query thread.
const QUEUE_SIZE: usize = 64;

/// Configuration versions reported by one entry host.
#[derive(Debug, Clone, Serialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// The version of its control process; `None` if it does not answer.
    pub control: Option<Version>,
    /// The version of its entry process; `None` if the control process does not answer.
    pub entry: Option<Version>,
}

/// Rollout of the newest configuration version.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The newest version.
    pub version: Version,
    /// Number of entry hosts on which it is in force.
    pub in_force: usize,
    /// All entry hosts.
    pub hosts: Vec<HostStatus>,
}

/// A status query and the channel for its reply.
struct Query {
    address: SocketAddr,
    reply: oneshot::Sender<Option<ControlReply>>,
}

/// Queries entry hosts on its own thread, since the link client blocks.
pub struct StatusReader {
    queries: mpsc::Sender<Query>,
}

impl StatusReader {
    /// Starts the query thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start() -> io::Result<Self> {
        let (queries, mut queue) = mpsc::channel::<Query>(QUEUE_SIZE);
        thread::Builder::new().name("asks".to_owned()).spawn(move || {
            let mut client = LinkClient::new(REQUEST_TIMEOUT);
            while let Some(Query { address, reply }) = queue.blocking_recv() {
                let _ = reply.send(client.request(address, &ControlRequest::Status).ok());
            }
        })?;
        Ok(Self { queries })
    }

    /// Queries every entry host on the store's membership list for its version.
    ///
    /// # Errors
    ///
    /// Fails if the membership list can't be read.
    pub async fn read(&self, store: &dyn Store, version: Version) -> Result<Status, StoreError> {
        let scan = Scan { prefix: keys::MEMBER_PREFIX.to_owned(), after: None, limit: MAX_HOSTS };
        let page = store.scan(scan).await?;
        let mut hosts = Vec::new();
        for row in &page.rows {
            if let Ok(member) = Member::deserialize(&row.value) {
                hosts.push(self.query_host(member).await);
            }
        }
        let in_force = hosts.iter().filter(|host| host.entry >= Some(version)).count();
        Ok(Status { version, in_force, hosts })
    }

    async fn query_host(&self, member: Member) -> HostStatus {
        let (reply, receiver) = oneshot::channel();
        let query = Query { address: member.control, reply };
        let reply = match self.queries.send(query).await {
            Ok(()) => receiver.await.ok().flatten(),
            Err(_) => None,
        };
        match reply {
            Some(ControlReply::Status(status)) => HostStatus {
                host: member.host,
                control: Some(status.version),
                entry: Some(status.entry),
            },
            _ => HostStatus { host: member.host, control: None, entry: None },
        }
    }
}
