//! Configuration changes: one transaction each, safe to repeat after a lost answer.

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

/// Attempts of a change that loses races against other changes or whose answers are lost.
const MAX_ATTEMPTS: u32 = 12;

/// Upper bound of the random pause after the first attempt; it doubles with each attempt.
const INITIAL_BACKOFF_MS: u64 = 10;

/// Upper bound of the random pause between two attempts.
const MAX_BACKOFF_MS: u64 = 500;

/// Applies configuration changes on behalf of one operator.
pub struct ConfigWriter<'s> {
    store: &'s dyn Store,
    operator: OperatorName,
    scope: Scope,
    at: Millis,
}

/// The configuration before and after the change, for one attempt.
struct PlannedChange {
    before: Fleet,
    after: Fleet,
    next: ConfigSnapshot,
}

impl<'s> ConfigWriter<'s> {
    /// Returns a writer for `operator`; `at` is the wall-clock time to log, for display only.
    pub fn new(store: &'s dyn Store, operator: OperatorName, at: Millis) -> Self {
        Self { store, operator, scope: Scope::Tree, at }
    }

    /// Limits the operator's permissions to `scope`.
    #[must_use]
    pub fn with_scope(mut self, scope: Scope) -> Self {
        self.scope = scope;
        self
    }

    /// Applies a change and returns its version, with `snapshot` as the cache of the current rows.
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
        let mut pause = INITIAL_BACKOFF_MS;
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(snapshot, request).await {
                Ok(Some(version)) => return Ok(version),
                // Another change came first; check this one again on the updated rows.
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
            pause = (pause * 2).min(MAX_BACKOFF_MS);
        }
        let busy = StoreError::NotDone("too many changes at once".to_owned());
        Err(lost.map_or(ChangeError::NotDone(busy), ChangeError::Unknown))
    }

    /// Makes one attempt; returns `None` if another change came first.
    async fn attempt(
        &self,
        snapshot: &mut ConfigSnapshot,
        request: &ChangeRequest,
    ) -> Result<Option<Version>, ChangeError> {
        let keys = vec![keys::change(request.id), keys::head()];
        let rows = self.store.read(keys).await.map_err(ChangeError::NotDone)?;
        if let Some(row) = rows.first().and_then(Option::as_ref) {
            // The request was applied before: it is a repeat, or the answer to an attempt was lost.
            let row: ChangeRow = row.parse().map_err(ChangeError::NotDone)?;
            return Ok(Some(row.version));
        }
        let head = parse_head(rows.get(1)).map_err(ChangeError::NotDone)?;
        if head.row.version != snapshot.version() {
            follow(self.store, snapshot).await.map_err(ChangeError::NotDone)?;
            return Ok(None);
        }
        check_distinct(request)?;
        let planned = self.plan_change(snapshot, request)?;
        let mut txn = self.txn(snapshot, &planned, request, head.revision);
        txn.checks.extend(self.check_deleted_pools(request).await?);
        match self.store.commit(txn).await {
            Ok(Commit::Done(_)) => {
                *snapshot = planned.next;
                Ok(Some(planned.after.version))
            }
            Ok(Commit::Conflict(_)) => Ok(None),
            Err(StoreError::Lost(text)) => Err(ChangeError::Unknown(StoreError::Lost(text))),
            Err(error) => Err(ChangeError::NotDone(error)),
        }
    }

    /// Verifies that each deleted pool has no hosts, and returns checks that keep it so until the
    /// commit: adding a host rewrites the pool's head row.
    async fn check_deleted_pools(
        &self,
        request: &ChangeRequest,
    ) -> Result<Vec<Check>, ChangeError> {
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

    /// Applies the change to a copy of the rows and validates the result.
    ///
    /// Permissions are checked first, so that no other error reveals rows that the operator may not
    /// change.
    fn plan_change(
        &self,
        snapshot: &ConfigSnapshot,
        request: &ChangeRequest,
    ) -> Result<PlannedChange, ChangeError> {
        let keys: Vec<RowKey> = request.writes.iter().map(|write| write.key.clone()).collect();
        let before =
            Fleet::from_rows(snapshot.version(), snapshot.rows()).map_err(ChangeError::Invalid)?;
        self.check_scope(&before, &before, &keys)?;
        check_expected(snapshot, request)?;
        let version = snapshot.version().next();
        let mut next = snapshot.clone();
        let gap = |_| ChangeError::NotDone(StoreError::NotDone("the book moved".to_owned()));
        next.apply(&delta(snapshot, request)).map_err(gap)?;
        let faulty = |faults| ChangeError::Invalid(self.visible_faults(&before, &keys, faults));
        let after = Fleet::from_rows(version, next.rows()).map_err(faulty)?;
        self.check_scope(&before, &after, &keys)?;
        Ok(PlannedChange { before, after, next })
    }

    fn check_scope(
        &self,
        before: &Fleet,
        after: &Fleet,
        keys: &[RowKey],
    ) -> Result<(), ChangeError> {
        if self.scope == Scope::Tree {
            return Ok(());
        }
        let denied = self.scope.denied(before, after, keys);
        match denied.is_empty() {
            true => Ok(()),
            false => Err(ChangeError::Forbidden(denied)),
        }
    }

    /// Replaces faults in rows that the operator may not read by a generic one.
    fn visible_faults(
        &self,
        before: &Fleet,
        keys: &[RowKey],
        faults: Vec<RowFault>,
    ) -> Vec<RowFault> {
        if self.scope == Scope::Tree {
            return faults;
        }
        let is_visible = |key: &RowKey| keys.contains(key) || self.scope.can_read(before, key);
        let (mut visible, hidden): (Vec<RowFault>, Vec<RowFault>) =
            faults.into_iter().partition(|fault| is_visible(&fault.key));
        if let (Some(key), false) = (keys.first(), hidden.is_empty()) {
            let text = "rows of other groups need what the change takes away".to_owned();
            visible.push(RowFault { key: key.clone(), text });
        }
        visible
    }

    fn txn(
        &self,
        snapshot: &ConfigSnapshot,
        planned: &PlannedChange,
        request: &ChangeRequest,
        head: Option<Revision>,
    ) -> Txn {
        let version = planned.after.version;
        // Every change rewrites the head row, so its revision covers all configuration rows.
        let mut txn = Txn::new()
            .with_check(keys::head(), head)
            .with_check(keys::change(request.id), None)
            .with_write(keys::head(), json(&HeadRow { version }))
            .with_write(keys::change(request.id), json(&ChangeRow { version }))
            .with_write(keys::log(version), json(&self.log_row(snapshot, planned, request)));
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

    fn log_row(
        &self,
        snapshot: &ConfigSnapshot,
        planned: &PlannedChange,
        request: &ChangeRequest,
    ) -> LogRow {
        let writes = request.writes.iter().map(|ConfigWrite { key, value, .. }| LoggedWrite {
            key: key.clone(),
            value: value.clone(),
            before: snapshot.get(key).cloned(),
            reader: scope::change_reader(&planned.before, &planned.after, key),
        });
        LogRow {
            version: planned.after.version,
            id: request.id,
            operator: self.operator.clone(),
            at: self.at,
            writes: writes.collect(),
        }
    }
}

/// Returns the delta from `snapshot` to the version of the change.
fn delta(snapshot: &ConfigSnapshot, request: &ChangeRequest) -> Delta {
    let version = snapshot.version().next();
    let changes = request.writes.iter().map(|ConfigWrite { key, value, .. }| Change {
        key: key.clone(),
        value: value.clone().map(Arc::new),
        version,
    });
    Delta { from: snapshot.version(), to: version, changes: changes.collect() }
}

/// Returns a row as JSON; serialization can't fail, since no row has a map with non-string keys.
fn json(row: &impl Serialize) -> Value {
    serde_json::to_value(row).unwrap_or(Value::Null)
}

/// Rejects a change that writes a row twice, since it is not clear which write was intended.
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

/// Rejects a change if one of its rows is no longer at the version that the operator expects.
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
