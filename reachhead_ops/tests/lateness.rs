//! A process that is late itself does not take its peers for silent.

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

/// How long a caller of the test waits, and how much longer its process is busy.
const DEADLINE: Duration = Duration::from_millis(150);
const BUSY: Duration = Duration::from_millis(600);

/// Answers one call after a moment, in a thread that nothing here holds up.
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
async fn an_answer_that_came_in_time_counts_though_the_process_was_too_busy_to_read_it() {
    let address = serve();
    let client = HttpClient::new();
    let request = Request::builder()
        .uri("/")
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .unwrap();
    // Something else takes the only thread once the call is under way.
    tokio::spawn(async {
        tokio::time::sleep(DEADLINE / 6).await;
        thread::sleep(BUSY);
    });
    let answer = client.call(address, request, DEADLINE).await;
    assert_eq!(answer.unwrap().body().as_ref(), b"ok");
}
