//! A queue whose placement another service approves: after one turn of high demand no job of it runs any more.

use std::{sync::atomic::Ordering, time::Duration};

use hyper::Method;
use reachhead_review_2::{
    Node, Record, advice::Advice, give_up, run_case, state, wait_ready, with_trouble, work_folder,
};
use reachhead_site::{caller::Caller, site::Site, store::RowName};
use serde_json::json;
use tokio::time::{self, Instant};

const POOL: &str = "check-in";

/// Minions, of four cores each.
const MINIONS: usize = 8;

/// Jobs a second, on average.
const MEAN: f64 = 4.0;

/// Demand in the turn, and before and after it, in multiples of the mean.
const HIGH: f64 = 5.0;
const LOW: f64 = 0.05;

/// Duration of the turn in which demand is high, and of the time before and after it.
const TURN: Duration = Duration::from_secs(4);
const AROUND: Duration = Duration::from_secs(8);

/// `finish_s`, after which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// Time for which a job may have nothing running.
const IDLE: Duration = Duration::from_secs(3);

/// How long it is observed afterwards.
const OBSERVED: Duration = Duration::from_secs(20);

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    run_case(run()).await
}

async fn run() -> i32 {
    let record = Record::create();
    let folder = work_folder();
    // MANY=1: many minions, and a faster service.
    let many = std::env::var("MANY").as_deref() == Ok("1");
    let (minions, decision_ms, per_worker_ms) =
        if many { (80, 20.0, 1.5) } else { (MINIONS, 100.0, 5.0) };
    let site = Site::start().await.unwrap_or_else(|error| give_up(error));
    if let Err(error) = site.add_pool(POOL, minions).await {
        give_up(error);
    }
    site.configure(1, &[POOL]);
    let name = RowName::new("op", "", "config");
    let mut row = site.store.get(&name).unwrap_or_else(|| give_up("no configuration"));
    row["version"] = json!(2);
    row["routes"][0]["advice"] =
        json!({ "decisionMs": decision_ms, "perWorkerMs": per_worker_ms, "validityMs": 20000 });
    site.store.put(name, &row);
    let drops = std::env::var("DROPS").as_deref() == Ok("1");
    let (advice, address) = Advice::start(decision_ms, per_worker_ms, drops).await;
    let nodes: Vec<Node> = (1..=3)
        .map(|number| {
            Node::start(&folder, number, site.store_address, site.host_api_address, Some(address))
        })
        .collect();
    let caller = Caller::new();
    wait_ready(&nodes, &caller, POOL).await;
    time::sleep(Duration::from_secs(6)).await;
    record.line(format!(
        "ready, trouble={}, minions={minions} decisionMs={decision_ms} perWorkerMs={per_worker_ms} drops={drops}",
        with_trouble()
    ));
    let begun = Instant::now();
    let whole = AROUND + TURN + AROUND;
    let jobs_in = |rate: f64, time: Duration| (rate * time.as_secs_f64()).round() as u32;
    let total = jobs_in(MEAN * HIGH, TURN) + 2 * jobs_in(MEAN * LOW, AROUND);
    let (mut number, mut refused) = (0_u32, 0);
    let mut due = Duration::ZERO;
    while number < total {
        time::sleep_until(begun + due).await;
        number += 1;
        let step = json!({ "count": 2, "cpu": 500, "requestedMemoryMb": 64, "estimatedMs": 300 });
        let body = json!({ "specification": "ms=300", "steps": [step] }).to_string();
        let node = &nodes[number as usize % nodes.len()];
        let path = format!("/{POOL}/{number:016x}");
        let answer = caller.call(node.front, Method::POST, &path, &body).await;
        let status = answer.map_or(0, |answer| answer.status);
        refused += u32::from(status != 200);
        record.detail(format!("sent job {number:016x} answered {status}"));
        // The same number of jobs is spread evenly where there is no turn.
        let rate = match due {
            _ if !with_trouble() => f64::from(total) / whole.as_secs_f64(),
            due if due < AROUND || due >= AROUND + TURN => MEAN * LOW,
            _ => MEAN * HIGH,
        };
        let next = due + Duration::from_secs_f64(1.0 / rate);
        due = if with_trouble() && due < AROUND && next > AROUND { AROUND } else { next };
    }
    let sent = Instant::now();
    record.line(format!(
        "{total} jobs sent in {:.1} s, {refused} not accepted",
        begun.elapsed().as_secs_f64()
    ));
    let mut idle_since: Option<Instant> = None;
    let mut longest_idle = Duration::ZERO;
    let mut open = total;
    while sent.elapsed() < FINISH + OBSERVED && open > 0 {
        time::sleep(Duration::from_millis(500)).await;
        let starts = site.starts().len();
        let running = site.run_count(POOL);
        open = 0;
        for number in 1..=total {
            let path = format!("/{POOL}/{number:016x}");
            open += u32::from(state(&caller, &nodes[1], &path).await != "completed");
        }
        record.detail(format!(
            "open={open} running={running} starts={starts} advice: answered={} refused={}",
            advice.answered.load(Ordering::Relaxed),
            advice.refused.load(Ordering::Relaxed)
        ));
        if sent.elapsed() < FINISH {
            continue;
        }
        if running == 0 {
            let since = *idle_since.get_or_insert_with(Instant::now);
            longest_idle = longest_idle.max(since.elapsed());
        } else {
            idle_since = None;
        }
    }
    record.line(format!(
        "{open} of {total} jobs are not completed {:.1} s after the last was sent; nothing ran for {:.1} s from \
         finish_s on; advice: {} calls answered, {} refused",
        sent.elapsed().as_secs_f64(),
        longest_idle.as_secs_f64(),
        advice.answered.load(Ordering::Relaxed),
        advice.refused.load(Ordering::Relaxed)
    ));
    if refused > 0 {
        record.line("some jobs were not accepted; the case counts on all");
        return 2;
    }
    let broken = open > 0 && longest_idle >= IDLE;
    record.line(if broken { "LOST is broken" } else { "LOST held" });
    i32::from(broken)
}
