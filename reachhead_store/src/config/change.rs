//! Making a change: one transaction, safe to repeat after a lost answer.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::Rng;
use reachhead_types::{
    fleet::{Fleet, RowFault, RowKey},
    id::OperatorName,
    scope::{self, Scope},
    size::{Millis, Revision, Version},
    snapshot::{Change, ConfigSnapshot, Delta},
};
use serde::Serialize;
use serde_json::Value;
use tokio::time;

use crate::{
    Store, StoreError,
    config::{
        ChangeError, ChangeRequest, ChangeRow, ConfigRow, ConfigWrite, HeadRow, LogRow,
        LoggedWrite,
        follow::{follow, parse_head},
    },
    keys,
    row::{Check, Commit, Scan, Txn},
};

/// Times that a change is tried against racing changes and lost answers.
const TRY_LIMIT: u32 = 12;

/// Longest first pause between two tries of a change, in milliseconds; it doubles.
const FIRST_PAUSE: u64 = 10;

/// Longest pause between two tries, in milliseconds.
const LAST_PAUSE: u64 = 500;

/// Makes the changes of one operator's request, all or none, and returns their version.
pub struct ConfigWriter<'s> {
    store: &'s dyn Store,
    operator: OperatorName,
    scope: Scope,
    at: Millis,
}

/// The rows of one attempt before and after the change.
struct Step {
    before: Fleet,
    after: Fleet,
    next: ConfigSnapshot,
}

impl<'s> ConfigWriter<'s> {
    /// Returns a writer on behalf of `operator`; `at` is the wall clock, for people to read.
    pub fn new(store: &'s dyn Store, operator: OperatorName, at: Millis) -> Self {
        Self { store, operator, scope: Scope::Tree, at }
    }

    /// Limits the operator's word to `scope`.
    #[must_use]
    pub fn with_scope(mut self, scope: Scope) -> Self {
        self.scope = scope;
        self
    }

    /// Makes the change, with `snapshot` as the cache of rows that it is checked against.
    ///
    /// # Errors
    ///
    /// See [`ChangeError`]; only `Unknown` leaves open whether the change was made.
    pub async fn change(
        &self,
        snapshot: &mut ConfigSnapshot,
        request: &ChangeRequest,
    ) -> Result<Version, ChangeError> {
        let mut lost = None;
        let mut pause = FIRST_PAUSE;
        for _ in 0..TRY_LIMIT {
            match self.attempt(snapshot, request).await {
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
        snapshot: &mut ConfigSnapshot,
        request: &ChangeRequest,
    ) -> Result<Option<Version>, ChangeError> {
        let keys = vec![keys::change(request.id), keys::head()];
        let rows = self.store.read(keys).await.map_err(ChangeError::NotDone)?;
        if let Some(row) = rows.first().and_then(Option::as_ref) {
            // A repeat, or the first try's answer was lost: say what became of it.
            let row: ChangeRow = row.parse().map_err(ChangeError::NotDone)?;
            return Ok(Some(row.version));
        }
        let head = parse_head(rows.get(1)).map_err(ChangeError::NotDone)?;
        if head.row.version != snapshot.version() {
            follow(self.store, snapshot).await.map_err(ChangeError::NotDone)?;
            return Ok(None);
        }
        check_distinct(request)?;
        let step = self.step(snapshot, request)?;
        let mut txn = self.txn(snapshot, &step, request, head.revision);
        txn.checks.extend(self.empty_pools(request).await?);
        match self.store.commit(txn).await {
            Ok(Commit::Done(_)) => {
                *snapshot = step.next;
                Ok(Some(step.after.version))
            }
            Ok(Commit::Conflict(_)) => Ok(None),
            Err(StoreError::Lost(text)) => Err(ChangeError::Unknown(StoreError::Lost(text))),
            Err(error) => Err(ChangeError::NotDone(error)),
        }
    }

    /// Makes sure that each pool that is deleted has no hosts; adding one moves the pool's head.
    async fn empty_pools(&self, request: &ChangeRequest) -> Result<Vec<Check>, ChangeError> {
        let mut checks = Vec::new();
        for ConfigWrite { key, value, .. } in &request.writes {
            let (RowKey::Pool(pool), None) = (key, value) else {
                continue;
            };
            let head = keys::pool_head(pool);
            let rows = self.store.read(vec![head.clone()]).await.map_err(ChangeError::NotDone)?;
            let revision = rows.into_iter().next().flatten().map(|row| row.revision);
            checks.push(Check { key: head, revision });
            let scan = Scan { prefix: keys::pool_hosts(pool), after: None, limit: 1 };
            let page = self.store.scan(scan).await.map_err(ChangeError::NotDone)?;
            if !page.rows.is_empty() {
                let fault = RowFault { key: key.clone(), text: "still has hosts".to_owned() };
                return Err(ChangeError::Invalid(vec![fault]));
            }
        }
        Ok(checks)
    }

    /// Works the change out and checks it; what the operator may not touch comes first, so that no
    /// other fault tells of it.
    fn step(
        &self,
        snapshot: &ConfigSnapshot,
        request: &ChangeRequest,
    ) -> Result<Step, ChangeError> {
        let keys: Vec<RowKey> = request.writes.iter().map(|write| write.key.clone()).collect();
        let before =
            Fleet::from_rows(snapshot.version(), snapshot.rows()).map_err(ChangeError::Invalid)?;
        self.allow(&before, &before, &keys)?;
        check_expected(snapshot, request)?;
        let version = snapshot.version().next();
        let mut next = snapshot.clone();
        let gap = |_| ChangeError::NotDone(StoreError::NotDone("the book moved".to_owned()));
        next.apply(&delta(snapshot, request)).map_err(gap)?;
        let faulty = |faults| ChangeError::Invalid(self.own_faults(&before, &keys, faults));
        let after = Fleet::from_rows(version, next.rows()).map_err(faulty)?;
        self.allow(&before, &after, &keys)?;
        Ok(Step { before, after, next })
    }

    fn allow(&self, before: &Fleet, after: &Fleet, keys: &[RowKey]) -> Result<(), ChangeError> {
        if self.scope == Scope::Tree {
            return Ok(());
        }
        let denied = self.scope.denied(before, after, keys);
        match denied.is_empty() {
            true => Ok(()),
            false => Err(ChangeError::Forbidden(denied)),
        }
    }

    /// Leaves out of `faults` what would tell the operator of rows that it may not read.
    fn own_faults(&self, before: &Fleet, keys: &[RowKey], faults: Vec<RowFault>) -> Vec<RowFault> {
        if self.scope == Scope::Tree {
            return faults;
        }
        let is_own = |key: &RowKey| keys.contains(key) || self.scope.can_read(before, key);
        let (mut own, others): (Vec<RowFault>, Vec<RowFault>) =
            faults.into_iter().partition(|fault| is_own(&fault.key));
        if let (Some(key), false) = (keys.first(), others.is_empty()) {
            let text = "rows of other groups need what the change takes away".to_owned();
            own.push(RowFault { key: key.clone(), text });
        }
        own
    }

    fn txn(
        &self,
        snapshot: &ConfigSnapshot,
        step: &Step,
        request: &ChangeRequest,
        head: Option<Revision>,
    ) -> Txn {
        let version = step.after.version;
        // Every change moves the head, so its revision vouches for every row.
        let mut txn = Txn::new()
            .with_check(keys::head(), head)
            .with_check(keys::change(request.id), None)
            .with_write(keys::head(), json(&HeadRow { version }))
            .with_write(keys::change(request.id), json(&ChangeRow { version }))
            .with_write(keys::log(version), json(&self.log(snapshot, step, request)));
        for ConfigWrite { key, value, .. } in &request.writes {
            txn = txn.with_write(keys::history(key, version), json(&ChangeRow { version }));
            txn = match value.clone() {
                Some(value) => {
                    txn.with_write(keys::config(key), json(&ConfigRow { version, value }))
                }
                None => txn.with_delete(keys::config(key)),
            };
        }
        txn
    }

    fn log(&self, snapshot: &ConfigSnapshot, step: &Step, request: &ChangeRequest) -> LogRow {
        let writes = request.writes.iter().map(|ConfigWrite { key, value, .. }| LoggedWrite {
            key: key.clone(),
            value: value.clone(),
            before: snapshot.get(key).cloned(),
            reader: scope::change_reader(&step.before, &step.after, key),
        });
        LogRow {
            version: step.after.version,
            id: request.id,
            operator: self.operator.clone(),
            at: self.at,
            writes: writes.collect(),
        }
    }
}

/// Returns the change as what it does to `snapshot`.
fn delta(snapshot: &ConfigSnapshot, request: &ChangeRequest) -> Delta {
    let version = snapshot.version().next();
    let changes = request.writes.iter().map(|ConfigWrite { key, value, .. }| Change {
        key: key.clone(),
        value: value.clone().map(Arc::new),
        version,
    });
    Delta { from: snapshot.version(), to: version, changes: changes.collect() }
}

/// Returns the JSON of a row; these types have no map whose keys JSON can't write.
fn json(row: &impl Serialize) -> Value {
    serde_json::to_value(row).unwrap_or(Value::Null)
}

/// Refuses a change that writes one row twice: which of the two was meant can't be told.
fn check_distinct(request: &ChangeRequest) -> Result<(), ChangeError> {
    let mut seen = BTreeSet::new();
    let twice = request.writes.iter().filter(|write| !seen.insert(&write.key));
    let faults: Vec<RowFault> = twice
        .map(|write| {
            let text = "is written twice in one change".to_owned();
            RowFault { key: write.key.clone(), text }
        })
        .collect();
    match faults.is_empty() {
        true => Ok(()),
        false => Err(ChangeError::Invalid(faults)),
    }
}

/// Refuses a change of rows that another operator changed since they were read.
fn check_expected(snapshot: &ConfigSnapshot, request: &ChangeRequest) -> Result<(), ChangeError> {
    let raced: Vec<RowKey> = request
        .writes
        .iter()
        .filter(|write| write.expected.is_some_and(|seen| seen != snapshot.row_version(&write.key)))
        .map(|write| write.key.clone())
        .collect();
    match raced.is_empty() {
        true => Ok(()),
        false => Err(ChangeError::Raced(raced)),
    }
}
