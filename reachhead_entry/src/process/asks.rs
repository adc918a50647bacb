//! Asks other entry hosts about attempts and for loans, on a thread of its own.

use std::{io, net::SocketAddr, thread, time::Duration};

use log::debug;
use reachhead_config::entry::EntrySettings;
use reachhead_link::{
    client::LinkClient,
    message::{EntryReply, EntryRequest},
};
use tokio::sync::{mpsc, oneshot};

/// Questions that may wait; each may take the whole ask time, so more would only be late.
const RING_SIZE: usize = 16;

struct Job {
    address: SocketAddr,
    question: EntryRequest,
    reply: oneshot::Sender<Option<EntryReply>>,
}

/// The path thread's end of the ring.
pub struct Asks {
    jobs: mpsc::Sender<Job>,
}

impl Asks {
    /// Asks the entry process at `address`; `None` if it can't be asked.
    pub async fn ask(&self, address: SocketAddr, question: EntryRequest) -> Option<EntryReply> {
        let (reply, answer) = oneshot::channel();
        self.jobs.try_send(Job { address, question, reply }).ok()?;
        answer.await.ok()?
    }
}

/// Starts the ask thread.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn start(settings: &EntrySettings) -> io::Result<Asks> {
    let (jobs, ring) = mpsc::channel(RING_SIZE);
    let timeout = Duration::from_millis(settings.claims.ask_time.get());
    thread::Builder::new().name("asks".to_owned()).spawn(move || run(ring, timeout))?;
    Ok(Asks { jobs })
}

fn run(mut ring: mpsc::Receiver<Job>, timeout: Duration) {
    let mut client = LinkClient::new(timeout);
    while let Some(Job { address, question, reply }) = ring.blocking_recv() {
        if reply.is_closed() {
            continue;
        }
        let answer = client.request(address, &question);
        if let Err(error) = &answer {
            debug!("asking {address}: {error}");
        }
        let _ = reply.send(answer.ok());
    }
}
