//! Guards against a bound that delays takeovers on wide links, or that lets a narrow link carry more than
//! arrives before workers' leases end.

use reachhead_jobs::retake::limit;
use reachhead_types::size::{ByteRate, Millis};

#[test]
fn the_bound_follows_the_link() {
    let of_mbps = |mbps: u64| limit(ByteRate(mbps * 125_000), Millis(4500));
    assert_eq!([1, 2, 20, 1000].map(of_mbps), [1, 2, 22, 1116]);
}
