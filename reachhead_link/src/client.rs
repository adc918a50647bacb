//! The asking side: a socket per peer, kept while the peer is asked.

use std::{collections::HashMap, marker::PhantomData, net::SocketAddr, time::Duration};

use nng::{
    Message, Protocol, Socket,
    options::{Options, RecvMaxSize, RecvTimeout, SendTimeout},
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::server::MAX_MESSAGE_BYTES;

/// Sockets that are kept at most; a host speaks with a few peers at a time.
const SOCKET_LIMIT: usize = 16;

/// Why a question has no answer.
#[derive(Debug, Error)]
pub enum LinkClientError {
    /// `nng` said no, or the time is over.
    #[error("no answer: {0}")]
    Nng(#[from] nng::Error),
    /// The question or the answer is not what was expected.
    #[error("unreadable: {0}")]
    Codec(#[from] serde_json::Error),
}

/// Asks peers, one question at a time; it blocks, so it belongs on a thread of its own.
pub struct LinkClient<Q, A> {
    sockets: HashMap<SocketAddr, Socket>,
    timeout: Duration,
    types: PhantomData<fn(Q) -> A>,
}

impl<Q: Serialize, A: DeserializeOwned> LinkClient<Q, A> {
    /// Returns a client that waits `timeout` for each answer.
    pub fn new(timeout: Duration) -> Self {
        Self { sockets: HashMap::new(), timeout, types: PhantomData }
    }

    /// Asks the process at `address`.
    ///
    /// # Errors
    ///
    /// Fails if there is no readable answer in time; whether the question arrived is then unknown.
    pub fn request(&mut self, address: SocketAddr, question: &Q) -> Result<A, LinkClientError> {
        let result = self.exchange(address, question);
        if result.is_err() {
            // A fresh socket forgets the question; the old one would repeat it for ever.
            self.sockets.remove(&address);
        }
        result
    }

    fn exchange(&mut self, address: SocketAddr, question: &Q) -> Result<A, LinkClientError> {
        let body = serde_json::to_vec(question)?;
        let socket = self.socket(address)?;
        socket.send(Message::from(body.as_slice())).map_err(|(_, error)| error)?;
        let reply = socket.recv()?;
        Ok(serde_json::from_slice(&reply)?)
    }

    fn socket(&mut self, address: SocketAddr) -> Result<Socket, nng::Error> {
        if let Some(socket) = self.sockets.get(&address) {
            return Ok(socket.clone());
        }
        if self.sockets.len() >= SOCKET_LIMIT {
            self.sockets.clear();
        }
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<SendTimeout>(Some(self.timeout))?;
        socket.set_opt::<RecvTimeout>(Some(self.timeout))?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        socket.dial_async(&format!("tcp://{address}"))?;
        self.sockets.insert(address, socket.clone());
        Ok(socket)
    }
}
