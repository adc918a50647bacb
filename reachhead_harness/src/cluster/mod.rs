//! Cluster of processes on one loopback address: store, minions, entry hosts and admins.

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

/// Operator token that the admins of every cluster accept, for the whole tree of groups.
pub const TOKEN: &str = "test-token";

/// Salt of [`TOKEN_HASH`].
const SALT: &str = "salt";

/// SHA-256 of [`SALT`] and [`TOKEN`].
const TOKEN_HASH: &str = "490758e49266fbf781053695c50cdba3d40321add81f41d6d7dfd7acc5833dfb";

/// Availability zones over which entry hosts and minions are spread.
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// Next number for a loopback address or a host name.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Entry host: its control and entry processes and their addresses.
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Process of `reachhead-control`.
    pub control: Process,
    /// Process of `reachhead-entry`.
    pub entry: Process,
    /// Address of the entry process for callers.
    pub callers: SocketAddr,
    /// Address of the entry process's ops listener.
    pub entry_ops: SocketAddr,
    control_link: SocketAddr,
}

/// Minion process.
pub struct Minion {
    /// Name of the minion in its service.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Address that the minion listens on.
    pub address: SocketAddr,
    /// Process of the minion.
    pub process: Process,
}

/// Size and settings of a cluster.
pub struct ClusterConfig {
    hosts: usize,
    minions: usize,
    work: u64,
    deadline: u64,
    entry: Value,
    control: Value,
}

/// Running cluster; its processes end when it is dropped.
pub struct Cluster {
    folder: PathBuf,
    ip: IpAddr,
    config: ClusterConfig,
    /// Address of the store.
    pub store: SocketAddr,
    _store_process: Process,
    /// Minions in the order of their start.
    pub minions: Vec<Minion>,
    /// Entry hosts in the order of their start.
    pub hosts: Vec<Host>,
    /// Address of the first admin's API.
    pub admin: SocketAddr,
    /// Admins in the order of their start.
    pub admins: Vec<Admin>,
}

/// Admin process.
pub struct Admin {
    /// Address of the API.
    pub address: SocketAddr,
    /// Process of `reachhead-admin`.
    pub process: Process,
}

impl ClusterConfig {
    /// Returns the configuration of a cluster with `hosts` entry hosts and `minions` minions for
    /// each of two services.
    pub fn new(hosts: usize, minions: usize) -> Self {
        Self { hosts, minions, work: 0, deadline: 1500, entry: json!({}), control: json!({}) }
    }

    /// Sets the time that a minion works on a request, in milliseconds.
    pub fn with_work(mut self, work: u64) -> Self {
        self.work = work;
        self
    }

    /// Sets the deadline of requests, in milliseconds.
    pub fn with_deadline(mut self, deadline: u64) -> Self {
        self.deadline = deadline;
        self
    }

    /// Overrides settings of the entry processes, by section.
    pub fn with_entry(mut self, entry: Value) -> Self {
        self.entry = entry;
        self
    }

    /// Overrides settings of the control processes, by section.
    pub fn with_control(mut self, control: Value) -> Self {
        self.control = control;
        self
    }

    /// Starts the store, the admin and the minions, without configuration rows and entry hosts.
    pub async fn start_bare(self) -> Cluster {
        Cluster::start_bare(self).await
    }

    /// Starts the whole cluster with its configuration rows and waits until every entry host is
    /// ready.
    pub async fn start(self) -> Cluster {
        let mut cluster = Cluster::start_bare(self).await;
        cluster.configure().await;
        for _ in 0..cluster.config.hosts {
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
    Admin { address, process }
}

/// Returns a loopback address that no other test uses.
fn allocate_ip() -> IpAddr {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 1 + (high ^ (number >> 8) as u8) % 250, low, 1 + number as u8))
}

impl Cluster {
    async fn start_bare(config: ClusterConfig) -> Self {
        let ip = allocate_ip();
        let folder = env::temp_dir().join(format!("reachhead-test-{}-{ip}", process::id()));
        fs::create_dir_all(&folder).expect("the folder of the cluster can be created");
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
            config,
            store,
            _store_process: store_process,
            minions: Vec::new(),
            hosts: Vec::new(),
            admin: admin.address,
            admins: vec![admin],
        };
        for service in ["alpha", "beta"] {
            for number in 0..cluster.config.minions {
                cluster.add_minion(service, &format!("m{number}")).await;
            }
        }
        cluster
    }

    /// Starts a minion; it receives no requests before it has a configuration row.
    pub async fn add_minion(&mut self, service: &str, id: &str) {
        let address = free_address(self.ip);
        let args =
            ["minion", "--address", &address.to_string(), "--work", &self.config.work.to_string()];
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

    /// Starts an entry host that connects to the store at `store`, which may be a proxy.
    pub fn add_host_with_store(&mut self, store: SocketAddr) {
        let [control_link, entry_link] = [(); 2].map(|()| free_address(self.ip));
        self.start_host(store, [control_link, entry_link], [control_link, entry_link]);
    }

    /// Starts an entry host whose control and entry processes are reached by peers only through the
    /// returned proxies, in this order.
    pub async fn add_host_behind_proxies(&mut self) -> [Proxy; 2] {
        let links = [(); 2].map(|()| free_address(self.ip));
        let control = Proxy::new(self.ip, links[0]).await;
        let entry = Proxy::new(self.ip, links[1]).await;
        self.start_host(self.store, links, [control.address, entry.address]);
        [control, entry]
    }

    /// Starts an entry host whose control and entry processes listen on `links` and advertise
    /// `advertised` to peers.
    fn start_host(
        &mut self,
        store: SocketAddr,
        links: [SocketAddr; 2],
        advertised: [SocketAddr; 2],
    ) {
        let [control_link, entry_link] = links;
        let name = format!("e{}", NEXT_NUMBER.fetch_add(1, Ordering::Relaxed));
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
        merge(&mut entry, &self.config.entry);
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
        let name = format!("c{}", NEXT_NUMBER.fetch_add(1, Ordering::Relaxed));
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
        merge(&mut settings, &self.config.control);
        settings
    }

    /// Writes the groups, the pool, the services, the routes and the minions that every test uses.
    pub async fn configure(&self) {
        let deadline = self.config.deadline;
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

/// Returns an address of `ip` with a free port; it stays free, since only this test uses `ip`.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    // The kernel may choose the same port again before a process listens on it, so each is returned
    // once.
    static RETURNED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let _spawn = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let address = TcpListener::bind((ip, 0))
            .expect("a port is free")
            .local_addr()
            .expect("a listener has an address");
        if RETURNED.lock().expect("no holder of the lock has panicked").insert(address) {
            return address;
        }
    }
}

/// Waits until a process accepts connections at `address`.
pub async fn wait_listening(address: SocketAddr) {
    eventually(&format!("{address} listens"), async || {
        tokio::net::TcpStream::connect(address).await.ok().map(drop)
    })
    .await;
}

/// Waits until the process with its ops listener at `address` reports that it is ready.
pub async fn wait_ready(address: SocketAddr) {
    eventually(&format!("{address} is ready"), async || {
        (caller::call(address, &Call::get("/ready")).await.status == 200).then_some(())
    })
    .await;
}

/// Returns the state that a process reports at its ops listener; null if the process does not
/// respond.
pub async fn fetch_state(ops: SocketAddr) -> Value {
    let reply = call(ops, &Call::get("/state")).await;
    serde_json::from_str(&reply.body).unwrap_or_default()
}

/// Returns a random id, as each change needs one.
pub fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Writes a settings file and returns the command-line arguments that select it.
fn write_settings(folder: &Path, name: &str, settings: &Value) -> Vec<String> {
    let path = folder.join(format!("{name}.jsonc"));
    fs::write(&path, settings.to_string()).expect("the settings file can be written");
    vec!["--settings".to_owned(), path.display().to_string()]
}

/// Overrides single values of `settings` with those of `changes`, section by section.
fn merge(settings: &mut Value, changes: &Value) {
    for (section, values) in changes.as_object().into_iter().flatten() {
        for (key, value) in values.as_object().into_iter().flatten() {
            settings[section][key] = value.clone();
        }
    }
}
