//! The client side of a link, with a cache of one socket per peer.

use std::{collections::HashMap, marker::PhantomData, net::SocketAddr, time::Duration};

use nng::{
    Message, Protocol, Socket,
    options::{Options, RecvMaxSize, RecvTimeout, SendTimeout},
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::server::MAX_MESSAGE_BYTES;

/// Maximum number of cached sockets; a host talks to a few peers at a time.
const MAX_SOCKETS: usize = 16;

/// An error of a request.
#[derive(Debug, Error)]
pub enum LinkClientError {
    /// `nng` failed or the request timed out.
    #[error("no answer: {0}")]
    Nng(#[from] nng::Error),
    /// The request can't be serialized, or the reply can't be parsed.
    #[error("unreadable: {0}")]
    Codec(#[from] serde_json::Error),
}

/// A client that sends requests to peers, one at a time.
///
/// It blocks, so it must run on a thread of its own.
pub struct LinkClient<Request, Reply> {
    sockets: HashMap<SocketAddr, Socket>,
    timeout: Duration,
    types: PhantomData<fn(Request) -> Reply>,
}

impl<Request: Serialize, Reply: DeserializeOwned> LinkClient<Request, Reply> {
    /// Returns a client that waits up to `timeout` for each reply.
    pub fn new(timeout: Duration) -> Self {
        Self { sockets: HashMap::new(), timeout, types: PhantomData }
    }

    /// Sends a request to the process at `address` and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails if no valid reply arrives in time; the peer may have processed the request all the
    /// same.
    pub fn request(
        &mut self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<Reply, LinkClientError> {
        let result = self.exchange(address, request);
        if result.is_err() {
            // Drop the socket, which would otherwise resend the request for ever.
            self.sockets.remove(&address);
        }
        result
    }

    fn exchange(
        &mut self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<Reply, LinkClientError> {
        let body = serde_json::to_vec(request)?;
        let socket = self.socket(address)?;
        socket.send(Message::from(body.as_slice())).map_err(|(_, error)| error)?;
        let reply = socket.recv()?;
        Ok(serde_json::from_slice(&reply)?)
    }

    fn socket(&mut self, address: SocketAddr) -> Result<Socket, nng::Error> {
        if let Some(socket) = self.sockets.get(&address) {
            return Ok(socket.clone());
        }
        if self.sockets.len() >= MAX_SOCKETS {
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
