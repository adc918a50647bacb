//! The messages between owners and dispatchers, sent to peers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::{BoxFuture, FutureExt};
use reachhead_ops::client::CallError;
use reachhead_types::size::Millis;

use super::messages::{DispatchBatch, OrderResult, ResultBatch};
use crate::peer::{PeerClient, PeerReply, PeerRequest};

/// Sends messages between owners and dispatchers.
pub trait DispatchLink: Send + Sync {
    /// Sends orders to a dispatcher and returns the results that are ready there.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; also if the process does not know the message.
    fn send(
        &self,
        address: SocketAddr,
        batch: DispatchBatch,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<Vec<OrderResult>, CallError>>;

    /// Returns whether a call was answered quickly within the last [`MAX_QUICK_AGE`], so that this process's
    /// own link does not delay the answers of others.
    fn is_free(&self) -> bool;

    /// Sends results to an owner.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; also if the process does not own the pool any more.
    fn send_results(
        &self,
        address: SocketAddr,
        batch: Arc<ResultBatch>,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<(), CallError>>;
}

/// Messages between processes, over [`PeerClient`].
pub struct PeerLink(pub PeerClient);

/// Age of the latest call with a quick answer up to which the own link counts as free. Owners call the
/// store and workers several times in that time.
const MAX_QUICK_AGE: Millis = Millis(400);

impl DispatchLink for PeerLink {
    fn is_free(&self) -> bool {
        self.0.quick_answer_age().is_some_and(|age| age <= MAX_QUICK_AGE)
    }

    fn send(
        &self,
        address: SocketAddr,
        batch: DispatchBatch,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<Vec<OrderResult>, CallError>> {
        async move {
            match self.0.call(address, &PeerRequest::Dispatch(batch), deadline).await? {
                PeerReply::Dispatched(results) => Ok(results),
                _ => Err(CallError::Lost("it answered something else".to_owned())),
            }
        }
        .boxed()
    }

    fn send_results(
        &self,
        address: SocketAddr,
        batch: Arc<ResultBatch>,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<(), CallError>> {
        async move {
            match self.0.call(address, &PeerRequest::DispatchResults(batch), deadline).await? {
                PeerReply::Done => Ok(()),
                _ => Err(CallError::Lost("it answered something else".to_owned())),
            }
        }
        .boxed()
    }
}
