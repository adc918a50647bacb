//! Quick answers show that the process's own link is not congested.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use http_body_util::Full;
use hyper::{Request, header};
use reachhead_ops::client::{CallError, HttpClient};

const DEADLINE: Duration = Duration::from_secs(2);

/// Answers one call after a delay.
fn serve(delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).unwrap();
        thread::sleep(delay);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    });
    address
}

async fn call(client: &HttpClient, address: SocketAddr) -> Result<(), CallError> {
    let request = Request::builder()
        .uri("/")
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .unwrap();
    client.call(address, request, DEADLINE).await.map(drop)
}

#[tokio::test]
async fn only_a_quick_answer_counts() {
    let client = HttpClient::new();
    call(&client, serve(Duration::from_millis(400))).await.unwrap();
    assert_eq!(client.quick_answer_age(), None);
    call(&client, serve(Duration::ZERO)).await.unwrap();
    assert!(client.quick_answer_age().is_some_and(|age| age < DEADLINE));
}

#[tokio::test]
async fn a_refused_connection_is_a_quick_answer() {
    let client = HttpClient::new();
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert!(matches!(call(&client, address).await, Err(CallError::PortClosed(_))));
    assert!(client.quick_answer_age().is_some());
}
