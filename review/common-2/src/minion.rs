//! A minion by the platform's pages that can end, start again under its id, and carry out a start order late.

use std::{
    future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hyper::{Method, StatusCode};
use reachhead_jobs::{
    clock::WorkerTime,
    ports::{HoldOrder, Rejection, RunEnd, StartOrder, WorkerError},
};
use reachhead_ops::http::{self, BufferedRequest, BufferedResponse, Handler};
use reachhead_plan::amount::Amount;
use reachhead_site::{
    hosts::SiteHost,
    incarnation::{TaskBehavior, WorkerIncarnation},
    site::Site,
    store::RowName,
};
use reachhead_types::size::{FencingToken, Millis, RunNumber};
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::watch,
    task::JoinHandle,
    time::{self, Instant},
};

use crate::{Record, give_up};

type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// One life of the minion.
struct Life {
    started: Instant,
    state: Mutex<WorkerIncarnation>,
    over: watch::Sender<bool>,
}

impl Life {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// The minion.
pub struct Minion {
    site: Arc<Site>,
    record: Arc<Record>,
    id: String,
    pool: String,
    host: String,
    capacity: Amount,
    address: Mutex<Option<SocketAddr>>,
    life: Mutex<Option<Arc<Life>>>,
    task: Mutex<Option<JoinHandle<()>>>,
    keep_next: Mutex<bool>,
    kept: Mutex<Option<Value>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64)
}

impl Minion {
    /// Starts the minion on a host of its own, and registers it.
    pub async fn start(
        site: Arc<Site>,
        record: Arc<Record>,
        id: &str,
        pool: &str,
        capacity: Amount,
    ) -> Arc<Self> {
        let minion = Arc::new(Self {
            site,
            record,
            id: id.to_owned(),
            pool: pool.to_owned(),
            host: format!("m-{id}"),
            capacity,
            address: Mutex::new(None),
            life: Mutex::new(None),
            task: Mutex::new(None),
            keep_next: Mutex::new(false),
            kept: Mutex::new(None),
        });
        minion.begin().await;
        minion.register();
        minion
    }

    /// Begins a life: the minion listens at its address, and its host has it. It isn't registered yet.
    pub async fn begin(self: &Arc<Self>) {
        let known = *self.address.lock().unwrap();
        let wanted = known.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let socket = TcpSocket::new_v4().unwrap_or_else(|error| give_up(error));
        socket.set_reuseaddr(true).unwrap_or_else(|error| give_up(error));
        socket.bind(wanted).unwrap_or_else(|error| give_up(error));
        let listener: TcpListener = socket.listen(256).unwrap_or_else(|error| give_up(error));
        let address = listener.local_addr().unwrap_or_else(|error| give_up(error));
        *self.address.lock().unwrap() = Some(address);
        let born = unix_ms();
        let offset = 400_000 + born % 1000;
        let state = WorkerIncarnation::new(offset, self.capacity).with_start_time(Millis(born));
        let life = Arc::new(Life {
            started: Instant::now(),
            state: Mutex::new(state),
            over: watch::Sender::new(false),
        });
        *self.life.lock().unwrap() = Some(Arc::clone(&life));
        let handler: Arc<dyn Handler> = Arc::new(Agent { minion: Arc::clone(self), life });
        let task = tokio::spawn(async move {
            let (_keep, stop) = watch::channel(false);
            http::serve(listener, handler, 1 << 20, stop).await;
        });
        *self.task.lock().unwrap() = Some(task);
        let host = SiteHost {
            pool: self.pool.clone(),
            zone: "z".to_owned(),
            capacity: self.capacity,
            state: "up",
            worker: self.id.clone(),
            waves: Vec::new(),
            token: 0,
        };
        self.site.hosts.hosts().insert(self.host.clone(), host);
        self.record.line(format!("minion {} is up, born {born}", self.id));
    }

    /// Writes the minion's entry.
    pub fn register(&self) {
        let Some(life) = self.life.lock().unwrap().clone() else { return };
        let born = life.state.lock().unwrap().born.unwrap_or_default().0;
        let address = self.address.lock().unwrap().map(|address| address.to_string());
        let row = json!({ "service": self.pool, "address": address, "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": born,
            "capacity": { "cpu": self.capacity.cores, "requestedMemoryMb": self.capacity.memory, "gpus": 0 },
            "labels": ["a", "r"] });
        self.site.store.put(RowName::new("servers", "", &self.id), &row);
        self.record.line(format!("minion {} registers, born {born}", self.id));
    }

    /// Ends the minion's life as a crash does: its connections end, nothing listens at its address, and its host has no minion.
    pub fn crash(&self) {
        if let Some(life) = self.life.lock().unwrap().take() {
            life.over.send_replace(true);
        }
        if let Some(task) = self.task.lock().unwrap().take() {
            task.abort();
        }
        if let Some(host) = self.site.hosts.hosts().get_mut(&self.host) {
            host.worker.clear();
            host.state = "down";
        }
        self.record.line(format!("minion {} crashes", self.id));
    }

    /// Leaves the next start order without an answer, and keeps it.
    pub fn keep_next_start(&self) {
        *self.keep_next.lock().unwrap() = true;
    }

    /// Returns the start order that was kept.
    pub fn kept(&self) -> Option<Value> {
        self.kept.lock().unwrap().clone()
    }

    /// Carries out a start order now, and returns the answer.
    pub fn carry_out(&self, order: &Value) -> Option<(StatusCode, Value)> {
        let life = self.life.lock().unwrap().clone()?;
        Some(start(&life, order))
    }

    /// Returns the tasks that run here.
    pub fn running(&self) -> Vec<String> {
        let Some(life) = self.life.lock().unwrap().clone() else { return Vec::new() };
        let mut state = life.state.lock().unwrap();
        state.advance(life.now());
        state.running.keys().map(ToString::to_string).collect()
    }
}

fn behavior(specification: &str) -> TaskBehavior {
    let time = specification.split(' ').find_map(|word| word.strip_prefix("ms=")?.parse().ok());
    TaskBehavior { time: Some(time.unwrap_or(100)), fails: false, crashes: false }
}

fn start(life: &Life, order: &Value) -> (StatusCode, Value) {
    let now = life.now();
    let Ok(task) = order["task"].as_str().unwrap_or_default().parse() else {
        return (StatusCode::BAD_REQUEST, json!({}));
    };
    let specification = order["specification"].as_str().unwrap_or_default();
    let wanted = StartOrder {
        task,
        run: RunNumber(order["run"].as_u64().unwrap_or_default()),
        payload: specification.into(),
        deadline: WorkerTime(order["deadlineMs"].as_u64().unwrap_or_default()),
        checkpoint: None,
        ticket: None,
    };
    let token = FencingToken(order["fencingToken"].as_u64().unwrap_or_default());
    let mut state = life.state.lock().unwrap();
    state.advance(now);
    let result = state.start(token, &wanted, behavior(specification), now);
    answer(&state, now, result.err())
}

fn answer(state: &WorkerIncarnation, now: u64, error: Option<WorkerError>) -> (StatusCode, Value) {
    let clock = state.clock(now);
    let reason = match error {
        None => return (StatusCode::OK, json!({ "clockMs": clock })),
        Some(WorkerError::Rejected(Rejection::Fenced)) => "fence",
        Some(WorkerError::Rejected(Rejection::Old)) => "old",
        Some(WorkerError::Rejected(Rejection::Late)) => "late",
        Some(_) => "room",
    };
    (StatusCode::CONFLICT, json!({ "clockMs": clock, "reason": reason }))
}

struct Agent {
    minion: Arc<Minion>,
    life: Arc<Life>,
}

impl Agent {
    async fn answer(&self, request: &BufferedRequest) -> BufferedResponse {
        let expected = request.headers.get("X-Expected-Instance").and_then(|id| id.to_str().ok());
        if expected.is_some_and(|expected| expected != self.minion.id) {
            return http::text(StatusCode::MISDIRECTED_REQUEST, "another incarnation\n");
        }
        let Ok(order) = serde_json::from_slice::<Value>(&request.body) else {
            return http::text(StatusCode::BAD_REQUEST, "malformed order\n");
        };
        let token = FencingToken(order["fencingToken"].as_u64().unwrap_or_default());
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/run-start") => {
                if std::mem::take(&mut *self.minion.keep_next.lock().unwrap()) {
                    self.minion.record.line(format!(
                        "start of {} run {} token {} arrives, is not answered and is carried out later",
                        order["task"], order["run"], token.0
                    ));
                    *self.minion.kept.lock().unwrap() = Some(order);
                    return future::pending().await;
                }
                let (status, body) = start(&self.life, &order);
                self.minion.record.detail(format!("start {order}: {status} {body}"));
                http::json(status, &body)
            }
            (&Method::POST, "/run-stop") => {
                let now = self.life.now();
                let run = RunNumber(order["run"].as_u64().unwrap_or_default());
                let Ok(task) = order["task"].as_str().unwrap_or_default().parse() else {
                    return http::text(StatusCode::BAD_REQUEST, "invalid task\n");
                };
                let mut state = self.life.state.lock().unwrap();
                state.advance(now);
                let result = state.stop(token, task, run, now);
                let (status, body) = answer(&state, now, result.err());
                self.minion.record.detail(format!("stop {order}: {status} {body}"));
                http::json(status, &body)
            }
            (&Method::POST, "/hold") => self.hold(token, &order).await,
            _ => http::text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    async fn hold(&self, token: FencingToken, order: &Value) -> BufferedResponse {
        let wait = Duration::from_millis(order["waitMs"].as_u64().unwrap_or_default());
        let end = Instant::now() + wait;
        let hold = HoldOrder {
            deadline: order["deadlineMs"].as_u64().map(WorkerTime),
            acknowledged: order["lastSeen"].as_u64().unwrap_or_default(),
            wait: Millis(wait.as_millis() as u64),
        };
        loop {
            let now = self.life.now();
            {
                let mut state = self.life.state.lock().unwrap();
                state.advance(now);
                match state.hold(token, &hold, now) {
                    Err(error) => {
                        let (status, body) = answer(&state, now, Some(error));
                        return http::json(status, &body);
                    }
                    Ok(report) if !report.ended.is_empty() || Instant::now() >= end => {
                        let how = |end: RunEnd| match end {
                            RunEnd::Done => "done",
                            RunEnd::Failed => "failed",
                            RunEnd::Lapsed => "lapsed",
                            _ => "stopped",
                        };
                        let running: Vec<Value> = report
                            .running
                            .iter()
                            .map(|run| {
                                json!([run.task.to_string(), run.run.0, "", run.percent, 500])
                            })
                            .collect();
                        let ended: Vec<Value> = report
                            .ended
                            .iter()
                            .map(|run| {
                                json!([
                                    run.number,
                                    run.task.to_string(),
                                    run.run.0,
                                    how(run.end),
                                    ""
                                ])
                            })
                            .collect();
                        return http::json(
                            StatusCode::OK,
                            &json!({ "clockMs": report.clock.0,
                                "born": report.started_at.unwrap_or_default().0,
                                "running": running, "ended": ended }),
                        );
                    }
                    Ok(_) => {}
                }
            }
            time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Handler for Agent {
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse> {
        Box::pin(async move {
            let mut over = self.life.over.subscribe();
            tokio::select! {
                response = self.answer(&request) => response,
                // The connection ends with the minion.
                _ = over.wait_for(|over| *over) => {
                    std::panic::resume_unwind(Box::new("the minion's process was killed"))
                }
            }
        })
    }
}
