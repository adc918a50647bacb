//! Truthful answers: what a caller is told when the request or the minion is bad.

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

/// Sends raw bytes, piece by piece, and returns what comes back until the connection ends.
async fn raw(address: SocketAddr, pieces: &[&[u8]], pause: Duration) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    for piece in pieces {
        if stream.write_all(piece).await.is_err() {
            break;
        }
        time::sleep(pause).await;
    }
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let read = time::timeout(Duration::from_secs(20), stream.read(&mut buffer)).await;
        match read.expect("the connection ends") {
            Ok(0) | Err(_) => break,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

#[tokio::test]
async fn bad_framing_gets_a_clear_refusal_and_harms_nobody_else() {
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
        let answer = raw(address, &[bytes], Duration::ZERO).await;
        assert_eq!(status(&answer), *expected, "{name}: {answer:?}");
        assert_eq!(cluster.call(0, &Call::get("/red/alpha")).await.status, 200, "after {name}");
    }
    // Slow ones: a head that trickles, and a body that stops.
    let pause = Duration::from_millis(400);
    let head: [&[u8]; 4] = [b"GET /red/al", b"pha HTTP/1.1\r\n", b"Host:", b" a"];
    let answer = raw(address, &head, pause).await;
    assert_eq!(status(&answer), "408", "a slow head: {answer:?}");
    let body = format!("{post}Content-Length: 10\r\n\r\nab");
    let answer = raw(address, &[body.as_bytes()], Duration::ZERO).await;
    assert_eq!(status(&answer), "408", "a slow body: {answer:?}");
    assert!(answer.contains("reachhead-outcome: not-run"), "{answer:?}");
    let ran = cluster.minion_counts(0).await["ran"].as_u64().unwrap();
    assert_eq!(ran, cases.len() as u64, "only the good requests ran");
}

#[tokio::test]
async fn a_body_cut_at_any_offset_is_never_taken_for_whole() {
    let cluster = ClusterConfig::new(1, 1)
        .with_entry(json!({ "minions": { "whole": 64, "sends": 1 } }))
        .with_deadline(5000)
        .start()
        .await;
    // Up to 64 bytes are held until they are whole; longer bodies are on their way already.
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
                let is_length = !chunked && cut == size;
                assert!(
                    is_length || reply.status != 200 || !reply.is_complete,
                    "size {size}, chunked {chunked}, cut {cut}: {reply:?}"
                );
                if reply.status == 502 {
                    assert_eq!((reply.error(), reply.outcome()), ("minion-broke", "unknown"));
                }
            }
        }
    }
    let whole = Call::get("/red/alpha").with_header("standin-size", 200);
    let reply = cluster.call(0, &whole).await;
    assert_eq!((reply.status, reply.body.len(), reply.is_complete), (200, 200, true));
}

/// Starts a minion that answers every request with the same bytes and then closes, or not.
async fn scripted(ip: std::net::IpAddr, answer: &'static [u8], closes: bool) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                    let _ = count;
                    let _ = stream.write_all(answer).await;
                    if closes {
                        return;
                    }
                }
            });
        }
    });
    address
}

async fn with_scripted(answer: &'static [u8], closes: bool) -> Cluster {
    let cluster =
        ClusterConfig::new(1, 0).with_entry(json!({ "minions": { "sends": 1 } })).start().await;
    let address = scripted(cluster.hosts[0].callers.ip(), answer, closes).await;
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
async fn garbled_answers_and_answers_without_a_clear_end_are_unknown() {
    let cases: [(&str, &'static [u8]); 4] = [
        ("garbage", b"\x00\x01\x02garbage\r\n\r\n"),
        ("no end", b"HTTP/1.1 200 OK\r\n\r\nhalf an ans"),
        ("two lengths", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
        ("bad chunk", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
    ];
    for (name, answer) in cases {
        let cluster = with_scripted(answer, true).await;
        let reply = cluster.call(0, &Call::post("/red/alpha", "")).await;
        assert_eq!((reply.status, reply.outcome()), (502, "unknown"), "{name}: {reply:?}");
    }
}

#[tokio::test]
async fn a_second_answer_to_one_request_reaches_nobody() {
    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    let cluster = with_scripted(twice, false).await;
    for _ in 0..50 {
        let reply = cluster.call(0, &Call::get("/red/alpha")).await;
        assert!(reply.status != 200 || reply.body == "first", "{reply:?}");
    }
}

#[tokio::test]
async fn a_late_answer_reaches_nobody_and_the_wait_ends_at_the_deadline() {
    let cluster = ClusterConfig::new(1, 1).with_deadline(800).start().await;
    let late = Call::post("/red/alpha", "late").with_header("standin-work", 1200);
    let started = Instant::now();
    let reply = cluster.call(0, &late).await;
    assert_eq!((reply.status, reply.error(), reply.outcome()), (504, "minion-timeout", "unknown"));
    assert!(started.elapsed() < Duration::from_millis(1150), "the answer was held back");
    assert_eq!(reply.header("retry-after"), "1");
    for _ in 0..20 {
        let reply = cluster.call(0, &Call::post("/red/alpha", "mine")).await;
        assert!(reply.body.ends_with("mine"), "{reply:?}");
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let cluster = ClusterConfig::new(1, 1).start().await;
    let large = Call::post("/red/alpha", &"x".repeat(16 << 20));
    for round in 0..20 {
        let reply = cluster.call(0, &large).await;
        assert_eq!((reply.status, reply.error()), (413, "body-too-large"), "round {round}");
    }
}

#[tokio::test]
async fn a_caller_that_stops_reading_gives_its_slot_back() {
    // More than the buffers of all sockets on the way hold.
    let size = 50_000_000;
    let stalled = json!({ "callers": { "stall_time": 500 } });
    let cluster = ClusterConfig::new(1, 1).with_entry(stalled).with_deadline(5000).start().await;
    let mut stream = TcpStream::connect(cluster.hosts[0].callers).await.unwrap();
    let head = format!("GET /red/alpha HTTP/1.1\r\nHost: a\r\nstandin-size: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let running = async || {
        let state = fetch_state(cluster.hosts[0].entry_ops).await;
        state["services"][0]["minions"][0]["running"].as_u64().unwrap()
    };
    eventually("the answer is on its way", async || (running().await == 1).then_some(())).await;
    eventually("the slot is free", async || (running().await == 0).then_some(())).await;
    let mut got = Vec::new();
    let ended = stream.read_to_end(&mut got).await;
    assert!(ended.is_err() || got.len() < size, "a cut answer must not look whole");
}

#[tokio::test]
async fn frozen_and_killed_minions_are_left_alone_and_come_back() {
    let mut cluster = ClusterConfig::new(1, 3).with_deadline(1000).start().await;
    cluster.minions[0].process.signal(Signal::SIGSTOP);
    cluster.minions[1].process.kill();
    // Repeatable requests find the third minion; a few may run into the frozen one first.
    let mut good = 0;
    for _ in 0..60 {
        good += u32::from(cluster.call(0, &Call::get("/red/alpha")).await.status == 200);
    }
    assert!(good >= 50, "only {good} of 60 were served");
    cluster.minions[0].process.signal(Signal::SIGCONT);
    let before = cluster.minion_counts(0).await["ran"].as_u64().unwrap();
    eventually("the thawed minion serves again", async || {
        cluster.call(0, &Call::get("/red/alpha")).await;
        (cluster.minion_counts(0).await["ran"].as_u64().unwrap() > before).then_some(())
    })
    .await;
}
