//! Guards against a bound that delays takeovers on wide links, or that lets a narrow link carry more than
//! arrives before workers' leases end.

use reachhead_jobs::retake::{Retake, Retakes, Takeovers, carried_bytes, roster_bytes};
use reachhead_types::size::{ByteRate, Millis, WorkerCount};

/// Returns how many pools of this size a process takes back at the same time, by the time for which
/// they have been vacant.
fn limit(mbps: u64, workers: Option<WorkerCount>, vacant_for: Millis) -> usize {
    let (carried, pool) =
        (carried_bytes(ByteRate(mbps * 125_000), Millis(4500)), roster_bytes(workers));
    let mut running = Takeovers::default();
    loop {
        let retakes = Retakes { carried, running, unread: running, free_peers: 0, released: 0 };
        if retakes.decide(pool, vacant_for) == Retake::Wait {
            return running.count;
        }
        running = running.with(pool);
    }
}

#[test]
fn the_bound_follows_the_link() {
    let limits = |mbps| (limit(mbps, None, Millis(0)), limit(mbps, None, Millis(600)));
    assert_eq!([1, 2, 20, 1000].map(limits), [(1, 1), (1, 2), (6, 22), (330, 1116)]);
}

#[test]
fn the_bound_follows_the_recorded_size() {
    let limits = |workers| {
        let workers = Some(WorkerCount(workers));
        (limit(20, workers, Millis(0)), limit(20, workers, Millis(600)))
    };
    assert_eq!([0, 160, 1451, 6001].map(limits), [(9, 468), (6, 22), (2, 2), (1, 1)]);
}
