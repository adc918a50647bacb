//! Settings of `reachhead-entry`.

use std::{
    net::SocketAddr,
    num::{NonZeroU32, NonZeroU64},
};

use reachhead_types::{
    id::{HostId, ZoneName},
    size::{Bytes, Millis},
};

use crate::section::{
    OpsSettings, ShutdownSettings, StoreSettings, nonzero, nonzero_millis, section,
};

section! {
    /// Listener for callers and its limits.
    CallerSettings {
        /// Address to listen on.
        address: SocketAddr;
        /// Maximum number of open connections; a further one closes the one that has been silent for longest.
        connections: NonZeroU32 = nonzero(4096);
        /// Maximum size of a request head, in bytes; at least 8192.
        head: Bytes = Bytes(16_384);
        /// Maximum number of header fields of a request.
        fields: NonZeroU32 = nonzero(100);
        /// Timeout for receiving a request head, in milliseconds.
        head_time: NonZeroU64 = nonzero_millis(10_000);
        /// Maximum size of a request body, in bytes.
        body: Bytes = Bytes(1_048_576);
        /// Timeout for receiving a request body, in milliseconds.
        body_time: NonZeroU64 = nonzero_millis(15_000);
        /// Maximum memory of all request bodies that are being received or handled, in bytes; a body of up to 16 KiB takes none.
        memory: Bytes = Bytes(67_108_864);
        /// Maximum time without progress while sending an answer to a caller, in milliseconds.
        stall_time: NonZeroU64 = nonzero_millis(15_000);
    }
}

section! {
    /// Requests to minions.
    MinionSettings {
        /// Timeout for connecting to a minion, in milliseconds.
        connect_time: NonZeroU64 = nonzero_millis(1000);
        /// Answers up to this many bytes are buffered until complete, so that a failed request can be retried.
        whole: Bytes = Bytes(65_536);
        /// Milliseconds that an idle connection is kept open.
        idle_time: Millis = Millis(30_000);
        /// Maximum number of times that a request is sent, including the first.
        sends: NonZeroU32 = nonzero(3);
        /// Whether to borrow slots from other entry hosts while requests are queued here.
        loans: bool = true;
    }
}

section! {
    /// At-most-once claims in the store.
    ClaimSettings {
        /// Milliseconds between two store writes for claims; claims that arrive meanwhile are batched.
        linger: Millis = Millis(20);
        /// Maximum number of claims and outcomes in one store write.
        batch: NonZeroU32 = nonzero(256);
        /// Maximum number of claims that wait for the store; further requests fail with `store-down`.
        queue: NonZeroU32 = nonzero(1024);
        /// Milliseconds that this process keeps a completed answer for replay.
        keep: Millis = Millis(600_000);
        /// Timeout of a query to the owner of a claim, in milliseconds.
        ask_time: NonZeroU64 = nonzero_millis(500);
    }
}

section! {
    /// Messages between the system's processes, over `nng`.
    EntryLinkSettings {
        /// Address of this host's control process.
        control: SocketAddr;
        /// Address on which this process answers other entry hosts.
        ask: SocketAddr;
        /// Milliseconds between two polls for a newer configuration.
        period: NonZeroU64 = nonzero_millis(250);
    }
}

section! {
    /// Settings of `reachhead-entry`.
    EntrySettings {
        /// Name of the program: "entry".
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
        /// Listener for callers.
        callers: CallerSettings;
        /// Requests to minions.
        minions: MinionSettings;
        /// At-most-once claims.
        claims: ClaimSettings;
        /// Messages between the system's processes.
        link: EntryLinkSettings;
        /// Graceful shutdown.
        shutdown: ShutdownSettings;
    }
}
