//! What this host knows: configuration, members, and when it last heard of the others.

use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    book::{Book, Delta, GapError},
    id::HostId,
    member::Member,
    size::{Millis, Version},
};
use serde::Serialize;

use crate::members::MemberBook;

/// What the threads of this process share.
pub struct View {
    state: Mutex<State>,
    /// Signalled when a new version is in force, so that gossip does not wait for its round.
    news: Condvar,
    host: HostId,
}

struct State {
    book: Book,
    members: MemberBook,
    entry_version: Version,
    store_heard: Option<Instant>,
    peer_heard: Option<Instant>,
    store_lost: bool,
    /// The version that gossip has handed on last.
    told: Version,
}

/// The view as `/state` shows it.
#[derive(Debug, Serialize)]
pub struct ViewState {
    host: HostId,
    version: Version,
    entry_version: Version,
    members: Vec<Member>,
    rows: usize,
    store_heard: Option<Millis>,
    peer_heard: Option<Millis>,
}

/// What a gossip round starts from.
pub struct Round {
    /// The version here.
    pub have: Version,
    /// What peers may not know yet.
    pub delta: Option<Delta>,
    /// Other hosts' controls.
    pub peers: Vec<Member>,
}

impl View {
    /// Returns an empty view of `host`.
    pub fn new(host: HostId, members: MemberBook) -> Arc<Self> {
        let state = State {
            book: Book::new(),
            members,
            entry_version: Version(0),
            store_heard: None,
            peer_heard: None,
            store_lost: false,
            told: Version(0),
        };
        Arc::new(Self { state: Mutex::new(state), news: Condvar::new(), host })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this host's name.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns a copy of the configuration.
    pub fn book(&self) -> Book {
        self.state().book.clone()
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.state().book.version()
    }

    /// Takes `book` if it is newer.
    pub fn adopt(&self, book: Book) {
        let mut state = self.state();
        if book.version() > state.book.version() {
            state.book = book;
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
        if state.book.apply(delta)? {
            self.announce(&state);
        }
        Ok(())
    }

    fn announce(&self, state: &State) {
        emit(Event::ConfigInForce, format_args!("version {}", state.book.version()));
        self.news.notify_all();
    }

    /// Returns what changed after `have`, or `None` if nothing did.
    pub fn since(&self, have: Version) -> Option<Delta> {
        let state = self.state();
        (state.book.version() > have).then(|| state.book.since(have))
    }

    /// Notes whether the store answered.
    pub fn note_store(&self, answered: bool) {
        let mut state = self.state();
        if answered {
            state.store_heard = Some(Instant::now());
        }
        if state.store_lost == answered {
            state.store_lost = !answered;
            let event = if answered { Event::StoreBack } else { Event::StoreLost };
            emit(event, "the platform's table service");
        }
    }

    /// Notes that a peer was heard.
    pub fn note_peer(&self) {
        self.state().peer_heard = Some(Instant::now());
    }

    /// Notes the version that the entry process of this host has.
    pub fn note_entry(&self, have: Version) {
        self.state().entry_version = have;
    }

    /// Returns the version that the entry process of this host has.
    pub fn entry_version(&self) -> Version {
        self.state().entry_version
    }

    /// Notes the member rows of one read and returns the hosts whose rows may be deleted.
    pub fn observe(&self, rows: Vec<Member>) -> Vec<HostId> {
        let mut state = self.state();
        if state.members.observe(rows) {
            let live = state.members.live();
            let names: Vec<&str> = live.iter().map(|member| member.host.as_str()).collect();
            emit(Event::MembersChanged, names.join(" "));
        }
        state.members.dead()
    }

    /// Takes over a peer's list of members, if there is none yet.
    pub fn start_members(&self, members: Vec<Member>) {
        self.state().members.start_from(members);
    }

    /// Returns the entry hosts that are taken for alive.
    pub fn members(&self) -> Vec<Member> {
        self.state().members.live()
    }

    /// Tells whether the store or a peer was heard within `term`; a sole host needs only itself.
    pub fn is_connected(&self, term: Duration) -> bool {
        let state = self.state();
        let is_recent = |heard: Option<Instant>| heard.is_some_and(|at| at.elapsed() < term);
        let live = state.members.live();
        let is_sole = !live.is_empty() && live.iter().all(|member| member.host == self.host);
        is_recent(state.store_heard) || is_recent(state.peer_heard) || is_sole
    }

    /// Waits for the next round of gossip: after `period`, or at once when there is news.
    pub fn next_round(&self, period: Duration) -> Round {
        let state = self.state();
        let is_quiet = |state: &mut State| state.book.version() <= state.told;
        let (mut state, _) = self
            .news
            .wait_timeout_while(state, period, is_quiet)
            .unwrap_or_else(PoisonError::into_inner);
        let have = state.book.version();
        let delta = (have > state.told).then(|| state.book.since(state.told));
        state.told = have;
        let mut peers = state.members.live();
        peers.retain(|member| member.host != self.host);
        Round { have, delta, peers }
    }

    /// Returns the view for operators.
    pub fn report(&self) -> ViewState {
        let state = self.state();
        let ago = |heard: Option<Instant>| heard.map(|at| Millis(at.elapsed().as_millis() as u64));
        ViewState {
            host: self.host.clone(),
            version: state.book.version(),
            entry_version: state.entry_version,
            members: state.members.live(),
            rows: state.book.rows().count(),
            store_heard: ago(state.store_heard),
            peer_heard: ago(state.peer_heard),
        }
    }
}
