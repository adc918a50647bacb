//! A service that decides which minions may run a step, by the platform's pages: it handles one call at a time, in turn, and
//! answers 429 when 32 calls are waiting.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode};
use reachhead_ops::http::{self, BufferedRequest, BufferedResponse, Handler};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::{Mutex, watch},
    time,
};

use crate::give_up;

type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Calls that may wait.
const MAX_WAITING: usize = 32;

/// What the service has done.
#[derive(Default)]
pub struct Advice {
    turn: Mutex<()>,
    waiting: AtomicUsize,
    pub answered: AtomicUsize,
    pub refused: AtomicUsize,
    /// `decisionMs`.
    decision_ms: f64,
    /// `perWorkerMs`.
    per_worker_ms: f64,
    /// Calls whose caller has left are dropped from the queue.
    drops: bool,
}

impl Advice {
    /// Starts the service, and returns it with its address. All calls come from one machine, the owner of the pool.
    pub async fn start(
        decision_ms: f64,
        per_worker_ms: f64,
        drops: bool,
    ) -> (Arc<Self>, SocketAddr) {
        let advice = Arc::new(Self { decision_ms, per_worker_ms, drops, ..Self::default() });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap_or_else(|e| give_up(e));
        let address = listener.local_addr().unwrap_or_else(|e| give_up(e));
        let handler: Arc<dyn Handler> = Arc::new(Service(Arc::clone(&advice)));
        tokio::spawn(async move {
            let (_keep, stop) = watch::channel(false);
            http::serve(listener, handler, 1 << 20, stop).await;
        });
        (advice, address)
    }

    async fn decide(self: Arc<Self>, workers: Vec<Value>) -> Value {
        struct Waiting<'a>(&'a AtomicUsize);
        impl Drop for Waiting<'_> {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::Relaxed);
            }
        }
        let waiting = Waiting(&self.waiting);
        let turn = self.turn.lock().await;
        drop(waiting);
        let time = self.decision_ms + self.per_worker_ms * workers.len() as f64;
        time::sleep(Duration::from_secs_f64(time / 1000.0)).await;
        drop(turn);
        let approved: Vec<Value> = workers.iter().map(|worker| json!([worker, "t-1"])).collect();
        json!({ "approved": approved })
    }

    async fn advise(self: &Arc<Self>, request: &BufferedRequest) -> BufferedResponse {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return http::text(StatusCode::BAD_REQUEST, "malformed call\n");
        };
        let workers = body["workers"].as_array().cloned().unwrap_or_default();
        if self.waiting.load(Ordering::Relaxed) >= MAX_WAITING {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return http::json(StatusCode::TOO_MANY_REQUESTS, &json!({}));
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let decision = Arc::clone(self).decide(workers);
        let answer = if self.drops {
            decision.await
        } else {
            // It is decided in its turn, whether or not its caller still waits.
            tokio::spawn(decision).await.unwrap_or_default()
        };
        self.answered.fetch_add(1, Ordering::Relaxed);
        http::json(StatusCode::OK, &answer)
    }
}

struct Service(Arc<Advice>);

impl Handler for Service {
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse> {
        Box::pin(async move {
            match (&request.method, request.path.as_str()) {
                (&Method::POST, "/advise") => self.0.advise(&request).await,
                _ => http::text(StatusCode::NOT_FOUND, "no such call\n"),
            }
        })
    }
}
