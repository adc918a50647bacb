//! The table service and the platform's hosts over HTTP, with knobs for their faults.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt};
use hyper::StatusCode;
use reachhead_ops::{
    http::{self, BufferedRequest, BufferedResponse, Handler},
    runtime,
};
use reachhead_store::{
    Store,
    http::{
        COMMIT_PATH, DRAIN_PATH, HOSTS_PATH, READ_PATH, REBOOT_PATH, SCAN_PATH, STATUS_PATH,
        UNDRAIN_PATH,
    },
    memory::MemoryStore,
    row::Txn,
};
use reachhead_types::{id::HostId, size::Revision};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time};

use crate::platform::PlatformStandin;

/// Largest call, in bytes.
const BODY_LIMIT: usize = 64 << 20;

/// Longer than any deadline: an answer that never comes.
const NEVER: Duration = Duration::from_secs(3600);

/// The paths of the platform's own protocol.
const PATHS: [&str; 8] = [
    READ_PATH,
    SCAN_PATH,
    COMMIT_PATH,
    HOSTS_PATH,
    STATUS_PATH,
    DRAIN_PATH,
    UNDRAIN_PATH,
    REBOOT_PATH,
];

/// What the store does wrong; posted to `/fault`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Every call is answered with 503 and does nothing.
    refuse: bool,
    /// Every call hangs and does nothing.
    hang: bool,
    /// Calls of the table service hang; the platform's hosts still answer.
    hang_rows: bool,
    /// Each call takes this many milliseconds longer.
    delay: u64,
    /// This many transactions take effect and their answer never comes.
    lose: u32,
    /// Only transactions that write a key with this prefix lose their answer.
    lose_prefix: String,
    /// Reads of the host list give older lists in turn with the newest.
    stale: bool,
    /// Hosts are neither drained nor undrained nor rebooted: these calls are answered with 503.
    refuse_hosts: bool,
}

#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    scans: AtomicU64,
    commits: AtomicU64,
    lists: AtomicU64,
}

/// The counts as `/count` gives them.
#[derive(Debug, Serialize)]
struct CountReport {
    reads: u64,
    scans: u64,
    commits: u64,
}

#[derive(Default)]
struct StoreStandin {
    store: MemoryStore,
    fault: Mutex<Fault>,
    counts: Counts,
    platform: PlatformStandin,
}

impl StoreStandin {
    fn fault(&self) -> MutexGuard<'_, Fault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_fault(&self, body: &[u8]) -> BufferedResponse {
        knob(body, |fault| *self.fault() = fault)
    }

    fn add_list(&self, body: &[u8]) -> BufferedResponse {
        knob(body, |list| self.platform.add_list(list))
    }

    fn hosts(&self, body: &[u8]) -> Result<BufferedResponse, String> {
        let after: Revision = parse(body)?;
        let reads = self.counts.lists.fetch_add(1, Ordering::Relaxed) as usize;
        let list = match self.fault().stale {
            true => self.platform.stale_list(reads),
            false => self.platform.list(after),
        };
        Ok(http::json(StatusCode::OK, &list))
    }

    fn call_host(&self, path: &str, body: &[u8]) -> Result<BufferedResponse, String> {
        if self.fault().refuse_hosts {
            return Ok(http::text(StatusCode::SERVICE_UNAVAILABLE, "down\n"));
        }
        match path {
            DRAIN_PATH => self.platform.drain(parse(body)?),
            UNDRAIN_PATH => self.platform.undrain(&parse(body)?),
            _ => self.platform.reboot(&parse(body)?)?,
        }
        Ok(http::json(StatusCode::OK, &()))
    }

    fn status(&self, body: &[u8]) -> Result<BufferedResponse, String> {
        let hosts: Vec<HostId> = parse(body)?;
        Ok(http::json(StatusCode::OK, &self.platform.status(&hosts)))
    }

    fn report(&self) -> CountReport {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        CountReport {
            reads: load(&self.counts.reads),
            scans: load(&self.counts.scans),
            commits: load(&self.counts.commits),
        }
    }

    /// Takes one lost answer off the fault, if there is one.
    fn take_loss(&self, txn: &Txn) -> bool {
        let mut fault = self.fault();
        let is_meant = txn.writes.iter().any(|write| write.key.0.starts_with(&fault.lose_prefix));
        let is_lost = fault.lose > 0 && is_meant;
        fault.lose -= u32::from(is_lost);
        is_lost
    }

    async fn call(&self, path: &str, body: &[u8]) -> BufferedResponse {
        let fault = self.fault().clone();
        time::sleep(Duration::from_millis(fault.delay)).await;
        let is_row_call = [READ_PATH, SCAN_PATH, COMMIT_PATH].contains(&path);
        if fault.hang || (fault.hang_rows && is_row_call) {
            time::sleep(NEVER).await;
        }
        if fault.refuse {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "down\n");
        }
        let result = match path {
            READ_PATH => self.read(body).await,
            SCAN_PATH => self.scan(body).await,
            HOSTS_PATH => self.hosts(body),
            STATUS_PATH => self.status(body),
            DRAIN_PATH | UNDRAIN_PATH | REBOOT_PATH => self.call_host(path, body),
            _ => self.commit(body).await,
        };
        result.unwrap_or_else(|error| http::text(StatusCode::BAD_REQUEST, &error))
    }

    async fn read(&self, body: &[u8]) -> Result<BufferedResponse, String> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let rows = self.store.read(parse(body)?).await.map_err(|error| error.to_string())?;
        Ok(http::json(StatusCode::OK, &rows))
    }

    async fn scan(&self, body: &[u8]) -> Result<BufferedResponse, String> {
        self.counts.scans.fetch_add(1, Ordering::Relaxed);
        let page = self.store.scan(parse(body)?).await.map_err(|error| error.to_string())?;
        Ok(http::json(StatusCode::OK, &page))
    }

    async fn commit(&self, body: &[u8]) -> Result<BufferedResponse, String> {
        self.counts.commits.fetch_add(1, Ordering::Relaxed);
        let txn: Txn = parse(body)?;
        let is_lost = self.take_loss(&txn);
        let commit = self.store.commit(txn).await.map_err(|error| error.to_string())?;
        if is_lost {
            time::sleep(NEVER).await;
        }
        Ok(http::json(StatusCode::OK, &commit))
    }
}

/// Sets what a test posted.
fn knob<T: for<'de> Deserialize<'de>>(body: &[u8], set: impl FnOnce(T)) -> BufferedResponse {
    match parse(body) {
        Ok(value) => {
            set(value);
            http::text(StatusCode::OK, "set\n")
        }
        Err(error) => http::text(StatusCode::BAD_REQUEST, &format!("{error}\n")),
    }
}

fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

impl Handler for StoreStandin {
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse> {
        async move {
            match request.path.as_str() {
                "/fault" => self.set_fault(&request.body),
                "/hosts" => self.add_list(&request.body),
                "/count" => http::json(StatusCode::OK, &self.report()),
                "/platform" => knob(&request.body, |host| self.platform.set(host)),
                path if PATHS.contains(&path) => self.call(path, &request.body).await,
                _ => http::text(StatusCode::NOT_FOUND, "no such call\n"),
            }
        }
        .boxed()
    }
}

/// Serves the table service on `address` until a shutdown is asked for.
pub async fn run(address: SocketAddr) -> io::Result<()> {
    let listener = http::listen(address).await?;
    let (_stop, stopped) = watch::channel(false);
    let standin = Arc::new(StoreStandin::default());
    tokio::select! {
        // Calls that hang would hold up a graceful end, so the stand-in just ends.
        () = http::serve(listener, standin, BODY_LIMIT, stopped) => Ok(()),
        signal = runtime::shutdown_signal() => signal,
    }
}
