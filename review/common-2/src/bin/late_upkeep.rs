//! Case 7: an order for maintenance that is carried out late takes a second host of a wave down.

use std::{sync::Arc, time::Duration};

use reachhead_review_2::{
    NOT_RUN, Node, Record, give_up,
    hosts::HostService,
    wait_ready, with_trouble, work_folder,
};
use reachhead_site::{caller::Caller, site::Site};
use tokio::time::{self, Instant};

const POOL: &str = "check-in";

/// Shortest and longest delay of an order that is carried out late.
const MIN_DELAY: Duration = Duration::from_millis(2000);
const MAX_DELAY: Duration = Duration::from_millis(12_000);

/// Time after which a killed process starts again.
const DOWN: Duration = Duration::from_millis(3000);

/// Duration of the task on the first host of the wave, in milliseconds.
const TASK_MS: u32 = 900;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    // The processes are ended with the future.
    let code = time::timeout(Duration::from_secs(110), run()).await.unwrap_or(NOT_RUN);
    std::process::exit(code);
}

fn find_owner(nodes: &[Node], pool: &str) -> Option<String> {
    let taken = format!("LeaseTaken: pool={pool} ");
    nodes.iter().find(|node| node.log().contains(&taken)).map(|node| node.name.clone())
}

async fn run() -> i32 {
    let record = Arc::new(Record::create());
    let folder = work_folder();
    let site = Site::start().await.unwrap_or_else(|error| give_up(error));
    let hosts = site.add_pool(POOL, 4).await.unwrap_or_else(|error| give_up(error));
    site.configure(1, &[POOL]);
    let (service, address) = HostService::start(Arc::clone(&site), Arc::clone(&record)).await;
    let mut nodes: Vec<Node> = (1..=3)
        .map(|number| Node::start(&folder, number, site.store_address, address, true))
        .collect();
    let caller = Caller::new();
    wait_ready(&nodes, &caller, POOL).await;
    time::sleep(Duration::from_secs(6)).await;
    let owners = (find_owner(&nodes, ".hosts"), find_owner(&nodes, POOL));
    record.line(format!("ready, trouble={}, owners of .hosts and {POOL}: {owners:?}", with_trouble()));
    // One host has a short task; the other one that the wave begins with is idle.
    let spec = format!("ms={TASK_MS}");
    let path = format!("/{POOL}/00000000000000a1");
    let sent = caller.submit(nodes[0].front, &path, &spec, &[1]).await;
    record.line(format!("a job of one task is sent, answered {:?}", sent.map(|answer| answer.status)));
    let busy = loop {
        let busy = site.hosts.hosts().iter().find_map(|(name, host)| {
            (site.run_count_on(&host.worker) > 0).then(|| name.clone())
        });
        if let Some(busy) = busy {
            break busy;
        }
        time::sleep(Duration::from_millis(2)).await;
    };
    let others: Vec<String> = hosts.iter().filter(|host| **host != busy).cloned().collect();
    let mut machines = vec![busy];
    machines.extend(others);
    if with_trouble() {
        service.keep_next();
    }
    site.request_wave(1, &machines, 1);
    record.line(format!("wave 1 over {machines:?} is requested, maxCount 1"));
    if with_trouble() {
        let end = Instant::now() + Duration::from_secs(8);
        let order = loop {
            if let Some(order) = service.kept() {
                break order;
            }
            if Instant::now() > end {
                record.line("no order came");
                return NOT_RUN;
            }
            time::sleep(Duration::from_millis(2)).await;
        };
        let arrived = Instant::now();
        if let Some(node) = nodes.iter_mut().find(|node| node.name == order.holder) {
            node.kill();
            record.line(format!("{} is killed", node.name));
        }
        let mut restarted = false;
        let mut carried_out = false;
        while arrived.elapsed() < MAX_DELAY {
            time::sleep(Duration::from_millis(5)).await;
            if !restarted && arrived.elapsed() >= DOWN {
                restarted = true;
                if let Some(node) = nodes.iter_mut().find(|node| node.name == order.holder) {
                    node.spawn();
                    record.line(format!("{} starts again", node.name));
                }
            }
            if !carried_out && arrived.elapsed() >= MIN_DELAY && service.down() > 0 {
                carried_out = true;
                let answer = service.carry_out(&order);
                let delay = arrived.elapsed().as_millis();
                record.line(format!("the order of {} is carried out {delay} ms late: {answer:?}", order.holder));
            }
        }
    }
    let end = Instant::now() + Duration::from_secs(30);
    while site.wave_state(1).as_deref() != Some("completed") && Instant::now() < end {
        time::sleep(Duration::from_millis(50)).await;
    }
    let state = site.wave_state(1);
    let max_down = service.max_down();
    record.line(format!("wave 1 is {state:?}, at most {max_down} hosts were down at once"));
    if state.as_deref() != Some("completed") {
        return NOT_RUN;
    }
    let broken = max_down > 1;
    record.line(if broken { "LIMIT is broken" } else { "LIMIT held" });
    i32::from(broken)
}
