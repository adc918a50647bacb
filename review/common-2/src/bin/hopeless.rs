//! A few hopeless jobs keep an accepted job from running, for as long as they are there.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::Method;
use reachhead_review_2::{
    Node, Record, give_up, run_case, state, wait_ready, with_trouble, work_folder,
};
use reachhead_site::{caller::Caller, site::Site};
use serde_json::json;
use tokio::time::{self, Instant};

const POOL: &str = "check-in";

/// Minions, of four cores each.
const MINIONS: usize = 6;

/// Jobs handed in before the large one, 28 a second; every 34th of them can never be done.
const JOBS: u32 = 1056;
const HOPELESS_EACH: u32 = 34;
const PAUSE: Duration = Duration::from_millis(35);

/// Tasks of the large job, of half a core and one second each.
const TASKS: u32 = 400;

/// `finish_s`, after which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// Time for which a job may have nothing running.
const IDLE: Duration = Duration::from_secs(3);

/// How long it is observed afterwards.
const OBSERVED: Duration = Duration::from_secs(25);

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    run_case(run()).await
}

async fn run() -> i32 {
    let record = Record::create();
    let folder = work_folder();
    let site = Site::start().await.unwrap_or_else(|error| give_up(error));
    if let Err(error) = site.add_pool(POOL, MINIONS).await {
        give_up(error);
    }
    site.configure(1, &[POOL]);
    let nodes: Vec<Node> = (1..=3)
        .map(|number| Node::start(&folder, number, site.store_address, site.host_api_address, None))
        .collect();
    let caller = Caller::new();
    wait_ready(&nodes, &caller, POOL).await;
    record.line(format!("{} processes are ready, trouble={}", nodes.len(), with_trouble()));
    let one = std::env::var("ONE").as_deref() == Ok("1");
    let mut hopeless = 0;
    let mut refused = 0;
    for number in 1..=JOBS {
        // With ONE=1 there is one hopeless job, of 30 steps that don't depend on each other.
        let is_hopeless = if one { number == HOPELESS_EACH } else { number % HOPELESS_EACH == 0 };
        let mut step =
            json!({ "count": 1, "cpu": 500, "requestedMemoryMb": 64, "estimatedMs": 100 });
        if is_hopeless && with_trouble() {
            // No minion has this label.
            step["requirements"] = json!("no-such-kind");
            hopeless += 1;
        }
        let steps = if is_hopeless && one { 30 } else { 1 };
        let body = json!({ "specification": "ms=100", "steps": vec![step; steps] }).to_string();
        let node = &nodes[number as usize % nodes.len()];
        let path = format!("/{POOL}/{number:016x}");
        let answer = caller.call(node.front, Method::POST, &path, &body).await;
        let status = answer.map_or(0, |answer| answer.status);
        refused += u32::from(status != 200);
        record.detail(format!("sent job {number:016x} hopeless={is_hopeless} answered {status}"));
        time::sleep(PAUSE).await;
    }
    record.line(format!("{JOBS} jobs sent, {hopeless} of them hopeless, {refused} not accepted"));
    time::sleep(Duration::from_secs(2)).await;
    let open = open_jobs(&caller, &nodes, hopeless > 0).await;
    record.line(format!("{open} of the other jobs are not completed"));
    let path = format!("/{POOL}/00000000000f0001");
    let step = json!({ "count": TASKS, "cpu": 500, "requestedMemoryMb": 64, "estimatedMs": 1000 });
    let body = json!({ "specification": "ms=1000", "steps": [step] }).to_string();
    let sent = Instant::now();
    let status = caller.call(nodes[0].front, Method::POST, &path, &body).await;
    record
        .line(format!("large job of {TASKS} tasks sent, answered {:?}", status.map(|a| a.status)));
    // A job with one occurrence, due eight seconds later.
    let due =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64) + 8000;
    let step = json!({ "count": 1, "cpu": 500, "requestedMemoryMb": 64, "estimatedMs": 100 });
    let body = json!({ "specification": "ms=100", "steps": [step], "repetitions": 1, "startAtMs": due,
        "intervalMs": 1000 });
    let timed = format!("/{POOL}/00000000000f0002");
    let status = caller.call(nodes[0].front, Method::POST, &timed, &body.to_string()).await;
    record.line(format!(
        "job with a time, due in 8 s, sent, answered {:?}",
        status.map(|a| a.status)
    ));
    let mut idle_since: Option<Instant> = None;
    let mut longest_idle = Duration::ZERO;
    let mut last = String::new();
    while sent.elapsed() < FINISH + OBSERVED {
        time::sleep(Duration::from_millis(250)).await;
        last = state(&caller, &nodes[1], &path).await;
        let running = site.run_count(POOL);
        record.detail(format!("state={last} runs={running}"));
        if last == "completed" {
            break;
        }
        if sent.elapsed() >= FINISH {
            if running == 0 {
                let since = *idle_since.get_or_insert_with(Instant::now);
                longest_idle = longest_idle.max(since.elapsed());
            } else {
                idle_since = None;
            }
        }
    }
    let done = started_tasks(&site, "00000000000f0001");
    record.line(format!(
        "large job: state={last} after {:.1} s, {done} of {TASKS} tasks were started, nothing ran for {:.1} s \
         from finish_s on",
        sent.elapsed().as_secs_f64(),
        longest_idle.as_secs_f64()
    ));
    let timed_state = state(&caller, &nodes[1], &timed).await;
    record.line(format!(
        "job with a time: state={timed_state} {:.1} s after it was due, {} runs",
        sent.elapsed().as_secs_f64() - 8.0,
        started_tasks(&site, "00000000000f0002")
    ));
    if refused > 0 {
        record.line("some jobs were not accepted; the case counts on all");
        return 2;
    }
    let broken = longest_idle >= IDLE && (last != "completed" || timed_state != "completed");
    record.line(if broken { "LOST is broken" } else { "LOST held" });
    i32::from(broken)
}

/// Returns the number of starts of tasks of a job.
fn started_tasks(site: &Site, job: &str) -> usize {
    site.starts().iter().filter(|start| start.task.to_string().starts_with(job)).count()
}

/// Returns how many of the jobs that can be done are not completed.
async fn open_jobs(caller: &Caller, nodes: &[Node], some_hopeless: bool) -> u32 {
    let mut open = 0;
    for number in (1..=JOBS).step_by(16) {
        if some_hopeless && number % HOPELESS_EACH == 0 {
            continue;
        }
        let path = format!("/{POOL}/{number:016x}");
        open += u32::from(state(caller, &nodes[0], &path).await != "completed");
    }
    open
}
