//! The operators' table: configurations, waves and drains of zones.

use std::sync::Arc;

use reachhead_jobs::{
    clock::Tick,
    ports::{Change, FeedPage, OperatorRow},
};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::ZoneName,
    size::{Millis, Revision},
};

use super::{Follower, RELAY_POLL_WAIT};
use crate::{node::Node, relay};

/// How long a poll of the operators' table waits for changes. The configuration in force is
/// confirmed to be at most this old, which has to be well below the time in which a version must
/// take effect.
const OPERATOR_POLL_WAIT: Millis = Millis(1000);

/// Follows the operators' table.
pub struct Operators(pub Arc<Node>);

impl Operators {
    /// Applies a change of a row.
    fn take(&self, change: &Change) {
        let node = &self.0;
        if change.deleted {
            if let Some(zone) = node.services.row_format.drained_zone(&change.row.key) {
                self.drain(zone, false);
            }
            return;
        }
        match node.services.row_format.operator_row(&change.row) {
            Ok(OperatorRow::Configuration(config)) => {
                let (version, revision) = (config.version, change.row.revision);
                if node.view().update_config(config, revision) {
                    node.peers.set_config_version(version);
                    emit(
                        Event::ConfigInForce,
                        format_args!("version={version} revision={revision}"),
                    );
                }
            }
            Ok(OperatorRow::Wave(order)) => {
                node.view().waves.insert(order.name.clone(), order);
            }
            Ok(OperatorRow::ZoneDrain(zone)) => self.drain(zone, true),
            Ok(OperatorRow::Other) => {}
            Err(error) => emit(Event::RowRefused, error),
        }
    }
}

impl Operators {
    fn take_all(&self, changes: &[Change]) {
        for change in changes {
            self.take(change);
        }
    }

    /// Records whether a zone is drained.
    fn drain(&self, zone: ZoneName, drained: bool) {
        let mut view = self.0.view();
        let changed = match drained {
            true => view.drained.insert(zone.clone()),
            false => view.drained.remove(&zone),
        };
        if changed {
            emit(Event::ZoneDrained, format_args!("zone={zone} drained={drained}"));
        }
    }
}

impl Follower for Operators {
    fn table(&self) -> &'static str {
        self.0.services.row_format.operator_table()
    }

    fn poll_wait(&self) -> Millis {
        if relay::allows_relayed_age(&self.0) { RELAY_POLL_WAIT } else { OPERATOR_POLL_WAIT }
    }

    fn reset(&self, page: &FeedPage) {
        let changes = self.0.view().operator_rows.take_table(page);
        self.take_all(&changes);
    }

    fn apply(&self, changes: &[Change]) {
        let newer = self.0.view().operator_rows.take_newer(changes);
        self.take_all(&newer);
    }

    fn has_large_rows(&self) -> bool {
        true
    }

    fn confirm_current(&self, at: Tick, revision: Revision) {
        let mut view = self.0.view();
        view.config_current_at = view.config_current_at.max(at);
        view.config_revision = view.config_revision.max(revision);
    }
}
