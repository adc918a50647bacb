//! This host's view of the fleet: configuration, membership, and how old both are.

use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use reachhead_link::message::{ListStamp, MemberList};
use reachhead_ops::event::{Event, emit};
use reachhead_pool::{
    budget::MinionPlacements,
    controller::{PoolState, RoundInput},
    lease::Candidate,
};
use reachhead_types::{
    boot_instant::BootInstant,
    fleet::{Fleet, RowKey},
    hosts::LeavingHosts,
    id::{HostId, Incarnation},
    member::{Member, MemberId},
    size::{Millis, Revision, Version},
    snapshot::{ConfigSnapshot, Delta, GapError},
};
use serde::Serialize;

use crate::{member_table::MemberTable, timeouts::Timeouts};

/// State shared by the threads of this process.
pub struct View {
    state: Mutex<State>,
    /// Signalled when a new version is in force or the store is lost or back, so that gossip starts
    /// a round at once.
    changed: Condvar,
    host: HostId,
    timeouts: Timeouts,
}

/// What a peer reports about its membership list.
pub struct PeerList {
    /// Whether the peer's last call to the store failed.
    pub is_store_lost: bool,
    /// Upper bound of the age of its list; `None` if the list was never confirmed.
    pub age: Option<Duration>,
}

struct State {
    snapshot: ConfigSnapshot,
    members: MemberTable,
    leaving: LeavingHosts,
    /// This host's incarnation, once it has written its member row.
    own_incarnation: Option<Incarnation>,
    entry_version: Version,
    /// When the store last answered a call of this host.
    last_store_contact: Option<BootInstant>,
    /// Latest instant at which the membership list is known to have been current.
    list_confirmed_at: Option<BootInstant>,
    store_lost: bool,
    /// Start of the current or last store outage.
    outage_start: BootInstant,
    /// The configuration version last sent by gossip.
    gossiped_version: Version,
    /// Pools owned by this host.
    pools: Vec<PoolState>,
}

/// The view as serialized for `/state`.
#[derive(Debug, Serialize)]
pub struct ViewState {
    host: HostId,
    version: Version,
    entry_version: Version,
    members: Vec<Member>,
    leaving: LeavingHosts,
    rows: usize,
    store_heard: Option<Millis>,
    list_age: Option<Millis>,
    pools: Vec<PoolState>,
}

/// Input of a gossip round.
pub struct GossipRound {
    /// This host's configuration version.
    pub have: Version,
    /// Changes since the last round's version; `None` if there are none.
    pub delta: Option<Delta>,
    /// Stamp of this host's membership list.
    pub list: ListStamp,
    /// The other members.
    pub peers: Vec<Member>,
}

impl View {
    /// Returns the empty view of a host that has just started.
    pub fn new(host: HostId, timeouts: Timeouts) -> Arc<Self> {
        let state = State {
            snapshot: ConfigSnapshot::new(),
            members: MemberTable::new(),
            leaving: LeavingHosts::default(),
            own_incarnation: None,
            entry_version: Version(0),
            last_store_contact: None,
            list_confirmed_at: None,
            store_lost: false,
            outage_start: BootInstant::now(),
            gossiped_version: Version(0),
            pools: Vec::new(),
        };
        Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), host, timeouts })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this host's name.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.state().snapshot.version()
    }

    /// Replaces the configuration by `snapshot` if that is newer.
    pub fn adopt_snapshot(&self, snapshot: ConfigSnapshot) {
        let mut state = self.state();
        if snapshot.version() > state.snapshot.version() {
            state.snapshot = snapshot;
            self.announce_version(&state);
        }
    }

    /// Applies `delta` if it is newer.
    ///
    /// # Errors
    ///
    /// Fails if there are versions missing in between.
    pub fn apply_delta(&self, delta: &Delta) -> Result<(), GapError> {
        let mut state = self.state();
        if state.snapshot.apply(delta)? {
            self.announce_version(&state);
        }
        Ok(())
    }

    fn announce_version(&self, state: &State) {
        emit(Event::ConfigInForce, format_args!("version {}", state.snapshot.version()));
        self.changed.notify_all();
    }

    /// Returns the configuration changes after `have`, or `None` if there are none.
    pub fn delta_since(&self, have: Version) -> Option<Delta> {
        let state = self.state();
        (state.snapshot.version() > have).then(|| state.snapshot.since(have))
    }

    /// Records whether a call to the store was answered, which is known at `now`.
    pub fn record_store_result(&self, answered: bool, now: BootInstant) {
        let mut state = self.state();
        if !answered && !state.store_lost {
            // The failed call may have begun with the outage, and ended with its deadline.
            let earliest = now - self.timeouts.store_deadline();
            state.outage_start = state.last_store_contact.map_or(earliest, |at| at.max(earliest));
        }
        if answered {
            state.last_store_contact = Some(now);
        }
        if state.store_lost == answered {
            state.store_lost = !answered;
            let event = if answered { Event::StoreBack } else { Event::StoreLost };
            emit(event, "the platform's table service");
            if answered {
                let start = state.outage_start;
                state.members.excuse_outage(start, now);
            }
            // Wakes gossip: peers are queried at once, before this host's list expires.
            self.changed.notify_all();
        }
    }

    /// Records the configuration version of this host's entry process.
    pub fn set_entry_version(&self, version: Version) {
        self.state().entry_version = version;
    }

    /// Returns the configuration version of this host's entry process.
    pub fn entry_version(&self) -> Version {
        self.state().entry_version
    }

    /// Records this host's incarnation.
    pub fn set_own_incarnation(&self, incarnation: Incarnation) {
        self.state().own_incarnation = Some(incarnation);
    }

    /// Returns this host's member id, or `None` while it is not on the membership list.
    pub fn own_member(&self) -> Option<MemberId> {
        let state = self.state();
        let own = MemberId { host: self.host.clone(), incarnation: state.own_incarnation? };
        state.members.members().iter().any(|member| member.id() == own).then_some(own)
    }

    /// Applies the member rows of a read that started at `started_at`, and returns the hosts whose
    /// heartbeat has timed out at `now`.
    pub fn process_members(
        &self,
        rows: Vec<Member>,
        revision: Revision,
        started_at: BootInstant,
        now: BootInstant,
    ) -> Vec<HostId> {
        let mut state = self.state();
        state.list_confirmed_at = state.list_confirmed_at.max(Some(started_at));
        if state.members.process_rows(rows, revision, now) {
            log_members(&state);
        }
        let max_silence = self.timeouts.member_timeout(state.members.members().len());
        state.members.expired_hosts(max_silence, now)
    }

    /// Merges the membership list from a peer's reply to a request sent at `requested_at`.
    ///
    /// A peer that reads the store confirms the list as of its own last read. If neither host can
    /// read it, the store is assumed down, and the list can't change while it is.
    pub fn merge_peer_list(
        &self,
        list: Option<MemberList>,
        peer: PeerList,
        requested_at: BootInstant,
    ) {
        let mut state = self.state();
        if list.is_some_and(|list| state.members.adopt(list)) {
            log_members(&state);
        }
        let is_store_lost = state.store_lost;
        let confirmed = match (peer.is_store_lost, is_store_lost) {
            (true, true) => Some(requested_at),
            (true, false) => None,
            (false, _) => peer.age.map(|age| requested_at - age),
        };
        state.list_confirmed_at = state.list_confirmed_at.max(confirmed);
    }

    /// Returns the list if it is newer than that of a peer with `stamp` and differs from it.
    pub fn members_since(&self, stamp: ListStamp) -> Option<MemberList> {
        self.state().members.newer_than(stamp)
    }

    /// Returns the members.
    pub fn members(&self) -> Vec<Member> {
        self.state().members.members().to_vec()
    }

    /// Returns an upper bound of the membership list's age; `None` if it was never confirmed.
    pub fn list_age(&self) -> Option<Duration> {
        let state = self.state();
        let list = state.members.members();
        let is_only_member = !list.is_empty() && list.iter().all(|member| member.host == self.host);
        if is_only_member && state.store_lost {
            // No other member could have changed the list.
            return Some(Duration::ZERO);
        }
        state.list_confirmed_at.map(|at| at.elapsed())
    }

    /// Returns whether the last call to the store failed.
    pub fn is_store_lost(&self) -> bool {
        self.state().store_lost
    }

    /// Returns the time within which every entry host has read a new list or stopped serving.
    pub fn propagation_timeout(&self) -> Duration {
        self.timeouts.propagation_timeout(self.state().members.members().len())
    }

    /// Replaces the list of leaving hosts if `leaving` is newer.
    pub fn adopt_leaving(&self, leaving: LeavingHosts) {
        let mut state = self.state();
        if state.leaving.replace_if_newer(leaving) {
            let names: Vec<&str> = state.leaving.hosts.iter().map(HostId::as_str).collect();
            let revision = state.leaving.revision;
            emit(Event::HostsLeaving, format_args!("revision {revision}: {}", names.join(" ")));
        }
    }

    /// Returns the list of leaving hosts if it is newer than `revision`.
    pub fn leaving_since(&self, revision: Revision) -> Option<LeavingHosts> {
        self.state().leaving.newer_than(revision)
    }

    /// Returns the revision of the newest known platform host list.
    pub fn hosts_revision(&self) -> Revision {
        self.state().leaving.revision
    }

    /// Waits for the next gossip round: after `period`, or at once when there is a new version or
    /// the store was lost or came back.
    pub fn wait_for_round(&self, period: Duration) -> GossipRound {
        let state = self.state();
        let was_store_lost = state.store_lost;
        let is_unchanged = |state: &mut State| {
            state.snapshot.version() <= state.gossiped_version && state.store_lost == was_store_lost
        };
        let (mut state, _) = self
            .changed
            .wait_timeout_while(state, period, is_unchanged)
            .unwrap_or_else(PoisonError::into_inner);
        let have = state.snapshot.version();
        let delta =
            (have > state.gossiped_version).then(|| state.snapshot.since(state.gossiped_version));
        state.gossiped_version = have;
        let mut peers = state.members.members().to_vec();
        peers.retain(|member| member.host != self.host);
        GossipRound { have, delta, list: state.members.stamp(), peers }
    }

    /// Returns the input of a pool reconciliation round; `placements` are those of the newest
    /// version that the caller has.
    pub fn round_input(&self, placements: Arc<MinionPlacements>) -> RoundInput {
        let own = self.own_member();
        let state = self.state();
        let list = state.members.members();
        let expired = state
            .members
            .expired_hosts(self.timeouts.lease_timeout(list.len()), BootInstant::now());
        let candidate = |member: &Member| Candidate {
            id: member.id(),
            is_silent: expired.contains(&member.host),
        };
        let pools = state.snapshot.rows().filter_map(|(key, _)| match key {
            RowKey::Pool(name) => Some(name.clone()),
            _ => None,
        });
        RoundInput {
            own,
            candidates: list.iter().map(candidate).collect(),
            pools: pools.collect(),
            leaving: state.leaving.hosts.clone(),
            placements,
        }
    }

    /// Returns the fleet if its version is newer than `have` and its rows are valid.
    pub fn fleet_after(&self, have: Version) -> Option<Fleet> {
        // Parsing all rows takes a while, so it is done on a copy without the lock.
        let snapshot = {
            let state = self.state();
            (state.snapshot.version() > have).then(|| state.snapshot.clone())
        }?;
        Fleet::from_rows(snapshot.version(), snapshot.rows()).ok()
    }

    /// Records the pools owned by this host.
    pub fn set_pools(&self, pools: Vec<PoolState>) {
        self.state().pools = pools;
    }

    /// Returns the number of pools owned by this host.
    pub fn pool_count(&self) -> usize {
        self.state().pools.len()
    }

    /// Returns the view as shown to operators.
    pub fn to_state(&self) -> ViewState {
        let state = self.state();
        let age = |instant: Option<BootInstant>| {
            instant.map(|at| Millis(at.elapsed().as_millis() as u64))
        };
        ViewState {
            host: self.host.clone(),
            version: state.snapshot.version(),
            entry_version: state.entry_version,
            members: state.members.members().to_vec(),
            leaving: state.leaving.clone(),
            rows: state.snapshot.rows().count(),
            store_heard: age(state.last_store_contact),
            list_age: age(state.list_confirmed_at),
            pools: state.pools.clone(),
        }
    }
}

fn log_members(state: &State) {
    let names: Vec<&str> =
        state.members.members().iter().map(|member| member.host.as_str()).collect();
    emit(Event::MembersChanged, names.join(" "));
}

#[cfg(test)]
#[path = "view_tests.rs"]
mod tests;
