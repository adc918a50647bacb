//! Traffic of a client, by the kind of call.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header};
use reachhead_ops::{client::HttpClient, traffic::CallTraffic};

/// Answers calls on one connection.
fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        while stream.read(&mut request).is_ok_and(|read| read > 0) {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
        }
    });
    address
}

#[tokio::test]
async fn bytes_are_counted_by_the_first_segment_of_the_path() {
    let (client, address) = (HttpClient::new(), serve());
    let call = async |path: &str, body: &'static str| {
        let request = Request::builder().uri(path).header(header::HOST, address.to_string());
        let request = request.body(Full::new(Bytes::from_static(body.as_bytes()))).unwrap();
        client.call(address, request, Duration::from_secs(2)).await.unwrap();
    };
    call("/start", "12345").await;
    let before = client.traffic().totals();
    call("/start", "123").await;
    call("/rows/7?after=1", "").await;
    let totals = client.traffic().totals();
    assert_eq!(totals.connections, 1);
    assert_eq!(totals.kinds["start"], CallTraffic { calls: 2, sent: 8, received: 4 });
    assert_eq!(totals.kinds["rows"], CallTraffic { calls: 1, sent: 0, received: 2 });
    assert_eq!(totals.since(&before).to_string(), "connections=0 rows=1/0/2 start=1/3/2");
}
