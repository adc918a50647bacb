//! Calls that must not leave the process after a moment, on real sockets.

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

/// Accepts one connection, answers if it should, and tells what it read until the connection ended.
async fn server(answers: bool) -> (SocketAddr, oneshot::Receiver<(usize, bool)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (told, seen) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4096];
        let mut count = 0;
        let reset = loop {
            match stream.read(&mut buffer).await {
                Ok(0) => break false,
                Ok(read) => count += read,
                Err(_) => break true,
            }
            if answers {
                stream.write_all(ANSWER).await.unwrap();
            }
        };
        let _ = told.send((count, reset));
    });
    (address, seen)
}

/// Stands still for the whole process, as a frozen one does, once the call has begun.
async fn freeze(span: Duration) {
    tokio::task::yield_now().await;
    std::thread::sleep(span);
}

#[tokio::test]
async fn an_order_in_time_is_answered() {
    let (address, _seen) = server(true).await;
    let until = BootInstant::now() + Duration::from_secs(5);
    let answer = call_with_deadline(address, order(address), Deadline::new(until)).await.unwrap();
    assert_eq!((answer.status().as_u16(), answer.body().as_ref()), (200, b"ok".as_ref()));
}

#[tokio::test]
async fn a_process_that_is_frozen_between_the_check_and_the_send_sends_nothing() {
    let (address, seen) = server(true).await;
    let until = BootInstant::now() + Duration::from_millis(30);
    let call = call_with_deadline(address, order(address), Deadline::new(until));
    let (result, ()) = tokio::join!(call, freeze(Duration::from_millis(120)));
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    assert_eq!(time::timeout(Duration::from_secs(5), seen).await.unwrap().unwrap().0, 0);
}

/// What the clock of a host that was suspended for a while shows.
fn resumed() -> BootInstant {
    BootInstant::now() + Duration::from_secs(5)
}

/// Timers and the steady clock stood still for the five seconds in which the host was suspended; the lease on which the order was
/// to be given did not.
#[tokio::test]
async fn a_host_that_was_suspended_before_the_send_sends_nothing() {
    let (address, seen) = server(true).await;
    let deadline = Deadline::new(BootInstant::now() + Duration::from_secs(2)).with_clock(resumed);
    let result = call_with_deadline(address, order(address), deadline).await;
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    // Whether it connected before it looked at the clock is left open; not a byte may arrive.
    let bytes =
        time::timeout(Duration::from_millis(300), seen).await.map_or(0, |seen| seen.unwrap().0);
    assert_eq!(bytes, 0);
}

/// A call that is under way is reset soon after the host wakes up, and not once a timer has run out that stood still meanwhile.
#[tokio::test]
async fn a_host_that_is_suspended_during_a_call_resets_its_connection_when_it_wakes_up() {
    static SUSPENDED: AtomicBool = AtomicBool::new(false);
    fn clock() -> BootInstant {
        if SUSPENDED.load(Ordering::Relaxed) { resumed() } else { BootInstant::now() }
    }
    let (address, seen) = server(false).await;
    let deadline = Deadline::new(BootInstant::now() + Duration::from_secs(4)).with_clock(clock);
    let call = call_with_deadline(address, order(address), deadline);
    let sleep = async {
        time::sleep(Duration::from_millis(100)).await;
        SUSPENDED.store(true, Ordering::Relaxed);
    };
    let begun = time::Instant::now();
    let (result, ()) = tokio::join!(call, sleep);
    assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
    assert!(time::timeout(Duration::from_secs(5), seen).await.unwrap().unwrap().1, "a reset");
}

#[tokio::test]
async fn an_order_without_an_answer_is_lost_and_its_connection_reset() {
    let (address, seen) = server(false).await;
    let until = BootInstant::now() + Duration::from_millis(60);
    let result = call_with_deadline(address, order(address), Deadline::new(until)).await;
    assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
    let (count, reset) = time::timeout(Duration::from_secs(5), seen).await.unwrap().unwrap();
    assert!(count > 0 && reset, "what the network still holds is lost with a reset");
}

#[tokio::test]
async fn an_order_to_nobody_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let until = BootInstant::now() + Duration::from_secs(1);
    let result = call_with_deadline(address, order(address), Deadline::new(until)).await;
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
}
