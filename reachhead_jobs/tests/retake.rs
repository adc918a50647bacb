//! Guards against a bound that delays takeovers on wide links, or that lets a narrow link carry more than
//! arrives before workers' leases end.

use reachhead_jobs::retake::{pool_limit, roster_limit};
use reachhead_types::size::{ByteRate, Millis};

#[test]
fn the_bound_follows_the_link() {
    let limits = |mbps: u64| {
        let (bandwidth, lease) = (ByteRate(mbps * 125_000), Millis(4500));
        (pool_limit(bandwidth, lease), roster_limit(bandwidth, lease))
    };
    assert_eq!([1, 2, 20, 1000].map(limits), [(1, 1), (1, 2), (6, 22), (330, 1116)]);
}
