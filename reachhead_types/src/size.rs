//! Quantities, versions and counters, each with a type of its own.

use std::{
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

macro_rules! count_type {
    ($(#[$doc:meta])* $name:ident, $number:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $number);

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

count_type! {
    /// Requests that a minion runs at once.
    Slots, u32
}
count_type! {
    /// Connections that a minion accepts.
    Connections, u32
}
count_type! {
    /// A group's weight in a fair share; shares are proportional to weights.
    Weight, u32
}
count_type! {
    /// Number of a connection, counted since the start of its listeners.
    ConnectionId, u64
}
count_type! {
    /// Open file descriptors of a process.
    Descriptors, u64
}
count_type! {
    /// A length in bytes.
    Bytes, u64
}
count_type! {
    /// Bytes per second.
    ByteRate, u64
}
count_type! {
    /// A duration in milliseconds, as settings and messages write it.
    Millis, u64
}
count_type! {
    /// Version of the configuration; it only increases.
    Version, u64
}
count_type! {
    /// Number of ownership changes so far; actions under an older epoch are rejected.
    Epoch, u64
}
count_type! {
    /// Processor cores.
    Cores, u32
}
count_type! {
    /// Memory in GiB.
    Gibibytes, u32
}
count_type! {
    /// Accelerators.
    Accelerators, u32
}
count_type! {
    /// Number of a task's run, which increases with each start of the task.
    RunNumber, u64
}
count_type! {
    /// A fencing token: an order is ignored after an order with a higher token.
    FencingToken, u64
}
count_type! {
    /// Capacity weight of a process: the task starts per second that its processor and link allow.
    Strength, u32
}
count_type! {
    /// Number of workers of a pool.
    WorkerCount, u32
}
count_type! {
    /// Revision that the store assigned to the last write of a row.
    Revision, u64
}

impl Millis {
    /// Returns the value as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Epoch {
    /// Returns the epoch that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Version {
    /// Returns the version that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
