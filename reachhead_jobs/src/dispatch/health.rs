//! Excludes processes as dispatchers for a time after they failed.

use std::collections::BTreeMap;

use reachhead_types::{
    id::{NodeName, WorkerId},
    size::Millis,
};

use crate::clock::Tick;

/// Exclusion after the first failure: longer than the pause of a slow process.
const MIN_EXCLUSION: Millis = Millis(3000);

/// Longest exclusion after failures.
const MAX_EXCLUSION: Millis = Millis(24_000);

/// Time without a failure from which the next one counts as the first.
const FAILURE_MEMORY: Millis = Millis(60_000);

/// Workers that a process has to report as unreachable until it counts as cut off from workers. One
/// or two may be down themselves.
const MAX_UNREACHABLE: usize = 3;

/// Time within which these reports come.
const ERROR_WINDOW: Millis = Millis(2000);

/// Exclusion of a process that may be cut off from workers.
const CUT_OFF_EXCLUSION: Millis = Millis(10_000);

/// The last failure of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Failure {
    at: Tick,
    exclusion: Millis,
}

/// What is known about a process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct NodeHealth {
    failure: Option<Failure>,
    /// Workers that it could not reach since the last answer of any worker, with the latest report.
    unreachable: BTreeMap<WorkerId, Tick>,
    excluded_until: Tick,
}

/// Failures of processes as dispatchers of a pool, and the exclusions that follow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DispatcherHealth {
    nodes: BTreeMap<NodeName, NodeHealth>,
}

impl DispatcherHealth {
    /// Returns a record without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a process did not answer, and returns the exclusion if one begins. Failures of
    /// an excluded process belong to messages that were sent before, and are not further ones.
    pub fn record_failure(&mut self, node: &NodeName, now: Tick) -> Option<Millis> {
        self.forget_old(now);
        let health = self.nodes.entry(node.clone()).or_default();
        if now < health.excluded_until {
            return None;
        }
        let last = health.failure.filter(|last| now.since(last.at) < FAILURE_MEMORY);
        let exclusion =
            last.map_or(MIN_EXCLUSION, |last| Millis(2 * last.exclusion.0).min(MAX_EXCLUSION));
        health.failure = Some(Failure { at: now, exclusion });
        health.exclude(exclusion, now);
        Some(exclusion)
    }

    /// Records that a process could not reach a worker, and returns the exclusion if one begins.
    pub fn record_worker_error(
        &mut self,
        node: &NodeName,
        worker: &WorkerId,
        now: Tick,
    ) -> Option<Millis> {
        self.forget_old(now);
        let health = self.nodes.entry(node.clone()).or_default();
        if now < health.excluded_until {
            return None;
        }
        health.unreachable.retain(|_, at| now.since(*at) < ERROR_WINDOW);
        health.unreachable.insert(worker.clone(), now);
        if health.unreachable.len() < MAX_UNREACHABLE {
            return None;
        }
        health.exclude(CUT_OFF_EXCLUSION, now);
        Some(CUT_OFF_EXCLUSION)
    }

    /// Records that a worker answered a process, which therefore is not cut off from workers.
    pub fn record_answer(&mut self, node: &NodeName, _worker: &WorkerId, _now: Tick) {
        if let Some(health) = self.nodes.get_mut(node) {
            health.unreachable.clear();
        }
    }

    /// Returns whether the process may be a dispatcher now.
    pub fn is_usable(&self, node: &NodeName, now: Tick) -> bool {
        self.nodes.get(node).is_none_or(|health| now >= health.excluded_until)
    }

    /// Forgets processes about which nothing is known that still matters.
    fn forget_old(&mut self, now: Tick) {
        self.nodes.retain(|_, health| {
            let failed = health.failure.is_some_and(|last| now.since(last.at) < FAILURE_MEMORY);
            let in_doubt = health.unreachable.values().any(|at| now.since(*at) < ERROR_WINDOW);
            failed || in_doubt || now < health.excluded_until
        });
    }
}

impl NodeHealth {
    fn exclude(&mut self, time: Millis, now: Tick) {
        self.excluded_until = now + time;
        self.unreachable.clear();
    }
}
