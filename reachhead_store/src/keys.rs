//! The keys of all rows that the system stores; docs/STORE.md explains them.

use reachhead_types::{
    fleet::RowKey,
    id::{ChangeId, GroupName, HostId, PoolName, ServiceName},
    size::Version,
};

use crate::row::Key;

/// Key prefix of configuration rows.
pub const CONFIG_PREFIX: &str = "config/row/";

/// Key prefix of the configuration log.
pub const LOG_PREFIX: &str = "config/log/";

/// Key prefix of member rows.
pub const MEMBER_PREFIX: &str = "member/";

/// Key prefix of host rows.
pub const HOST_PREFIX: &str = "host/";

/// Key prefix of pool leases.
pub const LEASE_PREFIX: &str = "lease/";

/// Key prefix of claims on idempotency keys.
pub const CLAIM_PREFIX: &str = "claim/";

/// Returns the key of the row with the reference points from which the age of claims is estimated.
pub fn claim_marks() -> Key {
    Key("claim-marks".to_owned())
}

/// Returns the key of the row with the newest configuration version.
pub fn head() -> Key {
    Key("config/head".to_owned())
}

/// Returns the key under which a configuration row is stored.
pub fn config(row: &RowKey) -> Key {
    Key(format!("{CONFIG_PREFIX}{row}"))
}

/// Returns the key of the log row of `version`, which is zero-padded so that keys sort numerically.
pub fn log(version: Version) -> Key {
    Key(format!("{LOG_PREFIX}{:020}", version.0))
}

/// Returns the key prefix of the history index of a configuration row.
pub fn history_prefix(row: &RowKey) -> String {
    format!("config/history/{row}/")
}

/// Returns the key of the history index entry that says that `version` wrote a configuration row.
pub fn history(row: &RowKey, version: Version) -> Key {
    Key(format!("{}{:020}", history_prefix(row), version.0))
}

/// Returns the key of the row that maps a change id to its version.
pub fn change(id: ChangeId) -> Key {
    Key(format!("config/change/{id}"))
}

/// Returns the key of a host's row.
pub fn host(host: &HostId) -> Key {
    Key(format!("{HOST_PREFIX}{host}"))
}

/// Returns the key prefix of the index of a pool's hosts.
pub fn pool_hosts(pool: &PoolName) -> String {
    format!("pool-host/{pool}/")
}

/// Returns the key of the index entry that says that a host is in a pool.
///
/// The entry is written and deleted in the same transactions as the host's row.
pub fn pool_host(pool: &PoolName, host: &HostId) -> Key {
    Key(format!("{}{host}", pool_hosts(pool)))
}

/// Returns the key of the row that is rewritten with each change of a pool, so that the pool's
/// owner notices changes made by other processes.
pub fn pool_head(pool: &PoolName) -> Key {
    Key(format!("pool-head/{pool}"))
}

/// Returns the key of a pool's lease.
pub fn lease(pool: &PoolName) -> Key {
    Key(format!("{LEASE_PREFIX}{pool}"))
}

/// Returns the key of a pool's maintenance wave.
pub fn wave(pool: &PoolName) -> Key {
    Key(format!("wave/{pool}"))
}

/// Returns the key of the row with the spent part of a service's availability budget.
pub fn budget(service: &ServiceName) -> Key {
    Key(format!("budget/{service}"))
}

/// Returns the key of an entry host's member row.
pub fn member(host: &HostId) -> Key {
    Key(format!("{MEMBER_PREFIX}{host}"))
}

/// Returns the key of the claim on an idempotency key, given the digest of that key.
pub fn claim(group: &GroupName, service: &ServiceName, digest: &str) -> Key {
    Key(format!("{CLAIM_PREFIX}{service}/{group}/{digest}"))
}
