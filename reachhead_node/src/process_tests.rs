//! Calls of the services with the timeouts that the process sets.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use reachhead_jobs::{
    clock::WorkerTime,
    ports::{StartOrder, WorkerError, WorkerTarget},
    task::StepId,
};
use reachhead_types::{
    id::JobId,
    size::{FencingToken, RunNumber},
};

use crate::{
    node::Node,
    tests::idle_node::{self, serve},
};

/// Delays of answers on a link that fills, in milliseconds. The last one is beyond the timeout of an
/// order to a worker that does not answer.
const FILLING: [u64; 9] = [60, 100, 140, 140, 140, 140, 140, 140, 350];

/// Answers orders on one connection with these delays in milliseconds.
fn serve_delayed(delays: &'static [u64]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        for delay in delays {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).unwrap();
            thread::sleep(Duration::from_millis(*delay));
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n{\"clockMs\":4000}";
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

async fn send_order(node: &Node, worker: SocketAddr) -> Result<WorkerTime, WorkerError> {
    let target = WorkerTarget { id: "w".parse().unwrap(), address: worker, token: FencingToken(7) };
    let order = StartOrder {
        task: StepId { job: JobId(1), occurrence: 0, step: 0 }.task(0),
        run: RunNumber(1),
        payload: "x".into(),
        deadline: WorkerTime(9000),
        checkpoint: None,
        ticket: None,
    };
    node.services.workers.start(target, order).await
}

/// Guards against orders that time out in the queue on their own link: each was a lost run, and its
/// task took as much of the link again.
#[tokio::test]
async fn orders_on_a_narrow_link_outlast_the_queue_before_them() {
    let node = idle_node::on_link("127.0.0.1:1", 2.0);
    let worker = serve_delayed(&FILLING);
    for delay in FILLING {
        let result = send_order(&node, worker).await;
        assert_eq!(result, Ok(WorkerTime(4000)), "answered after {delay} ms");
    }
}

#[tokio::test]
async fn order_on_a_wide_link_soon_finds_that_its_worker_is_silent() {
    let node = idle_node::on_link("127.0.0.1:1", 200.0);
    let begun = Instant::now();
    let lost = send_order(&node, serve(None)).await;
    assert!(matches!(lost, Err(WorkerError::Lost(_))), "{lost:?}");
    assert!(begun.elapsed() < Duration::from_millis(300), "{:?}", begun.elapsed());
}
