//! Sends requests about attempts and loans to other entry hosts, on a separate thread.

use std::{io, net::SocketAddr, thread, time::Duration};

use log::debug;
use reachhead_config::entry::EntrySettings;
use reachhead_link::{
    client::LinkClient,
    message::{EntryReply, EntryRequest},
};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue. Each request may take until its timeout, so the answers to more would
/// come too late.
const CHANNEL_CAPACITY: usize = 16;

struct PeerCall {
    address: SocketAddr,
    request: EntryRequest,
    reply: oneshot::Sender<Option<EntryReply>>,
}

/// Sends requests to other entry hosts without blocking the path thread.
pub struct PeerClient {
    calls: mpsc::Sender<PeerCall>,
}

impl PeerClient {
    /// Sends a request to the entry process at `address`; returns `None` if the queue is full or
    /// the process does not answer.
    pub async fn call(&self, address: SocketAddr, request: EntryRequest) -> Option<EntryReply> {
        let (reply, received) = oneshot::channel();
        self.calls.try_send(PeerCall { address, request, reply }).ok()?;
        received.await.ok()?
    }
}

/// Starts the `asks` thread.
///
/// # Errors
///
/// Fails if the operating system can't start a thread.
pub fn start(settings: &EntrySettings) -> io::Result<PeerClient> {
    let (calls, queued_calls) = mpsc::channel(CHANNEL_CAPACITY);
    let timeout = Duration::from_millis(settings.claims.ask_time.get());
    thread::Builder::new().name("asks".to_owned()).spawn(move || run(queued_calls, timeout))?;
    Ok(PeerClient { calls })
}

fn run(mut calls: mpsc::Receiver<PeerCall>, timeout: Duration) {
    let mut client = LinkClient::new(timeout);
    while let Some(PeerCall { address, request, reply }) = calls.blocking_recv() {
        if reply.is_closed() {
            continue;
        }
        let result = client.request(address, &request);
        if let Err(error) = &result {
            debug!("request to entry host {address} failed: {error}");
        }
        let _ = reply.send(result.ok());
    }
}
