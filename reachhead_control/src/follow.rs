//! Reads the store: the configuration's version, and the members' rows.
//!
//! The whole fleet reads at a fixed rate, so each host's period grows with the number of hosts.

use std::{sync::Arc, time::Duration};

use log::debug;
use rand::Rng;
use reachhead_config::control::FollowSettings;
use reachhead_ops::runtime;
use reachhead_store::{
    Store, StoreError, config, keys,
    row::{Commit, Scan, Txn},
};
use reachhead_types::{member::Member, size::Revision};
use serde::Deserialize;
use tokio::{sync::watch, time};

use crate::view::View;

/// Entry hosts at most: one scan has them all.
const MEMBER_LIMIT: u32 = 1000;

/// How far a period is varied, as a share of it, so that hosts don't read in step.
const JITTER: f64 = 0.1;

/// Follows the store on behalf of one host.
pub struct Follower {
    view: Arc<View>,
    store: Arc<dyn Store>,
    settings: FollowSettings,
    own: Member,
    own_revision: Option<Revision>,
}

impl Follower {
    /// Returns a follower that keeps the row of `own` alive.
    pub fn new(
        view: Arc<View>,
        store: Arc<dyn Store>,
        settings: FollowSettings,
        own: Member,
    ) -> Self {
        Self { view, store, settings, own, own_revision: None }
    }

    /// Follows until `stop` turns true, then takes this host off the list.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut version_due = time::Instant::now();
        let mut members_due = time::Instant::now();
        loop {
            tokio::select! {
                () = runtime::stopped(&mut stop) => break,
                () = time::sleep_until(members_due) => {
                    self.exchange_members().await;
                    members_due = time::Instant::now() + self.period(self.settings.members.get());
                }
                () = time::sleep_until(version_due) => {
                    self.follow_version().await;
                    version_due = time::Instant::now() + self.period(self.settings.version.get());
                }
            }
        }
        self.leave().await;
    }

    fn period(&self, base: u64) -> Duration {
        let hosts = self.view.members().len().max(1) as u64;
        let jitter = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
        Duration::from_millis(base * hosts).mul_f64(jitter)
    }

    async fn follow_version(&mut self) {
        let mut book = self.view.book();
        let followed = config::follow(&*self.store, &mut book).await;
        if let Ok(true) = followed {
            self.view.adopt(book);
        }
        self.note(followed.map(drop));
    }

    async fn exchange_members(&mut self) {
        let written = self.write_own().await;
        self.note(written);
        let read = self.read_members().await;
        self.note(read);
    }

    fn note(&self, result: Result<(), StoreError>) {
        if let Err(error) = &result {
            debug!("following the store: {error}");
        }
        self.view.note_store(result.is_ok());
    }

    async fn write_own(&mut self) -> Result<(), StoreError> {
        self.own.counter += 1;
        let key = keys::member(&self.own.host);
        let value = serde_json::to_value(&self.own)
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        // The row is this host's own: no check, the newest incarnation simply writes over it.
        match self.store.commit(Txn::new().with_write(key, value)).await? {
            Commit::Done(revision) => self.own_revision = Some(revision),
            Commit::Conflict(_) => {}
        }
        Ok(())
    }

    async fn read_members(&mut self) -> Result<(), StoreError> {
        let scan =
            Scan { prefix: keys::MEMBER_PREFIX.to_owned(), after: None, limit: MEMBER_LIMIT };
        let page = self.store.scan(scan).await?;
        // A row that can't be read belongs to another release; its host is not counted.
        let members = page.rows.iter().filter_map(|row| Member::deserialize(&row.value).ok());
        let dead = self.view.observe(members.collect());
        for host in dead {
            let key = keys::member(&host);
            let seen = page.rows.iter().find(|row| row.key == key).map(|row| row.revision);
            self.store.commit(Txn::new().with_check(key.clone(), seen).with_delete(key)).await?;
        }
        Ok(())
    }

    /// Takes this host off the list, unless a newer incarnation has written the row since.
    async fn leave(&mut self) {
        let key = keys::member(&self.own.host);
        let txn = Txn::new().with_check(key.clone(), self.own_revision).with_delete(key);
        if let Err(error) = self.store.commit(txn).await {
            debug!("leaving: {error}");
        }
    }
}
