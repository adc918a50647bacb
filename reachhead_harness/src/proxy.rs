//! TCP proxy that simulates a network partition between a process and an address.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};

use crate::POLL_PERIOD;

/// TCP proxy that silently drops all data while partitioned: as in a real network, no side gets an
/// error.
pub struct Proxy {
    /// Address to connect to in place of the target.
    pub address: SocketAddr,
    is_partitioned: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port of `ip`, without a partition.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub async fn new(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let is_partitioned = Arc::new(AtomicBool::new(false));
        let partitioned = Arc::clone(&is_partitioned);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if let Ok(target_stream) = TcpStream::connect(target).await {
                    let (from, to) = (stream.into_split(), target_stream.into_split());
                    tokio::spawn(forward(from.0, to.1, Arc::clone(&partitioned)));
                    tokio::spawn(forward(to.0, from.1, Arc::clone(&partitioned)));
                }
            }
        });
        Self { address, is_partitioned }
    }

    /// Starts or ends the partition; a connection that lost data is closed on its next data.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.store(is_partitioned, Ordering::Relaxed);
    }
}

/// Forwards one direction of a connection until it closes; a close during a partition is delayed to
/// its end.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_partitioned: Arc<AtomicBool>) {
    let mut buffer = vec![0; 16 << 10];
    let mut has_lost_data = false;
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if is_partitioned.load(Ordering::Relaxed) {
            has_lost_data = true;
            continue;
        }
        // Data was dropped, so the rest of the stream would be corrupt.
        if has_lost_data || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    while is_partitioned.load(Ordering::Relaxed) {
        time::sleep(POLL_PERIOD).await;
    }
}
