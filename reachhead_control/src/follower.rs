//! Reads the store: the configuration's version, and the members' rows.
//!
//! The whole fleet reads at a fixed rate, so each host's period grows with the number of hosts.

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

/// Entry hosts at most: one scan has them all.
const MEMBER_LIMIT: u32 = 1000;

/// How far a period is varied, as a share of it, so that hosts don't read in step.
const JITTER: f64 = 0.1;

/// What is done again and again.
#[derive(Debug, Clone, Copy)]
enum Duty {
    /// Keeping this host's row alive.
    Heartbeat,
    /// Reading the list of entry hosts.
    Members,
    /// Reading the configuration.
    Version,
    /// Reading the platform's list of hosts.
    Hosts,
}

/// This host's row on the list.
struct OwnRow {
    member: Member,
    /// Its revision, as long as it is on the list.
    revision: Option<Revision>,
}

/// Follows the store on behalf of one host.
pub struct Follower {
    view: Arc<View>,
    store: Arc<dyn Store>,
    hosts: Arc<dyn HostLister>,
    settings: FollowSettings,
    own: Mutex<OwnRow>,
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
        let own = Mutex::new(OwnRow { member: own, revision: None });
        Self { view, store, hosts, settings, own }
    }

    /// Follows until `stop` turns true, then takes this host off the list.
    ///
    /// Each duty has a loop of its own: one after the other, with a slow store, the list would be read so rarely that hosts stopped
    /// serving for its age.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        tokio::join!(
            self.repeat(Duty::Heartbeat, stop.clone()),
            self.repeat(Duty::Members, stop.clone()),
            self.repeat(Duty::Version, stop.clone()),
            self.repeat(Duty::Hosts, stop),
        );
        self.leave().await;
    }

    /// Does a duty at once and then once a period, counted from beginning to beginning.
    async fn repeat(&self, duty: Duty, mut stop: watch::Receiver<bool>) {
        let mut due = time::Instant::now();
        loop {
            tokio::select! {
                () = runtime::wait_for_stop(&mut stop) => break,
                () = time::sleep_until(due) => {}
            }
            due = time::Instant::now() + self.period(duty);
            match duty {
                Duty::Heartbeat => self.write_own().await,
                Duty::Members => self.read_members().await,
                Duty::Version => self.follow_version().await,
                Duty::Hosts => self.follow_hosts().await,
            }
        }
    }

    fn own(&self) -> MutexGuard<'_, OwnRow> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn period(&self, duty: Duty) -> Duration {
        let base = match duty {
            Duty::Heartbeat | Duty::Members => self.settings.members,
            Duty::Version => self.settings.version,
            Duty::Hosts => self.settings.hosts,
        };
        let hosts = self.view.members().len().max(1) as u64;
        let jitter = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
        Duration::from_millis(base.get() * hosts).mul_f64(jitter)
    }

    async fn follow_version(&self) {
        let fetched = config::fetch(&*self.store, self.view.version()).await;
        self.note(match fetched {
            Ok(None) => Ok(()),
            Ok(Some(ConfigUpdate::Whole(snapshot))) => {
                self.view.adopt(snapshot);
                Ok(())
            }
            Ok(Some(ConfigUpdate::Delta(delta))) => {
                // A gap means that the log was cut meanwhile; the next round reads everything.
                let _ = self.view.apply(&delta);
                Ok(())
            }
            Err(error) => Err(error),
        });
    }

    /// Reads the platform's host list; it is another service, which says nothing of the store.
    async fn follow_hosts(&self) {
        match self.hosts.list(self.view.hosts_revision()).await {
            Ok(Some(list)) => self.view.adopt_leaving(LeavingHosts::from(&list)),
            Ok(None) => {}
            Err(error) => debug!("following the host list: {error}"),
        }
    }

    fn note(&self, result: Result<(), StoreError>) {
        if let Err(error) = &result {
            debug!("following the store: {error}");
        }
        self.view.note_store(result.is_ok());
    }

    /// Counts this host's row up, or puts it on the list again if it was taken off.
    async fn write_own(&self) {
        let result = self.count_up().await;
        self.note(result);
    }

    async fn count_up(&self) -> Result<(), StoreError> {
        let (txn, incarnation) = {
            let mut own = self.own();
            let key = keys::member(&own.member.host);
            let mut txn = Txn::new();
            match own.revision {
                Some(_) => txn = txn.with_check(key.clone(), own.revision),
                // Whatever row is there belongs to an earlier stay, which this write ends.
                None => own.member.incarnation = Incarnation(rand::random()),
            }
            own.member.counter += 1;
            let value = serde_json::to_value(&own.member)
                .map_err(|error| StoreError::Refused(error.to_string()))?;
            (txn.with_write(key, value), own.member.incarnation)
        };
        // A conflict needs no answer here: the next read shows what the row has become.
        if let Commit::Done(revision) = self.store.commit(txn).await? {
            let mut own = self.own();
            own.revision = own.revision.max(Some(revision));
        }
        self.view.set_own(incarnation);
        Ok(())
    }

    async fn read_members(&self) {
        let result = self.take_members().await;
        self.note(result);
    }

    async fn take_members(&self) -> Result<(), StoreError> {
        let scan =
            Scan { prefix: keys::MEMBER_PREFIX.to_owned(), after: None, limit: MEMBER_LIMIT };
        let begun = BootInstant::now();
        let page = self.store.scan(scan).await?;
        // First that the store is back, if it was away: during an outage no host's row moved, which tells nothing of the host.
        self.note(Ok(()));
        // A row that can't be read belongs to another release; its host is not counted.
        let known = |row: &Row| Some((Member::deserialize(&row.value).ok()?, row.revision));
        let rows: Vec<(Member, Revision)> = page.rows.iter().filter_map(known).collect();
        self.find_own(&rows, page.revision);
        let members = rows.into_iter().map(|(member, _)| member).collect();
        for host in self.view.observe(members, page.revision, begun) {
            let key = keys::member(&host);
            let seen = page.rows.iter().find(|row| row.key == key).map(|row| row.revision);
            emit(Event::MemberGone, &host);
            self.store.commit(Txn::new().with_check(key.clone(), seen).with_delete(key)).await?;
        }
        Ok(())
    }

    /// Learns from the list as it was at `seen` whether this host is on it, and at which revision.
    fn find_own(&self, rows: &[(Member, Revision)], seen: Revision) {
        let mut own = self.own();
        if own.revision.is_some_and(|known| known > seen) {
            // The read was carried out before this host's newest write.
            return;
        }
        let mine = rows.iter().find(|(member, _)| member.id() == own.member.id());
        let found = mine.map(|(_, revision)| *revision);
        if own.revision.is_some() && found.is_none() {
            emit(Event::TakenOff, &own.member.host);
        }
        own.revision = found;
    }

    /// Takes this host off the list, unless a newer stay has written the row since.
    async fn leave(&self) {
        let (key, revision) = {
            let own = self.own();
            (keys::member(&own.member.host), own.revision)
        };
        let txn = Txn::new().with_check(key.clone(), revision).with_delete(key);
        if let Err(error) = self.store.commit(txn).await {
            debug!("leaving: {error}");
        }
    }
}
