//! Table service and host API of the platform over HTTP, with injectable faults.

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

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Delay longer than any deadline; simulates a response that never arrives.
const HANG_TIME: Duration = Duration::from_secs(3600);

/// Paths of the platform's protocol.
const PLATFORM_PATHS: [&str; 8] = [
    READ_PATH,
    SCAN_PATH,
    COMMIT_PATH,
    HOSTS_PATH,
    STATUS_PATH,
    DRAIN_PATH,
    UNDRAIN_PATH,
    REBOOT_PATH,
];

/// Faults injected into calls; posted to `/fault`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Calls are answered with status 503 and have no effect.
    refuse: bool,
    /// Calls hang and have no effect.
    hang: bool,
    /// Table service calls hang; the host API still responds.
    hang_rows: bool,
    /// Additional delay of each call, in milliseconds.
    delay: u64,
    /// Number of transactions that take effect but whose response never arrives.
    lose: u32,
    /// Restricts `lose` to transactions that write a key with this prefix.
    lose_prefix: String,
    /// Reads of the host list cycle through all lists, old and new.
    stale: bool,
    /// Drain, undrain and reboot calls are answered with status 503.
    refuse_hosts: bool,
}

/// Number of calls served, by kind.
#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    scans: AtomicU64,
    commits: AtomicU64,
    lists: AtomicU64,
}

/// Call counts, as `/count` returns them.
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
        set_from_json(body, |fault| *self.fault() = fault)
    }

    fn add_list(&self, body: &[u8]) -> BufferedResponse {
        set_from_json(body, |list| self.platform.add_list(list))
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

    fn count_report(&self) -> CountReport {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        CountReport {
            reads: load(&self.counts.reads),
            scans: load(&self.counts.scans),
            commits: load(&self.counts.commits),
        }
    }

    /// Returns whether the response to `txn` is lost, and counts it off the injected fault.
    fn take_lost_response(&self, txn: &Txn) -> bool {
        let mut fault = self.fault();
        let matches_prefix =
            txn.writes.iter().any(|write| write.key.0.starts_with(&fault.lose_prefix));
        let is_lost = fault.lose > 0 && matches_prefix;
        fault.lose -= u32::from(is_lost);
        is_lost
    }

    async fn call(&self, path: &str, body: &[u8]) -> BufferedResponse {
        let fault = self.fault().clone();
        time::sleep(Duration::from_millis(fault.delay)).await;
        let is_row_call = [READ_PATH, SCAN_PATH, COMMIT_PATH].contains(&path);
        if fault.hang || (fault.hang_rows && is_row_call) {
            time::sleep(HANG_TIME).await;
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
        let is_lost = self.take_lost_response(&txn);
        let commit = self.store.commit(txn).await.map_err(|error| error.to_string())?;
        if is_lost {
            time::sleep(HANG_TIME).await;
        }
        Ok(http::json(StatusCode::OK, &commit))
    }
}

/// Parses the JSON body posted by a test and passes it to `set`.
fn set_from_json<T: for<'de> Deserialize<'de>>(
    body: &[u8],
    set: impl FnOnce(T),
) -> BufferedResponse {
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
                "/count" => http::json(StatusCode::OK, &self.count_report()),
                "/platform" => set_from_json(&request.body, |host| self.platform.update_host(host)),
                path if PLATFORM_PATHS.contains(&path) => self.call(path, &request.body).await,
                _ => http::text(StatusCode::NOT_FOUND, "no such call\n"),
            }
        }
        .boxed()
    }
}

/// Serves the table service and host API on `address` until the process receives a shutdown signal.
pub async fn run(address: SocketAddr) -> io::Result<()> {
    let listener = http::listen(address).await?;
    let (_stop, stopped) = watch::channel(false);
    let standin = Arc::new(StoreStandin::default());
    tokio::select! {
        // Hanging calls would block a graceful shutdown, so the stand-in exits at once.
        () = http::serve(listener, standin, MAX_BODY_BYTES, stopped) => Ok(()),
        signal = runtime::shutdown_signal() => signal,
    }
}
