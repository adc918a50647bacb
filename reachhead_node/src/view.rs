//! What a process believes of the rest of the system, and since when.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use reachhead_jobs::{
    candidate::Candidate,
    clock::Tick,
    model::Configuration,
    ports::WorkerInfo,
    record::{LeaseRecord, MemberRecord},
    wave::WaveOrder,
};
use reachhead_types::{
    id::{NodeName, PoolName, WaveName, WorkerId, ZoneName},
    size::{Millis, Revision},
};

use crate::peer::Pong;

/// A lease as the store has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseView {
    /// Who is in charge.
    pub record: LeaseRecord,
    /// The row's revision, which is the owner's fencing token.
    pub revision: Revision,
    /// When this process first saw it so.
    pub since: Tick,
}

/// A process on the list of members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// What it says of itself.
    pub record: MemberRecord,
    /// The row's revision.
    pub revision: Revision,
}

/// What was heard of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// When it last answered.
    pub at: Tick,
    /// Where it answered.
    pub address: SocketAddr,
    /// What it said of itself.
    pub pong: Pong,
}

/// Everything that a process follows.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub config: Option<Arc<Configuration>>,
    /// When the operators' table was last known to be as it is here.
    pub config_seen: Tick,
    /// The store's revision at that time.
    pub config_revision: Revision,
    /// Who is in charge of which pool.
    pub leases: BTreeMap<PoolName, LeaseView>,
    /// When the leases were first read: for how long they had been so before is not known.
    pub leases_read: Option<Tick>,
    /// Nobody was on the list of members when it was first read.
    pub is_first: bool,
    /// When the leases were last known to be as they are here.
    pub leases_seen: Tick,
    /// The store's revision up to which every lease is known.
    pub leases_revision: Revision,
    /// The processes that watch the owners of pools and take what is vacant.
    pub members: BTreeMap<NodeName, MemberView>,
    /// The workers that are registered.
    pub workers: BTreeMap<WorkerId, WorkerInfo>,
    /// The table of workers is followed, so `workers` is not left over from an earlier time.
    pub workers_known: bool,
    /// This process follows the table of workers itself.
    pub workers_followed: bool,
    /// When the table of workers was last known to be as it is here, if this process follows it.
    pub workers_seen: Tick,
    /// The waves that operators ask for.
    pub waves: BTreeMap<WaveName, WaveOrder>,
    /// The zones in which nothing is to be started.
    pub drained: BTreeSet<ZoneName>,
    /// What was heard of owners.
    pub peers: BTreeMap<NodeName, PeerStatus>,
    /// When the store last answered this process.
    pub store_seen: Tick,
    /// Since when it has answered without a gap.
    pub store_since: Tick,
    /// The last call to the store failed.
    pub store_failing: bool,
    /// It was logged that the store is lost.
    pub store_lost: bool,
}

impl View {
    /// Returns where the owner of a pool answers, unless this process does not know it. A peer that says that it
    /// holds a newer lease is believed: a process that the store turns away does not see leases change.
    pub fn owner(&self, pool: &PoolName) -> Option<(NodeName, SocketAddr)> {
        let lease = self.leases.get(pool);
        let revision = lease.map(|lease| lease.revision).unwrap_or_default();
        let claimed = self
            .peers
            .iter()
            .filter_map(|(peer, status)| {
                Some((*status.pong.owned.get(pool)?, peer, status.address))
            })
            .filter(|(token, ..)| *token > revision)
            .max();
        if let Some((_, peer, address)) = claimed {
            return Some((peer.clone(), address));
        }
        let record = &lease?.record;
        let owner = record.owner.clone()?;
        let listed = || Some(self.members.get(&owner)?.record.address);
        let address = record.address.or_else(listed)?;
        Some((owner, address))
    }

    /// Returns where a peer answers that has reached the store lately, the one that did so last.
    pub fn sighted_peer(
        &self,
        now: Tick,
        heard_time: Millis,
        store_age: Millis,
    ) -> Option<SocketAddr> {
        let lately = |status: &PeerStatus| {
            now.since(status.at) <= heard_time && status.pong.store_age <= store_age.0
        };
        self.peers
            .iter()
            .filter(|(_, status)| lately(status))
            .min_by_key(|(_, status)| status.pong.store_age)
            .map(|(_, status)| status.address)
    }

    /// Returns a process as a candidate for pools.
    pub fn candidate<'a>(&self, node: &'a NodeName, member: &MemberRecord) -> Candidate<'a> {
        let own = |lease: &&LeaseView| lease.record.owner.as_ref() == Some(node);
        let owned = self.leases.values().filter(own).count();
        Candidate { node, strength: member.strength, owned }
    }

    /// Takes over a configuration if it is newer; versions never go back.
    pub fn adopt(&mut self, config: Configuration) -> bool {
        let newer = self.config.as_ref().is_none_or(|known| known.version < config.version);
        if newer {
            self.config = Some(Arc::new(config));
        }
        newer
    }

    /// Takes over a lease if its row is newer; tells whether somebody else is in charge by it.
    pub fn adopt_lease(
        &mut self,
        pool: PoolName,
        record: LeaseRecord,
        revision: Revision,
        now: Tick,
    ) -> bool {
        let known = self.leases.get(&pool);
        if known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        let news = known.is_none_or(|known| known.record.owner != record.owner);
        self.leases.insert(pool, LeaseView { record, revision, since: now });
        news
    }
}
