//! A whole system on one loopback address: store, minions, entry hosts, admin.

mod calls;

use std::{
    collections::BTreeSet,
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use serde_json::{Value, json};

use crate::{
    Call, call, caller, eventually,
    process::{Process, SPAWN_LOCK},
    proxy::Proxy,
};

/// The operators' token of every test.
pub const TOKEN: &str = "test-token";

/// Salt of the token's hash.
const SALT: &str = "salt";

/// SHA-256 of salt and token.
const TOKEN_HASH: &str = "490758e49266fbf781053695c50cdba3d40321add81f41d6d7dfd7acc5833dfb";

/// Availability zones of every test.
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An entry host: its two processes and their addresses.
pub struct Host {
    /// Its name.
    pub name: String,
    /// `reachhead-control`.
    pub control: Process,
    /// `reachhead-entry`.
    pub entry: Process,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// The ops listener of the entry process.
    pub entry_ops: SocketAddr,
    control_link: SocketAddr,
}

/// A minion process.
pub struct Minion {
    /// Its name in the service.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
}

/// What a test wants.
pub struct ClusterConfig {
    hosts: usize,
    minions: usize,
    work: u64,
    deadline: u64,
    entry: Value,
    control: Value,
}

/// A running system.
pub struct Cluster {
    folder: PathBuf,
    ip: IpAddr,
    plan: ClusterConfig,
    /// Where the store listens.
    pub store: SocketAddr,
    _store_process: Process,
    /// The minions in the order in which they were started.
    pub minions: Vec<Minion>,
    /// The entry hosts in the order in which they were started.
    pub hosts: Vec<Host>,
    /// Where the admin listens.
    pub admin: SocketAddr,
    admins: Vec<Admin>,
}

/// An admin process.
struct Admin {
    address: SocketAddr,
    _process: Process,
}

impl ClusterConfig {
    /// Returns a plan of `hosts` entry hosts and `minions` minions for each of two services.
    pub fn new(hosts: usize, minions: usize) -> Self {
        Self { hosts, minions, work: 0, deadline: 1500, entry: json!({}), control: json!({}) }
    }

    /// Sets the milliseconds that a minion works on a request.
    pub fn with_work(mut self, work: u64) -> Self {
        self.work = work;
        self
    }

    /// Sets the deadline of requests, in milliseconds.
    pub fn with_deadline(mut self, deadline: u64) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets sections of the entry processes' settings.
    pub fn with_entry(mut self, entry: Value) -> Self {
        self.entry = entry;
        self
    }

    /// Sets sections of the control processes' settings.
    pub fn with_control(mut self, control: Value) -> Self {
        self.control = control;
        self
    }

    /// Starts the store, the minions and the admin, without configuration and entry hosts.
    pub async fn start_bare(self) -> Cluster {
        Cluster::start_bare(self).await
    }

    /// Starts everything and waits until every entry host is ready.
    pub async fn start(self) -> Cluster {
        let mut cluster = Cluster::start_bare(self).await;
        cluster.configure().await;
        for _ in 0..cluster.plan.hosts {
            cluster.add_host();
        }
        cluster.wait_all_ready().await;
        cluster
    }
}

async fn start_admin(folder: &Path, ip: IpAddr, store: SocketAddr) -> Admin {
    let address = free_address(ip);
    let settings = json!({
        "program": "admin", "host": "admin", "zone": "z1",
        "ops": { "address": free_address(ip) }, "store": { "address": store, "rate": 1000 },
        "api": { "address": address, "token_salt": SALT, "token_hash": TOKEN_HASH },
    });
    let name = format!("admin-{}", address.port());
    let args = write_settings(folder, &name, &settings);
    let process = Process::start(folder, &name, "reachhead-admin", &args);
    wait_listening(address).await;
    Admin { address, _process: process }
}

/// Returns a loopback address that no other test uses.
fn own_ip() -> IpAddr {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 1 + (high ^ (number >> 8) as u8) % 250, low, 1 + number as u8))
}

impl Cluster {
    async fn start_bare(plan: ClusterConfig) -> Self {
        let ip = own_ip();
        let folder = env::temp_dir().join(format!("reachhead-test-{}-{ip}", process::id()));
        fs::create_dir_all(&folder).expect("the test system works");
        let store = free_address(ip);
        let store_process = Process::start(
            &folder,
            "store",
            "reachhead-standin",
            &["store".to_owned(), "--address".to_owned(), store.to_string()],
        );
        wait_listening(store).await;
        let admin = start_admin(&folder, ip, store).await;
        let mut cluster = Self {
            folder,
            ip,
            plan,
            store,
            _store_process: store_process,
            minions: Vec::new(),
            hosts: Vec::new(),
            admin: admin.address,
            admins: vec![admin],
        };
        for service in ["alpha", "beta"] {
            for number in 0..cluster.plan.minions {
                cluster.add_minion(service, &format!("m{number}")).await;
            }
        }
        cluster
    }

    /// Starts a minion; it gets no work before it is configured.
    pub async fn add_minion(&mut self, service: &str, id: &str) {
        let address = free_address(self.ip);
        let args =
            ["minion", "--address", &address.to_string(), "--work", &self.plan.work.to_string()];
        let args = args.map(str::to_owned);
        let name = format!("minion-{service}-{id}-{}", address.port());
        let process = Process::start(&self.folder, &name, "reachhead-standin", &args);
        wait_listening(address).await;
        let (id, service) = (id.to_owned(), service.to_owned());
        self.minions.push(Minion { id, service, address, process });
    }

    /// Starts an entry host.
    pub fn add_host(&mut self) {
        self.add_host_with_store(self.store);
    }

    /// Starts an entry host that reaches the store at another address.
    pub fn add_host_with_store(&mut self, store: SocketAddr) {
        let [control_link, entry_link] = [(); 2].map(|()| free_address(self.ip));
        self.start_host(store, [control_link, entry_link], [control_link, entry_link]);
    }

    /// Starts an entry host that its peers reach over wires alone, its control and its entry process.
    pub async fn add_host_behind_proxies(&mut self) -> [Proxy; 2] {
        let links = [(); 2].map(|()| free_address(self.ip));
        let control = Proxy::new(self.ip, links[0]).await;
        let entry = Proxy::new(self.ip, links[1]).await;
        self.start_host(self.store, links, [control.address, entry.address]);
        [control, entry]
    }

    /// Starts an entry host whose control and entry process answer at `links` and say that they do at
    /// `advertised`.
    fn start_host(
        &mut self,
        store: SocketAddr,
        links: [SocketAddr; 2],
        advertised: [SocketAddr; 2],
    ) {
        let [control_link, entry_link] = links;
        let name = format!("e{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let zone = ZONES[self.hosts.len() % ZONES.len()];
        let [control_ops, entry_ops, callers] = [(); 3].map(|()| free_address(self.ip));
        let mut control =
            self.control_settings(&name, zone, store, control_ops, control_link, advertised[1]);
        control["link"]["advertise"] = json!(advertised[0]);
        let mut entry = json!({
            "program": "entry", "host": name, "zone": zone,
            "ops": { "address": entry_ops }, "store": { "address": store, "deadline": 500 },
            "callers": { "address": callers },
            "link": { "control": control_link, "ask": entry_link, "period": 50 },
            "shutdown": { "lag": 300, "limit": 20000 },
        });
        merge(&mut entry, &self.plan.entry);
        let args = write_settings(&self.folder, &format!("control-{name}"), &control);
        let control =
            Process::start(&self.folder, &format!("control-{name}"), "reachhead-control", &args);
        let args = write_settings(&self.folder, &format!("entry-{name}"), &entry);
        let entry =
            Process::start(&self.folder, &format!("entry-{name}"), "reachhead-entry", &args);
        self.hosts.push(Host { name, control, entry, callers, entry_ops, control_link });
    }

    /// Starts another admin process and returns its address.
    pub async fn add_admin(&mut self) -> SocketAddr {
        let admin = start_admin(&self.folder, self.ip, self.store).await;
        let address = admin.address;
        self.admins.push(admin);
        address
    }

    /// Starts the control process of an entry host without an entry process.
    pub fn add_control_process(&mut self) -> Process {
        let name = format!("c{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let [ops, link, entry] = [(); 3].map(|()| free_address(self.ip));
        let settings = self.control_settings(&name, "z1", self.store, ops, link, entry);
        let args = write_settings(&self.folder, &format!("control-{name}"), &settings);
        Process::start(&self.folder, &format!("control-{name}"), "reachhead-control", &args)
    }

    fn control_settings(
        &self,
        name: &str,
        zone: &str,
        store: SocketAddr,
        ops: SocketAddr,
        link: SocketAddr,
        entry: SocketAddr,
    ) -> Value {
        let mut settings = json!({
            "program": "control", "host": name, "zone": zone,
            "ops": { "address": ops }, "store": { "address": store, "deadline": 500 },
            "link": {
                "address": link, "entry": entry, "gossip": 100,
                "seeds": self.hosts.iter().map(|host| host.control_link).collect::<Vec<_>>(),
            },
            "follow": { "version": 50, "members": 50 },
            "pools": { "round": 100, "drain": 1000, "hand_over": 2000, "confirm": 500 },
        });
        merge(&mut settings, &self.plan.control);
        settings
    }

    /// Writes the groups, services and routes of every test.
    pub async fn configure(&self) {
        let deadline = self.plan.deadline;
        let mut rows = vec![
            ("group/top".to_owned(), json!({ "settings": { "deadline": deadline } })),
            ("group/red".to_owned(), json!({ "parent": "top" })),
            ("group/blue".to_owned(), json!({ "parent": "top" })),
            ("pool/main".to_owned(), json!({ "group": "top" })),
            ("service/alpha".to_owned(), json!({ "group": "red", "pool": "main" })),
            ("service/beta".to_owned(), json!({ "group": "blue", "pool": "main" })),
        ];
        let routes = [
            ("red-alpha", "/red/alpha", "red", "alpha", "ignored"),
            ("blue-alpha", "/blue/alpha", "blue", "alpha", "ignored"),
            ("red-pay", "/red/pay", "red", "alpha", "required"),
            ("blue-beta", "/blue/beta", "blue", "beta", "accepted"),
        ];
        for (name, path, group, service, key) in routes {
            let row = json!({ "path": path, "group": group, "service": service, "key": key });
            rows.push((format!("route/{name}"), row));
        }
        for minion in &self.minions {
            rows.push(self.minion_row(minion, "serving"));
        }
        self.change(rows).await;
    }

    /// Returns the configuration row of a minion in `state`.
    pub fn minion_row(&self, minion: &Minion, state: &str) -> (String, Value) {
        let number: usize = minion.id.trim_start_matches('m').parse().unwrap_or_default();
        let row = json!({
            "address": minion.address, "zone": ZONES[number % ZONES.len()], "state": state,
        });
        (format!("minion/{}/{}", minion.service, minion.id), row)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a free port of `ip`; only this test uses the address, so it stays free.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    // The system may name a port again that nobody listens on yet, so the given ones are kept.
    static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let _spawn = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let address = TcpListener::bind((ip, 0))
            .expect("the test system works")
            .local_addr()
            .expect("the test system works");
        if GIVEN.lock().expect("the test system works").insert(address) {
            return address;
        }
    }
}

/// Waits until something listens on `address`.
pub async fn wait_listening(address: SocketAddr) {
    eventually(&format!("{address} listens"), async || {
        tokio::net::TcpStream::connect(address).await.ok().map(drop)
    })
    .await;
}

/// Waits until the process with the ops listener at `address` is ready.
pub async fn wait_ready(address: SocketAddr) {
    eventually(&format!("{address} is ready"), async || {
        (caller::call(address, &Call::get("/ready")).await.status == 200).then_some(())
    })
    .await;
}

/// Returns the state dump of a process.
pub async fn fetch_state(ops: SocketAddr) -> Value {
    let reply = call(ops, &Call::get("/state")).await;
    serde_json::from_str(&reply.body).unwrap_or_default()
}

/// Returns an id for a change.
pub fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn write_settings(folder: &Path, name: &str, settings: &Value) -> Vec<String> {
    let path = folder.join(format!("{name}.jsonc"));
    fs::write(&path, settings.to_string()).expect("the test system works");
    vec!["--settings".to_owned(), path.display().to_string()]
}

/// Writes the sections of `changes` over those of `settings`.
fn merge(settings: &mut Value, changes: &Value) {
    for (section, values) in changes.as_object().into_iter().flatten() {
        for (key, value) in values.as_object().into_iter().flatten() {
            settings[section][key] = value.clone();
        }
    }
}
