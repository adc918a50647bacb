//! Removes hop-by-hop header fields and builds the header fields of requests to minions.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};
use reachhead_types::{boot_instant::BootInstant, error::DEADLINE_HEADER};

/// Header fields that HTTP defines as hop-by-hop.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the hop-by-hop fields, including those that the `connection` field lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in connection_options(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Returns the header fields of a request to a minion, with the time that remains until `deadline`.
pub fn for_minion(headers: &HeaderMap, deadline: BootInstant) -> HeaderMap {
    let mut headers = headers.clone();
    remove_hop_by_hop(&mut headers);
    // The body is sent from memory, so Hyper sets its length.
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let remaining = deadline.remaining();
    headers.insert(DEADLINE_HEADER, HeaderValue::from(whole_millis(remaining)));
    headers
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
