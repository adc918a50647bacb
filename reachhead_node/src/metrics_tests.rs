//! The gauges of tasks without a run.

use prometheus_client::encoding::text::encode;
use reachhead_jobs::pool::{UnplacedSummary, WaitReason};
use reachhead_types::size::Revision;

use super::*;

/// Gauges of a pool that the process had lost would have been counted beside those of its new owner.
#[test]
fn tasks_without_a_run_are_shown_only_while_their_pool_is_owned() {
    let mut registry = Registry::default();
    let metrics = Metrics::new(&mut registry);
    let text = || {
        let mut text = String::new();
        encode(&mut text, &registry).unwrap();
        text
    };
    let (owner, _inputs) = OwnerHandle::new(Revision(7));
    let reasons = BTreeMap::from([(WaitReason::NoPlace, 3)]);
    owner.publish_unplaced(UnplacedSummary {
        tasks: 3,
        reasons,
        ended: 2,
        ..UnplacedSummary::default()
    });
    metrics.record_waiting(&BTreeMap::from([("a".parse().unwrap(), owner)]));
    let gauge = "reachhead_unplaced_tasks{pool=\"a\",why=\"no-place\"} 3";
    assert!(text().contains(gauge), "{}", text());
    assert!(text().contains("reachhead_ended_workers{pool=\"a\"} 2"), "{}", text());
    metrics.record_waiting(&BTreeMap::new());
    assert!(!text().contains("pool=\"a\""), "{}", text());
}
