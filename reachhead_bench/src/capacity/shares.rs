//! Dealing out the slots of all minions, which an entry process does when the list of hosts changes.

use std::time::Duration;

use reachhead_path::share::ShareHistory;
use reachhead_types::{boot_instant::BootInstant, id::Incarnation, member::MemberId};
use serde_json::{Map, Value, json};

use crate::capacity::fit::{self, Point};

/// Minions of the fleet.
const MINIONS: [u32; 5] = [50, 200, 800, 2000, 4500];

/// Entry hosts.
const HOSTS: [usize; 4] = [3, 10, 30, 100];

/// Slots of a minion.
const SLOTS: u32 = 8;

/// Measures the time for each number of hosts, over the number of minions.
pub fn run() -> Value {
    let mut figures = Map::new();
    for hosts in HOSTS {
        let points = MINIONS.map(|minions| Point {
            size: f64::from(minions),
            value: deal(hosts, minions).as_secs_f64() * 1000.0,
        });
        let values: Vec<f64> = points.iter().map(|point| fit::short(point.value)).collect();
        figures.insert(
            format!("{hosts}_hosts"),
            json!({ "minions": MINIONS, "ms": values, "line": fit::line(&points) }),
        );
    }
    Value::Object(figures)
}

fn deal(hosts: usize, minions: u32) -> Duration {
    let list: Vec<MemberId> = (0..hosts)
        .filter_map(|number| {
            let host = format!("entry-{number}").parse().ok()?;
            Some(MemberId { host, incarnation: Incarnation(number as u64) })
        })
        .collect();
    let now = BootInstant::now();
    let mut shares = ShareHistory::new();
    // Two lists count while one replaces the other.
    shares.record_list(list[1..].to_vec(), Some(list[1].clone()), now);
    shares.expire_lists(Duration::ZERO, now);
    shares.record_list(list.clone(), Some(list[1].clone()), now);
    let started = BootInstant::now();
    let total: u32 = (0..minions).map(|m| shares.usable_slots(&format!("alpha/m{m}"), SLOTS)).sum();
    let took = started.elapsed();
    assert!(total > 0, "a host of many has some share");
    took
}
