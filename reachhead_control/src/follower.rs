//! Polls the store for configuration and membership, and writes this host's heartbeat.
//!
//! The fleet as a whole polls at a fixed rate, so each host's period grows with the number of
//! hosts.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use log::debug;
use rand::Rng;
use reachhead_config::control::FollowSettings;
use reachhead_ops::{
    event::{Event, emit},
    runtime,
};
use reachhead_store::{
    HostLister, Store, StoreError,
    config::{self, ConfigUpdate},
    keys,
    row::{Commit, Row, Scan, Txn},
};
use reachhead_types::{
    boot_instant::BootInstant, hosts::LeavingHosts, id::Incarnation, member::Member, size::Revision,
};
use serde::Deserialize;
use tokio::{sync::watch, time};

use crate::view::View;

/// Maximum number of entry hosts; a single scan returns all of them.
const MAX_MEMBERS: u32 = 1000;

/// Random variation of a period, as a fraction of it, so that hosts don't poll in lockstep.
const JITTER: f64 = 0.1;

/// A task that runs periodically in its own loop.
#[derive(Debug, Clone, Copy)]
enum PeriodicTask {
    /// Writing this host's heartbeat.
    Heartbeat,
    /// Reading the member rows of the entry hosts.
    Members,
    /// Reading the configuration.
    Config,
    /// Reading the platform's list of hosts.
    Hosts,
}

/// This host's member row.
struct OwnRow {
    member: Member,
    /// Revision of the row; `None` while the host is not a member.
    revision: Option<Revision>,
}

/// Polls the store for one host and keeps its member row alive.
pub struct Follower {
    view: Arc<View>,
    store: Arc<dyn Store>,
    hosts: Arc<dyn HostLister>,
    settings: FollowSettings,
    own_row: Mutex<OwnRow>,
}

impl Follower {
    /// Returns a follower that keeps the member row of `own` alive.
    pub fn new(
        view: Arc<View>,
        store: Arc<dyn Store>,
        hosts: Arc<dyn HostLister>,
        settings: FollowSettings,
        own: Member,
    ) -> Self {
        let own_row = Mutex::new(OwnRow { member: own, revision: None });
        Self { view, store, hosts, settings, own_row }
    }

    /// Polls until `stop` turns true, then removes this host from the membership list.
    ///
    /// Each task has its own loop: run one after the other on a slow store, they would refresh the
    /// list so rarely that hosts would stop serving because of its age.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        tokio::join!(
            self.repeat(PeriodicTask::Heartbeat, stop.clone()),
            self.repeat(PeriodicTask::Members, stop.clone()),
            self.repeat(PeriodicTask::Config, stop.clone()),
            self.repeat(PeriodicTask::Hosts, stop),
        );
        self.leave().await;
    }

    /// Runs `task` at once and then once per period, measured from start to start.
    async fn repeat(&self, task: PeriodicTask, mut stop: watch::Receiver<bool>) {
        let mut next_start = time::Instant::now();
        loop {
            tokio::select! {
                () = runtime::wait_for_stop(&mut stop) => break,
                () = time::sleep_until(next_start) => {}
            }
            next_start = time::Instant::now() + self.period(task);
            match task {
                PeriodicTask::Heartbeat => self.send_heartbeat().await,
                PeriodicTask::Members => self.follow_members().await,
                PeriodicTask::Config => self.follow_config().await,
                PeriodicTask::Hosts => self.follow_hosts().await,
            }
        }
    }

    fn own_row(&self) -> MutexGuard<'_, OwnRow> {
        self.own_row.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn period(&self, task: PeriodicTask) -> Duration {
        let period_per_host = match task {
            PeriodicTask::Heartbeat | PeriodicTask::Members => self.settings.members,
            PeriodicTask::Config => self.settings.version,
            PeriodicTask::Hosts => self.settings.hosts,
        };
        let hosts = self.view.members().len().max(1) as u64;
        let jitter = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
        Duration::from_millis(period_per_host.get() * hosts).mul_f64(jitter)
    }

    async fn follow_config(&self) {
        let update = config::fetch(&*self.store, self.view.version()).await;
        self.record_result(match update {
            Ok(None) => Ok(()),
            Ok(Some(ConfigUpdate::Snapshot(snapshot))) => {
                self.view.adopt_snapshot(snapshot);
                Ok(())
            }
            Ok(Some(ConfigUpdate::Delta(delta))) => {
                // A gap means that the log was truncated meanwhile; the next round reads the whole
                // configuration.
                let _ = self.view.apply_delta(&delta);
                Ok(())
            }
            Err(error) => Err(error),
        });
    }

    /// Reads the platform's host list. It is a separate service, so its errors don't count as store
    /// errors.
    async fn follow_hosts(&self) {
        match self.hosts.list(self.view.hosts_revision()).await {
            Ok(Some(list)) => self.view.adopt_leaving(LeavingHosts::from(&list)),
            Ok(None) => {}
            Err(error) => debug!("reading the platform's host list failed: {error}"),
        }
    }

    fn record_result(&self, result: Result<(), StoreError>) {
        if let Err(error) = &result {
            debug!("polling the store failed: {error}");
        }
        self.view.record_store_result(result.is_ok(), BootInstant::now());
    }

    /// Increments the counter in this host's row, or rejoins if the row was removed.
    async fn send_heartbeat(&self) {
        let result = self.write_heartbeat().await;
        self.record_result(result);
    }

    async fn write_heartbeat(&self) -> Result<(), StoreError> {
        let (txn, incarnation) = {
            let mut own = self.own_row();
            let key = keys::member(&own.member.host);
            let mut txn = Txn::new();
            match own.revision {
                Some(_) => txn = txn.with_check(key.clone(), own.revision),
                // Any existing row belongs to an earlier incarnation, which this write replaces.
                None => own.member.incarnation = Incarnation(rand::random()),
            }
            own.member.counter += 1;
            let value = serde_json::to_value(&own.member)
                .map_err(|error| StoreError::Refused(error.to_string()))?;
            (txn.with_write(key, value), own.member.incarnation)
        };
        // A conflict needs no handling here: the next read shows the row's current state.
        if let Commit::Done(revision) = self.store.commit(txn).await? {
            let mut own = self.own_row();
            own.revision = own.revision.max(Some(revision));
        }
        self.view.set_own_incarnation(incarnation);
        Ok(())
    }

    async fn follow_members(&self) {
        let result = self.refresh_members().await;
        self.record_result(result);
    }

    async fn refresh_members(&self) -> Result<(), StoreError> {
        let scan = Scan { prefix: keys::MEMBER_PREFIX.to_owned(), after: None, limit: MAX_MEMBERS };
        let started_at = BootInstant::now();
        let page = self.store.scan(scan).await?;
        // Record the end of an outage before processing the rows: no heartbeat made progress during
        // it, which is no evidence against any host.
        self.record_result(Ok(()));
        // A row that can't be parsed was written by another release; its host is not counted as a
        // member.
        let parse = |row: &Row| Some((Member::deserialize(&row.value).ok()?, row.revision));
        let rows: Vec<(Member, Revision)> = page.rows.iter().filter_map(parse).collect();
        self.update_own_row(&rows, page.revision);
        let members = rows.into_iter().map(|(member, _)| member).collect();
        let now = BootInstant::now();
        for host in self.view.process_members(members, page.revision, started_at, now) {
            let key = keys::member(&host);
            let seen = page.rows.iter().find(|row| row.key == key).map(|row| row.revision);
            emit(Event::MemberGone, &host);
            self.store.commit(Txn::new().with_check(key.clone(), seen).with_delete(key)).await?;
        }
        Ok(())
    }

    /// Updates the revision of this host's row from the rows read at `read_revision`; `None` if it
    /// was removed.
    fn update_own_row(&self, rows: &[(Member, Revision)], read_revision: Revision) {
        let mut own = self.own_row();
        if own.revision.is_some_and(|known| known > read_revision) {
            // The read is older than this host's latest write.
            return;
        }
        let own_entry = rows.iter().find(|(member, _)| member.id() == own.member.id());
        let found = own_entry.map(|(_, revision)| *revision);
        if own.revision.is_some() && found.is_none() {
            emit(Event::TakenOff, &own.member.host);
        }
        own.revision = found;
    }

    /// Deletes this host's member row, unless a newer incarnation has overwritten it.
    async fn leave(&self) {
        let (key, revision) = {
            let own = self.own_row();
            (keys::member(&own.member.host), own.revision)
        };
        let txn = Txn::new().with_check(key.clone(), revision).with_delete(key);
        if let Err(error) = self.store.commit(txn).await {
            debug!("deleting the member row failed: {error}");
        }
    }
}
