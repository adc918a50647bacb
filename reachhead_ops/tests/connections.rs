//! The number of idle connections that a client keeps open is bounded.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reachhead_ops::{client::HttpClient, link_delay::CallLimit};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};

/// Last octets of the peer addresses, from 1.
const PEERS: u8 = 250;

/// Third octets of the peer addresses; `PEERS * ROUNDS` exceeds the limit on idle peers.
const ROUNDS: u8 = 4;

const LIMIT: CallLimit = CallLimit::new(Duration::from_secs(5));

/// Answers every call and counts the open connections.
async fn serve(open: Arc<AtomicUsize>) -> u16 {
    let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            open.fetch_add(1, Ordering::Relaxed);
            let open = Arc::clone(&open);
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    if stream.write_all(answer).await.is_err() {
                        break;
                    }
                }
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    port
}

/// Guards against file descriptor exhaustion: without a limit, an owner of 1,451 workers kept up to
/// three idle connections to each after a burst, which took 3,786 of the 4,100 descriptors of its
/// host and most of its memory.
#[tokio::test]
async fn idle_connections_of_short_calls_are_bounded_across_peers() {
    let open = Arc::new(AtomicUsize::new(0));
    let port = serve(Arc::clone(&open)).await;
    let client = HttpClient::new();
    for round in 0..ROUNDS {
        for peer in 1..=PEERS {
            let address = SocketAddr::from((Ipv4Addr::new(127, 9, round, peer), port));
            let request = Request::post("/").header("host", "peer").body(Full::new(Bytes::new()));
            client.call_short(address, request.unwrap(), LIMIT).await.unwrap();
        }
    }
    time::sleep(Duration::from_millis(200)).await;
    let open = open.load(Ordering::Relaxed);
    assert!(open <= 600, "{open} of {} are open", u32::from(PEERS) * u32::from(ROUNDS));
    assert!(open >= 400, "only {open} are open; repeated calls would need new connections");
}
