//! Steady load through a balancer, of which no request may fail.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{task::JoinHandle, time};

use reachhead_harness::{Call, Cluster, Reply, call};

/// How often the balancer looks which hosts are ready; entry hosts wait out more than this.
pub const BALANCER_LAG: Duration = Duration::from_millis(100);

/// Callers behind the balancer.
const CALLERS: usize = 8;

/// The platform's balancer, and callers that send steadily through it.
pub struct Load {
    hosts: Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    failed: Arc<Mutex<Vec<Reply>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts to send.
    pub fn start(cluster: &Cluster) -> Self {
        let known = cluster.hosts.iter().map(|host| (host.entry_ops, host.callers)).collect();
        let mut load = Self {
            hosts: Arc::new(Mutex::new(known)),
            stop: Arc::default(),
            served: Arc::default(),
            failed: Arc::default(),
            tasks: Vec::new(),
        };
        let ready =
            Arc::new(Mutex::new(cluster.hosts.iter().map(|host| host.callers).collect::<Vec<_>>()));
        load.tasks.push(tokio::spawn(balance(
            Arc::clone(&load.hosts),
            Arc::clone(&ready),
            Arc::clone(&load.stop),
        )));
        for caller in 0..CALLERS {
            let (ready, stop) = (Arc::clone(&ready), Arc::clone(&load.stop));
            let (served, failed) = (Arc::clone(&load.served), Arc::clone(&load.failed));
            load.tasks.push(tokio::spawn(async move {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let host = {
                        let ready = ready.lock().unwrap();
                        ready[(caller + number) % ready.len()]
                    };
                    let request = match number % 3 {
                        0 => Call::post("/red/pay", "1").with_key(&format!("{caller}-{number}")),
                        1 => Call::post("/red/alpha", "once"),
                        _ => Call::get("/blue/alpha"),
                    };
                    let reply = call(host, &request).await;
                    if reply.status == 200 && reply.is_complete {
                        served.fetch_add(1, Ordering::Relaxed);
                    } else {
                        failed.lock().unwrap().push(reply);
                    }
                }
            }));
        }
        load
    }

    /// Tells the balancer of the newest entry host.
    pub fn add(&self, cluster: &Cluster) {
        let host = cluster.hosts.last().unwrap();
        self.hosts.lock().unwrap().insert(host.entry_ops, host.callers);
    }

    /// Stops, and returns how many requests were served; none may have failed.
    pub async fn stop(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        let failed = self.failed.lock().unwrap();
        let served = self.served.load(Ordering::Relaxed);
        assert!(failed.is_empty(), "{} of {served} failed: {:?}", failed.len(), failed.first());
        served
    }
}

async fn balance(
    hosts: Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
) {
    while !stop.load(Ordering::Relaxed) {
        let known = hosts.lock().unwrap().clone();
        let mut next = Vec::new();
        for (ops, callers) in known {
            if call(ops, &Call::get("/ready")).await.status == 200 {
                next.push(callers);
            }
        }
        if !next.is_empty() {
            *ready.lock().unwrap() = next;
        }
        time::sleep(BALANCER_LAG).await;
    }
}
