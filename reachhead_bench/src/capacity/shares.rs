//! Time to compute the slot shares of all minions, as an entry process does when the list of hosts changes.

use std::time::Duration;

use reachhead_path::share::ShareHistory;
use reachhead_types::{boot_instant::BootInstant, id::Incarnation, member::MemberId};
use serde_json::{Map, Value, json};

use crate::capacity::fit::{self, Point};

/// Numbers of minions.
const MINIONS: [u32; 5] = [50, 200, 800, 2000, 4500];

/// Numbers of entry hosts.
const HOSTS: [usize; 4] = [3, 10, 30, 100];

/// Slots per minion.
const SLOTS: u32 = 8;

/// Measures the time for each number of hosts, as a function of the number of minions.
pub fn run() -> Value {
    let mut figures = Map::new();
    for hosts in HOSTS {
        let points = MINIONS.map(|minions| Point {
            size: f64::from(minions),
            value: measure_shares(hosts, minions).as_secs_f64() * 1000.0,
        });
        let values: Vec<f64> =
            points.iter().map(|point| fit::round_significant(point.value)).collect();
        figures.insert(
            format!("{hosts}_hosts"),
            json!({ "minions": MINIONS, "ms": values, "line": fit::fit_line(&points) }),
        );
    }
    Value::Object(figures)
}

/// Returns the time in which one of `hosts` hosts computes its shares.
fn measure_shares(hosts: usize, minions: u32) -> Duration {
    let list: Vec<MemberId> = (0..hosts)
        .filter_map(|number| {
            let host = format!("entry-{number}").parse().ok()?;
            Some(MemberId { host, incarnation: Incarnation(number as u64) })
        })
        .collect();
    let now = BootInstant::now();
    let mut shares = ShareHistory::new();
    // During a membership change, both the old and the new list apply.
    shares.record_list(list[1..].to_vec(), Some(list[1].clone()), now);
    shares.expire_lists(Duration::ZERO, now);
    shares.record_list(list.clone(), Some(list[1].clone()), now);
    let started = BootInstant::now();
    let total: u32 = (0..minions).map(|m| shares.usable_slots(&format!("alpha/m{m}"), SLOTS)).sum();
    let took = started.elapsed();
    assert!(total > 0, "no slots assigned to the host");
    took
}
