//! Settings of `reachhead-entry`.

use std::{
    net::SocketAddr,
    num::{NonZeroU32, NonZeroU64},
};

use reachhead_types::{
    id::{HostId, ZoneName},
    size::{Bytes, Millis},
};

use crate::section::{OpsSettings, ShutdownSettings, StoreSettings, count, millis, section};

section! {
    /// The listener for callers and what it accepts.
    CallerSettings {
        /// Address it listens on.
        address: SocketAddr;
        /// Connections that are open at once; more wait in the listener's backlog.
        connections: NonZeroU32 = count(4096);
        /// Largest request head, in bytes; at least 8192.
        head: Bytes = Bytes(16_384);
        /// Most header fields of a request.
        fields: NonZeroU32 = count(100);
        /// Longest time that a head may take to arrive, in milliseconds.
        head_time: NonZeroU64 = millis(10_000);
        /// Largest request body, in bytes.
        body: Bytes = Bytes(1_048_576);
        /// Longest time that a body may take to arrive, in milliseconds.
        body_time: NonZeroU64 = millis(15_000);
        /// Longest time for which a caller may take nothing of its answer, in milliseconds.
        stall_time: NonZeroU64 = millis(15_000);
    }
}

section! {
    /// How minions are called.
    MinionSettings {
        /// Longest time to connect, in milliseconds.
        connect_time: NonZeroU64 = millis(1000);
        /// Answers up to this many bytes are held until they are whole, so that they can be retried.
        whole: Bytes = Bytes(65_536);
        /// Milliseconds that an idle connection is kept.
        idle_time: Millis = Millis(30_000);
        /// Sends of one request at most, the first included.
        sends: NonZeroU32 = count(3);
        /// Whether slots are borrowed from other entry hosts when requests wait here.
        loans: bool = true;
    }
}

section! {
    /// At-most-once claims in the store.
    ClaimSettings {
        /// Milliseconds between two store writes for claims; what arrives meanwhile shares the next.
        linger: Millis = Millis(20);
        /// Claims and records in one store write at most.
        batch: NonZeroU32 = count(256);
        /// Claims that wait for the store at most; more get `store-down`.
        queue: NonZeroU32 = count(1024);
        /// Milliseconds that a finished answer is kept for replay in this process.
        keep: Millis = Millis(600_000);
        /// Longest wait for a claim's owner to answer, in milliseconds.
        ask_time: NonZeroU64 = millis(500);
    }
}

section! {
    /// Messages with the other processes of the system, over `nng`.
    EntryLinkSettings {
        /// Where the control of this host answers.
        control: SocketAddr;
        /// Where this process answers the other entry hosts.
        ask: SocketAddr;
        /// Milliseconds between two looks for a newer configuration.
        period: NonZeroU64 = millis(250);
    }
}

section! {
    /// Settings of `reachhead-entry`.
    EntrySettings {
        /// Always "entry".
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
        /// The listener for callers.
        callers: CallerSettings;
        /// How minions are called.
        minions: MinionSettings;
        /// At-most-once claims.
        claims: ClaimSettings;
        /// Messages with the system's other processes.
        link: EntryLinkSettings;
        /// The graceful shutdown.
        shutdown: ShutdownSettings;
    }
}
