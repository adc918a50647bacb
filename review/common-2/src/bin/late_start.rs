//! A start order that is carried out late, by the next life of its minion, runs a task twice at the same time.

use std::{sync::Arc, time::Duration};

use reachhead_plan::amount::Amount;
use reachhead_review_2::{
    NOT_RUN, Node, Record, give_up, hosts::HostService, minion::Minion, run_case, state,
    wait_ready, with_trouble, work_folder,
};
use reachhead_site::{caller::Caller, site::Site};
use tokio::time::{self, Instant};

const POOL: &str = "check-in";

/// Minions beside the one that crashes.
const OTHERS: usize = 7;

/// Duration of the task, in milliseconds.
const TASK_MS: u32 = 7000;

/// For how long the minion is down.
const DOWN: Duration = Duration::from_millis(2500);

/// How late the order is carried out; 2 to 12 s are allowed.
const DELAY: Duration = Duration::from_millis(3600);

/// Time from the order to the crash: the owner has given up waiting for the answer, and has sent the order again.
const CRASH_AFTER: Duration = Duration::from_millis(600);

/// Time from the start of the minion to its entry.
const ENTRY: Duration = Duration::from_millis(100);

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    run_case(run()).await
}

async fn run() -> i32 {
    let record = Arc::new(Record::create());
    let folder = work_folder();
    let site = Site::start().await.unwrap_or_else(|error| give_up(error));
    if let Err(error) = site.add_pool(POOL, OTHERS).await {
        give_up(error);
    }
    site.configure(1, &[POOL]);
    let (_service, address) = HostService::start(Arc::clone(&site), Arc::clone(&record)).await;
    // The smallest minion that fits is taken first.
    let capacity = Amount::new(1000, 8192, 0);
    let minion =
        Minion::start(Arc::clone(&site), Arc::clone(&record), "i-900", POOL, capacity).await;
    let nodes: Vec<Node> = (1..=3)
        .map(|number| Node::start(&folder, number, site.store_address, address, None))
        .collect();
    let caller = Caller::new();
    wait_ready(&nodes, &caller, POOL).await;
    time::sleep(Duration::from_secs(6)).await;
    record.line(format!("ready, trouble={}", with_trouble()));
    if with_trouble() {
        minion.keep_next_start();
    }
    let path = format!("/{POOL}/00000000000000b1");
    let sent = caller.submit(nodes[0].front, &path, &format!("ms={TASK_MS}"), &[1]).await;
    record.line(format!(
        "a job of one task is sent, answered {:?}",
        sent.map(|answer| answer.status)
    ));
    let begun = Instant::now();
    let mut order = None;
    let mut arrived = Instant::now();
    if with_trouble() {
        while order.is_none() {
            if begun.elapsed() > Duration::from_secs(5) {
                record.line("no order came to the minion");
                return NOT_RUN;
            }
            time::sleep(Duration::from_millis(2)).await;
            order = minion.kept();
        }
        arrived = Instant::now();
        time::sleep(CRASH_AFTER).await;
        record.line(format!("{:?} runs on the minion", minion.running()));
        minion.crash();
    }
    let crashed = Instant::now();
    let (mut is_up, mut carried_out, mut registered) =
        (!with_trouble(), !with_trouble(), !with_trouble());
    let mut both: Option<Instant> = None;
    let mut overlap = Duration::ZERO;
    let mut last = String::new();
    let mut next_state = Instant::now();
    while begun.elapsed() < Duration::from_secs(40) {
        time::sleep(Duration::from_millis(5)).await;
        if !is_up && crashed.elapsed() >= DOWN {
            is_up = true;
            minion.begin().await;
        }
        if is_up && !carried_out && arrived.elapsed() >= DELAY {
            carried_out = true;
            let answer = order.as_ref().and_then(|order| minion.carry_out(order));
            record.line(format!(
                "the start is carried out {} ms late: {answer:?}",
                arrived.elapsed().as_millis()
            ));
        }
        if is_up && !registered && crashed.elapsed() >= DOWN + ENTRY {
            registered = true;
            minion.register();
        }
        let here = minion.running();
        let elsewhere = site.run_count(POOL);
        if !here.is_empty() && elsewhere > 0 {
            if both.is_none() {
                record.line(format!(
                    "{here:?} runs on the minion, and {:?} on others",
                    site.running()
                ));
            }
            both.get_or_insert_with(Instant::now);
        } else if let Some(since) = both.take() {
            overlap += since.elapsed();
            record.line(format!("it ran on two minions for {} ms", since.elapsed().as_millis()));
        }
        if next_state <= Instant::now() {
            next_state = Instant::now() + Duration::from_millis(250);
            last = state(&caller, &nodes[1], &path).await;
            record.detail(format!("state={last} here={here:?} elsewhere={elsewhere}"));
            if last == "completed" && both.is_none() {
                break;
            }
        }
    }
    record.line(format!("state={last}, on two minions at once for {} ms", overlap.as_millis()));
    if last != "completed" {
        return NOT_RUN;
    }
    let broken = overlap > Duration::ZERO;
    record.line(if broken { "TWICE is broken" } else { "TWICE held" });
    i32::from(broken)
}
