//! The table of registered workers.

use std::sync::Arc;

use reachhead_jobs::{
    clock::Tick,
    ports::{Change, FeedPage},
    registry::WorkerChange,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::row::Row;
use reachhead_types::size::{Millis, Revision};

use super::Follower;
use crate::{node::Node, registry};

/// How long a poll of the workers waits for changes. A draining worker must soon get no more tasks,
/// also when the connection has gone silent.
const WORKER_POLL_WAIT: Millis = Millis(1000);

/// Pause between two polls of the workers. On large deployments some worker changes all the time,
/// and each change would cost each owner a call.
const WORKER_POLL_PAUSE: Millis = Millis(80);

/// Follows the table of registered workers, which only owners need.
pub struct Workers(pub Arc<Node>);

impl Workers {
    /// Applies a worker's row; returns whether the worker changed. Most rows are only heartbeats.
    fn take(&self, row: &Row, deleted: bool) -> bool {
        let node = &self.0;
        if deleted {
            return self.remove_worker(row);
        }
        match node.services.row_format.worker_row(row) {
            Ok(info) => {
                let previous = node.view().workers.insert(info.id.clone(), info.clone());
                let changed = previous.as_ref() != Some(&info);
                if changed {
                    let id = info.id.clone();
                    node.registry.record(WorkerChange { id, info: Some(info) });
                }
                changed
            }
            Err(error) => {
                // An unreadable row also invalidates the previous one, since it names no usable
                // worker.
                emit(Event::RowRefused, error);
                self.remove_worker(row)
            }
        }
    }

    fn remove_worker(&self, row: &Row) -> bool {
        let Some(id) = self.0.services.row_format.worker_of(&row.key) else {
            return false;
        };
        let known = self.0.view().workers.remove(&id).is_some();
        if known {
            self.0.registry.record(WorkerChange { id, info: None });
        }
        known
    }
}

impl Follower for Workers {
    fn table(&self) -> &'static str {
        self.0.services.row_format.worker_table()
    }

    fn poll_wait(&self) -> Millis {
        WORKER_POLL_WAIT
    }

    fn pause_after_changes(&self) -> Millis {
        WORKER_POLL_PAUSE
    }

    fn is_needed(&self) -> bool {
        self.0.owns_any() && registry::follows_store(&self.0)
    }

    fn reset(&self, page: &FeedPage) {
        {
            let mut view = self.0.view();
            view.workers.clear();
            view.workers_loaded = true;
            view.follows_workers = true;
        }
        self.apply(&page.changes);
        // Workers that were registered before may be gone.
        self.0.registry.reset();
        self.0.workers_changed.send_modify(|count| *count += 1);
    }

    fn apply(&self, changes: &[Change]) {
        let mut changed = false;
        for change in changes {
            changed |= self.take(&change.row, change.deleted);
        }
        if changed {
            self.0.workers_changed.send_modify(|count| *count += 1);
        }
    }

    fn confirm_current(&self, at: Tick, _revision: Revision) {
        let mut view = self.0.view();
        view.workers_current_at = view.workers_current_at.max(at);
    }

    fn mark_stale(&self) {
        let mut view = self.0.view();
        // Otherwise the workers are those that the fleet owner sends.
        if view.follows_workers {
            view.workers_loaded = false;
            view.follows_workers = false;
        }
    }
}
