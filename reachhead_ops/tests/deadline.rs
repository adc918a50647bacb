//! Calls send nothing after their deadline and reset the connection, on real sockets.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reachhead_ops::{
    client::CallError,
    deadline::{Deadline, call_with_deadline},
};
use reachhead_types::boot_instant::BootInstant;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::oneshot,
    time,
};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn order(address: SocketAddr) -> Request<Full<Bytes>> {
    let request = Request::post("/order").header("host", address.to_string());
    request.body(Full::new(Bytes::from_static(b"{}"))).unwrap()
}

/// Accepts one connection, responds if `answers`, and reports the bytes read and whether the
/// connection was reset.
async fn server(answers: bool) -> (SocketAddr, oneshot::Receiver<(usize, bool)>) {
    server_with(answers, || ()).await
}

/// As [`server`], with a function that is called after each read of data.
async fn server_with(
    answers: bool,
    on_data: fn(),
) -> (SocketAddr, oneshot::Receiver<(usize, bool)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, report) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4096];
        let mut count = 0;
        let reset = loop {
            match stream.read(&mut buffer).await {
                Ok(0) => break false,
                Ok(read) => {
                    count += read;
                    on_data();
                }
                Err(_) => break true,
            }
            if answers {
                stream.write_all(ANSWER).await.unwrap();
            }
        };
        let _ = sender.send((count, reset));
    });
    (address, report)
}

/// Blocks the only thread for `span` once the call has started, like a paused process.
async fn block_thread(span: Duration) {
    tokio::task::yield_now().await;
    std::thread::sleep(span);
}

#[tokio::test]
async fn a_call_before_its_deadline_is_answered() {
    let (address, _report) = server(true).await;
    let until = BootInstant::now() + Duration::from_secs(5);
    let answer = call_with_deadline(address, order(address), Deadline::new(until)).await.unwrap();
    assert_eq!((answer.status().as_u16(), answer.body().as_ref()), (200, b"ok".as_ref()));
}

#[tokio::test]
async fn a_process_paused_past_the_deadline_sends_nothing() {
    let (address, report) = server(true).await;
    let until = BootInstant::now() + Duration::from_millis(30);
    let call = call_with_deadline(address, order(address), Deadline::new(until));
    let (result, ()) = tokio::join!(call, block_thread(Duration::from_millis(120)));
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    assert_eq!(time::timeout(Duration::from_secs(5), report).await.unwrap().unwrap().0, 0);
}

/// The boot-time clock of a host that was suspended for five seconds.
fn clock_after_suspend() -> BootInstant {
    BootInstant::now() + Duration::from_secs(5)
}

/// Timers and the monotonic clock did not advance while the host was suspended for five seconds,
/// but the lease under which the order was to be sent expired.
#[tokio::test]
async fn a_host_suspended_past_the_deadline_sends_nothing() {
    let (address, report) = server(true).await;
    let deadline =
        Deadline::new(BootInstant::now() + Duration::from_secs(2)).with_clock(clock_after_suspend);
    let result = call_with_deadline(address, order(address), deadline).await;
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    // It may have connected before it checked the clock, but no byte may arrive.
    let bytes = time::timeout(Duration::from_millis(300), report)
        .await
        .map_or(0, |report| report.unwrap().0);
    assert_eq!(bytes, 0);
}

/// A call in flight is reset soon after the host resumes, not when a timer expires that did not
/// advance during the suspension.
#[tokio::test]
async fn a_host_suspended_during_a_call_resets_the_connection_on_resume() {
    static SUSPENDED: AtomicBool = AtomicBool::new(false);
    fn clock() -> BootInstant {
        if SUSPENDED.load(Ordering::Relaxed) { clock_after_suspend() } else { BootInstant::now() }
    }
    let (address, report) = server(false).await;
    let deadline = Deadline::new(BootInstant::now() + Duration::from_secs(4)).with_clock(clock);
    let call = call_with_deadline(address, order(address), deadline);
    let sleep = async {
        time::sleep(Duration::from_millis(100)).await;
        SUSPENDED.store(true, Ordering::Relaxed);
    };
    let started_at = time::Instant::now();
    let (result, ()) = tokio::join!(call, sleep);
    assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
    assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
    assert!(time::timeout(Duration::from_secs(5), report).await.unwrap().unwrap().1, "a reset");
}

#[tokio::test]
async fn an_unanswered_call_is_lost_and_its_connection_is_reset() {
    static RECEIVED: AtomicBool = AtomicBool::new(false);
    const LIMIT: Duration = Duration::from_millis(60);
    /// A clock that reaches the deadline once the server has got the call, however late that is.
    fn clock() -> BootInstant {
        let passed = if RECEIVED.load(Ordering::Relaxed) { LIMIT } else { Duration::ZERO };
        BootInstant::default() + passed
    }
    let (address, report) = server_with(false, || RECEIVED.store(true, Ordering::Relaxed)).await;
    let deadline = Deadline::new(BootInstant::default() + LIMIT).with_clock(clock);
    let result = call_with_deadline(address, order(address), deadline).await;
    assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
    let (count, reset) = time::timeout(Duration::from_secs(5), report).await.unwrap().unwrap();
    assert!(count > 0 && reset, "expected data and a reset: got {count} bytes, reset {reset}");
}

#[tokio::test]
async fn a_call_to_a_closed_port_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let until = BootInstant::now() + Duration::from_secs(1);
    let result = call_with_deadline(address, order(address), Deadline::new(until)).await;
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
}
