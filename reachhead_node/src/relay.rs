//! Relays tables of the store between processes, so that most processes don't poll the store.
//!
//! A process that is no member and owns nothing reads the operators' table and the leases from a
//! member. The rows are as good as the member's own state and count as old as that was. If a member
//! does not answer, or its own state is not current, the process asks the store itself.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::seq::IteratorRandom;
use reachhead_jobs::{
    clock::Tick,
    large_answers::LargeAnswers,
    ports::{FeedError, FeedPage},
    relay::TableChangeLog,
};
use reachhead_store::StoreError;
use reachhead_types::size::{ByteRate, Millis, Revision};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time};

use crate::{
    admission::max_config_age,
    config_reads::{log_arrival, poll_operators},
    follow::LEASE_TABLE,
    lock::locked,
    node::Node,
    peer::{PeerReply, PeerRequest},
};

/// Maximum time that a member holds a request until something changes.
const MAX_HOLD: Millis = Millis(500);

/// Timeout of a member's answer beyond [`MAX_HOLD`].
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum age of a member's own state for it to answer from that state.
const MAX_AGE: Millis = Millis(1900);

/// Maximum age that state reaches by way of a member: one poll of the member, and one request to
/// it.
const MAX_RELAYED_AGE: Millis = Millis(1700);

/// A request for a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TableRequest {
    /// The table's name.
    pub table: String,
    /// The revision up to which the rows are known; `None` requests the whole table.
    pub after: Option<Revision>,
    /// The maximum time to hold the request until something changes.
    pub wait: Millis,
}

/// The answer to a [`TableRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TableReply {
    /// The changes, or the whole table.
    Page {
        /// The rows.
        page: FeedPage,
        /// How long the request was held, in milliseconds.
        held: u64,
        /// The age of the state when it was sent, in milliseconds.
        age: u64,
    },
    /// The changes are no longer kept; the whole table has to be requested.
    Forgotten,
    /// This process's own state of the table is not current enough.
    Unknown,
}

/// A page of a feed with the time as of which it is valid.
pub struct DatedPage {
    /// The rows.
    pub page: FeedPage,
    /// When the table was in this state.
    pub at: Tick,
    /// How long the rows took to arrive; not measured for tables of the store other than the operators'.
    pub arrival: Millis,
}

/// A table that this process relays.
struct RelayedTable {
    log: TableChangeLog,
    current_at: Tick,
}

/// The relayed tables, and the member that this process requests tables from.
pub struct Relay {
    tables: Mutex<BTreeMap<&'static str, RelayedTable>>,
    /// The newest change of each table that the store has returned.
    newest_changes: Mutex<BTreeMap<&'static str, Revision>>,
    changed: watch::Sender<u64>,
    source: Mutex<Option<SocketAddr>>,
    sent: Mutex<LargeAnswers>,
    /// Held while a table is read for others, so that it is read once for all of them.
    starting: tokio::sync::Mutex<()>,
}

impl Relay {
    /// Returns a relay without tables, whose answers pass a link of this bandwidth.
    pub fn new(bandwidth: ByteRate) -> Self {
        Self {
            sent: Mutex::new(LargeAnswers::new(bandwidth)),
            starting: tokio::sync::Mutex::default(),
            tables: Mutex::default(),
            newest_changes: Mutex::default(),
            changed: watch::Sender::new(0),
            source: Mutex::default(),
        }
    }

    /// Returns whether an answer of so many bytes may be sent now.
    pub fn admits_answer(&self, bytes: usize, now: Tick) -> bool {
        locked(&self.sent).admit(bytes, now)
    }

    /// Records a whole table that the store returned, valid as of `at`. Rows that were deleted while
    /// no changes were recorded are not in it.
    fn record_table(&self, table: &'static str, page: &FeedPage, at: Tick) {
        self.record_newest(table, page);
        if let Some(relayed) = locked(&self.tables).get_mut(table) {
            *relayed = RelayedTable { log: TableChangeLog::new(page.clone()), current_at: at };
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Records the changes after a revision that the store returned, valid as of `at`.
    fn record_changes(&self, table: &'static str, after: Revision, page: &FeedPage, at: Tick) {
        self.record_newest(table, page);
        let mut tables = locked(&self.tables);
        if let Some(relayed) = tables.get_mut(table) {
            match relayed.log.record(after, page) {
                Ok(()) => relayed.current_at = relayed.current_at.max(at),
                Err(missing) => {
                    log::info!("table={table} is relayed from a new read: {missing}");
                    tables.remove(table);
                }
            }
        }
        drop(tables);
        self.changed.send_modify(|count| *count += 1);
    }

    fn record_newest(&self, table: &'static str, page: &FeedPage) {
        if let Some(newest) = page.changes.iter().map(|change| change.row.revision).max() {
            locked(&self.newest_changes).insert(table, newest);
        }
    }

    /// Starts to relay a table.
    fn start_relaying(&self, table: &'static str, page: FeedPage, at: Tick) {
        let newest = locked(&self.newest_changes).get(table).copied().unwrap_or_default();
        // A change that the store returned beyond the page in the meantime was not recorded in this
        // log.
        if newest <= page.revision {
            locked(&self.tables)
                .insert(table, RelayedTable { log: TableChangeLog::new(page), current_at: at });
        }
    }

    /// Returns the changes of a table after the requested revision, and as of when they are valid.
    /// The page is `None` if they are no longer kept.
    fn changes_after(
        &self,
        request: &TableRequest,
        table: &str,
    ) -> Option<(Option<FeedPage>, Tick)> {
        let tables = locked(&self.tables);
        let relayed = tables.get(table)?;
        let page = match request.after {
            Some(after) => relayed.log.since(after),
            None => Some(relayed.log.snapshot()),
        };
        Some((page, relayed.current_at))
    }
}

/// Returns whether the configured limits allow state as old as relayed state gets.
pub fn allows_relayed_age(node: &Node) -> bool {
    MAX_RELAYED_AGE <= max_config_age(node)
}

/// Returns whether this process reads tables from members instead of the store: it owns nothing,
/// members watch the owners, and state may be as old as it gets that way.
pub fn uses_relay(node: &Node) -> bool {
    allows_relayed_age(node) && node.is_idle()
}

/// Reads a whole table, from a member or the store.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn read_table(node: &Node, table: &'static str) -> Result<DatedPage, StoreError> {
    let _permit = match table == node.services.row_format.operator_table() {
        true => Some(node.config_reads.begin().await),
        false => None,
    };
    read_table_with_permit(node, table).await
}

/// As [`read_table`], for a caller that keeps other reads of the operators' table from beginning.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn read_table_with_permit(
    node: &Node,
    table: &'static str,
) -> Result<DatedPage, StoreError> {
    let at = node.now();
    if uses_relay(node)
        && let Some(TableReply::Page { page, held, age }) =
            request_table(node, table, None, MAX_HOLD).await
    {
        return Ok(dated(node, at, page, held, age));
    }
    let at = node.now();
    let page = node.services.feed.table(table).await?;
    let arrival = match table == node.services.row_format.operator_table() {
        true => log_arrival(node, "table", &page, at),
        false => Millis(0),
    };
    node.relay.record_table(table, &page, at);
    if allows_relayed_age(node) && relayed_tables(node).contains(&table) {
        // Who has the table passes it on; a second read for others would fill the link again.
        node.relay.start_relaying(table, page.clone(), at);
    }
    Ok(DatedPage { page, at, arrival })
}

/// Waits for changes of a table, from a member or the store.
///
/// # Errors
///
/// Any [`FeedError`].
pub async fn poll_changes(
    node: &Node,
    table: &'static str,
    revision: Revision,
    wait: Millis,
) -> Result<DatedPage, FeedError> {
    let at = node.now();
    if uses_relay(node) {
        match request_table(node, table, Some(revision), MAX_HOLD).await {
            Some(TableReply::Page { page, held, age }) => {
                return Ok(dated(node, at, page, held, age));
            }
            Some(TableReply::Forgotten) => return Err(FeedError::Forgotten),
            Some(TableReply::Unknown) | None => {}
        }
    }
    let at = node.now();
    let (page, arrival) = match table == node.services.row_format.operator_table() {
        true => poll_operators(node, table, revision, wait).await?,
        false => (node.services.feed.changes(table, revision, wait).await?, Millis(0)),
    };
    node.relay.record_changes(table, revision, &page, at);
    Ok(DatedPage { page, at, arrival })
}

/// Dates a relayed page: the answer was made `held` after the request, which was sent at `sent`,
/// from state that was `age` old then.
fn dated(node: &Node, sent: Tick, page: FeedPage, held: u64, age: u64) -> DatedPage {
    let made = sent + Millis(held);
    DatedPage { page, at: made - Millis(age), arrival: node.now().since(made) }
}

/// Requests a table from a member; returns `None` if there is no member or it does not answer.
/// After no answer or [`TableReply::Unknown`] the next request goes to a newly chosen member.
async fn request_table(
    node: &Node,
    table: &'static str,
    after: Option<Revision>,
    wait: Millis,
) -> Option<TableReply> {
    let source = choose_member(node)?;
    let message = PeerRequest::Table(TableRequest { table: table.to_owned(), after, wait });
    let deadline = wait.duration() + ANSWER_TIMEOUT;
    let reply = match node.peers.call_large(source, &message, deadline).await {
        Ok(PeerReply::Table(reply)) => Some(reply),
        Ok(_) => None,
        Err(error) => {
            log::info!("table={table} can't be read from member {source}: {error}");
            None
        }
    };
    if !matches!(reply, Some(TableReply::Page { .. } | TableReply::Forgotten)) {
        *locked(&node.relay.source) = None;
    }
    reply
}

/// Returns the member to request from, another one after each that failed.
fn choose_member(node: &Node) -> Option<SocketAddr> {
    let mut source = locked(&node.relay.source);
    if source.is_none() {
        let view = node.view();
        let members = view.members.iter().filter(|(name, _)| **name != node.settings.node);
        *source = members.map(|(_, member)| member.record.address).choose(&mut rand::rng());
    }
    *source
}

/// Returns the tables that are relayed.
fn relayed_tables(node: &Node) -> [&'static str; 2] {
    [node.services.row_format.operator_table(), LEASE_TABLE]
}

/// Answers a process that requests a table.
pub async fn serve(node: &Arc<Node>, request: TableRequest) -> TableReply {
    let Some(table) = relayed_tables(node).into_iter().find(|table| *table == request.table) else {
        return TableReply::Unknown;
    };
    if uses_relay(node) {
        return TableReply::Unknown;
    }
    let wait = request.wait.min(MAX_HOLD);
    let mut changed = node.relay.changed.subscribe();
    let is_full = || locked(&node.relay.sent).is_full(node.now());
    if request.after.is_none() && table != LEASE_TABLE && is_full() {
        return TableReply::Unknown;
    }
    if node.relay.changes_after(&request, table).is_none() {
        start_relaying(node, table, &request).await;
    }
    let received_at = node.now();
    loop {
        let now = node.now();
        let held = now.since(received_at);
        let Some((page, current_at)) = node.relay.changes_after(&request, table) else {
            return TableReply::Unknown;
        };
        let age = now.since(current_at);
        if age > MAX_AGE || node.view().store_failing {
            return TableReply::Unknown;
        }
        let Some(page) = page else {
            return TableReply::Forgotten;
        };
        if !page.changes.is_empty() || request.after.is_none() || held >= wait {
            return TableReply::Page { page, held: held.0, age: age.0 };
        }
        let left = Millis(wait.0 - held.0).duration();
        // The state is checked again after a notification as well as after the timeout.
        let _ = time::timeout(left, changed.changed()).await;
    }
}

/// Returns the changes that a member knows of now, without waiting, if this process reads tables
/// from members; members learn of a change within milliseconds.
pub async fn latest_from_member(
    node: &Node,
    table: &'static str,
    after: Revision,
) -> Option<DatedPage> {
    if !uses_relay(node) {
        return None;
    }
    let at = node.now();
    match request_table(node, table, Some(after), Millis(0)).await {
        Some(TableReply::Page { page, held, age }) => Some(dated(node, at, page, held, age)),
        _ => None,
    }
}

/// Returns a member's leases, if this process owns nothing and the store rejects it: it may have
/// been rejected before it knew the owners. Only leases are taken from a member in this case.
pub async fn leases_from_member(node: &Node) -> Option<FeedPage> {
    if node.owns_any() {
        return None;
    }
    node.store_outage()?;
    match request_table(node, LEASE_TABLE, None, Millis(0)).await {
        Some(TableReply::Page { page, .. }) => Some(page),
        _ => None,
    }
}

/// Reads a table that others request; from then on the changes that the followers receive are
/// relayed.
async fn start_relaying(node: &Node, table: &'static str, request: &TableRequest) {
    let _starting = node.relay.starting.lock().await;
    if node.relay.changes_after(request, table).is_some() {
        return;
    }
    let at = node.now();
    match node.services.feed.table(table).await {
        Ok(page) => node.relay.start_relaying(table, page, at),
        Err(error) => log::info!("table={table} can't be relayed: {error}"),
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
