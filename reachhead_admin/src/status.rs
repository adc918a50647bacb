//! Which version is in force on which entry host.

use std::{io, net::SocketAddr, thread, time::Duration};

use reachhead_link::{
    client::LinkClient,
    message::{ControlReply, ControlRequest},
};
use reachhead_store::{Store, StoreError, keys, row::Scan};
use reachhead_types::{id::HostId, member::Member, size::Version};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

/// Entry hosts that are asked for one report at most.
const HOST_LIMIT: u32 = 1000;

/// Longest wait for one host's answer.
const ASK_TIME: Duration = Duration::from_millis(500);

/// Questions that may wait for the asking thread.
const RING_SIZE: usize = 64;

/// What one entry host said.
#[derive(Debug, Clone, Serialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// The version of its control; `None` if it does not answer.
    pub control: Option<Version>,
    /// The version of its entry process.
    pub entry: Option<Version>,
}

/// Which version is in force where.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The newest version.
    pub version: Version,
    /// Entry hosts on which it is in force.
    pub in_force: usize,
    /// All entry hosts.
    pub hosts: Vec<HostStatus>,
}

struct Job {
    address: SocketAddr,
    reply: oneshot::Sender<Option<ControlReply>>,
}

/// Asks entry hosts, on a thread of its own.
pub struct StatusReader {
    jobs: mpsc::Sender<Job>,
}

impl StatusReader {
    /// Starts the asking thread.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn start() -> io::Result<Self> {
        let (jobs, mut ring) = mpsc::channel::<Job>(RING_SIZE);
        thread::Builder::new().name("asks".to_owned()).spawn(move || {
            let mut client = LinkClient::new(ASK_TIME);
            while let Some(Job { address, reply }) = ring.blocking_recv() {
                let _ = reply.send(client.request(address, &ControlRequest::Status).ok());
            }
        })?;
        Ok(Self { jobs })
    }

    /// Asks every entry host of the store's list which version it has.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be read.
    pub async fn read(&self, store: &dyn Store, version: Version) -> Result<Status, StoreError> {
        let scan = Scan { prefix: keys::MEMBER_PREFIX.to_owned(), after: None, limit: HOST_LIMIT };
        let page = store.scan(scan).await?;
        let mut hosts = Vec::new();
        for row in &page.rows {
            if let Ok(member) = Member::deserialize(&row.value) {
                hosts.push(self.ask(member).await);
            }
        }
        let in_force = hosts.iter().filter(|host| host.entry >= Some(version)).count();
        Ok(Status { version, in_force, hosts })
    }

    async fn ask(&self, member: Member) -> HostStatus {
        let (reply, answer) = oneshot::channel();
        let job = Job { address: member.control, reply };
        let answer = match self.jobs.send(job).await {
            Ok(()) => answer.await.ok().flatten(),
            Err(_) => None,
        };
        match answer {
            Some(ControlReply::Status(status)) => HostStatus {
                host: member.host,
                control: Some(status.version),
                entry: Some(status.entry),
            },
            _ => HostStatus { host: member.host, control: None, entry: None },
        }
    }
}
