//! Drops the rest of a refused request before its connection is closed.

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time,
};

use super::account::Account;

/// Most bytes that are read of a refused request.
const MAX_BYTES: usize = 4 << 20;

/// Size of the buffer into which they are read, in bytes.
const BUFFER_SIZE: usize = 8 << 10;

/// Reads and drops what the client still sends, within limits on time, bytes and connections.
///
/// Closing a connection with unread bytes resets it, and the client could lose the answer.
pub async fn drain(mut stream: impl AsyncRead + AsyncWrite + Unpin, account: &Account) {
    let Ok(_permit) = account.budget().lingering.try_acquire() else { return };
    account.begin_closing();
    let _ = stream.shutdown().await;
    tokio::select! {
        () = discard(&mut stream) => {}
        () = account.given_up() => {}
        () = time::sleep_until(account.next_check()) => {}
    }
}

async fn discard(stream: &mut (impl AsyncRead + Unpin)) {
    let mut buffer = vec![0; BUFFER_SIZE];
    let mut dropped = 0;
    while dropped < MAX_BYTES {
        match stream.read(&mut buffer).await {
            Ok(read @ 1..) => dropped += read,
            _ => return,
        }
    }
}
