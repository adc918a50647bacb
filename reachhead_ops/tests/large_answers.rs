//! Calls whose answers take longer than the deadline of a call.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header};
use reachhead_ops::client::{CallError, HttpClient, MAX_PART_PAUSE};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{self, Instant},
};

const DEADLINE: Duration = Duration::from_millis(300);

/// Number of parts of an answer, without its head.
const PARTS: u32 = 4;

/// Answers one call after `delay` with `sent` of the parts, each after `pause`.
async fn serve(delay: Duration, pause: Duration, sent: u32) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await.unwrap();
        time::sleep(delay).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 2 * PARTS);
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..sent {
            time::sleep(pause).await;
            stream.write_all(b"ab").await.unwrap();
        }
        time::sleep(Duration::from_secs(60)).await;
    });
    address
}

async fn call(address: SocketAddr, parts: &AtomicU32) -> Result<Response<Bytes>, CallError> {
    let host = address.to_string();
    let request = Request::get("/").header(header::HOST, host).body(Full::default()).unwrap();
    let count = || {
        parts.fetch_add(1, Ordering::Relaxed);
    };
    HttpClient::new().call_large(address, request, DEADLINE, &count).await
}

/// Guards against answers that are given up while they arrive, only because a link is slow.
#[tokio::test]
async fn answer_that_arrives_slowly_is_read_to_its_end() {
    let parts = AtomicU32::new(0);
    let address = serve(DEADLINE / 3, DEADLINE / 2, PARTS).await;
    assert_eq!(call(address, &parts).await.unwrap().into_body(), "abababab");
    assert_eq!(parts.into_inner(), 1 + PARTS);
}

/// Guards against a call that waits for ever for a peer that has gone silent, before its answer or in the middle of it.
#[tokio::test]
async fn answer_that_stops_arriving_is_given_up() {
    for (delay, sent, limit) in [(DEADLINE * 4, PARTS, DEADLINE), (DEADLINE / 3, 1, MAX_PART_PAUSE)]
    {
        let begun = Instant::now();
        let address = serve(delay, Duration::ZERO, sent).await;
        let result = call(address, &AtomicU32::new(0)).await;
        assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
        assert!(begun.elapsed() >= limit && begun.elapsed() < limit + DEADLINE * 2);
    }
}
