//! A process that owned the hosts freezes after it has read their list, and takes a second host of a wave down when it wakes.

use std::{sync::Arc, time::Duration};

use hyper::Method;
use reachhead_review_2::{
    NOT_RUN, Node, Record, find_owner, give_up, hosts::HostService, run_case, signal, wait_ready,
    with_trouble, work_folder,
};
use reachhead_site::{caller::Caller, site::Site};
use serde_json::json;
use tokio::time::{self, Instant};

const POOL: &str = "check-in";

/// Duration of the tasks that keep the other minions busy, in milliseconds.
const TASK_MS: u32 = 2600;

/// Duration of the task that waits for the first host, in milliseconds.
const WAITING_MS: u32 = 500;

/// When the process freezes, from the beginning of the first wave's upkeep, which takes 2 s.
const FREEZE_AT: Duration = Duration::from_millis(2250);

/// For how long it stands still.
const FROZEN: Duration = Duration::from_millis(2500);

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    run_case(run()).await
}

async fn run() -> i32 {
    let record = Arc::new(Record::create());
    let folder = work_folder();
    let site = Site::start().await.unwrap_or_else(|error| give_up(error));
    let hosts = site.add_pool(POOL, 4).await.unwrap_or_else(|error| give_up(error));
    site.configure(1, &[POOL]);
    let (service, address) = HostService::start(Arc::clone(&site), Arc::clone(&record)).await;
    let nodes: Vec<Node> = (1..=6)
        .map(|number| Node::start(&folder, number, site.store_address, address, None))
        .collect();
    let caller = Caller::new();
    wait_ready(&nodes, &caller, POOL).await;
    time::sleep(Duration::from_secs(6)).await;
    let owner = find_owner(&nodes, ".hosts");
    let owners = (owner.clone(), find_owner(&nodes, POOL));
    record.line(format!(
        "ready, trouble={}, owners of .hosts and {POOL}: {owners:?}",
        with_trouble()
    ));
    let Some(owner) = nodes.iter().find(|node| Some(&node.name) == owner.as_ref()) else {
        return NOT_RUN;
    };
    // The first wave takes one host down. While it is down the others get a task each, and the second wave begins with them.
    site.request_wave(1, &hosts[..1], 1);
    record.line(format!("wave 1 over {:?} is requested, maxCount 1", &hosts[..1]));
    let begun = Instant::now();
    while service.down() == 0 {
        if begun.elapsed() > Duration::from_secs(10) {
            return NOT_RUN;
        }
        time::sleep(Duration::from_millis(2)).await;
    }
    let down = Instant::now();
    let step = json!({ "count": 3, "cpu": 4000, "requestedMemoryMb": 64, "estimatedMs": TASK_MS });
    let body = json!({ "specification": format!("ms={TASK_MS}"), "steps": [step] }).to_string();
    let path = format!("/{POOL}/00000000000000c1");
    let sent = caller.call(nodes[0].front, Method::POST, &path, &body).await;
    record.line(format!(
        "a job of three tasks is sent, answered {:?}",
        sent.map(|answer| answer.status)
    ));
    while site.run_count(POOL) < 3 && down.elapsed() < Duration::from_secs(1) {
        time::sleep(Duration::from_millis(2)).await;
    }
    record.line(format!("{} minions are busy", site.run_count(POOL)));
    // One more task waits for the host that is down.
    let step =
        json!({ "count": 1, "cpu": 4000, "requestedMemoryMb": 64, "estimatedMs": WAITING_MS });
    let body = json!({ "specification": format!("ms={WAITING_MS}"), "steps": [step] }).to_string();
    let path = format!("/{POOL}/00000000000000c2");
    let sent = caller.call(nodes[0].front, Method::POST, &path, &body).await;
    record.line(format!(
        "a job of one task is sent, answered {:?}",
        sent.map(|answer| answer.status)
    ));
    site.request_wave(2, &hosts, 1);
    record.line(format!("wave 2 over {hosts:?} is requested, maxCount 1"));
    if with_trouble() {
        time::sleep_until(down + FREEZE_AT).await;
        service.freeze_reader(owner.pid());
        let armed = Instant::now();
        while service.waits_for_reader() {
            if armed.elapsed() > Duration::from_secs(2) {
                return NOT_RUN;
            }
            time::sleep(Duration::from_millis(1)).await;
        }
        time::sleep(FROZEN).await;
        signal(owner.pid(), "CONT");
        record.line(format!("{} wakes", owner.name));
    }
    let end = Instant::now() + Duration::from_secs(40);
    while site.wave_state(2).as_deref() != Some("completed") && Instant::now() < end {
        time::sleep(Duration::from_millis(50)).await;
    }
    let state = site.wave_state(2);
    let max_down = service.max_down();
    record.line(format!("wave 2 is {state:?}, at most {max_down} hosts were down at once"));
    if state.as_deref() != Some("completed") {
        return NOT_RUN;
    }
    let broken = max_down > 1;
    record.line(if broken { "LIMIT is broken" } else { "LIMIT held" });
    i32::from(broken)
}
