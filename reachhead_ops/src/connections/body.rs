//! Receives a request body into memory that its connection holds.

use bytes::Bytes as BodyBytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use reachhead_types::{error::ErrorKind, size::Bytes};

use super::account::Account;

/// Initial size of the buffer of a body that does not arrive at once, in bytes.
const MIN_BUFFER: usize = 8 << 10;

/// Receives a body of at most `limit`.
///
/// It is copied into one buffer, since a frame is a view of the buffer that it was read into and keeps
/// all of it.
///
/// # Errors
///
/// Why the request is refused.
pub async fn read_body(
    account: &Account,
    mut body: Incoming,
    limit: Bytes,
) -> Result<BodyBytes, ErrorKind> {
    let limit = usize::try_from(limit.0).unwrap_or(usize::MAX);
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(ErrorKind::BodyTooLarge);
    }
    let mut buffer = Vec::new();
    while !body.is_end_stream() {
        let Some(frame) = account.unless_refused(body.frame()).await? else { break };
        let frame = frame.map_err(|_| ErrorKind::Malformed)?;
        let Ok(data) = frame.into_data() else { continue };
        let len = buffer.len() + data.len();
        if len > limit {
            return Err(ErrorKind::BodyTooLarge);
        }
        if len > buffer.capacity() {
            let grown = len.max(2 * buffer.capacity()).max(MIN_BUFFER.min(announced));
            let capacity = grown.min(limit);
            // The allocator keeps the pages of the smaller buffer for a while.
            account.hold((capacity + buffer.capacity()) as u64).await?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    Ok(BodyBytes::from(buffer))
}
