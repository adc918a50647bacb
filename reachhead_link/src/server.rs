//! The answering side: one thread that takes a request at a time.

use std::{net::SocketAddr, thread, time::Duration};

use log::debug;
use nng::{
    Message, Protocol, Socket,
    options::{Options, RecvMaxSize, RecvTimeout},
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Largest message that is taken, in bytes: a whole configuration fits, a flood does not.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Why a listener could not be set up.
#[derive(Debug, Error)]
pub enum LinkError {
    /// `nng` said no.
    #[error("can't listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What `nng` said.
        #[source]
        source: nng::Error,
    },
    /// The system gave no thread.
    #[error("can't start a thread")]
    Thread(#[from] std::io::Error),
}

/// Answers requests, on the thread that [`serve`] starts.
pub trait Responder<Q, A>: Send + 'static {
    /// Returns the answer to `request`; it should not block for long.
    fn respond(&mut self, request: Q) -> A;
}

/// Listens on `address` and answers each request with `responder` on a thread of its own.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub fn serve<Q, A>(
    address: SocketAddr,
    mut responder: impl Responder<Q, A>,
) -> Result<(), LinkError>
where
    Q: DeserializeOwned,
    A: Serialize,
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
            // What can't be read gets an empty answer, which the asker counts as none.
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
