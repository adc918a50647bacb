//! Names and ids, each with a type of its own so that they can't be confused.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const NAME_LIMIT: usize = 63;

/// Maximum length of an idempotency key, in bytes.
pub const KEY_LIMIT: usize = 255;

/// An error of parsing a name, an id or a key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("is empty")]
    Empty,
    /// The text is longer than this limit in bytes.
    #[error("is longer than {0} bytes")]
    Long(usize),
    /// The text has a character outside the accepted set.
    #[error("holds {0:?}; lower-case letters, digits, '-' and '.' are accepted")]
    Character(char),
    /// The text has a character that is not printable ASCII.
    #[error("holds a character that is not printable ASCII")]
    Unprintable,
    /// The text is not a hexadecimal number that fits the type.
    #[error("is not a number")]
    Number,
}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > NAME_LIMIT {
        return Err(IdError::Long(NAME_LIMIT));
    }
    let accepted = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    match text.chars().find(|&c| !accepted(c)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

/// Implements serde by `Display` and `FromStr`, so that a type has the same text form everywhere.
macro_rules! serde_by_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(|error| de::Error::custom(format!("{text:?} {error}")))
            }
        }
    };
}

/// Declares a name type; the text is reference-counted, since names are cloned for each request.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        serde_by_text!($name);
    };
}

name_type! {
    /// A group: an organisation, or a part of one, that is entitled to a share.
    GroupName
}
name_type! {
    /// A pool of hosts.
    PoolName
}
name_type! {
    /// A service that a group runs on minions.
    ServiceName
}
name_type! {
    /// A route from a caller's path to a service.
    RouteName
}
name_type! {
    /// A job: a set of tasks of one kind that a group runs on the workers of a pool.
    JobName
}
name_type! {
    /// An availability zone.
    ZoneName
}
name_type! {
    /// A maintenance wave.
    WaveName
}
name_type! {
    /// A rack: a failure domain of hosts that share a switch.
    RackName
}
name_type! {
    /// A minion: a backend server process of one service.
    MinionId
}
name_type! {
    /// A host, which may be an entry host or run workers.
    HostId
}
name_type! {
    /// A process of the system on an entry host, as known to its peers.
    NodeName
}
name_type! {
    /// One incarnation of a worker: a host that runs tasks gets a new id with each start.
    WorkerId
}
name_type! {
    /// A label of a worker, such as its kind or its rack.
    Label
}
name_type! {
    /// An operator of the administration API.
    OperatorName
}
name_type! {
    /// A customer: a tenant that callers' API keys belong to and that is entitled to capacity.
    CustomerName
}

/// One incarnation of a process: a random number that distinguishes a restarted process from its
/// predecessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// One attempt to run an at-most-once request; drawn at random per request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u128);

/// A configuration change; the id is drawn by the client, which makes the change idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u128);

/// A submitted job; the id is drawn by the client, which makes the submission idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A loan of slots between two entry hosts; the id is drawn by the lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId(pub u64);

/// A digest of a request, which detects an idempotency key that is reused for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

macro_rules! hex_type {
    ($name:ident, $number:ty, $width:literal) => {
        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                <$number>::from_str_radix(text, 16).map(Self).map_err(|_| IdError::Number)
            }
        }

        serde_by_text!($name);
    };
}

hex_type!(Incarnation, u64, "16");
hex_type!(Fingerprint, u64, "16");
hex_type!(LoanId, u64, "16");
hex_type!(JobId, u64, "16");
hex_type!(AttemptId, u128, "32");
hex_type!(ChangeId, u128, "32");

/// The caller's `Idempotency-Key`: printable ASCII, at most [`KEY_LIMIT`] bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Returns the key's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for IdempotencyKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for IdempotencyKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        if text.is_empty() {
            return Err(IdError::Empty);
        }
        if text.len() > KEY_LIMIT {
            return Err(IdError::Long(KEY_LIMIT));
        }
        if !text.bytes().all(|b| b.is_ascii_graphic() || b == b' ') {
            return Err(IdError::Unprintable);
        }
        Ok(Self(text.to_owned()))
    }
}

serde_by_text!(IdempotencyKey);
