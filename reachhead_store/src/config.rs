//! The configuration in the store: following it, and changing it by one transaction a change.
//!
//! docs/CONFIGURATION.md gives the rows and why a change with a lost answer is safe to repeat.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::Rng;
use reachhead_types::{
    book::{Book, Change, Delta, GapError},
    fleet::{Fleet, RowFault, RowKey},
    id::{ChangeId, OperatorName},
    size::{Millis, Revision, Version},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use thiserror::Error;
use tokio::time;

use crate::{
    Store, StoreError, keys,
    row::{Commit, Row, Scan, Txn},
};

/// Versions that a follower catches up by reading the log; further behind, it reads all rows.
const LOG_LIMIT: u32 = 64;

/// Rows that one scan returns.
const PAGE_SIZE: u32 = 250;

/// Times that a change is tried against racing changes and lost answers.
const TRY_LIMIT: u32 = 12;

/// Longest first pause between two tries of a change, in milliseconds; it doubles.
const FIRST_PAUSE: u64 = 10;

/// Longest pause between two tries, in milliseconds.
const LAST_PAUSE: u64 = 500;

/// The row of [`keys::head`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HeadRow {
    /// The newest version.
    pub version: Version,
}

/// A configuration row as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// The version that wrote it.
    pub version: Version,
    /// Its value.
    pub value: Value,
}

/// One write of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigWrite {
    /// The row.
    pub key: RowKey,
    /// Its new value; `None` deletes it.
    #[serde(default)]
    pub value: Option<Value>,
    /// The version that the operator saw the row at, 0 for no row; `None` overwrites whatever is
    /// there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<Version>,
}

/// A change as an operator asks for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Drawn by the client; a second request with the same id changes nothing more.
    pub id: ChangeId,
    /// The writes, all or none.
    pub writes: Vec<ConfigWrite>,
}

/// The row of [`keys::log`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRow {
    /// The version that the change became.
    pub version: Version,
    /// The change.
    pub id: ChangeId,
    /// Who asked for it.
    pub operator: OperatorName,
    /// When, in milliseconds since the Unix epoch by the admin host's clock; only for people.
    pub at: Millis,
    /// What it wrote.
    pub writes: Vec<ConfigWrite>,
}

/// The row of [`keys::change`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRow {
    /// The version that the change became.
    pub version: Version,
}

/// Why a change was not accepted.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// The rows would have faults.
    #[error("{} fault(s)", .0.len())]
    Faulty(Vec<RowFault>),
    /// Another operator changed these rows since they were read.
    #[error("changed since they were read: {0:?}")]
    Raced(Vec<RowKey>),
    /// The store did not take it; nothing changed.
    #[error("nothing changed: {0}")]
    NotDone(StoreError),
    /// Its answer is lost; asking again with the same id is safe.
    #[error("it may have been accepted, ask again with the same id: {0}")]
    Unknown(StoreError),
}

/// What a follower lacks.
#[derive(Debug)]
pub enum News {
    /// The changes after its version.
    Delta(Delta),
    /// Everything, since the log does not reach back so far.
    Whole(Book),
}

/// Returns what a follower at version `have` lacks, or `None` if that is the newest.
///
/// # Errors
///
/// Any [`StoreError`].
pub async fn fetch(store: &dyn Store, have: Version) -> Result<Option<News>, StoreError> {
    let head = read_head(store).await?.row;
    if head.version <= have {
        return Ok(None);
    }
    let delta = match head.version.0 - have.0 <= u64::from(LOG_LIMIT) {
        true => read_log(store, have).await?,
        false => None,
    };
    match delta {
        Some(delta) => Ok(Some(News::Delta(delta))),
        None => read_whole(store, head.version).await.map(|book| Some(News::Whole(book))),
    }
}

/// Brings `book` up to the newest version and tells whether it went up.
///
/// # Errors
///
/// Any [`StoreError`]; the book is then as it was.
pub async fn follow(store: &dyn Store, book: &mut Book) -> Result<bool, StoreError> {
    match fetch(store, book.version()).await? {
        None => Ok(false),
        Some(News::Delta(delta)) => book.apply(&delta).map_err(|gap| gap_error(&gap)),
        Some(News::Whole(whole)) => {
            *book = whole;
            Ok(true)
        }
    }
}

fn gap_error(gap: &GapError) -> StoreError {
    StoreError::NotDone(format!("the log has a gap: {gap}"))
}

struct Head {
    row: HeadRow,
    revision: Option<Revision>,
}

async fn read_head(store: &dyn Store) -> Result<Head, StoreError> {
    parse_head(store.read(vec![keys::head()]).await?.first())
}

fn parse_head(row: Option<&Option<Row>>) -> Result<Head, StoreError> {
    match row.and_then(Option::as_ref) {
        Some(row) => Ok(Head { row: parse(row)?, revision: Some(row.revision) }),
        None => Ok(Head { row: HeadRow::default(), revision: None }),
    }
}

fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, StoreError> {
    T::deserialize(&row.value)
        .map_err(|error| StoreError::Refused(format!("row {}: {error}", row.key)))
}

/// Returns the changes after `have`, or `None` if the log does not reach back so far.
async fn read_log(store: &dyn Store, have: Version) -> Result<Option<Delta>, StoreError> {
    let scan = Scan {
        prefix: keys::LOG_PREFIX.to_owned(),
        after: Some(keys::log(have)),
        limit: LOG_LIMIT,
    };
    let page = store.scan(scan).await?;
    let mut changes = BTreeMap::new();
    let mut to = have;
    for row in &page.rows {
        let log: LogRow = parse(row)?;
        if log.version != to.next() {
            return Ok(None);
        }
        to = log.version;
        for ConfigWrite { key, value, .. } in log.writes {
            let value = value.map(Arc::new);
            changes.insert(key.clone(), Change { key, value, version: to });
        }
    }
    Ok(Some(Delta { from: have, to, changes: changes.into_values().collect() }))
}

/// Reads all rows; pages of different moments are made one version by the log.
async fn read_whole(store: &dyn Store, before: Version) -> Result<Book, StoreError> {
    let mut changes = Vec::new();
    let mut after = None;
    loop {
        let scan =
            Scan { prefix: keys::CONFIG_PREFIX.to_owned(), after: after.take(), limit: PAGE_SIZE };
        let page = store.scan(scan).await?;
        for row in &page.rows {
            let config: ConfigRow = parse(row)?;
            let name = row.key.0.trim_start_matches(keys::CONFIG_PREFIX);
            let key = name
                .parse()
                .map_err(|error| StoreError::Refused(format!("key {}: {error}", row.key)))?;
            let value = Some(Arc::new(config.value));
            changes.push(Change { key, value, version: config.version });
        }
        after = page.rows.last().map(|row| row.key.clone());
        if !page.more {
            break;
        }
    }
    // The rows hold at least version `before`, some maybe newer; whole writes make it safe to
    // apply the log from `before` on over them.
    let mut book = Book::new();
    let whole = Delta { from: Version(0), to: before, changes };
    book.apply(&whole).map_err(|gap| gap_error(&gap))?;
    match read_log(store, before).await? {
        Some(delta) => book.apply(&delta).map_err(|gap| gap_error(&gap))?,
        None => return Err(StoreError::NotDone("the log has a gap".to_owned())),
    };
    Ok(book)
}

/// Makes the changes of one operator's request, all or none, and returns their version.
pub struct Changer<'s> {
    store: &'s dyn Store,
    operator: OperatorName,
    at: Millis,
}

impl<'s> Changer<'s> {
    /// Returns a changer on behalf of `operator`; `at` is the wall clock, for people to read.
    pub fn new(store: &'s dyn Store, operator: OperatorName, at: Millis) -> Self {
        Self { store, operator, at }
    }

    /// Makes the change, with `book` as the cache of rows that it is checked against.
    ///
    /// # Errors
    ///
    /// See [`ChangeError`]; only `Unknown` leaves open whether the change was made.
    pub async fn change(
        &self,
        book: &mut Book,
        request: &ChangeRequest,
    ) -> Result<Version, ChangeError> {
        let mut lost = None;
        let mut pause = FIRST_PAUSE;
        for _ in 0..TRY_LIMIT {
            match self.attempt(book, request).await {
                Ok(Some(version)) => return Ok(version),
                // Another change came first; with what it changed this one is checked again.
                Ok(None) => {}
                Err(ChangeError::Unknown(error)) => lost = Some(error),
                Err(ChangeError::NotDone(error)) => match lost {
                    Some(error) => return Err(ChangeError::Unknown(error)),
                    None => return Err(ChangeError::NotDone(error)),
                },
                Err(error) => return Err(error),
            }
            let wait = rand::rng().random_range(0..=pause);
            time::sleep(Duration::from_millis(wait)).await;
            pause = (pause * 2).min(LAST_PAUSE);
        }
        let busy = StoreError::NotDone("too many changes at once".to_owned());
        Err(lost.map_or(ChangeError::NotDone(busy), ChangeError::Unknown))
    }

    /// Tries once; `None` means that another change came first.
    async fn attempt(
        &self,
        book: &mut Book,
        request: &ChangeRequest,
    ) -> Result<Option<Version>, ChangeError> {
        let keys = vec![keys::change(request.id), keys::head()];
        let rows = self.store.read(keys).await.map_err(ChangeError::NotDone)?;
        if let Some(row) = rows.first().and_then(Option::as_ref) {
            // A repeat, or the first try's answer was lost: say what became of it.
            let row: ChangeRow = parse(row).map_err(ChangeError::NotDone)?;
            return Ok(Some(row.version));
        }
        let head = parse_head(rows.get(1)).map_err(ChangeError::NotDone)?;
        if head.row.version != book.version() {
            follow(self.store, book).await.map_err(ChangeError::NotDone)?;
            return Ok(None);
        }
        check_expected(book, request)?;
        let version = book.version().next();
        let delta = Delta {
            from: book.version(),
            to: version,
            changes: request
                .writes
                .iter()
                .map(|ConfigWrite { key, value, .. }| Change {
                    key: key.clone(),
                    value: value.clone().map(Arc::new),
                    version,
                })
                .collect(),
        };
        let mut next = book.clone();
        let gap = |_| ChangeError::NotDone(StoreError::NotDone("the book moved".to_owned()));
        next.apply(&delta).map_err(gap)?;
        Fleet::from_rows(version, next.rows()).map_err(ChangeError::Faulty)?;
        let txn = self.txn(request, version, head.revision);
        match self.store.commit(txn).await {
            Ok(Commit::Done(_)) => {
                *book = next;
                Ok(Some(version))
            }
            Ok(Commit::Conflict(_)) => Ok(None),
            Err(StoreError::Lost(text)) => Err(ChangeError::Unknown(StoreError::Lost(text))),
            Err(error) => Err(ChangeError::NotDone(error)),
        }
    }

    fn txn(&self, request: &ChangeRequest, version: Version, head: Option<Revision>) -> Txn {
        let json = |value: Result<Value, serde_json::Error>| value.unwrap_or(Value::Null);
        let log = LogRow {
            version,
            id: request.id,
            operator: self.operator.clone(),
            at: self.at,
            writes: request.writes.clone(),
        };
        // Every change moves the head, so its revision vouches for every row.
        let mut txn = Txn::new()
            .with_check(keys::head(), head)
            .with_check(keys::change(request.id), None)
            .with_write(keys::head(), json(serde_json::to_value(HeadRow { version })))
            .with_write(keys::change(request.id), json(serde_json::to_value(ChangeRow { version })))
            .with_write(keys::log(version), json(serde_json::to_value(log)));
        for ConfigWrite { key, value, .. } in &request.writes {
            let key = keys::config(key);
            txn = match value.clone() {
                Some(value) => {
                    let row = ConfigRow { version, value };
                    txn.with_write(key, json(serde_json::to_value(row)))
                }
                None => txn.with_delete(key),
            };
        }
        txn
    }
}

/// Refuses a change of rows that another operator changed since they were read.
fn check_expected(book: &Book, request: &ChangeRequest) -> Result<(), ChangeError> {
    let raced: Vec<RowKey> = request
        .writes
        .iter()
        .filter(|write| write.expected.is_some_and(|seen| seen != book.row_version(&write.key)))
        .map(|write| write.key.clone())
        .collect();
    match raced.is_empty() {
        true => Ok(()),
        false => Err(ChangeError::Raced(raced)),
    }
}
