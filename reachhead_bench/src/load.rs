//! Load at a fixed rate of arrivals, or as fast as a number of callers can go.
//!
//! In an open loop the latency counts from the moment at which the request was due, so a server
//! that stalls can't hide the requests that it kept from being sent.

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

/// Largest latency that a histogram holds, in microseconds.
const LARGEST: u64 = 60_000_000;

/// How late the runtime's timers may be.
const TIMER_STEP: Duration = Duration::from_millis(2);

/// For how long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// A connection of a caller.
type Sender = http1::SendRequest<Full<Bytes>>;

/// What is sent.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Where to, taken in turn.
    pub to: Vec<SocketAddr>,
    /// Method and path.
    pub method: &'static str,
    /// The path.
    pub path: &'static str,
    /// Whether each request has an idempotency key of its own.
    pub is_keyed: bool,
    /// Milliseconds of work at the minion, drawn evenly from 2 to this; 0 leaves it to the minion.
    pub most_work: u64,
    /// Times that a caller sends a request that fails, the first included.
    pub sends: u64,
}

/// What came of a load.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Latencies of good answers in microseconds.
    pub latency: Histogram<u64>,
    /// Answers by status; 0 is a broken connection.
    pub statuses: BTreeMap<u16, u64>,
    /// How long the load took.
    pub took: Duration,
}

impl Outcome {
    fn new() -> Self {
        let latency = Histogram::new_with_max(LARGEST, 3).expect("the bounds are constants");
        Self { latency, statuses: BTreeMap::new(), took: Duration::ZERO }
    }

    fn note(&mut self, status: u16, latency: Duration) {
        *self.statuses.entry(status).or_default() += 1;
        if status == 200 {
            self.latency.saturating_record(latency.as_micros() as u64);
        }
    }

    /// Returns the good answers.
    pub fn good(&self) -> u64 {
        self.statuses.get(&200).copied().unwrap_or_default()
    }

    /// Returns the good answers that took at most `limit`.
    pub fn good_within(&self, limit: Duration) -> u64 {
        self.latency.count_between(0, limit.as_micros() as u64)
    }

    /// Returns the good answers a second.
    pub fn goodput(&self) -> f64 {
        self.good() as f64 / self.took.as_secs_f64()
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the figures as JSON.
    pub fn json(&self) -> Value {
        json!({
            "good_per_s": self.goodput().round(),
            "statuses": self.statuses,
            "p50_ms": self.quantile(0.5),
            "p99_ms": self.quantile(0.99),
        })
    }
}

/// Connections that are not in use, by where they go.
#[derive(Default)]
struct Idle(Mutex<BTreeMap<SocketAddr, Vec<Sender>>>);

impl Idle {
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

/// Sends at `rate` requests a second for `length`, whatever becomes of them.
pub async fn open_loop(stream: &Stream, rate: f64, length: Duration) -> Outcome {
    let idle = Arc::new(Idle::default());
    let outcome = Arc::new(Mutex::new(Outcome::new()));
    let start = Instant::now();
    let count = (rate * length.as_secs_f64()) as u64;
    let mut sent = Vec::with_capacity(count as usize);
    for number in 0..count {
        let due = start + Duration::from_secs_f64(number as f64 / rate);
        wait_until(due).await;
        let (idle, outcome, stream) = (Arc::clone(&idle), Arc::clone(&outcome), stream.clone());
        sent.push(tokio::spawn(async move {
            // A caller that waited this long has gone; its connection goes with it.
            let sending = send(&idle, &stream, number);
            let status = time::timeout(PATIENCE, sending).await.unwrap_or_default();
            let mut outcome = outcome.lock().unwrap_or_else(PoisonError::into_inner);
            outcome.note(status, due.elapsed());
        }));
    }
    future::join_all(sent).await;
    let mut outcome = outcome.lock().unwrap_or_else(PoisonError::into_inner).clone();
    outcome.took = start.elapsed();
    outcome
}

/// Waits until `due`, to the microsecond: the runtime's timers alone would send a millisecond's
/// worth of requests at a time.
async fn wait_until(due: Instant) {
    if let Some(early) = due.checked_sub(TIMER_STEP) {
        time::sleep_until(early.into()).await;
    }
    while Instant::now() < due {
        task::yield_now().await;
    }
}

/// Keeps `callers` busy for `length`.
pub async fn closed_loop(stream: &Stream, callers: usize, length: Duration) -> Outcome {
    let idle = Arc::new(Idle::default());
    let start = Instant::now();
    let busy = (0..callers).map(|caller| {
        let (idle, stream) = (Arc::clone(&idle), stream.clone());
        tokio::spawn(async move {
            let mut outcome = Outcome::new();
            let mut number = caller as u64;
            while start.elapsed() < length {
                let sent = Instant::now();
                let status = send(&idle, &stream, number).await;
                outcome.note(status, sent.elapsed());
                number += callers as u64;
            }
            outcome
        })
    });
    let mut total = Outcome::new();
    for outcome in future::join_all(busy).await.into_iter().flatten() {
        total.latency.add(&outcome.latency).expect("the bounds are the same");
        for (status, count) in outcome.statuses {
            *total.statuses.entry(status).or_default() += count;
        }
    }
    total.took = start.elapsed();
    total
}

async fn send(idle: &Idle, stream: &Stream, number: u64) -> u16 {
    let mut status = 0;
    for attempt in 0..stream.sends {
        status = send_once(idle, stream, number + attempt).await;
        if status == 200 {
            break;
        }
    }
    status
}

async fn send_once(idle: &Idle, stream: &Stream, number: u64) -> u16 {
    let to = stream.to[number as usize % stream.to.len()];
    let Some(mut sender) = idle.take(to).await else {
        return 0;
    };
    match exchange(&mut sender, stream, number).await {
        Some(status) => {
            idle.put(to, sender);
            status
        }
        None => 0,
    }
}

async fn exchange(sender: &mut Sender, stream: &Stream, number: u64) -> Option<u16> {
    let mut request =
        Request::builder().method(stream.method).uri(stream.path).header("host", "bench");
    if stream.is_keyed {
        request = request.header("idempotency-key", format!("bench-{number}"));
    }
    if stream.most_work > 0 {
        // A fixed sequence that looks random: the same work in each run.
        let draw = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        request = request.header("standin-work", 2 + draw % (stream.most_work - 1));
    }
    let request = request.body(Full::new(Bytes::new())).ok()?;
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    response.into_body().collect().await.ok()?;
    Some(status)
}
