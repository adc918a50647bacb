//! A host service by the platform's pages, whose maintenance takes `maintenanceS`, and which can stop a process that reads the list of
//! hosts.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::{Method, StatusCode};
use reachhead_ops::http::{self, BufferedRequest, BufferedResponse, Handler};
use reachhead_site::{site::Site, store::RowName};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch, time};

use crate::{Record, give_up};

/// `maintenanceS`.
pub const MAINTENANCE: Duration = Duration::from_secs(2);

type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Time from the start of the stand-in's minion to its entry.
const REGISTRATION: Duration = Duration::from_millis(400);

/// Time from the minion's entry until the list shows its host as up.
const LIST_DELAY: Duration = Duration::from_millis(250);

/// An order about a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    pub machine: String,
    pub wave: u64,
    pub holder: String,
    pub token: u64,
}

/// The host service.
pub struct HostService {
    site: Arc<Site>,
    record: Arc<Record>,
    /// Maximum number of hosts that were down for the wave at once.
    max_down: Mutex<usize>,
    /// The process to stop when it asks for the list of hosts next.
    freeze_reader: Mutex<Option<u32>>,
}

impl HostService {
    /// Starts the service, and returns it with its address.
    pub async fn start(site: Arc<Site>, record: Arc<Record>) -> (Arc<Self>, SocketAddr) {
        let service = Arc::new(Self {
            site,
            record,
            max_down: Mutex::new(0),
            freeze_reader: Mutex::new(None),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap_or_else(|e| give_up(e));
        let address = listener.local_addr().unwrap_or_else(|e| give_up(e));
        let handler: Arc<dyn Handler> = Arc::new(Service(Arc::clone(&service)));
        tokio::spawn(async move {
            let (_keep, stop) = watch::channel(false);
            http::serve(listener, handler, 1 << 20, stop).await;
        });
        (service, address)
    }

    /// Stops this process as soon as the list of hosts is asked for next; the list is answered at once.
    pub fn freeze_reader(&self, process: u32) {
        *self.freeze_reader.lock().unwrap() = Some(process);
    }

    /// Returns whether the process was not stopped yet.
    pub fn waits_for_reader(&self) -> bool {
        self.freeze_reader.lock().unwrap().is_some()
    }

    /// Returns how many hosts are down for maintenance.
    pub fn down(&self) -> usize {
        self.site.hosts.hosts().values().filter(|host| host.state == "upkeep").count()
    }

    /// Returns the maximum number of hosts that were down at once.
    pub fn max_down(&self) -> usize {
        *self.max_down.lock().unwrap()
    }

    /// Carries out an order, and returns the answer.
    fn carry_out(self: &Arc<Self>, order: &Order) -> (StatusCode, Value) {
        let conflict = |reason: &str| (StatusCode::CONFLICT, json!({ "reason": reason }));
        let worker = {
            let mut hosts = self.site.hosts.hosts();
            let Some(host) = hosts.get_mut(&order.machine) else {
                return (StatusCode::BAD_REQUEST, json!({}));
            };
            if order.token < host.token {
                return conflict("fence");
            }
            host.token = order.token;
            if host.waves.contains(&order.wave) {
                return (StatusCode::OK, json!({}));
            }
            if host.state != "up" {
                return conflict("busy");
            }
            host.state = "upkeep";
            host.waves.push(order.wave);
            let worker = host.worker.clone();
            let down = hosts.values().filter(|host| host.state == "upkeep").count();
            let mut max_down = self.max_down.lock().unwrap();
            *max_down = (*max_down).max(down);
            self.record.line(format!(
                "upkeep of {} begins, by {} with token {}; {down} down",
                order.machine, order.holder, order.token
            ));
            worker
        };
        // Everything there ends, and a new minion joins the pool afterwards.
        self.site.store.delete(RowName::new("servers", "", &worker));
        self.site.crash_in_place(&worker, MAINTENANCE - REGISTRATION);
        let (service, machine) = (Arc::clone(self), order.machine.clone());
        tokio::spawn(async move {
            time::sleep(MAINTENANCE + LIST_DELAY).await;
            if let Some(host) = service.site.hosts.hosts().get_mut(&machine) {
                host.state = "up";
            }
            service.record.line(format!("upkeep of {machine} is over"));
        });
        (StatusCode::OK, json!({}))
    }

    fn list(&self) -> Value {
        let hosts = self.site.hosts.hosts();
        let entry = |(name, host): (&String, &reachhead_site::hosts::SiteHost)| {
            let id = if host.state == "up" { host.worker.as_str() } else { "" };
            json!({ "machine": name, "pool": host.pool, "state": host.state, "zone": host.zone,
                "labels": ["a", "r"], "id": id,
                "capacity": { "cpu": host.capacity.cores, "requestedMemoryMb": host.capacity.memory } })
        };
        json!({ "machines": hosts.iter().map(entry).collect::<Vec<Value>>(), "nextPageToken": null })
    }

    fn maintain(self: &Arc<Self>, request: &BufferedRequest) -> BufferedResponse {
        let header = |name: &str| {
            let value = request.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return http::text(StatusCode::BAD_REQUEST, "malformed order\n");
        };
        let order = Order {
            machine: body["machine"].as_str().unwrap_or_default().to_owned(),
            wave: body["wave"].as_u64().unwrap_or_default(),
            holder: header("X-Duty-Holder"),
            token: header("X-Fencing-Token").parse().unwrap_or_default(),
        };
        let (status, answer) = self.carry_out(&order);
        self.record.detail(format!("{order:?} is answered {status} {answer}"));
        http::json(status, &answer)
    }
}

struct Service(Arc<HostService>);

impl Handler for Service {
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse> {
        Box::pin(async move {
            match (&request.method, request.path.as_str()) {
                (&Method::GET, "/machines") => {
                    if let Some(process) = self.0.freeze_reader.lock().unwrap().take() {
                        crate::signal(process, "STOP");
                        self.0.record.line("the list is read; its reader freezes");
                    }
                    http::json(StatusCode::OK, &self.0.list())
                }
                (&Method::POST, "/machine-upkeep") => self.0.maintain(&request),
                // No machine may be moved: there is one pool.
                (&Method::POST, "/machine-move") => http::json(StatusCode::BAD_REQUEST, &json!({})),
                _ => http::text(StatusCode::NOT_FOUND, "no such call\n"),
            }
        })
    }
}
