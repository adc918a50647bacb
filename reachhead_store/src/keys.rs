//! Every key that the system keeps in the store, in one place; docs/STORE.md explains them.

use reachhead_types::{
    fleet::RowKey,
    id::{ChangeId, GroupName, HostId, PoolName, ServiceName},
    size::Version,
};

use crate::row::Key;

/// What the keys of configuration rows start with.
pub const CONFIG_PREFIX: &str = "config/row/";

/// What the keys of the configuration's log start with.
pub const LOG_PREFIX: &str = "config/log/";

/// What the keys of member rows start with.
pub const MEMBER_PREFIX: &str = "member/";

/// What the keys of hosts start with.
pub const HOST_PREFIX: &str = "host/";

/// What the keys of leases start with.
pub const LEASE_PREFIX: &str = "lease/";

/// What the keys of claims start with.
pub const CLAIM_PREFIX: &str = "claim/";

/// The row of the marks by which the age of claims is told.
pub fn claim_marks() -> Key {
    Key("claim-marks".to_owned())
}

/// The row that holds the configuration's version.
pub fn head() -> Key {
    Key("config/head".to_owned())
}

/// The row of a configuration row.
pub fn config(row: &RowKey) -> Key {
    Key(format!("{CONFIG_PREFIX}{row}"))
}

/// The row that holds what a version changed; padded, so that versions sort as numbers.
pub fn log(version: Version) -> Key {
    Key(format!("{LOG_PREFIX}{:020}", version.0))
}

/// What the keys of the index of one configuration row's history start with.
pub fn history_prefix(row: &RowKey) -> String {
    format!("config/history/{row}/")
}

/// The row that tells that `version` wrote a configuration row.
pub fn history(row: &RowKey, version: Version) -> Key {
    Key(format!("{}{:020}", history_prefix(row), version.0))
}

/// The row that tells which version a change became.
pub fn change(id: ChangeId) -> Key {
    Key(format!("config/change/{id}"))
}

/// The row of a host.
pub fn host(host: &HostId) -> Key {
    Key(format!("{HOST_PREFIX}{host}"))
}

/// What the keys of the index of a pool's hosts start with.
pub fn pool_hosts(pool: &PoolName) -> String {
    format!("pool-host/{pool}/")
}

/// The row that tells that a host is in a pool; it stands and falls with the host's row.
pub fn pool_host(pool: &PoolName, host: &HostId) -> Key {
    Key(format!("{}{host}", pool_hosts(pool)))
}

/// The row that moves whenever anyone but the pool's owner changes something of the pool.
pub fn pool_head(pool: &PoolName) -> Key {
    Key(format!("pool-head/{pool}"))
}

/// The row of the lease of a pool.
pub fn lease(pool: &PoolName) -> Key {
    Key(format!("{LEASE_PREFIX}{pool}"))
}

/// The row of the wave of a pool.
pub fn wave(pool: &PoolName) -> Key {
    Key(format!("wave/{pool}"))
}

/// The row of what is spent of a service's availability budget.
pub fn budget(service: &ServiceName) -> Key {
    Key(format!("budget/{service}"))
}

/// The row of an entry host.
pub fn member(host: &HostId) -> Key {
    Key(format!("{MEMBER_PREFIX}{host}"))
}

/// The row of the claim on an idempotency key, which goes in by its digest.
pub fn claim(group: &GroupName, service: &ServiceName, digest: &str) -> Key {
    Key(format!("{CLAIM_PREFIX}{service}/{group}/{digest}"))
}
