//! Responses to malformed requests and to failing minions: status, error kind and outcome.

use std::{net::SocketAddr, time::Duration};

use nix::sys::signal::Signal;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{self, Instant},
};

use reachhead_harness::{
    Call, Cluster,
    cluster::{ClusterConfig, fetch_state},
    eventually,
};

/// Sends raw bytes, with a pause after each piece, and returns what is received until the
/// connection ends.
async fn send_raw(address: SocketAddr, pieces: &[&[u8]], pause: Duration) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    for piece in pieces {
        if stream.write_all(piece).await.is_err() {
            break;
        }
        time::sleep(pause).await;
    }
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let read = time::timeout(Duration::from_secs(20), stream.read(&mut buffer)).await;
        match read.expect("the connection ends") {
            Ok(0) | Err(_) => break,
            Ok(count) => response.extend_from_slice(&buffer[..count]),
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

fn parse_status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

#[tokio::test]
async fn malformed_requests_are_rejected_and_others_still_served() {
    let cluster = ClusterConfig::new(1, 1)
        .with_entry(json!({ "callers": { "head_time": 700, "body_time": 700, "head": 8192 } }))
        .start()
        .await;
    let address = cluster.hosts[0].callers;
    let long = format!("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", "x".repeat(20_000));
    let many = format!("GET /red/alpha HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));
    let post = "POST /red/alpha HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
    let cases: Vec<(&str, Vec<u8>, &str)> = vec![
        ("garbage", b"\x00\x01\x02 nonsense\r\n\r\n".to_vec(), "400"),
        ("long head", long.into_bytes(), "431"),
        ("many fields", many.into_bytes(), "431"),
        (
            "length, then chunks",
            format!("{post}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                .into(),
            "400",
        ),
        (
            "chunks, then length",
            format!("{post}Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n")
                .into(),
            "400",
        ),
        (
            "two lengths",
            format!("{post}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd").into(),
            "400",
        ),
        ("bad chunk", format!("{post}Transfer-Encoding: chunked\r\n\r\nzz\r\n").into(), "400"),
        (
            "chunks not last",
            format!("{post}Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n").into(),
            "400",
        ),
    ];
    for (name, bytes, expected) in &cases {
        let response = send_raw(address, &[bytes], Duration::ZERO).await;
        assert_eq!(parse_status(&response), *expected, "{name}: {response:?}");
        assert_eq!(cluster.call(0, &Call::get("/red/alpha")).await.status, 200, "after {name}");
    }
    // Slow requests: a head that arrives in pieces, and a body that stops.
    let pause = Duration::from_millis(400);
    let head: [&[u8]; 4] = [b"GET /red/al", b"pha HTTP/1.1\r\n", b"Host:", b" a"];
    let response = send_raw(address, &head, pause).await;
    assert_eq!(parse_status(&response), "408", "a slow head: {response:?}");
    let body = format!("{post}Content-Length: 10\r\n\r\nab");
    let response = send_raw(address, &[body.as_bytes()], Duration::ZERO).await;
    assert_eq!(parse_status(&response), "408", "a slow body: {response:?}");
    assert!(response.contains("reachhead-outcome: not-run"), "{response:?}");
    let ran = cluster.minion_counts(0).await["ran"].as_u64().unwrap();
    assert_eq!(ran, cases.len() as u64, "only the well-formed requests must run");
}

#[tokio::test]
async fn body_truncated_at_any_offset_is_never_reported_complete() {
    let cluster = ClusterConfig::new(1, 1)
        .with_entry(json!({ "minions": { "whole": 64, "sends": 1 } }))
        .with_deadline(5000)
        .start()
        .await;
    // Bodies of up to 64 bytes are buffered until they are complete; longer ones are streamed.
    for size in [40_u64, 200] {
        for chunked in [false, true] {
            for cut in 0..=size {
                let mut request = Call::post("/red/alpha", "")
                    .with_header("standin-size", size)
                    .with_header("standin-cut", cut);
                if chunked {
                    request = request.with_header("standin-chunked", 1);
                }
                let reply = cluster.call(0, &request).await;
                let is_full_length = !chunked && cut == size;
                assert!(
                    is_full_length || reply.status != 200 || !reply.is_complete,
                    "size {size}, chunked {chunked}, cut {cut}: {reply:?}"
                );
                if reply.status == 502 {
                    assert_eq!((reply.error(), reply.outcome()), ("minion-broke", "unknown"));
                }
            }
        }
    }
    let complete = Call::get("/red/alpha").with_header("standin-size", 200);
    let reply = cluster.call(0, &complete).await;
    assert_eq!((reply.status, reply.body.len(), reply.is_complete), (200, 200, true));
}

/// Starts a minion that answers every request with the same bytes, then closes the connection if
/// `closes`.
async fn start_scripted_minion(
    ip: std::net::IpAddr,
    response: &'static [u8],
    closes: bool,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                    let _ = count;
                    let _ = stream.write_all(response).await;
                    if closes {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a cluster of one host whose only minion is scripted.
async fn start_with_scripted_minion(response: &'static [u8], closes: bool) -> Cluster {
    let cluster =
        ClusterConfig::new(1, 0).with_entry(json!({ "minions": { "sends": 1 } })).start().await;
    let address = start_scripted_minion(cluster.hosts[0].callers.ip(), response, closes).await;
    let row = json!({ "address": address, "zone": "z1" });
    let version = cluster.change(vec![("minion/alpha/m0".to_owned(), row)]).await;
    cluster.wait_in_force(version).await;
    eventually("the host has its share", async || {
        let state = fetch_state(cluster.hosts[0].entry_ops).await;
        (state["services"][0]["minions"][0]["limit"] == 8).then_some(())
    })
    .await;
    cluster
}

#[tokio::test]
async fn malformed_or_unterminated_minion_responses_have_unknown_outcome() {
    let cases: [(&str, &'static [u8]); 4] = [
        ("garbage", b"\x00\x01\x02garbage\r\n\r\n"),
        ("no end", b"HTTP/1.1 200 OK\r\n\r\nhalf an ans"),
        ("two lengths", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
        ("bad chunk", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
    ];
    for (name, response) in cases {
        let cluster = start_with_scripted_minion(response, true).await;
        let reply = cluster.call(0, &Call::post("/red/alpha", "")).await;
        assert_eq!((reply.status, reply.outcome()), (502, "unknown"), "{name}: {reply:?}");
    }
}

#[tokio::test]
async fn second_response_to_one_request_is_discarded() {
    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    let cluster = start_with_scripted_minion(twice, false).await;
    for _ in 0..50 {
        let reply = cluster.call(0, &Call::get("/red/alpha")).await;
        assert!(reply.status != 200 || reply.body == "first", "{reply:?}");
    }
}

#[tokio::test]
async fn request_times_out_at_deadline_and_late_response_is_discarded() {
    let cluster = ClusterConfig::new(1, 1).with_deadline(800).start().await;
    let late = Call::post("/red/alpha", "late").with_header("standin-work", 1200);
    let started = Instant::now();
    let reply = cluster.call(0, &late).await;
    assert_eq!((reply.status, reply.error(), reply.outcome()), (504, "minion-timeout", "unknown"));
    assert!(
        started.elapsed() < Duration::from_millis(1150),
        "the response came long after the deadline"
    );
    assert_eq!(reply.header("retry-after"), "1");
    for _ in 0..20 {
        let reply = cluster.call(0, &Call::post("/red/alpha", "mine")).await;
        assert!(reply.body.ends_with("mine"), "{reply:?}");
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn rejection_reaches_a_caller_that_is_still_sending() {
    let cluster = ClusterConfig::new(1, 1).start().await;
    let large = Call::post("/red/alpha", &"x".repeat(16 << 20));
    for round in 0..20 {
        let reply = cluster.call(0, &large).await;
        assert_eq!((reply.status, reply.error()), (413, "body-too-large"), "round {round}");
    }
}

#[tokio::test]
async fn slot_is_released_when_caller_stops_reading() {
    // Larger than all socket buffers on the way together.
    let size = 50_000_000;
    let stall_timeout = json!({ "callers": { "stall_time": 500 } });
    let cluster =
        ClusterConfig::new(1, 1).with_entry(stall_timeout).with_deadline(5000).start().await;
    let mut stream = TcpStream::connect(cluster.hosts[0].callers).await.unwrap();
    let head = format!("GET /red/alpha HTTP/1.1\r\nHost: a\r\nstandin-size: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let running = async || {
        let state = fetch_state(cluster.hosts[0].entry_ops).await;
        state["services"][0]["minions"][0]["running"].as_u64().unwrap()
    };
    eventually("the response is being sent", async || (running().await == 1).then_some(())).await;
    eventually("the slot is free", async || (running().await == 0).then_some(())).await;
    let mut received = Vec::new();
    let ended = stream.read_to_end(&mut received).await;
    assert!(ended.is_err() || received.len() < size, "a truncated response must not look complete");
}

#[tokio::test]
async fn frozen_and_killed_minions_are_avoided_until_they_recover() {
    let mut cluster = ClusterConfig::new(1, 3).with_deadline(1000).start().await;
    cluster.minions[0].process.signal(Signal::SIGSTOP);
    cluster.minions[1].process.kill();
    // Requests that may be repeated are retried on the third minion; a few may time out on the
    // frozen one.
    let mut served = 0;
    for _ in 0..60 {
        served += u32::from(cluster.call(0, &Call::get("/red/alpha")).await.status == 200);
    }
    assert!(served >= 50, "only {served} of 60 were served");
    cluster.minions[0].process.signal(Signal::SIGCONT);
    let before = cluster.minion_counts(0).await["ran"].as_u64().unwrap();
    eventually("the thawed minion serves again", async || {
        cluster.call(0, &Call::get("/red/alpha")).await;
        (cluster.minion_counts(0).await["ran"].as_u64().unwrap() > before).then_some(())
    })
    .await;
}
