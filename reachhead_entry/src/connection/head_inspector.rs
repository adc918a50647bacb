//! Watches the bytes of a caller's connection for what the HTTP library does not tell.
//!
//! A head with both a length and a transfer coding is ambiguous: a balancer in front may have read
//! it in the other way. The library drops one of the two silently, so the lines are looked at
//! here. Nothing is parsed twice: the watch only notes which of the two fields a head has, and how
//! many bytes followed it.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::connection::write_timeout::Stall;

/// Start of the field that gives a body's length.
const LENGTH: &[u8] = b"content-length:";

/// Start of the field that gives a body's coding.
const CODING: &[u8] = b"transfer-encoding:";

/// Bytes of a line that are looked at.
const LINE_START: usize = CODING.len();

/// What was seen of the request under way.
#[derive(Debug, Default)]
pub struct Watch {
    has_length: Cell<bool>,
    has_coding: Cell<bool>,
    is_head: Cell<bool>,
    /// Bytes since the end of the head.
    after_head: Cell<u64>,
    line: RefCell<Vec<u8>>,
    line_len: Cell<usize>,
    is_unread: Cell<bool>,
}

impl Watch {
    /// Returns the watch of a connection on which a head comes next.
    pub fn new() -> Rc<Self> {
        let watch = Self::default();
        watch.is_head.set(true);
        Rc::new(watch)
    }

    /// Tells whether the head has both a length and a transfer coding.
    pub fn is_ambiguous(&self) -> bool {
        self.has_length.get() && self.has_coding.get()
    }

    /// Notes that a request was answered before all of its body was read.
    pub fn note_unread(&self) {
        self.is_unread.set(true);
    }

    /// Tells whether a request was answered before all of its body was read, so that its caller may
    /// still be sending.
    pub fn is_unread(&self) -> bool {
        self.is_unread.get()
    }

    /// Starts on the next request and tells whether the watch can vouch for its head: it can't if
    /// bytes of it came along with the body, which has `length` bytes if that is known.
    pub fn next(&self, length: Option<u64>) -> bool {
        let is_clear = length.is_some_and(|length| self.after_head.get() <= length);
        self.has_length.set(false);
        self.has_coding.set(false);
        self.after_head.set(0);
        self.is_head.set(true);
        is_clear
    }

    fn feed(&self, bytes: &[u8]) {
        for (position, &byte) in bytes.iter().enumerate() {
            if !self.is_head.get() {
                let rest = bytes.len() - position;
                self.after_head.set(self.after_head.get() + rest as u64);
                return;
            }
            self.feed_head(byte);
        }
    }

    fn feed_head(&self, byte: u8) {
        let mut line = self.line.borrow_mut();
        if byte != b'\n' {
            self.line_len.set(self.line_len.get() + usize::from(byte != b'\r'));
            if line.len() < LINE_START {
                line.push(byte.to_ascii_lowercase());
            }
            return;
        }
        self.has_length.set(self.has_length.get() || line.starts_with(LENGTH));
        self.has_coding.set(self.has_coding.get() || line.starts_with(CODING));
        // Empty lines before a request line are allowed and belong to no head; ending the watch of
        // this head early there is harmless, since the request line is then counted as unvouched.
        self.is_head.set(self.line_len.get() > 0);
        self.line_len.set(0);
        line.clear();
    }
}

/// A caller's stream whose incoming bytes pass the watch and whose outgoing ones must get on.
pub struct WatchedStream {
    stream: TcpStream,
    watch: Rc<Watch>,
    stall: Stall,
}

impl WatchedStream {
    /// Returns `stream` under `watch`; its writes end with an error when they `stall`.
    pub fn new(stream: TcpStream, watch: Rc<Watch>, stall: Stall) -> Self {
        Self { stream, watch, stall }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = result {
            self.watch.feed(&buffer.filled()[before..]);
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.stall.check(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.stall.check(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
