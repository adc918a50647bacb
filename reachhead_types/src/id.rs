//! Names and ids, each a type of its own so that one can't be passed for another.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use thiserror::Error;

/// Longest name that is accepted, in bytes.
pub const NAME_LIMIT: usize = 63;

/// Longest idempotency key that is accepted, in bytes.
pub const KEY_LIMIT: usize = 255;

/// Why a text is not a name, an id or a key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("is empty")]
    Empty,
    /// The text is longer than the limit, which is given in bytes.
    #[error("is longer than {0} bytes")]
    Long(usize),
    /// A character outside the accepted set.
    #[error("holds {0:?}; lower-case letters, digits, '-' and '.' are accepted")]
    Character(char),
    /// A character that can't be printed.
    #[error("holds a character that is not printable ASCII")]
    Unprintable,
    /// The text is not a number in the expected base.
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

/// Implements serde through `Display` and `FromStr`, so that a type has one text form everywhere.
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

/// Declares a name; its text is shared, since requests carry names around.
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
    /// A group: an organisation, or a part of one, that is owed a share.
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
    /// A job: tasks of one kind that a group runs on the workers of a pool.
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
    /// A rack: hosts that fail together with its switch.
    RackName
}
name_type! {
    /// A minion: a backend server process of one service.
    MinionId
}
name_type! {
    /// A host; entry hosts and workers are named alike.
    HostId
}
name_type! {
    /// A process of the system on an entry host, as its peers call it.
    NodeName
}
name_type! {
    /// One life of a worker: a host that runs tasks gets a new id with each start.
    WorkerId
}
name_type! {
    /// A label of a worker, as its kind or its rack.
    Label
}
name_type! {
    /// An operator of the administration API.
    OperatorName
}
name_type! {
    /// A customer: whoever callers' keys stand for, and whom capacity is owed.
    CustomerName
}

/// One start of a process, drawn at random, so that a restarted process is not taken for the old.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// One attempt to run a request that must not be repeated; drawn at random per request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u128);

/// One configuration change; the client draws it, which makes the change idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u128);

/// A job that a client handed in; the client draws it, which makes the submission idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A loan of slots between two entry hosts; the lender draws it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId(pub u64);

/// What a request asked for, as a digest; a key stands for one request only.
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
