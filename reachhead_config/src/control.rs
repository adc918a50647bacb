//! Settings of `reachhead-control`.

use std::{
    net::SocketAddr,
    num::{NonZeroU32, NonZeroU64},
};

use reachhead_types::{
    id::{HostId, ZoneName},
    size::Millis,
};

use crate::section::{OpsSettings, StoreSettings, count, millis, section};

section! {
    /// Messages with the other processes of the system, over `nng`.
    ControlLinkSettings {
        /// Where this process answers its own host and its peers.
        address: SocketAddr;
        /// Where peers reach this process, if that is another address.
        advertise: Option<SocketAddr> = None;
        /// Where the entry process of this host answers other entry hosts.
        entry: SocketAddr;
        /// Controls of other entry hosts to start from while the store is down.
        seeds: Vec<SocketAddr> = Vec::new();
        /// Milliseconds between two rounds of gossip with a few peers.
        gossip: NonZeroU64 = millis(1000);
    }
}

section! {
    /// Following the configuration and the list of entry hosts in the store.
    FollowSettings {
        /// Milliseconds between two reads of the version by the whole fleet of entry hosts; each
        /// host reads once in this many times the number of hosts.
        version: NonZeroU64 = millis(250);
        /// Milliseconds between two reads of the member rows by one host, and between its writes
        /// of its own row, for each host of the fleet.
        members: NonZeroU64 = millis(250);
        /// Milliseconds between two reads of the platform's host list by the whole fleet.
        hosts: NonZeroU64 = millis(250);
        /// Heartbeat rounds without progress after which a member is taken for gone.
        missed: NonZeroU32 = count(4);
    }
}

section! {
    /// Cleaning up after requests that run at most once.
    CleanSettings {
        /// Milliseconds for which a key is remembered at least; a day by default.
        keep: NonZeroU64 = millis(86_400_000);
    }
}

section! {
    /// Looking after pools and the hosts that move between them.
    PoolSettings {
        /// Milliseconds between two rounds while hosts are on their way; three times that at rest.
        round: NonZeroU64 = millis(1000);
        /// Milliseconds for which a host must be seen drained before it counts as empty: the time in
        /// which entry hosts hear of it, and twice the longest deadline.
        drain: Millis = Millis(25_000);
        /// Milliseconds that an entry host may take to hand a pool over to another.
        hand_over: Millis = Millis(10_000);
        /// Heartbeat rounds without progress after which another entry host takes a pool over.
        missed: NonZeroU32 = count(2);
        /// Milliseconds for which a budget must be seen overspent before a drain is taken back.
        confirm: Millis = Millis(5000);
        /// Hosts of a pool that a wave has on their way at once, whatever the budgets allow.
        batch: NonZeroU32 = count(8);
    }
}

section! {
    /// Settings of `reachhead-control`.
    ControlSettings {
        /// Always "control".
        program: String;
        /// Name of this host.
        host: HostId;
        /// Availability zone of this host.
        zone: ZoneName;
    }
    sections {
        /// The listener for operators.
        ops: OpsSettings;
        /// The platform's table service.
        store: StoreSettings;
        /// Messages with the system's other processes.
        link: ControlLinkSettings;
        /// What is followed in the store.
        follow: FollowSettings;
        /// Cleaning up old claims.
        clean: CleanSettings;
        /// Looking after pools.
        pools: PoolSettings;
    }
}
