//! The server side of a link: one thread that handles one request at a time.

use std::{net::SocketAddr, thread, time::Duration};

use log::debug;
use nng::{
    Message, Protocol, Socket,
    options::{Options, RecvMaxSize, RecvTimeout},
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Maximum size of a message in bytes: large enough for a full configuration, small enough to stop
/// a flood.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// An error of starting a server.
#[derive(Debug, Error)]
pub enum LinkError {
    /// `nng` can't listen on the address.
    #[error("can't listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of `nng`.
        #[source]
        source: nng::Error,
    },
    /// The thread can't be started.
    #[error("can't start a thread")]
    Thread(#[from] std::io::Error),
}

/// A handler of requests, which runs on the thread that [`serve`] starts.
pub trait Responder<Request, Reply>: Send + 'static {
    /// Returns the reply to `request`; must not block for long, since requests are handled in turn.
    fn respond(&mut self, request: Request) -> Reply;
}

/// Listens on `address` and starts a thread that answers each request with `responder`.
///
/// # Errors
///
/// Fails if it can't listen on the address or can't start the thread.
pub fn serve<Request, Reply>(
    address: SocketAddr,
    mut responder: impl Responder<Request, Reply>,
) -> Result<(), LinkError>
where
    Request: DeserializeOwned,
    Reply: Serialize,
{
    let socket = listen(address).map_err(|source| LinkError::Listen { address, source })?;
    thread::Builder::new().name("link".to_owned()).spawn(move || {
        loop {
            let message = match socket.recv() {
                Ok(message) => message,
                Err(nng::Error::Closed) => return,
                Err(error) => {
                    debug!("receive on {address}: {error}");
                    continue;
                }
            };
            // An unreadable request gets an empty reply, which the client reports as an error.
            let reply = match serde_json::from_slice(&message) {
                Ok(request) => serde_json::to_vec(&responder.respond(request)).unwrap_or_default(),
                Err(_) => Vec::new(),
            };
            if let Err((_, error)) = socket.send(Message::from(reply.as_slice())) {
                debug!("send on {address}: {error}");
            }
        }
    })?;
    Ok(())
}

fn listen(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Rep0)?;
    socket.set_opt::<RecvTimeout>(Some(Duration::from_secs(3600)))?;
    socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
    socket.listen(&format!("tcp://{address}"))?;
    Ok(socket)
}
