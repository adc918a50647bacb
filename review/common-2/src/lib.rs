//! What the cases share: processes of the product with settings of a small deployment, on loopback.

pub mod advice;
pub mod hosts;
pub mod minion;

use std::{
    fmt::Display,
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::Duration,
};

use hyper::Method;
use reachhead_site::caller::Caller;
use tokio::time::{self, Instant};

/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// The record of a case, with the time since its start in front of each line.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Creates the record at the path in `RECORD`.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).unwrap_or_else(|error| give_up(error));
        Self { file: Mutex::new(file), start: Instant::now() }
    }

    /// Adds a line to the record, and prints it.
    pub fn line(&self, text: impl Display) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{line}");
        }
    }

    /// Adds a line to the record without printing it.
    pub fn detail(&self, text: impl Display) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:8.3} {text}", self.start.elapsed().as_secs_f64());
        }
    }
}

/// Ends the case as one that could not run, and its processes with it.
pub fn give_up(why: impl Display) -> ! {
    panic!("the case could not run: {why}")
}

/// Returns whether the disruption is to happen.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A process of the deploy file.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Ports of a process, each of which has an address of its own.
const PORTS: [u16; 4] = [8624, 8622, 8623, 9464];

impl Node {
    /// Writes the settings of process `number` into `folder`, with these addresses of the store, the host service and the
    /// advice, and starts it.
    pub fn start(
        folder: &Path,
        number: usize,
        store: SocketAddr,
        hosts: SocketAddr,
        advice: Option<SocketAddr>,
    ) -> Self {
        let ip = free_address(number);
        let name = format!("front-hall-{number}");
        let settings = folder.join(format!("{name}.toml"));
        let text = settings_text(&name, &ip, store, hosts, advice);
        fs::write(&settings, text).unwrap_or_else(|error| give_up(error));
        let log = folder.join(format!("{name}.log"));
        let front = format!("{ip}:{}", PORTS[0]).parse().unwrap_or_else(|_| give_up("address"));
        let mut node = Self { name, front, settings, log, child: None };
        node.spawn();
        node
    }

    /// Starts the process with the command of the deploy file, in the repository's root.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|error| give_up(error));
        let errors = log.try_clone().unwrap_or_else(|error| give_up(error));
        let child = Command::new("target/release/reachhead-node")
            .env("REACHHEAD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| give_up(error)));
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the process's log.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Sends a signal by its name to a process that the case started.
pub fn signal(process: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(process.to_string()).status();
}

/// Returns the process that has taken a pool last, as far as the logs show.
pub fn find_owner(nodes: &[Node], pool: &str) -> Option<String> {
    let taken = format!("LeaseTaken: pool={pool} ");
    let token = |line: &str| {
        let text = line.split("token=").nth(1)?.split(' ').next()?;
        text.parse::<u64>().ok()
    };
    let last = |node: &Node| {
        node.log().lines().filter(|line| line.contains(&taken)).filter_map(token).max()
    };
    let owners = nodes.iter().filter_map(|node| Some((last(node)?, node.name.clone())));
    owners.max().map(|(_, name)| name)
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address on which all ports of a process are free.
fn free_address(number: usize) -> String {
    let own = std::process::id() as usize;
    for attempt in 0..200 {
        let ip =
            format!("127.{}.{}.{}", 1 + own % 250, 1 + (own / 250 + attempt) % 250, 10 + number);
        if PORTS.iter().all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok()) {
            return ip;
        }
    }
    give_up("no free loopback address")
}

/// Returns the settings of a process in a small deployment, in the platform's format.
fn settings_text(
    name: &str,
    ip: &str,
    store: SocketAddr,
    hosts: SocketAddr,
    advice: Option<SocketAddr>,
) -> String {
    let advice = advice.map(|address| format!("advice = \"{address}\"\n")).unwrap_or_default();
    format!(
        r#"nodeName = "{name}"
role = "node"
machineClass = "front"
serves = ["front"]
ipAddress = "{ip}"
zone = "hall"
region = "place"
internalPortRange = [8623, 8638]
seedNodes = []
firstStart = true
discovery = "platform"
entryKind = "virtual_ip"
heartbeatIntervalMs = 1500
orders = "request"
{advice}[zones]
hall = "place"
[listenAddresses]
front = "{ip}:8624"
ready = "{ip}:8622"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
fileDescriptors = 4100
linkBandwidthMbps = 1000.0
diskMb = 0
[bounds]
touchMs = 3000
confirmMs = 4000
drainMs = 2000
gracePeriodS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
maxHoldMs = 6000
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remotePenalty = 2
checkpointIntervalS = 1
restoreMs = 250
noticePeriodMs = 4500
migrationS = 1.5
maintenanceS = 2
fencingEnforced = true
leaseDurationMs = 3000
thawSlackMs = 300
pacingMs = 100
harmMs = 4000
[platform]
address = "{store}"
form = "table"
writesPerS = 600
readsPerS = 2000
transactionMs = 3.0
partitionWritesS = 300
rowBytes = 65536
across = true
historyRetentionS = 20
[cloudApi]
address = "{hosts}"
ratePerS = 64.0
dutyPerS = 64.0
"#
    )
}

fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("reachhead-review-{}", std::process::id()))
}

/// Creates a folder for the settings and logs of the case's processes.
pub fn work_folder() -> PathBuf {
    let folder = folder();
    fs::create_dir_all(&folder).unwrap_or_else(|error| give_up(error));
    folder
}

/// Runs a case within the time that it may take, ends its processes with it, and exits with its code.
pub async fn run_case(case: impl Future<Output = i32> + Send + 'static) -> ! {
    let mut task = tokio::spawn(case);
    let code = match time::timeout(Duration::from_secs(112), &mut task).await {
        Ok(Ok(code)) => code,
        Ok(Err(_)) => NOT_RUN,
        Err(_) => {
            task.abort();
            let _ = task.await;
            NOT_RUN
        }
    };
    let _ = fs::remove_dir_all(folder());
    std::process::exit(code)
}

/// Waits until all processes answer for a queue.
pub async fn wait_ready(nodes: &[Node], caller: &Caller, queue: &str) {
    let end = Instant::now() + Duration::from_secs(25);
    for node in nodes {
        let path = format!("/{queue}/00000000000000ff");
        loop {
            if let Ok(response) = caller.call(node.front, Method::GET, &path, "").await
                && response.status == 410
            {
                break;
            }
            if Instant::now() > end {
                give_up("the processes were not ready in time");
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Returns the state of a job as a caller sees it, or the status of the answer.
pub async fn state(caller: &Caller, node: &Node, path: &str) -> String {
    match caller.call(node.front, Method::GET, path, "").await {
        Ok(response) if response.status == 200 => {
            response.body["state"].as_str().unwrap_or("?").to_owned()
        }
        Ok(response) => response.status.to_string(),
        Err(error) => format!("no answer ({error})"),
    }
}
