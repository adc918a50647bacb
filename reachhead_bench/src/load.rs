//! Load generators: an open loop at a fixed arrival rate, a closed loop with a fixed number of callers.
//!
//! The open loop measures latency from the scheduled send time of a request, so that a stalled
//! server can't hide the requests that it kept from being sent (coordinated omission).

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpStream, task, time};

/// Maximum latency that a histogram holds, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Maximum lateness of the runtime's timers.
const MAX_TIMER_LATENESS: Duration = Duration::from_millis(2);

/// Timeout of one request in the open loop, repeated sends included.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Sending half of a connection.
type Sender = http1::SendRequest<Full<Bytes>>;

/// Requests that a load generator sends.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Target addresses, used round-robin.
    pub targets: Vec<SocketAddr>,
    /// HTTP method.
    pub method: &'static str,
    /// Request path.
    pub path: &'static str,
    /// Whether each request carries its own idempotency key.
    pub is_keyed: bool,
    /// Upper bound of the processing time at the minion in milliseconds, drawn uniformly from 2 upwards;
    /// 0 uses the minion's own.
    pub max_work_ms: u64,
    /// Maximum number of sends of a request that fails, the first included.
    pub max_sends: u64,
}

/// Results of a load.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Latencies of successful responses, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of responses by status; 0 stands for a broken connection or a timeout.
    pub statuses: BTreeMap<u16, u64>,
    /// Duration of the load.
    pub took: Duration,
}

impl Outcome {
    fn new() -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are constants");
        Self { latency, statuses: BTreeMap::new(), took: Duration::ZERO }
    }

    fn record(&mut self, status: u16, latency: Duration) {
        *self.statuses.entry(status).or_default() += 1;
        if status == 200 {
            self.latency.saturating_record(latency.as_micros() as u64);
        }
    }

    /// Returns the number of successful responses.
    pub fn good(&self) -> u64 {
        self.statuses.get(&200).copied().unwrap_or_default()
    }

    /// Returns the number of successful responses with a latency of at most `limit`.
    pub fn good_within(&self, limit: Duration) -> u64 {
        self.latency.count_between(0, limit.as_micros() as u64)
    }

    /// Returns the successful responses per second.
    pub fn goodput(&self) -> f64 {
        self.good() as f64 / self.took.as_secs_f64()
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the results as JSON.
    pub fn json(&self) -> Value {
        json!({
            "good_per_s": self.goodput().round(),
            "statuses": self.statuses,
            "p50_ms": self.quantile(0.5),
            "p99_ms": self.quantile(0.99),
        })
    }
}

/// Idle connections, by target address.
#[derive(Default)]
struct IdleConnections(Mutex<BTreeMap<SocketAddr, Vec<Sender>>>);

impl IdleConnections {
    async fn take(&self, to: SocketAddr) -> Option<Sender> {
        loop {
            let kept = {
                let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
                idle.get_mut(&to).and_then(Vec::pop)
            };
            match kept {
                Some(sender) if sender.is_closed() => {}
                Some(sender) => return Some(sender),
                None => return connect(to).await,
            }
        }
    }

    fn put(&self, to: SocketAddr, sender: Sender) {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(to).or_default().push(sender);
    }
}

async fn connect(to: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(to).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends `rate` requests per second for `length`, without waiting for responses in between.
pub async fn open_loop(workload: &Workload, rate: f64, length: Duration) -> Outcome {
    let idle = Arc::new(IdleConnections::default());
    let outcome = Arc::new(Mutex::new(Outcome::new()));
    let start = Instant::now();
    let count = (rate * length.as_secs_f64()) as u64;
    let mut requests = Vec::with_capacity(count as usize);
    for number in 0..count {
        let due = start + Duration::from_secs_f64(number as f64 / rate);
        wait_until(due).await;
        let (idle, outcome, workload) = (Arc::clone(&idle), Arc::clone(&outcome), workload.clone());
        requests.push(tokio::spawn(async move {
            // After the timeout the caller gives up, and its connection is closed.
            let sending = send(&idle, &workload, number);
            let status = time::timeout(REQUEST_TIMEOUT, sending).await.unwrap_or_default();
            let mut outcome = outcome.lock().unwrap_or_else(PoisonError::into_inner);
            outcome.record(status, due.elapsed());
        }));
    }
    future::join_all(requests).await;
    let mut outcome = outcome.lock().unwrap_or_else(PoisonError::into_inner).clone();
    outcome.took = start.elapsed();
    outcome
}

/// Waits until `due` with microsecond precision.
///
/// With the runtime's timers alone, the requests of each millisecond would be sent at once.
async fn wait_until(due: Instant) {
    if let Some(sleep_end) = due.checked_sub(MAX_TIMER_LATENESS) {
        time::sleep_until(sleep_end.into()).await;
    }
    while Instant::now() < due {
        task::yield_now().await;
    }
}

/// Runs `callers` concurrent callers for `length`; each sends its next request after the last response.
pub async fn closed_loop(workload: &Workload, callers: usize, length: Duration) -> Outcome {
    let idle = Arc::new(IdleConnections::default());
    let start = Instant::now();
    let tasks = (0..callers).map(|caller| {
        let (idle, workload) = (Arc::clone(&idle), workload.clone());
        tokio::spawn(async move {
            let mut outcome = Outcome::new();
            let mut number = caller as u64;
            while start.elapsed() < length {
                let sent_at = Instant::now();
                let status = send(&idle, &workload, number).await;
                outcome.record(status, sent_at.elapsed());
                number += callers as u64;
            }
            outcome
        })
    });
    let mut total = Outcome::new();
    for outcome in future::join_all(tasks).await.into_iter().flatten() {
        total.latency.add(&outcome.latency).expect("all histograms have the same bounds");
        for (status, count) in outcome.statuses {
            *total.statuses.entry(status).or_default() += count;
        }
    }
    total.took = start.elapsed();
    total
}

/// Sends a request until it succeeds or `max_sends` is reached, and returns the last status.
async fn send(idle: &IdleConnections, workload: &Workload, number: u64) -> u16 {
    let mut status = 0;
    for attempt in 0..workload.max_sends {
        status = send_once(idle, workload, number + attempt).await;
        if status == 200 {
            break;
        }
    }
    status
}

async fn send_once(idle: &IdleConnections, workload: &Workload, number: u64) -> u16 {
    let to = workload.targets[number as usize % workload.targets.len()];
    let Some(mut sender) = idle.take(to).await else {
        return 0;
    };
    match exchange(&mut sender, workload, number).await {
        Some(status) => {
            idle.put(to, sender);
            status
        }
        None => 0,
    }
}

async fn exchange(sender: &mut Sender, workload: &Workload, number: u64) -> Option<u16> {
    let mut request =
        Request::builder().method(workload.method).uri(workload.path).header("host", "bench");
    if workload.is_keyed {
        request = request.header("idempotency-key", format!("bench-{number}"));
    }
    if workload.max_work_ms > 0 {
        // Pseudo-random, but the same sequence in every run.
        let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        request = request.header("standin-work", 2 + random % (workload.max_work_ms - 1));
    }
    let request = request.body(Full::new(Bytes::new())).ok()?;
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    response.into_body().collect().await.ok()?;
    Some(status)
}
