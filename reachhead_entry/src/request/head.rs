//! Header fields on their way: those of one connection stay behind.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};
use reachhead_types::{boot_instant::BootInstant, error::DEADLINE_HEADER};

/// Fields that belong to one connection, by HTTP's rules.
const CONNECTION_FIELDS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Takes off the fields that belong to the connection they came on.
pub fn strip(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in named_by_connection(headers) {
            headers.remove(name);
        }
    }
    for name in &CONNECTION_FIELDS {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Returns the fields of a request for a minion, with what is left of its time.
pub fn for_minion(headers: &HeaderMap, deadline: BootInstant) -> HeaderMap {
    let mut headers = headers.clone();
    strip(&mut headers);
    // The body is sent whole, so the library writes its length itself.
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let left = deadline.remaining();
    headers.insert(DEADLINE_HEADER, HeaderValue::from(millis(left)));
    headers
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
