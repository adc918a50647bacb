//! Steady load through a load balancer, in which no request may fail.

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

/// Period of the balancer's readiness checks; an entry host that stops keeps serving for longer
/// than this.
pub const BALANCER_PERIOD: Duration = Duration::from_millis(100);

/// Number of concurrent callers.
const CALLERS: usize = 8;

/// Load balancer that routes to ready entry hosts, and callers that send through it without pause.
pub struct Load {
    /// Address for callers of each entry host, by the address of its ops listener.
    hosts: Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    failed: Arc<Mutex<Vec<Reply>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the balancer and the callers.
    pub fn start(cluster: &Cluster) -> Self {
        let addresses = cluster.hosts.iter().map(|host| (host.entry_ops, host.callers)).collect();
        let mut load = Self {
            hosts: Arc::new(Mutex::new(addresses)),
            stop: Arc::default(),
            served: Arc::default(),
            failed: Arc::default(),
            tasks: Vec::new(),
        };
        let ready =
            Arc::new(Mutex::new(cluster.hosts.iter().map(|host| host.callers).collect::<Vec<_>>()));
        load.tasks.push(tokio::spawn(run_balancer(
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

    /// Adds the newest entry host of the cluster to the balancer.
    pub fn add_newest_host(&self, cluster: &Cluster) {
        let host = cluster.hosts.last().unwrap();
        self.hosts.lock().unwrap().insert(host.entry_ops, host.callers);
    }

    /// Stops the load and returns the number of served requests.
    ///
    /// # Panics
    ///
    /// If a request failed.
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

/// Checks the readiness of `hosts` periodically and keeps the caller addresses of ready ones in
/// `ready`.
async fn run_balancer(
    hosts: Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
) {
    while !stop.load(Ordering::Relaxed) {
        let checked = hosts.lock().unwrap().clone();
        let mut next = Vec::new();
        for (ops, callers) in checked {
            if call(ops, &Call::get("/ready")).await.status == 200 {
                next.push(callers);
            }
        }
        if !next.is_empty() {
            *ready.lock().unwrap() = next;
        }
        time::sleep(BALANCER_PERIOD).await;
    }
}
