//! A wire between a process and an address that can be cut and mended.

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

/// A forwarder that swallows everything while it is cut, as a network does: nobody gets an error.
pub struct Proxy {
    /// Where to connect instead.
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    /// Returns a whole wire from a new address of `ip` to `target`.
    ///
    /// # Panics
    ///
    /// If there is no port left.
    pub async fn new(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if let Ok(out) = TcpStream::connect(target).await {
                    let (from, to) = (stream.into_split(), out.into_split());
                    tokio::spawn(copy(from.0, to.1, Arc::clone(&cut)));
                    tokio::spawn(copy(to.0, from.1, Arc::clone(&cut)));
                }
            }
        });
        Self { address, is_cut }
    }

    /// Cuts the wire, or mends it; what was swallowed stays lost with its connection.
    pub fn set_partitioned(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_cut: Arc<AtomicBool>) {
    let mut buffer = vec![0; 16 << 10];
    let mut was_cut = false;
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if is_cut.load(Ordering::Relaxed) {
            was_cut = true;
            continue;
        }
        // A stream with a hole in it is of no use to anyone.
        if was_cut || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    while is_cut.load(Ordering::Relaxed) {
        time::sleep(POLL_PERIOD).await;
    }
}
