//! Readiness and state of the process, as the ops thread reports them to operators.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt};
use reachhead_ops::listener::ProcessStatus;
use reachhead_types::boot_instant::BootInstant;
use serde_json::{Value, json};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::process::peer_server::PathRequest;

/// Reason for not being ready while the view from the control process is missing or stale.
pub const STALE_VIEW: &str = "no fresh view from the control of this host";

/// Time limit for the path thread to report its state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// The readiness of the process, written by the path thread and read by the ops thread.
#[derive(Clone)]
pub struct Readiness(Arc<Mutex<ReadinessState>>);

#[derive(Clone, Copy)]
struct ReadinessState {
    reason: Option<&'static str>,
    /// When the view becomes stale. The reader checks it, as the path thread may be blocked then.
    fresh_until: Option<BootInstant>,
}

impl Readiness {
    /// Sets the reason for not being ready, `None` if ready, and until when the view is fresh.
    pub fn set(&self, reason: Option<&'static str>, fresh_until: Option<BootInstant>) {
        let state = ReadinessState { reason, fresh_until };
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }

    fn get(&self) -> Option<&'static str> {
        let state = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_fresh = state.fresh_until.is_some_and(|until| BootInstant::now() < until);
        state.reason.or((!is_fresh).then_some(STALE_VIEW))
    }
}

/// Reports readiness and state to the ops listener.
pub struct EntryStatus {
    readiness: Readiness,
    path_requests: mpsc::Sender<PathRequest>,
}

impl EntryStatus {
    /// Returns the readiness for the path thread to write, and the status for the ops listener.
    pub fn new(path_requests: mpsc::Sender<PathRequest>) -> (Readiness, Self) {
        let state = ReadinessState { reason: Some("starting"), fresh_until: None };
        let readiness = Readiness(Arc::new(Mutex::new(state)));
        (readiness.clone(), Self { readiness, path_requests })
    }
}

impl ProcessStatus for EntryStatus {
    fn unready_reason(&self) -> Option<String> {
        self.readiness.get().map(str::to_owned)
    }

    fn state(&self) -> BoxFuture<'_, Value> {
        async move {
            let (reply, state) = oneshot::channel();
            let sent = self.path_requests.try_send(PathRequest::State { reply });
            let state = async { state.await.ok() };
            match (sent, time::timeout(STATE_TIMEOUT, state).await) {
                (Ok(()), Ok(Some(state))) => state,
                _ => json!({ "error": "the path thread does not answer" }),
            }
        }
        .boxed()
    }
}
