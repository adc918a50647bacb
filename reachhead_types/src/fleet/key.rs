//! Keys of configuration rows.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use thiserror::Error;

use crate::id::{GroupName, IdError, MinionId, OperatorName, PoolName, RouteName, ServiceName};

/// The key of a configuration row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// `group/NAME`.
    Group(GroupName),
    /// `pool/NAME`.
    Pool(PoolName),
    /// `service/NAME`.
    Service(ServiceName),
    /// `minion/SERVICE/NAME`.
    Minion(ServiceName, MinionId),
    /// `route/NAME`.
    Route(RouteName),
    /// `operator/NAME`.
    Operator(OperatorName),
}

/// An error of parsing a row key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RowKeyError {
    /// The first part is not a known kind of row.
    #[error("starts with none of group/, pool/, service/, minion/, route/, operator/")]
    Kind,
    /// A part is not a valid name.
    #[error("{0}")]
    Name(#[from] IdError),
}

impl Display for RowKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Group(name) => write!(f, "group/{name}"),
            Self::Pool(name) => write!(f, "pool/{name}"),
            Self::Service(name) => write!(f, "service/{name}"),
            Self::Minion(service, name) => write!(f, "minion/{service}/{name}"),
            Self::Route(name) => write!(f, "route/{name}"),
            Self::Operator(name) => write!(f, "operator/{name}"),
        }
    }
}

impl FromStr for RowKey {
    type Err = RowKeyError;

    fn from_str(text: &str) -> Result<Self, RowKeyError> {
        let (kind, name) = text.split_once('/').ok_or(RowKeyError::Kind)?;
        match kind {
            "group" => Ok(Self::Group(name.parse()?)),
            "pool" => Ok(Self::Pool(name.parse()?)),
            "service" => Ok(Self::Service(name.parse()?)),
            "route" => Ok(Self::Route(name.parse()?)),
            "operator" => Ok(Self::Operator(name.parse()?)),
            "minion" => {
                let (service, minion) = name.split_once('/').ok_or(IdError::Empty)?;
                Ok(Self::Minion(service.parse()?, minion.parse()?))
            }
            _ => Err(RowKeyError::Kind),
        }
    }
}

impl Serialize for RowKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RowKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(|error| de::Error::custom(format!("{text:?} {error}")))
    }
}
