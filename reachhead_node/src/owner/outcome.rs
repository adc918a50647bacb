//! How an owner ended, as it is logged.

use std::fmt::{self, Display, Formatter};

use reachhead_types::size::Millis;

/// How an owner ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The pool was released, so long after the request.
    Released(Millis),
    /// The lease is lost, or the owner is of no use.
    GivenUp,
    /// The owner or one of its calls panicked.
    Failed,
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Released(after) => write!(f, "end=released after={after}ms"),
            Self::GivenUp => write!(f, "end=given-up"),
            Self::Failed => write!(f, "end=failed"),
        }
    }
}
