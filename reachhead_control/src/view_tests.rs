//! Members whose heartbeat stops are removed, however often the store is away for a moment.

use std::{num::NonZeroU64, path::Path, time::Duration};

use reachhead_config::control::ControlSettings;
use reachhead_types::{
    boot_instant::BootInstant,
    id::Incarnation,
    member::Member,
    size::{Millis, Revision},
};

use super::View;
use crate::timeouts::Timeouts;

const STEP: Duration = Duration::from_millis(20);

/// Twice the longest time that a member without heartbeats may stay on the list with these settings.
const LIMIT: Duration = Duration::from_millis(5000);

fn settings() -> ControlSettings {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/settings/armonia/control.jsonc");
    let mut settings: ControlSettings = reachhead_config::load("control", &path).unwrap();
    settings.follow.members = NonZeroU64::new(10).unwrap();
    settings.store.deadline = Millis(100);
    settings
}

fn member(host: &str, counter: u64) -> Member {
    let address = "127.0.0.1:1".parse().unwrap();
    let (host, zone) = (host.parse().unwrap(), "z".parse().unwrap());
    Member { host, zone, incarnation: Incarnation(1), counter, control: address, entry: address }
}

/// Reads the member rows until a host is removed, while the store fails in every tenth step or
/// never. The counter of only one of two hosts progresses. Returns when which hosts are removed.
fn removed_hosts(fails: bool) -> Option<(Duration, Vec<String>)> {
    let view = View::new("observer".parse().unwrap(), Timeouts::new(&settings()));
    let started = BootInstant::now();
    let mut now = started;
    for step in 0.. {
        if fails && step % 10 == 9 {
            view.record_store_result(false, now);
            now += STEP;
        }
        view.record_store_result(true, now);
        let rows = vec![member("alive", step), member("dead", 1)];
        let removed = view.process_members(rows, Revision(step), now, now);
        if !removed.is_empty() {
            let names = removed.iter().map(|host| host.as_str().to_owned()).collect();
            return Some((now.duration_since(started), names));
        }
        if now.duration_since(started) > LIMIT {
            break;
        }
        now += STEP;
    }
    None
}

#[test]
fn a_dead_member_is_removed_although_the_store_fails_now_and_then() {
    let (_, removed) = removed_hosts(false).expect("a dead member is removed");
    assert_eq!(removed, ["dead"]);
    let (_, removed) = removed_hosts(true).expect("a dead member is removed with failures");
    assert_eq!(removed, ["dead"]);
}

#[test]
fn an_outage_is_no_evidence_against_members() {
    let view = View::new("observer".parse().unwrap(), Timeouts::new(&settings()));
    let rows = || vec![member("one", 1), member("two", 1)];
    let mut now = BootInstant::now();
    view.record_store_result(true, now);
    assert!(view.process_members(rows(), Revision(1), now, now).is_empty());
    view.record_store_result(false, now);
    now += LIMIT;
    view.record_store_result(true, now);
    assert!(view.process_members(rows(), Revision(1), now, now).is_empty());
}
