//! The table of leases and members.

use std::sync::Arc;

use reachhead_jobs::{
    clock::Tick,
    ports::{Change, FeedPage},
    record::{FENCED_ROW, LeaseRecord, MEMBER_PART, MemberRecord, OWNER_ROW, SETTLED_ROW},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::row::Key;
use reachhead_types::{
    id::{NodeName, PoolName},
    size::{Millis, Revision},
};

use super::{Follower, LEASE_TABLE, RELAY_POLL_WAIT};
use crate::{node::Node, relay, view::MemberView};

/// How long a poll of the leases waits for changes; each answer confirms an owner's lease.
const LEASE_POLL_WAIT: Millis = Millis(1500);

/// How long a poll of the leases waits in a process that owns nothing and does not watch owners,
/// which needs the leases only to find owners.
const IDLE_LEASE_POLL_WAIT: Millis = Millis(6000);

/// Pause after changes of the leases in a process that is no member and owns nothing: at a first
/// start dozens of leases change one after the other, and each change would answer the polls of all
/// processes. It is well below the interval at which processes join, within which all have to learn
/// who has joined.
const NON_MEMBER_LEASE_PAUSE: Millis = Millis(60);

/// Stores a lease if it is newer, and logs a change of its owner, so that the logs of all processes
/// show how long an ownership change took to reach them.
pub fn update_lease(
    node: &Node,
    pool: PoolName,
    record: LeaseRecord,
    revision: Revision,
    now: Tick,
) {
    let owner = record.owner.clone();
    if node.view().update_lease(pool.clone(), record, revision, now) {
        let owner = owner.as_ref().map_or("nobody", NodeName::as_str);
        emit(Event::OwnerKnown, format_args!("pool={pool} owner={owner} token={revision}"));
    }
}

/// Follows the table of leases and members.
pub struct Leases(pub Arc<Node>);

impl Leases {
    /// Applies a change of a row.
    fn take(&self, change: &Change, now: Tick) {
        match parse_lease_key(&change.row.key) {
            Some(LeaseKey::Member(node)) => self.update_member(node, change),
            Some(LeaseKey::Pool(pool)) if !change.deleted => {
                match change.row.parse::<LeaseRecord>() {
                    Ok(record) => update_lease(&self.0, pool, record, change.row.revision, now),
                    Err(error) => emit(Event::RowRefused, error),
                }
            }
            Some(LeaseKey::Settled(pool)) if !change.deleted => match change.row.parse() {
                Ok(record) => _ = self.0.view().settled.insert(pool, record),
                Err(error) => emit(Event::RowRefused, error),
            },
            Some(LeaseKey::Fenced(pool)) if !change.deleted => match change.row.parse() {
                Ok(record) => {
                    self.0.view().update_fenced(pool, record, change.row.revision, now);
                }
                Err(error) => emit(Event::RowRefused, error),
            },
            _ => {}
        }
    }

    fn take_all(&self, changes: &[Change], now: Tick) {
        for change in changes {
            self.take(change, now);
        }
    }

    fn update_member(&self, node: NodeName, change: &Change) {
        if change.deleted {
            self.0.view().members.remove(&node);
            return;
        }
        match change.row.parse::<MemberRecord>() {
            Ok(record) => {
                let revision = change.row.revision;
                self.0.view().members.insert(node, MemberView { record, revision });
            }
            Err(error) => emit(Event::RowRefused, error),
        }
    }
}

impl Follower for Leases {
    fn table(&self) -> &'static str {
        LEASE_TABLE
    }

    fn poll_wait(&self) -> Millis {
        if self.0.is_idle() {
            IDLE_LEASE_POLL_WAIT
        } else if relay::allows_relayed_age(&self.0) {
            RELAY_POLL_WAIT
        } else {
            LEASE_POLL_WAIT
        }
    }

    fn pause_after_changes(&self) -> Millis {
        let node = &self.0;
        let member = node.view().members.contains_key(&node.settings.node);
        if node.owns_any() || member { Millis(0) } else { NON_MEMBER_LEASE_PAUSE }
    }

    fn reset(&self, page: &FeedPage) {
        let now = self.0.now();
        let changes = {
            let mut view = self.0.view();
            let listed = |change: &Change| {
                matches!(parse_lease_key(&change.row.key), Some(LeaseKey::Member(_)))
            };
            if view.leases_first_read_at.is_none() {
                view.started_without_members = !page.changes.iter().any(listed);
            }
            view.leases_first_read_at.get_or_insert(now);
            view.lease_rows.take_table(page)
        };
        self.take_all(&changes, now);
    }

    fn apply(&self, changes: &[Change]) {
        let newer = self.0.view().lease_rows.take_newer(changes);
        self.take_all(&newer, self.0.now());
    }

    fn confirm_current(&self, at: Tick, revision: Revision) {
        let mut view = self.0.view();
        view.leases_revision = view.leases_revision.max(revision);
        view.leases_current_at = view.leases_current_at.max(at);
    }
}

enum LeaseKey {
    Member(NodeName),
    Pool(PoolName),
    Settled(PoolName),
    Fenced(PoolName),
}

fn parse_lease_key(key: &Key) -> Option<LeaseKey> {
    let mut parts = key.0.splitn(3, '/').skip(1);
    let (part, rest) = (parts.next()?, parts.next()?);
    if part == MEMBER_PART {
        return rest.parse().ok().map(LeaseKey::Member);
    }
    let kind = match rest {
        OWNER_ROW => LeaseKey::Pool,
        SETTLED_ROW => LeaseKey::Settled,
        FENCED_ROW => LeaseKey::Fenced,
        // A later release may write other rows.
        _ => return None,
    };
    part.parse().ok().map(kind)
}
