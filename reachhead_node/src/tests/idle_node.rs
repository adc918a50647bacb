//! Processes for tests, without listeners and tasks, and servers that they call.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::Duration,
};

use reachhead_jobs::ports::Change;
use reachhead_ops::client::HttpClient;
use reachhead_platform::settings::Settings;
use reachhead_store::row::{Key, Row};
use reachhead_types::size::{Millis, Revision};
use serde_json::json;
use tokio::sync::watch;

use crate::{
    follow::{Follower, Operators},
    metrics::Metrics,
    node::Node,
    peer::PeerClient,
    process,
};

/// Returns a process that has read nothing yet, with a store at this address. Its limits allow no
/// state as old as relayed state gets.
pub(crate) fn new(store: &str) -> Arc<Node> {
    with_limits(store, 3000, 1000.0)
}

/// Returns a process whose limits allow relayed state, and which has a fleet owner.
pub(crate) fn relaying(store: &str) -> Arc<Node> {
    with_limits(store, 5000, 1000.0)
}

/// Returns a process that has read nothing yet, on a link with this bandwidth in Mbit/s.
pub(crate) fn on_link(store: &str, bandwidth: f64) -> Arc<Node> {
    with_limits(store, 3000, bandwidth)
}

fn with_limits(store: &str, apply_ms: u64, bandwidth: f64) -> Arc<Node> {
    let settings = format!(
        r#"
nodeName = "node-1"
zone = "z"
ipAddress = "127.0.0.1"
internalPortRange = [7060, 7060]
[listenAddresses]
[limits]
cpuShare = 1.0
linkBandwidthMbps = {bandwidth:.1}
[bounds]
configApplyMs = {apply_ms}
[platform]
address = "{store}"
[cloudApi]
address = "127.0.0.1:1"
"#
    );
    let settings = Settings::parse(&settings).unwrap();
    let client = Arc::new(HttpClient::new());
    let services = process::services(&settings, &client);
    let metrics = Metrics::new(&mut prometheus_client::registry::Registry::default());
    let (_, stopping) = watch::channel(false);
    let mut node = Node::new(settings, services, PeerClient::new(client), metrics, stopping);
    node.clock = super::tokio_clock();
    Arc::new(node)
}

/// Applies a version of the configuration that was confirmed `age` ago, with a route and a pool for
/// each name.
pub(crate) fn apply_config(node: &Arc<Node>, version: u64, routes: &[&str], age: Millis) {
    let route = |name: &&str| {
        json!({ "name": name, "host": "site.example", "pathPrefix": format!("/{name}/"),
            "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0,
            "service": name, "maxAttempts": 3, "stretch": 2.0, "allowAnonymous": true })
    };
    let service = |name: &&str| json!({ "name": name, "rejectsOverload": false, "spare": false });
    let value = json!({ "version": version,
        "routes": routes.iter().map(route).collect::<Vec<_>>(),
        "services": routes.iter().map(service).collect::<Vec<_>>(),
        "limits": { "maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutMs": 1,
            "idleTimeoutMs": 1 } });
    let revision = Revision(version + 2);
    let row = Row { key: Key("op//config".to_owned()), value, revision };
    let operators = Operators(Arc::clone(node));
    operators.apply(&[Change { row, deleted: false }]);
    operators.confirm_current(node.now() - age, revision);
}

/// What a server answers, after a delay; `None` never answers.
pub(crate) type Reply = Option<(Duration, &'static str)>;

/// Starts a server on a thread of its own, which goes on while the test's thread is blocked.
pub(crate) fn serve(reply: Reply) -> SocketAddr {
    serve_with(move || {
        let (delay, body) = reply?;
        thread::sleep(delay);
        Some(body)
    })
}

/// Starts such a server that answers each call with the result of `answer`, once that returns. `None`
/// never answers.
pub(crate) fn serve_with(
    mut answer: impl FnMut() -> Option<&'static str> + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept() {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            if let Some(body) = answer() {
                let _ = write!(
                    stream,
                    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
            }
            open.push(stream);
        }
    });
    address
}
