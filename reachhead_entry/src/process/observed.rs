//! The process as its operators see it, from the ops thread.

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

use crate::process::link::Question;

/// What is said when the control of this host gives no fresh view.
pub const NO_VIEW: &str = "no fresh view from the control of this host";

/// Longest wait for the path thread's state.
const STATE_TIME: Duration = Duration::from_secs(2);

/// Why the process is not ready, written by the path thread and read by the ops thread.
#[derive(Clone)]
pub struct Ready(Arc<Mutex<Reason>>);

#[derive(Clone, Copy)]
struct Reason {
    text: Option<&'static str>,
    /// When the view gets too old; nobody may be there to say so then.
    fresh_until: Option<BootInstant>,
}

impl Ready {
    /// Sets why the process is not ready, `None` if it is, and until when its view is fresh.
    pub fn set(&self, text: Option<&'static str>, fresh_until: Option<BootInstant>) {
        let reason = Reason { text, fresh_until };
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = reason;
    }

    fn get(&self) -> Option<&'static str> {
        let reason = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_fresh = reason.fresh_until.is_some_and(|until| BootInstant::now() < until);
        reason.text.or((!is_fresh).then_some(NO_VIEW))
    }
}

/// Answers operators by asking the path thread.
pub struct EntryObserved {
    ready: Ready,
    questions: mpsc::Sender<Question>,
}

impl EntryObserved {
    /// Returns the two ends: one for the path thread, one for the ops listener.
    pub fn new(questions: mpsc::Sender<Question>) -> (Ready, Self) {
        let reason = Reason { text: Some("starting"), fresh_until: None };
        let ready = Ready(Arc::new(Mutex::new(reason)));
        (ready.clone(), Self { ready, questions })
    }
}

impl ProcessStatus for EntryObserved {
    fn unready_reason(&self) -> Option<String> {
        self.ready.get().map(str::to_owned)
    }

    fn state(&self) -> BoxFuture<'_, Value> {
        async move {
            let (reply, state) = oneshot::channel();
            let asked = self.questions.try_send(Question::State { reply });
            let state = async { state.await.ok() };
            match (asked, time::timeout(STATE_TIME, state).await) {
                (Ok(()), Ok(Some(state))) => state,
                _ => json!({ "error": "the path thread does not answer" }),
            }
        }
        .boxed()
    }
}
