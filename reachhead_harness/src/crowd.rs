//! Clients that stay connected without completing what they send.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    sync::watch,
    task::JoinSet,
    time,
};

/// Time after which a client that can't send counts as stuck, since the process does not read on.
const STUCK_TIME: Duration = Duration::from_secs(4);

/// Pause of a client whose connection can't be opened or was closed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Chunk header of a chunk with one byte.
const ONE_BYTE_CHUNK: &[u8] = b"1\r\nx\r\n";

/// What a client sends, and in pieces of which size.
#[derive(Debug, Clone)]
pub struct Message {
    bytes: Arc<[u8]>,
    piece: usize,
}

impl Message {
    /// Returns a message that is sent at once.
    pub fn new(bytes: Vec<u8>) -> Self {
        let piece = bytes.len().max(1);
        Self { bytes: bytes.into(), piece }
    }

    /// Sends the message in pieces of this many bytes.
    #[must_use]
    pub fn with_pieces(self, piece: usize) -> Self {
        Self { piece, ..self }
    }

    /// Returns a submission whose body lacks the last of `len` bytes.
    pub fn incomplete_body(path: &str, len: usize) -> Self {
        let mut bytes = head(path, &format!("Content-Length: {len}"));
        bytes.resize(bytes.len() + len - 1, b' ');
        Self::new(bytes)
    }

    /// Returns a submission with one chunk of `len` bytes that lacks the last one.
    pub fn incomplete_chunk(path: &str, len: usize) -> Self {
        let mut bytes = head(path, "Transfer-Encoding: chunked");
        bytes.extend(format!("{len:x}\r\n").bytes());
        bytes.resize(bytes.len() + len - 1, b' ');
        Self::new(bytes)
    }

    /// Returns a submission with `count` chunks of one byte that lacks its end.
    pub fn small_chunks(path: &str, count: usize) -> Self {
        let mut bytes = head(path, "Transfer-Encoding: chunked");
        for _ in 0..count {
            bytes.extend(ONE_BYTE_CHUNK);
        }
        Self::new(bytes)
    }

    /// Returns a head of `len` bytes that does not end.
    pub fn endless_head(path: &str, len: usize) -> Self {
        let mut bytes =
            format!("GET {path} HTTP/1.1\r\nHost: site.example\r\nX-Long: ").into_bytes();
        bytes.resize(len, b'x');
        Self::new(bytes)
    }

    /// Returns `len` bytes of empty lines.
    pub fn empty_lines(len: usize) -> Self {
        Self::new(b"\r\n".repeat(len / 2))
    }

    /// Returns `count` requests for the same path, one after the other.
    pub fn pipelined(path: &str, count: usize) -> Self {
        Self::new(format!("GET {path} HTTP/1.1\r\nHost: site.example\r\n\r\n").repeat(count).into())
    }
}

fn head(path: &str, framing: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: site.example\r\n{framing}\r\n\r\n").into_bytes()
}

/// Clients that are connected until the crowd is dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: JoinSet<()>,
    /// Closed when all clients have sent their messages.
    sending: watch::Sender<()>,
}

impl Default for Crowd {
    fn default() -> Self {
        Self { clients: JoinSet::new(), sending: watch::channel(()).0 }
    }
}

impl Crowd {
    /// Opens `count` connections to `address`, each of which sends `message` and stays open.
    pub fn open(address: SocketAddr, count: usize, message: &Message) -> Self {
        let mut crowd = Self::new();
        crowd.add(address, count, message);
        crowd
    }

    /// Returns a crowd without clients.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds clients as [`Crowd::open`] does.
    pub fn add(&mut self, address: SocketAddr, count: usize, message: &Message) {
        for number in 0..count {
            let (message, sending) = (message.clone(), self.sending.subscribe());
            self.clients.spawn(async move {
                let stream = send(address, number, &message).await;
                drop(sending);
                let _open = stream;
                std::future::pending::<()>().await;
            });
        }
    }

    /// Adds clients that connect again and send the message again whenever their connections end.
    pub fn add_persistent(&mut self, address: SocketAddr, count: usize, message: &Message) {
        for number in 0..count {
            let message = message.clone();
            self.clients.spawn(async move {
                loop {
                    if let Some(stream) = send(address, number, &message).await {
                        wait_closed(&stream).await;
                    }
                    time::sleep(RECONNECT_PAUSE).await;
                }
            });
        }
    }

    /// Waits until each client has sent its message, or can't send on.
    pub async fn settle(&self) {
        let _ = time::timeout(STUCK_TIME, self.sending.closed()).await;
    }
}

/// Sends a message, and returns the connection even if it was closed meanwhile.
async fn send(address: SocketAddr, number: usize, message: &Message) -> Option<TcpStream> {
    let mut stream = connect(address, number).await?;
    for piece in message.bytes.chunks(message.piece) {
        if stream.write_all(piece).await.is_err() {
            break;
        }
        tokio::task::yield_now().await;
    }
    Some(stream)
}

/// Connects from an address of its own for every thousand clients, so that ports don't run out.
async fn connect(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    let source = IpAddr::from([127, 251, 1, 1 + (number / 1000) as u8]);
    socket.bind(SocketAddr::new(source, 0)).ok()?;
    let stream = socket.connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Reads until the process closes the connection.
async fn wait_closed(stream: &TcpStream) {
    let mut buffer = [0; 1024];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
