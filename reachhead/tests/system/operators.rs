//! Permissions of operators, concurrent changes of the same rows, and the operators' command line.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::{Command, Output},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::time;

use reachhead_harness::{
    Call, Cluster, Reply, call,
    cluster::{ClusterConfig, TOKEN, fetch_state, random_id},
    eventually,
    process::program_path,
};

/// Runs the operators' command line with `token`.
fn run_cli(cluster: &Cluster, token: &str, args: &[&str]) -> Output {
    Command::new(program_path("reachhead"))
        .args(args)
        .env("REACHHEAD_ADMIN", cluster.admin.to_string())
        .env("REACHHEAD_TOKEN", token)
        .output()
        .unwrap()
}

/// Adds an operator of `group` through the command line and returns its token.
fn add_operator(cluster: &Cluster, name: &str, group: &str) -> String {
    let output = run_cli(cluster, TOKEN, &["operator", "add", name, "--group", group]);
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap().trim().to_owned()
}

async fn call_as(admin: SocketAddr, token: &str, request: Call) -> Reply {
    call(admin, &request.with_header("authorization", format!("Bearer {token}"))).await
}

/// Returns a request that writes one row, on condition of version `expected` if given.
fn change_request(id: &str, key: &str, value: &Value, expected: Option<u64>) -> Call {
    let mut write = json!({ "key": key, "value": value });
    if let Some(expected) = expected {
        write["expected"] = json!(expected);
    }
    Call::post("/v1/changes", &json!({ "id": id, "writes": [write] }).to_string())
}

#[tokio::test]
async fn operator_cannot_read_or_change_rows_of_another_group() {
    let cluster = ClusterConfig::new(0, 1).start().await;
    let red = add_operator(&cluster, "o-red", "red");
    let blue = add_operator(&cluster, "o-blue", "blue");
    let version = cluster.change(vec![("group/blue".to_owned(), json!({ "parent": "top" }))]).await;

    let get = async |token: &str, path: &str| call_as(cluster.admin, token, Call::get(path)).await;
    for path in ["/v1/rows", "/v1/log", "/v1/diff", "/v1/history?key=group/blue"] {
        let own = get(&red, path).await;
        assert_eq!(own.status, 200, "{path}: {own:?}");
        assert!(!own.body.contains("blue"), "{path}: {own:?}");
        assert!(get(&blue, path).await.body.contains("blue"), "{path}");
    }
    assert!(get(&red, "/v1/rows").await.body.contains("minion/alpha/m0"));
    assert_eq!(get(&red, "/v1/effective/red").await.status, 200);
    for hidden in ["blue", "top", "nobody"] {
        assert_eq!(get(&red, &format!("/v1/effective/{hidden}")).await.status, 403, "{hidden}");
    }

    let denied = [
        ("group/blue", json!({ "parent": "top", "settings": { "queue": 1 } })),
        ("group/red", json!({ "parent": "top", "settings": { "weight": 9 } })),
        ("group/red", json!({})),
        ("group/red-2", json!({ "parent": "red" })),
        ("service/beta", json!({ "group": "red", "pool": "main" })),
        ("route/red-beta", json!({ "path": "/red/beta", "group": "red", "service": "beta" })),
        ("route/blue-alpha", Value::Null),
        ("minion/beta/m0", Value::Null),
        ("operator/o-blue", Value::Null),
        ("operator/o-new", json!({ "group": "blue", "salt": "s", "hash": "h" })),
        ("operator/o-new", json!({ "salt": "s", "hash": "h" })),
    ];
    for (key, value) in denied {
        let reply =
            call_as(cluster.admin, &red, change_request(&random_id(), key, &value, None)).await;
        assert_eq!(reply.status, 403, "{key} {value}: {reply:?}");
    }
    let undo = json!({ "id": random_id(), "version": version }).to_string();
    assert_eq!(call_as(cluster.admin, &red, Call::post("/v1/undo", &undo)).await.status, 403);

    let own = json!({ "parent": "top", "settings": { "queue": 9 } });
    let reply =
        call_as(cluster.admin, &red, change_request(&random_id(), "group/red", &own, None)).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(run_cli(&cluster, TOKEN, &["operator", "remove", "o-red"]).status.success());
    assert_eq!(get(&red, "/v1/rows").await.status, 401);
    assert_eq!(get(&blue, "/v1/rows").await.status, 200);
}

/// Makes `count` changes that each add one to a row, rereading it after each conflict; returns
/// their ids.
async fn increment_row(admin: SocketAddr, row: &str, count: u64) -> Vec<String> {
    let mut accepted = Vec::new();
    while accepted.len() < count as usize {
        let id = random_id();
        let rows = call_as(admin, TOKEN, Call::get(&format!("/v1/rows?prefix=group/{row}"))).await;
        let Ok(rows) = serde_json::from_str::<Value>(&rows.body) else {
            continue;
        };
        let queue = rows[0]["value"]["settings"]["queue"].as_u64().unwrap_or_default();
        let expected = rows[0]["version"].as_u64().unwrap_or_default();
        let value = json!({ "settings": { "queue": queue + 1 } });
        let request = change_request(&id, &format!("group/{row}"), &value, Some(expected));
        loop {
            let reply = call_as(admin, TOKEN, request.clone()).await;
            match reply.status {
                200 => accepted.push(id),
                // The change was certainly not made: start over from the current row.
                409 => {}
                503 | 504 => {
                    time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
                _ => panic!("{reply:?}"),
            }
            break;
        }
    }
    accepted
}

#[tokio::test]
async fn concurrent_changes_with_lost_store_responses_are_applied_exactly_once() {
    let mut cluster = ClusterConfig::new(0, 0).start_bare().await;
    let other = cluster.add_admin().await;
    cluster.set_store_fault(json!({ "lose": 4, "lose_prefix": "config/" })).await;
    // Two writers share a row and two have a row of their own, through two admins.
    let counts = tokio::join!(
        increment_row(cluster.admin, "same", 8),
        increment_row(other, "same", 8),
        increment_row(cluster.admin, "one", 8),
        increment_row(other, "two", 8),
    );
    let accepted: Vec<String> = [counts.0, counts.1, counts.2, counts.3].concat();
    let log = cluster.admin_call(Call::get("/v1/log")).await;
    let log: Vec<Value> = serde_json::from_str(&log.body).unwrap();
    let mut logged: Vec<String> =
        log.iter().map(|row| row["id"].as_str().unwrap().to_owned()).collect();
    let mut expected = accepted.clone();
    logged.sort();
    expected.sort();
    assert_eq!(logged, expected, "the log must hold each accepted change once, and no other");
    let rows = cluster.admin_call(Call::get("/v1/rows")).await;
    let rows: Vec<Value> = serde_json::from_str(&rows.body).unwrap();
    let queues: BTreeMap<&str, u64> = rows
        .iter()
        .map(|row| {
            (row["key"].as_str().unwrap(), row["value"]["settings"]["queue"].as_u64().unwrap())
        })
        .collect();
    assert_eq!(queues, BTreeMap::from([("group/same", 16), ("group/one", 8), ("group/two", 8)]));
}

#[tokio::test]
async fn command_line_diffs_undoes_and_lists_changes() {
    let cluster = ClusterConfig::new(0, 0).start_bare().await;
    let row = |queue: u64| json!({ "settings": { "queue": queue } });
    for queue in [5, 6] {
        cluster.change(vec![("group/top".to_owned(), row(queue))]).await;
    }
    let run = |args: &[&str]| {
        let output = run_cli(&cluster, TOKEN, args);
        (output.status.success(), String::from_utf8(output.stdout).unwrap())
    };
    let (is_success, diff) = run(&["settings", "diff", "1", "2"]);
    assert!(is_success && diff.contains(r#"{"settings":{"queue":5}}"#), "{diff}");
    let (is_success, _) = run(&["settings", "undo", "2"]);
    assert!(is_success);
    assert_eq!(
        run(&["settings", "diff", "1"]).1.lines().count(),
        1,
        "expected only the header of the table"
    );
    let (is_success, _) = run(&["settings", "undo", "2"]);
    assert!(!is_success, "undone although the row was written since");
    let (_, history) = run(&["settings", "log", "--key", "group/top"]);
    assert_eq!(history.lines().count(), 4, "{history}");
}

#[tokio::test]
async fn new_host_gets_newest_configuration_from_peers_during_store_outage() {
    let mut cluster = ClusterConfig::new(2, 1).start().await;
    let row = json!({ "parent": "top", "settings": { "queue": 77 } });
    let version = cluster.change(vec![("group/red".to_owned(), row)]).await;
    cluster.wait_in_force(version).await;
    cluster.set_store_fault(json!({ "hang": true })).await;
    cluster.add_host();
    let ops = cluster.hosts[2].entry_ops;
    let mut last_version = 0;
    eventually("the new host has the newest version", async || {
        let now = fetch_state(ops).await["version"].as_u64().unwrap_or_default();
        assert!(now >= last_version, "the version went back from {last_version} to {now}");
        last_version = now;
        (now == version).then_some(())
    })
    .await;
}
