//! A busy process does not time out on responses that arrived in time.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use http_body_util::Full;
use hyper::{Request, header};
use reachhead_ops::client::HttpClient;

/// Deadline of the call.
const DEADLINE: Duration = Duration::from_millis(150);

/// How long the client's thread is blocked during the call, well past the deadline.
const BUSY: Duration = Duration::from_millis(600);

/// Answers one call within its deadline, on a thread that the blocked client does not delay.
fn serve() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).unwrap();
        thread::sleep(DEADLINE / 3);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
        thread::sleep(BUSY * 2);
    });
    address
}

#[tokio::test]
async fn a_response_in_time_counts_even_if_the_process_reads_it_late() {
    let address = serve();
    let client = HttpClient::new();
    let request = Request::builder()
        .uri("/")
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .unwrap();
    // Blocks the client's only thread while the call is in flight.
    tokio::spawn(async {
        tokio::time::sleep(DEADLINE / 6).await;
        thread::sleep(BUSY);
    });
    let answer = client.call(address, request, DEADLINE).await;
    assert_eq!(answer.unwrap().body().as_ref(), b"ok");
}
