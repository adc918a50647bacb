//! Reads the store: the configuration's version, and the members' rows.
//!
//! The whole fleet reads at a fixed rate, so each host's period grows with the number of hosts.

use std::{sync::Arc, time::Duration};

use log::debug;
use rand::Rng;
use reachhead_config::control::FollowSettings;
use reachhead_ops::{
    event::{Event, emit},
    runtime,
};
use reachhead_store::{
    HostLister, Store, StoreError,
    config::{self, News},
    keys,
    row::{Scan, Txn},
};
use reachhead_types::{
    hosts::LeavingHosts, id::Incarnation, member::Member, moment::Moment, size::Revision,
};
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
    hosts: Arc<dyn HostLister>,
    settings: FollowSettings,
    own: Member,
    own_revision: Option<Revision>,
}

impl Follower {
    /// Returns a follower that keeps the row of `own` alive.
    pub fn new(
        view: Arc<View>,
        store: Arc<dyn Store>,
        hosts: Arc<dyn HostLister>,
        settings: FollowSettings,
        own: Member,
    ) -> Self {
        Self { view, store, hosts, settings, own, own_revision: None }
    }

    /// Follows until `stop` turns true, then takes this host off the list.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut version_due = time::Instant::now();
        let mut members_due = time::Instant::now();
        let mut hosts_due = time::Instant::now();
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
                () = time::sleep_until(hosts_due) => {
                    self.follow_hosts().await;
                    hosts_due = time::Instant::now() + self.period(self.settings.hosts.get());
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
        let fetched = config::fetch(&*self.store, self.view.version()).await;
        self.note(match fetched {
            Ok(None) => Ok(()),
            Ok(Some(News::Whole(book))) => {
                self.view.adopt(book);
                Ok(())
            }
            Ok(Some(News::Delta(delta))) => {
                // A gap means that the log was cut meanwhile; the next round reads everything.
                let _ = self.view.apply(&delta);
                Ok(())
            }
            Err(error) => Err(error),
        });
    }

    /// Reads the platform's host list; it is another service, which says nothing of the store.
    async fn follow_hosts(&mut self) {
        match self.hosts.list(self.view.hosts_revision()).await {
            Ok(Some(list)) => self.view.adopt_leaving(LeavingHosts::from(&list)),
            Ok(None) => {}
            Err(error) => debug!("following the host list: {error}"),
        }
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

    /// Counts this host's row up, or puts it on the list again if it was taken off.
    async fn write_own(&mut self) -> Result<(), StoreError> {
        let key = keys::member(&self.own.host);
        let mut txn = Txn::new();
        match self.own_revision {
            Some(_) => txn = txn.with_check(key.clone(), self.own_revision),
            // Whatever row is there belongs to an earlier stay, which this write ends.
            None => self.own.incarnation = Incarnation(rand::random()),
        }
        self.own.counter += 1;
        let value = serde_json::to_value(&self.own)
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        // A conflict needs no answer here: the read that follows shows what the row has become.
        self.store.commit(txn.with_write(key, value)).await?;
        self.view.set_own(self.own.incarnation);
        Ok(())
    }

    async fn read_members(&mut self) -> Result<(), StoreError> {
        let scan =
            Scan { prefix: keys::MEMBER_PREFIX.to_owned(), after: None, limit: MEMBER_LIMIT };
        let begun = Moment::now();
        let page = self.store.scan(scan).await?;
        let mut members = Vec::new();
        let before = self.own_revision.take();
        for row in &page.rows {
            // A row that can't be read belongs to another release; its host is not counted.
            let Ok(member) = Member::deserialize(&row.value) else {
                continue;
            };
            if member.id() == self.own.id() {
                self.own_revision = Some(row.revision);
            }
            members.push(member);
        }
        if before.is_some() && self.own_revision.is_none() {
            emit(Event::TakenOff, &self.own.host);
        }
        for host in self.view.observe(members, page.revision, begun) {
            let key = keys::member(&host);
            let seen = page.rows.iter().find(|row| row.key == key).map(|row| row.revision);
            emit(Event::MemberGone, &host);
            self.store.commit(Txn::new().with_check(key.clone(), seen).with_delete(key)).await?;
        }
        Ok(())
    }

    /// Takes this host off the list, unless a newer stay has written the row since.
    async fn leave(&mut self) {
        let key = keys::member(&self.own.host);
        let txn = Txn::new().with_check(key.clone(), self.own_revision).with_delete(key);
        if let Err(error) = self.store.commit(txn).await {
            debug!("leaving: {error}");
        }
    }
}
