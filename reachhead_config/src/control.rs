//! Settings of `reachhead-control`.

use std::{
    net::SocketAddr,
    num::{NonZeroU32, NonZeroU64},
};

use reachhead_types::{
    id::{HostId, ZoneName},
    size::Millis,
};

use crate::section::{OpsSettings, StoreSettings, nonzero, nonzero_millis, section};

section! {
    /// Messages between the system's processes, over `nng`.
    ControlLinkSettings {
        /// Address on which this process answers its own host and its peers.
        address: SocketAddr;
        /// Address by which peers reach this process; by default `address`.
        advertise: Option<SocketAddr> = None;
        /// Address on which the entry process of this host answers other entry hosts.
        entry: SocketAddr;
        /// Addresses of control processes of other entry hosts, for gossip while no members are known,
        /// as after a start while the store is down.
        seeds: Vec<SocketAddr> = Vec::new();
        /// Milliseconds between two gossip rounds.
        gossip: NonZeroU64 = nonzero_millis(1000);
    }
}

section! {
    /// Polling of the configuration and the membership list in the store.
    FollowSettings {
        /// Milliseconds between two reads of the version by the fleet of entry hosts as a whole; the
        /// period of each host is this times the number of entry hosts.
        version: NonZeroU64 = nonzero_millis(250);
        /// Milliseconds between two heartbeats of one host, and between its reads of the member
        /// rows, per entry host in the fleet.
        members: NonZeroU64 = nonzero_millis(250);
        /// Milliseconds between two reads of the platform's host list by the fleet as a whole.
        hosts: NonZeroU64 = nonzero_millis(250);
        /// Missed heartbeats after which a member is removed from the membership list.
        missed: NonZeroU32 = nonzero(4);
    }
}

section! {
    /// Cleanup of expired at-most-once claims.
    CleanSettings {
        /// Minimum time that an idempotency key is remembered, in milliseconds; a day by default.
        keep: NonZeroU64 = nonzero_millis(86_400_000);
    }
}

section! {
    /// Reconciliation of pools and of hosts that move between them.
    PoolSettings {
        /// Milliseconds between two rounds while hosts are moving; three times that when idle.
        round: NonZeroU64 = nonzero_millis(1000);
        /// Milliseconds that a host must be observed drained before it counts as empty: the time until
        /// all entry hosts know of the drain, and twice the longest deadline.
        drain: Millis = Millis(25_000);
        /// Timeout of the handover of a pool to another entry host, in milliseconds.
        hand_over: Millis = Millis(10_000);
        /// Missed heartbeats of the owner after which another entry host takes over a pool.
        missed: NonZeroU32 = nonzero(2);
        /// Milliseconds that an availability budget must be observed exceeded before a drain is cancelled.
        confirm: Millis = Millis(5000);
        /// Maximum number of hosts of a pool that a maintenance wave processes at once, even if the budgets allow more.
        batch: NonZeroU32 = nonzero(8);
    }
}

section! {
    /// Settings of `reachhead-control`.
    ControlSettings {
        /// Name of the program: "control".
        program: String;
        /// Name of this host.
        host: HostId;
        /// Availability zone of this host.
        zone: ZoneName;
    }
    sections {
        /// HTTP listener for health, metrics and state.
        ops: OpsSettings;
        /// Connection to the platform's table service.
        store: StoreSettings;
        /// Messages between the system's processes.
        link: ControlLinkSettings;
        /// Polling of the store.
        follow: FollowSettings;
        /// Cleanup of expired claims.
        clean: CleanSettings;
        /// Reconciliation of pools.
        pools: PoolSettings;
    }
}
