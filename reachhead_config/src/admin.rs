//! Settings of `reachhead-admin`.

use std::{net::SocketAddr, num::NonZeroU32};

use reachhead_types::{
    id::{HostId, ZoneName},
    size::Bytes,
};

use crate::section::{OpsSettings, StoreSettings, nonzero, section};

section! {
    /// HTTP API for operators.
    ApiSettings {
        /// Address to listen on.
        address: SocketAddr;
        /// Maximum size of a request body, in bytes.
        body: Bytes = Bytes(8_388_608);
        /// Maximum number of open connections; a further one closes the one that has been silent for longest.
        connections: NonZeroU32 = nonzero(256);
        /// Maximum memory of all request bodies that are being received, in bytes.
        memory: Bytes = Bytes(67_108_864);
        /// Minimum number of versions kept in the configuration log; the default is about two weeks at 13,000 changes a day.
        keep: NonZeroU32 = nonzero(200_000);
        /// SHA-256 of `token_salt` followed by the root bearer token, in hexadecimal.
        token_hash: String;
        /// Salt of `token_hash`.
        token_salt: String;
    }
}

section! {
    /// Settings of `reachhead-admin`.
    AdminSettings {
        /// Name of the program: "admin".
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
        /// HTTP API for operators.
        api: ApiSettings;
    }
}
