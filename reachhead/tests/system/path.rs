//! Requests end to end, and error responses of the request path.

use serde_json::json;

use reachhead_harness::{
    Call,
    cluster::{ClusterConfig, fetch_state},
};

#[tokio::test]
async fn every_host_serves_requests_of_both_services() {
    let cluster = ClusterConfig::new(3, 3).start().await;
    for host in 0..3 {
        for (path, key) in [("/red/alpha/x?y=1", ""), ("/blue/beta", "k"), ("/red/pay/7", "p")] {
            let request = Call::post(path, "hello").with_key(&format!("{key}{host}"));
            let reply = cluster.call(host, &request).await;
            assert_eq!(reply.status, 200, "{reply:?}");
            assert_eq!(reply.outcome(), "ran");
            let path = path.split('?').next().unwrap();
            assert!(reply.body.ends_with(&format!("{path} hello")), "{reply:?}");
        }
    }
    let state = fetch_state(cluster.hosts[0].entry_ops).await;
    assert_eq!(state["services"].as_array().unwrap().len(), 2);
}

#[tokio::test]
async fn valid_change_reaches_every_host_and_invalid_change_is_rejected() {
    let cluster = ClusterConfig::new(3, 2).start().await;
    let row = json!({ "path": "/new", "group": "red", "service": "beta" });
    let version = cluster.change(vec![("route/new".to_owned(), row)]).await;
    cluster.wait_in_force(version).await;
    for host in 0..3 {
        assert_eq!(cluster.call(host, &Call::get("/new/path")).await.status, 200);
    }
    let invalid_rows = vec![
        ("route/bad".to_owned(), json!({ "path": "x", "group": "none", "service": "gone" })),
        ("group/bad".to_owned(), json!({ "parent": "bad" })),
    ];
    let reply = cluster.try_change(&"0".repeat(32), invalid_rows).await;
    assert_eq!(reply.status, 422, "{reply:?}");
    for error in ["no service gone", "must start with '/'", "its own ancestor"] {
        assert!(reply.body.contains(error), "{reply:?}");
    }
}

#[tokio::test]
async fn error_responses_carry_error_kind_and_outcome() {
    let cluster = ClusterConfig::new(1, 1).start().await;
    let cases = [
        (Call::get("/nowhere"), 404, "no-route"),
        (Call::post("/red/pay", "x"), 400, "key-missing"),
        (Call::post("/red/pay", "x").with_key(&"k".repeat(300)), 400, "malformed"),
        (Call::post("/red/pay", "x").with_key("a").with_key("b"), 400, "malformed"),
        (Call::get("/red/alpha").with_header("reachhead-deadline-ms", "soon"), 400, "malformed"),
        (Call::post("/red/alpha", &"x".repeat(2 << 20)), 413, "body-too-large"),
    ];
    for (request, status, kind) in cases {
        let reply = cluster.call(0, &request).await;
        assert_eq!((reply.status, reply.error()), (status, kind));
        assert_eq!(reply.outcome(), "not-run");
    }
    assert_eq!(cluster.minion_counts(0).await["ran"], 0);
}

#[tokio::test]
async fn admin_rejects_requests_without_a_valid_token() {
    let cluster = ClusterConfig::new(0, 0).start().await;
    for request in [
        Call::get("/v1/rows"),
        Call::get("/v1/rows").with_header("authorization", "Bearer wrong"),
        Call::post("/v1/changes", "{}"),
    ] {
        let reply = reachhead_harness::call(cluster.admin, &request).await;
        assert_eq!(reply.status, 401, "{reply:?}");
    }
    assert_eq!(cluster.admin_call(Call::get("/v1/rows")).await.status, 200);
}
