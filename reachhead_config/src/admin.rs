//! Settings of `reachhead-admin`.

use std::{net::SocketAddr, num::NonZeroU32};

use reachhead_types::{
    id::{HostId, ZoneName},
    size::Bytes,
};

use crate::section::{OpsSettings, StoreSettings, count, section};

section! {
    /// The operators' API.
    ApiSettings {
        /// Address it listens on.
        address: SocketAddr;
        /// Largest request body, in bytes.
        body: Bytes = Bytes(8_388_608);
        /// Versions that the log of the configuration keeps at least; about two weeks of 13,000 changes.
        keep: NonZeroU32 = count(200_000);
        /// SHA-256 of the salt followed by the operators' bearer token, in base 16.
        token_hash: String;
        /// Salt of `token_hash`.
        token_salt: String;
    }
}

section! {
    /// Settings of `reachhead-admin`.
    AdminSettings {
        /// Always "admin".
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
        /// The operators' API.
        api: ApiSettings;
    }
}
