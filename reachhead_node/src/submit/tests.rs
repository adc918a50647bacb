//! Submissions go on after the task that stores them has panicked.

use std::sync::atomic::Ordering;

use reachhead_jobs::model::{Plan, Queue};
use reachhead_ops::runtime;
use reachhead_types::size::Millis;

use super::*;
use crate::tests::{broken_node, idle_node::apply_config};

fn record() -> JobRecord {
    let queue = Queue {
        name: "q".parse().unwrap(),
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        pool: "a".parse().unwrap(),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        target: Millis(600),
        advice: None,
        allows_anonymous: true,
    };
    let plan = Plan { payload: "x".into(), steps: Vec::new(), schedule: None };
    JobRecord {
        queue: Arc::new(queue),
        plan: Arc::new(plan),
        accepted: Millis(0),
        customer: None,
        stored_by: None,
    }
}

#[test]
fn a_panic_while_jobs_are_stored_loses_one_batch_and_not_all_submissions_of_the_pool() {
    runtime::current_thread().unwrap().block_on(async {
        let (node, store) = broken_node::node();
        store.commits.store(1, Ordering::Relaxed);
        let submit = async |id| {
            let until = Instant::now() + Duration::from_secs(5);
            node.submitter.submit(&node, JobId(id), record(), until, false).await
        };
        let first = submit(4).await;
        assert!(matches!(first, Answer::Refused(ErrorKind::SubmissionLost)), "{first:?}");
        let second = submit(8).await;
        assert!(matches!(second, Answer::Accepted), "{second:?}");
    });
}

/// Guards against jobs that are stored by a route which was removed while they waited for the store.
#[test]
fn job_is_refused_if_its_route_was_removed_or_moved_while_it_waited() {
    runtime::current_thread().unwrap().block_on(async {
        let (node, _) = broken_node::node();
        let submit = async |id| {
            let until = Instant::now() + Duration::from_secs(5);
            node.submitter.submit(&node, JobId(id), record(), until, false).await
        };
        apply_config(&node, 4, &["b"], Millis(0));
        assert_eq!(submit(4).await, Answer::Refused(ErrorKind::NoRoute));
        apply_config(&node, 5, &["b", "q"], Millis(0));
        assert_eq!(
            submit(4).await,
            Answer::Refused(ErrorKind::NotReady),
            "its pool is another one"
        );
    });
}
