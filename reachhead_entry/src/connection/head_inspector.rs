//! Detects request heads with ambiguous framing, a defence against request smuggling.
//!
//! A head with both `content-length` and `transfer-encoding` is ambiguous: a load balancer in front
//! may have interpreted it differently. Hyper silently ignores one of the two, so the inspector
//! reads the raw bytes. It does not parse the head; it only records which of the two fields are
//! present and how many bytes follow the head.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use reachhead_ops::connections::AccountedStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Start of the line with the length of the body, in lower case.
const CONTENT_LENGTH: &[u8] = b"content-length:";

/// Start of the line with the transfer coding of the body, in lower case.
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding:";

/// Number of bytes that are compared at the start of a line.
const LINE_START_SIZE: usize = TRANSFER_ENCODING.len();

/// Records the framing fields of the current request on one connection.
#[derive(Debug, Default)]
pub struct HeadInspector {
    has_content_length: Cell<bool>,
    has_transfer_encoding: Cell<bool>,
    in_head: Cell<bool>,
    /// Bytes received since the end of the head.
    bytes_after_head: Cell<u64>,
    line_start: RefCell<Vec<u8>>,
    line_len: Cell<usize>,
    is_body_unread: Cell<bool>,
}

impl HeadInspector {
    /// Returns the inspector of a new connection, which expects a request head.
    pub fn new() -> Rc<Self> {
        let inspector = Self::default();
        inspector.in_head.set(true);
        Rc::new(inspector)
    }

    /// Returns whether the head has both `content-length` and `transfer-encoding`.
    pub fn is_ambiguous(&self) -> bool {
        self.has_content_length.get() && self.has_transfer_encoding.get()
    }

    /// Records that a request was answered before its body was read completely.
    pub fn mark_body_unread(&self) {
        self.is_body_unread.set(true);
    }

    /// Returns whether a request was answered before its body was read completely, so that the
    /// caller may still be sending it.
    pub fn has_unread_body(&self) -> bool {
        self.is_body_unread.get()
    }

    /// Resets the inspector for the next request and returns whether it will see all of its head.
    ///
    /// `length` is the length of the current body in bytes, `None` if it is chunked. The inspector
    /// does not see bytes of the next head that were received together with the body.
    pub fn next(&self, length: Option<u64>) -> bool {
        let is_head_inspected = length.is_some_and(|length| self.bytes_after_head.get() <= length);
        self.has_content_length.set(false);
        self.has_transfer_encoding.set(false);
        self.bytes_after_head.set(0);
        self.in_head.set(true);
        is_head_inspected
    }

    fn inspect(&self, bytes: &[u8]) {
        for (position, &byte) in bytes.iter().enumerate() {
            if !self.in_head.get() {
                let remaining = bytes.len() - position;
                self.bytes_after_head.set(self.bytes_after_head.get() + remaining as u64);
                return;
            }
            self.inspect_head_byte(byte);
        }
    }

    fn inspect_head_byte(&self, byte: u8) {
        let mut line_start = self.line_start.borrow_mut();
        if byte != b'\n' {
            self.line_len.set(self.line_len.get() + usize::from(byte != b'\r'));
            if line_start.len() < LINE_START_SIZE {
                line_start.push(byte.to_ascii_lowercase());
            }
            return;
        }
        self.has_content_length
            .set(self.has_content_length.get() || line_start.starts_with(CONTENT_LENGTH));
        self.has_transfer_encoding
            .set(self.has_transfer_encoding.get() || line_start.starts_with(TRANSFER_ENCODING));
        // HTTP allows empty lines before a request line. Taking one for the end of the head is
        // safe: the bytes of the real head then count as following it, so `next` returns false and
        // the connection is closed after the response.
        self.in_head.set(self.line_len.get() > 0);
        self.line_len.set(0);
        line_start.clear();
    }
}

/// A caller's stream that inspects the bytes read.
pub struct CallerStream {
    stream: AccountedStream,
    inspector: Rc<HeadInspector>,
}

impl CallerStream {
    /// Returns `stream` with `inspector` on its reads.
    pub fn new(stream: AccountedStream, inspector: Rc<HeadInspector>) -> Self {
        Self { stream, inspector }
    }

    /// Returns the stream without its inspector.
    pub fn into_inner(self) -> AccountedStream {
        self.stream
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = result {
            self.inspector.inspect(&buffer.filled()[filled_before..]);
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
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
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
