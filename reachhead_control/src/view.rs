//! What this host knows: configuration, members, and when it last heard of the others.

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

/// What the threads of this process share.
pub struct View {
    state: Mutex<State>,
    /// Signalled when a new version is in force, so that gossip does not wait for its round.
    news: Condvar,
    host: HostId,
    timeouts: Timeouts,
}

/// What a peer says of its list.
pub struct Witness {
    /// Whether the store did not answer its last call.
    pub is_blind: bool,
    /// How old its list is at most.
    pub age: Option<Duration>,
}

struct State {
    snapshot: ConfigSnapshot,
    members: MemberTable,
    leaving: LeavingHosts,
    /// This host's stay on the list, once it has written its row.
    own: Option<Incarnation>,
    entry_version: Version,
    /// When the store last answered.
    store_heard: Option<BootInstant>,
    /// The newest moment at which the list of entry hosts was still the newest one.
    confirmed: Option<BootInstant>,
    store_lost: bool,
    /// The version that gossip has handed on last.
    told: Version,
    /// The pools that this host is in charge of.
    pools: Vec<PoolState>,
}

/// The view as `/state` shows it.
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

/// What a gossip round starts from.
pub struct Round {
    /// The version here.
    pub have: Version,
    /// What peers may not know yet.
    pub delta: Option<Delta>,
    /// The list of entry hosts here.
    pub list: ListStamp,
    /// Other hosts.
    pub peers: Vec<Member>,
}

impl View {
    /// Returns an empty view of `host`.
    pub fn new(host: HostId, timeouts: Timeouts) -> Arc<Self> {
        let state = State {
            snapshot: ConfigSnapshot::new(),
            members: MemberTable::new(),
            leaving: LeavingHosts::default(),
            own: None,
            entry_version: Version(0),
            store_heard: None,
            confirmed: None,
            store_lost: false,
            told: Version(0),
            pools: Vec::new(),
        };
        Arc::new(Self { state: Mutex::new(state), news: Condvar::new(), host, timeouts })
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

    /// Takes `snapshot` if it is newer.
    pub fn adopt(&self, snapshot: ConfigSnapshot) {
        let mut state = self.state();
        if snapshot.version() > state.snapshot.version() {
            state.snapshot = snapshot;
            self.announce(&state);
        }
    }

    /// Applies `delta` if it is newer.
    ///
    /// # Errors
    ///
    /// Fails if versions between are missing.
    pub fn apply(&self, delta: &Delta) -> Result<(), GapError> {
        let mut state = self.state();
        if state.snapshot.apply(delta)? {
            self.announce(&state);
        }
        Ok(())
    }

    fn announce(&self, state: &State) {
        emit(Event::ConfigInForce, format_args!("version {}", state.snapshot.version()));
        self.news.notify_all();
    }

    /// Returns what changed after `have`, or `None` if nothing did.
    pub fn since(&self, have: Version) -> Option<Delta> {
        let state = self.state();
        (state.snapshot.version() > have).then(|| state.snapshot.since(have))
    }

    /// Notes whether the store answered.
    pub fn note_store(&self, answered: bool) {
        let mut state = self.state();
        if answered {
            state.store_heard = Some(BootInstant::now());
        }
        if state.store_lost == answered {
            state.store_lost = !answered;
            let event = if answered { Event::StoreBack } else { Event::StoreLost };
            emit(event, "the platform's table service");
            if answered {
                state.members.note_back(BootInstant::now());
            }
            // Peers are asked at once, before this host's list counts as old.
            self.news.notify_all();
        }
    }

    /// Notes the version that the entry process of this host has.
    pub fn note_entry(&self, have: Version) {
        self.state().entry_version = have;
    }

    /// Returns the version that the entry process of this host has.
    pub fn entry_version(&self) -> Version {
        self.state().entry_version
    }

    /// Notes this host's stay on the list.
    pub fn set_own(&self, own: Incarnation) {
        self.state().own = Some(own);
    }

    /// Returns this host's place on the list.
    pub fn own_member(&self) -> Option<MemberId> {
        let state = self.state();
        let own = MemberId { host: self.host.clone(), incarnation: state.own? };
        state.members.members().iter().any(|member| member.id() == own).then_some(own)
    }

    /// Notes the member rows of one read, begun at `begun`, and returns the hosts whose rows should
    /// be deleted.
    pub fn observe(
        &self,
        rows: Vec<Member>,
        revision: Revision,
        begun: BootInstant,
    ) -> Vec<HostId> {
        let mut state = self.state();
        state.confirmed = state.confirmed.max(Some(begun));
        let now = BootInstant::now();
        if state.members.observe(rows, revision, now) {
            tell_members(&state);
        }
        let term = self.timeouts.silence(state.members.members().len());
        state.members.gone(term, now)
    }

    /// Learns from a peer's answer to a question that was asked at `asked`.
    ///
    /// A peer that reads the store vouches for the list as of its own last read. Where neither can,
    /// the store is taken for down, and a store that is down changes no list.
    pub fn learn_list(&self, list: Option<MemberList>, peer: Witness, asked: BootInstant) {
        let mut state = self.state();
        if list.is_some_and(|list| state.members.adopt(list)) {
            tell_members(&state);
        }
        let is_blind = state.store_lost;
        let confirmed = match (peer.is_blind, is_blind) {
            (true, true) => Some(asked),
            (true, false) => None,
            (false, _) => peer.age.map(|age| asked - age),
        };
        state.confirmed = state.confirmed.max(confirmed);
    }

    /// Returns the list for a peer with `stamp`, if it lacks it.
    pub fn members_since(&self, stamp: ListStamp) -> Option<MemberList> {
        self.state().members.newer_than(stamp)
    }

    /// Returns the entry hosts on the list.
    pub fn members(&self) -> Vec<Member> {
        self.state().members.members().to_vec()
    }

    /// Returns how old the list is at most; `None` if it was never confirmed.
    pub fn list_age(&self) -> Option<Duration> {
        let state = self.state();
        let list = state.members.members();
        let is_sole = !list.is_empty() && list.iter().all(|member| member.host == self.host);
        if is_sole && state.store_lost {
            // Nobody is there who could change the list.
            return Some(Duration::ZERO);
        }
        state.confirmed.map(|at| at.elapsed())
    }

    /// Tells whether the store did not answer the last call.
    pub fn is_blind(&self) -> bool {
        self.state().store_lost
    }

    /// Returns the longest time in which every entry host notices a new list.
    pub fn notice(&self) -> Duration {
        self.timeouts.notice(self.state().members.members().len())
    }

    /// Takes over a newer list of leaving hosts.
    pub fn adopt_leaving(&self, leaving: LeavingHosts) {
        let mut state = self.state();
        if state.leaving.adopt(leaving) {
            let names: Vec<&str> = state.leaving.hosts.iter().map(HostId::as_str).collect();
            let revision = state.leaving.revision;
            emit(Event::HostsLeaving, format_args!("revision {revision}: {}", names.join(" ")));
        }
    }

    /// Returns the leaving hosts of a list newer than `revision`.
    pub fn leaving_since(&self, revision: Revision) -> Option<LeavingHosts> {
        self.state().leaving.newer_than(revision)
    }

    /// Returns the revision of the newest host list.
    pub fn hosts_revision(&self) -> Revision {
        self.state().leaving.revision
    }

    /// Waits for the next round of gossip: after `period`, or at once when there is news.
    pub fn next_round(&self, period: Duration) -> Round {
        let state = self.state();
        let was_lost = state.store_lost;
        let is_quiet = |state: &mut State| {
            state.snapshot.version() <= state.told && state.store_lost == was_lost
        };
        let (mut state, _) = self
            .news
            .wait_timeout_while(state, period, is_quiet)
            .unwrap_or_else(PoisonError::into_inner);
        let have = state.snapshot.version();
        let delta = (have > state.told).then(|| state.snapshot.since(state.told));
        state.told = have;
        let mut peers = state.members.members().to_vec();
        peers.retain(|member| member.host != self.host);
        Round { have, delta, list: state.members.stamp(), peers }
    }

    /// Returns what looking after pools starts from; `placements` belong to the newest version that the
    /// caller has.
    pub fn input(&self, placements: Arc<MinionPlacements>) -> RoundInput {
        let own = self.own_member();
        let state = self.state();
        let list = state.members.members();
        let silent =
            state.members.gone(self.timeouts.lease_silence(list.len()), BootInstant::now());
        let candidate = |member: &Member| Candidate {
            id: member.id(),
            is_silent: silent.contains(&member.host),
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

    /// Returns the fleet, if it is of a newer version than `have`.
    pub fn fleet_after(&self, have: Version) -> Option<Fleet> {
        // Reading all rows takes a while, so nobody is kept waiting for it.
        let snapshot = {
            let state = self.state();
            (state.snapshot.version() > have).then(|| state.snapshot.clone())
        }?;
        Fleet::from_rows(snapshot.version(), snapshot.rows()).ok()
    }

    /// Notes the pools that this host is in charge of.
    pub fn note_pools(&self, pools: Vec<PoolState>) {
        self.state().pools = pools;
    }

    /// Returns how many pools this host is in charge of.
    pub fn pool_count(&self) -> usize {
        self.state().pools.len()
    }

    /// Returns the view for operators.
    pub fn report(&self) -> ViewState {
        let state = self.state();
        let ago =
            |heard: Option<BootInstant>| heard.map(|at| Millis(at.elapsed().as_millis() as u64));
        ViewState {
            host: self.host.clone(),
            version: state.snapshot.version(),
            entry_version: state.entry_version,
            members: state.members.members().to_vec(),
            leaving: state.leaving.clone(),
            rows: state.snapshot.rows().count(),
            store_heard: ago(state.store_heard),
            list_age: ago(state.confirmed),
            pools: state.pools.clone(),
        }
    }
}

fn tell_members(state: &State) {
    let names: Vec<&str> =
        state.members.members().iter().map(|member| member.host.as_str()).collect();
    emit(Event::MembersChanged, names.join(" "));
}
