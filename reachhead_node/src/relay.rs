//! Following tables of the store by way of a member, and passing them on.
//!
//! A process that is no member and owns nothing asks a member for what operators wrote and for the leases. What it is told is as
//! good as the member's own knowledge, and it counts as old as that was. Whenever a member does not answer, or does not know, the
//! store itself is asked.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::seq::IteratorRandom;
use reachhead_jobs::{
    clock::Tick,
    ports::{FeedError, FeedPage},
    relay::TableChangeLog,
};
use reachhead_store::StoreError;
use reachhead_types::size::{Millis, Revision};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time};

use crate::{
    admission::config_age,
    follow::LEASE_TABLE,
    lock::locked,
    node::Node,
    peer::{PeerReply, PeerRequest},
};

/// How long a member may hold a question until something changes.
const WAIT: Millis = Millis(500);

/// Longest wait for a member's answer beyond that.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// How old the knowledge of a member may be that is passed on.
const AGE_MOST: Millis = Millis(1900);

/// How old the knowledge of whoever asks a member gets: a poll of the member, and a question to it.
const RELAYED_AGE: Millis = Millis(1700);

/// A question for a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TableRequest {
    /// The table.
    pub table: String,
    /// Up to where it is known; `None` asks for all of it.
    pub after: Option<Revision>,
    /// How long the question may be held until something changes.
    pub wait: Millis,
}

/// The answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TableReply {
    /// The changes, or the whole table.
    Page {
        /// What changed.
        page: FeedPage,
        /// How long the question was held, in milliseconds.
        held: u64,
        /// How old the knowledge was at the end, in milliseconds.
        age: u64,
    },
    /// The changes are not kept; the whole table has to be asked for.
    Forgotten,
    /// This process does not follow the table closely enough itself.
    Unknown,
}

/// What a feed told, and as of when.
pub struct Followed {
    /// The changes.
    pub page: FeedPage,
    /// When the table was so.
    pub at: Tick,
}

/// A table that this process passes on.
struct Passed {
    log: TableChangeLog,
    seen: Tick,
}

/// What is passed on, and whom this process asks.
pub struct Relay {
    tables: Mutex<BTreeMap<&'static str, Passed>>,
    /// The newest change that the store has told of each table.
    told: Mutex<BTreeMap<&'static str, Revision>>,
    changed: watch::Sender<u64>,
    source: Mutex<Option<SocketAddr>>,
}

impl Relay {
    /// Returns a relay that passes nothing on yet.
    pub fn new() -> Self {
        Self {
            tables: Mutex::default(),
            told: Mutex::default(),
            changed: watch::Sender::new(0),
            source: Mutex::default(),
        }
    }

    /// Notes what the store told of a table, as of `at`.
    fn record(&self, table: &'static str, page: &FeedPage, at: Tick) {
        if let Some(newest) = page.changes.iter().map(|change| change.row.revision).max() {
            locked(&self.told).insert(table, newest);
        }
        if let Some(passed) = locked(&self.tables).get_mut(table) {
            passed.log.record(&page.changes, page.revision);
            passed.seen = passed.seen.max(at);
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Begins to pass a table on.
    fn begin(&self, table: &'static str, page: FeedPage, at: Tick) {
        let told = locked(&self.told).get(table).copied().unwrap_or_default();
        // A change that the store told beyond the page meanwhile was not recorded.
        if told <= page.revision {
            locked(&self.tables).insert(table, Passed { log: TableChangeLog::new(page), seen: at });
        }
    }

    /// Returns what is known of a table beyond a revision, and since when that may be old.
    fn known(&self, request: &TableRequest, table: &str) -> Option<(Option<FeedPage>, Tick)> {
        let tables = locked(&self.tables);
        let passed = tables.get(table)?;
        let page = match request.after {
            Some(after) => passed.log.since(after),
            None => Some(passed.log.snapshot()),
        };
        Some((page, passed.seen))
    }
}

/// Tells whether knowledge may be as old as it gets by way of another process.
pub fn may_be_late(node: &Node) -> bool {
    RELAYED_AGE <= config_age(node)
}

/// Tells whether this process leaves the store to others: it owns nothing, members watch the owners, and knowledge may be as
/// old as it gets that way.
pub fn is_relieved(node: &Node) -> bool {
    may_be_late(node) && node.is_idle()
}

/// Returns a whole table.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn table(node: &Node, table: &'static str) -> Result<Followed, StoreError> {
    let at = node.now();
    if is_relieved(node)
        && let Some(TableReply::Page { page, held, age }) = ask(node, table, None, WAIT).await
    {
        return Ok(followed(at, page, held, age));
    }
    let at = node.now();
    let page = node.services.feed.table(table).await?;
    node.relay.record(table, &page, at);
    Ok(Followed { page, at })
}

/// Waits for changes of a table.
///
/// # Errors
///
/// Any [`FeedError`].
pub async fn changes(
    node: &Node,
    table: &'static str,
    revision: Revision,
    wait: Millis,
) -> Result<Followed, FeedError> {
    let at = node.now();
    if is_relieved(node) {
        match ask(node, table, Some(revision), WAIT).await {
            Some(TableReply::Page { page, held, age }) => return Ok(followed(at, page, held, age)),
            Some(TableReply::Forgotten) => return Err(FeedError::Forgotten),
            Some(TableReply::Unknown) | None => {}
        }
    }
    let at = node.now();
    let page = node.services.feed.changes(table, revision, wait).await?;
    node.relay.record(table, &page, at);
    Ok(Followed { page, at })
}

/// The answer was made `held` after the question came, which was sent at `sent`, by knowledge that was `age` old then.
fn followed(sent: Tick, page: FeedPage, held: u64, age: u64) -> Followed {
    Followed { page, at: (sent + Millis(held)) - Millis(age) }
}

/// Asks a member; `None` if none answers. One that does not know is not asked again soon.
async fn ask(
    node: &Node,
    table: &'static str,
    after: Option<Revision>,
    wait: Millis,
) -> Option<TableReply> {
    let source = source(node)?;
    let question = PeerRequest::Table(TableRequest { table: table.to_owned(), after, wait });
    let deadline = wait.duration() + ANSWER_TIME;
    let reply = match node.peers.ask(source, &question, deadline).await {
        Ok(PeerReply::Table(reply)) => Some(reply),
        Ok(_) => None,
        Err(error) => {
            log::info!("table={table} is not told by {source}: {error}");
            None
        }
    };
    if !matches!(reply, Some(TableReply::Page { .. } | TableReply::Forgotten)) {
        *locked(&node.relay.source) = None;
    }
    reply
}

/// Returns the member that this process asks, another one after each that failed.
fn source(node: &Node) -> Option<SocketAddr> {
    let mut source = locked(&node.relay.source);
    if source.is_none() {
        let view = node.view();
        let members = view.members.iter().filter(|(name, _)| **name != node.settings.node);
        *source = members.map(|(_, member)| member.record.address).choose(&mut rand::rng());
    }
    *source
}

/// Answers a process that asks for a table.
pub async fn answer(node: &Arc<Node>, request: TableRequest) -> TableReply {
    let row_format = &node.services.row_format;
    let tables = [row_format.operator_table(), LEASE_TABLE];
    let Some(table) = tables.into_iter().find(|table| *table == request.table) else {
        return TableReply::Unknown;
    };
    if is_relieved(node) {
        return TableReply::Unknown;
    }
    let wait = request.wait.min(WAIT);
    let mut changed = node.relay.changed.subscribe();
    if node.relay.known(&request, table).is_none() {
        begin(node, table).await;
    }
    let begun = node.now();
    loop {
        let now = node.now();
        let held = now.since(begun);
        let Some((page, seen)) = node.relay.known(&request, table) else {
            return TableReply::Unknown;
        };
        let age = now.since(seen);
        if age > AGE_MOST || node.view().store_failing {
            return TableReply::Unknown;
        }
        let Some(page) = page else {
            return TableReply::Forgotten;
        };
        if !page.changes.is_empty() || request.after.is_none() || held >= wait {
            return TableReply::Page { page, held: held.0, age: age.0 };
        }
        let left = Millis(wait.0 - held.0).duration();
        // Either end of the wait leads to another look.
        let _ = time::timeout(left, changed.changed()).await;
    }
}

/// Returns what a member knows now of a table beyond a revision, if this process leaves the store to others; members hear of a
/// change within milliseconds.
pub async fn glance(node: &Node, table: &'static str, after: Revision) -> Option<Followed> {
    if !is_relieved(node) {
        return None;
    }
    let at = node.now();
    match ask(node, table, Some(after), Millis(0)).await {
        Some(TableReply::Page { page, held, age }) => Some(followed(at, page, held, age)),
        _ => None,
    }
}

/// Returns what a member knows of the leases, if the store turns this process away and it owns nothing: it may have been turned
/// away before it knew who owns what. Nothing else is believed on that word.
pub async fn leases_of_member(node: &Node) -> Option<FeedPage> {
    if node.owns_any() {
        return None;
    }
    node.outage()?;
    match ask(node, LEASE_TABLE, None, Millis(0)).await {
        Some(TableReply::Page { page, .. }) => Some(page),
        _ => None,
    }
}

/// Reads a table for those that ask for it; from then on what the followers hear is passed on.
async fn begin(node: &Node, table: &'static str) {
    let at = node.now();
    match node.services.feed.table(table).await {
        Ok(page) => node.relay.begin(table, page, at),
        Err(error) => log::info!("table={table} can't be passed on: {error}"),
    }
}
