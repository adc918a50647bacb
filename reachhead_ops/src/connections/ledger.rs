//! Decides which connections and bodies fit into a budget, and which are given up for others.
//!
//! The ledger does no input or output and knows no time: the order of calls is the order of events.

use std::collections::{BTreeSet, HashMap};

use reachhead_types::size::{Bytes, ConnectionId, Connections, Descriptors};

/// Memory that is counted for each open connection, in bytes: buffers, its task, and the first bytes
/// of a body.
const CONNECTION_MEMORY: u64 = 64 << 10;

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Minimum number of connections of any group.
const MIN_CONNECTIONS: u64 = 8;

/// Limits of a group of listeners; see docs/design/client-limits.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Maximum number of open connections.
    pub connections: Connections,
    /// Maximum memory of bodies, decoded requests and answers that are not taken, in bytes.
    pub memory: Bytes,
}

impl BudgetLimits {
    /// Returns limits with these values.
    pub const fn new(connections: Connections, memory: Bytes) -> Self {
        Self { connections, memory }
    }

    /// Returns the limits of a group of callers or peers of a process with this memory, in bytes, and
    /// this many file descriptors.
    pub fn share_of(memory: Bytes, descriptors: Descriptors) -> Self {
        let by_memory = memory.0 / 4 / CONNECTION_MEMORY;
        let connections = (sockets(descriptors) * 3 / 8).min(by_memory);
        Self::new(connection_count(connections), Bytes(memory.0 / 8))
    }

    /// Returns the limits of a group whose requests have no bodies, as those of operators.
    pub fn without_bodies(memory: Bytes, descriptors: Descriptors) -> Self {
        Self::new(connection_count(sockets(descriptors) / 32), Bytes(memory.0 / 32))
    }
}

fn sockets(descriptors: Descriptors) -> u64 {
    descriptors.0.saturating_sub(FILE_DESCRIPTORS)
}

fn connection_count(count: u64) -> Connections {
    Connections(count.max(MIN_CONNECTIONS).try_into().unwrap_or(u32::MAX))
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The answer was sent, and the rest of the request is dropped.
    Closing,
    /// No byte of a next request has arrived.
    Idle,
    /// A request head is arriving.
    Head,
    /// A request is not whole yet, or waits for its turn.
    Body,
    /// The client does not take an answer.
    Unread,
    /// A whole request is handled.
    Work,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    /// Number of the latest event of the connection: the begin of its phase, or progress in it.
    since: u64,
    held: u64,
    given_up: bool,
}

impl Entry {
    /// Returns the connection's rank among those that may be given up: the first one is.
    fn rank(&self, id: ConnectionId) -> Rank {
        (self.phase != Phase::Closing, self.since, id)
    }
}

/// Whether the connection is still of use, the number of its latest event, and its id.
type Rank = (bool, u64, ConnectionId);

/// Result of [`Ledger::open`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening {
    /// The connection is open.
    Opened(ConnectionId),
    /// It may be opened once connections that are given up have ended; this one is given up for it.
    GiveUp(ConnectionId),
    /// It may be opened once connections that are given up already have ended.
    Wait,
    /// All connections are at work.
    Refused,
}

/// Result of [`Ledger::grow`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Growth {
    /// The memory is held.
    Granted,
    /// It may be held once memory was released; these connections are given up for that.
    Wait(Vec<ConnectionId>),
    /// The memory is not to be had, or the connection itself is given up.
    Refused,
}

/// The connections of a group of listeners and the memory that each of them holds.
#[derive(Debug)]
pub struct Ledger {
    limits: BudgetLimits,
    entries: HashMap<ConnectionId, Entry>,
    /// Connections that may be given up, in this order.
    order: BTreeSet<Rank>,
    /// Those among them that hold memory for an incomplete request or an answer that is not taken.
    holders: BTreeSet<Rank>,
    /// Number of events so far.
    events: u64,
    next: u64,
    held: u64,
    /// Memory of connections that are given up.
    releasing: u64,
    /// Number of connections that are given up.
    ending: usize,
}

impl Ledger {
    /// Returns a ledger without connections.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            order: BTreeSet::new(),
            holders: BTreeSet::new(),
            events: 0,
            next: 0,
            held: 0,
            releasing: 0,
            ending: 0,
        }
    }

    /// Opens a connection, or decides which one is given up for it.
    pub fn open(&mut self) -> Opening {
        let limit = self.limits.connections.0 as usize;
        if self.entries.len() < limit {
            return Opening::Opened(self.insert());
        }
        if self.entries.len() - self.ending < limit {
            return Opening::Wait;
        }
        match self.order.first().copied() {
            Some((_, _, id)) => {
                self.give_up(id);
                Opening::GiveUp(id)
            }
            None => Opening::Refused,
        }
    }

    fn insert(&mut self) -> ConnectionId {
        let id = ConnectionId(self.next);
        self.next += 1;
        let entry = Entry { phase: Phase::Idle, since: self.tick(), held: 0, given_up: false };
        self.entries.insert(id, entry);
        self.enlist(id);
        id
    }

    fn tick(&mut self) -> u64 {
        self.events += 1;
        self.events
    }

    /// Moves a connection to another phase.
    pub fn enter(&mut self, id: ConnectionId, phase: Phase) {
        let since = self.tick();
        self.delist(id);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        (entry.phase, entry.since) = (phase, since);
        if phase == Phase::Closing && entry.given_up {
            // It was refused, and may now be given up for a new connection like any other that closes.
            entry.given_up = false;
            self.ending -= 1;
            self.releasing -= entry.held;
        }
        self.enlist(id);
    }

    fn enlist(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get(&id) else { return };
        if entry.phase != Phase::Work && !entry.given_up {
            self.order.insert(entry.rank(id));
            if matches!(entry.phase, Phase::Body | Phase::Unread) && entry.held > 0 {
                self.holders.insert(entry.rank(id));
            }
        }
    }

    fn delist(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.get(&id) {
            self.order.remove(&entry.rank(id));
            self.holders.remove(&entry.rank(id));
        }
    }

    /// Records that a connection makes progress in its phase.
    pub fn touch(&mut self, id: ConnectionId) {
        if let Some(phase) = self.phase(id) {
            self.enter(id, phase);
        }
    }

    /// Takes `bytes` of memory for a connection. If there is no room, incomplete requests and answers that are
    /// not taken are given up, the one without progress for longest first.
    pub fn grow(&mut self, id: ConnectionId, bytes: u64) -> Growth {
        let Some(entry) = self.entries.get(&id) else { return Growth::Refused };
        if entry.given_up {
            return Growth::Refused;
        }
        let wanted = self.held.saturating_add(bytes);
        if wanted <= self.limits.memory.0 {
            self.held = wanted;
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.held += bytes;
            }
            self.enlist(id);
            return Growth::Granted;
        }
        let missing = wanted.saturating_sub(self.limits.memory.0 + self.releasing);
        let (victims, missing) = self.victims(id, missing);
        if missing > 0 {
            return Growth::Refused;
        }
        for &victim in &victims {
            self.give_up(victim);
        }
        Growth::Wait(victims)
    }

    /// Counts memory that a connection already holds, for an answer that is not taken. Returns the connections
    /// that are given up since the sum exceeds the limit.
    pub fn charge(&mut self, id: ConnectionId, bytes: u64) -> Vec<ConnectionId> {
        let Some(entry) = self.entries.get_mut(&id) else { return Vec::new() };
        entry.held += bytes;
        self.held += bytes;
        if entry.given_up {
            self.releasing += bytes;
        }
        self.enlist(id);
        let excess = self.held.saturating_sub(self.limits.memory.0 + self.releasing);
        let (victims, _) = self.victims(id, excess);
        for &victim in &victims {
            self.give_up(victim);
        }
        victims
    }

    /// Returns the connections to give up, except `id`, to release `missing` bytes, and what is missing then.
    fn victims(&self, id: ConnectionId, missing: u64) -> (Vec<ConnectionId>, u64) {
        let mut missing = missing;
        let mut victims = Vec::new();
        for &(_, _, other) in &self.holders {
            if missing == 0 {
                break;
            }
            if other != id {
                let held = self.entries.get(&other).map_or(0, |entry| entry.held);
                missing = missing.saturating_sub(held);
                victims.push(other);
            }
        }
        (victims, missing)
    }

    /// Gives back all memory of a connection.
    pub fn release(&mut self, id: ConnectionId) {
        self.delist(id);
        if let Some(entry) = self.entries.get_mut(&id) {
            self.held -= entry.held;
            if entry.given_up {
                self.releasing -= entry.held;
            }
            entry.held = 0;
        }
        self.enlist(id);
    }

    /// Ends a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.release(id);
        self.delist(id);
        if let Some(entry) = self.entries.remove(&id) {
            self.ending -= usize::from(entry.given_up);
        }
    }

    fn give_up(&mut self, id: ConnectionId) {
        self.delist(id);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.given_up = true;
            self.ending += 1;
            self.releasing += entry.held;
        }
    }

    /// Returns the phase of a connection, if it is open.
    pub fn phase(&self, id: ConnectionId) -> Option<Phase> {
        self.entries.get(&id).map(|entry| entry.phase)
    }

    /// Returns whether a connection is given up.
    pub fn is_given_up(&self, id: ConnectionId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.given_up)
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory that all connections hold.
    pub fn held(&self) -> Bytes {
        Bytes(self.held)
    }
}
